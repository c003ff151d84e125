"""Spreads the returns of callers that were refused because the engines of a service are limited."""

from __future__ import annotations

MIN_RETRY_AFTER_S = 0.25
"""Shortest Retry-After time: an engine completes a plain request in a tenth of this time."""

MAX_RETRY_AFTER_S = 10.0
"""Longest Retry-After time: by then limits have changed."""


class RetrySchedule:
    """Gives each refused caller a time of its own, at the rate that the engines take.

    If all refused callers of all daemons returned at the same time, most would be refused again.
    """

    def __init__(self) -> None:
        # Loop time of the last return that was given out, by service.
        self._last_return_at_s: dict[str, float] = {}

    def retry_after_s(self, service: str, rate_per_s: float, now_s: float) -> float:
        """Return the Retry-After time of the next refused caller.

        :param rate_per_s: this daemon's part of the requests per second that the service takes
        """
        earliest_s = now_s + MIN_RETRY_AFTER_S
        latest_s = now_s + MAX_RETRY_AFTER_S
        last_s = self._last_return_at_s.get(service, 0.0)
        return_at_s = min(latest_s, max(earliest_s, last_s + 1 / max(rate_per_s, 1e-3)))
        self._last_return_at_s[service] = return_at_s
        return return_at_s - now_s
