"""Counts the requests that began to run, by usage window and client account."""

from __future__ import annotations

import time
from collections.abc import Mapping

KEPT_WINDOWS = 12
"""Windows that are kept: a report is due two windows after its own, the rest is for successors."""

JUMP_S = 0.5
"""A change of the time of day against the steady clock that counts as a jump, not as drift."""


class TrueTime:
    """Time of day that does not follow jumps of the machine's clock."""

    def __init__(self) -> None:
        self._offset_s = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def correct(self, by_s: float) -> None:
        """Set the clock right by what most others say."""
        self._offset_s += by_s

    def now_s(self) -> float:
        """Return seconds since 1970."""
        boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        measured_s = time.time() - boot_s
        if abs(measured_s - self._offset_s) < JUMP_S:
            self._offset_s = measured_s
        return self._offset_s + boot_s


class UsageBook:
    """Requests that began to run at this daemon's sends.

    :ivar window_s: length of a window
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.clock = TrueTime()
        self.own: dict[int, dict[str, int]] = {}

    def note_started(self, account: str, ago_s: float = 0.0) -> None:
        """Count a request that began to run.

        :param ago_s: how long ago it began
        """
        window = self.window_at(self.clock.now_s() - ago_s)
        counts = self.own.setdefault(window, {})
        counts[account] = counts.get(account, 0) + 1
        for old in [number for number in self.own if number < window - KEPT_WINDOWS]:
            del self.own[old]

    def window_at(self, time_s: float) -> int:
        """Return the number of the window that a time lies in."""
        return int(time_s // self.window_s)

    def recent(self, windows: int) -> Mapping[int, Mapping[str, int]]:
        """Return the counts of the last windows."""
        newest = self.window_at(self.clock.now_s())
        return {number: counts for number, counts in self.own.items() if number > newest - windows}
