"""What engines state about themselves in their responses: that they leave, or want a pause.

An engine that leaves says so in each of its responses, so a daemon that cannot reach the store
learns it too, and tells the other daemons. Such a notice holds for one incarnation of the engine
and cannot be withdrawn.

An engine that refuses a request may ask the daemon for a pause. That concerns this daemon only. A
pause is binding, unlike the preference for engines that did not refuse a request lately.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from godwitpath.gateway.wire_fields import EngineResponseFields
from godwitpath.telemetry.decisions import decision

UNAVAILABLE_STATUS = 503
"""Status of a refusal that may ask for a pause."""

MOVED_SENDS_PER_PAUSE = 1
"""Streams that may be continued at an engine during a pause: the platform tolerates two requests,
and a stopped run is lost if it does not continue where its KV cache is."""

LEAVING_RETENTION_S = 60.0
"""Time for which it is remembered that an engine leaves after the last response that said so, or
after its entry was last seen: engines serve for many seconds after their notice."""

LEAVING_REPORT_S = 20.0
"""Age up to which a notice is reported to the other daemons."""

ReportedNotices = Mapping[str, tuple[int, float]]
"""Start time of the engine in Unix milliseconds and age of its notice in seconds, by engine id."""

Incarnation = tuple[str, int]
"""Engine id, and start time of the engine in Unix milliseconds."""


@dataclass(slots=True)
class _Pause:
    """A pause that an engine asked for.

    :ivar until_s: loop time at which it ends
    :ivar moved_sends: number of streams that were continued at the engine during the pause
    """

    until_s: float
    moved_sends: int = 0


@dataclass(slots=True)
class _LeaveNotice:
    """Knowledge that an engine leaves.

    :ivar heard_at_s: loop time at which the first daemon heard it
    :ivar retain_until_s: loop time after which it may be forgotten
    """

    heard_at_s: float
    retain_until_s: float


class EngineNotices:
    """Holds the notices of all engines.

    :param report_soon: set to have the next report to the other daemons sent at once
    :ivar on_leaving: called with the incarnation of an engine that is newly known to leave, and
        with the request or the daemon that told it
    :ivar counts: number of notices by kind, `leaving` or `pause`
    """

    def __init__(self, report_soon: asyncio.Event | None = None) -> None:
        self.on_leaving: Callable[[Incarnation, str], None] = lambda incarnation, source: None
        self.counts: Counter[str] = Counter()
        self._report_soon = report_soon
        self._leaving: dict[Incarnation, _LeaveNotice] = {}
        self._pauses: dict[Incarnation, _Pause] = {}

    def note_response(
        self,
        incarnation: Incarnation,
        response: EngineResponseFields,
        status: int,
        request_id: str = "",
    ) -> None:
        """Learn from a response of an engine.

        :param status: status of the response to a request, 0 for that to another call
        """
        if response.unreadable_notice:
            decision(
                "engine_notice_unreadable",
                request=request_id,
                engine=incarnation[0],
                value=response.unreadable_notice,
            )
        if response.wrong_engine:
            return
        now_s = asyncio.get_running_loop().time()
        if response.leaving:
            self._note_leaving(incarnation, now_s, f"request {request_id}")
        if status == UNAVAILABLE_STATUS and response.retry_after_s:
            self._note_pause(incarnation, now_s, response.retry_after_s, request_id)

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether an engine is known to leave."""
        return incarnation in self._leaving

    def paused_until_s(self, incarnation: Incarnation) -> float:
        """Return the loop time until which an engine wants no requests, 0 if it asked for none."""
        pause = self._pauses.get(incarnation)
        return pause.until_s if pause is not None else 0.0

    def is_paused(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether an engine wants no requests now."""
        return now_s < self.paused_until_s(incarnation)

    def take_moved_send(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether a moved stream may continue at an engine, and count it during a pause."""
        if not self.is_paused(incarnation, now_s):
            return True
        pause = self._pauses[incarnation]
        pause.moved_sends += 1
        return pause.moved_sends <= MOVED_SENDS_PER_PAUSE

    def apply_report(self, sender: str, notices: ReportedNotices) -> None:
        """Learn of leaving engines from another daemon."""
        now_s = asyncio.get_running_loop().time()
        for engine_id, (started_at_ms, age_s) in notices.items():
            if 0.0 <= age_s < LEAVING_REPORT_S:
                self._note_leaving((engine_id, started_at_ms), now_s - age_s, sender)

    def reported(self) -> dict[str, tuple[int, float]]:
        """Return the notices to report to the other daemons."""
        now_s = asyncio.get_running_loop().time()
        return {
            engine_id: (started_at_ms, round(now_s - notice.heard_at_s, 3))
            for (engine_id, started_at_ms), notice in self._leaving.items()
            if now_s - notice.heard_at_s < LEAVING_REPORT_S
        }

    def drop_expired(self, is_known: Callable[[Incarnation], bool]) -> None:
        """Drop pauses that have ended, and notices of engines that were removed long ago.

        :param is_known: returns whether an incarnation of an engine has an entry
        """
        now_s = asyncio.get_running_loop().time()
        for incarnation, pause in list(self._pauses.items()):
            if now_s >= pause.until_s:
                del self._pauses[incarnation]
        for incarnation, notice in list(self._leaving.items()):
            if is_known(incarnation):
                notice.retain_until_s = now_s + LEAVING_RETENTION_S
            elif now_s >= notice.retain_until_s:
                del self._leaving[incarnation]

    def _note_leaving(self, incarnation: Incarnation, heard_at_s: float, source: str) -> None:
        notice = self._leaving.get(incarnation)
        if notice is not None:
            notice.retain_until_s = max(notice.retain_until_s, heard_at_s + LEAVING_RETENTION_S)
            return
        self._leaving[incarnation] = _LeaveNotice(heard_at_s, heard_at_s + LEAVING_RETENTION_S)
        self.counts["leaving"] += 1
        now_s = asyncio.get_running_loop().time()
        decision(
            "engine_leave_notice",
            engine=incarnation[0],
            started_at_ms=incarnation[1],
            age_s=round(now_s - heard_at_s, 3),
            source=source,
        )
        if self._report_soon is not None:
            self._report_soon.set()
        self.on_leaving(incarnation, source)

    def _note_pause(
        self, incarnation: Incarnation, now_s: float, pause_s: float, request_id: str
    ) -> None:
        self.counts["pause"] += 1
        pause = self._pauses.get(incarnation)
        if pause is None or now_s >= pause.until_s:
            self._pauses[incarnation] = _Pause(now_s + pause_s)
        else:
            pause.until_s = max(pause.until_s, now_s + pause_s)
        decision(
            "engine_paused",
            request=request_id,
            engine=incarnation[0],
            started_at_ms=incarnation[1],
            pause_s=pause_s,
        )
