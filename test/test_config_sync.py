"""Distribution of the configuration in force, on simulated time."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from godwitpath.config.envelope import CURRENT_KEY, decode_envelope, encode_envelope
from godwitpath.config_sync.in_force import STORE_TIMEOUT_S, poll_interval_s
from godwitpath.ports.kv import KeyValue, StoreRefused
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core
from godwitpath_standin.fakes.peer_fleet import Fleet, Ports, envelope, until

pytestmark = pytest.mark.looptime

CONFIG_APPLY_S = 14.0
"""Time within which a change must be in force everywhere at the size that is aimed at."""

PROPAGATION_TIMEOUT_S = 5.0
"""Time within which a stored configuration must be in force on every entry of a small fleet."""


async def write(store: FakeKeyValueStore, revision: int) -> None:
    current = await store.get(CURRENT_KEY)
    value = encode_envelope(envelope(revision))
    await store.put(CURRENT_KEY, value, current.revision if current else 0)


def all_at_revision(fleet: Fleet, revision: int) -> bool:
    return all(entry.config.revision == revision for entry in fleet.entries.values())


async def test_stored_configuration_reaches_every_entry() -> None:
    store = FakeKeyValueStore()
    await write(store, 1)
    fleet = Fleet(8, store=store)
    await until(lambda: all_at_revision(fleet, 1), PROPAGATION_TIMEOUT_S)
    await until(fleet.all_alive, 5.0)
    watches = store.counts.watches
    assert watches >= 4
    await write(store, 2)
    await until(lambda: all_at_revision(fleet, 2), PROPAGATION_TIMEOUT_S)
    await fleet.stop()


async def test_polling_finds_a_change_missed_by_stalled_watches() -> None:
    store = FakeKeyValueStore()
    await write(store, 1)
    fleet = Fleet(8, store=store)
    await until(lambda: all_at_revision(fleet, 1), PROPAGATION_TIMEOUT_S)
    store.suppress_watch_events()
    await write(store, 2)
    await until(lambda: all_at_revision(fleet, 2), PROPAGATION_TIMEOUT_S)
    await fleet.stop()


async def test_entry_starting_during_a_store_outage_pulls_from_its_peers() -> None:
    store = FakeKeyValueStore()
    await write(store, 7)
    fleet = Fleet(4, store=store)
    await until(lambda: all_at_revision(fleet, 7), PROPAGATION_TIMEOUT_S)
    await fleet.kill("e0")
    store.outage = True
    fleet.add("e0")
    await until(lambda: all_at_revision(fleet, 7), PROPAGATION_TIMEOUT_S)
    await fleet.stop()


async def test_isolated_entry_catches_up_from_its_peers_during_a_store_outage() -> None:
    store = FakeKeyValueStore()
    await write(store, 1)
    fleet = Fleet(4, regions=1, store=store)
    await until(fleet.all_alive, 5.0)
    watchers = [name for name, entry in fleet.entries.items() if entry.config.dump()["watcher"]]
    assert len(watchers) == 2
    isolated = next(name for name in fleet.entries if name not in watchers)
    fleet.network.cut_groups([isolated], [name for name in fleet.entries if name != isolated])
    await write(store, 2)
    # The pause is shorter than the time after which the isolated entry marks the others as failed
    # and becomes a watcher itself.
    await asyncio.sleep(1.0)
    assert fleet.entries[isolated].config.revision == 1
    store.outage = True
    fleet.network.heal()
    await until(lambda: all_at_revision(fleet, 2), PROPAGATION_TIMEOUT_S)
    await fleet.stop()


async def test_entry_without_store_and_peers_is_not_ready() -> None:
    store = FakeKeyValueStore()
    store.outage = True
    fleet = Fleet(1, store=store)
    await asyncio.sleep(20.0)
    entry = fleet.entries["e0"]
    assert not entry.config.ready
    store.outage = False
    await write(store, 1)
    await asyncio.wait_for(entry.config.wait_ready(), PROPAGATION_TIMEOUT_S)
    await fleet.stop()


async def test_submission_after_a_restore_from_an_old_backup_becomes_the_next_revision() -> None:
    store = FakeKeyValueStore()
    await write(store, 9)
    fleet = Fleet(4, store=store)
    await until(lambda: all_at_revision(fleet, 9), PROPAGATION_TIMEOUT_S)
    await write(store, 5)
    submitted = msgspec.structs.replace(envelope(6), submitted_at="2026-01-01T00:00:00Z")
    current = await store.get(CURRENT_KEY)
    assert current is not None
    await store.put(CURRENT_KEY, encode_envelope(submitted), current.revision)
    await until(lambda: all_at_revision(fleet, 10), PROPAGATION_TIMEOUT_S)
    in_force = {entry.config.envelope.text for entry in fleet.entries.values()}
    assert in_force == {submitted.text}
    await fleet.stop()


async def test_restore_from_an_old_backup_lowers_no_revision_in_force() -> None:
    store = FakeKeyValueStore()
    await write(store, 9)
    fleet = Fleet(4, store=store)
    await until(lambda: all_at_revision(fleet, 9), PROPAGATION_TIMEOUT_S)
    await write(store, 5)
    await fleet.kill("e0")
    fleet.add("e0")
    await asyncio.sleep(20.0)
    assert all_at_revision(fleet, 9)
    assert fleet.entries["e0"].revisions == [9]
    # An entry writes the revision in force to the store again, so that the next submission gets a
    # greater revision.
    current = await store.get(CURRENT_KEY)
    assert current is not None
    assert decode_envelope(current.value).revision == 9
    await fleet.stop()


class SlowStore(FakeKeyValueStore):
    """A store whose reads take as long as a large text over a slow link."""

    async def get(self, key: str) -> KeyValue | None:
        await asyncio.sleep(2.5 * STORE_TIMEOUT_S)
        return await super().get(key)


async def test_a_text_that_takes_longer_than_the_first_timeout_is_in_force_in_time() -> None:
    store = SlowStore()
    await write(store, 1)
    fleet = Fleet(1, store=store)
    await until(lambda: all_at_revision(fleet, 1), CONFIG_APPLY_S)
    await fleet.stop()


class PooledStore(FakeKeyValueStore):
    """A client with connections in a pool, which the store can stop answering.

    Calls on these get no response in time; the first that has failed retires all of them.
    """

    silent_connections = 0

    def silence(self, open_connections: int) -> None:
        """Stop responding, permanently, on the open watch and on the connections of the pool."""
        self.suppress_watch_events()
        self.silent_connections = open_connections

    async def get(self, key: str) -> KeyValue | None:
        await self._use_connection()
        return await super().get(key)

    async def scan(self, prefix: str, limit: int = 1000, after: str = "") -> list[KeyValue]:
        await self._use_connection()
        return await super().scan(prefix, limit, after)

    async def _use_connection(self) -> None:
        if self.silent_connections:
            self.silent_connections -= 1
            await asyncio.sleep(self.timeout_s)
            self.silent_connections = 0
            raise StoreRefused("no response in time")


@pytest.mark.parametrize("seed", range(1, 41))
async def test_a_change_while_open_connections_are_silent_is_in_force_in_time(seed: int) -> None:
    core = loop_core()
    operator = FakeKeyValueStore(core)
    fleet = Fleet(0, seed=seed)
    stores = [PooledStore(core) for _ in range(5)]
    for number, store in enumerate(stores):
        fleet.ports = Ports(store)
        fleet.region_of[f"e{number}"] = f"r{number % 3}"
        fleet.add(f"e{number}")
    await write(operator, 1)
    await until(lambda: all_at_revision(fleet, 1), PROPAGATION_TIMEOUT_S)
    # The entries started together, so that their polls are still close to one another.
    await asyncio.sleep(9.0)
    for store in stores:
        store.silence(open_connections=2)
    await write(operator, 2)
    await until(lambda: all_at_revision(fleet, 2), PROPAGATION_TIMEOUT_S)
    await fleet.stop()


def test_polls_after_failures_return_to_their_interval() -> None:
    assert [poll_interval_s(failed_polls) for failed_polls in range(7)] == [
        3,
        0.25,
        0.5,
        1,
        2,
        3,
        3,
    ]
