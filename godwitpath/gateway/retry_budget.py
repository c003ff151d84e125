"""This daemon's part of the budget for sending a request to a further engine.

The budget of a service holds over all daemons without a word between them: each may repeat a part
of its own requests, and its share of the fixed allowance.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SAFETY = 0.8
"""Part of the written budget that is used: requests that a caller gave up are not counted there."""


DAEMONS_AT_FIRST = 8
"""Daemons that are taken to share the allowance until the others are known."""


@dataclass(slots=True)
class _Window:
    first: deque[float] = field(default_factory=deque)
    repeated: deque[float] = field(default_factory=deque)


class RepeatBudget:
    """Counts first and repeated sends by service in a sliding window.

    :ivar denied: repeats that were not allowed
    :ivar daemons: daemons that share the allowance; the most that were ever known
    """

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self.denied = 0
        self.daemons = DAEMONS_AT_FIRST
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._windows: dict[str, _Window] = {}

    def set_budget(self, ratio: float, window_s: float, slack: float) -> None:
        """Change the budget."""
        self._ratio, self._window_s, self._slack = ratio, window_s, slack

    def note_daemons(self, known: int) -> None:
        """Note how many daemons there are; some that are not known now may still repeat."""
        self.daemons = max(self.daemons, known)

    def note_first(self, service: str, now_s: float) -> None:
        """Note the first send of a request."""
        window = self._windows.setdefault(service, _Window())
        window.first.append(now_s)
        self._expire(window, now_s)

    def spend(self, service: str, now_s: float) -> bool:
        """Spend a repeat; returns whether there was one."""
        window = self._windows.setdefault(service, _Window())
        self._expire(window, now_s)
        allowed = self._ratio * len(window.first) + self._slack / max(1, self.daemons)
        if len(window.repeated) + 1 > allowed * SAFETY:
            self.denied += 1
            return False
        window.repeated.append(now_s)
        return True

    def _expire(self, window: _Window, now_s: float) -> None:
        start_s = now_s - self._window_s
        for times in (window.first, window.repeated):
            while times and times[0] <= start_s:
                times.popleft()
