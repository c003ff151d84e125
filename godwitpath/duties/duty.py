"""A duty: work that one entry does for all, and the proof of holding it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True, order=True)
class Duty:
    """Work that one entry does for all, cut into shards.

    :ivar name: kind of work
    :ivar shard: part of it, such as service and region
    """

    name: str
    shard: str

    @property
    def store_key(self) -> str:
        """The key that the holder has under its lease."""
        return f"duties/{self.name}/{self.shard}"


@dataclass(slots=True, frozen=True)
class Fence:
    """Proof that a duty is held.

    :ivar number: fencing number; each later holder has a greater one
    :ivar valid_until_s: loop time after which the lease may have lapsed
    """

    duty: Duty
    number: int
    valid_until_s: float

    def valid_for_s(self, now_s: float) -> float:
        """Return how long the lease certainly holds on, 0 when it may have lapsed."""
        return max(0.0, self.valid_until_s - now_s)


@dataclass(slots=True)
class DutyCounters:
    """What the duties cost and how they changed hands, counted from the start."""

    store_calls: int = 0
    renewals: int = 0
    renewals_failed: int = 0
    taken: int = 0
    found_held: int = 0
    handed_back: int = 0
    lapsed: int = 0
    settled_by_read: int = 0


@dataclass(slots=True)
class HeldDuty:
    """A duty as its keeper knows it.

    :ivar revision: revision of the holder's key, 0 while the duty is not held
    :ivar token: part of the key's value, new for each time the duty is taken
    :ivar pause_s: time until the next try to take the duty
    :ivar try_at_s: loop time of that try
    :ivar position: this entry's place in the ranking at the last look, -1 for none
    :ivar absent_looks: looks in a row at which nobody held the duty
    :ivar stood_in_for: entry that ranks first but left the duty without a holder
    :ivar store_calls: store calls made for this duty alone
    """

    duty: Duty
    token: str
    pause_s: float
    revision: int = 0
    try_at_s: float = float("-inf")
    absent_looks: int = 0
    position: int = -1
    stood_in_for: str = ""
    store_calls: int = 0

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {
            "duty": f"{self.duty.name}/{self.duty.shard}",
            "fencing": self.revision,
            "store_calls": self.store_calls,
        }
