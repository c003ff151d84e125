"""Experiment on routing: recomputed tokens, time to first token and cost at the latency target."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import typer

from godwitpath.config.model import LatencyTarget
from godwitpath.routing.choose import PATIENCE
from godwitpath_bench.engine_model import EngineSpec
from godwitpath_bench.fleet import Fleet, Outcome
from godwitpath_bench.policies import POLICIES
from godwitpath_bench.report import SEEDS, Table, in_parallel, percentile
from godwitpath_bench.work import REGIONS, Call, Workload

ENGINES = {"ramdin": 5, "regroupement": 6}
"""Engines of each deployment's generation service today."""

RATES = {"ramdin": 3.25, "regroupement": 2.0}
"""Multiple of the work at which round robin needs today's engines."""

DURATIONS_S = {1: 240.0, 4: 60.0}
"""Length of the work at each scale."""

SEARCH_DRAIN_S = 30.0
"""Time after the last call in which the search for the cheapest fleet waits for answers."""

PLACES = (0, 1, 0, 2, 0, 1)
"""Region of each engine in turn."""

PRICES_PER_H = (2.0, 2.3, 2.6)
"""Price of an engine's hour in each region."""

COSTED = ("godwitpath", "least outstanding", "round robin")
"""Policies whose cheapest fleet is sought."""

TARGET_PART = 0.95
"""Part of the calls of each kind that must meet the latency target."""

TARGET = LatencyTarget()
"""The latency target."""


@dataclass(slots=True, frozen=True)
class Job:
    """One seed's work of a deployment at a scale."""

    deployment: str
    scale: int
    seed: int


def specs(deployment: str, engines: int) -> list[EngineSpec]:
    """Return a fleet spread over the deployment's regions, two zones in each."""
    regions = REGIONS[deployment]
    fleet = []
    for number in range(engines):
        place = PLACES[number % len(PLACES)]
        region = regions[place]
        zone = f"{region}-{number // len(PLACES) % 2}"
        fleet.append(EngineSpec(f"engine-{number}", region, zone, PRICES_PER_H[place]))
    return fleet


def met(outcome: Outcome) -> bool:
    """Return whether a call met the latency target with the patience of its priority."""
    first_s = TARGET.first_token_s * PATIENCE[outcome.call.priority]
    in_time = outcome.first_s <= first_s and outcome.between_s <= TARGET.between_tokens_s
    return outcome.state == "finished" and in_time


def meets_target(outcomes: Iterable[Outcome]) -> bool:
    """Return whether enough calls of every kind met the target."""
    kinds: dict[str, list[bool]] = {}
    for outcome in outcomes:
        kinds.setdefault(outcome.call.kind, []).append(met(outcome))
    return all(sum(results) >= TARGET_PART * len(results) for results in kinds.values())


def cheapest(policy: str, calls: list[Call], seed: int, engines: int) -> float:
    """Return the price of an hour of the smallest fleet that meets the target.

    :param engines: engines of today; fleets between a third and twice of them are tried
    """
    low, high = engines // 3, 2 * engines
    while high - low > 1:
        middle = (low + high) // 2
        fleet = Fleet(specs("ramdin", middle), POLICIES[policy], seed)
        if meets_target(fleet.run(calls, SEARCH_DRAIN_S)):
            high = middle
        else:
            low = middle
    return sum(spec.price_per_h for spec in specs("ramdin", high))


def first_reads(calls: Iterable[Call]) -> int:
    """Return the tokens that must be computed with one endless cache in each region."""
    seen: set[tuple[str, str]] = set()
    tokens = 0
    for call in calls:
        new = [block for block in call.blocks if (call.region, block) not in seen]
        seen.update((call.region, block) for block in new)
        tokens += call.prompt_tokens - 256 * (len(call.blocks) - len(new))
    return tokens


def run_job(job: Job) -> dict[str, dict[str, float]]:
    """Play one seed's work under every policy."""
    deployment, scale, seed = job.deployment, job.scale, job.seed
    work = Workload(deployment, seed, DURATIONS_S[scale], scale, RATES[deployment])
    calls = work.calls()
    least = first_reads(calls)
    figures = {}
    for name, policy in POLICIES.items():
        engines = ENGINES[deployment] * scale
        fleet = Fleet(specs(deployment, engines), policy, seed)
        outcomes = fleet.run(calls)
        figures[name] = _figures(fleet, outcomes)
        computed = figures[name]["computed_tokens"]
        figures[name]["recomputed_tokens"] = computed - least
        figures[name]["computed_over_first_reads"] = computed / least
        if deployment == "ramdin" and name in COSTED:
            figures[name]["cost_at_target_per_h"] = cheapest(name, calls, seed, engines)
    return figures


def _figures(fleet: Fleet, outcomes: list[Outcome]) -> dict[str, float]:
    kinds = sorted({outcome.call.kind for outcome in outcomes})
    computed = sum(engine.computed_tokens for engine in fleet.engines.values())
    figures = {
        "computed_tokens": float(computed),
        "first_token_p95_s": percentile((outcome.first_s for outcome in outcomes), 0.95),
    }
    for kind in kinds:
        firsts = (outcome.first_s for outcome in outcomes if outcome.call.kind == kind)
        figures[f"first_token_p95_s_{kind}"] = percentile(firsts, 0.95)
    figures["between_tokens_p95_s"] = percentile((o.between_s for o in outcomes), 0.95)
    figures["met_target_part"] = sum(map(met, outcomes)) / len(outcomes)
    price = sum(spec.price_per_h for spec in fleet.specs) * outcomes[-1].call.at_s / 3600.0
    figures["price_per_1000_in_target"] = 1000.0 * price / max(1, sum(map(met, outcomes)))
    figures["sent_to_another_region"] = sum(o.far for o in outcomes) / len(outcomes)
    return figures


def routing(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare prefix routing with least outstanding, anywhere and at home, and round robin."""
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
    """Add the experiment's command."""
    app.command()(routing)
