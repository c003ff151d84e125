"""The duty that orders a region's engines to the written state, and verifies that they have it.

An order states what is written, never a difference, so that an old one which arrives late is put
right by the next look.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

from godwitpath.capacity.reports import rollout_duty
from godwitpath.config.model import Configuration
from godwitpath.duties.keeper import DutyKeeper
from godwitpath.ports.engine import Engine, EngineError, EngineOrder, EngineStatus, OrderFenced
from godwitpath.ports.kv import KeyValue, KeyValueStore, StoreError
from godwitpath.rollout.plan import EngineSeen, PlannedOrder, RolloutPlan, plan_rollout
from godwitpath.upstreams.announce import (
    DRAIN_LEAST_S,
    DRAIN_MOST_S,
    announce_stop,
    withdraw_stop,
)
from godwitpath.upstreams.stops import STOPS_PREFIX, decode_stop
from godwitpath.upstreams.table import Upstream, UpstreamTable

STEP_S = 2.0
LOADS_AT_ONCE = 4
STATUS_AT_ONCE = 16

ORDER_MARGIN_S = 1.0
"""Time that the lease must still hold for an order to an engine that checks fencing numbers."""

UNCHECKED_MARGIN_S = 5.0
"""The same for an engine that ignores the number; longer than an order can be under way."""

REASON = "loads the written version"
"""Reason of the stops that hold engines back for the rollout."""

ORDER_TIMEOUT_S = 3.0
"""Longest time that an order is waited for."""


@dataclass(slots=True)
class RolloutCounters:
    """What the duty did."""

    ordered: int = 0
    loads: int = 0
    corrected: int = 0
    fenced: int = 0
    failed: int = 0
    not_held: int = 0


class RolloutDuty:
    """Holds the rollout of one region.

    :param configuration: returns the configuration in force
    :param needed: returns the engines that hold the latency target, by service
    :param idle: says whether an engine has no work left
    :ivar plan: the last plan, for operators
    """

    def __init__(
        self,
        region: str,
        keeper: DutyKeeper,
        store: KeyValueStore,
        engine: Engine,
        table: UpstreamTable,
        configuration: Callable[[], Configuration],
        needed: Callable[[], Mapping[str, int]],
        idle: Callable[[str], Awaitable[bool]],
        rng: random.Random,
        loads_at_once: int = LOADS_AT_ONCE,
    ) -> None:
        self._region = region
        self._duty = rollout_duty(region)
        self._keeper = keeper
        self._store = store
        self._engine = engine
        self._table = table
        self._configuration = configuration
        self._needed = needed
        self._idle = idle
        self._rng = rng
        self._loads_at_once = loads_at_once
        self._ordered_at_s: dict[str, float] = {}
        self._verified: dict[str, str] = {}
        self._stops: dict[str, KeyValue] = {}
        self._stopped_at_s: dict[str, float] = {}
        self.plan = RolloutPlan()
        self.counters = RolloutCounters()

    async def run(self) -> None:
        """Take steps until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(STEP_S * (0.9 + 0.2 * self._rng.random()))

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        counters = {name: getattr(self.counters, name) for name in RolloutCounters.__slots__}
        return {"held_back": dict(self.plan.held), "counters": counters}

    async def step(self) -> None:
        """Look at every engine, and order those whose turn it is, if the duty is held."""
        if self._keeper.holding(self._duty) is None:
            self.plan = RolloutPlan()
            return
        try:
            await self._step()
        except StoreError:
            # Without the store no engine is held back, so none is ordered to load either.
            return

    async def _step(self) -> None:
        configuration = self._configuration()
        await self._read_stops()
        engines = await self._look()
        self.plan = plan_rollout(
            configuration.services, engines, self._needed(), self._loads_at_once
        )
        returned = [each.upstream_id for each in self.plan.returned] + self._gone()
        for upstream_id in returned:
            if not self._may_act(ORDER_MARGIN_S):
                return
            await withdraw_stop(self._store, self._stops[upstream_id])
        for planned in self.plan.orders:
            fleet = configuration.services[planned.engine.service].fleet
            if not self._may_act(ORDER_MARGIN_S if fleet.checks_fencing else UNCHECKED_MARGIN_S):
                self.counters.not_held += 1
                return
            if not await self._drained(planned) or (planned.loads and self.plan.room <= 0):
                continue
            self.plan.room -= planned.loads
            if not await self._order(planned):
                return

    def _may_act(self, margin_s: float) -> bool:
        fence = self._keeper.holding(self._duty)
        return fence is not None and fence.valid_for_s(_now_s()) >= margin_s

    async def _read_stops(self) -> None:
        """Read which engines are held back for the rollout, by this holder or an earlier one."""
        found = await self._store.scan(f"{STOPS_PREFIX}upstream/")
        stops = ((decode_stop(item.value), item) for item in found)
        self._stops = {stop.name: item for stop, item in stops if stop and stop.reason == REASON}
        for name in self._stops:
            self._stopped_at_s.setdefault(name, _now_s())
        for name in self._stopped_at_s.keys() - self._stops.keys():
            del self._stopped_at_s[name]

    def _gone(self) -> list[str]:
        """Return the engines that went while they were held back."""
        return [
            each.upstream_id
            for each in self._table.all()
            if each.state == "gone"
            and each.region == self._region
            and each.upstream_id in self._stops
        ]

    async def _drained(self, planned: PlannedOrder) -> bool:
        """Return whether an engine can load now; one that has work is held back first."""
        engine = planned.engine
        if not planned.loads:
            return True
        if not engine.held_back:
            await announce_stop(self._store, engine.upstream_id, REASON)
        status = engine.status
        if status is None or status.state != "serving" or not status.model:
            return True
        if not engine.held_back:
            return False
        waited_s = _now_s() - self._stopped_at_s[engine.upstream_id]
        empty = waited_s >= DRAIN_LEAST_S and await self._idle(engine.upstream_id)
        return empty or waited_s >= DRAIN_MOST_S

    async def _look(self) -> list[EngineSeen]:
        """Return every engine of the region with what it runs."""
        limit = asyncio.Semaphore(STATUS_AT_ONCE)
        here = [each for each in self._table.all() if self._ours(each)]
        self._forget({each.upstream_id for each in self._table.all()})
        return list(await asyncio.gather(*(self._see(each, limit) for each in here)))

    def _forget(self, known: set[str]) -> None:
        """Drop what is remembered of engines that are known no more."""
        for upstream_id in self._ordered_at_s.keys() - known:
            del self._ordered_at_s[upstream_id]
            self._verified.pop(upstream_id, None)

    def _ours(self, upstream: Upstream) -> bool:
        service = self._configuration().services.get(upstream.service)
        has_model = service is not None and service.model is not None
        held_back = upstream.state == "leaving" and upstream.upstream_id in self._stops
        ours = upstream.state == "serving" or held_back
        return has_model and upstream.region == self._region and ours

    async def _see(self, upstream: Upstream, limit: asyncio.Semaphore) -> EngineSeen:
        status: EngineStatus | None = None
        async with limit:
            try:
                async with asyncio.timeout(ORDER_TIMEOUT_S):
                    status = await self._engine.status(upstream.address)
            except (EngineError, TimeoutError):
                self.counters.failed += 1
        ordered_at_s = self._ordered_at_s.get(upstream.upstream_id, float("-inf"))
        return EngineSeen(
            upstream.upstream_id,
            upstream.service,
            upstream.address,
            status,
            _now_s() - ordered_at_s,
            upstream.upstream_id in self._stops,
        )

    async def _order(self, planned: PlannedOrder) -> bool:
        """Send one order; returns whether the duty is still held for more."""
        fence = self._keeper.holding(self._duty)
        if fence is None:
            return False
        engine, model = planned.engine, planned.model
        order = EngineOrder(
            fence.number,
            engine.service,
            model.name,
            model.version,
            list(model.adapters),
            model.role,
        )
        self._ordered_at_s[engine.upstream_id] = _now_s()
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                await self._engine.order(engine.address, order)
        except OrderFenced:
            # A later holder has ordered it.
            self.counters.fenced += 1
            return False
        except (EngineError, TimeoutError):
            # Whether it was followed is seen at the next look.
            self.counters.failed += 1
            return True
        self.counters.ordered += 1
        self.counters.loads += planned.loads
        version = f"{model.name}@{model.version}"
        self.counters.corrected += self._verified.get(engine.upstream_id) == version
        self._verified[engine.upstream_id] = version
        return True


def _now_s() -> float:
    return asyncio.get_running_loop().time()
