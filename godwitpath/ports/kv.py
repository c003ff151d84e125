"""Port of the platform's key-value service: compare-and-swap, leases and watches."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

from godwitpath.errors import GodwitpathError

ABSENT = 0
"""Expected revision of a key that must not exist."""


@dataclass(slots=True, frozen=True)
class KeyValue:
    """A key with its value.

    :ivar key: name of the key
    :ivar value: at most one megabyte
    :ivar revision: store-wide number of the write that set the value, strictly increasing
    """

    key: str
    value: bytes
    revision: int


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """A change seen by a watch.

    :ivar key: name of the key
    :ivar value: new value, or None when the key was deleted or its lease lapsed
    :ivar revision: store-wide number of the change
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True, frozen=True)
class Lease:
    """A lease; keys written under it vanish when it lapses.

    :ivar lease_id: identifier given by the store
    :ivar ttl_s: time to live after the last renewal, in seconds
    """

    lease_id: int
    ttl_s: float


class StoreError(GodwitpathError):
    """Base of the errors of the key-value service."""


class StoreRefused(StoreError):
    """The store was not reached or refused the call; the write certainly did not take effect."""


class StoreUncertain(StoreError):
    """The answer was lost; the write may have taken effect or may still do so."""


class RevisionConflict(StoreError):
    """The key's revision was not the expected one; nothing was written.

    :ivar current: the key as it stands, None when absent
    """

    def __init__(self, key: str, current: KeyValue | None) -> None:
        super().__init__(f"revision of {key} is {current.revision if current else ABSENT}")
        self.current = current


class LeaseLapsed(StoreError):
    """The lease is not known to the store any more."""


class KeyValueStore(ABC):
    """What the system needs of the key-value service.

    Every call raises :class:`StoreRefused` or :class:`StoreUncertain` on failure; reads that fail
    raise :class:`StoreRefused`.
    """

    @abstractmethod
    async def get(self, key: str) -> KeyValue | None:
        """Return the key, or None when absent."""

    @abstractmethod
    async def scan(self, prefix: str, limit: int = 1000, after: str = "") -> list[KeyValue]:
        """Return the keys that start with a prefix, in order of name, after `after`."""

    @abstractmethod
    async def put(self, key: str, value: bytes, expected_revision: int, lease_id: int = 0) -> int:
        """Write a key if its revision is the expected one.

        :param expected_revision: revision the key must have, :data:`ABSENT` for a new key
        :param lease_id: lease that the key belongs to, 0 for none
        :returns: the key's new revision
        :raises RevisionConflict: the revision was another one
        :raises LeaseLapsed: the lease is not known any more
        """

    @abstractmethod
    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key if its revision is the expected one.

        :raises RevisionConflict: the revision was another one
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease."""

    @abstractmethod
    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease for its time to live.

        :raises LeaseLapsed: the lease is not known any more
        """

    @abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""

    @abstractmethod
    def watch(self, prefix: str, after_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield every change of keys that start with a prefix, after a store-wide revision.

        The iterator ends with :class:`StoreRefused` when the store goes away. It may also go
        silent for good without an error.
        """
