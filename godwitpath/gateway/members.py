"""Tracks the daemons of the deployment, which register in the store under a lease.

A daemon whose registration has lapsed still belongs to the deployment while it reports to peers.
"""

from __future__ import annotations

import asyncio
import math
import random
import secrets
from collections.abc import Callable, Collection
from hashlib import blake2b

import msgspec

from godwitpath.decoding import Identifier, Port, Unreadable, decode, is_ip_address
from godwitpath.gateway.store import Item, Precondition, Put, Store, TxnConflict, era_of
from godwitpath.gateway.store_watch import BACKGROUND_WAIT_S, StoreWatcher
from godwitpath.gateway.unreadable import UnreadableValues
from godwitpath.ports.kv import LeaseLapsed, StoreError, StoreUncertain
from godwitpath.telemetry.decisions import decision

KEY_PREFIX = "gateway/"
"""Prefix of the store keys that the daemons write for one another."""

MEMBERS_PREFIX = KEY_PREFIX + "daemons/"
"""Prefix of the store keys of the daemons' registrations."""

SECRET_KEY = KEY_PREFIX + "secret"
"""Store key of the secret that authenticates messages between daemons."""

LEASE_S = 8.0
"""Time to live of a registration: a failed daemon stays registered for at most this long. Peers
notice its missing reports earlier."""

RENEW_S = 2.5
"""Interval between renewals of a registration's lease: three renewals may fail before the lease
ends."""

WATCH_PAUSE_PER_DAEMON_S = 0.02
"""Pause between two watch requests, for each registered daemon: when all daemons start at once, the
store would otherwise send each registration to each daemon in a separate response."""

UNKNOWN_S = 1.0
"""Time for which peers must have known of a daemon or a duty holder that the watch of the store has
not brought until the store is asked anew: its connection may be silent."""

SECRET_BYTES = 32
"""Size of the secret."""

MAX_LOGGED_UNKNOWN = 12
"""Largest number of names in a log line."""

SECRET_WAIT_S = 0.6
"""Longest random delay before a daemon creates the secret, so that usually only one does."""

RETRY_S = 0.5
"""Pause after a failed call of the store, before the registration is tried again."""


class MemberEntry(msgspec.Struct, frozen=True):
    """A daemon's registration: its peer address, availability zone and incarnation."""

    host: str
    port: Port
    zone: str
    incarnation: Identifier


_decoder = msgspec.json.Decoder(MemberEntry)


def decode_member(value: bytes) -> MemberEntry:
    """Decode a daemon's registration.

    :raises Unreadable: it has no address
    """
    entry = decode(_decoder, value)
    if not is_ip_address(entry.host):
        raise Unreadable(f"no IP address: {entry.host[:80]!r}")
    return entry


def _is_secret(item: Item | None) -> bool:
    """Return whether an item is a secret that messages can be signed with."""
    return item is not None and 0 < len(item.value) <= blake2b.MAX_KEY_SIZE


class Members:
    """Registers this daemon and tracks the registrations of the others.

    :ivar secret: key that authenticates peer messages, shared by all daemons; empty until known
    :ivar entries: the other daemons by name
    :ivar items: current items of the gateway's own keys in the store, by key
    :ivar unreadable: the registrations that cannot be read, and the secret while it cannot be used
    :ivar watcher: watches these keys
    :ivar incarnation: random number of this daemon's incarnation
    :ivar has_reported: returns whether a daemon has recently reported; a daemon that cannot reach
        the store to renew its lease stays in `entries` while it reports
    """

    def __init__(self, store: Store, name: str, entry: MemberEntry, rng: random.Random) -> None:
        self.secret = b""
        self.entries: dict[str, MemberEntry] = {}
        self.items: dict[str, Item] = {}
        self.unreadable = UnreadableValues("member_unreadable")
        self.has_reported: Callable[[str], bool] = lambda name: False
        self.watcher = StoreWatcher(
            store,
            KEY_PREFIX,
            self._on_item,
            self._on_removed,
            rng,
            BACKGROUND_WAIT_S,
            self._pause_s,
        )
        self._rng = rng
        self.incarnation = entry.incarnation
        self._store = store
        self._name = name
        self._entry = entry
        self._lease_id = 0
        # Era of the store before the lease was granted, as far as it was known.
        self._lease_era = 0
        self._listeners: list[asyncio.Event] = []
        # Loop time since which peers have known what this daemon does not, infinite once the store
        # was asked for it.
        self._unknown_since_s: dict[str | int, float] = {}

    def count(self) -> int:
        """Return the number of daemons, including this one, 0 before the others are known."""
        return 1 + len(self.entries) if self.watcher.last_response_at_s is not None else 0

    def note_written(self, item: Item) -> None:
        """Note an item that this daemon wrote or read, before its own watch delivers it."""
        self.items[item.key] = item
        self.watcher.note_key(item.key)

    def drop_expired(self) -> None:
        """Remove daemons that are no longer registered and no longer report."""
        lapsed_names = [name for name in self.entries if MEMBERS_PREFIX + name not in self.items]
        for name in lapsed_names:
            if not self.has_reported(name):
                del self.entries[name]
                decision("member_gone", member=name)

    def note_unknown(self, unknown: Collection[str | int]) -> None:
        """Note what peers know and this daemon does not, and ask the store if that goes on.

        The store is asked once for each. To be called with each report of this daemon.

        :param unknown: names of daemons, or fencing token of a duty holder
        """
        now_s = asyncio.get_running_loop().time()
        self._unknown_since_s = {each: self._unknown_since_s.get(each, now_s) for each in unknown}
        late = [each for each, at_s in self._unknown_since_s.items() if now_s - at_s >= UNKNOWN_S]
        if late and self.watcher.hasten(UNKNOWN_S):
            decision("members_outdated", known_to_peers=late[:MAX_LOGGED_UNKNOWN], count=len(late))
            self._unknown_since_s.update(dict.fromkeys(late, math.inf))

    def zone_of(self, name: str) -> str | None:
        """Return the availability zone of another daemon, None if the daemon is not known."""
        entry = self.entries.get(name)
        return entry.zone if entry is not None else None

    def changed_event(self) -> asyncio.Event:
        """Return an event that is set whenever a watched key changes."""
        event = asyncio.Event()
        self._listeners.append(event)
        return event

    async def run(self) -> None:
        """Keep this daemon registered, and watch the other registrations, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watcher.run())
            group.create_task(self._register())

    async def leave(self) -> None:
        """Remove this daemon's registration."""
        lease_id, self._lease_id = self._lease_id, 0
        if not lease_id:
            return
        try:
            await self._store.end_lease(lease_id)
        except StoreError as error:
            decision("leave_failed", reason=str(error))

    async def _register(self) -> None:
        # The era in which a lease is granted is known from a listing.
        await self.watcher.synced.wait()
        while True:
            try:
                await self._register_or_renew()
                await asyncio.sleep(RENEW_S)
            except LeaseLapsed:
                self._lease_id = 0
            except StoreError:
                await asyncio.sleep(RETRY_S)

    async def _register_or_renew(self) -> None:
        if self._lease_id and not self._was_restored() and not self._shares_lease():
            await self._store.renew(self._lease_id)
        else:
            # A restored store may have the lease without the key, or give its id out again.
            lease_era = self.watcher.era
            lease_id = await self._store.grant(LEASE_S)
            value = msgspec.json.encode(self._entry)
            await self._store.transact([], [Put(MEMBERS_PREFIX + self._name, value, lease_id)])
            self._lease_era = lease_era
            self._lease_id = lease_id
        if self._lacks_secret():
            await asyncio.sleep(SECRET_WAIT_S * self._rng.random())
        if self._lacks_secret():
            await self._create_secret()

    def _was_restored(self) -> bool:
        """Return whether the store was restored since this daemon registered."""
        revision = self.watcher.revision
        return bool(revision) and era_of(revision) != self._lease_era

    def _shares_lease(self) -> bool:
        """Return whether the store keeps another key under the lease of this registration.

        A restored store gives the identifiers of leases out again, and may carry out a write from
        before the restore: the duty holder's key would last as long as this daemon.
        """
        own_key = MEMBERS_PREFIX + self._name
        shared = [
            key
            for key, item in self.items.items()
            if item.lease_id == self._lease_id and key != own_key
        ]
        if shared:
            decision("lease_shared", lease=self._lease_id, keys=shared)
        return bool(shared)

    def _lacks_secret(self) -> bool:
        """Return whether the store has no secret to use, also since it was restored."""
        lacking = not _is_secret(self.items.get(SECRET_KEY))
        return lacking and self.watcher.last_response_at_s is not None

    def _pause_s(self) -> float:
        return WATCH_PAUSE_PER_DAEMON_S * len(self.entries)

    async def _create_secret(self) -> None:
        secret_item = await self._store.get(SECRET_KEY)
        if not _is_secret(secret_item):
            put = Put(SECRET_KEY, self.secret or secrets.token_bytes(SECRET_BYTES))
            revision = secret_item.revision if secret_item is not None else 0
            try:
                await self._store.transact([Precondition(SECRET_KEY, revision)], [put])
                decision("secret_written", again=bool(self.secret))
            except (TxnConflict, StoreUncertain):
                # Another daemon created the secret, or the response to this daemon's write was
                # lost.
                pass
            secret_item = await self._store.get(SECRET_KEY)
        if secret_item is not None and _is_secret(secret_item):
            self.secret = secret_item.value
            if not _is_secret(self.items.get(SECRET_KEY)):
                self.note_written(secret_item)

    def _on_item(self, item: Item) -> None:
        self.items[item.key] = item
        if item.key == SECRET_KEY:
            self._read_secret(item)
        elif item.key.startswith(MEMBERS_PREFIX):
            name = item.key.removeprefix(MEMBERS_PREFIX)
            if name != self._name:
                self._read_entry(name, item)
        self._notify()

    def _read_secret(self, item: Item) -> None:
        if _is_secret(item):
            self.secret = item.value
            self.unreadable.forget(item.key)
        else:
            self.unreadable.note(item.key, f"a secret of {len(item.value)} bytes")

    def _read_entry(self, name: str, item: Item) -> None:
        try:
            self.entries[name] = decode_member(item.value)
        except Unreadable as error:
            self.unreadable.note(item.key, str(error), member=name)
        else:
            self.unreadable.forget(item.key)

    def _on_removed(self, key: str, revision: int) -> None:
        item = self.items.get(key)
        if item is not None and item.revision > revision:
            # This daemon wrote the key again in the meantime.
            return
        self.items.pop(key, None)
        self.unreadable.forget(key)
        name = key.removeprefix(MEMBERS_PREFIX)
        if not self.has_reported(name):
            self.entries.pop(name, None)
        self._notify()

    def _notify(self) -> None:
        for event in self._listeners:
            event.set()
