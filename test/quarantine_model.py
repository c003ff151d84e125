"""Simulation of daemons before engines that crash, with the real code of the quarantine.

Daemons see the crashes of their own requests only and tell one another in reports, which are
delayed and sometimes lost. Time is simulated.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from zlib import crc32

from godwitpath.gateway.crash_watch import STABLE_AFTER_S
from godwitpath.gateway.peer_view import MESH_MAX
from godwitpath.gateway.peers import REPORT_S
from godwitpath.gateway.quarantine import Quarantine
from godwitpath.gateway.quarantine_report import QuarantineReport, Subjects

ZONES = 3
SAME_ZONE_DELAY_S = 0.001
REGION_DELAY_S = 0.02
LOSS = 0.02
"""Share of the reports that are lost."""

CONFIRM_S = 0.04
"""Time until a daemon knows that an engine crashed."""

DOWN_S = 3.0
"""Time until an engine that crashed is back."""

CONTACT_S = 4.0
TOLERATED_CRASHES = 5


@dataclass(slots=True)
class ModelRequest:
    """A request that was sent to an engine.

    :ivar begins_at_s: time at which the engine begins to answer it
    """

    daemon: ModelDaemon
    parts: Subjects
    begins_at_s: float
    repeated: bool = False


@dataclass(slots=True, eq=False)
class ModelEngine:
    """An engine, or the one that replaces it.

    :ivar started: number of its start
    :ivar up: whether it serves
    :ivar requests: requests that have not been answered for a while
    """

    number: int
    started: int = 1
    up: bool = True
    requests: list[ModelRequest] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class ModelDaemon:
    """A daemon with its own evidence and verdicts."""

    number: int
    quarantine: Quarantine = field(default_factory=lambda: Quarantine(0.0))

    @property
    def zone(self) -> int:
        """Number of the daemon's zone."""
        return self.number % ZONES


@dataclass(slots=True)
class ModelOutcome:
    """What was seen at the engines.

    :ivar crashes_s: times of the crashes under the crashing part
    :ivar crashing_sends_s: times at which requests with that part reached engines
    :ivar ordinary_sent: ordinary requests that were sent or refused, by whether they began
    :ivar wrong_verdicts: subjects of each verdict that would refuse ordinary requests
    :ivar tolerated_crashes: crashes after which hardly any such request may reach an engine
    """

    crashes_s: list[float] = field(default_factory=list)
    crashing_sends_s: list[float] = field(default_factory=list)
    ordinary_sent: dict[bool, int] = field(default_factory=lambda: {True: 0, False: 0})
    wrong_verdicts: set[Subjects] = field(default_factory=set)
    tolerated_crashes: int = TOLERATED_CRASHES

    def late_sends(self) -> int:
        """Return the number of requests that reached engines when none should any more."""
        if len(self.crashes_s) < self.tolerated_crashes:
            return 0
        since_s = self.crashes_s[self.tolerated_crashes - 1] + CONTACT_S
        return sum(at_s > since_s for at_s in self.crashing_sends_s)

    def started_share(self) -> float:
        """Return the share of the ordinary requests that began."""
        return self.ordinary_sent[True] / max(1, sum(self.ordinary_sent.values()))


class QuarantineModel:
    """A fleet under load.

    :param crashing_part: part that crashes engines, empty for none
    """

    def __init__(
        self, daemons: int, engines: int, seed: int, crashing_part: str = "crashing"
    ) -> None:
        self.rng = Random(seed)
        self.now_s = 0.0
        self.daemons = [ModelDaemon(number) for number in range(daemons)]
        self.engines = [ModelEngine(number) for number in range(engines)]
        self.outcome = ModelOutcome()
        self._crashing_part = crashing_part
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        for daemon in self.daemons:
            self.after(self.rng.uniform(0.0, REPORT_S), self._report, daemon)

    def after(self, delay_s: float, action: Callable[..., None], *arguments: object) -> None:
        """Call a function after a time."""
        event = (self.now_s + delay_s, next(self._order), lambda: action(*arguments))
        heapq.heappush(self._events, event)

    def run(self, for_s: float) -> ModelOutcome:
        """Simulate a time."""
        end_s = self.now_s + for_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s
        return self.outcome

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Call a function at random intervals with a mean."""

        def repeat() -> None:
            action()
            self.after(self.rng.expovariate(1 / interval_s), repeat)

        self.after(self.rng.expovariate(1 / interval_s), repeat)

    def send_ordinary(self) -> None:
        """Send a ordinary request with a common first part and a document, common or rare."""
        document = int(self.rng.paretovariate(0.6))
        self._send(self.rng.choice(self.daemons), (f"first{self.rng.randrange(3)}", f"{document}"))

    def send_crashing(self) -> None:
        """Send a request with the crashing part, whose other parts are in others too."""
        document = int(self.rng.paretovariate(0.6))
        parts = [f"first{self.rng.randrange(3)}", f"{document}"]
        parts.insert(self.rng.randrange(3), self._crashing_part)
        self._send(self.rng.choice(self.daemons), tuple(parts))

    def crash_share(self, share: float) -> None:
        """Crash a share of the engines at once, for a reason that is none of their prompts."""
        for engine in self.rng.sample(self.engines, max(1, int(share * len(self.engines)))):
            self.crash(engine)

    def restart_daemon(self) -> None:
        """Restart a daemon, which forgets everything."""
        self.rng.choice(self.daemons).quarantine = Quarantine(self.now_s)

    def crash(self, engine: ModelEngine) -> None:
        """Crash an engine; it is back after a while."""
        if not engine.up:
            return
        engine.up = False
        lost, engine.requests = engine.requests, []
        incarnation = (f"e{engine.number}", engine.started)
        for daemon in {request.daemon.number: request.daemon for request in lost}.values():
            prompts = [each.parts for each in lost if each.daemon is daemon]
            at_s = self.now_s + self._delay_s(daemon.zone, engine.number % ZONES)
            self.after(CONFIRM_S, self._note_crash, daemon, incarnation, at_s, prompts)
        for request in lost:
            self._count(request.parts, began=request.begins_at_s <= self.now_s)
            if request.begins_at_s > self.now_s and not request.repeated:
                self.after(0.05, self._repeat, request.parts)
        self.after(DOWN_S, self._restart, engine)

    def verdicts(self) -> list[Subjects]:
        """Return the verdicts in force at any daemon."""
        return [
            tuple(sorted(verdict.subjects))
            for daemon in self.daemons
            for verdict in daemon.quarantine.verdicts
        ]

    def _repeat(self, parts: Subjects) -> None:
        """Send a request again, as its caller does, at another daemon."""
        self._send(self.rng.choice(self.daemons), parts, repeated=True)

    def _restart(self, engine: ModelEngine) -> None:
        engine.started += 1
        engine.up = True

    def _send(self, daemon: ModelDaemon, parts: Subjects, repeated: bool = False) -> None:
        engines = [engine for engine in self.engines if engine.up]
        verdict = daemon.quarantine.verdict(parts, self.now_s)
        if verdict is not None or not engines:
            self._count(parts, began=False)
            return
        # A document has a preferred engine, as in the placement of generations.
        preferred = engines[crc32(parts[-1].encode()) % len(engines)]
        engine = preferred if self.rng.random() < 0.7 else self.rng.choice(engines)
        begins_s = self._delay_s(daemon.zone, engine.number % ZONES) + self.rng.uniform(0.05, 0.4)
        request = ModelRequest(daemon, parts, self.now_s + begins_s, repeated)
        engine.requests.append(request)
        if self._crashing_part in parts:
            self.outcome.crashing_sends_s.append(self.now_s)
        self.after(begins_s, self._begin, engine, request)

    def _begin(self, engine: ModelEngine, request: ModelRequest) -> None:
        if request not in engine.requests:
            return
        if self._crashing_part in request.parts:
            self.outcome.crashes_s.append(self.now_s)
            self.crash(engine)
            return
        self.after(STABLE_AFTER_S, self._settle, engine, request)

    def _settle(self, engine: ModelEngine, request: ModelRequest) -> None:
        if request in engine.requests:
            engine.requests.remove(request)
            self._count(request.parts, began=True)
            request.daemon.quarantine.note_success(request.parts, self.now_s, self.now_s)

    def _count(self, parts: Subjects, began: bool) -> None:
        if self._crashing_part not in parts:
            self.outcome.ordinary_sent[began] += 1

    def _note_crash(
        self,
        daemon: ModelDaemon,
        incarnation: tuple[str, int],
        at_s: float,
        prompts: list[Subjects],
    ) -> None:
        daemon.quarantine.note_crash(incarnation, at_s, prompts, self.now_s)
        self._check_verdicts(daemon)

    def _check_verdicts(self, daemon: ModelDaemon) -> None:
        for verdict in daemon.quarantine.verdicts:
            if self._crashing_part not in verdict.subjects:
                self.outcome.wrong_verdicts.add(tuple(sorted(verdict.subjects)))

    def _report(self, daemon: ModelDaemon) -> None:
        self.after(REPORT_S * self.rng.uniform(0.9, 1.1), self._report, daemon)
        daemon.quarantine.review(self.now_s)
        self._check_verdicts(daemon)
        report = daemon.quarantine.report(self.now_s)
        if len(self.daemons) <= MESH_MAX:
            self._deliver(daemon, self.daemons, report)
            return
        self._deliver(daemon, [each for each in self.daemons if each.zone == daemon.zone], report)
        if daemon.number < ZONES:
            # The first daemon of each zone sends summaries to those of the other zones.
            summary = daemon.quarantine.report(self.now_s, relayed=True)
            others = [each for each in self.daemons[:ZONES] if each is not daemon]
            self._deliver(daemon, others, summary, forwarded=True)

    def _deliver(
        self,
        sender: ModelDaemon,
        receivers: list[ModelDaemon],
        report: QuarantineReport,
        forwarded: bool = False,
    ) -> None:
        if not (report.crashes or report.verdicts or report.successes):
            return
        for receiver in receivers:
            if receiver is not sender and self.rng.random() >= LOSS:
                delay_s = self._delay_s(sender.zone, receiver.zone)
                self.after(delay_s, self._receive, receiver, report, forwarded)

    def _receive(self, daemon: ModelDaemon, report: QuarantineReport, forwarded: bool) -> None:
        daemon.quarantine.apply_report(report, self.now_s)
        self._check_verdicts(daemon)
        if forwarded:
            zone = [each for each in self.daemons if each.zone == daemon.zone]
            self._deliver(daemon, zone, report)

    def _delay_s(self, zone: int, other: int) -> float:
        return SAME_ZONE_DELAY_S if zone == other else REGION_DELAY_S
