"""How long a suspected member has to refute, and how far an entry trusts its own probes.

The time shrinks as further entries confirm the suspicion, and an entry whose own probes and
messages are late, such as one that was paused or is overloaded, waits longer before it accuses
others (the local health multiplier of Lifeguard).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MAX_HEALTH_SCORE = 8
"""Greatest multiplier of an entry's own times, less one."""

LONGEST_FACTOR = 3.0
"""An unconfirmed suspicion lasts so many times as long as a confirmed one."""

ENOUGH_CONFIRMATIONS = 3
"""Entries that must confirm a suspicion for the shortest time."""


@dataclass(slots=True)
class LocalHealth:
    """How late an entry's own work seems to be.

    :ivar score: 0 while all is well
    """

    score: int = 0

    @property
    def multiplier(self) -> int:
        """Factor for the entry's own times."""
        return 1 + self.score

    def worse(self, by: int = 1) -> None:
        """Take note of a sign that the entry itself is late."""
        self.score = min(MAX_HEALTH_SCORE, self.score + by)

    def better(self) -> None:
        """Take note of a probe that was answered in time."""
        self.score = max(0, self.score - 1)


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one member.

    :ivar incarnation: incarnation that is suspected
    :ivar started_at_s: when it began, on the loop's clock
    :ivar shortest_s: time to refute once enough entries confirm
    :ivar confirmations_wanted: how many that takes
    :ivar accusers: entries that suspect the member
    """

    incarnation: int
    started_at_s: float
    shortest_s: float
    confirmations_wanted: int
    accusers: set[str] = field(default_factory=set)

    @property
    def deadline_s(self) -> float:
        """When the member counts as gone, on the loop's clock."""
        return self.started_at_s + self._timeout_s()

    def _timeout_s(self) -> float:
        if self.confirmations_wanted <= 0:
            return self.shortest_s
        longest_s = self.shortest_s * LONGEST_FACTOR
        confirmations = max(0, len(self.accusers) - 1)
        share = math.log(confirmations + 1) / math.log(self.confirmations_wanted + 1)
        return max(self.shortest_s, longest_s - share * (longest_s - self.shortest_s))


def new_suspicion(
    incarnation: int, accuser: str, now_s: float, suspicion_s: float, member_count: int
) -> Suspicion:
    """Return a suspicion whose times suit the number of members."""
    # News needs a number of probes that grows with the logarithm of the fleet to reach everyone.
    scale = max(1.0, math.log10(max(1, member_count)))
    # Accuser and accused cannot confirm, so a small fleet must do with fewer.
    wanted = min(ENOUGH_CONFIRMATIONS, max(0, member_count - 3))
    return Suspicion(incarnation, now_s, suspicion_s * scale, wanted, {accuser})
