"""Finds out which engines crashed, and under which requests.

When a stream breaks before its response has gone on for a moment, its engine may have crashed
under the request. A crashed engine refuses connections. An engine that leaves, was stopped or only
reset a connection has not crashed, and one that is silent may only be unreachable.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.engines import Engine, EngineRegistry
from godwitpath.gateway.quarantine import Quarantine
from godwitpath.gateway.quarantine_report import QuarantineReport, Subjects
from godwitpath.gateway.verdicts import Verdict
from godwitpath.http1.client import connect
from godwitpath.http1.messages import NotSent
from godwitpath.ports.engine import Address
from godwitpath.telemetry.decisions import decision

STABLE_AFTER_S = 0.25
"""Time after the first event of a response from which on its request has not crashed the engine."""

CONFIRM_TIMEOUT_S = 0.4
"""Timeout of a connection that shows whether an engine still listens."""

CONFIRM_WAITS_S = (0.0, 0.4, 0.6)
"""Waits before each look at an engine that still listened: a process that ends may close its
connections before its port."""

PENDING_S = 10.0
"""Time for which the requests of an engine that did not respond are kept, in case that another
daemon finds it crashed."""


@dataclass(slots=True)
class _BrokenEngine:
    """An engine whose streams broke.

    :ivar at_s: loop time of the first break
    :ivar requests: subjects of the requests that it could have begun to answer
    :ivar confirming: whether a task is finding out whether it crashed
    """

    at_s: float
    requests: set[Subjects] = field(default_factory=set)
    confirming: bool = True


class CrashWatch:
    """Collects the evidence of this daemon, and applies that of the others.

    :param report_soon: set to have the next report to the other daemons sent at once
    :ivar quarantine: the evidence and the verdicts
    :ivar verdict_added: set when there is a new verdict
    :ivar counts: number of events by kind: `crash`, `not_crashed`, `quarantined`, `lifted`,
        `expired`, `refused`
    """

    def __init__(self, engines: EngineRegistry, report_soon: asyncio.Event | None = None) -> None:
        self.quarantine = Quarantine(asyncio.get_running_loop().time())
        self.verdict_added = asyncio.Event()
        self.counts: Counter[str] = Counter()
        self._engines = engines
        self._report_soon = report_soon
        self._broken: dict[Incarnation, _BrokenEngine] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def note_broken(self, engine: Engine, subjects: Subjects, first_event_at_s: float) -> None:
        """Note that a stream broke.

        :param subjects: subjects of its request
        :param first_event_at_s: loop time of the first event of its response, 0 if there was none
        """
        now_s = asyncio.get_running_loop().time()
        if first_event_at_s and now_s - first_event_at_s >= STABLE_AFTER_S:
            return
        if not subjects or not self._engines.is_ready(engine):
            return
        incarnation = engine.entry.incarnation
        broken = self._broken.get(incarnation)
        if broken is None or not broken.confirming:
            broken = self._broken[incarnation] = _BrokenEngine(now_s)
            task = asyncio.create_task(self._confirm(incarnation, engine.entry.address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        broken.requests.add(subjects)

    def note_success(self, subjects: Subjects) -> None:
        """Note that an engine has answered a request for a while, or to the end."""
        now_s = asyncio.get_running_loop().time()
        self._log_lifted(self.quarantine.note_success(subjects, now_s, now_s), "response")

    def verdict(self, subjects: Subjects) -> Verdict | None:
        """Return the verdict under which a request must not be sent, None if there is none."""
        return self.quarantine.verdict(subjects, asyncio.get_running_loop().time())

    def note_refused(self, request_id: str, verdict: Verdict) -> None:
        """Log that a request is refused under a verdict."""
        self.counts["refused"] += 1
        decision(
            "quarantine_refused",
            request=request_id,
            subjects=sorted(verdict.subjects),
            crashes=verdict.crashes,
            since_age_s=round(asyncio.get_running_loop().time() - verdict.since_s, 3),
        )

    def apply_report(self, sender: str, report: QuarantineReport) -> None:
        """Learn what another daemon reports."""
        now_s = asyncio.get_running_loop().time()
        before = self.quarantine.verdicts
        for verdict in self.quarantine.apply_report(report, now_s):
            self._log_quarantined(verdict, sender)
        for crash in report.crashes:
            self._confirm_reported((crash.engine_id, crash.started_at_ms), sender)
        in_force = self.quarantine.verdicts
        lifted = [
            each
            for each in before
            if not any(other.subjects <= each.subjects for other in in_force)
        ]
        self._log_lifted(lifted, sender)

    def review(self) -> None:
        """Judge the evidence, and drop what is old; to be called at short intervals."""
        now_s = asyncio.get_running_loop().time()
        for incarnation, broken in list(self._broken.items()):
            if now_s - broken.at_s >= PENDING_S:
                del self._broken[incarnation]
        new_verdict = self.quarantine.review(now_s)
        if new_verdict is not None:
            self._log_quarantined(new_verdict, "own evidence")
        for verdict in self.quarantine.drop_expired(now_s):
            self.counts["expired"] += 1
            decision("quarantine_expired", subjects=sorted(verdict.subjects))

    async def _confirm(self, incarnation: Incarnation, address: Address) -> None:
        """Find out whether an engine crashed."""
        listens = False
        for wait_s in CONFIRM_WAITS_S:
            await asyncio.sleep(wait_s)
            try:
                connection = await connect(address.host, address.port, CONFIRM_TIMEOUT_S)
                connection.close()
                listens = True
            except NotSent as error:
                listens = False
                if isinstance(error.__cause__, ConnectionRefusedError):
                    self._note_crash(incarnation)
                    return
        if listens:
            self._broken.pop(incarnation, None)
            self.counts["not_crashed"] += 1
            decision("engine_not_crashed", engine=incarnation[0], started_at_ms=incarnation[1])
        elif incarnation in self._broken:
            self._broken[incarnation].confirming = False

    def _note_crash(self, incarnation: Incarnation) -> None:
        """Take the requests of an engine that crashed as evidence."""
        broken = self._broken.pop(incarnation, None)
        if broken is None:
            return
        now_s = asyncio.get_running_loop().time()
        self.counts["crash"] += 1
        decision(
            "engine_crashed",
            engine=incarnation[0],
            started_at_ms=incarnation[1],
            requests=sorted(broken.requests),
        )
        verdict = self.quarantine.note_crash(incarnation, broken.at_s, broken.requests, now_s)
        if verdict is not None:
            self._log_quarantined(verdict, "own evidence")
        if self._report_soon is not None:
            self._report_soon.set()

    def _confirm_reported(self, incarnation: Incarnation, sender: str) -> None:
        """Take the requests of an engine as evidence that another daemon found crashed."""
        if incarnation in self._broken:
            decision("engine_crash_heard", engine=incarnation[0], source=sender)
            self._note_crash(incarnation)

    def _log_quarantined(self, verdict: Verdict, source: str) -> None:
        self.counts["quarantined"] += 1
        now_s = asyncio.get_running_loop().time()
        decision(
            "quarantine_began",
            subjects=sorted(verdict.subjects),
            crashes=verdict.crashes,
            since_age_s=round(now_s - verdict.since_s, 3),
            engines=[incarnation[0] for incarnation, _ in self.quarantine.crashes(verdict)],
            source=source,
        )
        self.verdict_added.set()
        if self._report_soon is not None:
            self._report_soon.set()

    def _log_lifted(self, verdicts: Iterable[Verdict], source: str) -> None:
        for verdict in verdicts:
            self.counts["lifted"] += 1
            decision("quarantine_lifted", subjects=sorted(verdict.subjects), source=source)
