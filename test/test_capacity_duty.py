"""Guards against instances lost or acquired twice when a holder, the store or the cloud fails.

A holder is the entry that runs the capacity duty; a slot is the stored record of an instance.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest

from godwitpath.capacity import duty as capacity_module
from godwitpath.capacity.duty import CapacityDuty, CapacityTarget
from godwitpath.capacity.reports import DemandReport, DemandTable, capacity_duty
from godwitpath.capacity.slots import Slots, decode_slots, slots_key
from godwitpath.config.model import FleetSpec
from godwitpath.duties.duty import Duty, FencingToken
from godwitpath.ports.engine import Address
from godwitpath.ports.platform import Instance, Offer, PlatformUnavailable
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core
from godwitpath_standin.fakes.platform import FakePlatform, loop_platform
from godwitpath_standin.kv_core import KeyValueCore
from godwitpath_standin.platform_core import PlatformCore, Spare

DUTY = capacity_duty("lm", "r0")
ZONES = ("r0-a", "r0-b", "r0-c")


async def always_idle(_: str) -> bool:
    return True


class AlwaysHoldingDutyManager:
    """A duty manager that always holds the duty, as two holders do when one clock is wrong.

    :ivar number: number of the fencing token, 0 for a duty that is not held
    :ivar left_s: remaining time of the lease
    """

    def __init__(self, number: int = 1) -> None:
        self.number = number
        self.left_s = 9.0

    def fencing_token(self, duty: Duty) -> FencingToken | None:
        until_s = asyncio.get_running_loop().time() + self.left_s
        return FencingToken(duty, self.number, until_s) if self.number else None


class LossyCloud(FakePlatform):
    """Platform that loses responses to acquire calls after it acquired the instance.

    :ivar responses_to_lose: number of following responses to lose
    :ivar on_acquired: called after each acquisition
    """

    responses_to_lose = 0
    on_acquired: Callable[[], None] = staticmethod(lambda: None)

    async def acquire(self, offer: Offer, purpose: str, request_token: str) -> Instance:
        instance = await super().acquire(offer, purpose, request_token)
        self.on_acquired()
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise PlatformUnavailable("the response was lost")
        return instance


class Holder:
    """The capacity duty of one entry, with connections to the store and the cloud."""

    def __init__(self, core: KeyValueCore, platform: PlatformCore, seed: int = 0) -> None:
        self.store = FakeKeyValueStore(core, 0.002)
        self.cloud = LossyCloud(platform, 0.001)
        self.keeper = AlwaysHoldingDutyManager()
        self.needed = 2
        self.duty = CapacityDuty(
            "lm",
            "r0",
            DUTY,
            self.keeper,  # type: ignore[arg-type]
            self.store,
            self.cloud,
            self.cloud,
            lambda: CapacityTarget(FleetSpec(maximum=12), self.needed),
            always_idle,
            Random(seed),
        )

    async def run_steps(self, count: int) -> None:
        for _ in range(count):
            await self.duty.step()
            await asyncio.sleep(capacity_module.STEP_INTERVAL_S)


def new_platform() -> PlatformCore:
    core = loop_platform()
    spares = [
        Spare(f"{zone}-{n}", "r0", zone, "gpu", Address("test", 0))
        for zone in ZONES
        for n in range(6)
    ]
    core.register([], spares)
    core.set_offers([Offer("r0", zone, "gpu", True, 1.0 + i / 10) for i, zone in enumerate(ZONES)])
    return core


async def stored_slots(core: KeyValueCore) -> Slots:
    found = await FakeKeyValueStore(core).get(slots_key("lm", "r0"))
    return decode_slots(found.value) if found else Slots()


def live_instances(core: PlatformCore) -> list[str]:
    return sorted(each.instance_id for each in core._instances.values() if each.state == "live")


async def check_one_instance_per_slot(store: KeyValueCore, cloud: PlatformCore, count: int) -> None:
    slots = await stored_slots(store)
    assert [slot.state for slot in slots.slots] == ["held"] * count
    assert sorted(slot.instance_id for slot in slots.slots) == live_instances(cloud)


@pytest.mark.looptime
class TestCapacityDuty:
    async def test_instances_are_spread_over_zones(self) -> None:
        """Guards against a fleet in a single zone, whose loss would remove all instances."""
        store, cloud = loop_core(), new_platform()
        await Holder(store, cloud).run_steps(3)
        await check_one_instance_per_slot(store, cloud, 3)
        assert len({name[:4] for name in live_instances(cloud)}) == 3

    async def test_two_concurrent_holders_acquire_one_instance_for_a_slot(self) -> None:
        """Guards against two instances for a slot when a wrong clock gives it two holders."""
        store, cloud = loop_core(), new_platform()
        holders = [Holder(store, cloud, seed) for seed in range(2)]
        await asyncio.gather(*(holder.run_steps(6) for holder in holders))
        await check_one_instance_per_slot(store, cloud, 3)

    async def test_a_lost_response_of_the_cloud_acquires_no_second_instance(self) -> None:
        """Guards against a second instance when a request is repeated after a lost response."""
        store, cloud = loop_core(), new_platform()
        holder = Holder(store, cloud)
        holder.cloud.responses_to_lose = 2
        await holder.run_steps(5)
        await check_one_instance_per_slot(store, cloud, 3)

    async def test_lost_responses_of_the_store_acquire_no_second_instance(self) -> None:
        """Guards against extra instances when a write is repeated after a lost response."""
        store, cloud = loop_core(), new_platform()
        holder = Holder(store, cloud)
        for _ in range(4):
            holder.store.lose_next_responses(1)
            await holder.run_steps(1)
        await holder.run_steps(3)
        await check_one_instance_per_slot(store, cloud, 3)

    async def test_the_next_holder_continues_after_a_crash_before_the_write(self) -> None:
        """Guards against an instance without a slot when a holder fails before it writes."""
        store, cloud = loop_core(), new_platform()
        first = Holder(store, cloud, 1)
        first.cloud.responses_to_lose = 1
        await first.duty.step()
        assert len(live_instances(cloud)) == 1
        assert {slot.state for slot in (await stored_slots(store)).slots} == {"wanted"}
        await Holder(store, cloud, 2).run_steps(2)
        await check_one_instance_per_slot(store, cloud, 3)

    async def test_a_refused_offer_is_replaced_in_the_same_step(self) -> None:
        """Guards against a short fleet, or a request in every step, after an offer is refused."""
        store, cloud = loop_core(), new_platform()
        for name in [name for name in cloud._spares if name.startswith("r0-a")]:
            del cloud._spares[name]
        holder = Holder(store, cloud)
        await holder.duty.step()
        assert [name[:4] for name in live_instances(cloud)] == ["r0-b"] * 2 + ["r0-c"] * 2
        refused = holder.duty.counters.refused
        await holder.run_steps(5)
        assert holder.duty.counters.refused == refused
        await check_one_instance_per_slot(store, cloud, 4)

    async def test_running_instances_of_a_refused_kind_are_kept(self) -> None:
        """Guards against the release of running instances when their kind of offer is refused."""
        store, cloud = loop_core(), new_platform()
        holder = Holder(store, cloud)
        await holder.run_steps(2)
        before = live_instances(cloud)
        cloud.refuse_instances = True
        holder.needed = 5
        await holder.run_steps(3)
        assert live_instances(cloud) == before

    async def test_reclaimed_instances_are_replaced(self) -> None:
        """Guards against reclaimed instances that count as capacity until they are removed."""
        store, cloud = loop_core(), new_platform()
        holder = Holder(store, cloud)
        await holder.run_steps(2)
        cloud.reclaim("r0-a", 30.0)
        await holder.run_steps(2)
        assert len(live_instances(cloud)) == 3
        await holder.run_steps(20)
        await check_one_instance_per_slot(store, cloud, 3)

    async def test_nothing_is_written_or_acquired_without_the_duty(self) -> None:
        """Guards against changes of the fleet by an entry that does not hold the duty."""
        store, cloud = loop_core(), new_platform()
        holder = Holder(store, cloud)
        holder.keeper.number = 0
        await holder.run_steps(2)
        assert not live_instances(cloud)
        assert not holder.store.counts.writes

    async def test_losing_the_duty_within_a_step_stops_further_requests(self) -> None:
        """Guards against requests by a holder that lost the duty after its previous request."""
        store, cloud = loop_core(), new_platform()
        holder = Holder(store, cloud)
        holder.cloud.on_acquired = lambda: setattr(holder.keeper, "number", 0)
        await holder.duty.step()
        assert len(live_instances(cloud)) == 1
        await Holder(store, cloud, 1).run_steps(2)
        await check_one_instance_per_slot(store, cloud, 3)

    async def test_nothing_is_written_or_acquired_shortly_before_the_lease_ends(self) -> None:
        """Guards against a request that is sent within the lease and takes effect after its end."""
        store, cloud = loop_core(), new_platform()
        holder = Holder(store, cloud)
        holder.keeper.left_s = capacity_module.ACTION_MARGIN_S / 2
        await holder.duty.step()
        assert not live_instances(cloud)
        assert not holder.store.counts.writes

    async def test_scale_in_is_delayed_and_drains_instances(self) -> None:
        """Guards against a release after a short drop in load, and a stop left after a release.

        A stop is the notice in the store that keeps new work off an instance.
        """
        store, cloud = loop_core(), new_platform()
        holder = Holder(store, cloud)
        holder.needed = 4
        await holder.run_steps(2)
        count_before = len(live_instances(cloud))
        holder.needed = 1
        await holder.run_steps(
            int(capacity_module.SCALE_IN_DELAY_S / capacity_module.STEP_INTERVAL_S) - 10
        )
        assert len(live_instances(cloud)) == count_before
        await holder.run_steps(60)
        await check_one_instance_per_slot(store, cloud, 2)
        assert not await holder.store.scan("stops/")

    @pytest.mark.parametrize("seed", range(12))
    async def test_random_failures_leave_no_instance_without_a_slot(self, seed: int) -> None:
        """Guards against instances that are never released, as combined failures left them no slot.

        The steps run under lost responses, late writes, refusals, reclaims and concurrent holders.
        """
        rng = Random(seed)
        store, cloud = loop_core(), new_platform()
        holders = [Holder(store, cloud, seed * 10 + n) for n in range(3)]
        for _ in range(60):
            holder = rng.choice(holders)
            holder.needed = rng.choice([1, 2, 2, 4])
            holder.cloud.responses_to_lose = rng.choice([0, 0, 1])
            holder.store.lose_next_responses(rng.choice([0, 0, 1]))
            holder.store.delay_effect_s = rng.choice([0.0, 0.0, 0.0, 3.0])
            cloud.refuse_instances = rng.random() < 0.2
            if rng.random() < 0.1:
                cloud.reclaim(rng.choice(ZONES), 10.0)
            # The steps of two holders run concurrently, as both consider themselves the holder.
            others = rng.sample(holders, rng.choice([0, 1]))
            await asyncio.gather(holder.duty.step(), *(other.duty.step() for other in others))
            await asyncio.sleep(rng.uniform(0.0, 3.0))
        cloud.refuse_instances = False
        last = Holder(store, cloud, seed * 10 + 9)
        await last.run_steps(60)
        await check_one_instance_per_slot(store, cloud, len(live_instances(cloud)))
        assert len(live_instances(cloud)) >= 3

    async def test_an_instance_without_a_slot_is_adopted(self) -> None:
        """Guards against an instance that is never released, as its request took effect late."""
        store, cloud = loop_core(), new_platform()
        cloud.acquire(cloud.offers()[0], "lm", "token of a late call")
        holder = Holder(store, cloud)
        await holder.run_steps(1)
        await holder.run_steps(3)
        assert len(live_instances(cloud)) <= 4
        await check_one_instance_per_slot(store, cloud, len(live_instances(cloud)))


@pytest.mark.looptime
async def test_only_unexpired_reports_count() -> None:
    """Guards against load of a removed entry, and load counted twice after a newer report."""
    table = DemandTable()
    table.note("e1", DemandReport("lm", "r0", 1.0, 10.0, 5.0))
    await asyncio.sleep(6)
    table.note("e1", DemandReport("lm", "r0", 2.0, 20.0, 5.0))
    table.note("e2", DemandReport("lm", "r0", 1.0, 10.0, 5.0))
    assert table.total_rate(DUTY).requests_per_s == 3.0
    await asyncio.sleep(11)
    assert table.total_rate(DUTY).requests_per_s == 0.0
