"""Failure detection on the paused clock with the fake network."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.settings import MembershipSettings
from godwitpath_standin.fakes.peer_fleet import Fleet, until

pytestmark = pytest.mark.looptime

DETECTION_S = 12.0
"""Within this a dead entry is gone for everybody, at the settings' default times."""


async def test_entries_find_one_another_through_seeds() -> None:
    fleet = Fleet(8)
    assert await until(fleet.all_alive, 5.0) <= 5.0
    await fleet.stop()


async def test_a_dead_entry_is_gone_for_everybody_and_returns_with_a_restart() -> None:
    fleet = Fleet(8)
    await until(fleet.all_alive, 5.0)
    await fleet.kill("e3")
    await until(lambda: fleet.all_see("e3", "gone"), DETECTION_S)
    fleet.add("e3")
    await until(fleet.all_alive, DETECTION_S)
    assert fleet.entries["e3"].local.incarnation > 0
    await fleet.stop()


async def test_a_paused_entry_refutes_when_it_wakes() -> None:
    fleet = Fleet(8)
    await until(fleet.all_alive, 5.0)
    fleet.network.pause("e1")
    await asyncio.sleep(20.0)
    assert fleet.all_see("e1", "gone")
    fleet.network.wake("e1")
    await until(fleet.all_alive, 30.0)
    assert fleet.entries["e1"].local.incarnation > 0
    await fleet.stop()


async def test_a_pause_shorter_than_the_suspicion_makes_nobody_gone() -> None:
    for seed in range(6):
        fleet = Fleet(8, regions=3, seed=seed)
        await until(fleet.all_alive, 5.0)
        await asyncio.sleep(2.0 + 0.13 * seed)
        seen: set[str] = set()
        for entry in fleet.entries.values():
            entry.membership.on_change(lambda member, seen=seen: seen.add(member.state))
        fleet.network.pause("e1")
        await asyncio.sleep(MembershipSettings().suspicion_s)
        fleet.network.wake("e1")
        await asyncio.sleep(5.0)
        assert "gone" not in seen
        await fleet.stop()


async def test_a_cut_link_alone_makes_nobody_gone() -> None:
    fleet = Fleet(8)
    await until(fleet.all_alive, 5.0)
    fleet.network.cut("e1", "e2", both_ways=False)
    fleet.network.cut("e4", "e5")
    for _ in range(600):
        await asyncio.sleep(0.1)
        assert "gone" not in {s for e in fleet.entries.values() for s in e.states().values()}
    await fleet.stop()


async def test_regions_that_lost_each_other_find_together() -> None:
    fleet = Fleet(9, regions=3)
    await until(fleet.all_alive, 5.0)
    lost = [name for name, region in fleet.region_of.items() if region == "r0"]
    kept = [name for name in fleet.region_of if name not in lost]
    fleet.network.cut_groups(lost, kept)
    await asyncio.sleep(60.0)
    assert all(fleet.entries[kept[0]].states()[name] == "gone" for name in lost)
    seen: set[str] = set()
    for name, entry in fleet.entries.items():
        near = [n for n, region in fleet.region_of.items() if region == fleet.region_of[name]]
        entry.membership.on_change(lambda m, near=near: seen.add(m.state * (m.entry_id in near)))
    fleet.network.heal()
    await until(fleet.all_alive, 30.0)
    # What one side said of the other's members took none away from their own side.
    assert "gone" not in seen
    await fleet.stop()


async def test_a_planned_stop_is_seen_as_leaving_then_gone() -> None:
    fleet = Fleet(6)
    await until(fleet.all_alive, 5.0)
    await fleet.entries["e0"].membership.leave()
    await until(lambda: fleet.all_see("e0", "leaving"), 1.0)
    await fleet.entries["e0"].membership.depart()
    await until(lambda: fleet.all_see("e0", "gone"), 1.0)
    await fleet.stop()
