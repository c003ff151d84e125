"""Ejection of engines that fail more than their peers, with a floor on how many stay."""

from __future__ import annotations

from dataclasses import dataclass

FAILURES_TO_EJECT = 3
"""Failures in a row after which an engine is ejected."""

EJECTION_S = 5.0
"""Length of a first ejection; each further one is longer by as much."""

MAX_EJECTION_S = 60.0
"""Longest ejection."""

MAX_EJECTED_SHARE = 0.34
"""Largest part of the engines that is left out at once."""


@dataclass(slots=True)
class OutlierState:
    """What is known of one engine's failures.

    :ivar failures: failures since the last success
    :ivar ejections: ejections since it last did well for a whole ejection
    :ivar ejected_until_s: end of its ejection, 0 when not ejected
    """

    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0

    def succeeded(self) -> None:
        """Note a call that was answered."""
        self.failures = 0
        self.ejections = max(0, self.ejections - 1)

    def failed(self, now_s: float) -> bool:
        """Note a call that failed.

        :returns: whether the engine is now ejected by this failure
        """
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT or now_s < self.ejected_until_s:
            return False
        self.ejections += 1
        self.failures = 0
        self.ejected_until_s = now_s + min(MAX_EJECTION_S, EJECTION_S * self.ejections)
        return True


def ejected(states: dict[str, OutlierState], now_s: float) -> set[str]:
    """Return the engines to leave out, worst first, never more than the largest part.

    :param states: every engine of one service
    """
    out = [upstream_id for upstream_id, state in states.items() if now_s < state.ejected_until_s]
    out.sort(key=lambda upstream_id: (-states[upstream_id].ejected_until_s, upstream_id))
    return set(out[: int(len(states) * MAX_EJECTED_SHARE)])
