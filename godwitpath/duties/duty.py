"""A duty, which is a singleton task under a lease, and the fencing token of its holder.

The holder of a duty is the entry that runs it. A term is the time from the acquisition of the duty
to its release or loss.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True, order=True)
class Duty:
    """One shard of a task that a single entry runs for all entries.

    :ivar name: kind of task
    :ivar shard: part of the task, such as service and region
    """

    name: str
    shard: str

    @property
    def store_key(self) -> str:
        """Store key that the holder creates under its lease."""
        return f"duties/{self.name}/{self.shard}"


@dataclass(slots=True, frozen=True)
class FencingToken:
    """Fencing token of a duty holder, with its validity.

    :ivar duty: duty that is held
    :ivar number: number of the token, which increases with every holder
    :ivar valid_until_s: loop time after which the lease may have lapsed
    """

    duty: Duty
    number: int
    valid_until_s: float

    def valid_for_s(self, now_s: float) -> float:
        """Return the time for which the lease is still valid, 0 when it may have lapsed.

        :param now_s: loop time
        """
        return max(0.0, self.valid_until_s - now_s)


@dataclass(slots=True)
class DutyCounters:
    """Numbers of store calls and of changes of holders since the start of the process.

    :ivar store_calls: number of calls to the store
    :ivar renewals: renewals of the lease
    :ivar renewals_failed: steps, with a renewal or not, that ended with an error of the store
    :ivar taken: duties acquired by this entry
    :ivar found_held: attempts to acquire a duty that another entry held
    :ivar handed_back: duties released by this entry
    :ivar lapsed: duties lost because the lease lapsed
    :ivar settled_by_read: attempts with an unknown result that a read resolved
    """

    store_calls: int = 0
    renewals: int = 0
    renewals_failed: int = 0
    taken: int = 0
    found_held: int = 0
    handed_back: int = 0
    lapsed: int = 0
    settled_by_read: int = 0


@dataclass(slots=True)
class DutyState:
    """State of one duty in a :class:`DutyManager`, whether it is held or not.

    :ivar duty: the duty
    :ivar term_token: random part of the value of the duty's store key, which identifies one term
    :ivar backoff_s: backoff before the next attempt to acquire the duty
    :ivar revision: store revision of the duty's key, 0 while this entry does not hold the duty
    :ivar next_attempt_at_s: loop time of the next attempt
    :ivar absent_checks: number of consecutive checks by this entry, as the second in rank, that
        found no holder
    :ivar rank: rank of this entry at the last step, 0 for the first, -1 when it is not live
    :ivar replaced_entry_id: first in rank that this entry, as the second, replaces or may replace
    :ivar store_calls: number of store calls for this duty alone
    """

    duty: Duty
    term_token: str
    backoff_s: float
    revision: int = 0
    next_attempt_at_s: float = float("-inf")
    absent_checks: int = 0
    rank: int = -1
    replaced_entry_id: str = ""
    store_calls: int = 0

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {
            "duty": f"{self.duty.name}/{self.duty.shard}",
            "fencing": self.revision,
            "store_calls": self.store_calls,
        }
