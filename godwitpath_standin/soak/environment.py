"""Environment of a soak: a store, a cloud API, engines and daemons, connected through proxies."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import signal
from collections.abc import Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

from godwitpath.platform.configuration import CONFIGURATION_KEY
from godwitpath.platform.engines import ENGINES_PREFIX
from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.gateway.cloud_app import CloudServer
from godwitpath_standin.gateway.documents import configuration_document, settings_document
from godwitpath_standin.gateway.engine import EngineStandin, RequestCopy
from godwitpath_standin.gateway.process import start_gateway
from godwitpath_standin.gateway.store_app import StoreServer
from godwitpath_standin.gateway.store_core import StoreCore
from godwitpath_standin.ports import ReservedPorts
from godwitpath_standin.process import ROOT
from godwitpath_standin.soak.history import (
    EVERY_DAEMON,
    Disruption,
    History,
    Stall,
    WrittenConfiguration,
)
from godwitpath_standin.soak.invariants import LEASE_S, RETRY_RATIO, RETRY_SLACK
from godwitpath_standin.soak.proxy import LoopbackProxy
from godwitpath_standin.soak.restores import StoreCopies
from godwitpath_standin.soak.usage_report import USAGE_WINDOW_S

GRACE_S = 8.0
"""Time between SIGTERM and SIGKILL when a daemon is stopped."""

RESTART_DELAY_S = 0.3
"""Time between the exit of a daemon and its restart."""

HEARTBEAT_INTERVAL_S = 1.2
"""Time between two heartbeats of an engine; after three intervals without one the
platform removes the engine."""

CRASHED_DOWN_S = 2.5
"""Time until an engine that a request crashed is replaced."""

BUSY_POLL_S = 0.1
"""Interval at which the end of another fault at the position is awaited."""

STALL_POLL_S = 0.02
"""Interval at which the soak's own process checks that it runs in time."""

STALL_S = 0.05
"""Shortest delay of the soak's own process that is recorded."""

ROUTE_OVERRIDES = {
    "read": {"maxAttempts": 3},
    "digest": {"maxAttempts": 3, "gapAimMs": 200},
}
"""Fields by which the routes of a soak differ from those of `configuration_document`."""

SCALING = {
    "minReplicas": 0,
    "maxReplicas": 3,
    "bootS": 1,
    "spotPrice": 0.3,
    "zonePrices": {"a": 1.0, "b": 1.1, "c": 1.2},
}
"""Bounds of the orders of engines. The orders are recorded and bring no engines."""

ZONES = ("a", "b", "c")
SERVICES = ("desk", "lm", "annexe")
ACCOUNTS = ("hule", "fida")


class Daemon:
    """A daemon process with its links to the platform.

    :ivar ports: ports for callers, readiness, peers and metrics
    :ivar store_link: proxy to the store
    :ivar cloud_link: proxy to the cloud API
    :ivar started_at_s: loop time at which the process was started
    :ivar exit_expected: whether an injected fault may end the process
    :ivar checkouts: roots of the checkouts whose builds its starts run, in turn
    """

    def __init__(self, name: str, zone: str, ports: list[int], folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.ports = ports
        self.process: asyncio.subprocess.Process | None = None
        self.exit_expected = False
        self.started_at_s = 0.0
        self.checkouts: Iterator[Path] = itertools.cycle([ROOT])
        self.store_link: LoopbackProxy
        self.cloud_link: LoopbackProxy
        self._settings = folder / f"{name}.json"
        self._log: IO[bytes] = (folder / f"{name}.log").open("ab")

    @property
    def caller_port(self) -> int:
        """Port for callers."""
        return self.ports[0]

    @property
    def ready_port(self) -> int:
        """Port of the readiness endpoint."""
        return self.ports[1]

    def write_settings(self) -> None:
        """Write the settings file as the platform does."""
        document = settings_document(
            self.store_link.address,
            self.ports[:3],
            nodeName=self.name,
            zone=self.zone,
            bounds={
                "graceS": GRACE_S,
                "leaseMs": int(LEASE_S * 1000),
                "enforceFencing": True,
                "usageWindowS": USAGE_WINDOW_S,
                "retryBudgetRatio": RETRY_RATIO,
                "retrySlack": RETRY_SLACK,
            },
            cloud={
                "address": str(self.cloud_link.address),
                "duties": ["usage_report", "autoscale"],
                "dutyPerS": 50,
            },
        )
        # Replaced as a whole, because a daemon may start at any moment.
        written = self._settings.with_suffix(".new")
        written.write_text(json.dumps(document))
        written.replace(self._settings)

    async def start(self) -> None:
        """Start the process."""
        self.exit_expected = False
        self.started_at_s = asyncio.get_running_loop().time()
        self.process = await start_gateway(
            self._settings, self.ports[3], self._log, self._log, checkout=next(self.checkouts)
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


@dataclass(slots=True)
class EnginePosition:
    """A position in the deployment that one engine after another fills.

    :ivar service: service of the engines at the position
    :ivar zone: availability zone of the engines at the position
    :ivar engine: current engine
    :ivar link: proxy to the current engine
    :ivar busy: whether a fault that was injected at the position has not ended
    """

    service: str
    zone: str
    engine: EngineStandin
    link: LoopbackProxy
    busy: bool = False


@dataclass(slots=True)
class SoakEnvironment:
    """Processes, stand-ins and proxies of a soak.

    :ivar rng: source of the random faults
    :ivar folder: folder for settings files and logs
    :ivar old_build: root of a checkout of an earlier build that daemons run, too, None for none
    :ivar core: state of the store
    :ivar entries: what the operator and the engines say in the store, by key
    :ivar restoring: held while the store is away and comes back from an older copy
    :ivar keys: current API key of each account
    :ivar services: current service of each route
    :ivar crashing_parts: prompt parts on which every engine crashes
    :ivar crashing_requests: requests on which every engine crashes
    """

    rng: random.Random
    folder: Path
    stack: AsyncExitStack
    old_build: Path | None = None
    core: StoreCore = field(default_factory=StoreCore)
    entries: dict[str, bytes] = field(default_factory=dict)
    restoring: asyncio.Lock = field(default_factory=asyncio.Lock)
    cloud: FakeCloud = field(default_factory=FakeCloud)
    daemons: list[Daemon] = field(default_factory=list)
    positions: list[EnginePosition] = field(default_factory=list)
    keys: dict[str, str] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    crashing_parts: set[str] = field(default_factory=set)
    crashing_requests: set[RequestCopy] = field(default_factory=set)
    history: History = field(init=False)
    store: StoreServer = field(init=False)
    copies: StoreCopies = field(init=False)
    _engine_count: int = 0
    _restart_tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.history = History(self.cloud)
        self.store = StoreServer(self.core)
        self.copies = StoreCopies(self.core)

    @property
    def now_s(self) -> float:
        """Current loop time."""
        return asyncio.get_running_loop().time()

    async def start(self, daemons: int, engines: int) -> None:
        """Start the stand-ins, proxies and daemons.

        :param daemons: number of daemons
        :param engines: number of engines of each service
        """
        store_address = await self.store.start()
        self.stack.push_async_callback(self.store.stop)
        cloud = CloudServer(self.cloud)
        cloud_address = await cloud.start()
        self.stack.push_async_callback(cloud.stop)
        self.keys = {account: f"key-of-{account}" for account in ACCOUNTS}
        self.services = {"read": "desk", "book": "desk", "plan": "lm", "digest": "lm"}
        self.write_configuration()
        for number in range(engines * len(SERVICES)):
            await self._add_position(SERVICES[number % len(SERVICES)], ZONES[number % len(ZONES)])
        for job in (self.copies.run(), self._record_stalls()):
            self._restart_tasks.append(asyncio.create_task(job))
        reserved = ReservedPorts(4 * daemons)
        self.stack.callback(reserved.release)
        for number in range(daemons):
            ports = reserved.ports[4 * number : 4 * number + 4]
            daemon = Daemon(f"edge-{number}", ZONES[number % len(ZONES)], ports, self.folder)
            daemon.store_link = LoopbackProxy(store_address)
            daemon.cloud_link = LoopbackProxy(cloud_address)
            for link in (daemon.store_link, daemon.cloud_link):
                await link.start()
                self.stack.push_async_callback(link.stop)
            daemon.write_settings()
            daemon.checkouts = self._checkouts(number)
            self.daemons.append(daemon)
        self.stack.push_async_callback(self._kill_daemons)
        for daemon in self.daemons:
            self._restart_tasks.append(asyncio.create_task(self._keep_running(daemon)))

    def write_configuration(self) -> None:
        """Write the configuration to the store and record it as confirmed."""
        document = configuration_document(
            version=len(self.history.written) + 1,
            tenants=[{"name": name, "apiKeys": [key]} for name, key in self.keys.items()],
        )
        for route in document["routes"]:
            route.update(ROUTE_OVERRIDES.get(route["name"], {}))
            route["service"] = self.services.get(route["name"], route["service"])
        [desk, _] = document["services"]
        document["services"].append(desk | {"name": "annexe"})
        desk["scaling"] = SCALING
        self._write_entry(CONFIGURATION_KEY, json.dumps(document).encode())
        keys = {key: account for account, key in self.keys.items()}
        self.history.written.append(WrittenConfiguration(self.now_s, dict(self.services), keys))

    def record_disruption(self, subject: str, for_s: float, *, fatal: bool = False) -> None:
        """Record a disruption that begins now.

        :param subject: name of a daemon or an engine
        :param fatal: whether connections are lost, blocked or delayed
        """
        disruption = Disruption(subject, self.now_s, self.now_s + for_s, fatal)
        self.history.disruptions.append(disruption)

    def record_disruption_of_all(self, for_s: float) -> None:
        """Record a disruption of every daemon that begins now."""
        self.record_disruption(EVERY_DAEMON, for_s)

    async def start_engine(self, position: EnginePosition) -> None:
        """Start a new engine at a position and write its entry into the store."""
        self._engine_count += 1
        engine = position.engine = EngineStandin(
            f"i-{self._engine_count}",
            events=20,
            event_s=0.04,
            crashing_parts=self.crashing_parts,
            crashing_requests=self.crashing_requests,
            on_crash=lambda: self._on_crash(position, engine),
        )
        target = await engine.start()
        position.link = LoopbackProxy(target)
        engine.address = await position.link.start()
        self.stack.push_async_callback(position.link.stop)
        self.stack.push_async_callback(engine.stop)
        self.history.engines.append((position.service, engine))
        self.write_engine_entry(position)

    def write_engine_entry(self, position: EnginePosition, **fields: Any) -> None:
        """Write the store entry of an engine.

        :param fields: fields that replace those of a ready engine
        """
        entry = position.engine.entry(
            position.service, position.zone, slots=64, born=self._engine_count, **fields
        )
        self._write_entry(ENGINES_PREFIX + position.engine.engine_id, entry)

    def remove_engine_entry(self, position: EnginePosition) -> None:
        """Remove the store entry of an engine."""
        self.silence(position.engine)
        if not self.store.away:
            self.core.remove(ENGINES_PREFIX + position.engine.engine_id)

    def silence(self, engine: EngineStandin) -> None:
        """Have an engine that ended write its entry no more."""
        self.entries.pop(ENGINES_PREFIX + engine.engine_id, None)

    def rewrite_entries(self) -> None:
        """Write the entries of the operator and the engines that the store lost."""
        for key, value in self.entries.items():
            item = self.core.items.get(key)
            if item is None or item.value != value:
                self.core.put(key, value)

    def _write_entry(self, key: str, value: bytes) -> None:
        self.entries[key] = value
        if not self.store.away:
            self.core.put(key, value)

    def _on_crash(self, position: EnginePosition, engine: EngineStandin) -> None:
        self.silence(engine)
        self.record_disruption(engine.engine_id, 0.0, fatal=True)
        replacing = self._replace_crashed(position, engine)
        self._restart_tasks.append(asyncio.create_task(replacing))

    async def _replace_crashed(self, position: EnginePosition, engine: EngineStandin) -> None:
        """Start another engine at the position of one that crashed.

        A fault that was injected at the position ends first, and may have replaced the engine.
        """
        await position.link.stop(keep_port=True)
        await asyncio.sleep(CRASHED_DOWN_S)
        while True:
            if not position.busy:
                break
            await asyncio.sleep(BUSY_POLL_S)
        if position.engine is engine:
            position.busy = True
            self.remove_engine_entry(position)
            await self.start_engine(position)
            position.busy = False

    def _checkouts(self, number: int) -> Iterator[Path]:
        """Return the checkouts that the starts of a daemon run.

        Half of the daemons begin with the earlier build, and each start of a daemon runs the other
        build than the one before.
        """
        if self.old_build is None:
            return itertools.cycle([ROOT])
        return itertools.islice(itertools.cycle([self.old_build, ROOT]), number % 2, None)

    async def _add_position(self, service: str, zone: str) -> None:
        engine = EngineStandin("")
        position = EnginePosition(service, zone, engine, LoopbackProxy(engine.address))
        await self.start_engine(position)
        self.positions.append(position)

    async def _record_stalls(self) -> None:
        """Record when this process runs late, since callers and engines then do so, too."""
        while True:
            due_s = self.now_s + STALL_POLL_S
            await asyncio.sleep(STALL_POLL_S)
            if self.now_s - due_s >= STALL_S:
                self.history.stalls.append(Stall(due_s, self.now_s))

    async def _keep_running(self, daemon: Daemon) -> None:
        """Restart a daemon whenever it exits, as the platform does."""
        while True:
            await daemon.start()
            assert daemon.process is not None
            status = await daemon.process.wait()
            if not daemon.exit_expected:
                self.history.unexpected_exits.append(f"{daemon.name} ended with status {status}")
            await asyncio.sleep(RESTART_DELAY_S)

    async def _kill_daemons(self) -> None:
        """Kill the processes of the daemons."""
        for task in self._restart_tasks:
            task.cancel()
        await asyncio.gather(*self._restart_tasks, return_exceptions=True)
        for daemon in self.daemons:
            daemon.signal(signal.SIGKILL)
            if daemon.process is not None:
                await daemon.process.wait()
