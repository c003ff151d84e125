"""Orders engines according to load and reclaims, and repeats each order until it is fulfilled."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from godwitpath.gateway.cloud import Cloud, CloudRefused, CloudUncertain, FencingToken
from godwitpath.gateway.demand import EngineRequirement, LoadEstimator
from godwitpath.gateway.engines import EngineRegistry, EngineState
from godwitpath.gateway.fleet_plan import FleetPlan, plan_fleet, with_on_demand
from godwitpath.gateway.holder import DutyHolder
from godwitpath.gateway.in_force import ConfigurationInForce
from godwitpath.gateway.model import ScalingSpec, ServiceSpec
from godwitpath.telemetry.decisions import decision

CONTROL_INTERVAL_S = 0.2
LOAD_MEASURED_AFTER_S = 6.0
"""Time under load after which the measured load replaces the initial estimate."""

INITIAL_ENGINE_SHARE = 1 / 3
"""Share of the maximum number of engines that is assumed to be needed until the load is measured:
operators set the maximum for their peak load and the loss of a zone."""

UNAVAILABLE_RETRY_S = 2.0
"""Time after which an unavailable kind of engine is ordered again."""

BOOT_MARGIN_S = 1.5
"""Time in addition to the boot after which an ordered but missing engine is ordered again."""

SCALE_DOWN_DELAY_S = 2.0
"""Time for which a smaller number of engines must have been sufficient before it is ordered."""

MAX_CACHED_PLANS = 64
"""Maximum number of cached plans: computing a large one takes 15 ms, and inputs rarely change."""

EngineKind = tuple[str, str, bool]
"""Service, availability zone, and whether the engines are reclaimable."""


@dataclass(slots=True)
class _Order:
    """The last order of a kind of engine.

    :ivar at_s: loop time of the order; minus infinity after a reclaim
    :ivar accepted: whether the platform confirmed it
    """

    count: int
    at_s: float
    accepted: bool = False


@dataclass(slots=True)
class FleetCount:
    """Ready engines of a service, by availability zone.

    :ivar reclaimable: number of reclaimable engines
    :ivar on_demand: number of on-demand engines
    """

    reclaimable: Counter[str]
    on_demand: Counter[str]


class FleetDuty:
    """The duty of ordering engines.

    :param load: returns the prefilled prompt tokens since the start and the running streams of a
        service, summed over all daemons
    :ivar orders: number of orders sent
    """

    def __init__(
        self,
        cloud: Cloud,
        holder: DutyHolder,
        engines: EngineRegistry,
        in_force: ConfigurationInForce,
        load: Callable[[str], tuple[int, int]],
    ) -> None:
        self.orders = 0
        self._cloud = cloud
        self._holder = holder
        self._engines = engines
        self._in_force = in_force
        self._total_load = load
        self._load_estimators: dict[str, LoadEstimator] = {}
        self._orders: dict[EngineKind, _Order] = {}
        self._last_present: dict[EngineKind, int] = {}
        self._unavailable_until_s: dict[EngineKind, float] = {}
        self._lower_since_s: dict[EngineKind, float] = {}
        self._token = 0
        self._plans: dict[tuple[object, ...], FleetPlan] = {}
        self._in_flight: set[EngineKind] = set()

    async def run(self) -> None:
        """Order engines while this daemon holds the duty, until cancelled."""
        async with asyncio.TaskGroup() as group:
            await self._run(group)

    async def _run(self, group: asyncio.TaskGroup) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CONTROL_INTERVAL_S)
            current = self._in_force.current
            if current is None:
                continue
            for service in current.services.values():
                if service.scaling is None:
                    continue
                load_estimator = self._load_estimator(service)
                prefilled_tokens, running = self._total_load(service.name)
                load_estimator.observe(prefilled_tokens, running, loop.time())
                if self._holder.fencing_token() is not None:
                    for order in self._due_orders(service, service.scaling, load_estimator):
                        # Run as tasks, so that an order without a response delays no other order.
                        group.create_task(order)

    def _load_estimator(self, service: ServiceSpec) -> LoadEstimator:
        load_estimator = self._load_estimators.get(service.name)
        if load_estimator is None:
            slots = service.engine.slots if service.engine else 1
            load_estimator = self._load_estimators[service.name] = LoadEstimator(slots)
        return load_estimator

    def _plan(
        self,
        service: str,
        requirement: EngineRequirement,
        scaling: ScalingSpec,
        reclaimable_limits: Mapping[str, int],
    ) -> FleetPlan:
        """Return the plan, computed only when its inputs have changed."""
        key = (service, self._in_force.revision, requirement, *reclaimable_limits.items())
        plan = self._plans.get(key)
        if plan is None:
            if len(self._plans) >= MAX_CACHED_PLANS:
                self._plans.clear()
            plan = self._plans[key] = plan_fleet(requirement, scaling, reclaimable_limits)
        return plan

    def count(self, service: str) -> FleetCount:
        """Return the numbers of ready engines of a service."""
        ready = FleetCount(Counter(), Counter())
        for engine in self._engines.all():
            entry = engine.entry
            if entry.service == service and entry.state is EngineState.READY:
                (ready.reclaimable if entry.reclaimable else ready.on_demand)[entry.zone] += 1
        return ready

    def _due_orders(
        self, service: ServiceSpec, scaling: ScalingSpec, load_estimator: LoadEstimator
    ) -> Iterator[Coroutine[Any, Any, None]]:
        """Yield coroutines that send the orders that are due."""
        now_s = asyncio.get_running_loop().time()
        fencing_token = self._holder.fencing_token()
        if fencing_token is not None and fencing_token.number != self._token:
            # The orders of the previous holder are not known, so every order is sent again.
            self._token = fencing_token.number
            self._orders.clear()
        ready = self.count(service.name)
        requirement = load_estimator.requirement()
        if load_estimator.measured_for_s(now_s) < LOAD_MEASURED_AFTER_S:
            max_engines = scaling.max_per_zone * len(scaling.zone_prices)
            requirement = requirement.raised_to(math.ceil(INITIAL_ENGINE_SHARE * max_engines))
        needed = requirement.after_reclaim
        self._detect_reclaims(service.name, scaling, ready)
        desired = self._desired_fleet(service.name, requirement, scaling, ready, now_s)
        ready_reclaimable = {
            zone: min(ready.reclaimable[zone], desired.reclaimable[zone])
            for zone in ready.reclaimable
        }
        replaced = FleetPlan(ready_reclaimable, desired.on_demand, 0.0).after_reclaim >= needed
        for zone in scaling.zone_prices:
            for reclaimable in (True, False):
                counts = desired.reclaimable if reclaimable else desired.on_demand
                present = ready.reclaimable if reclaimable else ready.on_demand
                count = counts[zone]
                if not reclaimable and not replaced:
                    # On-demand engines are removed only after their replacements are ready.
                    count = max(count, present[zone])
                kind = (service.name, zone, reclaimable)
                if kind not in self._in_flight and self._is_due(
                    kind, count, present[zone], scaling
                ):
                    self._in_flight.add(kind)
                    yield self._order_if_holder(kind, count, present[zone], needed, load_estimator)

    def _detect_reclaims(self, service: str, scaling: ScalingSpec, ready: FleetCount) -> None:
        """Detect engines that were removed without an order, and stop counting them as booting."""
        for zone in scaling.zone_prices:
            kind = (service, zone, True)
            present, previously_present = ready.reclaimable[zone], self._last_present.get(kind, 0)
            self._last_present[kind] = present
            order = self._orders.get(kind)
            if order is not None and present < min(previously_present, order.count):
                decision(
                    "reclaim_seen",
                    service=service,
                    zone=zone,
                    present=present,
                    before=previously_present,
                )
                order.at_s = float("-inf")

    def _desired_fleet(
        self,
        service: str,
        requirement: EngineRequirement,
        scaling: ScalingSpec,
        ready: FleetCount,
        now_s: float,
    ) -> FleetPlan:
        """Return the desired fleet: the plan, with on-demand engines until it is fulfilled."""
        expected: dict[bool, dict[str, int]] = {True: {}, False: {}}
        reclaimable_limits: dict[str, int] = {}
        for zone in scaling.zone_prices:
            for reclaimable, present in ((True, ready.reclaimable), (False, ready.on_demand)):
                kind = (service, zone, reclaimable)
                count = self._ready_or_booting(kind, present[zone], scaling, now_s)
                expected[reclaimable][zone] = count
            # Both kinds share a zone's limit: on-demand engines leave before others replace them.
            reclaimable_limits[zone] = max(0, scaling.max_per_zone - expected[False][zone])
            if now_s < self._unavailable_until_s.get((service, zone, True), 0.0):
                reclaimable_limits[zone] = min(reclaimable_limits[zone], ready.reclaimable[zone])
        planned = self._plan(service, requirement, scaling, reclaimable_limits)
        # Booting engines count; engines that are overdue are replaced.
        obtainable = {
            zone: min(count, expected[True][zone]) for zone, count in planned.reclaimable.items()
        }
        interim = self._plan(service, requirement, scaling, obtainable)
        engines = max(sum(planned.on_demand.values()), sum(interim.on_demand.values()))
        # On-demand engines that boot count as present, so that the plan stays stable.
        return with_on_demand(engines, planned.reclaimable, expected[False], scaling)

    def _ready_or_booting(
        self, kind: EngineKind, present: int, scaling: ScalingSpec, now_s: float
    ) -> int:
        """Return the number of engines of a kind that are ready or booting."""
        order = self._orders.get(kind)
        if order is None or not order.accepted:
            return present
        if now_s - order.at_s >= scaling.boot_s + BOOT_MARGIN_S:
            return present
        return max(present, order.count)

    def _is_due(self, kind: EngineKind, count: int, present: int, scaling: ScalingSpec) -> bool:
        """Return whether a number is to be ordered, because it is neither present nor booting."""
        now_s = asyncio.get_running_loop().time()
        order = self._orders.get(kind)
        if now_s < self._unavailable_until_s.get(kind, 0.0) and count > present:
            return False
        if not self._may_order(kind, count, present, order, now_s):
            return False
        if order is not None and order.count == count and order.accepted:
            # An earlier call without a response may have been carried out after this one.
            settled = now_s - order.at_s > scaling.boot_s + BOOT_MARGIN_S
            return count != present and settled
        return order is not None or count > 0 or present > 0

    async def _order_if_holder(
        self, kind: EngineKind, count: int, present: int, needed: int, load_estimator: LoadEstimator
    ) -> None:
        try:
            fencing_token = self._holder.fencing_token()
            if fencing_token is not None:
                await self._send_order(fencing_token, kind, count, present, needed, load_estimator)
        finally:
            self._in_flight.discard(kind)

    async def _send_order(
        self,
        fencing_token: FencingToken,
        kind: EngineKind,
        count: int,
        present: int,
        needed: int,
        load_estimator: LoadEstimator,
    ) -> None:
        """Send the order for a number of engines of a kind."""
        now_s = asyncio.get_running_loop().time()
        service, zone, reclaimable = kind
        self.orders += 1
        try:
            accepted = await self._cloud.order_engines(
                fencing_token, service, zone, count, reclaimable
            )
            outcome = "accepted" if accepted else "none_to_be_had"
            if accepted and fencing_token.number == self._token:
                self._orders[kind] = _Order(count, now_s, accepted=True)
        except CloudRefused as error:
            outcome = f"refused: {error}"
        except CloudUncertain as error:
            # The order may still be carried out; repeating it is idempotent.
            outcome = f"uncertain: {error}"
            self._orders[kind] = _Order(count, now_s)
        if outcome != "accepted":
            self._unavailable_until_s[kind] = now_s + UNAVAILABLE_RETRY_S
        decision(
            "engines_ordered",
            service=service,
            zone=zone,
            reclaimable=reclaimable,
            count=count,
            present=present,
            needed=needed,
            busy_engines=round(load_estimator.busy_engines, 2),
            read_tokens=load_estimator.prefilled_tokens,
            fence=fencing_token.number,
            outcome=outcome,
        )

    def _may_order(
        self, kind: EngineKind, count: int, present: int, order: _Order | None, now_s: float
    ) -> bool:
        """Return whether a number may be ordered: a smaller one only after `SCALE_DOWN_DELAY_S`."""
        last_ordered = order.count if order is not None else present
        if count >= last_ordered:
            self._lower_since_s.pop(kind, None)
            return True
        since_s = self._lower_since_s.setdefault(kind, now_s)
        return now_s - since_s >= SCALE_DOWN_DELAY_S
