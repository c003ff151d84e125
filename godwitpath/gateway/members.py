"""The daemons that are known: registered in the store under a lease, and heard of lately."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable

import msgspec

from godwitpath.gateway.follow import LAZY_WAIT_S, Follower
from godwitpath.gateway.store import Item, Precondition, Put, Store, TxnConflict
from godwitpath.ports.kv import LeaseLapsed, StoreError, StoreUncertain
from godwitpath.telemetry.decisions import decision

PREFIX = "gateway/"
MEMBERS_PREFIX = PREFIX + "daemons/"
SECRET_KEY = PREFIX + "secret"

LEASE_S = 8.0
"""Time for which a daemon that is gone stays registered; being heard of counts before."""

RENEW_S = 2.5
"""Time between renewals: three may fail."""

PAUSE_PER_DAEMON_S = 0.02
"""Pause between two looks at the list, for each daemon on it: where all start at once, each would
otherwise hear of every other one singly."""

SECRET_WAIT_S = 0.6
"""Longest time for which a daemon waits whether another one makes the secret."""

RETRY_S = 0.5
"""Pause after a call of the store that failed."""


class MemberEntry(msgspec.Struct, frozen=True):
    """Where a daemon listens for its peers."""

    host: str
    port: int
    zone: str
    incarnation: int


class Members:
    """Registers this daemon and keeps the list of the others.

    :ivar secret: shared by all daemons, empty before it is known
    :ivar entries: the other daemons by name
    :ivar items: the followed keys as they stand
    :ivar is_heard: tells whether a daemon was heard lately; one whose lease has ended since the
        store turns it away stays on the list as long as it is
    """

    def __init__(self, store: Store, name: str, entry: MemberEntry, rng: random.Random) -> None:
        self.secret = b""
        self.entries: dict[str, MemberEntry] = {}
        self.items: dict[str, Item] = {}
        self.is_heard: Callable[[str], bool] = lambda name: False
        self.follower = Follower(
            store, PREFIX, self._on_item, self._on_removed, rng, LAZY_WAIT_S, self._pause_s
        )
        self._rng = rng
        self.incarnation = entry.incarnation
        self._store = store
        self._name = name
        self._entry = entry
        self._lease_id = 0
        self._listeners: list[asyncio.Event] = []

    def forget_silent(self) -> None:
        """Take daemons off the list whose lease has ended and that are not heard any more."""
        lapsed = [name for name in self.entries if MEMBERS_PREFIX + name not in self.items]
        for name in lapsed:
            if not self.is_heard(name):
                del self.entries[name]
                decision("member_gone", member=name)

    def changed_event(self) -> asyncio.Event:
        """Return an event that is set whenever one of the followed keys changes."""
        event = asyncio.Event()
        self._listeners.append(event)
        return event

    async def run(self) -> None:
        """Register, renew and follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.follower.run())
            group.create_task(self._register())

    async def leave(self) -> None:
        """Take this daemon off the list."""
        lease_id, self._lease_id = self._lease_id, 0
        if not lease_id:
            return
        try:
            await self._store.end_lease(lease_id)
        except StoreError as error:
            decision("leave_failed", reason=str(error))

    async def _register(self) -> None:
        while True:
            try:
                await self._step()
                await asyncio.sleep(RENEW_S)
            except LeaseLapsed:
                self._lease_id = 0
            except StoreError:
                await asyncio.sleep(RETRY_S)

    async def _step(self) -> None:
        if self._lease_id:
            await self._store.renew(self._lease_id)
        else:
            lease_id = await self._store.grant(LEASE_S)
            value = msgspec.json.encode(self._entry)
            await self._store.transact([], [Put(MEMBERS_PREFIX + self._name, value, lease_id)])
            self._lease_id = lease_id
        if not self.secret and self.follower.synced_at_s is not None:
            await asyncio.sleep(SECRET_WAIT_S * self._rng.random())
        if not self.secret and self.follower.synced_at_s is not None:
            await self._make_secret()

    def _pause_s(self) -> float:
        return PAUSE_PER_DAEMON_S * len(self.entries)

    async def _make_secret(self) -> None:
        found = await self._store.get(SECRET_KEY)
        if found is None:
            put = Put(SECRET_KEY, secrets.token_bytes(32))
            try:
                await self._store.transact([Precondition(SECRET_KEY, 0)], [put])
            except (TxnConflict, StoreUncertain):
                # Another daemon made it, or it is there and its answer was lost.
                pass
            found = await self._store.get(SECRET_KEY)
        if found is not None:
            self.secret = found.value

    def _on_item(self, item: Item) -> None:
        self.items[item.key] = item
        if item.key == SECRET_KEY:
            self.secret = item.value
        elif item.key.startswith(MEMBERS_PREFIX):
            name = item.key.removeprefix(MEMBERS_PREFIX)
            if name != self._name:
                try:
                    self.entries[name] = msgspec.json.decode(item.value, type=MemberEntry)
                except msgspec.DecodeError as error:
                    decision("member_unreadable", member=name, reason=str(error))
        self._tell()

    def _on_removed(self, key: str, revision: int) -> None:
        self.items.pop(key, None)
        name = key.removeprefix(MEMBERS_PREFIX)
        if not self.is_heard(name):
            self.entries.pop(name, None)
        self._tell()

    def _tell(self) -> None:
        for event in self._listeners:
            event.set()
