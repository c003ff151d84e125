"""Discovery of entries through the key-value service, without seeds."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from godwitpath.membership import registration
from godwitpath.membership.registration import ENTRIES_PREFIX, Registrar
from godwitpath_standin.fakes.kv import FakeKeyValueStore
from godwitpath_standin.fakes.peer_fleet import FAKE_ADDRESS, Fleet, FleetEntry, Ports, until
from godwitpath_standin.fakes.peers import FakePeerNetwork

pytestmark = pytest.mark.looptime

DISCOVERY_TIMEOUT_S = 20.0
"""Time in which all entries without seeds must know one another."""


def start_registrar(entry: FleetEntry, store: FakeKeyValueStore) -> Registrar:
    """Start a registrar for an entry without seeds."""
    registrar = Registrar(store, entry.membership, Random(entry.entry_id))
    entry.tasks.append(asyncio.create_task(registrar.run()))
    return registrar


async def test_entries_without_seeds_discover_one_another() -> None:
    store = FakeKeyValueStore()
    store.outage = True
    fleet = Fleet(5, regions=1, seed_count=0)
    for entry in fleet.entries.values():
        start_registrar(entry, store)
    await asyncio.sleep(15.0)
    assert not fleet.all_alive()
    store.outage = False
    await until(fleet.all_alive, DISCOVERY_TIMEOUT_S)
    # Once all entries know one another, only the two pollers of the region read the store.
    await asyncio.sleep(registration.READ_INTERVAL_S)
    reads = store.counts.reads
    await asyncio.sleep(2 * registration.READ_INTERVAL_S)
    assert store.counts.reads - reads <= 2 * 3
    await fleet.stop()


async def test_registration_after_lost_response_lapsed_lease_and_planned_stop() -> None:
    store = FakeKeyValueStore()
    transport = FakePeerNetwork(Random(1)).transport("e0")
    entry = FleetEntry(transport, "r0", FAKE_ADDRESS, Ports())
    registrar = start_registrar(entry, store)
    store.lose_next_responses(2)
    await asyncio.sleep(20.0)
    assert len(await store.scan(ENTRIES_PREFIX)) == 1
    store.outage = True
    await asyncio.sleep(2 * registration.LEASE_TTL_S)
    store.outage = False
    assert await store.scan(ENTRIES_PREFIX) == []
    await asyncio.sleep(20.0)
    assert len(await store.scan(ENTRIES_PREFIX)) == 1
    await registrar.withdraw()
    assert await store.scan(ENTRIES_PREFIX) == []
    await entry.stop()
