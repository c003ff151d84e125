"""Duties on the platform: one holder, one count a window, engines as planned."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import Any

import msgspec
import pytest

from godwitpath.gateway.engines import EngineBook, EngineEntry, EngineState
from godwitpath.gateway.fleet_duty import FleetDuty
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

    def __init__(
        self, core: StoreCore, index: int, silent: set[int], unheard: set[int] | None = None
    ) -> None:
        self.index = index
        self.unheard = unheard if unheard is not None else set()
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

    def _silence_s(self, name: str, incarnation: int) -> float | None:
        if incarnation in self.unheard:
            return None
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

    async def test_a_new_holder_has_time_to_be_heard(self) -> None:
        """In a large fleet its reports take longer than the list: five held the duties at once."""
        core = StoreCore()
        unheard: set[int] = set()
        daemons = [Daemon(core, index, set(), unheard) for index in range(4)]
        unheard.update(range(4))
        await asyncio.sleep(BOUNDS.lease_s - 0.5)
        [first] = holders(daemons)
        assert [change.key for change in core.since(HOLDER_KEY, 0)] == [HOLDER_KEY]
        # One that nobody ever hears is replaced all the same, after the platform's lease time.
        await daemons[first].stop()
        others = [each for each in daemons if each.index != first]
        await asyncio.sleep(2.0)
        assert len(holders(others)) == 1
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
        later._usage.own.clear()
        later._usage.own[201] = {"hule": 1}
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
        duty._usage.own[200]["hule"] = 9
        daemon.store.faults.late_s = 0.0
        await asyncio.sleep(12)
        assert all(len(counts) == 1 for counts in cloud.usage.values())
        task.cancel()
        await daemon.stop()


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

    async def test_an_order_without_an_answer_holds_up_no_other(self) -> None:
        core, platform = StoreCore(), Platform()
        daemon = Daemon(core, 0, set())
        platform.cloud.silent_zones.add("cheap")
        task = fleet(platform, daemon, Load(2.5))
        await asyncio.sleep(2.0)
        assert {zone for zone, _ in platform.wanted} == {"dear", "middle"}
        platform.cloud.silent_zones.clear()
        await asyncio.sleep(6.0)
        assert platform.wanted["cheap", True] > 0
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
