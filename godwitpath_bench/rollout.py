"""Experiment on the rollout of a version: time, loads refused by the store, engines that serve."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from random import Random

import typer

from godwitpath.config.model import ModelSpec, Service
from godwitpath.ports.engine import Address, EngineStatus
from godwitpath.rollout.plan import EngineSeen, PlannedOrder, RolloutPlan, as_written, plan_rollout
from godwitpath_bench.fleet import Clock
from godwitpath_bench.report import SEEDS, Table, in_parallel

ENGINES = {"base-lm": 12, "planner-lm": 24}
"""Engines of each service; the second depends on the first."""

NEEDED = {"base-lm": 8, "planner-lm": 16}
"""Engines that hold the latency target."""

STORE_LOADS = 4
"""Loads that the weight store serves at once; it refuses more."""

TRANSFER_S = 20.0
"""Time of a transfer from the store."""

START_S = (10.0, 20.0)
"""Time from the end of the transfer until the engine serves."""

DRAIN_S = (5.0, 25.0)
"""Time in which the calls on an engine end; the plain ways cut them off."""

STEP_S = 2.0
RETRY_REFUSED_S = 5.0
"""Time after which the plain ways order an engine again whose load was refused."""

CAME_BACK_AT_S = 200.0
"""When one engine comes back with the old weights."""

LIMIT_S = 3_600.0


@dataclass(slots=True, frozen=True)
class Job:
    """One seed's change of version; a broken one never serves."""

    seed: int
    broken: bool


Way = Callable[[Mapping[str, Service], list[EngineSeen]], RolloutPlan]
"""Returns the next orders."""


def product(services: Mapping[str, Service], engines: list[EngineSeen]) -> RolloutPlan:
    """Order as the product does."""
    return plan_rollout(services, engines, NEEDED, STORE_LOADS)


def _wrong(services: Mapping[str, Service], engines: list[EngineSeen]) -> list[PlannedOrder]:
    orders = []
    for engine in engines:
        model = services[engine.service].model
        status = engine.status
        if model is None or status is None:
            continue
        busy = status.state == "loading" or engine.ordered_s_ago < RETRY_REFUSED_S
        if not busy and (status.state == "failed" or not as_written(status, engine.service, model)):
            orders.append(PlannedOrder(engine, model, True))
    return orders


def all_at_once(services: Mapping[str, Service], engines: list[EngineSeen]) -> RolloutPlan:
    """Order every engine that is not as written."""
    return RolloutPlan(_wrong(services, engines))


def one_by_one(services: Mapping[str, Service], engines: list[EngineSeen]) -> RolloutPlan:
    """Order one engine at a time."""
    loading = any(each.status and each.status.state == "loading" for each in engines)
    return RolloutPlan([] if loading else _wrong(services, engines)[:1])


WAYS: dict[str, Way] = {
    "godwitpath": product,
    "all at once": all_at_once,
    "one by one": one_by_one,
}
"""Ways of ordering by name, the product's first."""


@dataclass
class Engines:
    """Engines and a weight store on the experiment's own time."""

    rng: Random
    broken: bool
    clock: Clock = field(default_factory=Clock)
    statuses: dict[str, EngineStatus] = field(default_factory=dict)
    service_of: dict[str, str] = field(default_factory=dict)
    ordered_at_s: dict[str, float] = field(default_factory=dict)
    drained_at_s: dict[str, float] = field(default_factory=dict)
    cut_off: int = 0
    transfers: int = 0
    refused: int = 0
    loads: int = 0
    early: int = 0

    def __post_init__(self) -> None:
        for service, count in ENGINES.items():
            for number in range(count):
                name = f"{service}-{number}"
                self.service_of[name] = service
                self.statuses[name] = _status(service, "1", "serving")

    def seen(self) -> list[EngineSeen]:
        """Return the engines as the duty sees them."""
        return [
            EngineSeen(
                name,
                self.service_of[name],
                Address("", 0),
                status,
                self._ago_s(name),
                name in self.drained_at_s,
            )
            for name, status in self.statuses.items()
        ]

    def serving(self, service: str, version: str = "") -> int:
        """Return how many engines of a service serve, any version or one."""
        return sum(
            status.state == "serving" and version in ("", status.version)
            for name, status in self.statuses.items()
            if self.service_of[name] == service and name not in self.drained_at_s
        )

    def drained(self, planned: PlannedOrder) -> bool:
        """Hold an engine that serves back; returns whether its calls have ended."""
        name = planned.engine.upstream_id
        if self.statuses[name].state != "serving":
            return True
        ends_s = self.clock.now_s + self.rng.uniform(*DRAIN_S)
        return self.drained_at_s.setdefault(name, ends_s) <= self.clock.now_s

    def order(self, planned: PlannedOrder) -> None:
        """Let an engine follow an order."""
        name, version = planned.engine.upstream_id, planned.model.version
        service = self.service_of[name]
        if service == "planner-lm" and not self.serving("base-lm", version):
            self.early += 1
        self.ordered_at_s[name] = self.clock.now_s
        self.cut_off += self.statuses[name].state == "serving" and name not in self.drained_at_s
        if self.transfers >= STORE_LOADS:
            self.refused += 1
            self.statuses[name] = replace(_status(service, version, "failed"), detail="store")
            return
        self.transfers += 1
        self.loads += 1
        self.statuses[name] = _status(service, version, "loading")
        sent_s = self.clock.now_s + TRANSFER_S
        self.clock.at(sent_s, lambda: self._transferred(name, self.statuses[name]))

    def _transferred(self, name: str, loading: EngineStatus) -> None:
        self.transfers -= 1
        ready_s = self.clock.now_s + self.rng.uniform(*START_S)
        self.clock.at(ready_s, lambda: self._ready(name, loading))

    def _ready(self, name: str, loading: EngineStatus) -> None:
        if self.statuses[name] is loading:
            bad = self.broken and loading.version == "2"
            state = "failed" if bad else "serving"
            self.statuses[name] = replace(loading, state=state, detail="broken" * bad)

    def come_back(self, name: str) -> None:
        """Let an engine come back with the weights that it had first."""
        self.statuses[name] = _status(self.service_of[name], "1", "serving")
        self.drained_at_s.pop(name, None)

    def _ago_s(self, name: str) -> float:
        return self.clock.now_s - self.ordered_at_s.get(name, -math.inf)


def _status(service: str, version: str, state: str) -> EngineStatus:
    return EngineStatus("", state, service, service, version, [], "unified", 0)


def written(version: str) -> dict[str, Service]:
    """Return the services with a version."""
    return {
        "base-lm": Service("generation", model=ModelSpec("base-lm", version)),
        "planner-lm": Service(
            "generation", depends_on=["base-lm"], model=ModelSpec("planner-lm", version)
        ),
    }


def play(job: Job, way: Way) -> dict[str, float]:
    """Play one change of version."""
    engines = Engines(Random(job.seed), job.broken)
    back = f"planner-lm-{Random(job.seed).randrange(ENGINES['planner-lm'])}"
    if not job.broken:
        engines.clock.at(CAME_BACK_AT_S, lambda: engines.come_back(back))
    services = written("2")
    fewest = dict(ENGINES)
    below_s = done_s = 0.0
    limit_s = 900.0 if job.broken else LIMIT_S
    now_s = 0.0
    while now_s < limit_s:
        engines.clock.run(now_s)
        engines.clock.now_s = now_s
        plan = way(services, engines.seen())
        for engine in plan.returned:
            engines.drained_at_s.pop(engine.upstream_id, None)
        for planned in plan.orders:
            if way is not product:
                engines.order(planned)
            elif engines.drained(planned) and plan.room > 0:
                plan.room -= 1
                engines.order(planned)
        serving = {name: engines.serving(name) for name in ENGINES}
        fewest = {name: min(fewest[name], serving[name]) for name in ENGINES}
        below_s += STEP_S * any(serving[name] < NEEDED[name] for name in ENGINES)
        whole = all(engines.serving(name, "2") == count for name, count in ENGINES.items())
        done_s = done_s if whole and done_s else (now_s if whole else 0.0)
        if whole and now_s > CAME_BACK_AT_S:
            break
        now_s += STEP_S
    figures = {
        "fewest_serving_of_needed": min(fewest[name] / NEEDED[name] for name in ENGINES),
        "seconds_below_the_needed": below_s,
        "loads_refused_by_the_store": float(engines.refused),
        "loads": float(engines.loads),
        "engines_ordered_with_calls_on_them": float(engines.cut_off),
        "ordered_before_the_dependency": float(engines.early),
    }
    if not job.broken:
        figures["time_to_the_written_state_s"] = done_s or math.inf
    return figures


def run_job(job: Job) -> dict[str, dict[str, float]]:
    """Play one seed's change under every way."""
    return {name: play(job, way) for name, way in WAYS.items()}


def rollout(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare the product's orders with all engines at once and with one by one."""
    jobs = [Job(seed + n, broken) for broken in (False, True) for n in range(seeds)]
    tables: dict[bool, Table] = {}
    for job, figures in zip(jobs, in_parallel(run_job, jobs), strict=True):
        title = "a broken version, 900 s" if job.broken else "a new version; one engine comes back"
        table = tables.setdefault(job.broken, Table(f"{sum(ENGINES.values())} engines, {title}"))
        for name, values in figures.items():
            table.add(name, **values)
    for table in tables.values():
        table.show()


def register(app: typer.Typer) -> None:
    """Add the experiment's command."""
    app.command()(rollout)
