"""The token bucket from which one daemon grants the sends to a limited engine."""

from __future__ import annotations

PROBE_INTERVAL_S = 5.0
"""Longest time between two permits, however low the limit: without a send no daemon learns that a
limit has changed or ended."""

BURST_S = 1.0
"""Time for which unused permits are kept."""

MIN_BURST = 2.0
"""Number of unused permits that are kept at any limit, so that a permit is not lost when the next
request comes a moment late, and one may be reserved."""

RESERVED_SHARE = 0.25
"""Share of the bucket that is reserved for more urgent requests while there are some."""

URGENT_MEMORY_S = 2.0
"""Time for which a more urgent request has permits reserved after it was asked for one."""

MAX_DEFERRAL_S = 4.0
"""Time without a permit after which requests of a priority may use reserved ones: less urgent
requests wait, but do not starve."""


class PermitBucket:
    """Token bucket of one engine, empty at first: earlier sends to the engine are not known.

    :param now_s: loop time
    """

    def __init__(self, now_s: float) -> None:
        self._level = 0.0
        self._refilled_at_s = now_s
        self._asked_at_s: dict[int, float] = {}
        self._granted_at_s: dict[int, float] = {}

    def take(self, rate_per_s: float, priority: int, now_s: float) -> float:
        """Take a permit.

        :param rate_per_s: limit of the engine, in requests per second
        :param priority: priority of the request, 0 for the most urgent
        :returns: 0 if a permit was taken, else the time until one is likely to be left, in seconds
        """
        rate_per_s = max(rate_per_s, 1 / PROBE_INTERVAL_S)
        capacity = max(MIN_BURST, rate_per_s * BURST_S)
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        self._level = min(capacity, self._level + elapsed_s * rate_per_s)
        self._asked_at_s[priority] = now_s
        needed = 1.0 + self._reserved(priority, capacity, now_s)
        if self._level < needed:
            return (needed - self._level) / rate_per_s
        self._level -= 1.0
        self._granted_at_s[priority] = now_s
        return 0.0

    def _reserved(self, priority: int, capacity: float, now_s: float) -> float:
        """Return the number of permits that are kept for more urgent requests."""
        first_asked_s = self._granted_at_s.setdefault(priority, now_s)
        if now_s - first_asked_s >= MAX_DEFERRAL_S:
            return 0.0
        urgent = any(
            other < priority and now_s - asked_at_s < URGENT_MEMORY_S
            for other, asked_at_s in self._asked_at_s.items()
        )
        return max(1.0, RESERVED_SHARE * capacity) if urgent else 0.0
