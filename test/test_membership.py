"""Failure detection of the entries, on simulated time with the fake network."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.settings import MembershipSettings
from godwitpath_standin.fakes.peer_fleet import Fleet, until

pytestmark = pytest.mark.looptime

DETECTION_TIMEOUT_S = 12.0
"""Time after the failure of an entry in which all others must mark it as gone, by default."""


async def test_entries_discover_one_another_through_seeds() -> None:
    fleet = Fleet(8)
    assert await until(fleet.all_alive, 5.0) <= 5.0
    await fleet.stop()


async def test_failed_entry_is_detected_and_rejoins_after_restart() -> None:
    fleet = Fleet(8)
    await until(fleet.all_alive, 5.0)
    await fleet.kill("e3")
    await until(lambda: fleet.all_report("e3", "gone"), DETECTION_TIMEOUT_S)
    fleet.add("e3")
    await until(fleet.all_alive, DETECTION_TIMEOUT_S)
    assert fleet.entries["e3"].local.incarnation > 0
    await fleet.stop()


async def test_paused_entry_refutes_after_resuming() -> None:
    fleet = Fleet(8)
    await until(fleet.all_alive, 5.0)
    fleet.network.pause("e1")
    await asyncio.sleep(20.0)
    assert fleet.all_report("e1", "gone")
    fleet.network.resume("e1")
    await until(fleet.all_alive, 30.0)
    assert fleet.entries["e1"].local.incarnation > 0
    await fleet.stop()


async def test_pause_shorter_than_suspicion_removes_no_member() -> None:
    for seed in range(6):
        fleet = Fleet(8, regions=3, seed=seed)
        await until(fleet.all_alive, 5.0)
        await asyncio.sleep(2.0 + 0.13 * seed)
        observed_states: set[str] = set()
        for entry in fleet.entries.values():
            entry.membership.on_change(
                lambda member, observed_states=observed_states: observed_states.add(member.state)
            )
        fleet.network.pause("e1")
        await asyncio.sleep(MembershipSettings().suspicion_s)
        fleet.network.resume("e1")
        await asyncio.sleep(5.0)
        assert "gone" not in observed_states
        await fleet.stop()


async def test_cut_links_remove_no_member() -> None:
    fleet = Fleet(8)
    await until(fleet.all_alive, 5.0)
    fleet.network.cut("e1", "e2", both_ways=False)
    fleet.network.cut("e4", "e5")
    for _ in range(600):
        await asyncio.sleep(0.1)
        assert "gone" not in {s for e in fleet.entries.values() for s in e.states().values()}
    await fleet.stop()


async def test_regions_reconnect_after_partition() -> None:
    fleet = Fleet(9, regions=3)
    await until(fleet.all_alive, 5.0)
    isolated = [name for name, region in fleet.region_of.items() if region == "r0"]
    remaining = [name for name in fleet.region_of if name not in isolated]
    fleet.network.cut_groups(isolated, remaining)
    await asyncio.sleep(60.0)
    assert all(fleet.entries[remaining[0]].states()[name] == "gone" for name in isolated)
    observed_states: set[str] = set()
    for name, entry in fleet.entries.items():
        same_region = [
            member_name
            for member_name, region in fleet.region_of.items()
            if region == fleet.region_of[name]
        ]
        entry.membership.on_change(
            lambda m, same_region=same_region: observed_states.add(
                m.state * (m.entry_id in same_region)
            )
        )
    fleet.network.heal()
    await until(fleet.all_alive, 30.0)
    # Reports from the other side that a member is gone must not remove it in its own region.
    assert "gone" not in observed_states
    await fleet.stop()


async def test_planned_stop_is_reported_as_leaving_then_gone() -> None:
    fleet = Fleet(6)
    await until(fleet.all_alive, 5.0)
    await fleet.entries["e0"].membership.announce_leaving()
    await until(lambda: fleet.all_report("e0", "leaving"), 1.0)
    await fleet.entries["e0"].membership.announce_termination()
    await until(lambda: fleet.all_report("e0", "gone"), 1.0)
    await fleet.stop()
