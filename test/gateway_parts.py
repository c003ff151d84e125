"""Shared parts of the gateway's tests: settings, configurations, a daemon with its surroundings."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from godwitpath.platform.configuration import CONFIGURATION_KEY
from godwitpath.platform.engines import ENGINES_PREFIX
from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.engine import EngineStandin
from godwitpath_standin.gateway.store_app import StoreServer
from godwitpath_standin.gateway.store_core import StoreCore
from godwitpath_standin.ports import ReservedPorts

ROOT = Path(__file__).parent.parent
KEY = "key-of-hule"


def settings_document(
    store: Address | None = None, ports: list[int] | None = None, **changes: Any
) -> dict[str, Any]:
    """Return a settings file as the platform writes it."""
    front, ready, peer = ports or [8221, 8224, 7600]
    return {
        "nodeName": "edge-a-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "region": "r",
        "zones": {"a": "r", "b": "r", "c": "far"},
        "listen": {"frontend": f"127.0.0.1:{front}", "readiness": f"127.0.0.1:{ready}"},
        "portRange": [peer, peer],
        "seeds": [],
        "bootstrap": True,
        "limits": {"memoryMb": 300, "maxFds": 4100},
        "bounds": {"graceS": 8, "leaseMs": 3000, "enforceFencing": True, "usageWindowS": 5},
        "platform": {"address": str(store or Address("127.0.0.1", 1)), "ttlMinMs": 1000},
        "cloud": None,
        "heartbeatMs": 1200,
        "unknownField": [1, 2],
    } | changes


def route(name: str, prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": "shop.example",
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": "desk",
        "maxAttempts": 1,
        "allowAnonymous": False,
        "sessionAffinity": False,
        "streamResume": False,
    } | changes


def configuration_document(**changes: Any) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "version": 7,
        "routes": [
            route("read", "/read/", "idempotent", maxAttempts=2),
            route("book", "/book/", "non_idempotent"),
            route("plan", "/stream/", "streaming", service="lm", timeoutMs=6000),
            route(
                "digest",
                "/stream/digest/",
                "streaming",
                service="lm",
                timeoutMs=6000,
                maxAttempts=2,
                streamResume=True,
                gapAimMs=100,
            ),
            route("open", "/open/", "idempotent", allowAnonymous=True),
        ],
        "services": [
            {"name": "desk", "healthCheckPath": "/healthz", "maxConnections": 100},
            {
                "name": "lm",
                "healthCheckPath": "/healthz",
                "maxConnections": 100,
                "engine": {
                    "slots": 8,
                    "kvCapacity": 232000,
                    "models": [{"name": "m"}],
                    "moves": True,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule", "apiKeys": [KEY], "priority": 1}],
    } | changes


@dataclass(slots=True)
class Answer:
    """A response as a caller sees it.

    :ivar complete: whether its end arrived
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def ask(
    port: int,
    target: str,
    *,
    method: str = "GET",
    key: str = KEY,
    body: bytes = b"",
    request_id: str = "r1",
    host: str = "shop.example",
    headers: dict[str, str] | None = None,
    timeout_s: float = 8.0,
) -> Answer:
    """Send a request on a new connection and read the response to its end."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {request_id}"]
    if key:
        lines.append(f"Api-Key: {key}")
    fields = {"X-Deadline-Ms": "5000"} | (headers or {})
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_answer(reader)
        finally:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one response; one that is cut short is not complete."""
    answer = Answer()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()) or b"x", 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return answer


@dataclass(slots=True)
class Surroundings:
    """A daemon as a process of its own, with a store and engines.

    :ivar port: where it takes callers
    """

    core: StoreCore
    store: StoreServer
    engines: dict[str, EngineStandin]
    port: int
    ready_port: int
    metrics_port: int
    settings: Path
    process: asyncio.subprocess.Process

    def register(self, engine_id: str, service: str, **fields: Any) -> None:
        """Write an engine's entry into the store."""
        entry = self.engines[engine_id].entry(service, **fields)
        self.core.put(ENGINES_PREFIX + engine_id, entry)

    def configure(self, **changes: Any) -> None:
        """Write a configuration into the store."""
        self.core.put(CONFIGURATION_KEY, json.dumps(configuration_document(**changes)).encode())

    async def ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        try:
            answer = await ask(self.ready_port, "/readyz", key="")
        except OSError:
            return False
        return answer.status == 200

    async def until_ready(self, wanted: bool = True, timeout_s: float = 10.0) -> None:
        """Wait until it says so, or until it says that it is not."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while await self.ready() is not wanted:
            if loop.time() > end_s:
                raise TimeoutError(f"ready is not {wanted} after {timeout_s} s")
            await asyncio.sleep(0.05)

    async def log(self) -> list[dict[str, Any]]:
        """End the daemon, and return its log lines."""
        if self.process.returncode is None:
            self.process.terminate()
        output, _ = await self.process.communicate()
        return [json.loads(line) for line in output.splitlines() if line.startswith(b"{")]


@asynccontextmanager
async def surroundings(
    services: dict[str, str], configure: bool = True, **changes: Any
) -> AsyncIterator[Surroundings]:
    """Run a daemon before engines of the given services.

    :param services: service of each engine by its id
    :param changes: of the settings
    """
    core = StoreCore()
    store = StoreServer(core)
    address = await store.start()
    engines = {name: EngineStandin(name) for name in services}
    for engine in engines.values():
        await engine.start()
    reserved = ReservedPorts(4)
    *ports, metrics_port = reserved.ports
    folder = Path(os.environ.get("PYTEST_TMP", "/tmp"))
    settings = folder / f"gateway-settings-{ports[0]}.json"
    settings.write_text(json.dumps(settings_document(address, ports, **changes)))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "godwitpath.gateway",
        cwd=ROOT,
        env={
            **os.environ,
            "GODWITPATH_SETTINGS": str(settings),
            "GODWITPATH_METRICS_PORT": str(metrics_port),
        },
        stdout=asyncio.subprocess.PIPE,
    )
    parts = Surroundings(core, store, engines, ports[0], ports[1], metrics_port, settings, process)
    try:
        for name, service in services.items():
            parts.register(name, service)
        if configure:
            parts.configure()
            await parts.until_ready()
        yield parts
    finally:
        if process.returncode is None:
            process.kill()
            await process.communicate()
        for engine in engines.values():
            await engine.stop()
        await store.stop()
        settings.unlink()
        reserved.release()


def json_bytes(document: dict[str, Any]) -> bytes:
    """Return a document as JSON."""
    return json.dumps(document).encode()
