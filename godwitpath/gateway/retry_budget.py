"""This daemon's share of the retry budget of each service.

The budget of a service limits the retries of all daemons together, without coordination: each
daemon may send retries for a fraction of its own requests, plus an equal share of a fixed
allowance.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

BUDGET_SAFETY_FACTOR = 0.8
"""Fraction of the configured budget that is used: the configured budget does not count requests
that the caller gave up."""

MIN_DAEMONS = 8
"""Least number of daemons that are assumed to share the allowance: some may not be known yet."""


@dataclass(slots=True)
class _SendTimes:
    """Loop times of the sends to one service within the window."""

    first_sends: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryBudget:
    """Counts first sends and retries by service in a sliding window.

    :param ratio: allowed retries per first send
    :param window_s: length of the window
    :param allowance: allowance of all daemons together per window, in addition to the ratio
    :ivar denied: number of retries that the budget did not allow
    :ivar daemons: number of daemons that share the allowance, the largest number known so far;
        0 until the others are known, when there is no allowance
    :ivar count_daemons: returns the number of known daemons, 0 while it is unknown
    """

    def __init__(self, ratio: float, window_s: float, allowance: float) -> None:
        self.denied = 0
        self.daemons = 0
        self.count_daemons: Callable[[], int] = lambda: 0
        self._ratio = ratio
        self._window_s = window_s
        self._allowance = allowance
        self._windows: dict[str, _SendTimes] = {}

    def set_budget(self, ratio: float, window_s: float, allowance: float) -> None:
        """Change the budget."""
        self._ratio, self._window_s, self._allowance = ratio, window_s, allowance

    def note_daemons(self, known: int) -> None:
        """Record the number of known daemons, 0 while it is unknown.

        A smaller number than before is ignored: daemons no longer known may still send retries.
        """
        if known:
            self.daemons = max(self.daemons, known, MIN_DAEMONS)

    def record_first_send(self, service: str, now_s: float) -> None:
        """Record the first send of a request to a service."""
        window = self._windows.setdefault(service, _SendTimes())
        window.first_sends.append(now_s)
        self._remove_expired(window, now_s)

    def first_sends_per_s(self, service: str, now_s: float) -> float:
        """Return the rate of this daemon's requests to a service within the window."""
        window = self._windows.get(service)
        if window is None:
            return 0.0
        self._remove_expired(window, now_s)
        return len(window.first_sends) / self._window_s

    def allows(self, service: str, now_s: float) -> bool:
        """Return whether the budget of a service allows a retry now."""
        window = self._windows.setdefault(service, _SendTimes())
        self._remove_expired(window, now_s)
        self.note_daemons(self.count_daemons())
        allowance = self._allowance / self.daemons if self.daemons else 0.0
        allowed = self._ratio * len(window.first_sends) + allowance
        return len(window.retries) + 1 <= allowed * BUDGET_SAFETY_FACTOR

    def spend(self, service: str, now_s: float) -> bool:
        """Use the budget of a service for one retry; returns whether the budget allows it."""
        if not self.allows(service, now_s):
            self.denied += 1
            return False
        self._windows[service].retries.append(now_s)
        return True

    def _remove_expired(self, window: _SendTimes, now_s: float) -> None:
        window_start_s = now_s - self._window_s
        for send_times_s in (window.first_sends, window.retries):
            while send_times_s and send_times_s[0] <= window_start_s:
                send_times_s.popleft()
