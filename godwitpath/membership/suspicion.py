"""Suspicion timeouts and the local health score, as in Lifeguard.

The timeout of a suspicion shrinks as further entries confirm it. An entry that is itself
delayed, for example because it was paused or is overloaded, waits longer before it suspects others
(the local health multiplier).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MAX_HEALTH_SCORE = 8
"""Maximum health score; the multiplier is the score plus one."""

UNCONFIRMED_TIMEOUT_FACTOR = 3.0
"""Ratio of the timeout of an unconfirmed suspicion to that of a confirmed one."""

MAX_CONFIRMATIONS_NEEDED = 3
"""Number of confirmations that reduce a suspicion's timeout to its minimum in a large fleet."""


@dataclass(slots=True)
class LocalHealth:
    """Tracks how delayed this entry itself is.

    :ivar score: 0 when the entry is not delayed, at most :data:`MAX_HEALTH_SCORE`
    """

    score: int = 0

    @property
    def multiplier(self) -> int:
        """Factor for the probe interval and the probe timeout of this entry."""
        return 1 + self.score

    def degrade(self, increment: int = 1) -> None:
        """Record evidence that this entry is delayed."""
        self.score = min(MAX_HEALTH_SCORE, self.score + increment)

    def improve(self) -> None:
        """Record a probe that shows no delay of this entry."""
        self.score = max(0, self.score - 1)


@dataclass(slots=True)
class Suspicion:
    """Suspicion that one member has failed.

    :ivar incarnation: suspected incarnation of the member
    :ivar started_at_s: start time on the loop's clock
    :ivar min_timeout_s: timeout once enough entries have confirmed the suspicion
    :ivar confirmations_needed: confirmations that reduce the timeout to `min_timeout_s`
    :ivar accusers: names of the entries that suspect the member
    """

    incarnation: int
    started_at_s: float
    min_timeout_s: float
    confirmations_needed: int
    accusers: set[str] = field(default_factory=set)

    @property
    def deadline_s(self) -> float:
        """Time on the loop's clock at which the member is marked as gone."""
        return self.started_at_s + self._timeout_s()

    def _timeout_s(self) -> float:
        if self.confirmations_needed <= 0:
            return self.min_timeout_s
        max_timeout_s = self.min_timeout_s * UNCONFIRMED_TIMEOUT_FACTOR
        confirmations = max(0, len(self.accusers) - 1)
        reduction = math.log(confirmations + 1) / math.log(self.confirmations_needed + 1)
        return max(
            self.min_timeout_s, max_timeout_s - reduction * (max_timeout_s - self.min_timeout_s)
        )


def new_suspicion(
    incarnation: int, accuser: str, now_s: float, suspicion_s: float, member_count: int
) -> Suspicion:
    """Return a suspicion with a timeout that is scaled to the number of members."""
    # Dissemination to all members takes a number of probes that is logarithmic in their count.
    size_factor = max(1.0, math.log10(max(1, member_count)))
    # The accuser and the suspected member cannot confirm, so a small fleet has fewer confirmers.
    confirmations_needed = min(MAX_CONFIRMATIONS_NEEDED, max(0, member_count - 3))
    return Suspicion(incarnation, now_s, suspicion_s * size_factor, confirmations_needed, {accuser})
