"""Counts the requests that started to run, by usage window and client account.

A usage window is a period of fixed length for which usage is counted and reported.
"""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence

KEPT_WINDOWS = 12
"""Number of past windows whose counts are kept: the report of a window is due two windows later,
and the further windows let a new duty holder report late."""

CLOCK_JUMP_S = 0.5
"""Change of the wall clock against the boot-time clock that counts as a jump and not as drift, in
seconds."""


def agreed_correction_s(peer_offsets_s: Sequence[float]) -> float:
    """Return by how much a clock differs from what the majority of the daemons agree on.

    This is the median of all clocks, including the own one, which wins a tie. Two clocks agree on
    nothing. It is computed at each report over the daemons that report directly: those of the zone,
    and at the duty holder all.

    :param peer_offsets_s: differences between the other daemons' clocks and the own one
    """
    if len(peer_offsets_s) < 2:
        return 0.0
    offsets_s = sorted([0.0, *peer_offsets_s])
    middle_s = offsets_s[(len(offsets_s) - 1) // 2 : len(offsets_s) // 2 + 1]
    return min(middle_s, key=abs)


class JumpFreeClock:
    """Wall clock that ignores jumps of the machine's clock."""

    def __init__(self) -> None:
        self._offset_s = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def correct(self, by_s: float) -> None:
        """Correct the clock by an offset that the majority of the daemons agree on."""
        self._offset_s += by_s

    def now_s(self) -> float:
        """Return the time in seconds since 1970."""
        boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        measured_offset_s = time.time() - boot_s
        if abs(measured_offset_s - self._offset_s) < CLOCK_JUMP_S:
            self._offset_s = measured_offset_s
        return self._offset_s + boot_s


class UsageCounter:
    """Counts the requests that this daemon sent to engines and that started to run there.

    :ivar window_s: length of a usage window
    :ivar counts_by_window: number of requests by usage window and account
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.clock = JumpFreeClock()
        self.counts_by_window: dict[int, dict[str, int]] = {}

    def note_started(self, account: str, ago_s: float = 0.0) -> None:
        """Count a request that started to run.

        :param ago_s: time since the request started to run
        """
        window = self.window_at(self.clock.now_s() - ago_s)
        counts = self.counts_by_window.setdefault(window, {})
        counts[account] = counts.get(account, 0) + 1
        for expired in [
            number for number in self.counts_by_window if number < window - KEPT_WINDOWS
        ]:
            del self.counts_by_window[expired]

    def window_at(self, time_s: float) -> int:
        """Return the number of the window that contains a time."""
        return int(time_s // self.window_s)

    def recent(self, windows: int) -> Mapping[int, Mapping[str, int]]:
        """Return the request counts of the most recent windows, by window and account.

        :param windows: number of windows, including the current one
        """
        newest = self.window_at(self.clock.now_s())
        return {
            number: counts
            for number, counts in self.counts_by_window.items()
            if number > newest - windows
        }
