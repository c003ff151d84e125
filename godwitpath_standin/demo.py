"""End-to-end demo: load on a deployment while an entry and an engine are killed."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from godwitpath_standin.fleet import Fleet
from godwitpath_standin.load import Load, LoadPlan
from godwitpath_standin.load_result import LoadResult, milliseconds

KILL_ENTRY_AFTER_S = 4.0
KILL_ENGINE_AFTER_S = 7.0


@dataclass(slots=True)
class DemoReport:
    """Results of the demo.

    :ivar result: outcomes seen by the callers
    :ivar executions: number of executions by idempotency key, counted by the plain service
    :ivar engine_stats: counts of each engine that was running at the end
    :ivar engine_hours: running time of all engines in hours; the killed engine counts to the end
    :ivar cost: cost of the engine hours
    """

    result: LoadResult
    executions: dict[str, int]
    engine_stats: list[dict[str, int]]
    engine_hours: float
    cost: float

    @property
    def failures(self) -> list[str]:
        """Messages for each violated guarantee."""
        result = self.result
        messages = [f"lost after acceptance: {item.key}: {item.detail}" for item in result.lost]
        messages += [f"wrong answer: {item.key}: {item.detail}" for item in result.wrong]
        messages += [f"ran twice: {key}" for key in result.ran_twice(self.executions)]
        refused = result.ran_though_refused(self.executions)
        messages += [f"said not run, and ran: {key}" for key in refused]
        not_run = result.completed_without_run(self.executions)
        messages += [f"answered, and never ran: {key}" for key in not_run]
        wrong = sum(stats["wrong_continuations"] for stats in self.engine_stats)
        return messages + ([f"{wrong} continuations from a wrong text"] if wrong else [])

    def table(self) -> str:
        """Return the results as an aligned table."""
        result = self.result
        recomputed = sum(stats["recomputed"] for stats in self.engine_stats)
        generated = sum(stats["generated"] for stats in self.engine_stats)
        rows = [
            ("requests made", str(len(result.outcomes))),
            ("accepted", str(result.accepted)),
            ("generations completed", str(result.count("generation", "completed"))),
            ("calls completed", str(result.count("plain", "completed"))),
            ("refused in the end", str(sum(i.state == "refused" for i in result.outcomes))),
            ("unknown in the end", str(sum(i.state == "unknown" for i in result.outcomes))),
            ("lost after acceptance", str(len(result.lost))),
            ("came back through another entry", str(_retried_count(result))),
            ("ran twice", str(len(result.ran_twice(self.executions)))),
            ("wrong answers", str(len(result.wrong))),
            ("first token p50 / p95 / p99", _percentiles_text(result.first_token_us)),
            ("between tokens p50 / p95 / p99", _percentiles_text(result.between_tokens_us)),
            ("call p50 / p95 / p99", _percentiles_text(result.plain_us)),
            ("tokens generated (living engines)", str(generated)),
            ("recomputed tokens (living engines)", str(recomputed)),
            ("engine hours, cost", f"{self.engine_hours:.3f} h, {self.cost:.3f}"),
            ("refused attempts by reason", str(dict(result.refusals) or "none")),
            ("lost connections of callers", str(dict(result.errors) or "none")),
        ]
        width = max(len(name) for name, _ in rows)
        return "\n".join(f"{name.ljust(width)}  {value}" for name, value in rows)


async def run_demo(
    deployment: str, generations: int, calls: int, rate_per_s: float, seed: int
) -> DemoReport:
    """Run load on a fleet, kill an entry and an engine meanwhile, and report the results."""
    started_s = time.monotonic()
    async with Fleet(deployment, seed=seed) as fleet:
        print(f"{len(fleet.entries)} entries ready after {time.monotonic() - started_s:.1f} s")
        load = Load(load_plan(fleet, generations, calls, rate_per_s, seed))
        load_task = asyncio.create_task(load.run())
        await asyncio.sleep(KILL_ENTRY_AFTER_S)
        fleet.entry(2).kill()
        print("killed entry-2")
        await asyncio.sleep(KILL_ENGINE_AFTER_S - KILL_ENTRY_AFTER_S)
        killed_engine = fleet.engines[0]
        killed_engine.kill()
        print(f"killed {killed_engine.name}")
        result = await load_task
        running_engines = [engine.name for engine in fleet.engines if engine.running]
        stats = list(await asyncio.gather(*(fleet.stats(name) for name in running_engines)))
        engine_hours = len(fleet.engines) * result.duration_s / 3600.0
        cost = engine_hours * fleet.engine_price_per_h
        return DemoReport(result, await fleet.executions(), stats, engine_hours, cost)


def load_plan(fleet: Fleet, generations: int, calls: int, rate_per_s: float, seed: int) -> LoadPlan:
    """Return a load plan for all services of a fleet, sent to its running entries.

    :param generations: number of streamed requests
    :param calls: number of non-idempotent calls
    """
    deployment = fleet.deployment
    services = [*deployment.engines, deployment.plain_service]
    numbers = range(1, len(fleet.entries) + 1)

    def urls() -> list[str]:
        return [fleet.caller_url(number) for number in numbers if fleet.entry(number).running]

    return LoadPlan(
        urls=urls,
        models={service: deployment.model(service) for service in deployment.engines},
        api_keys={service: list(deployment.api_keys(service).values()) for service in services},
        plain_service=deployment.plain_service,
        non_idempotent_path=deployment.non_idempotent_path,
        generations=generations,
        calls=calls,
        rate_per_s=rate_per_s,
        seed=seed,
    )


def _retried_count(result: LoadResult) -> int:
    return sum(item.attempts > 1 for item in result.outcomes)


def _percentiles_text(histogram: object) -> str:
    values = (milliseconds(histogram, percentile) for percentile in (50, 95, 99))
    return " / ".join(f"{value:.1f}" for value in values) + " ms"
