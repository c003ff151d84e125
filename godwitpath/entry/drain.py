"""Drains an entry on planned stops and reclaims without interrupting requests in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from godwitpath.entry.context import EntryContext, now_s
from godwitpath.telemetry.logs import state_change

BALANCER_NOTICE_S = 3.0
"""Time for the balancer to see that the entry is not ready, before the entry refuses requests."""

POLL_INTERVAL_S = 0.05
"""Interval between checks for requests in progress."""

HAND_OVER_MARGIN_S = 2.0
"""Time before the deadline that is reserved for handing over records."""


class Drain:
    """Drains an entry once, even if several stops are requested.

    :param in_progress: returns the number of requests in progress
    """

    __slots__ = ("_context", "_deadline_s", "_in_progress", "_started", "stop_requested")

    def __init__(self, context: EntryContext, in_progress: Callable[[], int]) -> None:
        self._context = context
        self._in_progress = in_progress
        self._started = False
        self._deadline_s = float("inf")
        self.stop_requested = asyncio.Event()

    def stop(self, reason: str, within_s: float | None = None) -> None:
        """Request a stop; a later call can only shorten the deadline.

        :param within_s: time until the instance is terminated, None for a planned stop
        """
        if within_s is not None:
            self._deadline_s = min(self._deadline_s, now_s() + within_s)
        if not self._started:
            self._started = True
            state_change("entry", "serving", "stopping", reason=reason)
        self.stop_requested.set()

    async def leave(self) -> None:
        """Announce that the entry is leaving, and wait for the balancer to notice.

        Requests that arrive in the meantime are served.
        """
        self._context.leaving = True
        await self._context.membership.announce_leaving()
        await asyncio.sleep(min(BALANCER_NOTICE_S, self._time_left_s() / 4))
        self._context.stopping = True

    async def finish(self) -> None:
        """Wait for requests in progress; when time runs out, hand the rest over to backups."""
        planned_end_s = now_s() + self._context.settings.drain_timeout_s
        while self._in_progress() > 0:
            if now_s() >= planned_end_s or self._time_left_s() <= HAND_OVER_MARGIN_S:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        handed_over = await self._context.records.hand_over()
        state_change("entry", "stopping", "drained", handed_over=handed_over)

    def _time_left_s(self) -> float:
        return self._deadline_s - now_s()
