"""The stand-in of the platform's store when it comes back from an older copy, over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from godwitpath.gateway.store import HistoryLost, Precondition, Put
from godwitpath.http1.client import connect
from godwitpath.http1.messages import encode_request_head
from godwitpath.platform.store import PlatformStore
from godwitpath.ports.kv import LeaseLapsed, StoreRefused
from godwitpath_standin.gateway.store_app import StoreServer
from godwitpath_standin.gateway.store_core import StoreCore

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
    assert listing.revision == snapshot.revision
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
    assert await store.transact([], [Put("p/a", b"other")]) == lost_revision
    # A condition on the lost write holds for the other one.
    await store.transact([Precondition("p/a", lost_revision)], [Put("p/a", b"third")])


async def test_a_watch_from_a_lost_revision_has_no_history(running_store: RunningStore) -> None:
    server, store, _ = running_store
    snapshot = server.core.snapshot()
    lost_revision = await store.transact([], [Put("p/a", b"")])
    waiting = asyncio.create_task(store.changes("p/", lost_revision, wait_s=5.0))
    await asyncio.sleep(0.1)
    server.core.restore(snapshot)
    for watch in (waiting, store.changes("p/", lost_revision, wait_s=5.0)):
        with pytest.raises(HistoryLost):
            await watch
    with pytest.raises(HistoryLost):
        await store.changes("p/", snapshot.revision - 1, wait_s=5.0)
    await store.transact([], [Put("p/b", b"")])
    changes, _ = await store.changes("p/", snapshot.revision, wait_s=5.0)
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
