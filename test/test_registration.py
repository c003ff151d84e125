"""Entries that find one another through the key-value service alone."""

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

FIND_S = 20.0
"""Within this entries without any seed know one another."""


def register(entry: FleetEntry, store: FakeKeyValueStore) -> Registrar:
    """Let an entry that has no seeds register."""
    registrar = Registrar(store, entry.membership, Random(entry.entry_id))
    entry.tasks.append(asyncio.create_task(registrar.run()))
    return registrar


async def test_entries_without_seeds_find_one_another() -> None:
    store = FakeKeyValueStore()
    store.outage = True
    fleet = Fleet(5, regions=1, seeds=0)
    for entry in fleet.entries.values():
        register(entry, store)
    await asyncio.sleep(15.0)
    assert not fleet.all_alive()
    store.outage = False
    await until(fleet.all_alive, FIND_S)
    # Once they know one another, the two that follow read and the others do not.
    await asyncio.sleep(registration.READ_INTERVAL_S)
    reads = store.counts.reads
    await asyncio.sleep(2 * registration.READ_INTERVAL_S)
    assert store.counts.reads - reads <= 2 * 3
    await fleet.stop()


async def test_a_lost_answer_a_lapsed_lease_and_a_planned_stop() -> None:
    store = FakeKeyValueStore()
    transport = FakePeerNetwork(Random(1)).transport("e0")
    entry = FleetEntry(transport, "r0", FAKE_ADDRESS, Ports())
    registrar = register(entry, store)
    store.lose_next_answers(2)
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
