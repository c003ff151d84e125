"""Port of the platform's store: items, prefixes that are followed, leases."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from godwitpath.ports.kv import StoreError


@dataclass(slots=True, frozen=True)
class Item:
    """A key with its value.

    :ivar revision: store-wide number of the write that set the value
    :ivar created_revision: store-wide number of the write that made the key
    """

    key: str
    value: bytes
    revision: int
    created_revision: int
    lease_id: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """A key as a write left it, or its removal.

    :ivar item: the key as written, None when it was removed
    """

    key: str
    revision: int
    item: Item | None


@dataclass(slots=True, frozen=True)
class Listing:
    """Items of a prefix; later changes follow from the revision.

    :ivar revision: store revision before the first page was read
    """

    items: list[Item]
    revision: int


@dataclass(slots=True, frozen=True)
class Precondition:
    """A revision that a key must have, 0 for a key that must not exist."""

    key: str
    revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """A value to be written."""

    key: str
    value: bytes
    lease_id: int = 0


class HistoryLost(StoreError):
    """The store has dropped the history that a watch was to go on from."""


class TxnConflict(StoreError):
    """A precondition did not hold; nothing was written.

    :ivar current: the keys of the preconditions as they stand
    """

    def __init__(self, current: list[Item]) -> None:
        super().__init__("precondition failed: " + ", ".join(item.key for item in current))
        self.current = current


class Store(Protocol):
    """The calls. Each raises a :class:`~godwitpath.ports.kv.StoreError`."""

    async def get(self, key: str) -> Item | None:
        """Return a key, None when it does not exist."""

    async def list_items(self, prefix: str) -> Listing:
        """Return the keys that start with a prefix."""

    async def changes(self, prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
        """Wait for changes of a prefix after a revision.

        :returns: the changes and the revision to go on from
        :raises HistoryLost: the prefix has to be listed again
        """

    async def transact(
        self,
        conditions: Sequence[Precondition],
        puts: Sequence[Put] = (),
        removals: Sequence[str] = (),
    ) -> int:
        """Write all or nothing; returns the revision of the write.

        :raises TxnConflict: a condition did not hold
        :raises StoreUncertain: it may have happened, or may happen yet
        """

    async def grant(self, ttl_s: float) -> int:
        """Return the id of a new lease."""

    async def renew(self, lease_id: int) -> None:
        """Renew a lease.

        :raises LeaseLapsed: it has ended
        """

    async def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
