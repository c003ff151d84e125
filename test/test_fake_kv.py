"""Key-value core and its fake: compare-and-swap, leases, watches and faults."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.ports.kv import (
    ABSENT,
    LeaseLapsed,
    RevisionConflict,
    StoreRefused,
    StoreUncertain,
    WatchEvent,
)
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core

pytestmark = pytest.mark.looptime


async def test_write_requires_the_expected_revision() -> None:
    core = loop_core()
    one, two = FakeKeyValueStore(core), FakeKeyValueStore(core)
    revision = await one.put("k", b"a", ABSENT)
    with pytest.raises(RevisionConflict) as raised:
        await two.put("k", b"b", ABSENT)
    assert raised.value.current is not None
    assert raised.value.current.value == b"a"
    assert await two.put("k", b"b", revision) > revision
    with pytest.raises(RevisionConflict):
        await one.delete("k", revision)


async def test_lease_expiry_deletes_keys_and_notifies_the_watch() -> None:
    store = FakeKeyValueStore()
    lease = await store.grant_lease(2.0)
    await store.put("duty/a", b"me", ABSENT, lease.lease_id)
    events: list[WatchEvent] = []

    async def collect() -> None:
        async for event in store.watch("duty/", 0):
            events.append(event)

    task = asyncio.create_task(collect())
    await asyncio.sleep(1.5)
    await store.renew_lease(lease.lease_id)
    await asyncio.sleep(1.5)
    assert [event.value for event in events] == [b"me"]
    await asyncio.sleep(1.0)
    assert [event.value for event in events] == [b"me", None]
    with pytest.raises(LeaseLapsed):
        await store.renew_lease(lease.lease_id)
    task.cancel()


async def test_write_with_a_lost_response_takes_effect() -> None:
    store = FakeKeyValueStore()
    store.lose_next_responses(1)
    with pytest.raises(StoreUncertain):
        await store.put("k", b"a", ABSENT)
    found = await store.get("k")
    assert found is not None
    assert found.value == b"a"


async def test_delayed_write_is_uncertain_and_takes_effect_later() -> None:
    store = FakeKeyValueStore()
    store.delay_effect_s = 5.0
    with pytest.raises(StoreUncertain):
        await store.put("k", b"a", ABSENT)
    assert await store.get("k") is None
    await asyncio.sleep(6.0)
    assert await store.get("k") is not None


async def test_outage_refuses_calls_and_ends_watches() -> None:
    store = FakeKeyValueStore()
    watch = store.watch("", 0)
    next_event = asyncio.ensure_future(anext(watch))
    await asyncio.sleep(0.1)
    store.outage = True
    with pytest.raises(StoreRefused):
        await next_event
    with pytest.raises(StoreRefused):
        await store.put("k", b"a", ABSENT)
    assert store.counts.writes == 0
    store.outage = False
    assert await store.get("k") is None


async def test_silenced_watch_gets_no_events_while_a_new_one_does() -> None:
    store = FakeKeyValueStore()
    next_event = asyncio.ensure_future(anext(store.watch("", 0)))
    await asyncio.sleep(0.1)
    store.suppress_watch_events()
    await store.put("k", b"a", ABSENT)
    await asyncio.sleep(10.0)
    assert not next_event.done()
    assert (await anext(store.watch("", 0))).key == "k"
    next_event.cancel()


async def test_slow_store_makes_writes_uncertain() -> None:
    store = FakeKeyValueStore(timeout_s=1.0)
    store.slow_s = 3.0
    with pytest.raises(StoreUncertain):
        await store.put("k", b"a", ABSENT)
    with pytest.raises(StoreRefused):
        await store.get("k")
    await asyncio.sleep(3.0)
    store.slow_s = 0.0
    assert await store.get("k") is not None
