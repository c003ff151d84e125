"""Duty that orders the engines of a region to run the configured state, and checks that they do.

An engine that is held back gets no new work, so that it becomes idle and can load other weights.

A duty is a task that one entry, its holder, runs under a lease for all entries. An order contains
the whole configured state, not a difference, so that the next step can correct an engine that
executed a delayed, outdated order.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

from godwitpath.capacity.reports import rollout_duty
from godwitpath.config.model import Configuration
from godwitpath.duties.manager import DutyManager
from godwitpath.ports.engine import Engine, EngineError, EngineOrder, EngineStatus, OrderFenced
from godwitpath.ports.kv import KeyValue, KeyValueStore, StoreError
from godwitpath.rollout.plan import EngineObservation, PlannedOrder, RolloutPlan, plan_rollout
from godwitpath.upstreams.announce import (
    MAX_DRAIN_S,
    MIN_DRAIN_S,
    announce_stop,
    withdraw_stop,
)
from godwitpath.upstreams.stops import STOPS_PREFIX, decode_stop
from godwitpath.upstreams.table import Upstream, UpstreamTable

STEP_INTERVAL_S = 2.0
"""Average pause between two steps of the duty."""

MAX_CONCURRENT_LOADS = 4
"""Most engines of a region that load weights at the same time."""

MAX_CONCURRENT_STATUS_CALLS = 16
"""Most engines whose status is requested at the same time."""

ORDER_MARGIN_S = 1.0
"""Remaining lease time required for an order to an engine that checks fencing tokens."""

UNFENCED_ORDER_MARGIN_S = 5.0
"""Remaining lease time required for an order to an engine that ignores fencing tokens.

This is longer than an order can be in transit.
"""

STOP_REASON = "loads the written version"
"""Reason in the stops of the rollout.

A stop is a notice in the store that keeps new work off an engine, which is then held back.
"""

ORDER_TIMEOUT_S = 3.0
"""Timeout of an order and of a status request."""


@dataclass(slots=True)
class RolloutCounters:
    """Events of one :class:`RolloutDuty` since it was created.

    :ivar ordered: number of orders that engines accepted
    :ivar loads: number of accepted orders to load weights
    :ivar corrected: number of accepted orders to engines that had accepted the same version before
    :ivar fenced: number of orders that engines refused because of a newer fencing token
    :ivar failed: number of orders and status requests that failed
    :ivar not_held: number of steps ended before an order because the remaining lease was too short
    """

    ordered: int = 0
    loads: int = 0
    corrected: int = 0
    fenced: int = 0
    failed: int = 0
    not_held: int = 0


class RolloutDuty:
    """Runs the rollout of one region while the duty is held.

    :param configuration: returns the current configuration
    :param needed: returns the number of engines that the latency target needs, by service
    :param idle: returns whether an engine has no work left
    :param loads_at_once: most engines that load weights at the same time
    :ivar plan: plan of the last step, for operators
    :ivar counters: numbers of events since this object was created
    """

    def __init__(
        self,
        region: str,
        duty_manager: DutyManager,
        store: KeyValueStore,
        engine: Engine,
        table: UpstreamTable,
        configuration: Callable[[], Configuration],
        needed: Callable[[], Mapping[str, int]],
        idle: Callable[[str], Awaitable[bool]],
        rng: random.Random,
        loads_at_once: int = MAX_CONCURRENT_LOADS,
    ) -> None:
        self._region = region
        self._duty = rollout_duty(region)
        self._duty_manager = duty_manager
        self._store = store
        self._engine = engine
        self._table = table
        self._configuration = configuration
        self._needed = needed
        self._idle = idle
        self._rng = rng
        self._loads_at_once = loads_at_once
        self._ordered_at_s: dict[str, float] = {}
        self._accepted_versions: dict[str, str] = {}
        self._stops: dict[str, KeyValue] = {}
        self._stopped_at_s: dict[str, float] = {}
        self.plan = RolloutPlan()
        self.counters = RolloutCounters()

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(STEP_INTERVAL_S * (0.9 + 0.2 * self._rng.random()))

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        counters = {name: getattr(self.counters, name) for name in RolloutCounters.__slots__}
        return {"held_back": dict(self.plan.hold_reasons), "counters": counters}

    async def step(self) -> None:
        """Poll every engine and send the planned orders, if the duty is held."""
        if self._duty_manager.fencing_token(self._duty) is None:
            self.plan = RolloutPlan()
            return
        try:
            await self._step()
        except StoreError:
            # Without the store no engine can be held back, so none is ordered to load.
            return

    async def _step(self) -> None:
        configuration = self._configuration()
        await self._read_stops()
        engines = await self._poll_engines()
        self.plan = plan_rollout(
            configuration.services, engines, self._needed(), self._loads_at_once
        )
        to_resume = [
            each.upstream_id for each in self.plan.to_resume
        ] + self._removed_while_held_back()
        for upstream_id in to_resume:
            if not self._may_act(ORDER_MARGIN_S):
                return
            await withdraw_stop(self._store, self._stops[upstream_id])
        for planned in self.plan.orders:
            fleet = configuration.services[planned.observation.service].fleet
            if not self._may_act(
                ORDER_MARGIN_S if fleet.checks_fencing else UNFENCED_ORDER_MARGIN_S
            ):
                self.counters.not_held += 1
                return
            if not await self._hold_back_until_idle(planned) or (
                planned.loads and self.plan.free_loads <= 0
            ):
                continue
            self.plan.free_loads -= planned.loads
            if not await self._send_order(planned):
                return

    def _may_act(self, margin_s: float) -> bool:
        fence = self._duty_manager.fencing_token(self._duty)
        return fence is not None and fence.valid_for_s(_now_s()) >= margin_s

    async def _read_stops(self) -> None:
        """Read which engines this holder or an earlier one holds back for the rollout."""
        found = await self._store.scan(f"{STOPS_PREFIX}upstream/")
        stops = ((decode_stop(item.value), item) for item in found)
        self._stops = {
            stop.name: item for stop, item in stops if stop and stop.reason == STOP_REASON
        }
        for name in self._stops:
            self._stopped_at_s.setdefault(name, _now_s())
        for name in self._stopped_at_s.keys() - self._stops.keys():
            del self._stopped_at_s[name]

    def _removed_while_held_back(self) -> list[str]:
        """Return the engines that were removed while they were held back."""
        return [
            each.upstream_id
            for each in self._table.all()
            if each.state == "gone"
            and each.region == self._region
            and each.upstream_id in self._stops
        ]

    async def _hold_back_until_idle(self, planned: PlannedOrder) -> bool:
        """Keep new work off an engine that must load until it is idle or `MAX_DRAIN_S` is over.

        :returns: whether the order can be sent to the engine now
        """
        engine = planned.observation
        if not planned.loads:
            return True
        if not engine.held_back:
            await announce_stop(self._store, engine.upstream_id, STOP_REASON)
        status = engine.status
        if status is None or status.state != "serving" or not status.model:
            return True
        if not engine.held_back:
            return False
        held_back_for_s = _now_s() - self._stopped_at_s[engine.upstream_id]
        idle = held_back_for_s >= MIN_DRAIN_S and await self._idle(engine.upstream_id)
        return idle or held_back_for_s >= MAX_DRAIN_S

    async def _poll_engines(self) -> list[EngineObservation]:
        """Return the reported status of every managed engine of the region."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_STATUS_CALLS)
        managed = [each for each in self._table.all() if self._is_managed(each)]
        self._drop_unknown({each.upstream_id for each in self._table.all()})
        return list(await asyncio.gather(*(self._poll_engine(each, semaphore) for each in managed)))

    def _drop_unknown(self, known_ids: set[str]) -> None:
        """Drop the state of engines that are no longer in the table.

        :param known_ids: ids of all upstreams in the table
        """
        for upstream_id in self._ordered_at_s.keys() - known_ids:
            del self._ordered_at_s[upstream_id]
            self._accepted_versions.pop(upstream_id, None)

    def _is_managed(self, upstream: Upstream) -> bool:
        service = self._configuration().services.get(upstream.service)
        has_model = service is not None and service.model is not None
        held_back = upstream.state == "leaving" and upstream.upstream_id in self._stops
        available = upstream.state == "serving" or held_back
        return has_model and upstream.region == self._region and available

    async def _poll_engine(
        self, upstream: Upstream, semaphore: asyncio.Semaphore
    ) -> EngineObservation:
        status: EngineStatus | None = None
        async with semaphore:
            try:
                async with asyncio.timeout(ORDER_TIMEOUT_S):
                    status = await self._engine.status(upstream.address)
            except (EngineError, TimeoutError):
                self.counters.failed += 1
        ordered_at_s = self._ordered_at_s.get(upstream.upstream_id, float("-inf"))
        return EngineObservation(
            upstream.upstream_id,
            upstream.service,
            upstream.address,
            status,
            _now_s() - ordered_at_s,
            upstream.upstream_id in self._stops,
        )

    async def _send_order(self, planned: PlannedOrder) -> bool:
        """Send one order to an engine.

        :returns: whether the duty is still held
        """
        fence = self._duty_manager.fencing_token(self._duty)
        if fence is None:
            return False
        engine, model = planned.observation, planned.model
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
            # A later holder has sent an order to this engine.
            self.counters.fenced += 1
            return False
        except (EngineError, TimeoutError):
            # The next step polls whether the engine has executed the order.
            self.counters.failed += 1
            return True
        self.counters.ordered += 1
        self.counters.loads += planned.loads
        version = f"{model.name}@{model.version}"
        self.counters.corrected += self._accepted_versions.get(engine.upstream_id) == version
        self._accepted_versions[engine.upstream_id] = version
        return True


def _now_s() -> float:
    return asyncio.get_running_loop().time()
