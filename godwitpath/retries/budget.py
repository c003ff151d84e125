"""Budget of retries of one service: a fraction of its fresh calls."""

from __future__ import annotations

from typing import Any

MIN_RETRIES_PER_S = 0.2
"""Retries a second that are allowed however little fresh work there is."""

MAX_SAVED = 10.0
"""Most retries that are saved up."""


class RetryBudget:
    """Token bucket that fresh calls fill and retries empty.

    Sent calls are at most ``1 + ratio`` times the fresh ones, but for the minimum and what was
    saved up.

    :ivar ratio: retries allowed as a fraction of fresh calls
    """

    def __init__(
        self,
        ratio: float = 0.1,
        min_per_s: float = MIN_RETRIES_PER_S,
        max_saved: float = MAX_SAVED,
    ) -> None:
        self.ratio = ratio
        self.min_per_s = min_per_s
        self.max_saved = max_saved
        self.fresh = 0
        self.spent = 0
        self.denied = 0
        self._saved = 1.0
        self._filled_at_s: float | None = None

    def note_fresh(self, now_s: float) -> None:
        """Note a fresh call, which earns a part of a retry."""
        self._refill(now_s)
        self.fresh += 1
        self._saved = min(self.max_saved, self._saved + self.ratio)

    def allows(self, now_s: float) -> bool:
        """Return whether a retry could be spent now."""
        self._refill(now_s)
        return self._saved >= 1.0

    def spend(self, now_s: float) -> bool:
        """Spend a retry.

        :returns: whether there was one
        """
        if not self.allows(now_s):
            self.denied += 1
            return False
        self._saved -= 1.0
        self.spent += 1
        return True

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "ratio": self.ratio,
            "saved": round(self._saved, 2),
            "fresh": self.fresh,
            "spent": self.spent,
            "denied": self.denied,
        }

    def _refill(self, now_s: float) -> None:
        if self._filled_at_s is not None:
            earned = self.min_per_s * max(0.0, now_s - self._filled_at_s)
            self._saved = min(self.max_saved, self._saved + earned)
        self._filled_at_s = now_s
