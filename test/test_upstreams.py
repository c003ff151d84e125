"""What is known of upstreams, on the paused clock."""

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

NO_NEW_WORK_S = 2.0
"""Within this after the first entry could know, no entry sends new work to a leaving upstream."""


def instance(name: str, state: str = "live", zone: str = "r0-a") -> Instance:
    return Instance(name, "lm", zone[:2], zone, state, "gpu", True, 1.0, Address("test", 2))


class FixedList(InstanceList):
    """A list that says what the test sets."""

    def __init__(self, *names: str) -> None:
        self.listed = [instance(name) for name in names]
        self.down = False

    async def instances(self) -> list[Instance]:
        if self.down:
            raise PlatformUnavailable("down")
        return list(self.listed)


class NoticeCloud(Cloud):
    """A cloud that gives notices to whoever follows, and nothing else."""

    def __init__(self) -> None:
        self._queues: list[asyncio.Queue[ReclaimNotice]] = []

    def notice(self, name: str, followers: int = 100) -> bool:
        for queue in self._queues[:followers]:
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


async def test_a_notice_heard_by_one_entry_stops_new_work_everywhere() -> None:
    listing, cloud, store = FixedList("u1", "u2"), NoticeCloud(), FakeKeyValueStore()
    fleet = Fleet(8, regions=3, instance_list=listing, cloud=cloud, store=store)
    await until(fleet.all_alive, 5.0)
    await until(lambda: all_serve(fleet, "u1", "u2"), 15.0)
    # The list goes on saying "live", the store is down, a link is cut, one follower hears it.
    store.outage = True
    fleet.network.cut("e0", "e3")
    cloud.notice("u1", followers=1)
    await until(lambda: none_serves(fleet, "u1"), NO_NEW_WORK_S)
    await asyncio.sleep(30.0)
    assert none_serves(fleet, "u1")
    assert all_serve(fleet, "u2")
    await fleet.stop()


async def test_lost_pushes_are_made_up_for() -> None:
    listing = FixedList("u1", "u2")
    fleet = Fleet(8, instance_list=listing)
    await until(fleet.all_alive, 5.0)
    await until(lambda: all_serve(fleet, "u1", "u2"), 15.0)
    fleet.network.faults.loss = 0.3
    assert fleet.entries["e5"].feed.leaving("u1", 30.0)
    await until(lambda: none_serves(fleet, "u1"), NO_NEW_WORK_S)
    await fleet.stop()


async def test_an_announced_stop_of_a_zone_and_its_cancelling() -> None:
    listing, store = FixedList("u1"), FakeKeyValueStore()
    listing.listed.append(instance("u9", zone="r1-b"))
    fleet = Fleet(4, instance_list=listing, store=store)
    heard: list[Stop] = []
    fleet.entries["e0"].feed.on_stop(heard.append)
    await until(lambda: all_serve(fleet, "u1", "u9"), 15.0)
    stop = Stop("zone", "r0-a", "2026-01-01T00:00:00Z")
    revision = await store.put(stop_key(stop), encode_stop(stop), 0)
    await until(lambda: none_serves(fleet, "u1"), NO_NEW_WORK_S)
    listing.listed.append(instance("u2"))
    await until(lambda: fleet.entries["e0"].table.get("u2") is not None, 15.0)
    await until(lambda: none_serves(fleet, "u2"), NO_NEW_WORK_S)
    assert all_serve(fleet, "u9")
    await until(lambda: heard == [stop], 15.0)
    await store.delete(stop_key(stop), revision)
    await until(lambda: all_serve(fleet, "u1", "u2", "u9"), 15.0)
    await fleet.stop()


async def test_a_cancelled_stop_does_not_take_back_a_reclaim() -> None:
    listing, store, cloud = FixedList("u1", "u2"), FakeKeyValueStore(), NoticeCloud()
    fleet = Fleet(4, instance_list=listing, store=store, cloud=cloud)
    await until(lambda: all_serve(fleet, "u1", "u2"), 15.0)
    stop = Stop("upstream", "u1", "2026-01-01T00:00:00Z")
    revision = await store.put(stop_key(stop), encode_stop(stop), 0)
    await until(lambda: none_serves(fleet, "u1"), NO_NEW_WORK_S)
    cloud.notice("u1")
    await asyncio.sleep(1.0)
    await store.delete(stop_key(stop), revision)
    await asyncio.sleep(20.0)
    assert none_serves(fleet, "u1")
    await fleet.stop()


async def test_an_upstream_that_the_list_drops_is_gone_and_one_it_shows_again_is_back() -> None:
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


async def test_an_empty_list_takes_nobody_away() -> None:
    listing = FixedList("u1")
    fleet = Fleet(2, instance_list=listing)
    await until(lambda: all_serve(fleet, "u1"), 15.0)
    listing.listed = []
    await asyncio.sleep(4 * GONE_AFTER_ABSENT_S)
    assert all_serve(fleet, "u1")
    await fleet.stop()


def test_within_an_incarnation_nothing_leads_back() -> None:
    table = UpstreamTable()
    assert table.apply(instance_fact(instance("u"), 0, "leaving"))
    assert not table.apply(instance_fact(instance("u"), 0, "serving"))
    assert table.apply(instance_fact(instance("u"), 0, "gone"))
    assert not table.apply(instance_fact(instance("u"), 0, "leaving"))
    assert table.apply(instance_fact(instance("u"), 1, "serving"))
    assert not table.apply(instance_fact(instance("u"), 0, "gone"))
    assert [u.upstream_id for u in table.serving("lm")] == ["u"]
