"""The capacity duty: one instance for a slot, whatever happens to its holders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest

from godwitpath.capacity import duty as module
from godwitpath.capacity.duty import CapacityDuty, CapacityTarget
from godwitpath.capacity.reports import DemandBook, DemandReport, capacity_duty
from godwitpath.capacity.slots import Slots, decode_slots, slots_key
from godwitpath.config.model import FleetSpec
from godwitpath.duties.duty import Duty, Fence
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


class AlwaysHolds:
    """A keeper that believes it holds the duty, as two do when a clock is wrong."""

    def __init__(self, number: int = 1) -> None:
        self.number = number
        self.left_s = 9.0

    def holding(self, duty: Duty) -> Fence | None:
        until_s = asyncio.get_running_loop().time() + self.left_s
        return Fence(duty, self.number, until_s) if self.number else None


class LossyCloud(FakePlatform):
    """Loses the answers of the next acquires."""

    lose = 0
    on_acquired: Callable[[], None] = staticmethod(lambda: None)

    async def acquire(self, offer: Offer, purpose: str, request_token: str) -> Instance:
        instance = await super().acquire(offer, purpose, request_token)
        self.on_acquired()
        if self.lose:
            self.lose -= 1
            raise PlatformUnavailable("the answer was lost")
        return instance


class Holder:
    """One entry's capacity duty."""

    def __init__(self, core: KeyValueCore, platform: PlatformCore, seed: int = 0) -> None:
        self.store = FakeKeyValueStore(core, 0.002)
        self.cloud = LossyCloud(platform, 0.001)
        self.keeper = AlwaysHolds()
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

    async def steps(self, count: int) -> None:
        for _ in range(count):
            await self.duty.step()
            await asyncio.sleep(module.STEP_S)


def platform() -> PlatformCore:
    core = loop_platform()
    spares = [
        Spare(f"{zone}-{n}", "r0", zone, "gpu", Address("test", 0))
        for zone in ZONES
        for n in range(6)
    ]
    core.register([], spares)
    core.set_offers([Offer("r0", zone, "gpu", True, 1.0 + i / 10) for i, zone in enumerate(ZONES)])
    return core


async def written(core: KeyValueCore) -> Slots:
    found = await FakeKeyValueStore(core).get(slots_key("lm", "r0"))
    return decode_slots(found.value) if found else Slots()


def running(core: PlatformCore) -> list[str]:
    return sorted(each.instance_id for each in core._instances.values() if each.state == "live")


async def check_one_for_each(store: KeyValueCore, cloud: PlatformCore, count: int) -> None:
    slots = await written(store)
    assert [slot.state for slot in slots.slots] == ["held"] * count
    assert sorted(slot.instance_id for slot in slots.slots) == running(cloud)


@pytest.mark.looptime
class TestCapacityDuty:
    async def test_the_loss_of_a_zone_leaves_enough(self) -> None:
        store, cloud = loop_core(), platform()
        await Holder(store, cloud).steps(3)
        await check_one_for_each(store, cloud, 3)
        assert len({name[:4] for name in running(cloud)}) == 3

    async def test_two_holders_take_one_instance_for_a_slot(self) -> None:
        store, cloud = loop_core(), platform()
        holders = [Holder(store, cloud, seed) for seed in range(2)]
        await asyncio.gather(*(holder.steps(6) for holder in holders))
        await check_one_for_each(store, cloud, 3)

    async def test_a_lost_answer_takes_no_second_instance(self) -> None:
        store, cloud = loop_core(), platform()
        holder = Holder(store, cloud)
        holder.cloud.lose = 2
        await holder.steps(5)
        await check_one_for_each(store, cloud, 3)

    async def test_lost_answers_of_the_store_take_no_second_instance(self) -> None:
        store, cloud = loop_core(), platform()
        holder = Holder(store, cloud)
        for _ in range(4):
            holder.store.lose_next_answers(1)
            await holder.steps(1)
        await holder.steps(3)
        await check_one_for_each(store, cloud, 3)

    async def test_the_next_holder_continues_one_that_died_before_it_wrote(self) -> None:
        store, cloud = loop_core(), platform()
        first = Holder(store, cloud, 1)
        first.cloud.lose = 1
        await first.duty.step()
        assert len(running(cloud)) == 1
        assert {slot.state for slot in (await written(store)).slots} == {"wanted"}
        await Holder(store, cloud, 2).steps(2)
        await check_one_for_each(store, cloud, 3)

    async def test_a_refused_offer_is_replaced_at_once(self) -> None:
        store, cloud = loop_core(), platform()
        for name in [name for name in cloud._spares if name.startswith("r0-a")]:
            del cloud._spares[name]
        holder = Holder(store, cloud)
        await holder.duty.step()
        assert [name[:4] for name in running(cloud)] == ["r0-b"] * 2 + ["r0-c"] * 2
        refused = holder.duty.counters.refused
        await holder.steps(5)
        assert holder.duty.counters.refused == refused
        await check_one_for_each(store, cloud, 4)

    async def test_a_refused_kind_keeps_what_runs_of_it(self) -> None:
        store, cloud = loop_core(), platform()
        holder = Holder(store, cloud)
        await holder.steps(2)
        before = running(cloud)
        cloud.refuse_instances = True
        holder.needed = 5
        await holder.steps(3)
        assert running(cloud) == before

    async def test_reclaimed_instances_are_replaced(self) -> None:
        store, cloud = loop_core(), platform()
        holder = Holder(store, cloud)
        await holder.steps(2)
        cloud.reclaim("r0-a", 30.0)
        await holder.steps(2)
        assert len(running(cloud)) == 3
        await holder.steps(20)
        await check_one_for_each(store, cloud, 3)

    async def test_nothing_is_done_without_the_fence(self) -> None:
        store, cloud = loop_core(), platform()
        holder = Holder(store, cloud)
        holder.keeper.number = 0
        await holder.steps(2)
        assert not running(cloud)
        assert not holder.store.counts.writes

    async def test_a_lease_that_ends_meanwhile_ends_the_acts(self) -> None:
        store, cloud = loop_core(), platform()
        holder = Holder(store, cloud)
        holder.cloud.on_acquired = lambda: setattr(holder.keeper, "number", 0)
        await holder.duty.step()
        assert len(running(cloud)) == 1
        await Holder(store, cloud, 1).steps(2)
        await check_one_for_each(store, cloud, 3)

    async def test_a_lease_about_to_end_allows_no_act(self) -> None:
        store, cloud = loop_core(), platform()
        holder = Holder(store, cloud)
        holder.keeper.left_s = module.ACT_MARGIN_S / 2
        await holder.duty.step()
        assert not running(cloud)
        assert not holder.store.counts.writes

    async def test_less_work_gives_instances_back_slowly_and_drained(self) -> None:
        store, cloud = loop_core(), platform()
        holder = Holder(store, cloud)
        holder.needed = 4
        await holder.steps(2)
        many = len(running(cloud))
        holder.needed = 1
        await holder.steps(int(module.SCALE_IN_S / module.STEP_S) - 10)
        assert len(running(cloud)) == many
        await holder.steps(60)
        await check_one_for_each(store, cloud, 2)
        assert not await holder.store.scan("stops/")

    @pytest.mark.parametrize("seed", range(12))
    async def test_whatever_fails_no_instance_is_left_without_a_slot(self, seed: int) -> None:
        rng = Random(seed)
        store, cloud = loop_core(), platform()
        holders = [Holder(store, cloud, seed * 10 + n) for n in range(3)]
        for _ in range(60):
            holder = rng.choice(holders)
            holder.needed = rng.choice([1, 2, 2, 4])
            holder.cloud.lose = rng.choice([0, 0, 1])
            holder.store.lose_next_answers(rng.choice([0, 0, 1]))
            holder.store.delay_effect_s = rng.choice([0.0, 0.0, 0.0, 3.0])
            cloud.refuse_instances = rng.random() < 0.2
            if rng.random() < 0.1:
                cloud.reclaim(rng.choice(ZONES), 10.0)
            # Two steps at once are two holders that both believe that they hold the duty.
            others = rng.sample(holders, rng.choice([0, 1]))
            await asyncio.gather(holder.duty.step(), *(other.duty.step() for other in others))
            await asyncio.sleep(rng.uniform(0.0, 3.0))
        cloud.refuse_instances = False
        last = Holder(store, cloud, seed * 10 + 9)
        await last.steps(60)
        await check_one_for_each(store, cloud, len(running(cloud)))
        assert len(running(cloud)) >= 3

    async def test_an_instance_without_a_slot_is_adopted(self) -> None:
        store, cloud = loop_core(), platform()
        cloud.acquire(cloud.offers()[0], "lm", "token of a late call")
        holder = Holder(store, cloud)
        await holder.steps(1)
        await holder.steps(3)
        assert len(running(cloud)) <= 4
        await check_one_for_each(store, cloud, len(running(cloud)))


@pytest.mark.looptime
async def test_reports_of_the_last_seconds_count() -> None:
    book = DemandBook()
    book.note("e1", DemandReport("lm", "r0", 1.0, 10.0, 5.0))
    await asyncio.sleep(6)
    book.note("e1", DemandReport("lm", "r0", 2.0, 20.0, 5.0))
    book.note("e2", DemandReport("lm", "r0", 1.0, 10.0, 5.0))
    assert book.total(DUTY).requests_per_s == 3.0
    await asyncio.sleep(11)
    assert book.total(DUTY).requests_per_s == 0.0
