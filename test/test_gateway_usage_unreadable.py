"""Usage reports beside a pin or a statement that the store returns unreadable."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from godwitpath.gateway.holder import HOLDER_KEY
from godwitpath.gateway.usage_store import PIN_KEY, TERM_KEY
from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.gateway.store_core import StoreCore
from test.test_gateway_duties import boot_clock
from test.test_gateway_restore_schedules import until
from test.test_gateway_usage_restore import UsageDaemon
from test.usage_model import ModelDaemon, UsageModel

__all__ = ["boot_clock"]

ODD = b"odd"


async def succeed_a_holder(
    odd_values: set[str], odd_keys: set[str], odd_writer: bool = False
) -> tuple[StoreCore, FakeCloud, UsageDaemon]:
    """Let a daemon report window 200, and another one succeed it beside unreadable items.

    :param odd_values: keys whose items state their revision, so that they can be replaced
    :param odd_keys: keys of which the store tells nothing
    :param odd_writer: whether another writer has replaced the former
    """
    core, cloud, stale = StoreCore(), FakeCloud(), set[int]()
    first = UsageDaemon(core, cloud, 0, stale)
    await asyncio.sleep(9.5)
    assert 200 in cloud.usage
    await first.kill()
    stale.add(0)
    for key in odd_values:
        if odd_writer:
            core.put(key, ODD)
    successor = UsageDaemon(core, cloud, 1, stale)
    successor.heard.update({window: {"hule": 6} for window in range(200, 220)})
    faults = successor.daemon.store.faults
    faults.unreadable_values = {core.items[key].value for key in odd_values}
    faults.unreadable_keys = set(odd_keys)
    return core, cloud, successor


def assert_one_count_each(cloud: FakeCloud) -> None:
    assert all(len(counts) == 1 for counts in cloud.usage.values()), cloud.usage


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
class TestUnreadable:
    @pytest.mark.parametrize("odd_writer", [False, True])
    @pytest.mark.parametrize(
        ("odd_values", "odd_keys"),
        [
            ({PIN_KEY}, set()),
            ({TERM_KEY}, set()),
            ({PIN_KEY, TERM_KEY}, set()),
            (set(), {PIN_KEY}),
            (set(), {TERM_KEY}),
            ({PIN_KEY}, {TERM_KEY}),
            ({TERM_KEY}, {PIN_KEY}),
        ],
    )
    async def test_the_reports_go_on_after_a_window_whose_pin_cannot_be_read(
        self, odd_values: set[str], odd_keys: set[str], odd_writer: bool
    ) -> None:
        core, cloud, successor = await succeed_a_holder(odd_values, odd_keys, odd_writer)
        reports = cloud.usage[200][:]
        await asyncio.sleep(25.0)
        assert cloud.usage[200] == reports
        assert {202, 203, 204} <= cloud.usage.keys(), cloud.usage
        assert_one_count_each(cloud)
        await successor.kill()
        # What the successor wrote is all that the next holder needs.
        last = max(cloud.usage)
        third = UsageDaemon(core, cloud, 2, {0, 1})
        third.heard.update({window: {"hule": 8} for window in range(200, 220)})
        await asyncio.sleep(20.0)
        assert max(cloud.usage) > last + 1
        assert sorted(cloud.usage)[-4:] == list(range(max(cloud.usage) - 3, max(cloud.usage) + 1))
        assert_one_count_each(cloud)
        await third.kill()

    @pytest.mark.parametrize("odd_keys", [{PIN_KEY}, set()])
    @pytest.mark.parametrize("late_s", [1.0, 2.0, 3.0])
    async def test_a_late_pin_after_an_unreadable_one_leaves_one_count(
        self, late_s: float, odd_keys: set[str]
    ) -> None:
        """The first pin of the successor is carried out late, a second one may be before it."""
        core, cloud, successor = await succeed_a_holder(set() if odd_keys else {PIN_KEY}, odd_keys)
        await until(lambda: successor.duty._term_stored)
        faults, pinned = successor.daemon.store.faults, core.items[PIN_KEY]
        faults.write_delay_s = late_s
        await until(lambda: successor.duty._pin_in_doubt)
        faults.write_delay_s = 0.0
        for counts in successor.heard.values():
            counts["hule"] = 9
        reported = set(cloud.usage)
        await until(lambda: cloud.usage.keys() != reported)
        # The late pin has been carried out, or refused, before the next window is due.
        await asyncio.sleep(late_s)
        await successor.kill()
        assert core.items[PIN_KEY] != pinned
        third = UsageDaemon(core, cloud, 2, {0, 1})
        await asyncio.sleep(20.0)
        assert_one_count_each(cloud)
        await third.kill()

    async def test_without_any_condition_that_a_pin_changes_the_reports_wait(self) -> None:
        _, cloud, successor = await succeed_a_holder(set(), {PIN_KEY, TERM_KEY})
        await asyncio.sleep(20.0)
        assert cloud.usage.keys() == {200}
        successor.daemon.store.faults.unreadable_keys = set()
        await asyncio.sleep(10.0)
        assert len(cloud.usage) > 1
        assert_one_count_each(cloud)
        await successor.kill()


class OddModel(UsageModel):
    """A deployment in which another writer replaces what the duties rely on."""

    def _wide_faults(self) -> list[Callable[[], Awaitable[None]]]:
        return [*super()._wide_faults(), *[self._write_odd_item] * 4]

    async def _write_odd_item(self) -> None:
        """Replace one or both keys of the reports, or the holder's, by an unreadable item."""
        for each in self.daemons:
            each.store.faults.unreadable_values = {ODD}
        keys = self.rng.choice([[PIN_KEY], [TERM_KEY], [PIN_KEY, TERM_KEY], [HOLDER_KEY]])
        for key in keys:
            self.core.put(key, ODD)
        if self.rng.random() < 0.5:
            await self._replace(self.rng.choice(self.daemons))
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))

    async def _replace(self, daemon: ModelDaemon) -> None:
        await super()._replace(daemon)
        for each in self.daemons:
            each.store.faults.unreadable_values = {ODD}


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
@pytest.mark.parametrize("overlapping", [False, True])
@pytest.mark.parametrize("seed", range(4))
async def test_no_window_is_reported_twice_whatever_another_writer_replaces(
    seed: int, overlapping: bool
) -> None:
    model = OddModel(seed, 3, fencing_checked=True, wide=True, overlapping=overlapping)
    await asyncio.sleep(15.0)
    await model.run(length_s=120.0, mean_gap_s=3.0)
    assert model.cloud.usage
    now_window = int((1000.0 + asyncio.get_running_loop().time()) // 5.0)
    assert not model.violations(), model.events
    assert now_window - max(model.cloud.usage) <= 3, model.events
