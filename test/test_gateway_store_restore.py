"""The platform's store when it comes back from an older copy: the stand-in, and a daemon's view."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

import pytest

from godwitpath.gateway.catalogue import REAPPEAR_GRACE_S, Catalogue
from godwitpath.gateway.engines import EngineRegistry, EngineState
from godwitpath.gateway.holder import HOLDER_KEY, LEASE_FACTOR, DutyHolder
from godwitpath.gateway.in_force import ConfigurationInForce
from godwitpath.gateway.members import (
    MEMBERS_PREFIX,
    RENEW_S,
    SECRET_KEY,
    SECRET_WAIT_S,
    MemberEntry,
    Members,
)
from godwitpath.gateway.settings import Bounds
from godwitpath.gateway.store import HistoryLost, Precondition, Put, with_era, without_era
from godwitpath.http1.client import connect
from godwitpath.http1.messages import encode_request_head
from godwitpath.platform.adapter import PlatformAdapter
from godwitpath.platform.settings import decode_settings
from godwitpath.platform.store import PlatformStore
from godwitpath.ports.engine import Address
from godwitpath.ports.kv import LeaseLapsed, StoreRefused, StoreUncertain
from godwitpath_standin.gateway.documents import configuration_document, settings_document
from godwitpath_standin.gateway.engine import EngineStandin
from godwitpath_standin.gateway.store_app import StoreServer
from godwitpath_standin.gateway.store_core import StoreCore
from test.gateway_parts import json_bytes

CONFIG_APPLY_S = 2.5
"""Time within which a change of the configuration must be in force."""

DRAIN_S = 2.5
"""Time within which an engine's announcement that it leaves must be known."""

RunningStore = tuple[StoreServer, PlatformStore, int]


@pytest.fixture
async def running_store() -> AsyncIterator[RunningStore]:
    """Run a store; the last member is its port."""
    server = StoreServer(StoreCore())
    address = await server.start()
    store = PlatformStore(address)
    yield server, store, address.port
    store.close()
    await server.stop()


async def era_of_response(port: int, target: bytes) -> bytes:
    """Return the era that a response states."""
    connection = await connect("127.0.0.1", port, 1.0)
    connection.send("GET", encode_request_head("GET", target, [(b"Host", b"h")]))
    head = await connection.head()
    connection.close()
    return head.header(b"store-era")


async def test_what_was_written_since_the_copy_is_gone(running_store: RunningStore) -> None:
    server, store, _ = running_store
    await store.transact([], [Put("p/kept", b"old")])
    kept_lease = await store.grant(60.0)
    await store.transact([], [Put("p/leased", b"", kept_lease)])
    snapshot = server.core.snapshot()
    await store.transact([], [Put("p/kept", b"new")])
    lost_lease = await store.grant(60.0)
    await store.transact([], [Put("p/lost", b"", lost_lease)])
    server.core.restore(snapshot)
    listing = await store.list_items("p/")
    assert {item.key: item.value for item in listing.items} == {"p/kept": b"old", "p/leased": b""}
    assert listing.revision == with_era(server.core.era, snapshot.revision)
    await store.renew(kept_lease)
    with pytest.raises(LeaseLapsed):
        await store.renew(lost_lease)
    await store.end_lease(kept_lease)
    assert await store.get("p/leased") is None


async def test_revisions_are_given_out_again(running_store: RunningStore) -> None:
    server, store, _ = running_store
    snapshot = server.core.snapshot()
    lost_revision = await store.transact([], [Put("p/a", b"lost")])
    server.core.restore(snapshot)
    other_revision = await store.transact([], [Put("p/a", b"other")])
    assert without_era(other_revision) == without_era(lost_revision)
    assert other_revision > lost_revision
    # In the store, a condition on the lost write holds for the other one.
    condition = Precondition("p/a", without_era(lost_revision))
    server.core.write([condition], [Put("p/a", b"third")])
    with pytest.raises(StoreRefused):
        await store.transact([Precondition("p/a", lost_revision)], [Put("p/a", b"fourth")])
    item = await store.get("p/a")
    assert item is not None
    assert item.value == b"third"


async def test_a_watch_from_a_lost_revision_has_no_history(running_store: RunningStore) -> None:
    server, store, port = running_store
    snapshot = server.core.snapshot()
    lost_revision = await store.transact([], [Put("p/a", b"")])
    waiting = asyncio.create_task(store.changes("p/", lost_revision, wait_s=5.0))
    await asyncio.sleep(0.1)
    server.core.restore(snapshot)
    for watch in (waiting, store.changes("p/", lost_revision, wait_s=5.0)):
        with pytest.raises(HistoryLost):
            await watch
    era = server.core.era
    started_since = PlatformStore(Address("127.0.0.1", port))
    for number in (without_era(lost_revision), snapshot.revision - 1):
        with pytest.raises(HistoryLost):
            await started_since.changes("p/", with_era(era, number), wait_s=5.0)
    started_since.close()
    await store.transact([], [Put("p/b", b"")])
    changes, _ = await store.changes("p/", with_era(era, snapshot.revision), wait_s=5.0)
    assert [change.key for change in changes] == ["p/b"]


async def test_each_response_states_the_era(running_store: RunningStore) -> None:
    server, store, port = running_store
    targets = (b"/kv-key?key=absent", b"/kv-range?prefix=p", b"/kv-watch?prefix=p&after=0&waitMs=0")
    assert {await era_of_response(port, target) for target in targets} == {b"1"}
    snapshot = server.core.snapshot()
    for era in (b"2", b"3"):
        server.refuse_with = 503
        with pytest.raises(StoreRefused):
            await store.get("absent")
        server.core.restore(snapshot)
        assert await era_of_response(port, targets[0]) == era
        server.refuse_with = 0
        assert {await era_of_response(port, target) for target in targets} == {era}


class Watching:
    """A catalogue that watches a store, with its configuration and engines."""

    def __init__(self, store: PlatformStore) -> None:
        adapter = PlatformAdapter(decode_settings(json_bytes(settings_document())))
        self.in_force = ConfigurationInForce()
        self.engines = EngineRegistry()
        self.catalogue = Catalogue(store, adapter, self.in_force, self.engines, Random(1), 2.0)
        self._task = asyncio.create_task(self.catalogue.run())

    async def stop(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


@pytest.fixture
async def watching(running_store: RunningStore) -> AsyncIterator[Watching]:
    server, store, _ = running_store
    server.core.put("op/config", json_bytes(configuration_document(version=7)))
    server.core.put("servers/e1", EngineStandin("e1").entry("lm", address="127.0.0.1:1"))
    watching = Watching(store)
    await asyncio.sleep(0.5)
    yield watching
    await watching.stop()


async def write_and_lose(server: StoreServer, key: str, value: bytes) -> None:
    """Write a key after many other writes, and restore the store to its state before them."""
    snapshot = server.core.snapshot()
    for _ in range(50):
        server.core.put("p/other", b"")
    server.core.put(key, value)
    await asyncio.sleep(0.5)
    server.core.restore(snapshot)
    await asyncio.sleep(1.0)


async def test_a_configuration_written_after_a_restore_is_in_force(
    running_store: RunningStore, watching: Watching
) -> None:
    server = running_store[0]
    lost = json_bytes(configuration_document(version=8))
    await write_and_lose(server, "op/config", lost)
    assert watching.in_force.current is not None
    assert watching.in_force.current.version == 8
    server.core.put("op/config", json_bytes(configuration_document(version=9)))
    await asyncio.sleep(CONFIG_APPLY_S)
    assert watching.in_force.current.version == 9


async def test_an_engine_that_leaves_after_a_restore_is_known(
    running_store: RunningStore, watching: Watching
) -> None:
    server = running_store[0]
    lost = EngineStandin("e1").entry("lm", address="127.0.0.1:1")
    await write_and_lose(server, "servers/e1", lost)
    draining = EngineStandin("e1").entry("lm", address="127.0.0.1:1", state="draining")
    server.core.put("servers/e1", draining)
    await asyncio.sleep(DRAIN_S)
    engine = watching.engines.get("e1")
    assert engine is not None
    assert engine.entry.state is EngineState.DRAINING


WITH_AND_WITHOUT_FENCING = pytest.mark.parametrize(
    ("bounds", "acquire_s"),
    [
        (Bounds(fencing_checked=True), 1.0),
        (Bounds(fencing_checked=False), Bounds().lease_s * LEASE_FACTOR + 1.0),
    ],
    ids=["fencing-checked", "fencing-not-checked"],
)


@WITH_AND_WITHOUT_FENCING
async def test_fencing_tokens_rise_across_a_restore(
    running_store: RunningStore, bounds: Bounds, acquire_s: float
) -> None:
    server, store, _ = running_store
    snapshot = server.core.snapshot()
    for _ in range(50):
        server.core.put("p/other", b"")
    tokens = []
    for name in ("d1", "d2"):
        members = Members(store, name, MemberEntry("127.0.0.1", 1, "a", 1), Random(1))
        holder = DutyHolder(store, members, name, bounds, Random(1), lambda *_: 0.0)
        tasks = [asyncio.create_task(job) for job in (members.run(), holder.run())]
        await asyncio.sleep(1.0 + acquire_s)
        token = holder.fencing_token()
        assert token is not None
        tokens.append(token.number)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        server.core.restore(snapshot)
    assert tokens == sorted(set(tokens))


async def test_a_revoked_key_stays_revoked_while_the_older_copy_has_it(
    running_store: RunningStore, watching: Watching
) -> None:
    server = running_store[0]
    lost = json_bytes(configuration_document(version=8, tenants=[]))
    await write_and_lose(server, "op/config", lost)
    assert watching.in_force.version == 8
    assert watching.in_force.current is not None
    assert watching.in_force.current.accounts == ()
    # The operator writes the lost version again.
    server.core.put("op/config", lost)
    await asyncio.sleep(CONFIG_APPLY_S)
    assert watching.in_force.version == 8


async def test_an_engine_that_left_before_a_restore_is_not_used_again(
    running_store: RunningStore, watching: Watching
) -> None:
    server = running_store[0]
    server.core.put("servers/e2", EngineStandin("e2").entry("lm", address="127.0.0.1:2"))
    await asyncio.sleep(0.3)
    snapshot = server.core.snapshot()
    server.core.put(
        "servers/e1", EngineStandin("e1").entry("lm", address="127.0.0.1:1", state="draining")
    )
    server.core.remove("servers/e2")
    await asyncio.sleep(0.3)
    server.core.restore(snapshot)
    await asyncio.sleep(1.0)
    leaving = watching.engines.get("e1")
    assert leaving is not None
    assert leaving.entry.state is EngineState.DRAINING
    assert watching.engines.get("e2") is None
    # What the engine itself writes after the restore counts.
    server.core.put("servers/e2", EngineStandin("e2").entry("lm", address="127.0.0.1:2"))
    await asyncio.sleep(0.3)
    assert watching.engines.get("e2") is not None


async def test_an_engine_that_the_older_copy_lacks_has_time_to_register_again(
    running_store: RunningStore, watching: Watching
) -> None:
    server = running_store[0]
    await write_and_lose(
        server, "servers/e3", EngineStandin("e3").entry("lm", address="127.0.0.1:3")
    )
    assert watching.engines.get("e3") is not None
    server.core.put("servers/e3", EngineStandin("e3").entry("lm", address="127.0.0.1:3"))
    await asyncio.sleep(REAPPEAR_GRACE_S + 0.3)
    assert watching.engines.get("e3") is not None
    server.core.put("servers/e4", EngineStandin("e4").entry("lm", address="127.0.0.1:4"))
    await write_and_lose(
        server, "servers/e5", EngineStandin("e5").entry("lm", address="127.0.0.1:5")
    )
    await asyncio.sleep(REAPPEAR_GRACE_S)
    assert watching.engines.get("e4") is not None
    assert watching.engines.get("e5") is None


async def test_a_response_of_an_older_era_or_of_none_that_can_be_read_is_not_taken(
    running_store: RunningStore,
) -> None:
    server, store, _ = running_store
    server.core.era = 3
    assert await store.get("absent") is None
    for era in (2, "3a", "", 8192):
        server.core.era = era  # type: ignore[assignment]
        with pytest.raises(StoreRefused):
            await store.get("absent")
        with pytest.raises(StoreUncertain):
            await store.grant(5.0)
    server.core.era = 3
    assert await store.get("absent") is None


@WITH_AND_WITHOUT_FENCING
async def test_a_holder_whose_key_a_restore_lost_acts_under_a_new_token_only(
    running_store: RunningStore, bounds: Bounds, acquire_s: float
) -> None:
    server, store, _ = running_store
    members = Members(store, "d1", MemberEntry("127.0.0.1", 1, "a", 1), Random(1))
    holder = DutyHolder(store, members, "d1", bounds, Random(1), lambda *_: 0.0)
    tasks = [asyncio.create_task(members.run())]
    await asyncio.sleep(1.0)
    snapshot = server.core.snapshot()
    tasks.append(asyncio.create_task(holder.run()))
    await asyncio.sleep(acquire_s)
    token = holder.fencing_token()
    assert token is not None
    valid_until_s = holder._valid_until_s
    for _ in range(200):
        if holder._valid_until_s != valid_until_s:
            break
        await asyncio.sleep(0.01)
    # The next renewal is more than a second away.
    server.core.restore(snapshot)
    await asyncio.sleep(0.6)
    assert not token.is_valid()
    successor = holder.fencing_token()
    assert successor is not None
    assert successor.number == with_era(server.core.era, server.core.items[HOLDER_KEY].revision)
    assert successor.number > token.number
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_a_secret_that_a_restore_lost_is_written_again(running_store: RunningStore) -> None:
    server, store, _ = running_store
    snapshot = server.core.snapshot()
    members = Members(store, "d1", MemberEntry("127.0.0.1", 1, "a", 1), Random(1))
    task = asyncio.create_task(members.run())
    await asyncio.sleep(1.0)
    secret = members.secret
    assert secret
    server.core.restore(snapshot)
    await asyncio.sleep(RENEW_S + SECRET_WAIT_S + 0.5)
    assert members.secret == secret
    assert server.core.items[SECRET_KEY].value == secret
    assert server.core.items[MEMBERS_PREFIX + "d1"]
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
