"""Plans the next orders that bring engines to the configured state.

An engine that is held back gets no new work, so that it becomes idle and can load other weights.

No engine that the latency target needs is stopped. The number of concurrent loads of weights is
limited, and the services that a service depends on are updated first. The first engine of a new
version loads it alone; if this load fails, no other engine is ordered to load the version.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from graphlib import TopologicalSorter

from godwitpath.config.model import ModelSpec, Service
from godwitpath.ports.engine import Address, EngineStatus

DRAIN_AHEAD_FACTOR = 2
"""Limit of engines that load or drain, as a multiple of the limit of concurrent loads.

The factor is more than 1, so that a drained engine is ready when a load ends and the weight store
stays busy.
"""

RETRY_FAILED_S = 300.0
"""Time from an order whose load failed to its repetition, if no engine has loaded the version."""

RETRY_PROVEN_S = 30.0
"""Time from an order whose load failed to its repetition, if another engine loaded the version.

It is shorter, as the fault is then probably in the weight store or the machine.
"""


@dataclass(slots=True, frozen=True)
class EngineObservation:
    """An engine with the status that it reported.

    :ivar service: service that the engine's instance was acquired for
    :ivar status: reported status, None when the engine did not respond
    :ivar since_order_s: time since the last order to the engine, infinity without an order
    :ivar held_back: whether a stop of the rollout, a notice in the store, keeps new work off the
        engine
    """

    upstream_id: str
    service: str
    address: Address
    status: EngineStatus | None
    since_order_s: float = float("inf")
    held_back: bool = False


@dataclass(slots=True, frozen=True)
class PlannedOrder:
    """An order to send to an engine.

    :ivar loads: whether the engine loads weights for the order
    """

    observation: EngineObservation
    model: ModelSpec
    loads: bool


@dataclass(slots=True)
class RolloutPlan:
    """The next orders, and the reasons why outdated services get no further orders.

    :ivar orders: orders to send
    :ivar free_loads: number of loads that may start now; further orders to load wait
    :ivar to_resume: engines that were held back and shall receive work again
    :ivar hold_reasons: reason why a service gets no further orders, by service
    """

    orders: list[PlannedOrder] = field(default_factory=list)
    free_loads: int = 0
    to_resume: list[EngineObservation] = field(default_factory=list)
    hold_reasons: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class _Group:
    """The engines of one service, classified by their difference from the configured state.

    :ivar model: configured model
    :ivar up_to_date: engines that serve exactly the configured state
    :ivar to_relabel: engines that serve the configured weights with another service, role or
        adapters
    :ivar loading: engines that load the configured weights
    :ivar loaded: engines that have loaded the configured weights and are still held back
    :ivar draining: engines that are held back and still have other weights
    :ivar outdated: engines that serve other weights
    :ivar unloaded: engines that have no weights, or load or failed to load other weights
    :ivar failed: engines that failed to load the configured weights
    """

    model: ModelSpec
    up_to_date: list[EngineObservation] = field(default_factory=list)
    to_relabel: list[EngineObservation] = field(default_factory=list)
    loading: list[EngineObservation] = field(default_factory=list)
    loaded: list[EngineObservation] = field(default_factory=list)
    draining: list[EngineObservation] = field(default_factory=list)
    outdated: list[EngineObservation] = field(default_factory=list)
    unloaded: list[EngineObservation] = field(default_factory=list)
    failed: list[EngineObservation] = field(default_factory=list)

    @property
    def serving(self) -> int:
        """Number of engines that serve any version."""
        return len(self.up_to_date) + len(self.to_relabel) + len(self.outdated)

    @property
    def version_proven(self) -> bool:
        """Whether an engine has loaded the configured version."""
        return bool(self.up_to_date or self.to_relabel or self.loaded)

    @property
    def pending_loads(self) -> int:
        """Number of engines that load or are held back in order to load."""
        return len(self.loading) + len(self.draining)

    def rolled_out(self, needed: int) -> bool:
        """Return whether enough engines serve the configured version and none serves another."""
        return not self.outdated and len(self.up_to_date) >= max(1, needed)


def plan_rollout(
    services: Mapping[str, Service],
    engines: Sequence[EngineObservation],
    needed: Mapping[str, int],
    loads_at_once: int,
) -> RolloutPlan:
    """Plan the next orders of all services.

    :param services: configured services
    :param engines: engines of the region
    :param needed: number of engines that the latency target needs, by service
    :param loads_at_once: most engines that load at the same time; they share the throughput of the
        weight store
    """
    groups = {
        name: _classify(service.model, (each for each in engines if each.service == name))
        for name, service in services.items()
        if service.model is not None
    }
    plan = RolloutPlan()
    plan.free_loads = loads_at_once - sum(len(group.loading) for group in groups.values())
    budget = DRAIN_AHEAD_FACTOR * loads_at_once - sum(
        group.pending_loads for group in groups.values()
    )
    for name in dependency_order(services):
        if name not in groups:
            continue
        pending_dependencies = [
            dependency
            for dependency in services[name].depends_on
            if dependency in groups and not groups[dependency].rolled_out(needed.get(dependency, 1))
        ]
        budget -= _plan_service(
            plan, name, groups[name], pending_dependencies, needed.get(name, 1), budget
        )
    return plan


def dependency_order(services: Mapping[str, Service]) -> list[str]:
    """Return the services in topological order, dependencies first."""
    graph = {name: sorted(services[name].depends_on) for name in sorted(services)}
    return [name for name in TopologicalSorter(graph).static_order() if name in services]


def _classify(model: ModelSpec, engines: Iterable[EngineObservation]) -> _Group:
    group = _Group(model)
    for engine in engines:
        status = engine.status
        if status is None or status.state == "leaving":
            continue
        same_weights = (status.model, status.version) == (model.name, model.version)
        if status.state == "loading":
            # An order for the configured weights replaces a running load of other weights.
            (group.loading if same_weights else group.unloaded).append(engine)
        elif status.state == "failed":
            (group.failed if same_weights else group.unloaded).append(engine)
        elif not status.model:
            group.unloaded.append(engine)
        elif engine.held_back:
            (group.loaded if same_weights else group.draining).append(engine)
        elif not same_weights:
            group.outdated.append(engine)
        elif matches_configuration(status, engine.service, model):
            group.up_to_date.append(engine)
        else:
            group.to_relabel.append(engine)
    return group


def matches_configuration(status: EngineStatus, service: str, model: ModelSpec) -> bool:
    """Return whether an engine runs exactly the configured state."""
    actual = (status.service, status.model, status.version, status.role)
    configured = (service, model.name, model.version, model.role)
    return actual == configured and sorted(status.adapters) == sorted(model.adapters)


def _plan_service(
    plan: RolloutPlan,
    name: str,
    group: _Group,
    pending_dependencies: list[str],
    needed: int,
    budget: int,
) -> int:
    """Add the orders of a service to the plan.

    :param budget: number of further engines that may be held back (given no new work) or start to
        load
    :returns: number of engines that this plan holds back or starts to load in addition
    """
    plan.orders.extend(PlannedOrder(engine, group.model, False) for engine in group.to_relabel)
    plan.to_resume.extend(group.loaded)
    if group.failed and not group.version_proven:
        failed_engine = group.failed[0]
        detail = failed_engine.status.detail if failed_engine.status else ""
        plan.hold_reasons[name] = (
            f"stopped: {failed_engine.upstream_id} failed to load {group.model.name} "
            f"{group.model.version}: {detail}"
        )
        plan.to_resume.extend(group.draining)
        candidates = [each for each in group.failed if each.since_order_s >= RETRY_FAILED_S]
        return _add_load_orders(plan, group, candidates[: max(0, min(1, budget))])
    _add_load_orders(plan, group, group.draining)
    if not (group.outdated or group.unloaded or group.failed):
        return 0
    if pending_dependencies and group.outdated and not group.version_proven:
        plan.hold_reasons[name] = f"waits until {', '.join(pending_dependencies)} is as written"
        return 0
    retryable = [each for each in group.failed if each.since_order_s >= RETRY_PROVEN_S]
    removable_count = max(0, group.serving - needed)
    candidates = [*group.unloaded, *retryable, *group.outdated[:removable_count]]
    if not group.version_proven and group.outdated:
        # The first engine of a new version loads it alone.
        budget = min(budget, 1 - group.pending_loads)
    if group.outdated and not candidates:
        plan.hold_reasons[name] = f"waits: {group.serving} engines serve and {needed} are needed"
    elif candidates and budget <= 0:
        plan.hold_reasons[name] = "waits for other loads to end"
    return _add_load_orders(plan, group, candidates[: max(0, budget)])


def _add_load_orders(plan: RolloutPlan, group: _Group, engines: Sequence[EngineObservation]) -> int:
    plan.orders.extend(PlannedOrder(engine, group.model, True) for engine in engines)
    return len(engines)
