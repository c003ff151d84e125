"""Experiment on reclaim: a zone's engines go with notice; tokens recomputed and bytes billed."""

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
    MARGIN_S,
    TOKENS_PER_MILLION,
    MoveQuery,
    plan_move,
)
from godwitpath.routing.learning import PrefixMemory
from godwitpath.routing.prefix import BLOCK_TOKENS
from godwitpath_bench.report import SEEDS, Table, in_parallel, percentile
from godwitpath_bench.routing import RATES
from godwitpath_bench.work import REGIONS, Call, Workload

NOTICES_S = (30.0, 8.0)
"""Notice of the cloud, and one that an entry hears of late."""

ENGINES_PER_ZONE = 2
ZONES = 3
BETWEEN_S = 0.05
"""Time between tokens on a busy engine."""

PREFILL_TOKENS_PER_S = 16_000.0
AWAY_PART = 0.3
"""Part of the home engine's work that goes elsewhere for its load."""

FULL_PART = 0.35
"""Part of the moved work that the region's engines left cannot take while replacements are refused.
It goes to another region."""

RECLAIMS_AT_S = (100.0, 140.0, 180.0, 220.0)
"""Moments at each of which the zone's reclaim is looked at on its own."""

CACHE_BLOCKS = 640
PRICES = TrafficPrices()


@dataclass(slots=True, frozen=True)
class Job:
    """One seed's work of a deployment."""

    deployment: str
    seed: int
    notice_s: float


@dataclass(slots=True)
class Engine:
    """An engine with the prefixes that it computed."""

    name: str
    region: str
    zone: int
    cache: PrefixMemory = field(default_factory=lambda: PrefixMemory(CACHE_BLOCKS))


@dataclass(slots=True, frozen=True)
class Moved:
    """A generation whose engine goes.

    :ivar delivered: tokens delivered at the notice
    :ivar cached: prompt tokens that the new engine has
    """

    call: Call
    source: str
    delivered: int
    cached: int
    same_region: bool
    notice_s: float

    @property
    def context(self) -> int:
        """Prompt and delivered tokens."""
        return self.call.prompt_tokens + self.delivered

    @property
    def remaining_s(self) -> float:
        """Time that it still needs where it is."""
        return (self.call.output_tokens - self.delivered) * BETWEEN_S

    @property
    def ends_in_time(self) -> bool:
        """Whether it ends within the notice."""
        return self.remaining_s <= self.notice_s - MARGIN_S


Choose = Callable[[Moved], str]
"""Returns `finish`, `export`, `continue` or `restart`."""


def rule(moved: Moved) -> str:
    """Choose as the product does."""
    query = MoveQuery(
        notice_left_s=moved.notice_s,
        remaining_s=moved.remaining_s,
        context_tokens=moved.context,
        cached_tokens=moved.cached,
        same_region=moved.same_region,
        prices=PRICES,
    )
    return plan_move(query).kind


WAYS: dict[str, Choose] = {
    "godwitpath": rule,
    "finish or export": lambda moved: "finish" if moved.ends_in_time else "export",
    "finish or continue": lambda moved: "finish" if moved.ends_in_time else "continue",
    "export always": lambda _: "export",
    "continue always": lambda _: "continue",
    "start over": lambda _: "restart",
}
"""Ways of choosing by name, the product's first."""


def reclaimed(job: Job) -> list[list[Moved]]:
    """Return the generations that each reclaim meets."""
    rng = Random(f"reclaim/{job.deployment}/{job.seed}")
    calls = Workload(job.deployment, job.seed, rate=RATES[job.deployment]).calls()
    regions = REGIONS[job.deployment]
    engines = [
        Engine(f"{region}-{zone}-{number}", region, zone)
        for region in regions
        for zone in range(ZONES)
        for number in range(ENGINES_PER_ZONE)
    ]
    waves: list[list[Moved]] = []
    placed: list[tuple[Call, Engine]] = []
    times = list(RECLAIMS_AT_S)
    for call in calls:
        if times and call.at_s > times[0]:
            waves.append(_met(placed, engines, times.pop(0), job.notice_s, rng))
        here = [engine for engine in engines if engine.region == call.region]
        home = rank(call.blocks[-1], here, lambda engine: engine.name)
        engine = rng.choice(here) if rng.random() < AWAY_PART else home[0]
        engine.cache.add(call.blocks)
        placed.append((call, engine))
    return waves


def _met(
    placed: list[tuple[Call, Engine]],
    engines: list[Engine],
    now_s: float,
    notice_s: float,
    rng: Random,
) -> list[Moved]:
    """Return what runs in the zone of the largest region at a time, with its new engines."""
    region = engines[0].region
    moved = []
    for call, engine in placed:
        delivered = int((now_s - call.at_s) / BETWEEN_S)
        ends_s = call.at_s + call.output_tokens * BETWEEN_S
        if engine.region != region or engine.zone != 0 or ends_s <= now_s:
            continue
        same = rng.random() >= FULL_PART
        left = [e for e in engines if (e.region == region) == same and (e.zone != 0 or not same)]
        target = rank(call.blocks[-1], left, lambda each: each.name)[0]
        depth = target.cache.depth(call.blocks)
        cached = min(depth * BLOCK_TOKENS, call.prompt_tokens - 1)
        moved.append(Moved(call, engine.name, delivered, cached, same, notice_s))
    return moved


@dataclass
class Bill:
    """What the moves of one reclaim cost.

    :ivar link_free_at_s: when each source's link is free, from the notice
    :ivar gaps_s: how long each moved stream stood still
    """

    recomputed: int = 0
    generated_again: int = 0
    billed_bytes: float = 0.0
    too_late: int = 0
    lost: int = 0
    kinds: dict[str, int] = field(default_factory=dict)
    gaps_s: list[float] = field(default_factory=list)
    link_free_at_s: dict[str, float] = field(default_factory=dict)

    def take(self, moved: Moved, kind: str) -> None:
        """Add one generation."""
        self.kinds[kind] = self.kinds.get(kind, 0) + 1
        if kind == "finish":
            self.lost += moved.remaining_s > moved.notice_s
        elif kind == "export":
            self._export(moved)
        else:
            self._compute(moved, kind == "restart")

    def _export(self, moved: Moved) -> None:
        size = moved.context * CACHE_BYTES_PER_TOKEN
        rate = LINK_BYTES_PER_S if moved.same_region else CROSS_REGION_LINK_BYTES_PER_S
        # The exports of an engine share its link, one after another.
        key = f"{moved.source}/{moved.same_region}"
        ends_s = self.link_free_at_s.get(key, 0.0) + size / rate
        if ends_s > moved.notice_s - MARGIN_S:
            self.too_late += 1
            self._compute(moved, False)
            return
        self.link_free_at_s[key] = ends_s
        self.gaps_s.append(size / rate)
        self.billed_bytes += 0 if moved.same_region else size

    def _compute(self, moved: Moved, again: bool) -> None:
        tokens = moved.call.prompt_tokens - moved.cached + (0 if again else moved.delivered)
        self.recomputed += tokens
        self.generated_again += moved.delivered if again else 0
        again_s = moved.delivered * BETWEEN_S if again else 0.0
        self.gaps_s.append(tokens / PREFILL_TOKENS_PER_S + again_s)


def run_job(job: Job) -> dict[str, dict[str, float]]:
    """Play one seed's reclaims under every way."""
    waves = reclaimed(job)
    figures = {}
    for name, choose in WAYS.items():
        bills = []
        for wave in waves:
            bill = Bill()
            for moved in wave:
                bill.take(moved, choose(moved))
            bills.append(bill)
        figures[name] = _figures(bills, sum(map(len, waves)))
    return figures


def _figures(bills: list[Bill], generations: int) -> dict[str, float]:
    recomputed = sum(bill.recomputed for bill in bills)
    again = sum(bill.generated_again for bill in bills)
    billed = sum(bill.billed_bytes for bill in bills)
    computed_cost = recomputed * PRICES.recomputed_per_million_tokens / TOKENS_PER_MILLION
    sent_cost = billed * PRICES.cross_region_per_gb / BYTES_PER_GB
    return {
        "generations_met": float(generations),
        "tokens_recomputed": float(recomputed),
        "tokens_generated_again": float(again),
        "megabytes_billed": billed / 1e6,
        "price_of_both_in_thousandths": 1000.0 * (computed_cost + sent_cost),
        "finished_in_place": float(sum(bill.kinds.get("finish", 0) for bill in bills)),
        "exports_that_came_too_late": float(sum(bill.too_late for bill in bills)),
        "stream_stood_still_p95_s": percentile((g for b in bills for g in b.gaps_s), 0.95),
        "lost": float(sum(bill.lost for bill in bills)),
    }


def reclaim(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare the rule with exporting always, continuing always, and starting over."""
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
    """Add the experiment's command."""
    app.command()(reclaim)
