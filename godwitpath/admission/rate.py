"""Meter of how many events come in a second."""

from __future__ import annotations

WINDOW_S = 5.0
"""Length of the windows in which events are counted."""

WINDOW_WEIGHT = 0.5
"""Weight of a new window."""


class RateMeter:
    """Moving average of events a second, window by window.

    :ivar per_s: events in a second, 0 until the first window ended
    """

    __slots__ = ("_count", "_start_s", "per_s")

    def __init__(self) -> None:
        self.per_s = 0.0
        self._count = 0
        self._start_s: float | None = None

    def add(self, now_s: float, count: int = 1) -> None:
        """Note events."""
        if self._start_s is None:
            self._start_s = now_s
        self._count += count
        self.roll(now_s)

    def roll(self, now_s: float) -> None:
        """End the window when its time has come, also when nothing happened."""
        if self._start_s is None:
            self._start_s = now_s
        spent_s = now_s - self._start_s
        if spent_s < WINDOW_S:
            return
        self.per_s += WINDOW_WEIGHT * (self._count / spent_s - self.per_s)
        self._count, self._start_s = 0, now_s
