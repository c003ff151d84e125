"""Execution experiment: store cost of at-most-once execution with a key per call or segments."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Annotated, Any

import looptime
import msgspec
import typer

from godwitpath.execution.guard import ExecutionGuard
from godwitpath.execution.record import ExecutionRecord, store_key
from godwitpath.execution.segments import SegmentLog
from godwitpath.records.record import Outcome
from godwitpath_bench.report import percentile
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core

DURATION_S = 5.0
STORE_LATENCY_S = 0.003
CALL_S = 0.2
OUTCOME = Outcome(201, body=b'{"booking": "0123456789", "state": "confirmed"}' * 4)
RATES_PER_S = [5.0, 25.0, 100.0, 200.0, 400.0]
SEGMENTS = [1, 4, 16]
WRITE_LIMIT_PER_S = 400.0


@dataclass(slots=True)
class Cost:
    """Store cost of a run.

    :ivar bytes_per_call: bytes written per call
    :ivar claim_ms: 95th percentile of the duration of a claim
    """

    writes_per_call: float
    reads_per_call: float
    bytes_per_call: float
    writes_per_s: float
    claim_ms: float


class _GuardRun:
    """Simulates calls that arrive at a given rate and are guarded by one of the two methods."""

    def __init__(self, rate_per_s: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.rate_per_s = rate_per_s
        self.store = FakeKeyValueStore(loop_core(), STORE_LATENCY_S)
        self.claim_times_s: list[float] = []

    async def guard_by_key(self, number: int) -> None:
        guard = self.guards[number % len(self.guards)]
        started_s = asyncio.get_running_loop().time()
        claim = await guard.claim("account-1", f"key-{number}", "0" * 64, f"req-{number:048}")
        self.claim_times_s.append(asyncio.get_running_loop().time() - started_s)
        await asyncio.sleep(CALL_S)
        await guard.finish(claim, OUTCOME)

    async def guard_by_segment(self, number: int) -> None:
        log = self.logs[number % len(self.logs)]
        key = store_key("account-1", f"key-{number}")[5:]
        record = self._record(number)
        started_s = asyncio.get_running_loop().time()
        await log.claim(key, record)
        self.claim_times_s.append(asyncio.get_running_loop().time() - started_s)
        await asyncio.sleep(CALL_S)
        finished = msgspec.structs.replace(record, state="finished", outcome=OUTCOME)
        await log.change(key, finished)

    def _record(self, number: int) -> ExecutionRecord:
        attempt_id = f"{self.rng.getrandbits(128):032x}"
        request_id = f"req-{number:048}"
        return ExecutionRecord(
            "sent", "account-1", "0" * 64, attempt_id, "entry-1", "1", request_id, 0.0
        )

    async def guard_with_keys(self) -> Cost:
        """Guard each call by its own key."""
        self.guards = [
            ExecutionGuard(self.store, f"e{index}", "1", random.Random(index), lambda: 0.0)
            for index in range(8)
        ]
        return await self._calls(self.guard_by_key)

    async def guard_with_segments(self, count: int) -> Cost:
        """Guard the calls by records in segments, each with one writer."""
        self.logs = [SegmentLog(self.store, index, self.rng) for index in range(count)]
        writers = [asyncio.create_task(log.run()) for log in self.logs]
        cost = await self._calls(self.guard_by_segment)
        for writer in writers:
            writer.cancel()
        return cost

    async def _calls(self, run_call: Any) -> Cost:
        tasks: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        end_s = loop.time() + DURATION_S
        while loop.time() < end_s:
            tasks.append(asyncio.create_task(run_call(len(tasks))))
            await asyncio.sleep(self.rng.expovariate(self.rate_per_s))
        await asyncio.gather(*tasks)
        store_counts, calls = self.store.counts, len(tasks)
        return Cost(
            writes_per_call=store_counts.writes / calls,
            reads_per_call=store_counts.reads / calls,
            bytes_per_call=store_counts.bytes_written / calls,
            writes_per_s=store_counts.writes / DURATION_S,
            claim_ms=percentile(self.claim_times_s, 0.95) * 1000,
        )


def _measure(rate_per_s: float, seed: int, segments: int) -> Cost:
    loop = looptime.new_event_loop()

    async def run() -> Cost:
        guard_run = _GuardRun(rate_per_s, seed)
        return await (
            guard_run.guard_with_segments(segments) if segments else guard_run.guard_with_keys()
        )

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


def _line(rate_per_s: float, method: str, cost: Cost) -> str:
    over_limit = " over the limit" if cost.writes_per_s > WRITE_LIMIT_PER_S else ""
    return (
        f"{rate_per_s:7.0f}  {method:12} {cost.writes_per_call:7.2f} {cost.reads_per_call:7.2f} "
        f"{cost.bytes_per_call:8.0f} {cost.writes_per_s:9.1f} {cost.claim_ms:9.1f}{over_limit}"
    )


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""

    @app.command("execution")
    def execution(seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1) -> None:
        """Count the store calls and bytes per guarded call at several arrival rates."""
        typer.echo(f"limit: {WRITE_LIMIT_PER_S:.0f} writes/s; batches every 50 ms; paused clock")
        typer.echo("calls/s  way           writes   reads    bytes  writes/s  claim p95")
        typer.echo("                      per call per call per call                  ms")
        for rate_per_s in RATES_PER_S:
            typer.echo(_line(rate_per_s, "single keys", _measure(rate_per_s, seed, 0)))
            for count in SEGMENTS:
                cost = _measure(rate_per_s, seed, count)
                typer.echo(_line(rate_per_s, f"{count} segments", cost))
