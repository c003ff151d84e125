"""Daemons that start, or pull, after the platform's store came back from an older copy."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.gateway.engines import EngineState
from godwitpath_standin.gateway.documents import configuration_document
from godwitpath_standin.gateway.engine import EngineStandin
from test.gateway_fleet import Daemon, fleet
from test.gateway_parts import json_bytes

CONFIG_APPLY_S = 2.5
"""Time within which a change of the configuration must be in force."""

DRAIN_S = 2.5
"""Time within which an engine's announcement that it leaves must be known."""


@pytest.mark.parametrize("count", [3, 18])
async def test_a_daemon_that_starts_after_a_restore_gets_the_lost_configuration_from_its_peers(
    count: int,
) -> None:
    async with fleet(count, "abc") as daemons:
        core = daemons[0].store._core
        started_late = daemons[-1]
        await asyncio.sleep(2.0)
        await started_late.stop()
        snapshot = core.snapshot()
        for _ in range(50):
            core.put("p/other", b"")
        core.put("op/config", json_bytes(configuration_document(version=8)))
        await asyncio.sleep(1.0)
        core.restore(snapshot)
        again = Daemon(core, started_late.name, started_late.zone, started_late.port)
        daemons[-1] = again
        await again.start()
        await asyncio.sleep(CONFIG_APPLY_S)
        assert {each.ctx.in_force.version for each in daemons} == {8}
        core.put("op/config", json_bytes(configuration_document(version=9)))
        await asyncio.sleep(CONFIG_APPLY_S)
        assert {each.ctx.in_force.version for each in daemons} == {9}


async def test_daemons_that_pull_do_not_use_an_engine_that_the_older_copy_calls_ready() -> None:
    async with fleet(18, "abc") as daemons:
        core = daemons[0].store._core
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="127.0.0.1:1"))
        await asyncio.sleep(2.0)
        snapshot = core.snapshot()
        draining = EngineStandin("e1").entry("lm", address="127.0.0.1:1", state="draining")
        core.put("servers/e1", draining)
        await asyncio.sleep(1.5)
        # The first daemon by name watches; it starts again and knows only the older copy.
        await daemons[0].stop()
        await asyncio.sleep(0.2)
        core.restore(snapshot)
        daemons[0] = Daemon(core, daemons[0].name, daemons[0].zone, daemons[0].port)
        await daemons[0].start()
        for _ in range(25):
            await asyncio.sleep(0.1)
            for each in daemons[1:]:
                engine = each.catalogue._engines.get("e1")
                assert engine is not None
                assert engine.entry.state is EngineState.DRAINING
