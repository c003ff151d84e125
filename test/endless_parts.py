"""Test helper: two daemons with senders of junk, and callers of another service beside them."""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import psutil

from godwitpath.platform.engines import ENGINES_PREFIX
from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.caller import ask
from godwitpath_standin.gateway.documents import configuration_document, route, settings_document
from godwitpath_standin.gateway.engine import EngineStandin
from godwitpath_standin.gateway.process import start_gateway
from godwitpath_standin.ports import ReservedPorts
from test.gateway_parts import ROOT, GatewayEnvironment, gateway_environment

SOUND_CALLERS = 12
PAUSE_S = 0.1
"""Time between two requests of a sound caller."""

FAULTY_ENGINES = 3


@dataclass(slots=True)
class Seen:
    """What the sound callers, and the memory of the daemons, showed during some time."""

    took_s: list[float] = field(default_factory=list)
    unanswered: int = 0
    largest_mb: float = 0.0

    @property
    def p95_s(self) -> float:
        return statistics.quantiles(self.took_s, n=20)[-1] if len(self.took_s) > 1 else 99.0

    @property
    def median_s(self) -> float:
        return statistics.median(self.took_s) if self.took_s else 99.0

    def __str__(self) -> str:
        return (
            f"{self.largest_mb:.0f} MB, {len(self.took_s)} answered, {self.unanswered} not, "
            f"median {self.median_s:.3f} s, p95 {self.p95_s:.3f} s"
        )


class Sender:
    """A running process of :mod:`test.endless_senders`.

    :ivar started: what it printed when it had started
    """

    def __init__(self, process: asyncio.subprocess.Process, started: Any) -> None:
        self.started = started
        self._process = process

    async def state(self) -> dict[str, int]:
        """Return its counters."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.write(b"\n")
        state: dict[str, int] = json.loads(await self._process.stdout.readline())
        return state


@asynccontextmanager
async def sender(role: str, kind: str, count: int, *ports: int) -> AsyncIterator[Sender]:
    """Run a process that sends junk, or asks for it."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "test.endless_senders",
        *(role, kind, str(count), *map(str, ports)),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        yield Sender(process, json.loads(await process.stdout.readline()))
    finally:
        await _end(process)


class TwoDaemons:
    """Two daemons, with sound engines of one service.

    :ivar ports: their ports for callers
    """

    def __init__(self, environment: GatewayEnvironment, ports: list[int], pids: list[int]) -> None:
        self.ports = ports
        self.environment = environment
        self._processes = [psutil.Process(pid) for pid in pids]

    def memory_mb(self) -> float:
        """Return the memory of the larger one."""
        return float(max(process.memory_info().rss for process in self._processes) / 1e6)

    def processor_s(self) -> float:
        """Return the processor time of both so far."""
        return float(sum(sum(process.cpu_times()[:2]) for process in self._processes))

    async def observe(self, for_s: float) -> Seen:
        """Ask the sound service for some time."""
        seen = Seen()
        end_s = asyncio.get_running_loop().time() + for_s
        calls = (
            self._call(f"s{number}", self.ports[number % len(self.ports)], end_s, seen)
            for number in range(SOUND_CALLERS)
        )
        await asyncio.gather(self._watch_memory(end_s, seen), *calls)
        return seen

    async def _watch_memory(self, end_s: float, seen: Seen) -> None:
        while asyncio.get_running_loop().time() < end_s:
            seen.largest_mb = max(seen.largest_mb, self.memory_mb())
            await asyncio.sleep(0.1)

    async def _call(self, name: str, port: int, end_s: float, seen: Seen) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        while (started_s := loop.time()) < end_s:
            number += 1
            try:
                response = await ask(port, "/sound/x", request_id=f"{name}-{number}")
                answered = response.status == 200 and response.complete
            except (TimeoutError, OSError):
                answered = False
            if answered:
                seen.took_s.append(loop.time() - started_s)
            else:
                seen.unanswered += 1
            await asyncio.sleep(PAUSE_S)

    def register_faulty(self, service: str, ports: list[int]) -> None:
        """Write the entries of faulty engines to the store."""
        for number, port in enumerate(ports):
            engine_id = f"f{number}"
            entry = EngineStandin(engine_id, address=Address("127.0.0.1", port)).entry(service)
            self.environment.core.put(ENGINES_PREFIX + engine_id, entry)


async def observe_both(first: TwoDaemons, second: TwoDaemons, for_s: float) -> tuple[Seen, Seen]:
    """Ask the sound service of four daemons at the same time."""
    return await asyncio.gather(first.observe(for_s), second.observe(for_s))


@asynccontextmanager
async def two_daemons() -> AsyncIterator[TwoDaemons]:
    """Run two daemons with one store, and sound engines of the service `sound`."""
    document = configuration_document()
    document["routes"].append(
        route("sound", "/sound/", "idempotent", service="sound", maxAttempts=2)
    )
    sound = {"name": "sound", "healthCheckPath": "/healthz", "maxConnections": 100}
    document["services"].append(sound)
    async with AsyncExitStack() as stack:
        environment = await stack.enter_async_context(
            gateway_environment({"g1": "sound", "g2": "sound"}, configure=False)
        )
        environment.configure(routes=document["routes"], services=document["services"])
        await environment.until_ready()
        reserved = ReservedPorts(4)
        stack.callback(reserved.release)
        *ports, metrics_port = reserved.ports
        settings = environment.settings.with_name(f"gateway-settings-{ports[0]}.json")
        first = json.loads(environment.settings.read_text())
        changed = settings_document(None, ports, nodeName="edge-a-2", platform=first["platform"])
        settings.write_text(json.dumps(changed))
        stack.callback(settings.unlink)
        process = await start_gateway(settings, metrics_port, asyncio.subprocess.DEVNULL)
        stack.push_async_callback(_end, process)
        second = GatewayEnvironment(
            environment.core,
            environment.store,
            {},
            ports[0],
            ports[1],
            metrics_port,
            settings,
            process,
        )
        await second.until_ready()
        pids = [environment.process.pid, process.pid]
        yield TwoDaemons(environment, [environment.port, ports[0]], pids)


async def _end(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.communicate()
