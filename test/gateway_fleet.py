"""Test helper: daemons that exchange messages over loopback, with one store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from godwitpath.gateway.accounts import QuotaTracker
from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.crash_watch import CrashWatch
from godwitpath.gateway.engine_limits import EngineLimits
from godwitpath.gateway.engines import EngineEntry, EngineRegistry, EngineState
from godwitpath.gateway.in_force import ConfigurationInForce
from godwitpath.gateway.left_store import LeftStore
from godwitpath.gateway.members import MemberEntry, Members
from godwitpath.gateway.peers import Peers
from godwitpath.gateway.placement import Placer
from godwitpath.gateway.retry_budget import RetryBudget
from godwitpath.gateway.usage import UsageCounter
from godwitpath.platform.adapter import PlatformAdapter
from godwitpath.platform.settings import decode_settings
from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.documents import (
    configuration_document,
    settings_document,
)
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore
from godwitpath_standin.ports import ReservedPorts
from test.gateway_parts import json_bytes

STORE_WAIT_S = 3.0
"""Time within which the watch requests of daemons that no longer watch have ended."""

GROWN_BOUNDS = {"contactMs": 5000, "drainMs": 4000, "configApplyMs": 4000}
"""Bounds of the grown deployments, as in the settings file."""


class Daemon:
    """The components of a daemon that take part in the exchange of messages with other daemons."""

    def __init__(
        self,
        core: StoreCore,
        name: str,
        zone: str,
        port: int,
        bounds: dict[str, int] | None = None,
    ) -> None:
        self.name, self.zone, self.port = name, zone, port
        document = settings_document(nodeName=name, zone=zone, portRange=[port, port])
        document["bounds"] |= bounds or {}
        settings = decode_settings(json_bytes(document))
        adapter = PlatformAdapter(settings)
        self.store = FakeStore(core)
        rng = Random(port)
        quota = QuotaTracker(rng, 8.0)
        engines = EngineRegistry()
        self.ctx = GatewayContext(
            settings=settings,
            header_codec=adapter,
            in_force=ConfigurationInForce(),
            engines=engines,
            placer=Placer(zone, "r", {}, Random(1)),
            quota=quota,
            retry_budget=RetryBudget(0.2, 10.0, 50.0),
            usage=UsageCounter(settings.bounds.usage_window_s),
            pool=None,  # type: ignore[arg-type]
            rng=rng,
            limits=EngineLimits(quota.urgent),
            crashes=CrashWatch(engines, quota.urgent),
        )
        for number in range(3):
            address = Address("h", number)
            entry = EngineEntry(f"e{number}", "lm", address, zone, EngineState.READY, 64, 1)
            self.ctx.engines.put(entry)
        self.members = Members(self.store, name, MemberEntry("127.0.0.1", port, zone, port), rng)
        self.catalogue = Catalogue(
            self.store,
            adapter,
            self.ctx.in_force,
            EngineRegistry(),
            rng,
            settings.bounds.change_s,
        )
        self.left_store = LeftStore(self.store, self.members, self.catalogue, rng)
        self.catalogue.load_conditions.append(self.left_store.applied)
        self.peers = Peers(self.ctx, self.catalogue, self.members, port)
        self.ctx.permits = self.peers.permits
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        await self.peers.start()
        jobs = (
            self.members.run(),
            self.peers.run(),
            self.catalogue.run(),
            self.left_store.run(),
        )
        self.tasks = [asyncio.create_task(job) for job in jobs]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.peers.close()

    def running_at(self, engine_id: str) -> int:
        """Return the running requests of all daemons at an engine, as known to this daemon."""
        engine = self.ctx.engines.get(engine_id)
        assert engine is not None
        return engine.all_running


@asynccontextmanager
async def fleet(
    count: int, zones: str, bounds: dict[str, int] | None = None
) -> AsyncIterator[list[Daemon]]:
    """Run daemons with one store.

    :param bounds: bounds that differ from the defaults, as in the settings file
    """
    core = StoreCore()
    core.put("op/config", json_bytes(configuration_document()))
    reserved = ReservedPorts(count)
    ports = reserved.ports
    daemons = [
        Daemon(core, f"d{index:02d}", zones[index % len(zones)], ports[index], bounds)
        for index in range(count)
    ]
    for daemon in daemons:
        await daemon.start()
    try:
        yield daemons
    finally:
        for daemon in daemons:
            await daemon.stop()
        reserved.release()
