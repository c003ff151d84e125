"""Usage reports beside calls and writes that get no response: none may wait for another one."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import pytest

from godwitpath.gateway.store import Precondition, Put
from godwitpath.gateway.usage_store import OPEN_KEY
from godwitpath.ports.kv import StoreUncertain
from godwitpath_standin.gateway.cloud import FakeCloud
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
