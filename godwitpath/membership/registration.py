"""The entries' addresses in the key-value service, by which entries find their first peers.

Settings name seeds, but every instance is replaced in time. So each entry registers its address
under a long lease, and reads the others' when it starts, while it is alone, and now and then where
it follows for its region; after a long cut this brings regions together whose seeds are no more.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import Any

import msgspec

from godwitpath.errors import GodwitpathError
from godwitpath.membership.followers import follows
from godwitpath.membership.swim import Membership
from godwitpath.ports.engine import Address
from godwitpath.ports.kv import ABSENT, KeyValue, KeyValueStore, LeaseLapsed, RevisionConflict
from godwitpath.ports.peers import Peer

ENTRIES_PREFIX = "entries/"
"""Prefix of the keys of the registered entries, followed by the name."""

LEASE_TTL_S = 3600.0
RENEW_INTERVAL_S = 900.0
READ_INTERVAL_S = 60.0
"""Time between two reads of an entry that follows for its region."""

RETRY_INTERVAL_S = 5.0
"""Time between two tries while the store does not answer or no other entry is known."""


class Registration(msgspec.Struct, frozen=True):
    """Where an entry listens for its peers."""

    entry_id: str
    host: str
    port: int
    public_key: str = ""


class Registrar:
    """Registers an entry and tells its membership of the others.

    :ivar counts: events by name
    """

    def __init__(self, store: KeyValueStore, membership: Membership, rng: Random) -> None:
        self.counts: Counter[str] = Counter()
        self._store = store
        self._membership = membership
        self._rng = rng
        self._key = ENTRIES_PREFIX + membership.local.entry_id
        self._lease_id = 0
        self._renew_at_s = 0.0
        self._read_at_s = 0.0

    async def run(self) -> None:
        """Register, renew and read until cancelled."""
        while True:
            now_s = asyncio.get_running_loop().time()
            try:
                if now_s >= self._renew_at_s:
                    await self._register_or_renew()
                    self._renew_at_s = now_s + RENEW_INTERVAL_S * self._rng.uniform(0.8, 1.0)
                if now_s >= self._read_at_s or self._alone():
                    await self._read()
                    self._read_at_s = now_s + READ_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            except GodwitpathError:
                self.counts["store_failures"] += 1
            await asyncio.sleep(RETRY_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def withdraw(self) -> None:
        """Take the registration back at a planned stop, if the store answers."""
        lease_id, self._lease_id = self._lease_id, 0
        if not lease_id:
            return
        try:
            await self._store.revoke_lease(lease_id)
        except GodwitpathError:
            self.counts["store_failures"] += 1

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {"registered": bool(self._lease_id), "counts": dict(self.counts)}

    def _alone(self) -> bool:
        return len(self._membership.live()) == 1

    async def _register_or_renew(self) -> None:
        if self._lease_id:
            try:
                await self._store.renew_lease(self._lease_id)
                return
            except LeaseLapsed:
                self._lease_id = 0
        lease = await self._store.grant_lease(LEASE_TTL_S)
        await self._put(lease.lease_id)
        self._lease_id = lease.lease_id

    async def _put(self, lease_id: int) -> None:
        local = self._membership.local
        address = local.address
        own = Registration(local.entry_id, address.host, address.port, local.public_key)
        value = msgspec.json.encode(own)
        try:
            await self._store.put(self._key, value, ABSENT, lease_id)
        except RevisionConflict as conflict:
            # An earlier start of this entry left it, or an earlier write whose answer was lost.
            if conflict.current is not None:
                await self._store.put(self._key, value, conflict.current.revision, lease_id)

    async def _read(self) -> None:
        membership = self._membership
        first = not self.counts["reads"]
        if not (first or self._alone() or follows("entries", membership.local, membership.live())):
            return
        found = await self._store.scan(ENTRIES_PREFIX)
        self.counts["reads"] += 1
        peers = (_peer(value) for value in found)
        membership.set_found_seeds([peer for peer in peers if peer is not None])


def _peer(value: KeyValue) -> Peer | None:
    try:
        found = msgspec.json.decode(value.value, type=Registration)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return Peer(found.entry_id, Address(found.host, found.port), found.public_key)
