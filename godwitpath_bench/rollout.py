"""Rollout experiment: time of a version change, loads refused by the store and serving engines."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from random import Random

import typer

from godwitpath.config.model import ModelSpec, Service
from godwitpath.ports.engine import Address, EngineStatus
from godwitpath.rollout.plan import (
    EngineObservation,
    PlannedOrder,
    RolloutPlan,
    matches_configuration,
    plan_rollout,
)
from godwitpath_bench.fleet import SimulationClock
from godwitpath_bench.report import SEEDS, Table, in_parallel

ENGINES = {"base-lm": 12, "planner-lm": 24}
"""Number of engines by service; the second service depends on the first."""

NEEDED_ENGINES = {"base-lm": 8, "planner-lm": 16}
"""Number of engines that meet the latency target, by service."""

MAX_STORE_LOADS = 4
"""Maximum number of concurrent transfers from the weight store; it refuses further ones."""

TRANSFER_S = 20.0
"""Duration of a transfer from the weight store."""

STARTUP_RANGE_S = (10.0, 20.0)
"""Shortest and longest time from the end of the transfer until the engine serves."""

DRAIN_RANGE_S = (5.0, 25.0)
"""Shortest and longest time until the calls on an engine end; the baselines interrupt them."""

STEP_S = 2.0
RETRY_REFUSED_S = 5.0
"""Time after which the baselines repeat the order of a refused load."""

RESTORED_AT_S = 200.0
"""Time at which one engine restarts with the old weights."""

TIME_LIMIT_S = 3_600.0


@dataclass(slots=True, frozen=True)
class Job:
    """Parameters of one version change; engines with a broken version never serve."""

    seed: int
    broken: bool


OrderPolicy = Callable[[Mapping[str, Service], list[EngineObservation]], RolloutPlan]
"""Returns the next orders for the services and engines."""


def product_orders(
    services: Mapping[str, Service], engines: list[EngineObservation]
) -> RolloutPlan:
    """Plan the orders as the product does."""
    return plan_rollout(services, engines, NEEDED_ENGINES, MAX_STORE_LOADS)


def _outdated_orders(
    services: Mapping[str, Service], engines: list[EngineObservation]
) -> list[PlannedOrder]:
    orders = []
    for engine in engines:
        model = services[engine.service].model
        status = engine.status
        if model is None or status is None:
            continue
        busy = status.state == "loading" or engine.since_order_s < RETRY_REFUSED_S
        if not busy and (
            status.state == "failed" or not matches_configuration(status, engine.service, model)
        ):
            orders.append(PlannedOrder(engine, model, True))
    return orders


def all_at_once(services: Mapping[str, Service], engines: list[EngineObservation]) -> RolloutPlan:
    """Order every engine that does not run the configured version."""
    return RolloutPlan(_outdated_orders(services, engines))


def one_by_one(services: Mapping[str, Service], engines: list[EngineObservation]) -> RolloutPlan:
    """Order one engine at a time."""
    loading = any(each.status and each.status.state == "loading" for each in engines)
    return RolloutPlan([] if loading else _outdated_orders(services, engines)[:1])


ORDER_POLICIES: dict[str, OrderPolicy] = {
    "godwitpath": product_orders,
    "all at once": all_at_once,
    "one by one": one_by_one,
}
"""Order policies by row label, the product's first."""


@dataclass
class SimulatedEngines:
    """Simulated engines and weight store.

    :ivar drained_at_s: time at which the calls of a draining engine end, by engine
    :ivar transfers: number of transfers from the weight store in progress
    :ivar loads: number of loads that the weight store accepted
    :ivar interrupting_orders: number of orders to engines that were serving without a drain
    :ivar early_orders: number of orders while no engine of the dependency served the version
    """

    rng: Random
    broken: bool
    clock: SimulationClock = field(default_factory=SimulationClock)
    statuses: dict[str, EngineStatus] = field(default_factory=dict)
    service_of: dict[str, str] = field(default_factory=dict)
    ordered_at_s: dict[str, float] = field(default_factory=dict)
    drained_at_s: dict[str, float] = field(default_factory=dict)
    interrupting_orders: int = 0
    transfers: int = 0
    refused_loads: int = 0
    loads: int = 0
    early_orders: int = 0

    def __post_init__(self) -> None:
        for service, count in ENGINES.items():
            for number in range(count):
                name = f"{service}-{number}"
                self.service_of[name] = service
                self.statuses[name] = _status(service, "1", "serving")

    def observed_engines(self) -> list[EngineObservation]:
        """Return the engines as the rollout duty observes them."""
        return [
            EngineObservation(
                name,
                self.service_of[name],
                Address("", 0),
                status,
                self._since_order_s(name),
                name in self.drained_at_s,
            )
            for name, status in self.statuses.items()
        ]

    def serving(self, service: str, version: str = "") -> int:
        """Return the number of serving engines of a service.

        :param version: the version to count, empty for all versions
        """
        return sum(
            status.state == "serving" and version in ("", status.version)
            for name, status in self.statuses.items()
            if self.service_of[name] == service and name not in self.drained_at_s
        )

    def drain(self, planned: PlannedOrder) -> bool:
        """Start to drain an engine if it serves.

        :returns: whether the calls on the engine have ended
        """
        name = planned.observation.upstream_id
        if self.statuses[name].state != "serving":
            return True
        ends_at_s = self.clock.now_s + self.rng.uniform(*DRAIN_RANGE_S)
        return self.drained_at_s.setdefault(name, ends_at_s) <= self.clock.now_s

    def apply_order(self, planned: PlannedOrder) -> None:
        """Load the ordered version on an engine, unless the store refuses."""
        name, version = planned.observation.upstream_id, planned.model.version
        service = self.service_of[name]
        if service == "planner-lm" and not self.serving("base-lm", version):
            self.early_orders += 1
        self.ordered_at_s[name] = self.clock.now_s
        self.interrupting_orders += (
            self.statuses[name].state == "serving" and name not in self.drained_at_s
        )
        if self.transfers >= MAX_STORE_LOADS:
            self.refused_loads += 1
            self.statuses[name] = replace(_status(service, version, "failed"), detail="store")
            return
        self.transfers += 1
        self.loads += 1
        self.statuses[name] = _status(service, version, "loading")
        transferred_at_s = self.clock.now_s + TRANSFER_S
        self.clock.schedule(transferred_at_s, lambda: self._transferred(name, self.statuses[name]))

    def _transferred(self, name: str, loading: EngineStatus) -> None:
        self.transfers -= 1
        ready_at_s = self.clock.now_s + self.rng.uniform(*STARTUP_RANGE_S)
        self.clock.schedule(ready_at_s, lambda: self._ready(name, loading))

    def _ready(self, name: str, loading: EngineStatus) -> None:
        if self.statuses[name] is loading:
            fails = self.broken and loading.version == "2"
            state = "failed" if fails else "serving"
            self.statuses[name] = replace(loading, state=state, detail="broken" * fails)

    def restore_old_version(self, name: str) -> None:
        """Restart an engine with the old version."""
        self.statuses[name] = _status(self.service_of[name], "1", "serving")
        self.drained_at_s.pop(name, None)

    def _since_order_s(self, name: str) -> float:
        return self.clock.now_s - self.ordered_at_s.get(name, -math.inf)


def _status(service: str, version: str, state: str) -> EngineStatus:
    return EngineStatus("", state, service, service, version, [], "unified", 0)


def desired_services(version: str) -> dict[str, Service]:
    """Return the configuration of the services, with every model at the given version."""
    return {
        "base-lm": Service("generation", model=ModelSpec("base-lm", version)),
        "planner-lm": Service(
            "generation", depends_on=["base-lm"], model=ModelSpec("planner-lm", version)
        ),
    }


def simulate(job: Job, order_policy: OrderPolicy) -> dict[str, float]:
    """Simulate one version change."""
    engines = SimulatedEngines(Random(job.seed), job.broken)
    restored_engine = f"planner-lm-{Random(job.seed).randrange(ENGINES['planner-lm'])}"
    if not job.broken:
        engines.clock.schedule(RESTORED_AT_S, lambda: engines.restore_old_version(restored_engine))
    services = desired_services("2")
    min_serving = dict(ENGINES)
    below_needed_s = completed_at_s = 0.0
    time_limit_s = 900.0 if job.broken else TIME_LIMIT_S
    now_s = 0.0
    while now_s < time_limit_s:
        engines.clock.run(now_s)
        engines.clock.now_s = now_s
        plan = order_policy(services, engines.observed_engines())
        for engine in plan.to_resume:
            engines.drained_at_s.pop(engine.upstream_id, None)
        for planned in plan.orders:
            if order_policy is not product_orders:
                engines.apply_order(planned)
            elif engines.drain(planned) and plan.free_loads > 0:
                plan.free_loads -= 1
                engines.apply_order(planned)
        serving = {name: engines.serving(name) for name in ENGINES}
        min_serving = {name: min(min_serving[name], serving[name]) for name in ENGINES}
        below_needed_s += STEP_S * any(serving[name] < NEEDED_ENGINES[name] for name in ENGINES)
        complete = all(engines.serving(name, "2") == count for name, count in ENGINES.items())
        completed_at_s = (
            completed_at_s if complete and completed_at_s else (now_s if complete else 0.0)
        )
        if complete and now_s > RESTORED_AT_S:
            break
        now_s += STEP_S
    figures = {
        "fewest_serving_of_needed": min(
            min_serving[name] / NEEDED_ENGINES[name] for name in ENGINES
        ),
        "seconds_below_the_needed": below_needed_s,
        "loads_refused_by_the_store": float(engines.refused_loads),
        "loads": float(engines.loads),
        "engines_ordered_with_calls_on_them": float(engines.interrupting_orders),
        "ordered_before_the_dependency": float(engines.early_orders),
    }
    if not job.broken:
        figures["time_to_the_written_state_s"] = completed_at_s or math.inf
    return figures


def run_job(job: Job) -> dict[str, dict[str, float]]:
    """Simulate a version change under every order policy."""
    return {name: simulate(job, order_policy) for name, order_policy in ORDER_POLICIES.items()}


def rollout(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare the product's rollout with updating all engines at once and one by one."""
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
    """Register the command of the experiment."""
    app.command()(rollout)
