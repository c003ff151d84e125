"""What an entry adds between a caller and an engine: time, processor and memory."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Annotated, Any

import psutil
import typer

from godwitpath_standin.demo import load_plan
from godwitpath_standin.deployments import DEPLOYMENTS
from godwitpath_standin.fleet import Fleet
from godwitpath_standin.load import Load, LoadPlan
from godwitpath_standin.load_result import LoadResult, milliseconds, new_histogram
from godwitpath_standin.process import Process

SERVICE = "planner-lm"
# One engine takes the same batch either way; routing among several is measured elsewhere.
ENGINES = 1
ENGINE_OPTIONS = ["--max-batch", "256", "--step-per-sequence-s", "0.0001"]
ENGINE_OPTIONS += ["--prefill-tokens-per-s", "400000"]
RATE_PER_S = 50.0
TOKENS = 20
LONG_RATE_PER_S = 3.25
LONG_TOKENS = 318
LONG_REQUESTS = 45
"""A daemon's share at the size in docs/CAPACITY.md: 1,030 tokens in 3.25 requests a second."""

OPEN_STREAMS = 200
OPEN_STREAM_TOKENS = 300
RATE_SCALE = 1000.0
IDLE_S = 2.0
MIB = 1024.0 * 1024.0


@dataclass(slots=True)
class Side:
    """Figures of one way to the engine, over all rounds."""

    first_token_us: Any = field(default_factory=new_histogram)
    between_tokens_us: Any = field(default_factory=new_histogram)
    failed: int = 0

    def add(self, result: LoadResult) -> None:
        """Add a round."""
        self.first_token_us.add(result.first_token_us)
        self.between_tokens_us.add(result.between_tokens_us)
        self.failed += sum(item.state != "completed" or item.wrong for item in result.outcomes)


@dataclass(slots=True)
class EntryUse:
    """What the entry used."""

    cpu_s: float = 0.0
    wall_s: float = 0.0
    tokens: int = 0
    requests: int = 0

    async def measure(self, entry: psutil.Process, plan: LoadPlan) -> LoadResult:
        """Run a load through the entry and add what it used."""
        cpu_s = _cpu_s(entry)
        result = await Load(plan).run()
        self.cpu_s += _cpu_s(entry) - cpu_s
        self.wall_s += result.duration_s
        self.tokens += result.tokens
        self.requests += len(result.outcomes)
        return result

    def lines(self, name: str) -> list[str]:
        """Return the figures as text."""
        at_target = 1030 * self.cpu_s / self.tokens
        return [
            f"{name}: {self.tokens / self.wall_s:.0f} tokens/s,"
            f" {self.requests / self.wall_s:.1f} requests/s,"
            f" {self.cpu_s / self.wall_s:.1%} of a core",
            f"{name}: {self.cpu_s / self.tokens * 1e6:.0f} us of processor a token, requests"
            f" included; {at_target:.1%} of a core at 1,030 tokens/s",
            f"{name}: {self.tokens / self.cpu_s:.0f} tokens/s and"
            f" {self.requests / self.cpu_s:.0f} requests/s per core",
        ]


@dataclass(slots=True)
class EntryMemory:
    """Resident memory of the entry."""

    idle_mib: float = 0.0
    open_mib: float = 0.0
    open_streams: int = 0


def register(app: typer.Typer) -> None:
    """Add the command."""

    @app.command("path")
    def path(
        requests: Annotated[int, typer.Option(help="Requests of a round, each way.")] = 250,
        rounds: Annotated[int, typer.Option(help="Rounds, each way in turn.")] = 3,
        seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    ) -> None:
        """Measure what an entry adds between a caller and an engine."""
        for line in asyncio.run(run_path(requests, rounds, seed)):
            typer.echo(line)


async def run_path(requests: int, rounds: int, seed: int) -> list[str]:
    """Run both ways in turn and return the report's lines."""
    direct, through = Side(), Side()
    short, long, bare, memory = EntryUse(), EntryUse(), EntryUse(), EntryMemory()
    fleet = Fleet(
        "ramdin",
        entries=2,
        seed=seed,
        engine_options=ENGINE_OPTIONS,
        engines={SERVICE: ENGINES},
        configuration_text=_without_limits(),
    )
    async with fleet:
        await asyncio.sleep(IDLE_S)
        entry = psutil.Process(fleet.entry(1).pid)
        memory.idle_mib = entry.memory_info().rss / MIB
        for number in range(rounds):
            plan = _plan(fleet, requests, seed * 100 + number)
            direct.add(await Load(_straight(plan, fleet)).run())
            through.add(await short.measure(entry, plan))
        plan = _plan(fleet, LONG_REQUESTS, seed)
        plan.rate_per_s, plan.max_tokens = LONG_RATE_PER_S, LONG_TOKENS
        await long.measure(entry, plan)
        await _measure_bare(fleet, bare, plan)
        await _open_streams(fleet, entry, memory, seed)
    lines = [f"{'':24}{'p50':>9}{'p95':>9}{'p99':>9}  ms"]
    lines += _compared("first token", direct.first_token_us, through.first_token_us)
    lines += _compared("between tokens", direct.between_tokens_us, through.between_tokens_us)
    lines += short.lines(f"answers of {TOKENS} tokens")
    lines += long.lines(f"answers of {LONG_TOKENS} tokens (aim 12% of a core)")
    lines += bare.lines(f"bare relay, {LONG_TOKENS} tokens")
    lines.append(
        f"entry memory: {memory.idle_mib:.0f} MiB idle (aim 128), {memory.open_mib:.0f} MiB with"
        f" {memory.open_streams} streams open (aim 160)"
    )
    lines.append(f"requests that failed: direct {direct.failed}, through {through.failed}")
    return lines


async def _measure_bare(fleet: Fleet, bare: EntryUse, plan: LoadPlan) -> None:
    target = fleet.url(fleet.engines[0].name)
    relay = Process("relay", ["godwitpath_bench.bare_relay", target], fleet.log_folder)
    await relay.start()
    try:
        straight = _straight(plan, fleet)
        straight.urls = lambda: [f"http://{relay.announced['listening']}"]
        await bare.measure(psutil.Process(relay.pid), straight)
        # The relay passes no token counts on.
        bare.tokens = plan.generations * plan.max_tokens
    finally:
        await relay.end()


async def _open_streams(
    fleet: Fleet, entry: psutil.Process, memory: EntryMemory, seed: int
) -> None:
    plan = _plan(fleet, OPEN_STREAMS, seed)
    plan.rate_per_s = 100.0
    plan.max_tokens = OPEN_STREAM_TOKENS
    running = asyncio.create_task(Load(plan).run())
    while not running.done():
        await asyncio.sleep(0.5)
        memory.open_mib = max(memory.open_mib, entry.memory_info().rss / MIB)
    memory.open_streams = sum(item.state == "completed" for item in (await running).outcomes)


def _plan(fleet: Fleet, requests: int, seed: int) -> LoadPlan:
    plan = load_plan(fleet, requests, 0, RATE_PER_S, seed)
    plan.models = {SERVICE: plan.models[SERVICE]}
    plan.urls = lambda: [fleet.caller_url(1)]
    plan.max_tokens = TOKENS
    return plan


def _straight(plan: LoadPlan, fleet: Fleet) -> LoadPlan:
    model = plan.models[SERVICE]
    urls = [fleet.url(engine.name) for engine in fleet.engines]
    return LoadPlan(
        urls=lambda: urls,
        models={model: model},
        api_keys={model: ["unused"]},
        generations=plan.generations,
        calls=0,
        rate_per_s=plan.rate_per_s,
        seed=plan.seed,
        max_tokens=plan.max_tokens,
    )


def _without_limits() -> str:
    configuration = DEPLOYMENTS["ramdin"].configuration()
    for account in configuration["accounts"].values():
        account["requests_per_s"] = account.get("requests_per_s", 10.0) * RATE_SCALE
        account["tokens_per_s"] = account.get("tokens_per_s", 10_000.0) * RATE_SCALE
        account.pop("services", None)
    return json.dumps(configuration, indent=2)


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _compared(name: str, direct_us: Any, through_us: Any) -> list[str]:
    one, two = _percentiles(direct_us), _percentiles(through_us)
    pairs = list(zip(one, two, strict=True))
    return [
        _row(f"{name}, direct", one),
        _row(f"{name}, through", two),
        _row(f"{name}, added", [after - before for before, after in pairs]),
        _row(f"{name}, ratio", [after / before for before, after in pairs]),
    ]


def _percentiles(histogram: Any) -> list[float]:
    return [milliseconds(histogram, percentile) for percentile in (50, 95, 99)]


def _row(name: str, values: list[float]) -> str:
    return f"{name:24}" + "".join(f"{value:9.2f}" for value in values)
