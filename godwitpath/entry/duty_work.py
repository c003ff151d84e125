"""The duties of an entry daemon: singleton tasks that one daemon runs for the deployment."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from typing import Any

from godwitpath.capacity.demand import EngineSpeed, median_engine_speed
from godwitpath.duties.manager import DutyManager
from godwitpath.duties.service_duties import DutyDependencies, ServiceDuties
from godwitpath.entry.context import EntryContext, now_s
from godwitpath.execution.sweep import SWEEP_DUTY, ExecutionSweeper
from godwitpath.ports.kv import KeyValueStore
from godwitpath.ports.peers import PeerTransport
from godwitpath.ports.platform import Cloud, InstanceList

KEEP_EXECUTIONS_S = 604_800.0
"""Retention of the outcomes of non-idempotent calls (7 days)."""


class DutyWork:
    """Acquires the duties for which this entry ranks first, and runs them.

    :ivar keeper: acquires, renews and releases the duty leases
    """

    __slots__ = ("_context", "_service_duties", "_sweeper", "keeper")

    def __init__(
        self,
        context: EntryContext,
        store: KeyValueStore,
        cloud: Cloud,
        listing: InstanceList,
        transport: PeerTransport,
        rng: random.Random,
    ) -> None:
        self._context = context
        membership = context.membership
        self.keeper = DutyManager(store, membership.local, membership.live, rng)
        self._sweeper = ExecutionSweeper(store, self.keeper, KEEP_EXECUTIONS_S)
        dependencies = DutyDependencies(
            duty_manager=self.keeper,
            store=store,
            cloud=cloud,
            listing=listing,
            engine=context.engine,
            table=context.upstreams,
            local=membership.local,
            live=membership.live,
            transport=transport,
            configuration=lambda: context.config.current,
            report=context.meter.report,
            engine_speed=self._engine_speed,
            rng=rng,
        )
        self._service_duties = ServiceDuties(dependencies, others=[SWEEP_DUTY])

    def background_work(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Return the background tasks to run, by name."""
        return {
            "duties": self.keeper.run,
            "service duties": self._service_duties.run,
            "sweep": self._sweeper.run,
        }

    def held(self) -> list[str]:
        """Return the names of the duties that this entry holds."""
        return [f"{duty.name}/{duty.shard}" for duty in self.keeper.held()]

    def dump(self) -> dict[str, Any]:
        """Return the state of the leases and the duties for the state dump."""
        return {"keeper": self.keeper.dump(), "services": self._service_duties.dump()}

    def _engine_speed(self, service: str) -> EngineSpeed:
        """Return the engine speed of a service as measured by this entry."""
        serving = self._context.upstreams.serving(service)
        return median_engine_speed(self._context.load_tracker.views(serving, now_s()))
