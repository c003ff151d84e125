"""Capacity and rollout duties of three entries, with real duty managers and demand reports."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from godwitpath.capacity.demand import EngineSpeed
from godwitpath.capacity.meter import DemandMeter
from godwitpath.capacity.reports import capacity_duty, rollout_duty
from godwitpath.config.model import Configuration
from godwitpath.duties.manager import DutyManager
from godwitpath.duties.service_duties import DutyDependencies, ServiceDuties
from godwitpath.membership.member import Member
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import Peer
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core
from godwitpath_standin.fakes.peers import FakePeerNetwork
from godwitpath_standin.fakes.platform import FakePlatform
from godwitpath_standin.kv_core import KeyValueCore
from godwitpath_standin.platform_core import PlatformCore
from test.test_capacity_duty import check_one_instance_per_slot, live_instances, new_platform
from test.test_rollout import FakeEngine, new_table, service

ENGINE_SPEED = EngineSpeed(10_000.0, 0.02, 0.002)


class Entry:
    """The duties of one entry."""

    def __init__(self, index: int, fleet: Fleet) -> None:
        local = fleet.members[index]
        store = FakeKeyValueStore(fleet.store, 0.002)
        rng = Random(index)
        self.keeper = DutyManager(store, local, lambda: fleet.live, rng)
        self.meter = DemandMeter()
        self.transport = fleet.network.transport(local.entry_id)
        parts = DutyDependencies(
            duty_manager=self.keeper,
            store=store,
            cloud=FakePlatform(fleet.cloud, 0.001),
            listing=FakePlatform(fleet.cloud, 0.001),
            engine=fleet.engine,
            table=fleet.table,
            local=local,
            live=lambda: fleet.live,
            transport=self.transport,
            configuration=lambda: fleet.configured,
            report=self.meter.report,
            engine_speed=lambda _: ENGINE_SPEED,
            rng=rng,
        )
        self.duties = ServiceDuties(parts)
        self.tasks = [
            asyncio.create_task(self.keeper.run()),
            asyncio.create_task(self.duties.run()),
        ]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Fleet:
    """Entries that share a store, a cloud and a set of engines."""

    def __init__(self, store: KeyValueCore, cloud: PlatformCore) -> None:
        self.store, self.cloud = store, cloud
        self.network = FakePeerNetwork(Random(1))
        self.engine = FakeEngine(range(1, 7))
        self.table = new_table(self.engine)
        self.configured = Configuration({"lm": service("1")})
        self.members = [Member(f"n{n}", "r0", f"r0-{n}", Address("test", n)) for n in range(3)]
        self.live = list(self.members)
        self.entries = [Entry(index, self) for index in range(3)]
        for transport in self.network.transports.values():
            for member in self.members:
                transport.add_peer(Peer(member.entry_id, member.address))

    def holder(self, duty_name: str) -> Entry:
        duty = {"capacity": capacity_duty("lm", "r0"), "rollout": rollout_duty("r0")}[duty_name]
        return next(each for each in self.entries if each.keeper.fencing_token(duty) is not None)

    async def stop(self) -> None:
        for entry in self.entries:
            await entry.stop()
        await asyncio.sleep(1)
        for entry in self.entries:
            await entry.transport.close()

    async def run_load(self, duration_s: int, tokens_per_s: int) -> None:
        """Record a prompt on every entry once a second."""
        for _ in range(duration_s):
            for entry in self.entries:
                entry.meter.record("lm", "r0", tokens_per_s, 0)
            await asyncio.sleep(1)


@pytest.mark.looptime
class TestServiceDuties:
    async def test_the_fleet_follows_the_load_of_all_entries_across_holders(self) -> None:
        """Guards against a next holder that resizes the fleet before it knows the load."""
        fleet = Fleet(loop_core(), new_platform())
        await fleet.run_load(30, 7_000)
        # The prompts of three entries keep 2.1 engines busy: 3 with headroom, 5 in three zones.
        assert len(live_instances(fleet.cloud)) == 5
        former_holder = fleet.holder("capacity")
        fleet.live = [
            each
            for each in fleet.live
            if each is not fleet.members[fleet.entries.index(former_holder)]
        ]
        await former_holder.stop()
        await fleet.run_load(40, 7_000)
        await check_one_instance_per_slot(
            fleet.store, fleet.cloud, len(live_instances(fleet.cloud))
        )
        assert len(live_instances(fleet.cloud)) == 5
        await fleet.stop()

    async def test_a_rollout_keeps_the_needed_engines(self) -> None:
        """Guards against a rollout that stops engines that the load needs."""
        fleet = Fleet(loop_core(), new_platform())
        await fleet.run_load(20, 7_000)
        fleet.configured = Configuration({"lm": service("2")})
        await fleet.run_load(150, 7_000)
        assert fleet.engine.versions() == ["2"] * 6
        assert fleet.engine.fewest_serving >= 3
        assert fleet.holder("rollout").duties.dump()["rollout/r0"]["counters"]["ordered"] == 6
        await fleet.stop()

    async def test_an_engine_with_running_calls_is_not_ordered_to_load(self) -> None:
        """Guards against an order to load that ends calls still running on the engine."""
        fleet = Fleet(loop_core(), new_platform())
        fleet.engine.busy = dict.fromkeys(fleet.engine.status_by_port, 1)
        await fleet.run_load(20, 7_000)
        fleet.configured = Configuration({"lm": service("2")})
        await fleet.run_load(60, 7_000)
        assert fleet.engine.versions() == ["1"] * 6
        fleet.engine.busy = {}
        await fleet.run_load(60, 7_000)
        assert "2" in fleet.engine.versions()
        await fleet.stop()

    async def test_no_engine_is_stopped_before_the_load_is_known(self) -> None:
        """Guards against a new holder that stops engines before it has received demand reports."""
        fleet = Fleet(loop_core(), new_platform())
        fleet.configured = Configuration({"lm": service("2")})
        await asyncio.sleep(6)
        assert fleet.engine.versions() == ["1"] * 6
        await fleet.stop()
