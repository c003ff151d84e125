"""Usage reports when the platform's store comes back from an older copy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from godwitpath.gateway.usage_duty import UsageDuty
from godwitpath.gateway.usage_store import OPEN_KEY, PIN_KEY, TERM_KEY
from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.gateway.store_core import StoreCore
from test.test_gateway_duties import Daemon, boot_clock, make_usage_duty

__all__ = ["boot_clock"]


class UsageDaemon:
    """A daemon that reports usage while it holds the duties; `heard` are its peers' counts."""

    def __init__(self, core: StoreCore, cloud: FakeCloud, index: int, stale: set[int]) -> None:
        self.daemon = Daemon(core, index, stale)
        self.heard = {200: {"hule": 2}}
        self.duty: UsageDuty = make_usage_duty(self.daemon, cloud, self.heard)
        self._task = asyncio.create_task(self.duty.run())

    async def kill(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self.daemon.stop()


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
class TestRestore:
    async def _run_past_a_restore(
        self, beside_the_restore: Callable[[list[UsageDaemon], set[int]], int]
    ) -> dict[int, list[dict[str, int]]]:
        """Restore a copy from before the pin of window 200, which was reported in between.

        :param beside_the_restore: returns how many of the two daemons, from the first on, are
            killed at that moment
        :returns: accepted reports by window
        """
        core, cloud, stale = StoreCore(), FakeCloud(), set[int]()
        daemons = [UsageDaemon(core, cloud, 0, stale)]
        await asyncio.sleep(0.5)
        daemons.append(UsageDaemon(core, cloud, 1, stale))
        await asyncio.sleep(7.0)
        snapshot = core.snapshot()
        await asyncio.sleep(2.0)
        assert 200 in cloud.usage
        killed = beside_the_restore(daemons, stale)
        for each in daemons[:killed]:
            await each.kill()
        core.restore(snapshot)
        # Peers' requests of window 200 that were heard of after its report.
        for each in daemons[killed:]:
            each.heard[200] = {"hule": 6}
        if killed == len(daemons):
            daemons.append(UsageDaemon(core, cloud, 2, stale))
        await asyncio.sleep(25.0)
        for each in daemons[killed:]:
            await each.kill()
        return cloud.usage

    async def test_a_holder_does_not_report_a_window_again_whose_pin_the_store_lost(self) -> None:
        usage = await self._run_past_a_restore(lambda daemons, stale: 0)
        assert all(len(counts) == 1 for counts in usage.values()), usage
        # None is left out.
        assert sorted(usage) == list(range(200, 206))

    async def test_a_successor_does_not_report_a_window_again_whose_pin_the_store_lost(
        self,
    ) -> None:
        def kill_holder(daemons: list[UsageDaemon], stale: set[int]) -> int:
            stale.add(daemons[0].daemon.members.incarnation)
            return 1

        usage = await self._run_past_a_restore(kill_holder)
        assert all(len(counts) == 1 for counts in usage.values()), usage
        assert usage.keys() >= set(range(202, 206))

    async def test_a_fleet_that_was_killed_does_not_report_a_window_again_whose_pin_was_lost(
        self,
    ) -> None:
        def kill_all(daemons: list[UsageDaemon], stale: set[int]) -> int:
            stale.update(each.daemon.members.incarnation for each in daemons)
            return 2

        usage = await self._run_past_a_restore(kill_all)
        assert all(len(counts) == 1 for counts in usage.values()), usage
        assert usage.keys() >= set(range(203, 206))

    async def test_open_counts_that_cannot_be_read_do_not_stop_the_reports(self) -> None:
        core, cloud, stale = StoreCore(), FakeCloud(), set[int]()
        first = UsageDaemon(core, cloud, 0, stale)
        await asyncio.sleep(9.5)
        assert 200 in cloud.usage
        await first.kill()
        stale.add(0)
        successor = UsageDaemon(core, cloud, 1, stale)
        successor.daemon.store.faults.unreadable_keys = {OPEN_KEY}
        await asyncio.sleep(15.0)
        await successor.kill()
        assert {201, 202} <= cloud.usage.keys()
        assert all(len(counts) == 1 for counts in cloud.usage.values()), cloud.usage

    @pytest.mark.parametrize("nameless", [False, True])
    async def test_a_pin_that_cannot_be_read_is_not_taken_for_a_lost_one(
        self, nameless: bool
    ) -> None:
        core, cloud, stale = StoreCore(), FakeCloud(), set[int]()
        first = UsageDaemon(core, cloud, 0, stale)
        await asyncio.sleep(9.5)
        assert 200 in cloud.usage
        await first.kill()
        stale.add(0)
        reports_before = len(cloud.reports)
        successor = UsageDaemon(core, cloud, 1, stale)
        successor.heard[200] = {"hule": 6}
        successor.daemon.store.faults.unreadable_keys = {PIN_KEY, TERM_KEY}
        successor.daemon.store.faults.nameless = nameless
        await asyncio.sleep(5.0)
        writes_before = core.calls["txn"]
        await asyncio.sleep(15.0)
        assert nameless or core.calls["txn"] == writes_before
        assert nameless or len(cloud.reports) == reports_before
        successor.daemon.store.faults.unreadable_keys = set()
        await asyncio.sleep(10.0)
        assert all(len(counts) == 1 for counts in cloud.usage.values()), cloud.usage
        assert len(cloud.reports) > reports_before
        await successor.kill()
