"""Guards against accepted requests lost when an entry and an engine are killed under load.

Entries and stand-ins run as separate processes.
"""

from __future__ import annotations

import asyncio

from godwitpath_standin.demo import DemoReport, load_plan
from godwitpath_standin.fleet import Fleet
from godwitpath_standin.load import Load

PATH_TIMEOUT_S = 60.0
"""Time for the start of the processes, the load and the stop together."""


async def test_no_accepted_request_is_lost_when_an_entry_and_an_engine_are_killed() -> None:
    fleet = Fleet("ramdin", entries=3, engines={"planner-lm": 2, "depot-desk": 2})
    async with asyncio.timeout(PATH_TIMEOUT_S), fleet:
        load = Load(load_plan(fleet, generations=30, calls=10, rate_per_s=15.0, seed=1))
        load_task = asyncio.create_task(load.run())
        await asyncio.sleep(1.0)
        fleet.entry(2).kill()
        fleet.engine("planner-lm", 1).kill()
        result = await load_task
        running_engines = [engine.name for engine in fleet.engines if engine.running]
        stats = [await fleet.stats(name) for name in running_engines]
        report = DemoReport(result, await fleet.executions(), stats, 0.0, 0.0)
    assert report.failures == []
    assert result.count("generation", "completed") == 30
    assert result.count("plain", "completed") == 10
    assert len(report.executions) == 10
