"""Retry budget of one service: a fraction of its first attempts."""

from __future__ import annotations

from typing import Any

MIN_RETRIES_PER_S = 0.2
"""Rate of retries that a service is allowed even without first attempts."""

MAX_SAVED_RETRIES = 10.0
"""Most unused retries that a budget keeps for later."""


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    All attempts together are at most ``1 + ratio`` times the first attempts, plus the minimum rate
    and the saved retries.

    :ivar ratio: retries allowed per first attempt
    :ivar min_retries_per_s: retries per second allowed without first attempts
    :ivar max_saved: most saved retries
    :ivar first_attempts: number of calls sent for the first time
    :ivar spent_retries: number of retries taken from the budget
    :ivar denied_retries: number of retries that the budget did not allow
    """

    def __init__(
        self,
        ratio: float = 0.1,
        min_retries_per_s: float = MIN_RETRIES_PER_S,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        self.ratio = ratio
        self.min_retries_per_s = min_retries_per_s
        self.max_saved = max_saved
        self.first_attempts = 0
        self.spent_retries = 0
        self.denied_retries = 0
        self._saved_retries = 1.0
        self._refilled_at_s: float | None = None

    def record_first_attempt(self, now_s: float) -> None:
        """Record a first attempt, which adds `ratio` retries."""
        self._refill(now_s)
        self.first_attempts += 1
        self._saved_retries = min(self.max_saved, self._saved_retries + self.ratio)

    def allows(self, now_s: float) -> bool:
        """Return whether the budget allows a retry now."""
        self._refill(now_s)
        return self._saved_retries >= 1.0

    def spend(self, now_s: float) -> bool:
        """Take a retry from the budget.

        :returns: whether the budget allowed the retry
        """
        if not self.allows(now_s):
            self.denied_retries += 1
            return False
        self._saved_retries -= 1.0
        self.spent_retries += 1
        return True

    def dump(self) -> dict[str, Any]:
        """Return the content for the state dump."""
        return {
            "ratio": self.ratio,
            "saved": round(self._saved_retries, 2),
            "fresh": self.first_attempts,
            "spent": self.spent_retries,
            "denied": self.denied_retries,
        }

    def _refill(self, now_s: float) -> None:
        if self._refilled_at_s is not None:
            earned_retries = self.min_retries_per_s * max(0.0, now_s - self._refilled_at_s)
            self._saved_retries = min(self.max_saved, self._saved_retries + earned_retries)
        self._refilled_at_s = now_s
