"""In-memory store of the platform for tests: linearizable, with leases, history and faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from godwitpath.gateway.store import (
    Change,
    HistoryLost,
    Item,
    ItemUnreadable,
    Listing,
    Precondition,
    Put,
    TxnConflict,
    era_of,
    with_era,
    without_era,
)
from godwitpath.platform.store import WATCH_TIMEOUT_MARGIN_S
from godwitpath.ports.kv import LeaseLapsed, StoreRefused, StoreUncertain


@dataclass(slots=True)
class StoreFaults:
    """Switchable faults of a client's access to the store, off by default.

    :ivar down: whether calls are refused
    :ivar no_response: whether calls get no response
    :ivar watches_silent: whether watch requests get no response, while other calls do
    :ivar write_responses_to_lose: number of next writes that take effect and get no response
    :ivar unreadable_keys: keys whose items cannot be read
    :ivar unreadable_values: values whose items cannot be read, apart from revision and lease
    :ivar nameless: whether the items of `unreadable_keys` have no key either, except where a key is
        read by itself
    :ivar write_delay_s: if not 0, writes fail as uncertain at once and take effect after this time
    """

    down: bool = False
    no_response: bool = False
    watches_silent: bool = False
    write_responses_to_lose: int = 0
    unreadable_keys: set[str] = field(default_factory=set)
    unreadable_values: set[bytes] = field(default_factory=set)
    nameless: bool = False
    write_delay_s: float = 0.0


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    ends_at_s: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class StoreSnapshot:
    """Copy of the store's content, to which it can be restored.

    :ivar leases: remaining time to live in seconds by lease identifier
    """

    items: dict[str, Item]
    revision: int
    leases: dict[int, float]


class StoreCore:
    """State of the store, shared by its clients.

    :ivar calls: number of calls by kind
    :ivar items: current items by key
    :ivar revision: revision of the last write
    :ivar era: number of restores from an older copy so far, plus one
    """

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.era = 1
        self._history: list[Change] = []
        self._history_dropped_until = 0
        self._leases: dict[int, _Lease] = {}
        self._last_lease_id = 100
        self._changed = asyncio.Event()

    def write(
        self,
        conditions: Sequence[Precondition],
        puts: Sequence[Put],
        removals: Sequence[str] = (),
    ) -> int:
        """Apply a transaction atomically and return its revision.

        :raises TxnConflict: a condition does not hold
        :raises LeaseLapsed: a lease does not exist
        """
        self.expire()
        for condition in conditions:
            item = self.items.get(condition.key)
            if (item.revision if item else 0) != condition.revision:
                keys = [condition.key for condition in conditions]
                raise TxnConflict([self.items[key] for key in keys if key in self.items])
        for put in puts:
            if put.lease_id and put.lease_id not in self._leases:
                raise LeaseLapsed("no such lease")
        self.revision += 1
        for put in puts:
            old = self.items.get(put.key)
            if old is not None and old.lease_id in self._leases:
                # A key is bound only to the lease of its last write.
                self._leases[old.lease_id].keys.discard(put.key)
            created = old.created_revision if old else self.revision
            item = Item(put.key, put.value, self.revision, created, put.lease_id)
            self.items[put.key] = item
            if put.lease_id:
                self._leases[put.lease_id].keys.add(put.key)
            self._record(Change(put.key, self.revision, item))
        for key in removals:
            self._remove(key)
        return self.revision

    def put(self, key: str, value: bytes) -> int:
        """Write a key unconditionally, as the operator or an engine does."""
        return self.write([], [Put(key, value)])

    def remove(self, key: str) -> None:
        """Remove a key as the operator or an engine does."""
        self.revision += 1
        self._remove(key)

    def drop_history(self) -> None:
        """Drop all history, so that watches that resume from it fail with `HistoryLost`."""
        self._history_dropped_until = self.revision
        self._history.clear()
        self._notify_waiters()

    def snapshot(self) -> StoreSnapshot:
        """Return a copy of the content."""
        self.expire()
        now_s = asyncio.get_running_loop().time()
        leases = {lease_id: lease.ends_at_s - now_s for lease_id, lease in self._leases.items()}
        return StoreSnapshot(dict(self.items), self.revision, leases)

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Go back to an older copy, as after the loss of the store's data.

        All that was written since is lost, leases too, and so is the history. Revisions after the
        copy's are given out again. A lease of the copy runs on with the time that it had left.
        """
        now_s = asyncio.get_running_loop().time()
        self.items = dict(snapshot.items)
        self.revision = self._history_dropped_until = snapshot.revision
        self._history.clear()
        self._leases = {
            lease_id: _Lease(
                self._leases[lease_id].ttl_s if lease_id in self._leases else left_s,
                now_s + left_s,
                {key for key, item in self.items.items() if item.lease_id == lease_id},
            )
            for lease_id, left_s in snapshot.leases.items()
        }
        self.era += 1
        self._notify_waiters()

    def grant(self, ttl_s: float) -> int:
        """Create a lease and return its identifier."""
        self._last_lease_id += 1
        now_s = asyncio.get_running_loop().time()
        self._leases[self._last_lease_id] = _Lease(ttl_s, now_s + ttl_s)
        return self._last_lease_id

    def renew(self, lease_id: int) -> None:
        """Renew a lease.

        :raises LeaseLapsed: the lease does not exist
        """
        self.expire()
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseLapsed("no such lease")
        lease.ends_at_s = asyncio.get_running_loop().time() + lease.ttl_s

    def end_lease(self, lease_id: int) -> None:
        """Revoke a lease and remove its keys."""
        lease = self._leases.pop(lease_id, None)
        if lease is not None and lease.keys:
            self.revision += 1
            for key in sorted(lease.keys):
                self._remove(key)

    def expire(self) -> None:
        """Revoke the expired leases."""
        now_s = asyncio.get_running_loop().time()
        for lease_id, lease in list(self._leases.items()):
            if now_s >= lease.ends_at_s:
                self.end_lease(lease_id)

    def changes_since(self, prefix: str, after: int) -> list[Change]:
        """Return the changes of a prefix after a revision.

        :raises HistoryLost: the history after the revision was dropped, or the store does not have
            the revision
        """
        if not self._history_dropped_until <= after <= self.revision:
            raise HistoryLost("the history after this revision does not exist")
        return [
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        ]

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for the next write, or until the timeout."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            pass

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._record(Change(key, self.revision, None))

    def _record(self, change: Change) -> None:
        self._history.append(change)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class FakeStore:
    """A client of the store with separate faults.

    Its revisions contain the era, as those of the client of the platform's store, from the first
    restore on.

    :ivar faults: faults of the calls of this client
    """

    def __init__(self, core: StoreCore, latency_s: float = 0.004) -> None:
        self.faults = StoreFaults()
        self._core = core
        self._latency_s = latency_s
        self._heard_era: int | None = None
        self._restored_listeners: list[Callable[[int], None]] = []

    def on_restored(self, listener: Callable[[int], None]) -> None:
        self._restored_listeners.append(listener)

    async def get(self, key: str) -> Item | None:
        await self._call("get")
        self._core.expire()
        item = self._core.items.get(key)
        if item is not None and key in self.faults.unreadable_keys and not self.faults.nameless:
            raise ItemUnreadable(f"item of {key}")
        if item is not None and item.value in self.faults.unreadable_values:
            revision = with_era(self._era, item.revision)
            raise ItemUnreadable(f"item of {key}", revision, bool(item.lease_id))
        return self._with_era(item) if item is not None else None

    async def list_items(self, prefix: str) -> Listing:
        await self._call("list")
        self._core.expire()
        keys = {key for key in self._core.items if key.startswith(prefix)}
        unreadable_keys = keys & self.faults.unreadable_keys
        nameless = self.faults.nameless and bool(unreadable_keys)
        values = self.faults.unreadable_values
        unreadable_values = {key for key in keys if self._core.items[key].value in values}
        readable_keys = keys - unreadable_keys - unreadable_values
        return Listing(
            [self._with_era(self._core.items[key]) for key in sorted(readable_keys)],
            with_era(self._era, self._core.revision),
            frozenset(unreadable_values | (set() if nameless else unreadable_keys)),
            nameless,
        )

    async def changes(self, prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
        await self._call("watch")
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while True:
            self._core.expire()
            if self.faults.watches_silent:
                await asyncio.sleep(end_s + WATCH_TIMEOUT_MARGIN_S - loop.time())
                raise StoreRefused("no answer")
            if era_of(after) != self._era:
                raise HistoryLost("the store was restored")
            changes = self._core.changes_since(prefix, without_era(after))
            remaining_s = end_s - loop.time()
            if changes or remaining_s <= 0:
                if self.faults.nameless and any(
                    change.key in self.faults.unreadable_keys for change in changes
                ):
                    raise HistoryLost("a change has no key")
                return (
                    [self._change_with_era(change) for change in changes],
                    with_era(self._era, self._core.revision),
                )
            await self._core.wait_for_change(min(remaining_s, 0.1))
            await self._call("")

    async def transact(
        self,
        conditions: Sequence[Precondition],
        puts: Sequence[Put] = (),
        removals: Sequence[str] = (),
    ) -> int:
        if self.faults.write_delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.write_delay_s, self._write_late, conditions, puts, removals)
            raise StoreUncertain("no answer")
        await self._call("txn")
        if any(each.revision and era_of(each.revision) != self._era for each in conditions):
            raise StoreRefused("restored since")
        conditions = [Precondition(each.key, without_era(each.revision)) for each in conditions]
        revision = with_era(self._era, self._core.write(conditions, puts, removals))
        if self.faults.write_responses_to_lose:
            self.faults.write_responses_to_lose -= 1
            raise StoreUncertain("answer lost")
        return revision

    async def grant(self, ttl_s: float) -> int:
        await self._call("grant")
        return self._core.grant(ttl_s)

    async def renew(self, lease_id: int) -> None:
        await self._call("renew")
        self._core.renew(lease_id)

    async def end_lease(self, lease_id: int) -> None:
        await self._call("end_lease")
        self._core.end_lease(lease_id)

    @property
    def _era(self) -> int:
        return self._core.era - 1

    def _change_with_era(self, change: Change) -> Change:
        revision = with_era(self._era, change.revision)
        value = change.item.value if change.item is not None else None
        if change.key in self.faults.unreadable_keys or value in self.faults.unreadable_values:
            return Change(change.key, revision, None, readable=False)
        item = self._with_era(change.item) if change.item is not None else None
        return Change(change.key, revision, item)

    def _with_era(self, item: Item) -> Item:
        return replace(
            item,
            revision=with_era(self._era, item.revision),
            created_revision=with_era(self._era, item.created_revision),
        )

    async def _call(self, kind: str) -> None:
        if kind:
            self._core.calls[kind] += 1
        await asyncio.sleep(self._latency_s)
        if self.faults.no_response:
            await asyncio.sleep(1.5)
            raise StoreRefused("no answer")
        if self.faults.down:
            raise StoreRefused("refused")
        if kind not in ("", "watch"):
            self._note_response()

    def _note_response(self) -> None:
        """Note the era that the response of a call states."""
        self._note_era(self._era)

    def _note_era(self, era: int) -> None:
        rose = self._heard_era is not None and era > self._heard_era
        self._heard_era = era
        if rose:
            for listener in self._restored_listeners:
                listener(era)

    def _write_late(
        self,
        conditions: Sequence[Precondition],
        puts: Sequence[Put],
        removals: Sequence[str],
    ) -> None:
        # The store compares its own numbers, which it may have given out again since.
        conditions = [Precondition(each.key, without_era(each.revision)) for each in conditions]
        try:
            self._core.write(conditions, puts, removals)
        except (TxnConflict, LeaseLapsed):
            # A condition or a lease of the delayed write does not hold any more.
            return
