"""Planned stops and reclaims of an entry: no request in progress is cut off."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from godwitpath.entry.context import EntryContext, now_s
from godwitpath.telemetry.logs import state_change

NOTICE_TO_BALANCER_S = 3.0
"""Time that the balancer has to see that the entry is not ready before it stops listening."""

POLL_S = 0.05
"""Time between two looks at what is still in progress."""

HAND_OVER_MARGIN_S = 2.0
"""Time kept before a deadline for handing records over."""


class Drain:
    """Brings an entry to its end, once, however often it is told to stop.

    :param in_progress: number of requests that are still worked on or delivered
    """

    __slots__ = ("_context", "_deadline_s", "_in_progress", "_started", "asked")

    def __init__(self, context: EntryContext, in_progress: Callable[[], int]) -> None:
        self._context = context
        self._in_progress = in_progress
        self._started = False
        self._deadline_s = float("inf")
        self.asked = asyncio.Event()

    def stop(self, reason: str, within_s: float | None = None) -> None:
        """Start to stop; a later call can only bring the deadline nearer.

        :param within_s: time until the instance is gone, None for a planned stop
        """
        if within_s is not None:
            self._deadline_s = min(self._deadline_s, now_s() + within_s)
        if not self._started:
            self._started = True
            state_change("entry", "serving", "stopping", reason=reason)
        self.asked.set()

    async def leave(self) -> None:
        """Tell everybody that the entry is leaving, and wait until the balancer has seen it.

        Requests that still come meanwhile are served.
        """
        self._context.leaving = True
        await self._context.membership.leave()
        await asyncio.sleep(min(NOTICE_TO_BALANCER_S, self._time_left_s() / 4))
        self._context.stopping = True

    async def finish(self) -> None:
        """Wait for what is in progress; before a deadline, hand the rest to the backups."""
        planned_end_s = now_s() + self._context.settings.drain_timeout_s
        while self._in_progress() > 0:
            if now_s() >= planned_end_s or self._time_left_s() <= HAND_OVER_MARGIN_S:
                break
            await asyncio.sleep(POLL_S)
        taken = await self._context.records.hand_over()
        state_change("entry", "stopping", "drained", handed_over=taken)

    def _time_left_s(self) -> float:
        return self._deadline_s - now_s()
