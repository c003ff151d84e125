"""Tests of moving streams to engines with limits."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from godwitpath.gateway.crash_watch import CrashWatch
from godwitpath.gateway.engines import EngineEntry, EngineRegistry, EngineState
from godwitpath.gateway.evacuate import (
    MOVE_TIMEOUT_S,
    Evacuator,
    MovedRun,
    MoveFailed,
    StreamRun,
)
from godwitpath.gateway.permits import Permit
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedVerdict
from godwitpath.gateway.wire_fields import EngineResponseFields
from godwitpath.platform.run_mover import PlatformRunMover
from godwitpath.ports.engine import Address
from test.raw_server import Exchange, raw_server


class Permits:
    """Permits of engines of which some are limited.

    :ivar left: number of permits that are left
    """

    def __init__(self, limited: set[str], left: int) -> None:
        self.limited = limited
        self.left = left

    def limit_per_s(self, engine: Any) -> float | None:
        return 1.0 if engine.entry.engine_id in self.limited else None

    async def acquire(self, engine: Any, priority: int, request_id: str) -> Permit | None:
        if engine.entry.engine_id not in self.limited:
            return Permit(0.0, limited=False)
        self.left -= 1
        return Permit(9.0, limited=True) if self.left >= 0 else None


class Mover:
    """Moves every run, and records the targets.

    :ivar response: what the head of the engine's response states
    :ivar fails: whether the run is not moved
    """

    def __init__(self) -> None:
        self.response: EngineResponseFields | None = None
        self.fails = False
        self.targets: list[Address] = []

    async def move_run(self, source: Address, request_id: str, target: Address) -> MovedRun:
        self.targets.append(target)
        if self.fails:
            raise MoveFailed("refused with 404", self.response)
        return MovedRun("h", copied=True, response=self.response)


def evacuation(limited: set[str], left: int) -> tuple[Evacuator, Mover, StreamRun]:
    engines = EngineRegistry()
    for number in range(3):
        address = Address("h", number)
        engines.put(EngineEntry(f"e{number}", "lm", address, "a", EngineState.READY, 8, 1))
    placer = SimpleNamespace(
        rank_for_generation=lambda prompt, usable, tokens: [
            SimpleNamespace(engine=engine) for engine in usable
        ]
    )
    ctx: Any = SimpleNamespace(
        engines=engines,
        placer=placer,
        permits=Permits(limited, left),
        crashes=CrashWatch(engines),
    )
    service = SimpleNamespace(name="lm", engine=SimpleNamespace(cache_tokens=1, moves=True))
    call: Any = SimpleNamespace(
        service=service, prompt=object(), request_id="r", priority=1, subjects=("p",)
    )
    mover = Mover()
    source = engines.get("e0")
    assert source is not None
    return Evacuator(ctx, mover), mover, StreamRun(call, source)


@pytest.mark.looptime
class TestMovesToLimitedEngines:
    async def test_a_stream_moves_to_an_engine_without_a_limit_first(self) -> None:
        evacuator, mover, run = evacuation({"e1"}, left=5)
        continuation = await evacuator._move(run)
        assert continuation is not None
        assert continuation.engine.entry.engine_id == "e2"
        assert mover.targets == [Address("h", 2)]

    @pytest.mark.parametrize(("left", "moved"), [(1, True), (0, False)])
    async def test_a_stream_moves_to_a_limited_engine_only_with_a_permit(
        self, left: int, moved: bool
    ) -> None:
        evacuator, mover, run = evacuation({"e0", "e1", "e2"}, left)
        continuation = await evacuator._move(run)
        assert (continuation is not None) is moved
        assert len(mover.targets) == int(moved)
        assert evacuator.move_counts["no_permit"] == int(not moved)


@pytest.mark.looptime
@pytest.mark.parametrize("fails", [False, True])
async def test_the_response_to_a_move_says_that_the_engine_leaves(fails: bool) -> None:
    evacuator, mover, run = evacuation(set(), left=0)
    mover.fails = fails
    mover.response = EngineResponseFields(True, False, False, False, None, leaving=True)
    await evacuator._move(run)
    notices = evacuator._ctx.engines.notices
    assert notices.is_leaving(run.engine.entry.incarnation)
    assert not notices.is_leaving(("e1", 1))


@pytest.mark.looptime
@pytest.mark.parametrize(("left", "stopped"), [(0, False), (5, True)])
async def test_a_run_whose_move_was_not_ordered_is_not_stopped(left: int, stopped: bool) -> None:
    evacuator, _, run = evacuation({"e0", "e1", "e2"}, left)
    run.set_move_task(asyncio.ensure_future(evacuator._move(run)))
    assert await run.stopped_by_move() is stopped


@pytest.mark.looptime
async def test_a_stream_with_a_quarantined_part_stays_where_it_runs() -> None:
    evacuator, mover, run = evacuation(set(), left=0)
    verdict = ReportedVerdict(("p",), 4, 5.0, 0.0)
    evacuator._ctx.crashes.apply_report("d2", QuarantineReport(verdicts=[verdict]))
    assert await evacuator._move(run) is None
    assert mover.targets == []


@pytest.mark.parametrize("status", ["200 OK", "503 Service Unavailable"])
async def test_a_move_whose_response_arrived_during_a_pause_of_this_process_is_not_given_up(
    status: str,
) -> None:
    def respond_and_pause(exchange: Exchange) -> None:
        exchange.respond(b'{"handle":"h"}', status)
        time.sleep(MOVE_TIMEOUT_S + 0.1)

    async def handle(exchange: Exchange) -> None:
        respond_and_pause(exchange)

    evacuator, _, run = evacuation(set(), left=0)
    evacuator._mover = PlatformRunMover()
    async with raw_server(handle) as source:
        run.engine.entry = replace(run.engine.entry, address=source.address)
        assert await evacuator._move(run) is not None


async def test_a_move_without_a_response_in_time_fails() -> None:
    async def respond_late(exchange: Exchange) -> None:
        await asyncio.sleep(MOVE_TIMEOUT_S + 0.2)
        exchange.respond(b'{"handle":"h"}')

    evacuator, _, run = evacuation(set(), left=0)
    evacuator._mover = PlatformRunMover()
    async with raw_server(respond_late) as source:
        run.engine.entry = replace(run.engine.entry, address=source.address)
        assert await evacuator._move(run) is None
        assert (evacuator.move_counts["failed"], run.may_be_stopped) == (1, True)
