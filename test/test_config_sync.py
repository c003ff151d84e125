"""The configuration in force on the paused clock."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from godwitpath.config.envelope import CURRENT_KEY, decode_envelope, encode_envelope
from godwitpath_standin.fakes.kv import FakeKeyValueStore
from godwitpath_standin.fakes.peer_fleet import Fleet, envelope, until

pytestmark = pytest.mark.looptime

IN_FORCE_S = 5.0
"""Within this an accepted configuration is in force on every live entry of a small fleet."""


async def write(store: FakeKeyValueStore, revision: int) -> None:
    current = await store.get(CURRENT_KEY)
    value = encode_envelope(envelope(revision))
    await store.put(CURRENT_KEY, value, current.revision if current else 0)


def all_have(fleet: Fleet, revision: int) -> bool:
    return all(entry.config.revision == revision for entry in fleet.entries.values())


async def test_a_written_configuration_is_in_force_everywhere() -> None:
    store = FakeKeyValueStore()
    await write(store, 1)
    fleet = Fleet(8, store=store)
    await until(lambda: all_have(fleet, 1), IN_FORCE_S)
    await until(fleet.all_alive, 5.0)
    watches = store.counts.watches
    assert watches >= 4
    await write(store, 2)
    await until(lambda: all_have(fleet, 2), IN_FORCE_S)
    await fleet.stop()


async def test_silent_watches_are_healed() -> None:
    store = FakeKeyValueStore()
    await write(store, 1)
    fleet = Fleet(8, store=store)
    await until(lambda: all_have(fleet, 1), IN_FORCE_S)
    store.silence_watches()
    await write(store, 2)
    await until(lambda: all_have(fleet, 2), IN_FORCE_S)
    await fleet.stop()


async def test_an_entry_that_starts_without_the_store_learns_from_its_peers() -> None:
    store = FakeKeyValueStore()
    await write(store, 7)
    fleet = Fleet(4, store=store)
    await until(lambda: all_have(fleet, 7), IN_FORCE_S)
    await fleet.kill("e0")
    store.outage = True
    fleet.add("e0")
    await until(lambda: all_have(fleet, 7), IN_FORCE_S)
    await fleet.stop()


async def test_an_entry_cut_off_catches_up_from_its_peers_while_the_store_is_down() -> None:
    store = FakeKeyValueStore()
    await write(store, 1)
    fleet = Fleet(4, regions=1, store=store)
    await until(fleet.all_alive, 5.0)
    watchers = [name for name, entry in fleet.entries.items() if entry.config.dump()["watcher"]]
    assert len(watchers) == 2
    cut_off = next(name for name in fleet.entries if name not in watchers)
    fleet.network.cut_groups([cut_off], [name for name in fleet.entries if name != cut_off])
    await write(store, 2)
    # Shorter than it takes the entry to count the others as gone and to watch by itself.
    await asyncio.sleep(1.0)
    assert fleet.entries[cut_off].config.revision == 1
    store.outage = True
    fleet.network.heal()
    await until(lambda: all_have(fleet, 2), IN_FORCE_S)
    await fleet.stop()


async def test_without_store_and_peers_an_entry_is_not_ready() -> None:
    store = FakeKeyValueStore()
    store.outage = True
    fleet = Fleet(1, store=store)
    await asyncio.sleep(20.0)
    entry = fleet.entries["e0"]
    assert not entry.config.ready
    store.outage = False
    await write(store, 1)
    await asyncio.wait_for(entry.config.wait_ready(), IN_FORCE_S)
    await fleet.stop()


async def test_what_is_submitted_on_an_old_copy_of_the_store_comes_into_force() -> None:
    store = FakeKeyValueStore()
    await write(store, 9)
    fleet = Fleet(4, store=store)
    await until(lambda: all_have(fleet, 9), IN_FORCE_S)
    await write(store, 5)
    submitted = msgspec.structs.replace(envelope(6), submitted_at="2026-01-01T00:00:00Z")
    current = await store.get(CURRENT_KEY)
    assert current is not None
    await store.put(CURRENT_KEY, encode_envelope(submitted), current.revision)
    await until(lambda: all_have(fleet, 10), IN_FORCE_S)
    in_force = {entry.config.envelope.text for entry in fleet.entries.values()}
    assert in_force == {submitted.text}
    await fleet.stop()


async def test_a_store_restored_late_takes_nobody_back() -> None:
    store = FakeKeyValueStore()
    await write(store, 9)
    fleet = Fleet(4, store=store)
    await until(lambda: all_have(fleet, 9), IN_FORCE_S)
    await write(store, 5)
    await fleet.kill("e0")
    fleet.add("e0")
    await asyncio.sleep(20.0)
    assert all_have(fleet, 9)
    assert fleet.entries["e0"].revisions == [9]
    # The store is brought up to what is in force, so that the next submission builds on it.
    current = await store.get(CURRENT_KEY)
    assert current is not None
    assert decode_envelope(current.value).revision == 9
    await fleet.stop()
