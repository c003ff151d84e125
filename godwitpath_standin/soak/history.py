"""What callers, engines and the platform saw during a soak."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from godwitpath_standin.gateway.caller import Answer
from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.gateway.engine import EngineStandin, Run

SETTLE_S = 4.0
"""Time without disruption after which every bound holds: the platform's figure."""

EVERYTHING = "*"
"""Subject of a disruption that touches every daemon."""


@dataclass(slots=True)
class Sent:
    """A request of a caller.

    :ivar once: whether it may run at most once
    :ivar stream: whether its response is a stream
    :ivar key: API key that it carried
    :ivar ended_at_s: loop time at which the caller had its answer or gave up, 0 before
    :ivar closed: whether the daemon ended the connection before the answer was complete
    """

    request_id: str
    route: str
    account: str
    key: str
    daemon: str
    once: bool
    stream: bool
    body: bytes
    sent_at_s: float
    ended_at_s: float = 0.0
    answer: Answer = field(default_factory=Answer)
    closed: bool = False


@dataclass(slots=True, frozen=True)
class Written:
    """A configuration as the store confirmed it.

    :ivar services: service of each route by the route's name
    :ivar keys: account of each API key
    """

    at_s: float
    services: dict[str, str]
    keys: dict[str, str]


@dataclass(slots=True, frozen=True)
class Disruption:
    """A time in which a daemon could not be held to its bounds.

    :ivar subject: name of a daemon or an engine, or `EVERYTHING`
    :ivar fatal: whether connections broke or stood still
    """

    subject: str
    from_s: float
    until_s: float
    fatal: bool = False


@dataclass(slots=True, frozen=True)
class Violation:
    """A promise that did not hold."""

    promise: str
    what: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.what}"


@dataclass(slots=True)
class History:
    """Everything that was seen.

    :ivar engines: every engine that there was
    :ivar drained: loop time at which the store took the news that an engine leaves
    :ivar own_ends: ends of daemons that nobody had asked for
    """

    cloud: FakeCloud
    sent: dict[str, Sent] = field(default_factory=dict)
    engines: list[tuple[str, EngineStandin]] = field(default_factory=list)
    written: list[Written] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)
    own_ends: list[str] = field(default_factory=list)

    def ended(self) -> Iterator[Sent]:
        """Yield the requests whose callers have an answer or gave up."""
        return (sent for sent in self.sent.values() if sent.ended_at_s)

    def runs(self) -> Iterator[tuple[str, EngineStandin, Run]]:
        """Yield each run with its engine's service."""
        for service, engine in self.engines:
            for run in engine.runs:
                yield service, engine, run

    def runs_by_request(self) -> dict[str, list[Run]]:
        """Return the runs of each request; one that goes on with moved memory is the same run."""
        found: dict[str, list[Run]] = defaultdict(list)
        for _, _, run in self.runs():
            if not run.request.header(b"kv-from"):
                found[run.request_id.decode()].append(run)
        return found

    def disturbed(self, subject: str, from_s: float, until_s: float) -> bool:
        """Return whether something disrupted a subject in a time, or shortly before."""
        return any(
            each.subject in (subject, EVERYTHING)
            and each.from_s <= until_s
            and each.until_s + SETTLE_S >= from_s
            for each in self.disruptions
        )

    def broken(self, subject: str, from_s: float, until_s: float) -> bool:
        """Return whether a daemon was killed or stood still in a time, or an engine's link was."""
        return any(
            each.fatal
            and each.subject == subject
            and each.from_s <= until_s
            and each.until_s >= from_s
            for each in self.disruptions
        )

    def in_force(self, sent: Sent, apply_s: float) -> list[Written]:
        """Return the configurations by which a request may have been handled."""
        oldest_s = sent.sent_at_s - apply_s
        if self.disturbed(sent.daemon, oldest_s, sent.ended_at_s):
            return [each for each in self.written if each.at_s <= sent.ended_at_s]
        before = [each for each in self.written if each.at_s <= oldest_s]
        since = [each for each in self.written if oldest_s < each.at_s <= sent.ended_at_s]
        return before[-1:] + since
