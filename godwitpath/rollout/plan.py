"""The next orders that bring engines to the written state without falling below the target.

Weights are loaded a few at once, dependencies first. The first engine of a new version loads it
alone; when that fails, no other is given it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from graphlib import TopologicalSorter

from godwitpath.config.model import ModelSpec, Service
from godwitpath.ports.engine import Address, EngineStatus

DRAINED_AHEAD = 2
"""Engines that load or drain, as a multiple of the loads at once, to keep the store busy."""

RETRY_FAILED_S = 300.0
"""Time after which an engine that failed a version which none serves is ordered to load again."""

RETRY_PROVEN_S = 30.0
"""The same for a version that another engine serves: the store or the machine failed."""


@dataclass(slots=True, frozen=True)
class EngineSeen:
    """An engine with what it said it runs.

    :ivar service: service that its instance was taken for
    :ivar status: None when it did not answer
    :ivar ordered_s_ago: time since its last order, infinity for none
    :ivar held_back: whether entries give it no new work, so that it can load
    """

    upstream_id: str
    service: str
    address: Address
    status: EngineStatus | None
    ordered_s_ago: float = float("inf")
    held_back: bool = False


@dataclass(slots=True, frozen=True)
class PlannedOrder:
    """What an engine is to be ordered.

    :ivar loads: whether it loads weights for this
    """

    engine: EngineSeen
    model: ModelSpec
    loads: bool


@dataclass(slots=True)
class RolloutPlan:
    """The next orders, and why the services that are not as written are not ordered more.

    :ivar orders: what to order
    :ivar room: loads that may begin now; the other orders wait
    :ivar returned: engines that were held back and get work again
    :ivar held: reason by service
    """

    orders: list[PlannedOrder] = field(default_factory=list)
    room: int = 0
    returned: list[EngineSeen] = field(default_factory=list)
    held: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class _Group:
    """The engines of one service by how they stand to the written state."""

    model: ModelSpec
    right: list[EngineSeen] = field(default_factory=list)
    relabel: list[EngineSeen] = field(default_factory=list)
    loading: list[EngineSeen] = field(default_factory=list)
    ready: list[EngineSeen] = field(default_factory=list)
    drained: list[EngineSeen] = field(default_factory=list)
    old: list[EngineSeen] = field(default_factory=list)
    idle: list[EngineSeen] = field(default_factory=list)
    failed: list[EngineSeen] = field(default_factory=list)

    @property
    def serving(self) -> int:
        """Number of engines that serve, whatever their version."""
        return len(self.right) + len(self.relabel) + len(self.old)

    @property
    def proven(self) -> bool:
        """Whether an engine serves the written version."""
        return bool(self.right or self.relabel or self.ready)

    @property
    def under_way(self) -> int:
        """Number of engines that load or are about to."""
        return len(self.loading) + len(self.drained)

    def settled(self, needed: int) -> bool:
        """Return whether enough engines serve the written version and none serves another."""
        return not self.old and len(self.right) >= max(1, needed)


def plan_rollout(
    services: Mapping[str, Service],
    engines: Sequence[EngineSeen],
    needed: Mapping[str, int],
    loads_at_once: int,
) -> RolloutPlan:
    """Return the next orders.

    :param needed: engines that hold the latency target, by service
    :param loads_at_once: most engines that load weights at a time, by the store's pace
    """
    groups = {
        name: _group(service.model, (each for each in engines if each.service == name))
        for name, service in services.items()
        if service.model is not None
    }
    plan = RolloutPlan()
    plan.room = loads_at_once - sum(len(group.loading) for group in groups.values())
    room = DRAINED_AHEAD * loads_at_once - sum(group.under_way for group in groups.values())
    for name in dependency_order(services):
        if name not in groups:
            continue
        waits_for = [
            other
            for other in services[name].depends_on
            if other in groups and not groups[other].settled(needed.get(other, 1))
        ]
        room -= _plan_service(plan, name, groups[name], waits_for, needed.get(name, 1), room)
    return plan


def dependency_order(services: Mapping[str, Service]) -> list[str]:
    """Return the services with each one after those that it depends on."""
    graph = {name: sorted(services[name].depends_on) for name in sorted(services)}
    return [name for name in TopologicalSorter(graph).static_order() if name in services]


def _group(model: ModelSpec, engines: Iterable[EngineSeen]) -> _Group:
    group = _Group(model)
    for engine in engines:
        status = engine.status
        if status is None or status.state == "leaving":
            continue
        same_weights = (status.model, status.version) == (model.name, model.version)
        if status.state == "loading":
            # A load of other weights is ordered anew and takes the place of the first.
            (group.loading if same_weights else group.idle).append(engine)
        elif status.state == "failed":
            (group.failed if same_weights else group.idle).append(engine)
        elif not status.model:
            group.idle.append(engine)
        elif engine.held_back:
            (group.ready if same_weights else group.drained).append(engine)
        elif not same_weights:
            group.old.append(engine)
        elif as_written(status, engine.service, model):
            group.right.append(engine)
        else:
            group.relabel.append(engine)
    return group


def as_written(status: EngineStatus, service: str, model: ModelSpec) -> bool:
    """Return whether an engine runs the written state."""
    runs = (status.service, status.model, status.version, status.role)
    written = (service, model.name, model.version, model.role)
    return runs == written and sorted(status.adapters) == sorted(model.adapters)


def _plan_service(
    plan: RolloutPlan, name: str, group: _Group, waits_for: list[str], needed: int, room: int
) -> int:
    """Add a service's orders to the plan; returns how many loads they start."""
    plan.orders.extend(PlannedOrder(engine, group.model, False) for engine in group.relabel)
    plan.returned.extend(group.ready)
    if group.failed and not group.proven:
        first = group.failed[0]
        detail = first.status.detail if first.status else ""
        plan.held[name] = (
            f"stopped: {first.upstream_id} failed to load {group.model.name} "
            f"{group.model.version}: {detail}"
        )
        plan.returned.extend(group.drained)
        candidates = [each for each in group.failed if each.ordered_s_ago >= RETRY_FAILED_S]
        return _order(plan, group, candidates[: max(0, min(1, room))])
    _order(plan, group, group.drained)
    if not (group.old or group.idle or group.failed):
        return 0
    if waits_for and group.old and not group.proven:
        plan.held[name] = f"waits until {', '.join(waits_for)} is as written"
        return 0
    retried = [each for each in group.failed if each.ordered_s_ago >= RETRY_PROVEN_S]
    spare = max(0, group.serving - needed)
    candidates = [*group.idle, *retried, *group.old[:spare]]
    if not group.proven and group.old:
        # The first engine of a new version loads it alone.
        room = min(room, 1 - group.under_way)
    if group.old and not candidates:
        plan.held[name] = f"waits: {group.serving} engines serve and {needed} are needed"
    elif candidates and room <= 0:
        plan.held[name] = "waits for other loads to end"
    return _order(plan, group, candidates[: max(0, room)])


def _order(plan: RolloutPlan, group: _Group, engines: Sequence[EngineSeen]) -> int:
    plan.orders.extend(PlannedOrder(engine, group.model, True) for engine in engines)
    return len(engines)
