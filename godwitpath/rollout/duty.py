"""The duty that orders a region's engines to the written state, and verifies that they have it.

An order states what is written, never a difference, so that an old one which arrives late is put
right by the next look.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from godwitpath.capacity.reports import rollout_duty
from godwitpath.config.model import Configuration
from godwitpath.duties.keeper import DutyKeeper
from godwitpath.ports.engine import Engine, EngineError, EngineOrder, EngineStatus, OrderFenced
from godwitpath.rollout.plan import EngineSeen, PlannedOrder, RolloutPlan, plan_rollout
from godwitpath.upstreams.table import Upstream, UpstreamTable

STEP_S = 2.0
LOADS_AT_ONCE = 4
STATUS_AT_ONCE = 16

ORDER_MARGIN_S = 1.0
"""Time that the lease must still hold for an order to an engine that checks fencing numbers."""

UNCHECKED_MARGIN_S = 5.0
"""The same for an engine that ignores the number; longer than an order can be under way."""

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
    :ivar plan: the last plan, for operators
    """

    def __init__(
        self,
        region: str,
        keeper: DutyKeeper,
        engine: Engine,
        table: UpstreamTable,
        configuration: Callable[[], Configuration],
        needed: Callable[[], Mapping[str, int]],
        rng: random.Random,
        loads_at_once: int = LOADS_AT_ONCE,
    ) -> None:
        self._region = region
        self._duty = rollout_duty(region)
        self._keeper = keeper
        self._engine = engine
        self._table = table
        self._configuration = configuration
        self._needed = needed
        self._rng = rng
        self._loads_at_once = loads_at_once
        self._ordered_at_s: dict[str, float] = {}
        self._verified: dict[str, str] = {}
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
        configuration = self._configuration()
        engines = await self._look()
        self.plan = plan_rollout(
            configuration.services, engines, self._needed(), self._loads_at_once
        )
        for planned in self.plan.orders:
            fleet = configuration.services[planned.engine.service].fleet
            if not await self._order(planned, fleet.checks_fencing):
                return

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
        return has_model and upstream.region == self._region and upstream.state == "serving"

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
        )

    async def _order(self, planned: PlannedOrder, checks_fencing: bool) -> bool:
        """Send one order; returns whether the duty is still held for more."""
        fence = self._keeper.holding(self._duty)
        margin_s = ORDER_MARGIN_S if checks_fencing else UNCHECKED_MARGIN_S
        if fence is None or fence.valid_for_s(_now_s()) < margin_s:
            self.counters.not_held += 1
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
