"""What a daemon that starts after a restore of the store sends to engines that had left before."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath_standin.gateway.engine import EngineStandin
from test.gateway_fleet import Daemon, fleet


def entry(**fields: object) -> bytes:
    """Return the entry of the engine that leaves."""
    return EngineStandin("e1").entry("lm", address="127.0.0.1:1", **fields)


def may_send(daemon: Daemon) -> bool:
    """Return whether a daemon is ready and would send requests to the engine."""
    usable = daemon.catalogue._engines.usable("lm", 0.0)
    return daemon.catalogue.is_loaded and "e1" in {each.entry.engine_id for each in usable}


@pytest.mark.parametrize("gone", [False, True], ids=["draining", "gone"])
@pytest.mark.parametrize("count", [3, 18])
async def test_a_daemon_that_starts_after_a_restore_sends_nothing_to_an_engine_that_left(
    count: int, gone: bool
) -> None:
    async with fleet(count, "abc") as daemons:
        core = daemons[0].store._core
        core.put("servers/e1", entry())
        await asyncio.sleep(2.0)
        late = daemons[0]
        await late.stop()
        snapshot = core.snapshot()
        core.put("servers/e1", entry(state="draining"))
        if gone:
            core.remove("servers/e1")
        await asyncio.sleep(1.5)
        core.restore(snapshot)
        await asyncio.sleep(1.5)
        late = daemons[0] = Daemon(core, late.name, late.zone, late.port)
        await late.start()
        samples = []
        for _ in range(60):
            await asyncio.sleep(0.05)
            samples.append(may_send(late))
        assert late.catalogue.is_loaded
        assert sum(samples) == 0
        # What the engine itself writes counts.
        core.put("servers/e1", entry(sequence=9))
        await asyncio.sleep(1.0)
        assert may_send(late)
