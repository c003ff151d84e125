"""Spreads the returns of callers that were refused because a service's engines take no requests.

This answers two loads: more requests than limited engines take, and engines that all asked for a
pause. Callers then return at the rate, or from the moment, at which engines take requests again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

MIN_RETRY_AFTER_S = 0.25
"""Shortest Retry-After time: an engine completes a plain request in a tenth of this time."""

MAX_RETRY_AFTER_S = 10.0
"""Longest Retry-After time: by then limits have changed."""


@dataclass(slots=True, frozen=True)
class Opening:
    """The end of the pause that an engine asked for.

    :ivar at_s: loop time at which the engine takes requests again
    :ivar rate_per_s: requests per second that it may get from this daemon then
    """

    at_s: float
    rate_per_s: float


class RetrySchedule:
    """Gives each refused caller a time of its own, at the rate that the engines take.

    If all refused callers of all daemons returned at the same time, most would be refused again.
    """

    def __init__(self) -> None:
        # Loop time of the last return that was given out, by service.
        self._last_return_at_s: dict[str, float] = {}
        # The same by engine that asked for a pause.
        self._last_return_to_engine_at_s: dict[str, float] = {}

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

    def retry_after_pause_s(self, openings: Mapping[str, Opening], now_s: float) -> float:
        """Return the Retry-After time of the next refused caller while all engines are paused.

        Each caller is given the earliest place that is left at any of the engines, and none is told
        to return before an engine takes requests again, however long the pauses are.

        :param openings: end of each engine's pause, by engine id; at least one
        """
        last_at_s = {
            engine_id: at_s
            for engine_id, at_s in self._last_return_to_engine_at_s.items()
            if at_s >= now_s
        }
        places_at_s = {
            engine_id: max(
                opening.at_s,
                last_at_s.get(engine_id, 0.0) + 1 / max(opening.rate_per_s, 1e-3),
            )
            for engine_id, opening in openings.items()
        }
        engine_id = min(places_at_s, key=lambda each: places_at_s[each])
        return_at_s = places_at_s[engine_id]
        latest_s = now_s + MAX_RETRY_AFTER_S
        if min(opening.at_s for opening in openings.values()) <= latest_s:
            return_at_s = min(latest_s, return_at_s)
        self._last_return_to_engine_at_s = last_at_s | {engine_id: return_at_s}
        return return_at_s - now_s
