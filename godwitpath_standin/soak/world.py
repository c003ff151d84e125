"""The surroundings of a soak: a store, a cloud API, engines and daemons, with proxies between."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

from godwitpath.platform.configuration import CONFIGURATION_KEY
from godwitpath.platform.engines import ENGINES_PREFIX
from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.gateway.cloud_app import CloudServer
from godwitpath_standin.gateway.documents import configuration_document, settings_document
from godwitpath_standin.gateway.engine import EngineStandin
from godwitpath_standin.gateway.process import start_gateway
from godwitpath_standin.gateway.store_app import StoreServer
from godwitpath_standin.gateway.store_core import StoreCore
from godwitpath_standin.ports import ReservedPorts
from godwitpath_standin.soak.history import EVERYTHING, Disruption, History, Written
from godwitpath_standin.soak.promises import RETRY_RATIO, RETRY_SLACK
from godwitpath_standin.soak.proxy import LoopbackProxy

GRACE_S = 8.0
"""Time between the signal to stop and the kill."""

RESTART_S = 0.3
"""Time until an ended daemon is started again."""

HEARTBEAT_S = 1.2
"""Time between two signs of life of an engine; it counts as gone after three."""

ROUTE_CHANGES = {
    "read": {"maxAttempts": 3},
    "digest": {"maxAttempts": 3, "gapAimMs": 200},
}
"""What a soak's routes have otherwise than those of the stand-ins' configuration."""

ZONES = ("a", "b", "c")
SERVICES = ("desk", "lm", "annexe")
ACCOUNTS = ("hule", "fida")


class Daemon:
    """A daemon with its links to the platform.

    :ivar store: its link to the store
    :ivar cloud: its link to the cloud API
    :ivar started_at_s: loop time of its process's start
    :ivar ending: whether its process was told to end
    """

    def __init__(self, name: str, zone: str, ports: list[int], folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.ports = ports
        self.process: asyncio.subprocess.Process | None = None
        self.ending = False
        self.started_at_s = 0.0
        self.store: LoopbackProxy
        self.cloud: LoopbackProxy
        self._settings = folder / f"{name}.json"
        self._log: IO[bytes] = (folder / f"{name}.log").open("ab")

    @property
    def caller_port(self) -> int:
        """Port for callers."""
        return self.ports[0]

    @property
    def ready_port(self) -> int:
        """Port of the readiness answer."""
        return self.ports[1]

    def write_settings(self) -> None:
        """Write the settings file as the platform does."""
        document = settings_document(
            self.store.address,
            self.ports[:3],
            nodeName=self.name,
            zone=self.zone,
            bounds={
                "graceS": GRACE_S,
                "leaseMs": 3000,
                "enforceFencing": True,
                "usageWindowS": 5,
                "retryBudgetRatio": RETRY_RATIO,
                "retrySlack": RETRY_SLACK,
            },
            cloud={
                "address": str(self.cloud.address),
                "duties": ["usage_report", "autoscale"],
                "dutyPerS": 50,
            },
        )
        self._settings.write_text(json.dumps(document))

    async def start(self) -> None:
        """Start its process."""
        self.ending = False
        self.started_at_s = asyncio.get_running_loop().time()
        self.process = await start_gateway(self._settings, self.ports[3], self._log, self._log)

    def signal(self, number: signal.Signals) -> None:
        """Send its process a signal, if it lives."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


@dataclass(slots=True)
class Seat:
    """A place for an engine, with its link; engines come and go there.

    :ivar busy: whether a fault of the engine has not ended
    """

    service: str
    zone: str
    engine: EngineStandin
    link: LoopbackProxy
    busy: bool = False


@dataclass(slots=True)
class World:
    """Everything that a soak runs."""

    rng: random.Random
    folder: Path
    stack: AsyncExitStack
    core: StoreCore = field(default_factory=StoreCore)
    cloud: FakeCloud = field(default_factory=FakeCloud)
    daemons: list[Daemon] = field(default_factory=list)
    seats: list[Seat] = field(default_factory=list)
    keys: dict[str, str] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    history: History = field(init=False)
    store: StoreServer = field(init=False)
    _numbers: int = 0
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.history = History(self.cloud)
        self.store = StoreServer(self.core)

    @property
    def now_s(self) -> float:
        """Loop time."""
        return asyncio.get_running_loop().time()

    async def start(self, daemons: int, engines: int) -> None:
        """Start everything.

        :param engines: engines of each service
        """
        store_address = await self.store.start()
        self.stack.push_async_callback(self.store.stop)
        cloud = CloudServer(self.cloud)
        cloud_address = await cloud.start()
        self.stack.push_async_callback(cloud.stop)
        self.keys = {account: f"key-of-{account}" for account in ACCOUNTS}
        self.services = {"read": "desk", "book": "desk", "plan": "lm", "digest": "lm"}
        self.configure()
        for number in range(engines * len(SERVICES)):
            await self._add_seat(SERVICES[number % len(SERVICES)], ZONES[number % len(ZONES)])
        reserved = ReservedPorts(4 * daemons)
        self.stack.callback(reserved.release)
        for number in range(daemons):
            ports = reserved.ports[4 * number : 4 * number + 4]
            daemon = Daemon(f"edge-{number}", ZONES[number % len(ZONES)], ports, self.folder)
            daemon.store = LoopbackProxy(store_address)
            daemon.cloud = LoopbackProxy(cloud_address)
            for link in (daemon.store, daemon.cloud):
                await link.start()
                self.stack.push_async_callback(link.stop)
            daemon.write_settings()
            self.daemons.append(daemon)
        self.stack.push_async_callback(self._end)
        for daemon in self.daemons:
            self._tasks.append(asyncio.create_task(self._keep_running(daemon)))

    def configure(self) -> None:
        """Write the configuration; the store's answer confirms it."""
        document = configuration_document(
            version=len(self.history.written) + 1,
            tenants=[{"name": name, "apiKeys": [key]} for name, key in self.keys.items()],
        )
        for each in document["routes"]:
            each.update(ROUTE_CHANGES.get(each["name"], {}))
            each["service"] = self.services.get(each["name"], each["service"])
        [desk, _] = document["services"]
        document["services"].append(desk | {"name": "annexe"})
        self.core.put(CONFIGURATION_KEY, json.dumps(document).encode())
        keys = {key: account for account, key in self.keys.items()}
        self.history.written.append(Written(self.now_s, dict(self.services), keys))

    def disrupt(self, subject: str, for_s: float, *, fatal: bool = False) -> None:
        """Note a disruption that begins now."""
        disruption = Disruption(subject, self.now_s, self.now_s + for_s, fatal)
        self.history.disruptions.append(disruption)

    def disrupt_all(self, for_s: float) -> None:
        """Note a disruption of every daemon that begins now."""
        self.disrupt(EVERYTHING, for_s)

    async def seat_engine(self, seat: Seat) -> None:
        """Let a new engine start in a seat and enter the store."""
        self._numbers += 1
        seat.engine = EngineStandin(f"i-{self._numbers}", events=20, event_s=0.04)
        target = await seat.engine.start()
        seat.link = LoopbackProxy(target)
        seat.engine.address = await seat.link.start()
        self.stack.push_async_callback(seat.link.stop)
        self.stack.push_async_callback(seat.engine.stop)
        self.history.engines.append((seat.service, seat.engine))
        self.enter(seat)

    def enter(self, seat: Seat, **fields: Any) -> None:
        """Write an engine's entry into the store."""
        entry = seat.engine.entry(seat.service, seat.zone, slots=64, born=self._numbers, **fields)
        self.core.put(ENGINES_PREFIX + seat.engine.engine_id, entry)

    def remove_entry(self, seat: Seat) -> None:
        """Remove an engine's entry from the store."""
        self.core.remove(ENGINES_PREFIX + seat.engine.engine_id)

    async def _add_seat(self, service: str, zone: str) -> None:
        engine = EngineStandin("")
        seat = Seat(service, zone, engine, LoopbackProxy(engine.address))
        await self.seat_engine(seat)
        self.seats.append(seat)

    async def _keep_running(self, daemon: Daemon) -> None:
        """Start a daemon again whenever it has ended, as the platform does."""
        while True:
            await daemon.start()
            assert daemon.process is not None
            status = await daemon.process.wait()
            if not daemon.ending:
                self.history.own_ends.append(f"{daemon.name} ended with status {status}")
            await asyncio.sleep(RESTART_S)

    async def _end(self) -> None:
        """End the daemons' processes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for daemon in self.daemons:
            daemon.signal(signal.SIGKILL)
            if daemon.process is not None:
                await daemon.process.wait()
