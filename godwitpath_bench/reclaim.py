"""Reclaim experiment: recomputed tokens and billed bytes when a zone is reclaimed with notice."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import typer

from godwitpath.config.model import TrafficPrices
from godwitpath.ranking import rank
from godwitpath.recovery.move import (
    BYTES_PER_GB,
    CACHE_BYTES_PER_TOKEN,
    CROSS_REGION_LINK_BYTES_PER_S,
    LINK_BYTES_PER_S,
    NOTICE_MARGIN_S,
    TOKENS_PER_MILLION,
    MoveQuery,
    plan_move,
)
from godwitpath.routing.estimators import CachedPrefixEstimate
from godwitpath.routing.prefix import BLOCK_TOKENS
from godwitpath_bench.report import SEEDS, Table, in_parallel, percentile
from godwitpath_bench.routing import RATE_FACTORS
from godwitpath_bench.workload import REGIONS, Call, Workload

NOTICES_S = (30.0, 8.0)
"""Time left at a reclaim notice: as given by the cloud, and when an entry receives it late."""

ENGINES_PER_ZONE = 2
ZONES = 3
BETWEEN_TOKENS_S = 0.05
"""Time between tokens on a busy engine."""

PREFILL_TOKENS_PER_S = 16_000.0
NON_PREFERRED_FRACTION = 0.3
"""Fraction of the calls that go to a random local engine because the preferred one is loaded."""

CROSS_REGION_FRACTION = 0.35
"""Fraction of the moved generations that go to another region, because the remaining engines of the
region are full while replacements are refused."""

RECLAIMS_AT_S = (100.0, 140.0, 180.0, 220.0)
"""Simulated times of the reclaims; each reclaim is evaluated independently of the others."""

CACHE_BLOCKS = 640
PRICES = TrafficPrices()


@dataclass(slots=True, frozen=True)
class Job:
    """Parameters of one run."""

    deployment: str
    seed: int
    notice_s: float


@dataclass(slots=True)
class Engine:
    """An engine with its cached prefixes."""

    name: str
    region: str
    zone: int
    cache: CachedPrefixEstimate = field(default_factory=lambda: CachedPrefixEstimate(CACHE_BLOCKS))


@dataclass(slots=True, frozen=True)
class MovedGeneration:
    """A generation on a reclaimed engine.

    :ivar source: name of the reclaimed engine
    :ivar delivered_tokens: tokens delivered at the time of the notice
    :ivar cached_tokens: prompt tokens cached by the new engine
    :ivar same_region: whether the new engine is in the region of the reclaimed one
    """

    call: Call
    source: str
    delivered_tokens: int
    cached_tokens: int
    same_region: bool
    notice_s: float

    @property
    def context_tokens(self) -> int:
        """Number of prompt and delivered tokens."""
        return self.call.prompt_tokens + self.delivered_tokens

    @property
    def remaining_s(self) -> float:
        """Time until the generation would end on its present engine."""
        return (self.call.output_tokens - self.delivered_tokens) * BETWEEN_TOKENS_S

    @property
    def ends_within_notice(self) -> bool:
        """Whether the generation ends within the notice, less the safety margin."""
        return self.remaining_s <= self.notice_s - NOTICE_MARGIN_S


MoveRule = Callable[[MovedGeneration], str]
"""Returns the kind of move: `finish`, `export`, `continue` or `restart`."""


def product_rule(moved: MovedGeneration) -> str:
    """Choose the kind of move as the product does."""
    query = MoveQuery(
        notice_left_s=moved.notice_s,
        remaining_s=moved.remaining_s,
        context_tokens=moved.context_tokens,
        cached_tokens=moved.cached_tokens,
        same_region=moved.same_region,
        prices=PRICES,
    )
    return plan_move(query).kind


MOVE_RULES: dict[str, MoveRule] = {
    "godwitpath": product_rule,
    "finish or export": lambda moved: "finish" if moved.ends_within_notice else "export",
    "finish or continue": lambda moved: "finish" if moved.ends_within_notice else "continue",
    "export always": lambda _: "export",
    "continue always": lambda _: "continue",
    "start over": lambda _: "restart",
}
"""Move rules by row label, the product's first."""


def reclaimed_generations(job: Job) -> list[list[MovedGeneration]]:
    """Return the generations affected by each reclaim."""
    rng = Random(f"reclaim/{job.deployment}/{job.seed}")
    calls = Workload(job.deployment, job.seed, rate_factor=RATE_FACTORS[job.deployment]).calls()
    regions = REGIONS[job.deployment]
    engines = [
        Engine(f"{region}-{zone}-{number}", region, zone)
        for region in regions
        for zone in range(ZONES)
        for number in range(ENGINES_PER_ZONE)
    ]
    waves: list[list[MovedGeneration]] = []
    placements: list[tuple[Call, Engine]] = []
    reclaim_times_s = list(RECLAIMS_AT_S)
    for call in calls:
        if reclaim_times_s and call.at_s > reclaim_times_s[0]:
            waves.append(
                _affected_generations(
                    placements, engines, reclaim_times_s.pop(0), job.notice_s, rng
                )
            )
        local_engines = [engine for engine in engines if engine.region == call.region]
        ranked_engines = rank(call.blocks[-1], local_engines, lambda engine: engine.name)
        engine = (
            rng.choice(local_engines)
            if rng.random() < NON_PREFERRED_FRACTION
            else ranked_engines[0]
        )
        engine.cache.add(call.blocks)
        placements.append((call, engine))
    return waves


def _affected_generations(
    placements: list[tuple[Call, Engine]],
    engines: list[Engine],
    now_s: float,
    notice_s: float,
    rng: Random,
) -> list[MovedGeneration]:
    """Return the running generations of the reclaimed zone with their new engines.

    The reclaimed zone is the first zone of the first region.
    """
    region = engines[0].region
    moved = []
    for call, engine in placements:
        delivered_tokens = int((now_s - call.at_s) / BETWEEN_TOKENS_S)
        ends_at_s = call.at_s + call.output_tokens * BETWEEN_TOKENS_S
        if engine.region != region or engine.zone != 0 or ends_at_s <= now_s:
            continue
        same_region = rng.random() >= CROSS_REGION_FRACTION
        candidates = [
            e
            for e in engines
            if (e.region == region) == same_region and (e.zone != 0 or not same_region)
        ]
        new_engine = rank(call.blocks[-1], candidates, lambda each: each.name)[0]
        cached_blocks = new_engine.cache.count_cached(call.blocks)
        cached_tokens = min(cached_blocks * BLOCK_TOKENS, call.prompt_tokens - 1)
        moved.append(
            MovedGeneration(
                call, engine.name, delivered_tokens, cached_tokens, same_region, notice_s
            )
        )
    return moved


@dataclass
class MoveCosts:
    """Costs of the moves of one reclaim.

    :ivar recomputed_tokens: prompt and output tokens prefilled again
    :ivar regenerated_tokens: output tokens generated a second time
    :ivar billed_bytes: bytes sent across regions
    :ivar late_exports: exports that could not end within the notice and were recomputed instead
    :ivar lost: generations left in place that did not end within the notice
    :ivar kinds: number of moves by kind
    :ivar stalls_s: interruption of each moved stream
    :ivar link_free_at_s: time from the notice until a link is free, by link
    """

    recomputed_tokens: int = 0
    regenerated_tokens: int = 0
    billed_bytes: float = 0.0
    late_exports: int = 0
    lost: int = 0
    kinds: dict[str, int] = field(default_factory=dict)
    stalls_s: list[float] = field(default_factory=list)
    link_free_at_s: dict[str, float] = field(default_factory=dict)

    def add(self, moved: MovedGeneration, kind: str) -> None:
        """Add the cost of moving one generation."""
        self.kinds[kind] = self.kinds.get(kind, 0) + 1
        if kind == "finish":
            self.lost += moved.remaining_s > moved.notice_s
        elif kind == "export":
            self._export(moved)
        else:
            self._recompute(moved, kind == "restart")

    def _export(self, moved: MovedGeneration) -> None:
        size_bytes = moved.context_tokens * CACHE_BYTES_PER_TOKEN
        link_bytes_per_s = LINK_BYTES_PER_S if moved.same_region else CROSS_REGION_LINK_BYTES_PER_S
        # The exports of an engine use its link one after another.
        link = f"{moved.source}/{moved.same_region}"
        ends_s = self.link_free_at_s.get(link, 0.0) + size_bytes / link_bytes_per_s
        if ends_s > moved.notice_s - NOTICE_MARGIN_S:
            self.late_exports += 1
            self._recompute(moved, False)
            return
        self.link_free_at_s[link] = ends_s
        self.stalls_s.append(size_bytes / link_bytes_per_s)
        self.billed_bytes += 0 if moved.same_region else size_bytes

    def _recompute(self, moved: MovedGeneration, restarted: bool) -> None:
        tokens = (
            moved.call.prompt_tokens
            - moved.cached_tokens
            + (0 if restarted else moved.delivered_tokens)
        )
        self.recomputed_tokens += tokens
        self.regenerated_tokens += moved.delivered_tokens if restarted else 0
        regeneration_s = moved.delivered_tokens * BETWEEN_TOKENS_S if restarted else 0.0
        self.stalls_s.append(tokens / PREFILL_TOKENS_PER_S + regeneration_s)


def run_job(job: Job) -> dict[str, dict[str, float]]:
    """Evaluate the reclaims of a run under every move rule."""
    waves = reclaimed_generations(job)
    figures = {}
    for name, move_rule in MOVE_RULES.items():
        costs = []
        for wave in waves:
            wave_costs = MoveCosts()
            for moved in wave:
                wave_costs.add(moved, move_rule(moved))
            costs.append(wave_costs)
        figures[name] = _figures(costs, sum(map(len, waves)))
    return figures


def _figures(costs: list[MoveCosts], generations: int) -> dict[str, float]:
    recomputed_sum = sum(wave_costs.recomputed_tokens for wave_costs in costs)
    regenerated = sum(wave_costs.regenerated_tokens for wave_costs in costs)
    transferred_bytes = sum(wave_costs.billed_bytes for wave_costs in costs)
    recompute_cost = recomputed_sum * PRICES.recomputed_per_million_tokens / TOKENS_PER_MILLION
    transfer_cost = transferred_bytes * PRICES.cross_region_per_gb / BYTES_PER_GB
    return {
        "generations_met": float(generations),
        "tokens_recomputed": float(recomputed_sum),
        "tokens_generated_again": float(regenerated),
        "megabytes_billed": transferred_bytes / 1e6,
        "price_of_both_in_thousandths": 1000.0 * (recompute_cost + transfer_cost),
        "finished_in_place": float(sum(wave_costs.kinds.get("finish", 0) for wave_costs in costs)),
        "exports_that_came_too_late": float(sum(wave_costs.late_exports for wave_costs in costs)),
        "stream_stood_still_p95_s": percentile((g for b in costs for g in b.stalls_s), 0.95),
        "lost": float(sum(wave_costs.lost for wave_costs in costs)),
    }


def reclaim(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare the product's rule with fixed rules: export, continue or restart."""
    jobs = [
        Job(name, seed + n, notice_s)
        for name in ("ramdin", "regroupement")
        for notice_s in NOTICES_S
        for n in range(seeds)
    ]
    tables: dict[str, Table] = {}
    for job, figures in zip(jobs, in_parallel(run_job, jobs), strict=True):
        title = f"{job.deployment}, {len(RECLAIMS_AT_S)} reclaims, notice {job.notice_s:.0f} s"
        table = tables.setdefault(title, Table(title))
        for name, values in figures.items():
            table.add(name, **values)
    for table in tables.values():
        table.show()


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""
    app.command()(reclaim)
