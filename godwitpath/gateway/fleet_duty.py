"""Orders engines: follows demand and reclaims, and states each number anew until it holds."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from godwitpath.gateway.cloud import Cloud, CloudRefused, CloudUncertain, DutyProof
from godwitpath.gateway.demand import Demand, Need
from godwitpath.gateway.engines import EngineBook, EngineState
from godwitpath.gateway.fleet_plan import FleetPlan, plan_fleet, with_lasting
from godwitpath.gateway.holder import DutyHolder
from godwitpath.gateway.in_force import ConfigurationInForce
from godwitpath.gateway.model import ScalingSpec, ServiceSpec
from godwitpath.telemetry.decisions import decision

STEP_S = 0.2
MEASURED_S = 6.0
"""Time of work after which the measured demand replaces the guess of the start."""

START_SHARE = 1 / 3
"""Part of the most engines allowed that are taken to be needed until demand is measured:
operators allow for their peak and a zone's loss."""

NONE_TO_BE_HAD_S = 2.0
"""Time after which a kind of engine that was not to be had is asked for again."""

BOOT_SLACK_S = 1.5
"""Time beside the boot after which an ordered engine that is not there is ordered again."""

FEWER_AFTER_S = 2.0
"""Time for which fewer engines must have been enough before fewer are ordered."""

PLANS_KEPT = 64
"""Plans that are remembered: a large one takes 15 ms, and little changes from step to step."""

Kind = tuple[str, str, bool]
"""Service, availability zone, and whether the engines are reclaimable."""


@dataclass(slots=True)
class _Order:
    """What was last ordered of a kind.

    :ivar accepted: whether the platform confirmed it
    """

    count: int
    at_s: float
    accepted: bool = False


@dataclass(slots=True)
class FleetCount:
    """Engines of a service that take work, by availability zone."""

    reclaimable: Counter[str]
    lasting: Counter[str]


class FleetDuty:
    """The duty of ordering engines.

    :param load: returns the prompt tokens read since the start and the streams that run, summed
        over all daemons
    :ivar orders: orders sent
    """

    def __init__(
        self,
        cloud: Cloud,
        holder: DutyHolder,
        engines: EngineBook,
        in_force: ConfigurationInForce,
        load: Callable[[str], tuple[int, int]],
    ) -> None:
        self.orders = 0
        self._cloud = cloud
        self._holder = holder
        self._engines = engines
        self._in_force = in_force
        self._load = load
        self._demands: dict[str, Demand] = {}
        self._orders: dict[Kind, _Order] = {}
        self._present: dict[Kind, int] = {}
        self._none_until_s: dict[Kind, float] = {}
        self._enough_since_s: dict[Kind, float] = {}
        self._token = 0
        self._plans: dict[tuple[object, ...], FleetPlan] = {}
        self._asked: set[Kind] = set()

    async def run(self) -> None:
        """Order while this daemon holds the duty, until cancelled."""
        async with asyncio.TaskGroup() as group:
            await self._run(group)

    async def _run(self, group: asyncio.TaskGroup) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(STEP_S)
            current = self._in_force.current
            if current is None:
                continue
            for service in current.services.values():
                if service.scaling is None:
                    continue
                demand = self._demand_of(service)
                read_tokens, running = self._load(service.name)
                demand.observe(read_tokens, running, loop.time())
                if self._holder.proof() is not None:
                    for order in self._look_after(service, service.scaling, demand):
                        # One whose answer does not come holds up no other.
                        group.create_task(order)

    def _demand_of(self, service: ServiceSpec) -> Demand:
        demand = self._demands.get(service.name)
        if demand is None:
            slots = service.engine.slots if service.engine else 1
            demand = self._demands[service.name] = Demand(slots)
        return demand

    def _plan(
        self, service: str, need: Need, scaling: ScalingSpec, to_be_had: Mapping[str, int]
    ) -> FleetPlan:
        """Return the plan, worked out only when what it depends on has changed."""
        key = (service, self._in_force.revision, need, *to_be_had.items())
        plan = self._plans.get(key)
        if plan is None:
            if len(self._plans) >= PLANS_KEPT:
                self._plans.clear()
            plan = self._plans[key] = plan_fleet(need, scaling, to_be_had)
        return plan

    def count(self, service: str) -> FleetCount:
        """Return the engines of a service that take work."""
        found = FleetCount(Counter(), Counter())
        for engine in self._engines.all():
            entry = engine.entry
            if entry.service == service and entry.state is EngineState.READY:
                (found.reclaimable if entry.reclaimable else found.lasting)[entry.zone] += 1
        return found

    def _look_after(
        self, service: ServiceSpec, scaling: ScalingSpec, demand: Demand
    ) -> Iterator[Coroutine[Any, Any, None]]:
        """Yield the orders that are due."""
        now_s = asyncio.get_running_loop().time()
        proof = self._holder.proof()
        if proof is not None and proof.token != self._token:
            # The orders of the holder before are not known: all are stated anew.
            self._token = proof.token
            self._orders.clear()
        found = self.count(service.name)
        need = demand.need()
        if demand.measured_for_s(now_s) < MEASURED_S:
            most = scaling.max_per_zone * len(scaling.zone_prices)
            need = need.at_least(math.ceil(START_SHARE * most))
        needed = need.after_reclaim
        self._note_reclaims(service.name, scaling, found)
        wanted = self._wanted(service.name, need, scaling, found, now_s)
        there = {
            zone: min(found.reclaimable[zone], wanted.reclaimable[zone])
            for zone in found.reclaimable
        }
        replaced = FleetPlan(there, wanted.lasting, 0.0).after_reclaim >= needed
        for zone in scaling.zone_prices:
            for reclaimable in (True, False):
                counts = wanted.reclaimable if reclaimable else wanted.lasting
                present = found.reclaimable if reclaimable else found.lasting
                count = counts[zone]
                if not reclaimable and not replaced:
                    # Lasting engines go only once those that replace them are there.
                    count = max(count, present[zone])
                kind = (service.name, zone, reclaimable)
                if kind not in self._asked and self._is_due(kind, count, present[zone], scaling):
                    self._asked.add(kind)
                    yield self._order(kind, count, present[zone], needed, demand)

    def _note_reclaims(self, service: str, scaling: ScalingSpec, found: FleetCount) -> None:
        """Take engines that left without an order for what they are: gone, and not on their way."""
        for zone in scaling.zone_prices:
            kind = (service, zone, True)
            present, before = found.reclaimable[zone], self._present.get(kind, 0)
            self._present[kind] = present
            order = self._orders.get(kind)
            if order is not None and present < min(before, order.count):
                decision("reclaim_seen", service=service, zone=zone, present=present, before=before)
                order.at_s = float("-inf")

    def _wanted(
        self, service: str, need: Need, scaling: ScalingSpec, found: FleetCount, now_s: float
    ) -> FleetPlan:
        """Return what is wanted now: the plan, and lasting engines for what it lacks meanwhile."""
        expected: dict[bool, dict[str, int]] = {True: {}, False: {}}
        to_be_had: dict[str, int] = {}
        for zone in scaling.zone_prices:
            for reclaimable, present in ((True, found.reclaimable), (False, found.lasting)):
                kind = (service, zone, reclaimable)
                count = self._expected(kind, present[zone], scaling, now_s)
                expected[reclaimable][zone] = count
            # Both kinds share a zone's bound: lasting engines leave before others take their room.
            to_be_had[zone] = max(0, scaling.max_per_zone - expected[False][zone])
            if now_s < self._none_until_s.get((service, zone, True), 0.0):
                to_be_had[zone] = min(to_be_had[zone], found.reclaimable[zone])
        ideal = self._plan(service, need, scaling, to_be_had)
        # What is on its way counts; what is not there when it should be is replaced.
        reachable = {
            zone: min(count, expected[True][zone]) for zone, count in ideal.reclaimable.items()
        }
        bridged = self._plan(service, need, scaling, reachable)
        engines = max(sum(ideal.lasting.values()), sum(bridged.lasting.values()))
        # Engines that were ordered and boot count where they are, so that the plan does not move.
        return with_lasting(engines, ideal.reclaimable, expected[False], scaling)

    def _expected(self, kind: Kind, present: int, scaling: ScalingSpec, now_s: float) -> int:
        """Return the engines of a kind that are there or on their way."""
        order = self._orders.get(kind)
        if order is None or not order.accepted:
            return present
        if now_s - order.at_s >= scaling.boot_s + BOOT_SLACK_S:
            return present
        return max(present, order.count)

    def _is_due(self, kind: Kind, count: int, present: int, scaling: ScalingSpec) -> bool:
        """Return whether a number is to be ordered: not what holds, nor what is on its way."""
        now_s = asyncio.get_running_loop().time()
        order = self._orders.get(kind)
        if now_s < self._none_until_s.get(kind, 0.0) and count > present:
            return False
        if not self._lowers(kind, count, present, order, now_s):
            return False
        if order is not None and order.count == count and order.accepted:
            # A call without an answer may have been carried out after this one.
            settled = now_s - order.at_s > scaling.boot_s + BOOT_SLACK_S
            return count != present and settled
        return order is not None or count > 0 or present > 0

    async def _order(
        self, kind: Kind, count: int, present: int, needed: int, demand: Demand
    ) -> None:
        try:
            proof = self._holder.proof()
            if proof is not None:
                await self._call(proof, kind, count, present, needed, demand)
        finally:
            self._asked.discard(kind)

    async def _call(
        self, proof: DutyProof, kind: Kind, count: int, present: int, needed: int, demand: Demand
    ) -> None:
        """Order a number of engines of a kind."""
        now_s = asyncio.get_running_loop().time()
        service, zone, reclaimable = kind
        self.orders += 1
        try:
            accepted = await self._cloud.order_engines(proof, service, zone, count, reclaimable)
            outcome = "accepted" if accepted else "none_to_be_had"
            if accepted and proof.token == self._token:
                self._orders[kind] = _Order(count, now_s, accepted=True)
        except CloudRefused as error:
            outcome = f"refused: {error}"
        except CloudUncertain as error:
            # It may still be carried out; stating the number again does no harm.
            outcome = f"uncertain: {error}"
            self._orders[kind] = _Order(count, now_s)
        if outcome != "accepted":
            self._none_until_s[kind] = now_s + NONE_TO_BE_HAD_S
        decision(
            "engines_ordered",
            service=service,
            zone=zone,
            reclaimable=reclaimable,
            count=count,
            present=present,
            needed=needed,
            busy_engines=round(demand.busy_engines, 2),
            read_tokens=demand.read_tokens,
            fence=proof.token,
            outcome=outcome,
        )

    def _lowers(
        self, kind: Kind, count: int, present: int, order: _Order | None, now_s: float
    ) -> bool:
        """Return whether an order may go out: fewer engines only when that held for a while."""
        stated = order.count if order is not None else present
        if count >= stated:
            self._enough_since_s.pop(kind, None)
            return True
        since_s = self._enough_since_s.setdefault(kind, now_s)
        return now_s - since_s >= FEWER_AFTER_S
