"""Orders engines according to load and reclaims, and repeats each order until it is fulfilled.

An order sets the number of engines that the platform should run of one kind: of one service, in one
zone, either reclaimable or on-demand. Only the duty holder, the daemon that does the tasks of the
whole deployment under a lease, sends orders.
"""

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
from godwitpath.gateway.read_speed import DEFAULT_TOKENS_PER_S
from godwitpath.telemetry.decisions import decision

CONTROL_INTERVAL_S = 0.2
"""Interval at which the load is observed and due orders are sent."""

LOAD_MEASURED_AFTER_S = 6.0
"""Time since the first load of a service after which the measured load alone determines the number
of engines; before that, `INITIAL_ENGINE_SHARE` sets a minimum."""

INITIAL_ENGINE_SHARE = 1 / 3
"""Share of a service's maximum number of engines that is assumed to be needed until its load is
measured: operators set the maximum for their peak load and the loss of a zone."""

UNAVAILABLE_RETRY_S = 2.0
"""Time after a failed order during which no more engines of that kind are ordered."""

BOOT_MARGIN_S = 1.5
"""Time in addition to the boot after which an ordered but missing engine is ordered again."""

SCALE_DOWN_DELAY_S = 2.0
"""Time for which a smaller number of engines must have been sufficient before that number is
ordered."""

MAX_CACHED_PLANS = 64
"""Maximum number of cached plans: computing a large one takes 15 ms, and inputs rarely change."""

EngineKind = tuple[str, str, bool]
"""Service, availability zone, and whether the engines are reclaimable."""


@dataclass(slots=True)
class _Order:
    """The last order of a kind of engine.

    :ivar count: ordered number of engines
    :ivar at_s: loop time at which the order was sent; minus infinity after a reclaim, so that no
        engine counts as booting
    :ivar accepted: whether the platform confirmed the order
    """

    count: int
    at_s: float
    accepted: bool = False


@dataclass(slots=True)
class ReadyEngineCounts:
    """Numbers of a service's ready engines by availability zone.

    :ivar reclaimable: number of ready reclaimable engines by zone
    :ivar on_demand: number of ready on-demand engines by zone
    """

    reclaimable: Counter[str]
    on_demand: Counter[str]


class FleetDuty:
    """The duty of ordering engines.

    :param load: returns the total of prompt tokens sent for prefill since the start and the number
        of running streams of a service, both summed over all daemons
    :param missing_engines: returns the number of a service's ready engines that take too little
        load to count, because of a limit that they state
    :param read_speed: returns how many prompt tokens per second an engine of a service prefills
    :ivar orders: number of orders that this daemon has sent
    """

    def __init__(
        self,
        cloud: Cloud,
        holder: DutyHolder,
        engines: EngineRegistry,
        in_force: ConfigurationInForce,
        load: Callable[[str], tuple[int, int]],
        missing_engines: Callable[[str], int] = lambda service: 0,
        read_speed: Callable[[str], float] = lambda service: DEFAULT_TOKENS_PER_S,
    ) -> None:
        self.orders = 0
        self._cloud = cloud
        self._holder = holder
        self._engines = engines
        self._in_force = in_force
        self._total_load = load
        self._missing_engines = missing_engines
        self._read_speed = read_speed
        self._load_estimators: dict[str, LoadEstimator] = {}
        self._last_orders: dict[EngineKind, _Order] = {}
        self._last_ready_counts: dict[EngineKind, int] = {}
        self._unavailable_until_s: dict[EngineKind, float] = {}
        self._lower_count_since_s: dict[EngineKind, float] = {}
        self._last_token_number = 0
        self._plans: dict[tuple[object, ...], FleetPlan] = {}
        self._kinds_in_flight: set[EngineKind] = set()

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
                prefilled_total, running_streams = self._total_load(service.name)
                load_estimator.observe(
                    prefilled_total,
                    running_streams,
                    loop.time(),
                    self._read_speed(service.name),
                )
                if self._holder.may_call:
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
        """Return the plan for the given inputs, from the cache if it was computed before."""
        key = (service, self._in_force.revision, requirement, *reclaimable_limits.items())
        plan = self._plans.get(key)
        if plan is None:
            if len(self._plans) >= MAX_CACHED_PLANS:
                self._plans.clear()
            plan = self._plans[key] = plan_fleet(requirement, scaling, reclaimable_limits)
        return plan

    def count_ready_engines(self, service: str) -> ReadyEngineCounts:
        """Return the numbers of a service's ready engines by zone."""
        ready = ReadyEngineCounts(Counter(), Counter())
        for engine in self._engines.all():
            entry = engine.entry
            if entry.service == service and entry.state is EngineState.READY:
                (ready.reclaimable if entry.reclaimable else ready.on_demand)[entry.zone] += 1
        return ready

    def _due_orders(
        self, service: ServiceSpec, scaling: ScalingSpec, load_estimator: LoadEstimator
    ) -> Iterator[Coroutine[Any, Any, None]]:
        """Yield a coroutine for each order of the service that is due; it sends the order."""
        now_s = asyncio.get_running_loop().time()
        fencing_token = self._holder.fencing_token()
        if fencing_token is not None and fencing_token.number != self._last_token_number:
            # The orders of another duty holder are not known, so every order is sent again.
            if not self._holder.continues(self._last_token_number):
                self._last_orders.clear()
            self._last_token_number = fencing_token.number
        ready = self.count_ready_engines(service.name)
        requirement = load_estimator.requirement()
        if load_estimator.measured_for_s(now_s) < LOAD_MEASURED_AFTER_S:
            max_engines = scaling.max_per_zone * len(scaling.zone_prices)
            requirement = requirement.raised_to(math.ceil(INITIAL_ENGINE_SHARE * max_engines))
        requirement = requirement.increased_by(self._missing_engines(service.name))
        needed = requirement.after_reclaim
        self._detect_reclaims(service.name, scaling, ready)
        desired = self._desired_fleet(service.name, requirement, scaling, ready, now_s)
        ready_reclaimable = {
            zone: min(ready.reclaimable[zone], desired.reclaimable[zone])
            for zone in ready.reclaimable
        }
        replacements_ready = (
            FleetPlan(ready_reclaimable, desired.on_demand, 0.0).after_reclaim >= needed
        )
        for zone in scaling.zone_prices:
            for reclaimable in (True, False):
                desired_counts = desired.reclaimable if reclaimable else desired.on_demand
                ready_counts = ready.reclaimable if reclaimable else ready.on_demand
                count = desired_counts[zone]
                if not reclaimable and not replacements_ready:
                    # On-demand engines are removed only after their replacements are ready.
                    count = max(count, ready_counts[zone])
                kind = (service.name, zone, reclaimable)
                if kind not in self._kinds_in_flight and self._is_due(
                    kind, count, ready_counts[zone], scaling
                ):
                    self._kinds_in_flight.add(kind)
                    yield self._order_if_holder(
                        kind, count, ready_counts[zone], needed, load_estimator
                    )

    def _detect_reclaims(
        self, service: str, scaling: ScalingSpec, ready: ReadyEngineCounts
    ) -> None:
        """Detect reclaimable engines that were removed without an order.

        Their last order then no longer counts as booting, so that replacements are ordered at once.
        """
        for zone in scaling.zone_prices:
            kind = (service, zone, True)
            present, previous_present = ready.reclaimable[zone], self._last_ready_counts.get(
                kind, 0
            )
            self._last_ready_counts[kind] = present
            order = self._last_orders.get(kind)
            if order is not None and present < min(previous_present, order.count):
                decision(
                    "reclaim_seen",
                    service=service,
                    zone=zone,
                    present=present,
                    before=previous_present,
                )
                order.at_s = float("-inf")

    def _desired_fleet(
        self,
        service: str,
        requirement: EngineRequirement,
        scaling: ScalingSpec,
        ready: ReadyEngineCounts,
        now_s: float,
    ) -> FleetPlan:
        """Return the planned fleet, with more on-demand engines until it is ready or booting."""
        expected: dict[bool, dict[str, int]] = {True: {}, False: {}}
        reclaimable_limits: dict[str, int] = {}
        for zone in scaling.zone_prices:
            for reclaimable, ready_counts in ((True, ready.reclaimable), (False, ready.on_demand)):
                kind = (service, zone, reclaimable)
                count = self._ready_or_booting(kind, ready_counts[zone], scaling, now_s)
                expected[reclaimable][zone] = count
            # Reclaimable and on-demand engines share the zone's limit, so on-demand engines must
            # leave before reclaimable ones can replace them.
            reclaimable_limits[zone] = max(0, scaling.max_per_zone - expected[False][zone])
            if now_s < self._unavailable_until_s.get((service, zone, True), 0.0):
                reclaimable_limits[zone] = min(reclaimable_limits[zone], ready.reclaimable[zone])
        planned = self._plan(service, requirement, scaling, reclaimable_limits)
        # Booting engines count as obtainable. Engines that should have booted by now do not, so
        # that on-demand engines replace them.
        obtainable = {
            zone: min(count, expected[True][zone]) for zone, count in planned.reclaimable.items()
        }
        interim = self._plan(service, requirement, scaling, obtainable)
        on_demand_count = max(sum(planned.on_demand.values()), sum(interim.on_demand.values()))
        # On-demand engines that boot count as present, so that the plan stays stable.
        return with_on_demand(on_demand_count, planned.reclaimable, expected[False], scaling)

    def _ready_or_booting(
        self, kind: EngineKind, present: int, scaling: ScalingSpec, now_s: float
    ) -> int:
        """Return the number of engines of a kind that are ready or booting.

        :param present: number of ready engines of the kind
        """
        order = self._last_orders.get(kind)
        if order is None or not order.accepted:
            return present
        if now_s - order.at_s >= scaling.boot_s + BOOT_MARGIN_S:
            return present
        return max(present, order.count)

    def _is_due(self, kind: EngineKind, count: int, present: int, scaling: ScalingSpec) -> bool:
        """Return whether a number of engines of a kind is to be ordered.

        :param count: desired number of engines
        :param present: number of ready engines
        """
        now_s = asyncio.get_running_loop().time()
        order = self._last_orders.get(kind)
        if now_s < self._unavailable_until_s.get(kind, 0.0) and count > present:
            return False
        if not self._may_order(kind, count, present, order, now_s):
            return False
        if order is not None and order.count == count and order.accepted:
            # The same number was ordered before. It is ordered again if it is not reached in time:
            # the platform may have carried out an older call, whose response was lost, after it.
            boot_time_passed = now_s - order.at_s > scaling.boot_s + BOOT_MARGIN_S
            return count != present and boot_time_passed
        return order is not None or count > 0 or present > 0

    async def _order_if_holder(
        self, kind: EngineKind, count: int, present: int, needed: int, load_estimator: LoadEstimator
    ) -> None:
        try:
            fencing_token = self._holder.begin_call()
            if fencing_token is not None:
                await self._send_order(fencing_token, kind, count, present, needed, load_estimator)
        finally:
            self._kinds_in_flight.discard(kind)

    async def _send_order(
        self,
        fencing_token: FencingToken,
        kind: EngineKind,
        count: int,
        present: int,
        needed: int,
        load_estimator: LoadEstimator,
    ) -> None:
        """Send the order for a number of engines of a kind.

        :param present: number of ready engines of the kind, for the log
        :param needed: number of the service's engines required after a reclaim, for the log
        """
        now_s = asyncio.get_running_loop().time()
        service, zone, reclaimable = kind
        self.orders += 1
        try:
            accepted = await self._cloud.order_engines(
                fencing_token, service, zone, count, reclaimable
            )
            outcome = "accepted" if accepted else "none_to_be_had"
            if accepted and fencing_token.number == self._last_token_number:
                self._last_orders[kind] = _Order(count, now_s, accepted=True)
        except CloudRefused as error:
            outcome = f"refused: {error}"
        except CloudUncertain as error:
            # The platform may still carry out the order; repeating it is idempotent.
            outcome = f"uncertain: {error}"
            self._last_orders[kind] = _Order(count, now_s)
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
            read_tokens=load_estimator.last_prefilled_total,
            read_tokens_per_s=round(self._read_speed(service)),
            fence=fencing_token.number,
            outcome=outcome,
        )

    def _may_order(
        self, kind: EngineKind, count: int, present: int, order: _Order | None, now_s: float
    ) -> bool:
        """Return whether a number of engines may be ordered.

        A smaller number than the last one is ordered only after `SCALE_DOWN_DELAY_S`.
        """
        last_count = order.count if order is not None else present
        if count >= last_count:
            self._lower_count_since_s.pop(kind, None)
            return True
        since_s = self._lower_count_since_s.setdefault(kind, now_s)
        return now_s - since_s >= SCALE_DOWN_DELAY_S
