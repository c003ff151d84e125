"""Runs the capacity and rollout duties of every configured service and region.

A duty is a task that one entry, its holder, runs under a lease for all entries.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from godwitpath.capacity.demand import EngineSpeed, engines_needed
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
from godwitpath.duties.manager import DutyManager
from godwitpath.membership.member import Member
from godwitpath.ports.engine import Engine, EngineError
from godwitpath.ports.kv import KeyValueStore
from godwitpath.ports.peers import PeerTransport
from godwitpath.ports.platform import Cloud, InstanceList
from godwitpath.rollout.duty import RolloutDuty
from godwitpath.upstreams.table import UpstreamTable

UPDATE_INTERVAL_S = 2.0
"""Time between two updates of the list of duties."""

LOAD_TIMEOUT_S = 3.0
"""Longest wait for the load report of an engine."""


@dataclass(slots=True, frozen=True)
class DutyDependencies:
    """Objects and functions that the capacity and rollout duties use.

    :ivar duty_manager: acquires and renews the duties of this entry
    :ivar listing: the platform's list of instances
    :ivar engine: client that reads load reports from engines and sends them orders
    :ivar table: table of the known upstreams
    :ivar local: this entry
    :ivar live: returns the live entries
    :ivar configuration: returns the current configuration, None before one is loaded
    :ivar report: returns this entry's demand report for a service and a region
    :ivar engine_speed: returns the measured speed of an engine of a service: prefill in tokens per
        second, and the time between output tokens in seconds
    """

    duty_manager: DutyManager
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
    engine_speed: Callable[[str], EngineSpeed]
    rng: random.Random


class ServiceDuties:
    """Runs a task for every duty; a task acts only while this entry holds its duty.

    :param others: duties of other components that share the duty manager
    """

    def __init__(self, dependencies: DutyDependencies, others: Sequence[Duty] = ()) -> None:
        self._dependencies = dependencies
        self._other_duties = tuple(others)
        self._tasks: dict[Duty, asyncio.Task[None]] = {}
        self._duties: dict[Duty, CapacityDuty | RolloutDuty] = {}
        self._demand = DemandTable()
        self._demand.register(dependencies.transport)

    async def run(self) -> None:
        """Run until cancelled."""
        dependencies = self._dependencies
        report_task = asyncio.create_task(
            send_reports(
                dependencies.local,
                dependencies.live,
                dependencies.transport,
                self._demand,
                self._reports,
            )
        )
        try:
            while True:
                self._update_tasks()
                await asyncio.sleep(UPDATE_INTERVAL_S)
        finally:
            tasks = [report_task, *self._tasks.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._tasks.clear()
            self._duties.clear()

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {
            f"{duty.name}/{duty.shard}": task_duty.dump()
            for duty, task_duty in self._duties.items()
            if self._dependencies.duty_manager.fencing_token(duty) is not None
        }

    def _update_tasks(self) -> None:
        """Start tasks of new duties, restart ended tasks, and cancel tasks of removed duties."""
        factories = self._duty_factories()
        self._dependencies.duty_manager.set_duties([*self._other_duties, *factories])
        for duty in self._tasks.keys() - factories.keys():
            self._tasks.pop(duty).cancel()
            del self._duties[duty]
        for duty, factory in factories.items():
            task = self._tasks.get(duty)
            if task is None or task.done():
                self._duties[duty] = factory()
                self._tasks[duty] = asyncio.create_task(self._duties[duty].run())

    def _duty_factories(self) -> dict[Duty, Callable[[], CapacityDuty | RolloutDuty]]:
        factories: dict[Duty, Callable[[], CapacityDuty | RolloutDuty]] = {}
        for name, region in self._services_by_region():
            factories[capacity_duty(name, region)] = partial(self._new_capacity_duty, name, region)
            factories[rollout_duty(region)] = partial(self._new_rollout_duty, region)
        return factories

    def _services_by_region(self) -> list[tuple[str, str]]:
        """Return each service that has a model, with each region that it runs in."""
        regions = sorted({member.region for member in self._dependencies.live()})
        return [
            (name, region)
            for name, service in self._services().items()
            if service.model is not None
            for region in service.regions or regions
        ]

    def _services(self) -> dict[str, Service]:
        configuration = self._dependencies.configuration()
        return configuration.services if configuration else {}

    def _reports(self) -> list[DemandReport]:
        return [
            self._dependencies.report(name, region) for name, region in self._services_by_region()
        ]

    def _new_capacity_duty(self, name: str, region: str) -> CapacityDuty:
        dependencies = self._dependencies
        return CapacityDuty(
            name,
            region,
            capacity_duty(name, region),
            dependencies.duty_manager,
            dependencies.store,
            dependencies.cloud,
            dependencies.listing,
            lambda: CapacityTarget(
                self._services()[name].fleet, self._engines_needed(name, region)
            ),
            self._is_idle,
            dependencies.rng,
        )

    def _new_rollout_duty(self, region: str) -> RolloutDuty:
        dependencies = self._dependencies
        return RolloutDuty(
            region,
            dependencies.duty_manager,
            dependencies.store,
            dependencies.engine,
            dependencies.table,
            lambda: dependencies.configuration() or Configuration({}),
            lambda: self._engines_needed_in(region),
            self._is_idle,
            dependencies.rng,
        )

    async def _is_idle(self, upstream_id: str) -> bool:
        """Return whether an engine has no work left, False when it does not respond."""
        upstream = self._dependencies.table.get(upstream_id)
        if upstream is None or upstream.state == "gone":
            return True
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                load_report = await self._dependencies.engine.load(upstream.address)
        except (EngineError, TimeoutError):
            return False
        return not load_report.running and not load_report.waiting

    def _engines_needed(self, name: str, region: str) -> int:
        service = self._services()[name]
        rate = self._demand.total_rate(capacity_duty(name, region))
        return engines_needed(rate, self._dependencies.engine_speed(name), service.latency)

    def _engines_needed_in(self, region: str) -> Mapping[str, int]:
        """Return the number of engines that each service needs in a region.

        While the demand of a service is unknown, this is the maximum of its fleet, so that no
        engine counts as unneeded.
        """
        return {
            name: (
                max(self._services()[name].fleet.minimum, self._engines_needed(name, region))
                if self._demand.is_known(capacity_duty(name, region))
                else self._services()[name].fleet.maximum
            )
            for name, service_region in self._services_by_region()
            if service_region == region
        }
