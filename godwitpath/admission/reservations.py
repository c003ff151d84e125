"""Reservations for refused callers: retry times that are booked against the predicted capacity."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

RESERVED_FRACTIONS = (0.5, 0.2, 0.1)
"""Fraction of the entry's rate of finished calls that may be reserved, by priority level."""

GRACE_S = 2.0
"""Time for which capacity is held after a reservation is due."""

EARLY_TOLERANCE_S = 0.25
"""Time before a reservation is due at which it can already be redeemed."""

SLOT_S = 0.5
"""Length of the time slots in which due reservations are counted."""

EXPIRY_INTERVAL_S = 1.0
"""Time between two scans for expired reservations."""

MAX_RESERVATIONS = 8192
"""Most reservations in a table; further ones are dropped."""

MIN_RATE_PER_S = 0.05
"""Lowest rate of finished calls that is assumed when a reservation is booked."""


@dataclass(slots=True, frozen=True)
class Reservation:
    """Capacity that is reserved for the retry of a refused call.

    :ivar digest: hash of account and call, the same when the caller retries
    :ivar due_at_s: time from which the caller may retry, on the event loop's clock
    """

    digest: str
    due_at_s: float


@dataclass(slots=True)
class ReservationUpdates:
    """Changes of an entry's reservations since the last notice to the peers.

    :ivar made: new reservations
    :ivar redeemed: digests of the calls whose reservations were used
    """

    made: list[Reservation] = field(default_factory=list)
    redeemed: list[str] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.made or self.redeemed)


class ReservationTable:
    """Reservations of this entry, and those received from its peers.

    :ivar made: number of reservations made by this entry
    :ivar redeemed: number of reservations redeemed at this entry
    :ivar expired: number of reservations that no caller used in time
    """

    def __init__(self) -> None:
        self.made = 0
        self.redeemed = 0
        self.expired = 0
        self._due_at_s: dict[str, float] = {}
        self._next_expiry_at_s = 0.0
        self._due_per_slot: Counter[int] = Counter()
        self._next_free_at_s = [0.0] * len(RESERVED_FRACTIONS)
        self._updates = ReservationUpdates()

    def __len__(self) -> int:
        return len(self._due_at_s)

    def book(self, digest: str, priority: int, per_s: float, now_s: float) -> int:
        """Reserve the next free time of a priority level for the retry of a call.

        :param per_s: predicted number of calls that this entry finishes per second
        :returns: whole seconds until the reservation is due
        """
        known_due_at_s = self._due_at_s.get(digest)
        if known_due_at_s is not None and known_due_at_s > now_s:
            return math.ceil(known_due_at_s - now_s)
        level = min(priority, len(RESERVED_FRACTIONS) - 1)
        interval_s = 1.0 / max(per_s * RESERVED_FRACTIONS[level], MIN_RATE_PER_S)
        due_at_s = max(self._next_free_at_s[level], now_s + interval_s)
        self._next_free_at_s[level] = due_at_s + interval_s
        retry_after_s = max(1, math.ceil(due_at_s - now_s))
        reservation = Reservation(digest, now_s + retry_after_s)
        self.made += 1
        self.add([reservation])
        self._updates.made.append(reservation)
        return retry_after_s

    def add(self, reservations: Iterable[Reservation]) -> None:
        """Add reservations of this entry or its peers, up to `MAX_RESERVATIONS`; drop the rest."""
        for reservation in reservations:
            if len(self._due_at_s) >= MAX_RESERVATIONS:
                return
            self._remove(reservation.digest)
            self._due_at_s[reservation.digest] = reservation.due_at_s
            self._due_per_slot[_slot(reservation.due_at_s)] += 1

    def redeem(self, digest: str, now_s: float) -> bool:
        """Use up the due reservation of a call.

        :returns: whether the call had a reservation that is due
        """
        due_at_s = self._due_at_s.get(digest)
        if due_at_s is None or now_s < due_at_s - EARLY_TOLERANCE_S:
            return False
        self._remove(digest)
        self._updates.redeemed.append(digest)
        self.redeemed += 1
        return True

    def apply_updates(self, updates: ReservationUpdates) -> None:
        """Apply the changes sent by a peer."""
        self.add(updates.made)
        for digest in updates.redeemed:
            self._remove(digest)

    def count_due(self, now_s: float) -> int:
        """Return the number of due reservations, which callers may redeem at any moment."""
        slots = range(_slot(now_s - GRACE_S), _slot(now_s) + 2)
        return sum(self._due_per_slot.get(slot, 0) for slot in slots)

    def expire(self, now_s: float) -> None:
        """Remove expired reservations, at most once per `EXPIRY_INTERVAL_S`."""
        if now_s < self._next_expiry_at_s:
            return
        self._next_expiry_at_s = now_s + EXPIRY_INTERVAL_S
        expired_digests = [
            digest for digest, due_at_s in self._due_at_s.items() if due_at_s < now_s - 2 * GRACE_S
        ]
        for digest in expired_digests:
            self._remove(digest)
        self.expired += len(expired_digests)

    def take_updates(self) -> ReservationUpdates:
        """Return the changes that were not sent to the peers yet, and clear them."""
        updates, self._updates = self._updates, ReservationUpdates()
        return updates

    def _remove(self, digest: str) -> None:
        due_at_s = self._due_at_s.pop(digest, None)
        if due_at_s is None:
            return
        slot = _slot(due_at_s)
        self._due_per_slot[slot] -= 1
        if self._due_per_slot[slot] <= 0:
            del self._due_per_slot[slot]


def _slot(at_s: float) -> int:
    return math.floor(at_s / SLOT_S)
