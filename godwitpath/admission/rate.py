"""Meter of the rate of events, such as finished calls."""

from __future__ import annotations

WINDOW_S = 5.0
"""Length of the windows in which events are counted."""

WINDOW_WEIGHT = 0.5
"""Weight of the latest window in the moving average of the rate."""


class RateMeter:
    """Moving average of events per second, updated at the end of each window.

    :ivar per_s: events per second, 0 until the end of the first window
    """

    __slots__ = ("_count", "_window_start_at_s", "per_s")

    def __init__(self) -> None:
        self.per_s = 0.0
        self._count = 0
        self._window_start_at_s: float | None = None

    def add(self, now_s: float, count: int = 1) -> None:
        """Count events."""
        if self._window_start_at_s is None:
            self._window_start_at_s = now_s
        self._count += count
        self.advance(now_s)

    def advance(self, now_s: float) -> None:
        """Update the rate if the current window has lasted `WINDOW_S`, also without events."""
        if self._window_start_at_s is None:
            self._window_start_at_s = now_s
        elapsed_s = now_s - self._window_start_at_s
        if elapsed_s < WINDOW_S:
            return
        self.per_s += WINDOW_WEIGHT * (self._count / elapsed_s - self.per_s)
        self._count, self._window_start_at_s = 0, now_s
