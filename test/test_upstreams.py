"""Propagation of upstream states between entries, on simulated time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from godwitpath.ports.engine import Address
from godwitpath.ports.platform import (
    Cloud,
    Instance,
    InstanceList,
    Offer,
    PlatformUnavailable,
    ReclaimNotice,
)
from godwitpath.upstreams.list_view import GONE_AFTER_ABSENT_S, instance_fact
from godwitpath.upstreams.stops import Stop, encode_stop, stop_key
from godwitpath.upstreams.table import UpstreamTable
from godwitpath_standin.fakes.kv import FakeKeyValueStore
from godwitpath_standin.fakes.peer_fleet import Fleet, until

pytestmark = pytest.mark.looptime

NO_NEW_WORK_TIMEOUT_S = 2.0
"""Time after one entry has detected a stop in which all entries must send no new work there."""


def instance(name: str, state: str = "live", zone: str = "r0-a") -> Instance:
    return Instance(name, "lm", zone[:2], zone, state, "gpu", True, 1.0, Address("test", 2))


class FixedList(InstanceList):
    """An instance list with the content that the test sets."""

    def __init__(self, *names: str) -> None:
        self.listed = [instance(name) for name in names]
        self.unavailable = False

    async def instances(self) -> list[Instance]:
        if self.unavailable:
            raise PlatformUnavailable("down")
        return list(self.listed)


class NoticeCloud(Cloud):
    """A cloud that sends notices on all open streams and supports no other operation."""

    def __init__(self) -> None:
        self._queues: list[asyncio.Queue[ReclaimNotice]] = []

    def notice(self, name: str, max_streams: int = 100) -> bool:
        for queue in self._queues[:max_streams]:
            queue.put_nowait(ReclaimNotice(name, 30.0))
        return bool(self._queues)

    async def notices(self) -> AsyncIterator[ReclaimNotice]:  # type: ignore[override]
        queue: asyncio.Queue[ReclaimNotice] = asyncio.Queue()
        self._queues.append(queue)
        try:
            while True:
                yield await queue.get()
        finally:
            self._queues.remove(queue)

    async def offers(self) -> list[Offer]:
        return []

    async def acquire(self, offer: Offer, purpose: str, request_token: str) -> Instance:
        raise PlatformUnavailable("none")

    async def release(self, instance_id: str) -> None:
        return


def none_serves(fleet: Fleet, name: str) -> bool:
    return all(
        name not in {u.upstream_id for u in entry.table.serving("lm")}
        for entry in fleet.entries.values()
    )


def all_serve(fleet: Fleet, *names: str) -> bool:
    return all(
        set(names) <= {u.upstream_id for u in entry.table.serving("lm")}
        for entry in fleet.entries.values()
    )


async def test_notice_to_one_entry_stops_new_work_everywhere() -> None:
    listing, cloud, store = FixedList("u1", "u2"), NoticeCloud(), FakeKeyValueStore()
    fleet = Fleet(8, regions=3, instance_list=listing, cloud=cloud, store=store)
    await until(fleet.all_alive, 5.0)
    await until(lambda: all_serve(fleet, "u1", "u2"), 15.0)
    # The list still says "live", the store is down, a link is cut, one poller gets the notice.
    store.outage = True
    fleet.network.cut("e0", "e3")
    cloud.notice("u1", max_streams=1)
    await until(lambda: none_serves(fleet, "u1"), NO_NEW_WORK_TIMEOUT_S)
    await asyncio.sleep(30.0)
    assert none_serves(fleet, "u1")
    assert all_serve(fleet, "u2")
    await fleet.stop()


async def test_lost_pushes_are_repaired() -> None:
    listing = FixedList("u1", "u2")
    fleet = Fleet(8, instance_list=listing)
    await until(fleet.all_alive, 5.0)
    await until(lambda: all_serve(fleet, "u1", "u2"), 15.0)
    fleet.network.faults.loss = 0.3
    assert fleet.entries["e5"].feed.mark_leaving("u1", 30.0)
    await until(lambda: none_serves(fleet, "u1"), NO_NEW_WORK_TIMEOUT_S)
    await fleet.stop()


async def test_zone_stop_is_applied_and_cancelled() -> None:
    listing, store = FixedList("u1"), FakeKeyValueStore()
    listing.listed.append(instance("u9", zone="r1-b"))
    fleet = Fleet(4, instance_list=listing, store=store)
    received_stops: list[Stop] = []
    fleet.entries["e0"].feed.on_stop(received_stops.append)
    await until(lambda: all_serve(fleet, "u1", "u9"), 15.0)
    stop = Stop("zone", "r0-a", "2026-01-01T00:00:00Z")
    revision = await store.put(stop_key(stop), encode_stop(stop), 0)
    await until(lambda: none_serves(fleet, "u1"), NO_NEW_WORK_TIMEOUT_S)
    listing.listed.append(instance("u2"))
    await until(lambda: fleet.entries["e0"].table.get("u2") is not None, 15.0)
    await until(lambda: none_serves(fleet, "u2"), NO_NEW_WORK_TIMEOUT_S)
    assert all_serve(fleet, "u9")
    await until(lambda: received_stops == [stop], 15.0)
    await store.delete(stop_key(stop), revision)
    await until(lambda: all_serve(fleet, "u1", "u2", "u9"), 15.0)
    await fleet.stop()


async def test_cancelled_stop_does_not_revert_reclaim() -> None:
    listing, store, cloud = FixedList("u1", "u2"), FakeKeyValueStore(), NoticeCloud()
    fleet = Fleet(4, instance_list=listing, store=store, cloud=cloud)
    await until(lambda: all_serve(fleet, "u1", "u2"), 15.0)
    stop = Stop("upstream", "u1", "2026-01-01T00:00:00Z")
    revision = await store.put(stop_key(stop), encode_stop(stop), 0)
    await until(lambda: none_serves(fleet, "u1"), NO_NEW_WORK_TIMEOUT_S)
    cloud.notice("u1")
    await asyncio.sleep(1.0)
    await store.delete(stop_key(stop), revision)
    await asyncio.sleep(20.0)
    assert none_serves(fleet, "u1")
    await fleet.stop()


async def test_upstream_is_gone_when_unlisted_and_returns_when_listed_again() -> None:
    listing = FixedList("u1", "u2")
    fleet = Fleet(3, instance_list=listing)
    await until(lambda: all_serve(fleet, "u1", "u2"), 15.0)
    del listing.listed[0]
    await asyncio.sleep(GONE_AFTER_ABSENT_S / 2)
    assert all_serve(fleet, "u1")
    await until(lambda: none_serves(fleet, "u1"), GONE_AFTER_ABSENT_S)
    listing.listed.append(instance("u1"))
    await until(lambda: all_serve(fleet, "u1"), 30.0)
    assert {entry.table.get("u1").incarnation for entry in fleet.entries.values()} == {1}
    await fleet.stop()


async def test_empty_list_removes_no_upstream() -> None:
    listing = FixedList("u1")
    fleet = Fleet(2, instance_list=listing)
    await until(lambda: all_serve(fleet, "u1"), 15.0)
    listing.listed = []
    await asyncio.sleep(4 * GONE_AFTER_ABSENT_S)
    assert all_serve(fleet, "u1")
    await fleet.stop()


def test_state_never_reverts_within_an_incarnation() -> None:
    table = UpstreamTable()
    assert table.apply(instance_fact(instance("u"), 0, "leaving"))
    assert not table.apply(instance_fact(instance("u"), 0, "serving"))
    assert table.apply(instance_fact(instance("u"), 0, "gone"))
    assert not table.apply(instance_fact(instance("u"), 0, "leaving"))
    assert table.apply(instance_fact(instance("u"), 1, "serving"))
    assert not table.apply(instance_fact(instance("u"), 0, "gone"))
    assert [u.upstream_id for u in table.serving("lm")] == ["u"]
