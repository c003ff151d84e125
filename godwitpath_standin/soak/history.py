"""Record of a soak: requests, engine runs, configurations and disruptions."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from godwitpath_standin.gateway.caller import ClientResponse
from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.gateway.engine import EngineStandin, RequestCopy, Run

SETTLE_S = 4.0
"""Time after a disruption until every time limit holds again, as the platform specifies."""

EVERY_DAEMON = "*"
"""Value that a disruption records instead of a daemon's name when it affects every daemon."""


@dataclass(slots=True)
class SentRequest:
    """A request of a caller.

    :ivar daemon: name of the daemon that received the request
    :ivar non_idempotent: whether the request may run at most once
    :ivar stream: whether the response is a stream
    :ivar key: API key in the request
    :ivar sent_at_s: loop time at which the request was sent
    :ivar ended_at_s: loop time at which the caller had its response or gave up, 0 before
    :ivar closed_early: whether the daemon closed the connection before the response was complete
    """

    request_id: str
    route: str
    account: str
    key: str
    daemon: str
    non_idempotent: bool
    stream: bool
    body: bytes
    sent_at_s: float
    ended_at_s: float = 0.0
    response: ClientResponse = field(default_factory=ClientResponse)
    closed_early: bool = False


@dataclass(slots=True, frozen=True)
class WrittenConfiguration:
    """A configuration that the store has confirmed.

    :ivar at_s: loop time of the confirmation
    :ivar services: service of each route by the name of the route
    :ivar keys: account of each API key
    """

    at_s: float
    services: dict[str, str]
    keys: dict[str, str]


@dataclass(slots=True, frozen=True)
class Disruption:
    """A period in which a fault may keep a daemon or an engine from its bounds.

    :ivar subject: name of a daemon or an engine, or `EVERY_DAEMON`
    :ivar from_s: loop time at the start of the period
    :ivar until_s: loop time at the end of the period
    :ivar fatal: whether connections were lost, blocked or delayed
    """

    subject: str
    from_s: float
    until_s: float
    fatal: bool = False


@dataclass(slots=True, frozen=True)
class Stall:
    """A period in which the process of callers and stand-ins ran late.

    :ivar from_s: loop time at which the process should have gone on
    :ivar until_s: loop time at which it did
    """

    from_s: float
    until_s: float


@dataclass(slots=True, frozen=True)
class LoopHold:
    """A long turn of a daemon's event loop.

    :ivar daemon: name of the daemon
    :ivar held_s: for how long the turn held the loop by its cause
    :ivar own_work: whether the daemon worked meanwhile, instead of waiting for a processor
    :ivar ended_at_s: seconds since 1970 at the end of the turn
    """

    daemon: str
    held_s: float
    own_work: bool = True
    ended_at_s: float = 0.0


@dataclass(slots=True, frozen=True)
class SelfReport:
    """What a process of a daemon last stated about itself.

    :ivar largest_datagram_bytes: size of the largest datagram to another daemon, sent or not
    :ivar unsent_datagrams: number of datagrams that were too large to be sent
    :ivar longest_work_s: longest turn of the event loop by the daemon's own work
    """

    largest_datagram_bytes: int
    unsent_datagrams: int
    longest_work_s: float


@dataclass(slots=True, frozen=True)
class Violation:
    """A violated invariant.

    :ivar invariant: name of the invariant
    :ivar detail: the request, daemon or window that violates it
    """

    invariant: str
    detail: str

    def __str__(self) -> str:
        return f"{self.invariant}: {self.detail}"


@dataclass(slots=True)
class History:
    """Everything that a soak recorded.

    :ivar cloud: the cloud API with the calls that it accepted
    :ivar sent: requests by identifier
    :ivar engines: service and engine of every engine that was started, also of replaced ones
    :ivar written: configurations in the order in which the store confirmed them
    :ivar drained_at_s: loop time at which the store entry of an engine became draining, by engine
    :ivar crashing_parts: prompt parts on which engines crashed
    :ivar crashing_requests: requests on which engines crashed
    :ivar stalls: periods in which the soak's own process ran late
    :ivar peak_memory_mb: largest resident memory of the processes of a daemon, by daemon
    :ivar loop_holds: turns in which daemons held their event loops for long, as their logs say
    :ivar self_reports: what each process last stated about itself, by daemon and process id
    :ivar unexpected_exits: messages about daemon exits that no injected fault explains
    """

    cloud: FakeCloud
    sent: dict[str, SentRequest] = field(default_factory=dict)
    engines: list[tuple[str, EngineStandin]] = field(default_factory=list)
    written: list[WrittenConfiguration] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    drained_at_s: dict[str, float] = field(default_factory=dict)
    crashing_parts: set[str] = field(default_factory=set)
    crashing_requests: set[RequestCopy] = field(default_factory=set)
    stalls: list[Stall] = field(default_factory=list)
    peak_memory_mb: dict[str, float] = field(default_factory=dict)
    loop_holds: list[LoopHold] = field(default_factory=list)
    self_reports: dict[tuple[str, int], SelfReport] = field(default_factory=dict)
    unexpected_exits: list[str] = field(default_factory=list)

    def ended(self) -> Iterator[SentRequest]:
        """Yield the requests that ended with a response or because the caller gave up."""
        return (sent for sent in self.sent.values() if sent.ended_at_s)

    def runs(self) -> Iterator[tuple[str, EngineStandin, Run]]:
        """Yield each run with the service of its engine and the engine."""
        for service, engine in self.engines:
            for run in engine.runs:
                yield service, engine, run

    def runs_by_request(self) -> dict[str, list[Run]]:
        """Return the runs of each request.

        A run that continues with a transferred KV cache is not counted, since it is part of the
        run that it continues.
        """
        runs_by_id: dict[str, list[Run]] = defaultdict(list)
        for _, _, run in self.runs():
            if not run.request.header(b"kv-from"):
                runs_by_id[run.request_id.decode()].append(run)
        return runs_by_id

    def disrupted(self, subject: str, from_s: float, until_s: float) -> bool:
        """Return whether a period overlaps a disruption of a daemon or the `SETTLE_S` after one."""
        return any(
            disruption.subject in (subject, EVERY_DAEMON)
            and disruption.from_s <= until_s
            and disruption.until_s + SETTLE_S >= from_s
            for disruption in self.disruptions
        )

    def fatally_disrupted(self, subject: str, from_s: float, until_s: float) -> bool:
        """Return whether a daemon was killed or suspended in a period.

        For an engine: whether the engine was stopped or its link was blocked or delayed.
        """
        return any(
            disruption.fatal
            and disruption.subject == subject
            and disruption.from_s <= until_s
            and disruption.until_s >= from_s
            for disruption in self.disruptions
        )

    def stalled_s(self, from_s: float, until_s: float) -> float:
        """Return for how much of a period the soak's own process ran late."""
        return sum(
            max(0.0, min(stall.until_s, until_s) - max(stall.from_s, from_s))
            for stall in self.stalls
        )

    def possible_configurations(
        self, sent: SentRequest, apply_s: float
    ) -> list[WrittenConfiguration]:
        """Return the configurations that a daemon may have applied to a request.

        :param apply_s: time within which a written configuration is in force
        """
        oldest_s = sent.sent_at_s - apply_s
        if self.disrupted(sent.daemon, oldest_s, sent.ended_at_s):
            return [
                configuration
                for configuration in self.written
                if configuration.at_s <= sent.ended_at_s
            ]
        older = [configuration for configuration in self.written if configuration.at_s <= oldest_s]
        newer = [
            configuration
            for configuration in self.written
            if oldest_s < configuration.at_s <= sent.ended_at_s
        ]
        return older[-1:] + newer
