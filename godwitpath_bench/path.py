"""Path experiment: latency, CPU time and memory that an entry adds between caller and engine."""

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
# With one engine, both paths see the same batches; the routing experiment covers several engines.
ENGINES = 1
ENGINE_OPTIONS = ["--max-batch", "256", "--step-per-sequence-s", "0.0001"]
ENGINE_OPTIONS += ["--prefill-tokens-per-s", "400000"]
RATE_PER_S = 50.0
SHORT_TOKENS = 20
LONG_RATE_PER_S = 3.25
LONG_TOKENS = 318
LONG_REQUESTS = 45
"""Load of one entry in docs/CAPACITY.md: 3.25 requests/s with 1,030 tokens/s."""

OPEN_STREAMS = 200
OPEN_STREAM_TOKENS = 300
LIMIT_FACTOR = 1000.0
IDLE_S = 2.0
MIB_BYTES = 1024.0 * 1024.0


@dataclass(slots=True)
class PathLatency:
    """Latency over all rounds of one path to the engine, direct or via the entry."""

    first_token_us: Any = field(default_factory=new_histogram)
    between_tokens_us: Any = field(default_factory=new_histogram)
    failed: int = 0

    def add(self, result: LoadResult) -> None:
        """Add the result of a round."""
        self.first_token_us.add(result.first_token_us)
        self.between_tokens_us.add(result.between_tokens_us)
        self.failed += sum(item.state != "completed" or item.wrong for item in result.outcomes)


@dataclass(slots=True)
class ResourceUse:
    """CPU time used by a process and the load that it handled."""

    cpu_s: float = 0.0
    wall_s: float = 0.0
    tokens: int = 0
    requests: int = 0

    async def measure(self, process: psutil.Process, plan: LoadPlan) -> LoadResult:
        """Run a load and add the CPU time that the process used meanwhile.

        :param process: the process to measure, an entry or the relay
        """
        cpu_s = _cpu_s(process)
        result = await Load(plan).run()
        self.cpu_s += _cpu_s(process) - cpu_s
        self.wall_s += result.duration_s
        self.tokens += result.tokens
        self.requests += len(result.outcomes)
        return result

    def lines(self, name: str) -> list[str]:
        """Return the figures as lines of text."""
        core_fraction_at_target = 1030 * self.cpu_s / self.tokens
        return [
            f"{name}: {self.tokens / self.wall_s:.0f} tokens/s,"
            f" {self.requests / self.wall_s:.1f} requests/s,"
            f" {self.cpu_s / self.wall_s:.1%} of a core",
            f"{name}: {self.cpu_s / self.tokens * 1e6:.0f} us of processor a token, requests"
            f" included; {core_fraction_at_target:.1%} of a core at 1,030 tokens/s",
            f"{name}: {self.tokens / self.cpu_s:.0f} tokens/s and"
            f" {self.requests / self.cpu_s:.0f} requests/s per core",
        ]


@dataclass(slots=True)
class EntryMemory:
    """Resident memory of an entry, idle and at its peak with open streams."""

    idle_mib: float = 0.0
    open_mib: float = 0.0
    open_streams: int = 0


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""

    @app.command("path")
    def path(
        requests: Annotated[int, typer.Option(help="Requests per round and path.")] = 250,
        rounds: Annotated[int, typer.Option(help="Rounds; each measures both paths.")] = 3,
        seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    ) -> None:
        """Measure the latency, CPU time and memory that an entry adds."""
        for line in asyncio.run(run_path(requests, rounds, seed)):
            typer.echo(line)


async def run_path(requests: int, rounds: int, seed: int) -> list[str]:
    """Measure both paths alternately and return the lines of the report."""
    direct, via_entry = PathLatency(), PathLatency()
    short_use, long_use, relay_use, memory = (
        ResourceUse(),
        ResourceUse(),
        ResourceUse(),
        EntryMemory(),
    )
    fleet = Fleet(
        "ramdin",
        entries=2,
        seed=seed,
        engine_options=ENGINE_OPTIONS,
        engines={SERVICE: ENGINES},
        configuration_text=_unlimited_configuration(),
    )
    async with fleet:
        await asyncio.sleep(IDLE_S)
        entry = psutil.Process(fleet.entry(1).pid)
        memory.idle_mib = entry.memory_info().rss / MIB_BYTES
        for number in range(rounds):
            plan = _entry_plan(fleet, requests, seed * 100 + number)
            direct.add(await Load(_direct_plan(plan, fleet)).run())
            via_entry.add(await short_use.measure(entry, plan))
        plan = _entry_plan(fleet, LONG_REQUESTS, seed)
        plan.rate_per_s, plan.max_tokens = LONG_RATE_PER_S, LONG_TOKENS
        await long_use.measure(entry, plan)
        await _measure_relay(fleet, relay_use, plan)
        await _measure_open_streams(fleet, entry, memory, seed)
    lines = [f"{'':24}{'p50':>9}{'p95':>9}{'p99':>9}  ms"]
    lines += _comparison_rows("first token", direct.first_token_us, via_entry.first_token_us)
    lines += _comparison_rows(
        "between tokens", direct.between_tokens_us, via_entry.between_tokens_us
    )
    lines += short_use.lines(f"answers of {SHORT_TOKENS} tokens")
    lines += long_use.lines(f"answers of {LONG_TOKENS} tokens (aim 12% of a core)")
    lines += relay_use.lines(f"bare relay, {LONG_TOKENS} tokens")
    lines.append(
        f"entry memory: {memory.idle_mib:.0f} MiB idle (aim 128), {memory.open_mib:.0f} MiB with"
        f" {memory.open_streams} streams open (aim 160)"
    )
    lines.append(f"requests that failed: direct {direct.failed}, through {via_entry.failed}")
    return lines


async def _measure_relay(fleet: Fleet, relay_use: ResourceUse, plan: LoadPlan) -> None:
    target = fleet.url(fleet.engines[0].name)
    relay = Process("relay", ["godwitpath_bench.bare_relay", target], fleet.log_folder)
    await relay.start()
    try:
        direct_plan = _direct_plan(plan, fleet)
        direct_plan.urls = lambda: [f"http://{relay.addresses['listening']}"]
        await relay_use.measure(psutil.Process(relay.pid), direct_plan)
        # The relay does not report token counts.
        relay_use.tokens = plan.generations * plan.max_tokens
    finally:
        await relay.stop()


async def _measure_open_streams(
    fleet: Fleet, entry: psutil.Process, memory: EntryMemory, seed: int
) -> None:
    plan = _entry_plan(fleet, OPEN_STREAMS, seed)
    plan.rate_per_s = 100.0
    plan.max_tokens = OPEN_STREAM_TOKENS
    load_task = asyncio.create_task(Load(plan).run())
    while not load_task.done():
        await asyncio.sleep(0.5)
        memory.open_mib = max(memory.open_mib, entry.memory_info().rss / MIB_BYTES)
    memory.open_streams = sum(item.state == "completed" for item in (await load_task).outcomes)


def _entry_plan(fleet: Fleet, requests: int, seed: int) -> LoadPlan:
    plan = load_plan(fleet, requests, 0, RATE_PER_S, seed)
    plan.models = {SERVICE: plan.models[SERVICE]}
    plan.urls = lambda: [fleet.caller_url(1)]
    plan.max_tokens = SHORT_TOKENS
    return plan


def _direct_plan(plan: LoadPlan, fleet: Fleet) -> LoadPlan:
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


def _unlimited_configuration() -> str:
    configuration = DEPLOYMENTS["ramdin"].configuration()
    for account in configuration["accounts"].values():
        account["requests_per_s"] = account.get("requests_per_s", 10.0) * LIMIT_FACTOR
        account["tokens_per_s"] = account.get("tokens_per_s", 10_000.0) * LIMIT_FACTOR
        account.pop("services", None)
    return json.dumps(configuration, indent=2)


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _comparison_rows(name: str, direct_us: Any, via_entry_us: Any) -> list[str]:
    direct_ms, via_entry_ms = _p50_p95_p99_ms(direct_us), _p50_p95_p99_ms(via_entry_us)
    pairs = list(zip(direct_ms, via_entry_ms, strict=True))
    return [
        _table_row(f"{name}, direct", direct_ms),
        _table_row(f"{name}, through", via_entry_ms),
        _table_row(f"{name}, added", [via_entry - direct for direct, via_entry in pairs]),
        _table_row(f"{name}, ratio", [via_entry / direct for direct, via_entry in pairs]),
    ]


def _p50_p95_p99_ms(histogram: Any) -> list[float]:
    return [milliseconds(histogram, percentile) for percentile in (50, 95, 99)]


def _table_row(name: str, values: list[float]) -> str:
    return f"{name:24}" + "".join(f"{value:9.2f}" for value in values)
