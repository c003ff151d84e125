"""Usage reports beside calls and writes that get no response: none may wait for another one."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from itertools import pairwise

import pytest

from godwitpath.gateway.cloud import CloudUncertain, FencingToken
from godwitpath.gateway.store import Precondition, Put
from godwitpath.gateway.usage_duty import POLL_INTERVAL_S
from godwitpath.gateway.usage_store import OPEN_KEY, PIN_KEY
from godwitpath.ports.kv import StoreUncertain
from godwitpath_standin.gateway.cloud import NO_RESPONSE_S, FakeCloud
from godwitpath_standin.gateway.store_core import StoreCore
from test.test_gateway_duties import BOUNDS, boot_clock
from test.test_gateway_usage_restore import UsageDaemon
from test.usage_delays import STORE_NO_RESPONSE_S
from test.usage_model import WINDOW_S

__all__ = ["boot_clock"]

CLOCK_START_S = 1000.0


def late_windows(cloud: FakeCloud) -> list[int]:
    """Return the windows that were first accepted after their report was due."""
    accepted_at_s: dict[int, float] = {}
    for report in cloud.reports:
        accepted_at_s.setdefault(report.window, CLOCK_START_S + report.call.at_s)
    return [
        window
        for window, at_s in accepted_at_s.items()
        if at_s > (window + 1) * WINDOW_S + BOUNDS.usage_late_s
    ]


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
async def test_writes_of_open_counts_without_a_response_delay_no_report() -> None:
    core, cloud = StoreCore(), FakeCloud()
    daemon = UsageDaemon(core, cloud, 0, set())
    store = daemon.daemon.store
    transact = store.transact

    async def transact_silently(
        conditions: Sequence[Precondition],
        puts: Sequence[Put] = (),
        removals: Sequence[str] = (),
    ) -> int:
        if any(put.key == OPEN_KEY for put in puts):
            await asyncio.sleep(STORE_NO_RESPONSE_S)
            raise StoreUncertain("no answer")
        return await transact(conditions, puts, removals)

    store.transact = transact_silently  # type: ignore[method-assign]
    await asyncio.sleep(31.0)
    await daemon.kill()
    assert sorted(cloud.usage) == list(range(200, 205))
    assert not late_windows(cloud)


class MuteCloud(FakeCloud):
    """Cloud API that never answers nor carries out the reports of some windows.

    :ivar muted_at_s: loop times at which such a report arrived
    """

    mute_windows: frozenset[int] = frozenset()

    def __init__(self) -> None:
        super().__init__()
        self.muted_at_s: list[float] = []

    async def report_usage(
        self, fencing_token: FencingToken, window: int, requests: Mapping[str, int]
    ) -> None:
        if window in self.mute_windows:
            self.muted_at_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(NO_RESPONSE_S)
            raise CloudUncertain("no answer")
        await super().report_usage(fencing_token, window, requests)


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
async def test_a_report_without_a_response_holds_up_no_later_window() -> None:
    core, cloud = StoreCore(), MuteCloud()
    cloud.mute_windows = frozenset((200, 203))
    daemon = UsageDaemon(core, cloud, 0, set())
    await asyncio.sleep(36.0)
    await daemon.kill()
    assert sorted(cloud.usage) == [201, 202, 204, 205]
    assert not late_windows(cloud)


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
async def test_a_successor_repeats_all_windows_whose_reports_got_no_response() -> None:
    core, cloud, stale = StoreCore(), MuteCloud(), set[int]()
    cloud.mute_windows = frozenset((200, 201))
    first = UsageDaemon(core, cloud, 0, stale)
    await asyncio.sleep(13.5)
    assert core.items[PIN_KEY].value.startswith(b'{"window":201')
    await first.kill()
    stale.add(0)
    cloud.mute_windows = frozenset()
    successor = UsageDaemon(core, cloud, 1, stale)
    # What the successor hears of later must not be added to the pinned counts.
    successor.heard[200] = successor.heard[201] = {"hule": 50}
    await asyncio.sleep(10.0)
    await successor.kill()
    assert cloud.usage[200] == [{"hule": 5}]
    assert cloud.usage[201] == [{"hule": 1}]


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
async def test_windows_that_came_due_while_the_store_was_away_are_reported_at_once() -> None:
    core, cloud = StoreCore(), FakeCloud()
    daemon = UsageDaemon(core, cloud, 0, set())
    await asyncio.sleep(5.0)
    daemon.daemon.store.faults.write_delay_s = 30.0
    await asyncio.sleep(8.5)
    daemon.daemon.store.faults.write_delay_s = 0.0
    await asyncio.sleep(1.4)
    await daemon.kill()
    assert sorted(cloud.usage) == [200, 201]
    assert not late_windows(cloud)


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
async def test_a_call_that_waited_for_its_response_is_repeated_without_a_further_pause() -> None:
    core, cloud = StoreCore(), MuteCloud()
    cloud.mute_windows = frozenset((200,))
    daemon = UsageDaemon(core, cloud, 0, set())
    await asyncio.sleep(16.0)
    await daemon.kill()
    gaps_s = [later - earlier for earlier, later in pairwise(cloud.muted_at_s)]
    assert len(gaps_s) >= 2
    assert max(gaps_s) <= NO_RESPONSE_S + POLL_INTERVAL_S + 0.01
