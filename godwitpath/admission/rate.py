"""Meter of an event rate."""

from __future__ import annotations

WINDOW_S = 5.0
"""Length of the windows in which events are counted."""

WINDOW_WEIGHT = 0.5
"""Weight of a new window in the moving average."""


class RateMeter:
    """Moving average of events per second, updated at the end of each window.

    :ivar per_s: events per second, 0 until the end of the first window
    """

    __slots__ = ("_count", "_start_s", "per_s")

    def __init__(self) -> None:
        self.per_s = 0.0
        self._count = 0
        self._start_s: float | None = None

    def add(self, now_s: float, count: int = 1) -> None:
        """Count events."""
        if self._start_s is None:
            self._start_s = now_s
        self._count += count
        self.advance(now_s)

    def advance(self, now_s: float) -> None:
        """End the window when its time is over, also without events."""
        if self._start_s is None:
            self._start_s = now_s
        elapsed_s = now_s - self._start_s
        if elapsed_s < WINDOW_S:
            return
        self.per_s += WINDOW_WEIGHT * (self._count / elapsed_s - self.per_s)
        self._count, self._start_s = 0, now_s
