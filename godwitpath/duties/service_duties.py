"""The capacity and rollout duties of every service and region, as the configuration names them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from godwitpath.capacity.demand import EnginePace, engines_needed
from godwitpath.capacity.duty import CapacityDuty, CapacityTarget
from godwitpath.capacity.reports import (
    DemandReport,
    DemandTable,
    capacity_duty,
    rollout_duty,
    send_reports,
)
from godwitpath.config.model import Configuration, Service
from godwitpath.duties.duty import Duty
from godwitpath.duties.keeper import DutyKeeper
from godwitpath.membership.member import Member
from godwitpath.ports.engine import Engine, EngineError
from godwitpath.ports.kv import KeyValueStore
from godwitpath.ports.peers import PeerTransport
from godwitpath.ports.platform import Cloud, InstanceList
from godwitpath.rollout.duty import RolloutDuty
from godwitpath.upstreams.table import UpstreamTable

LOOK_S = 2.0
"""Time between two looks at which duties there are."""

LOAD_TIMEOUT_S = 3.0


@dataclass(slots=True, frozen=True)
class DutyParts:
    """What the duties work with.

    :ivar configuration: returns the configuration in force, None before there is one
    :ivar report: returns this entry's work of a service in a region
    :ivar pace: returns what an engine of a service does
    """

    keeper: DutyKeeper
    store: KeyValueStore
    cloud: Cloud
    listing: InstanceList
    engine: Engine
    table: UpstreamTable
    local: Member
    live: Callable[[], list[Member]]
    transport: PeerTransport
    configuration: Callable[[], Configuration | None]
    report: Callable[[str, str], DemandReport]
    pace: Callable[[str], EnginePace]
    rng: random.Random


class ServiceDuties:
    """Runs every duty's steps; each acts only while its duty is held here.

    :param others: duties of other parts, which the keeper holds as well
    """

    def __init__(self, parts: DutyParts, others: Sequence[Duty] = ()) -> None:
        self._parts = parts
        self._others = tuple(others)
        self._tasks: dict[Duty, asyncio.Task[None]] = {}
        self._running: dict[Duty, CapacityDuty | RolloutDuty] = {}
        self._demand = DemandTable()
        self._demand.register(parts.transport)

    async def run(self) -> None:
        """Run until cancelled."""
        parts = self._parts
        sending = asyncio.create_task(
            send_reports(parts.local, parts.live, parts.transport, self._demand, self._reports)
        )
        try:
            while True:
                self._look()
                await asyncio.sleep(LOOK_S)
        finally:
            tasks = [sending, *self._tasks.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._tasks.clear()
            self._running.clear()

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {
            f"{duty.name}/{duty.shard}": running.dump()
            for duty, running in self._running.items()
            if self._parts.keeper.holding(duty) is not None
        }

    def _look(self) -> None:
        """Begin the duties that are new, and end those that are gone."""
        wanted = self._wanted()
        self._parts.keeper.set_duties([*self._others, *wanted])
        for duty in self._tasks.keys() - wanted.keys():
            self._tasks.pop(duty).cancel()
            del self._running[duty]
        for duty, make in wanted.items():
            task = self._tasks.get(duty)
            if task is None or task.done():
                self._running[duty] = make()
                self._tasks[duty] = asyncio.create_task(self._running[duty].run())

    def _wanted(self) -> dict[Duty, Callable[[], CapacityDuty | RolloutDuty]]:
        wanted: dict[Duty, Callable[[], CapacityDuty | RolloutDuty]] = {}
        for name, region in self._places():
            wanted[capacity_duty(name, region)] = partial(self._capacity, name, region)
            wanted[rollout_duty(region)] = partial(self._rollout, region)
        return wanted

    def _places(self) -> list[tuple[str, str]]:
        """Return every service with engines and the regions that it runs in."""
        regions = sorted({member.region for member in self._parts.live()})
        return [
            (name, region)
            for name, service in self._services().items()
            if service.model is not None
            for region in service.regions or regions
        ]

    def _services(self) -> dict[str, Service]:
        configuration = self._parts.configuration()
        return configuration.services if configuration else {}

    def _reports(self) -> list[DemandReport]:
        return [self._parts.report(name, region) for name, region in self._places()]

    def _capacity(self, name: str, region: str) -> CapacityDuty:
        parts = self._parts
        return CapacityDuty(
            name,
            region,
            capacity_duty(name, region),
            parts.keeper,
            parts.store,
            parts.cloud,
            parts.listing,
            lambda: CapacityTarget(self._services()[name].fleet, self._needed(name, region)),
            self._idle,
            parts.rng,
        )

    def _rollout(self, region: str) -> RolloutDuty:
        parts = self._parts
        return RolloutDuty(
            region,
            parts.keeper,
            parts.store,
            parts.engine,
            parts.table,
            lambda: parts.configuration() or Configuration({}),
            lambda: self._needed_in(region),
            self._idle,
            parts.rng,
        )

    async def _idle(self, upstream_id: str) -> bool:
        """Return whether an engine has no work left, False when it does not say."""
        upstream = self._parts.table.get(upstream_id)
        if upstream is None or upstream.state == "gone":
            return True
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                report = await self._parts.engine.load(upstream.address)
        except (EngineError, TimeoutError):
            return False
        return not report.running and not report.waiting

    def _needed(self, name: str, region: str) -> int:
        service = self._services()[name]
        rate = self._demand.total_rate(capacity_duty(name, region))
        return engines_needed(rate, self._parts.pace(name), service.latency)

    def _needed_in(self, region: str) -> Mapping[str, int]:
        """Return the engines that each service needs; all of them while that is not known."""
        return {
            name: (
                max(self._services()[name].fleet.minimum, self._needed(name, region))
                if self._demand.is_known(capacity_duty(name, region))
                else self._services()[name].fleet.maximum
            )
            for name, place in self._places()
            if place == region
        }
