"""Registers entries in the key-value service, so that entries can discover their peers.

The settings name entries to contact first (seeds), but every instance is replaced eventually.
Therefore each entry registers its address under a long lease. It reads the registrations of the
others when it starts, while it knows no peer, and periodically if it is a poller of its region.
After a long network partition, this reconnects regions even if all their configured seeds have been
replaced.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import Any

import msgspec

from godwitpath.errors import GodwitpathError
from godwitpath.membership.pollers import is_source_poller
from godwitpath.membership.swim import Membership
from godwitpath.ports.engine import Address
from godwitpath.ports.kv import ABSENT, KeyValue, KeyValueStore, LeaseLapsed, RevisionConflict
from godwitpath.ports.peers import Peer

ENTRIES_PREFIX = "entries/"
"""Prefix of the registration keys, followed by the entry name."""

LEASE_TTL_S = 3600.0
RENEW_INTERVAL_S = 900.0
"""Maximum interval between two renewals of the lease of a registration."""

READ_INTERVAL_S = 60.0
"""Mean interval at which a poller of the region reads the registrations."""

RETRY_INTERVAL_S = 5.0
"""Mean retry interval while the store does not respond or no other entry is known."""


class Registration(msgspec.Struct, frozen=True):
    """The peer address of an entry, as stored in the key-value service.

    :ivar public_key: Z85 form of the entry's CURVE public key, empty without encryption
    """

    entry_id: str
    host: str
    port: int
    public_key: str = ""


class Registrar:
    """Registers this entry and passes the registered entries to the membership as seeds.

    :ivar counts: number of reads of the registrations and of failed store calls
    """

    def __init__(self, store: KeyValueStore, membership: Membership, rng: Random) -> None:
        self.counts: Counter[str] = Counter()
        self._store = store
        self._membership = membership
        self._rng = rng
        self._key = ENTRIES_PREFIX + membership.local.entry_id
        self._lease_id = 0
        self._next_renewal_at_s = 0.0
        self._next_read_at_s = 0.0

    async def run(self) -> None:
        """Register, renew the lease and read the registrations until cancelled."""
        while True:
            now_s = asyncio.get_running_loop().time()
            try:
                if now_s >= self._next_renewal_at_s:
                    await self._register_or_renew()
                    self._next_renewal_at_s = now_s + RENEW_INTERVAL_S * self._rng.uniform(0.8, 1.0)
                if now_s >= self._next_read_at_s or self._knows_no_peer():
                    await self._read()
                    self._next_read_at_s = now_s + READ_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            except GodwitpathError:
                self.counts["store_failures"] += 1
            await asyncio.sleep(RETRY_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def withdraw(self) -> None:
        """Revoke the registration at a planned stop, if the store responds."""
        lease_id, self._lease_id = self._lease_id, 0
        if not lease_id:
            return
        try:
            await self._store.revoke_lease(lease_id)
        except GodwitpathError:
            self.counts["store_failures"] += 1

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {"registered": bool(self._lease_id), "counts": dict(self.counts)}

    def _knows_no_peer(self) -> bool:
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
        registration = Registration(local.entry_id, address.host, address.port, local.public_key)
        value = msgspec.json.encode(registration)
        try:
            await self._store.put(self._key, value, ABSENT, lease_id)
        except RevisionConflict as conflict:
            # An earlier incarnation of this entry left the key, or a put whose response was lost.
            if conflict.current is not None:
                await self._store.put(self._key, value, conflict.current.revision, lease_id)

    async def _read(self) -> None:
        membership = self._membership
        is_first_read = not self.counts["reads"]
        if not (
            is_first_read
            or self._knows_no_peer()
            or is_source_poller("entries", membership.local, membership.live())
        ):
            return
        values = await self._store.scan(ENTRIES_PREFIX)
        self.counts["reads"] += 1
        peers = (_peer(value) for value in values)
        membership.set_discovered_seeds([peer for peer in peers if peer is not None])


def _peer(value: KeyValue) -> Peer | None:
    try:
        registration = msgspec.json.decode(value.value, type=Registration)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return Peer(
        registration.entry_id,
        Address(registration.host, registration.port),
        registration.public_key,
    )
