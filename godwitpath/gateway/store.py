"""Interface to the platform's key-value store: items, watches of prefixes, transactions, leases.

The store counts its writes. When it is restored from an older copy it counts on from the copy's
number and begins a new era, so that a number is unique within its era only. A revision, here and in
all that uses this interface, is a number that contains both and is ordered over eras; in era 0, of
stores that state no era, it is the store's own number.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from godwitpath.ports.kv import StoreError, StoreRefused

ERA_BITS = 40
"""Bits of a revision that hold the store's own number; the era is above them."""


MAX_ERA = 8191
"""Greatest era: a revision, which is also a fencing token, then fits into 53 bits."""


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> ERA_BITS


def with_era(era: int, number: int) -> int:
    """Return the revision of the store's own number in an era; 0 stays 0, for no revision."""
    return era << ERA_BITS | number if number else 0


def without_era(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & (1 << ERA_BITS) - 1


@dataclass(slots=True, frozen=True)
class Item:
    """A key with its value.

    :ivar revision: store-wide number of the write that set the value
    :ivar created_revision: store-wide number of the write that created the key
    :ivar lease_id: lease under which the key is kept, 0 for none
    """

    key: str
    value: bytes
    revision: int
    created_revision: int
    lease_id: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """A write or a removal of a key.

    :ivar item: the item that was written, None if the key was removed
    :ivar readable: whether the change could be read; otherwise its key must be read by itself
    """

    key: str
    revision: int
    item: Item | None
    readable: bool = True


@dataclass(slots=True, frozen=True)
class Listing:
    """The items of a prefix; a watch for later changes starts at `revision`.

    :ivar revision: store revision before the first page was read
    :ivar unreadable_keys: keys whose items cannot be read
    :ivar any_key_missing: whether there is an item without a key, which may be that of any key
    """

    items: list[Item]
    revision: int
    unreadable_keys: frozenset[str] = frozenset()
    any_key_missing: bool = False


@dataclass(slots=True, frozen=True)
class Precondition:
    """The revision that a key must have in a transaction, 0 if the key must not exist."""

    key: str
    revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """A value to write in a transaction, under a lease unless `lease_id` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


class HistoryLost(StoreError):
    """The store no longer has the changes after the revision of a watch, or was restored since."""


class ItemUnreadable(StoreRefused):
    """The item of a key cannot be read; the key exists.

    :ivar revision: revision of the write that set its value, 0 if that cannot be read either
    :ivar leased: whether it may be kept under a lease
    """

    def __init__(self, reason: str, revision: int = 0, leased: bool = True) -> None:
        super().__init__(reason)
        self.revision = revision
        self.leased = leased


class TxnConflict(StoreError):
    """A precondition did not hold; nothing was written.

    :ivar current: current items of the keys of the preconditions
    """

    def __init__(self, current: list[Item]) -> None:
        super().__init__("precondition failed: " + ", ".join(item.key for item in current))
        self.current = current


class Store(Protocol):
    """Calls of the store.

    Every call raises a :class:`~godwitpath.ports.kv.StoreError` on failure.
    """

    def on_restored(self, listener: Callable[[int], None]) -> None:
        """Call a listener with the store's era when a response states a later one than before."""

    async def get(self, key: str) -> Item | None:
        """Return a key's item, None if the key does not exist.

        :raises ItemUnreadable: it exists, but cannot be read
        """

    async def list_items(self, prefix: str) -> Listing:
        """Return the items whose keys start with a prefix."""

    async def changes(self, prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
        """Wait for changes of a prefix after a revision.

        :param after: store revision after which changes are returned
        :param wait_s: longest wait for a change
        :returns: the changes, and the revision for the next call
        :raises HistoryLost: the prefix must be listed again
        """

    async def transact(
        self,
        conditions: Sequence[Precondition],
        puts: Sequence[Put] = (),
        removals: Sequence[str] = (),
    ) -> int:
        """Apply all writes and removals atomically.

        :returns: the revision of the transaction
        :raises TxnConflict: a condition did not hold
        :raises StoreUncertain: the transaction may have been applied, or may still be applied
        """

    async def grant(self, ttl_s: float) -> int:
        """Create a lease and return its id."""

    async def renew(self, lease_id: int) -> None:
        """Renew a lease.

        :raises LeaseLapsed: the lease has ended
        """

    async def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
