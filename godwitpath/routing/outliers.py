"""Ejection of failing engines, with a bound on the fraction that is ejected at once.

An ejected engine gets no calls for a time unless no other engine is left.
"""

from __future__ import annotations

from dataclasses import dataclass

FAILURES_TO_EJECT = 3
"""Consecutive failed calls after which an engine is ejected."""

EJECTION_STEP_S = 5.0
"""Length of an engine's first ejection; each further one is longer by this time."""

MAX_EJECTION_S = 60.0
"""Longest ejection of an engine."""

MAX_EJECTED_FRACTION = 0.34
"""Largest fraction of a service's engines that is ejected at once."""


@dataclass(slots=True)
class OutlierState:
    """Failures and ejections of one engine.

    :ivar failures: consecutive failed calls since the last success or ejection
    :ivar ejections: number of ejections, less one for each successful call
    :ivar ejected_until_s: end of the latest ejection, 0 before the first
    """

    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0

    def succeeded(self) -> None:
        """Record a successful call."""
        self.failures = 0
        self.ejections = max(0, self.ejections - 1)

    def is_failing(self, now_s: float) -> bool:
        """Return whether its failures eject it, unless too many engines are ejected."""
        return now_s < self.ejected_until_s

    def failed(self, now_s: float) -> bool:
        """Record a failed call.

        :returns: whether this failure ejects the engine
        """
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT or self.is_failing(now_s):
            return False
        self.ejections += 1
        self.failures = 0
        self.ejected_until_s = now_s + min(MAX_EJECTION_S, EJECTION_STEP_S * self.ejections)
        return True


def ejected(states: dict[str, OutlierState], now_s: float) -> set[str]:
    """Return the engines to eject, longest ejection first, within `MAX_EJECTED_FRACTION`.

    :param states: every engine of one service
    """
    ejected_ids = [upstream_id for upstream_id, state in states.items() if state.is_failing(now_s)]
    ejected_ids.sort(key=lambda upstream_id: (-states[upstream_id].ejected_until_s, upstream_id))
    return set(ejected_ids[: int(len(states) * MAX_EJECTED_FRACTION)])
