"""Duties on the platform: one holder, one count a window, engines as planned."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from random import Random
from typing import Any

import msgspec
import pytest

from godwitpath.gateway.demand import Demand, Need
from godwitpath.gateway.engines import EngineBook, EngineEntry, EngineState
from godwitpath.gateway.fleet_duty import FleetDuty
from godwitpath.gateway.fleet_plan import plan_fleet, with_lasting
from godwitpath.gateway.holder import HOLDER_KEY, DutyHolder
from godwitpath.gateway.in_force import ConfigurationInForce
from godwitpath.gateway.members import MemberEntry, Members
from godwitpath.gateway.model import Configuration, EngineSpec, ScalingSpec, ServiceSpec
from godwitpath.gateway.settings import Bounds
from godwitpath.gateway.usage import UsageBook
from godwitpath.gateway.usage_duty import PIN_KEY, PinnedWindow, UsageDuty
from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore

BOUNDS = Bounds(fencing_checked=True)
SCALING = ScalingSpec(1, 3, 4.0, 0.22, {"cheap": 0.85, "dear": 1.2, "middle": 1.0})


@pytest.fixture
def boot_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the clock that goes on while suspended follow the loop's."""

    def now_s() -> float:
        return asyncio.get_running_loop().time()

    monkeypatch.setattr("godwitpath.gateway.holder.boot_time_s", now_s)


class Daemon:
    """A daemon's part in the duties."""

    def __init__(self, core: StoreCore, index: int, silent: set[int]) -> None:
        self.index = index
        self.store = FakeStore(core)
        self.silent = silent
        entry = MemberEntry("h", 1, "a", index)
        self.members = Members(self.store, f"d{index}", entry, Random(index))
        self.holder = DutyHolder(
            self.store, self.members, f"d{index}", BOUNDS, Random(index), self._silence_s
        )
        self.tasks = [
            asyncio.create_task(self.members.run()),
            asyncio.create_task(self.holder.run()),
        ]

    def _silence_s(self, name: str, incarnation: int) -> float:
        return 9.0 if incarnation in self.silent else 0.0

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def holders(daemons: list[Daemon]) -> list[int]:
    return [each.index for each in daemons if each.holder.proof() is not None]


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
class TestHolder:
    async def test_one_daemon_holds_and_keeps_the_same_token(self) -> None:
        core = StoreCore()
        daemons = [Daemon(core, index, set()) for index in range(4)]
        await asyncio.sleep(2)
        [first] = holders(daemons)
        token = daemons[first].holder.proof()
        await asyncio.sleep(30)
        assert holders(daemons) == [first]
        assert daemons[first].holder.proof() == token
        for each in daemons:
            await each.stop()

    async def test_a_silent_holder_is_replaced_by_one_with_a_greater_token(self) -> None:
        core = StoreCore()
        silent: set[int] = set()
        daemons = [Daemon(core, index, silent) for index in range(3)]
        await asyncio.sleep(2)
        [first] = holders(daemons)
        before = daemons[first].holder.proof()
        await daemons[first].stop()
        silent.add(first)
        await asyncio.sleep(1.5)
        others = [each for each in daemons if each.index != first]
        [second] = holders(others)
        after = daemons[second].holder.proof()
        assert before is not None
        assert after is not None
        assert after.token > before.token
        for each in others:
            await each.stop()

    async def test_a_replaced_holder_stops_when_it_hears_of_it(self) -> None:
        core = StoreCore()
        silent: set[int] = set()
        daemons = [Daemon(core, index, silent) for index in range(3)]
        await asyncio.sleep(2)
        [first] = holders(daemons)
        silent.add(first)
        await asyncio.sleep(2)
        assert holders(daemons) != [first]
        assert len(holders(daemons)) == 1
        for each in daemons:
            await each.stop()

    async def test_a_holder_that_cannot_renew_stops_before_its_lease_ends(self) -> None:
        core = StoreCore()
        daemon = Daemon(core, 0, set())
        await asyncio.sleep(2)
        daemon.store.faults.silent = True
        await asyncio.sleep(2 * BOUNDS.lease_s - 0.4)
        assert daemon.holder.proof() is None
        core.expire()
        await daemon.stop()

    async def test_a_lost_answer_to_the_taking_is_settled_by_reading(self) -> None:
        core = StoreCore()
        daemon = Daemon(core, 0, set())
        daemon.store.faults.lose_writes = 3
        await asyncio.sleep(6)
        proof = daemon.holder.proof()
        assert proof is not None
        assert proof.token == core.items[HOLDER_KEY].revision
        await daemon.stop()

    async def test_one_that_leaves_hands_over_without_waiting_for_the_lease(self) -> None:
        core = StoreCore()
        daemons = [Daemon(core, index, set()) for index in range(2)]
        await asyncio.sleep(2)
        [first] = holders(daemons)
        await daemons[first].holder.leave()
        await asyncio.sleep(1)
        assert holders(daemons) == [1 - first]
        for each in daemons:
            await each.stop()


class Clock:
    """True time that follows the loop's clock."""

    def now_s(self) -> float:
        return 1000.0 + asyncio.get_running_loop().time()


def usage_duty(daemon: Daemon, cloud: FakeCloud, peers: dict[int, dict[str, int]]) -> UsageDuty:
    book = UsageBook(5.0)
    book.clock = Clock()  # type: ignore[assignment]
    book.own = {200: {"hule": 3}, 201: {"hule": 1}}
    return UsageDuty(
        daemon.store,
        cloud,
        daemon.holder,
        book,
        BOUNDS,
        lambda: {f"own/{daemon.members.incarnation}": book.own, "peer/77": peers},
    )


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
class TestUsage:
    async def test_each_window_is_reported_once_with_the_sum_of_all_daemons(self) -> None:
        core, cloud = StoreCore(), FakeCloud()
        daemon = Daemon(core, 0, set())
        duty = asyncio.create_task(usage_duty(daemon, cloud, {200: {"hule": 2, "fida": 7}}).run())
        await asyncio.sleep(16)
        assert cloud.usage[200] == [{"hule": 5, "fida": 7}]
        assert cloud.usage[201] == [{"hule": 1}]
        duty.cancel()
        await daemon.stop()

    async def test_a_successor_repeats_the_pinned_counts_whatever_it_has_counted(self) -> None:
        core, cloud = StoreCore(), FakeCloud()
        core.put(PIN_KEY, msgspec.json.encode(PinnedWindow(200, {"hule": 40})))
        daemon = Daemon(core, 0, set())
        duty = asyncio.create_task(usage_duty(daemon, cloud, {}).run())
        await asyncio.sleep(16)
        assert cloud.usage[200] == [{"hule": 40}]
        assert cloud.usage[201] == [{"hule": 1}]
        duty.cancel()
        await daemon.stop()

    async def test_counts_outlive_all_daemons(self) -> None:
        core, cloud = StoreCore(), FakeCloud()
        silent: set[int] = set()
        daemon = Daemon(core, 0, silent)
        duty = usage_duty(daemon, cloud, {200: {"hule": 2}, 201: {"fida": 6}})
        task = asyncio.create_task(duty.run())
        await asyncio.sleep(7.0)
        assert 200 not in cloud.usage
        # All daemons are killed, and start again with nothing counted.
        task.cancel()
        await daemon.stop()
        silent.add(0)
        again = Daemon(core, 1, silent)
        later = usage_duty(again, cloud, {})
        later._book.own.clear()
        later._book.own[201] = {"hule": 1}
        task = asyncio.create_task(later.run())
        await asyncio.sleep(9.0)
        assert cloud.usage[200] == [{"hule": 5}]
        assert cloud.usage[201] == [{"hule": 2, "fida": 6}]
        task.cancel()
        await again.stop()

    async def test_lost_answers_never_make_two_counts(self) -> None:
        core, cloud = StoreCore(), FakeCloud(lose=3)
        daemon = Daemon(core, 0, set())
        duty = asyncio.create_task(usage_duty(daemon, cloud, {}).run())
        await asyncio.sleep(1)
        daemon.store.faults.lose_writes = 1
        await asyncio.sleep(25)
        assert all(len(counts) == 1 for counts in cloud.usage.values())
        assert {200, 201} <= cloud.usage.keys()
        duty.cancel()
        await daemon.stop()

    async def test_a_late_write_of_the_pin_leaves_one_count(self) -> None:
        core, cloud = StoreCore(), FakeCloud()
        daemon = Daemon(core, 0, set())
        duty = usage_duty(daemon, cloud, {})
        task = asyncio.create_task(duty.run())
        await asyncio.sleep(7.9)
        daemon.store.faults.late_s = 2.0
        await asyncio.sleep(1.0)
        duty._book.own[200]["hule"] = 9
        daemon.store.faults.late_s = 0.0
        await asyncio.sleep(12)
        assert all(len(counts) == 1 for counts in cloud.usage.values())
        task.cancel()
        await daemon.stop()


class TestPlan:
    def test_a_zone_may_lose_its_reclaimable_engines(self) -> None:
        for needed in range(1, 6):
            plan = plan_fleet(Need(needed, needed), SCALING)
            assert plan.after_reclaim >= needed
            assert all(
                1 <= plan.reclaimable[zone] + plan.lasting[zone] <= 3
                for zone in SCALING.zone_prices
            )

    def test_reclaimable_engines_are_taken_where_they_are_to_be_had(self) -> None:
        plan = plan_fleet(Need(2, 4), SCALING)
        assert sum(plan.lasting.values()) == 0
        assert plan.total == 4

    def test_without_any_reclaimable_engine_lasting_ones_do_it(self) -> None:
        plan = plan_fleet(Need(4, 9), SCALING, dict.fromkeys(SCALING.zone_prices, 0))
        assert sum(plan.reclaimable.values()) == 0
        assert plan.total == 4

    def test_where_nothing_is_reclaimable_the_plan_has_only_lasting_engines(self) -> None:
        scaling = ScalingSpec(0, 3, 4.0, None, {"a": 1.0, "b": 2.0})
        plan = plan_fleet(Need(3, 5), scaling)
        assert plan.lasting == {"a": 2, "b": 1} or plan.lasting == {"a": 3, "b": 0}

    def test_lasting_engines_stay_where_they_are(self) -> None:
        present = {"dear": 2, "cheap": 0, "middle": 1}
        reclaimable = {"dear": 1, "cheap": 1, "middle": 1}
        plan = with_lasting(3, reclaimable, present, SCALING)
        assert plan.lasting == {"cheap": 0, "middle": 1, "dear": 2}

    def test_no_zone_goes_beyond_its_bound(self) -> None:
        plan = with_lasting(20, {"dear": 1, "cheap": 2, "middle": 3}, {}, SCALING)
        assert plan.lasting == {"cheap": 1, "dear": 2, "middle": 0}


class TestDemand:
    def test_a_steady_load_is_measured_as_it_is(self) -> None:
        demand = Demand(64)
        for step in range(200):
            demand.observe(int(38_700 * 1.5 * step * 0.2), 4, step * 0.2)
        assert demand.busy_engines == pytest.approx(1.5, rel=0.01)
        assert demand.need() == Need(3, 5)

    def test_uneven_traffic_is_not_taken_for_more_than_it_is(self) -> None:
        demand, rng, tokens = Demand(64), Random(3), 0
        seen = []
        for step in range(2000):
            tokens += 9000 * (rng.random() < 0.86) if step % 5 == 0 else 0
            demand.observe(tokens, 0, step * 0.2)
            seen.append(demand.busy_engines)
        true = tokens / (2000 * 0.2) / 38_700
        assert sum(seen[200:]) / len(seen[200:]) == pytest.approx(true, rel=0.1)

    def test_a_need_does_not_flap_at_its_border(self) -> None:
        demand = Demand(64)
        needs = []
        tokens = 0.0
        for step in range(600):
            tokens += 38_700 * 0.2 * (1.23 if (step // 40) % 2 else 1.17)
            demand.observe(int(tokens), 0, step * 0.2)
            needs.append(demand.need().after_reclaim)
        changes = sum(a != b for a, b in itertools.pairwise(needs[200:]))
        assert changes <= 1


class Platform:
    """Engines that start and leave as ordered."""

    def __init__(self, boot_s: float = 4.0) -> None:
        self.book = EngineBook()
        self.cloud = FakeCloud(on_order=self._on_order)
        self.boot_s = boot_s
        self.wanted: Counter[tuple[str, bool]] = Counter()
        self._number = 0

    def engines(self, zone: str, reclaimable: bool) -> list[str]:
        return [
            each.entry.engine_id
            for each in self.book.all()
            if each.entry.zone == zone and each.entry.reclaimable is reclaimable
        ]

    def count(self, reclaimable: bool) -> int:
        return sum(len(self.engines(zone, reclaimable)) for zone in SCALING.zone_prices)

    def reclaim(self, zone: str) -> None:
        """Take a zone's reclaimable engines away; none are to be had anywhere then."""
        self.cloud.none_to_be_had = set(SCALING.zone_prices)
        for engine_id in self.engines(zone, True):
            self.book.remove(engine_id)

    def start(self, zone: str, reclaimable: bool) -> None:
        self._number += 1
        address = Address("h", self._number)
        state = EngineState.READY
        name = f"e{self._number}"
        entry = EngineEntry(name, "lm", address, zone, state, 64, 1, reclaimable)
        self.book.put(entry)

    def _on_order(self, service: str, zone: str, reclaimable: bool, count: int) -> None:
        self.wanted[zone, reclaimable] = count
        loop = asyncio.get_running_loop()
        for engine_id in self.engines(zone, reclaimable)[count:]:
            self.book.remove(engine_id)
        loop.call_later(self.boot_s, self._boot, zone, reclaimable)

    def _boot(self, zone: str, reclaimable: bool) -> None:
        while len(self.engines(zone, reclaimable)) < self.wanted[zone, reclaimable]:
            if reclaimable and zone in self.cloud.none_to_be_had:
                return
            self.start(zone, reclaimable)


class Load:
    """A load of the service in engines kept busy."""

    def __init__(self, busy_engines: float) -> None:
        self.busy_engines = busy_engines

    def __call__(self, service: str) -> tuple[int, int]:
        now_s = asyncio.get_running_loop().time()
        return int(now_s * self.busy_engines * 38_700), 3


def fleet(platform: Platform, daemon: Daemon, load: Any) -> asyncio.Task[None]:
    in_force = ConfigurationInForce()
    services = {"lm": ServiceSpec("lm", engine=EngineSpec(64, 232_000), scaling=SCALING)}
    in_force.apply(Configuration(1, 1, (), services, ()), b"", "test")
    duty = FleetDuty(platform.cloud, daemon.holder, platform.book, in_force, load)
    return asyncio.create_task(duty.run())


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
class TestFleet:
    async def test_reclaimable_engines_replace_lasting_ones_without_a_gap(self) -> None:
        core, platform = StoreCore(), Platform()
        daemon = Daemon(core, 0, set())
        for zone in ("cheap", "cheap", "dear", "middle", "middle"):
            platform.start(zone, reclaimable=False)
        task = fleet(platform, daemon, Load(1.1))
        least = 99
        for _ in range(60):
            await asyncio.sleep(0.5)
            least = min(least, platform.count(True) + platform.count(False))
        assert least >= 3
        assert platform.count(False) == 0
        assert 4 <= platform.count(True) <= 6
        task.cancel()
        await daemon.stop()

    async def test_after_a_reclaim_lasting_engines_come_and_go_again(self) -> None:
        core, platform = StoreCore(), Platform()
        daemon = Daemon(core, 0, set())
        task = fleet(platform, daemon, Load(1.1))
        await asyncio.sleep(30)
        platform.reclaim("cheap")
        await asyncio.sleep(5.5)
        left = platform.count(True) + platform.count(False)
        assert left >= 3
        platform.reclaim("middle")
        await asyncio.sleep(5.5)
        assert platform.count(True) + platform.count(False) >= 2
        assert platform.count(False) <= 4
        platform.cloud.none_to_be_had = set()
        await asyncio.sleep(25)
        assert platform.count(False) == 0
        assert platform.count(True) >= 4
        task.cancel()
        await daemon.stop()

    async def test_a_reclaim_right_after_an_order_is_answered_at_once(self) -> None:
        core, platform = StoreCore(), Platform()
        daemon = Daemon(core, 0, set())
        task = fleet(platform, daemon, Load(1.1))
        await asyncio.sleep(30)
        # A new holder states all orders anew: they say nothing of engines that are on their way.
        await daemon.holder.leave()
        daemon.holder._leaving = False
        daemon.holder._held_at_s = float("-inf")
        await asyncio.sleep(1.5)
        platform.reclaim("cheap")
        await asyncio.sleep(0.6)
        assert sum(platform.wanted[zone, False] for zone in SCALING.zone_prices) >= 1
        task.cancel()
        await daemon.stop()

    async def test_an_order_that_was_carried_out_late_is_corrected(self) -> None:
        core, platform = StoreCore(), Platform()
        daemon = Daemon(core, 0, set())
        task = fleet(platform, daemon, Load(1.1))
        await asyncio.sleep(30)
        before = platform.count(True)
        platform._on_order("lm", "cheap", True, 0)
        await asyncio.sleep(20)
        assert platform.count(True) == before
        task.cancel()
        await daemon.stop()

    async def test_a_zone_full_of_lasting_engines_makes_room(self) -> None:
        core, platform = StoreCore(), Platform()
        daemon = Daemon(core, 0, set())
        for zone in SCALING.zone_prices:
            for _ in range(3):
                platform.start(zone, reclaimable=False)
        task = fleet(platform, daemon, Load(1.1))
        await asyncio.sleep(60)
        assert platform.count(False) == 0
        task.cancel()
        await daemon.stop()

    async def test_a_steady_load_needs_no_orders(self) -> None:
        core, platform = StoreCore(), Platform()
        daemon = Daemon(core, 0, set())
        task = fleet(platform, daemon, Load(1.4))
        await asyncio.sleep(40)
        before = len(platform.cloud.calls)
        await asyncio.sleep(60)
        assert len(platform.cloud.calls) - before <= 2
        task.cancel()
        await daemon.stop()
