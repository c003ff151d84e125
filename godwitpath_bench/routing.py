"""Routing experiment: recomputed tokens, time to first token and cost at the latency target."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import typer

from godwitpath.config.model import LatencyTarget
from godwitpath.routing.choose import PRIORITY_WAIT_FACTORS
from godwitpath_bench.engine_model import EngineSpec
from godwitpath_bench.fleet import Fleet, Outcome
from godwitpath_bench.policies import POLICIES
from godwitpath_bench.report import SEEDS, Table, in_parallel, percentile
from godwitpath_bench.workload import REGIONS, Call, Workload

ENGINES = {"ramdin": 5, "regroupement": 6}
"""Number of engines of the generation service at present, by deployment."""

RATE_FACTORS = {"ramdin": 3.25, "regroupement": 2.0}
"""Rate factor of the workload at which round robin needs `ENGINES` to meet the target."""

DURATIONS_S = {1: 240.0, 4: 60.0}
"""Duration of the workload, by its scale: the multiple of the deployment's present size."""

SEARCH_DRAIN_S = 30.0
"""Time simulated after the last call in the search for the cheapest fleet."""

REGION_INDICES = (0, 1, 0, 2, 0, 1)
"""Indices of the regions to which engines are assigned in rotation."""

PRICES_PER_H = (2.0, 2.3, 2.6)
"""Price of an engine per hour, by region index."""

COSTED_POLICIES = ("godwitpath", "least outstanding", "round robin")
"""Policies for which the cheapest fleet is searched."""

TARGET_FRACTION = 0.95
"""Fraction of the calls of each kind that must meet the latency target."""

TARGET = LatencyTarget()


@dataclass(slots=True, frozen=True)
class Job:
    """Parameters of one run."""

    deployment: str
    scale: int
    seed: int


def engine_specs(deployment: str, engines: int) -> list[EngineSpec]:
    """Return engines distributed over the deployment's regions, with two zones in each."""
    regions = REGIONS[deployment]
    fleet = []
    for number in range(engines):
        region_index = REGION_INDICES[number % len(REGION_INDICES)]
        region = regions[region_index]
        zone = f"{region}-{number // len(REGION_INDICES) % 2}"
        fleet.append(EngineSpec(f"engine-{number}", region, zone, PRICES_PER_H[region_index]))
    return fleet


def met_target(outcome: Outcome) -> bool:
    """Return whether a call met the latency target, scaled by the factor of its priority."""
    limit_s = TARGET.first_token_s * PRIORITY_WAIT_FACTORS[outcome.call.priority]
    in_time = (
        outcome.first_token_s <= limit_s and outcome.between_tokens_s <= TARGET.between_tokens_s
    )
    return outcome.state == "finished" and in_time


def meets_target(outcomes: Iterable[Outcome]) -> bool:
    """Return whether the required fraction of the calls of every kind met the target."""
    kinds: dict[str, list[bool]] = {}
    for outcome in outcomes:
        kinds.setdefault(outcome.call.kind, []).append(met_target(outcome))
    return all(sum(results) >= TARGET_FRACTION * len(results) for results in kinds.values())


def cheapest_fleet_per_h(policy: str, calls: list[Call], seed: int, engines: int) -> float:
    """Return the price per hour of the smallest fleet that meets the target.

    :param engines: present number of engines; the search covers a third to twice this number
    """
    low, high = engines // 3, 2 * engines
    while high - low > 1:
        middle = (low + high) // 2
        fleet = Fleet(engine_specs("ramdin", middle), POLICIES[policy], seed)
        if meets_target(fleet.run(calls, SEARCH_DRAIN_S)):
            high = middle
        else:
            low = middle
    return sum(spec.price_per_h for spec in engine_specs("ramdin", high))


def min_computed_tokens(calls: Iterable[Call]) -> int:
    """Return the prompt tokens to prefill with one unbounded cache in each region."""
    seen: set[tuple[str, str]] = set()
    tokens = 0
    for call in calls:
        new_blocks = [block for block in call.blocks if (call.region, block) not in seen]
        seen.update((call.region, block) for block in new_blocks)
        tokens += call.prompt_tokens - 256 * (len(call.blocks) - len(new_blocks))
    return tokens


def run_job(job: Job) -> dict[str, dict[str, float]]:
    """Simulate the workload of a job under every policy."""
    deployment, scale, seed = job.deployment, job.scale, job.seed
    workload = Workload(deployment, seed, DURATIONS_S[scale], scale, RATE_FACTORS[deployment])
    calls = workload.calls()
    min_tokens = min_computed_tokens(calls)
    figures = {}
    for name, policy in POLICIES.items():
        engines = ENGINES[deployment] * scale
        fleet = Fleet(engine_specs(deployment, engines), policy, seed)
        outcomes = fleet.run(calls)
        figures[name] = _figures(fleet, outcomes)
        computed = figures[name]["computed_tokens"]
        figures[name]["recomputed_tokens"] = computed - min_tokens
        figures[name]["computed_over_first_reads"] = computed / min_tokens
        if deployment == "ramdin" and name in COSTED_POLICIES:
            figures[name]["cost_at_target_per_h"] = cheapest_fleet_per_h(name, calls, seed, engines)
    return figures


def _figures(fleet: Fleet, outcomes: list[Outcome]) -> dict[str, float]:
    kinds = sorted({outcome.call.kind for outcome in outcomes})
    computed = sum(engine.computed_tokens for engine in fleet.engines.values())
    figures = {
        "computed_tokens": float(computed),
        "first_token_p95_s": percentile((outcome.first_token_s for outcome in outcomes), 0.95),
    }
    for kind in kinds:
        first_token_times_s = (
            outcome.first_token_s for outcome in outcomes if outcome.call.kind == kind
        )
        figures[f"first_token_p95_s_{kind}"] = percentile(first_token_times_s, 0.95)
    figures["between_tokens_p95_s"] = percentile((o.between_tokens_s for o in outcomes), 0.95)
    figures["met_target_part"] = sum(map(met_target, outcomes)) / len(outcomes)
    price = sum(spec.price_per_h for spec in fleet.specs) * outcomes[-1].call.at_s / 3600.0
    figures["price_per_1000_in_target"] = 1000.0 * price / max(1, sum(map(met_target, outcomes)))
    figures["sent_to_another_region"] = sum(o.remote_region for o in outcomes) / len(outcomes)
    return figures


def routing(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare prefix routing with least outstanding, in all regions or one, and round robin."""
    jobs = [
        Job(deployment, scale, seed + number)
        for deployment in ("ramdin", "regroupement")
        for scale in (4, 1)
        for number in range(seeds)
    ]
    tables: dict[str, Table] = {}
    for job, figures in zip(jobs, in_parallel(run_job, jobs), strict=True):
        title = f"{job.deployment}, {job.scale} times today's size"
        table = tables.setdefault(title, Table(title))
        for policy, values in figures.items():
            table.add(policy, **values)
    for table in tables.values():
        table.show()


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""
    app.command()(routing)
