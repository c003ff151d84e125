"""Experiment on capacity: a day of prices and reclaim waves, its cost and time below the target."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

import typer

from godwitpath.capacity.duty import CapacityDuty, CapacityTarget
from godwitpath.capacity.plan import FleetPlan, OfferKind, PlannedSlot, Planner, plan_fleet
from godwitpath.capacity.reports import capacity_duty
from godwitpath.config.model import FleetSpec
from godwitpath.duties.duty import Duty, Fence
from godwitpath.ports.engine import Address
from godwitpath.ports.platform import CloudRefused, Instance, Offer
from godwitpath_bench.report import SEEDS, Table, in_parallel
from godwitpath_standin.fakes.kv import FakeKeyValueStore
from godwitpath_standin.fakes.platform import FakePlatform, loop_platform
from godwitpath_standin.platform_core import Spare

DAY_S = 86_400.0
STEP_S = 20.0
"""Time between two steps of the duty, longer than in the product, so that a day is short."""

ZONES = ("r0-a", "r0-b", "r0-c")
SPARES = 40
ON_DEMAND_PER_H = (2.0, 2.1, 2.2)
READY_S = 90.0
"""Time from taking an instance until its engine serves."""

NOTICE_S = 30.0
WAVES = 6
"""Reclaim waves in a day, each of one zone."""

WAVE_S = (600.0, 2400.0)
"""How long a zone's reclaimable instances are refused after a wave."""

SINGLE_RECLAIM_PER_H = 1 / 24
"""Rate at which the cloud takes back one reclaimable instance."""

NEEDED = (3, 12)
"""Engines that the work needs at night and at the peak."""

HEADROOM = 1.25
MULTIPLES = (1.0, 2.0)
"""Multiples of the needed engines that are tried until a way holds the target at all times."""

FLEET = FleetSpec(maximum=60)


class DayLoop(asyncio.SelectorEventLoop):
    """A loop whose time is moved by hand; nothing here waits in between.

    :ivar now_s: the time
    """

    now_s = 0.0

    def time(self) -> float:
        """Return the time of the day."""
        return self.now_s


class Holds:
    """A keeper that holds the duty for the whole day."""

    def holding(self, duty: Duty) -> Fence | None:
        """Return a fence without end."""
        return Fence(duty, 1, math.inf)


class Market(FakePlatform):
    """A cloud with prices that move and zones that refuse reclaimable instances for a while.

    :ivar refusing_until_s: by zone
    :ivar ready_at_s: when the engine of an instance serves
    """

    def __init__(self, seed: int) -> None:
        super().__init__(loop_platform())
        self.rng = Random(f"market/{seed}")
        self.refusing_until_s = dict.fromkeys(ZONES, 0.0)
        self.ready_at_s: dict[str, float] = {}
        self.factors = {zone: self.rng.uniform(0.3, 0.45) for zone in ZONES}
        self.waves = sorted(
            (self.rng.uniform(0, DAY_S), self.rng.choice(ZONES), self.rng.uniform(*WAVE_S))
            for _ in range(WAVES)
        )
        for zone in ZONES:
            names = (f"{zone}-{number}" for number in range(SPARES))
            self.core.register([], [Spare(n, "r0", zone, "gpu", Address("", 0)) for n in names])

    async def acquire(self, offer: Offer, purpose: str, request_token: str) -> Instance:
        """Take an instance unless its zone refuses."""
        now_s = asyncio.get_running_loop().time()
        if offer.reclaimable and self.refusing_until_s[offer.availability_zone] > now_s:
            raise CloudRefused("no reclaimable instance in the zone")
        instance = await super().acquire(offer, purpose, request_token)
        self.ready_at_s[instance.instance_id] = now_s + READY_S
        return instance

    def move(self, now_s: float) -> None:
        """Move prices, and take back what is taken back in a step."""
        for zone in ZONES:
            factor = self.factors[zone] * math.exp(self.rng.gauss(0.0, 0.003))
            self.factors[zone] = min(0.9, max(0.2, factor))
        self.core.set_offers(list(self._priced()))
        while self.waves and self.waves[0][0] <= now_s:
            _, zone, lasts_s = self.waves.pop(0)
            self.refusing_until_s[zone] = now_s + lasts_s
            self.core.reclaim(zone, NOTICE_S)
        live = {each.instance_id for each in self.running() if each.reclaimable}
        part = SINGLE_RECLAIM_PER_H * STEP_S / 3600.0
        for zone in ZONES:
            # The same number is drawn for every way, however many instances it has.
            draws = [self.rng.random() for _ in range(SPARES)]
            names = [f"{zone}-{number}" for number, draw in enumerate(draws) if draw < part]
            self.core.reclaim([name for name in names if name in live], NOTICE_S)
        for gone in self.core.take_reclaimed():
            spare = Spare(gone.instance_id, "r0", gone.availability_zone, "gpu", gone.address)
            self.core.register([], [spare])

    def running(self) -> list[Instance]:
        """Return the instances that there really are."""
        self.core.list_lag_s = 0.0
        shown = self.core.instances()
        self.core.list_lag_s = 1.0
        return shown

    def serving(self, instances: Iterable[Instance], now_s: float) -> int:
        """Return how many of the engines serve."""
        return sum(
            each.state == "live" and self.ready_at_s[each.instance_id] <= now_s
            for each in instances
        )

    def _priced(self) -> Iterable[Offer]:
        for zone, price in zip(ZONES, ON_DEMAND_PER_H, strict=True):
            yield Offer("r0", zone, "gpu", False, price)
            yield Offer("r0", zone, "gpu", True, price * self.factors[zone])


def on_demand(
    needed: int,
    fleet: FleetSpec,
    offers: Iterable[Offer],
    running: Sequence[Offer] = (),
    at_most: Mapping[OfferKind, int] | None = None,
) -> FleetPlan:
    """Plan as the product does, with instances that are never taken back."""
    kept = [offer for offer in offers if not offer.reclaimable]
    return plan_fleet(needed, fleet, kept, running, at_most)


def cheapest_first(
    needed: int,
    fleet: FleetSpec,
    offers: Iterable[Offer],
    running: Sequence[Offer] = (),
    at_most: Mapping[OfferKind, int] | None = None,
) -> FleetPlan:
    """Plan the needed engines at the lowest price, whatever their zones."""
    left = min(max(needed, fleet.minimum), fleet.maximum)
    slots: list[PlannedSlot] = []
    for offer in sorted(offers, key=lambda each: each.price_per_h):
        kind = (offer.availability_zone, offer.machine_class, offer.reclaimable)
        count = min(left, (at_most or {}).get(kind, left))
        if count:
            slots.append(PlannedSlot(offer, count))
            left -= count
    price = sum(slot.offer.price_per_h * slot.count for slot in slots)
    return FleetPlan(slots, price, 0, left)


PLANNERS: dict[str, Planner] = {
    "godwitpath": plan_fleet,
    "all on-demand": on_demand,
    "cheapest first": cheapest_first,
}
"""Ways of planning by name, the product's first."""


@dataclass(slots=True, frozen=True)
class Job:
    """One seed's day under one way, with a multiple of the needed engines."""

    seed: int
    way: str
    multiple: float


def needed_at(now_s: float, rng: Random) -> float:
    """Return the engines that the work keeps busy at a time of the day."""
    low, high = NEEDED
    level = 0.5 - 0.5 * math.cos(2 * math.pi * now_s / DAY_S)
    return (low + (high - low) * level) * math.exp(rng.gauss(0.0, 0.05))


async def idle(_: str) -> bool:
    """Say that an instance has no work left."""
    return True


async def _day(job: Job, loop: DayLoop) -> dict[str, float]:
    market, rng = Market(job.seed), Random(f"work/{job.seed}")
    work = needed_at(0.0, rng)

    def target() -> CapacityTarget:
        return CapacityTarget(FLEET, math.ceil(work * HEADROOM * job.multiple))

    duty = CapacityDuty(
        "lm",
        "r0",
        capacity_duty("lm", "r0"),
        Holds(),  # type: ignore[arg-type]
        FakeKeyValueStore(),
        market,
        market,
        target,
        idle,
        Random(job.seed),
        PLANNERS[job.way],
    )
    cost = below_s = worst = 0.0
    while loop.now_s < DAY_S:
        market.move(loop.now_s)
        await duty.step()
        loop.now_s += STEP_S
        work = needed_at(loop.now_s, rng)
        running = market.running()
        cost += sum(each.price_per_h for each in running) * STEP_S / 3600.0
        short = math.ceil(work) - market.serving(running, loop.now_s)
        if loop.now_s > 10 * READY_S and short > 0:
            below_s += STEP_S
            worst = max(worst, short / math.ceil(work))
    return {
        "cost_of_the_day": cost,
        "minutes_below_target": below_s / 60.0,
        "largest_part_lacking": worst,
        "instances_taken": float(duty.counters.acquired),
        "refused": float(duty.counters.refused),
    }


def run_day(job: Job) -> dict[str, float]:
    """Play one day."""
    loop = DayLoop()
    try:
        return loop.run_until_complete(_day(job, loop))
    finally:
        loop.close()


def run_seed(seed: int) -> dict[str, dict[str, float]]:
    """Play one seed's day under every way, and find what each pays to hold the target."""
    figures = {}
    for way in PLANNERS:
        figures[way] = run_day(Job(seed, way, 1.0))
        for multiple in MULTIPLES:
            tried = run_day(Job(seed, way, multiple)) if multiple > 1.0 else figures[way]
            if not tried["minutes_below_target"]:
                figures[way] |= {
                    "multiple_that_holds_the_target": multiple,
                    "cost_at_the_target": tried["cost_of_the_day"],
                }
                break
        figures[way]["held_by_some_multiple"] = float("cost_at_the_target" in figures[way])
    return figures


def capacity(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare the planned fleet with all on-demand and with the cheapest instances first."""
    table = Table(f"one service, {len(ZONES)} zones, a day with {WAVES} reclaim waves")
    for figures in in_parallel(run_seed, range(seed, seed + seeds)):
        for way, values in figures.items():
            table.add(way, **values)
    table.show()


def register(app: typer.Typer) -> None:
    """Add the experiment's command."""
    app.command()(capacity)
