"""Port of the platform's key-value service: compare-and-swap, leases and watches."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

from godwitpath.errors import GodwitpathError

ABSENT = 0
"""Expected revision to pass for a key that must not exist yet."""


@dataclass(slots=True, frozen=True)
class KeyValue:
    """A key with its value.

    :ivar key: name of the key
    :ivar value: value, at most one megabyte
    :ivar revision: store-wide number of the write that set the value, strictly increasing
    """

    key: str
    value: bytes
    revision: int


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """A change of a key, reported by a watch.

    :ivar key: name of the key
    :ivar value: new value, None when the key was deleted or its lease lapsed
    :ivar revision: store-wide number of the change
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True, frozen=True)
class Lease:
    """A lease; the store deletes the keys written under it when it lapses.

    :ivar lease_id: identifier assigned by the store
    :ivar ttl_s: time to live after the last renewal, in seconds
    """

    lease_id: int
    ttl_s: float


class StoreError(GodwitpathError):
    """Base of the errors of the key-value service."""


class StoreRefused(StoreError):
    """The store was not reached or refused the call; a write did not take effect."""


class StoreUncertain(StoreError):
    """The response was lost; the write may have taken effect or may still do so."""


class RevisionConflict(StoreError):
    """The key did not have the expected revision; nothing was written.

    :ivar current: current key and value, None when the key does not exist
    """

    def __init__(self, key: str, current: KeyValue | None) -> None:
        super().__init__(f"revision of {key} is {current.revision if current else ABSENT}")
        self.current = current


class LeaseLapsed(StoreError):
    """The lease has lapsed or was revoked, and the store no longer knows it."""


class KeyValueStore(ABC):
    """Interface to the key-value service.

    A failed read raises :class:`StoreRefused`. A failed write raises :class:`StoreRefused` or
    :class:`StoreUncertain`.
    """

    @abstractmethod
    async def get(self, key: str) -> KeyValue | None:
        """Return a key with its value, None when it does not exist."""

    @abstractmethod
    async def scan(self, prefix: str, limit: int = 1000, after: str = "") -> list[KeyValue]:
        """Return at most `limit` keys with a prefix that sort after `after`, in order of name."""

    @abstractmethod
    async def put(self, key: str, value: bytes, expected_revision: int, lease_id: int = 0) -> int:
        """Write a key if its revision is the expected one.

        :param expected_revision: revision that the key must have, :data:`ABSENT` for a new key
        :param lease_id: lease to bind the key to, 0 for none
        :returns: the key's new revision
        :raises RevisionConflict: the key has another revision
        :raises LeaseLapsed: the store no longer knows the lease
        """

    @abstractmethod
    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key if its revision is the expected one.

        :raises RevisionConflict: the key has another revision
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a new lease with a time to live in seconds."""

    @abstractmethod
    async def renew_lease(self, lease_id: int) -> None:
        """Restart the time to live of a lease.

        :raises LeaseLapsed: the store no longer knows the lease
        """

    @abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""

    @abstractmethod
    def watch(self, prefix: str, after_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield every change after a store-wide revision to the keys with a prefix.

        The iterator ends with :class:`StoreRefused` when the store ends it or the connection fails.
        It may also stop yielding forever without an error.
        """
