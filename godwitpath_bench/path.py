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

SERVICE = "planner-lm"
ENGINES = 4
RATE_PER_S = 50.0
TOKENS = 20
OPEN_STREAMS = 200
OPEN_STREAM_TOKENS = 500
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
    direct, through, use = Side(), Side(), EntryUse()
    fleet = Fleet(
        "ramdin",
        entries=2,
        seed=seed,
        engines={SERVICE: ENGINES},
        configuration_text=_without_limits(),
    )
    async with fleet:
        await asyncio.sleep(IDLE_S)
        entry = psutil.Process(fleet.entry(1).pid)
        use.idle_mib = entry.memory_info().rss / MIB
        for number in range(rounds):
            plan = _plan(fleet, requests, seed * 100 + number)
            direct.add(await Load(_straight(plan, fleet)).run())
            cpu_s = _cpu_s(entry)
            result = await Load(plan).run()
            use.cpu_s += _cpu_s(entry) - cpu_s
            use.wall_s += result.duration_s
            use.tokens += result.tokens
            use.requests += len(result.outcomes)
            through.add(result)
        await _open_streams(fleet, entry, use, seed)
    return _report(direct, through, use)


async def _open_streams(fleet: Fleet, entry: psutil.Process, use: EntryUse, seed: int) -> None:
    plan = _plan(fleet, OPEN_STREAMS, seed)
    plan.rate_per_s = 100.0
    plan.max_tokens = OPEN_STREAM_TOKENS
    running = asyncio.create_task(Load(plan).run())
    while not running.done():
        await asyncio.sleep(0.5)
        use.open_mib = max(use.open_mib, entry.memory_info().rss / MIB)
    use.open_streams = sum(item.state == "completed" for item in (await running).outcomes)


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


def _report(direct: Side, through: Side, use: EntryUse) -> list[str]:
    lines = [f"{'':24}{'p50':>9}{'p95':>9}{'p99':>9}  ms"]
    for name, attribute in (
        ("first token", "first_token_us"),
        ("between tokens", "between_tokens_us"),
    ):
        one = _percentiles(getattr(direct, attribute))
        two = _percentiles(getattr(through, attribute))
        lines.append(_row(f"{name}, direct", one))
        lines.append(_row(f"{name}, through", two))
        lines.append(_row(f"{name}, added", [b - a for a, b in zip(one, two, strict=True)]))
        lines.append(_row(f"{name}, ratio", [b / a for a, b in zip(one, two, strict=True)]))
    tokens_per_s = use.tokens / use.wall_s
    core = use.cpu_s / use.wall_s
    at_target = 1030 * use.cpu_s / use.tokens
    lines += [
        f"entry: {tokens_per_s:.0f} tokens/s and {use.requests / use.wall_s:.1f} requests/s"
        f" at {core:.1%} of a core",
        f"entry: {use.cpu_s / use.tokens * 1e6:.0f} us of processor a token, requests included;"
        f" {at_target:.1%} of a core at 1,030 tokens/s (aim 12%)",
        f"entry: {use.tokens / use.cpu_s:.0f} tokens/s and {use.requests / use.cpu_s:.0f}"
        " requests/s per core",
        f"entry memory: {use.idle_mib:.0f} MiB idle (aim 128), {use.open_mib:.0f} MiB with"
        f" {use.open_streams} streams open (aim 160)",
        f"requests that failed: direct {direct.failed}, through {through.failed}",
    ]
    return lines


def _percentiles(histogram: Any) -> list[float]:
    return [milliseconds(histogram, percentile) for percentile in (50, 95, 99)]


def _row(name: str, values: list[float]) -> str:
    return f"{name:24}" + "".join(f"{value:9.2f}" for value in values)
