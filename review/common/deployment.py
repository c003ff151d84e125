"""A small deployment for the cases: a store, a cloud API, engines, and daemons as processes.

Store and cloud API are the project's own stand-ins; each case brings its own engines and clients.
"""

from __future__ import annotations

import asyncio
import atexit
import contextlib
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, NoReturn

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from godwitpath_standin.gateway.cloud import FakeCloud  # noqa: E402
from godwitpath_standin.gateway.cloud_app import CloudServer  # noqa: E402
from godwitpath_standin.gateway.documents import route, settings_document  # noqa: E402
from godwitpath_standin.gateway.store_app import StoreServer  # noqa: E402
from godwitpath_standin.gateway.store_core import StoreCore  # noqa: E402
from godwitpath_standin.ports import ReservedPorts  # noqa: E402

KEY = "key-of-hule"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "contactMs": 4000,
    "drainMs": 2500,
    "graceS": 8,
    "configApplyMs": 2500,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 56,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 110000,
    "enforceFencing": True,
    "leaseMs": 3000,
    "usageWindowS": 5,
    "usageTolerance": 0.05,
    "usageLateS": 10,
}
"""Bounds of the small deployments of the pages."""

BROKEN_STATUS = 41

MEMORY_MB = 300
"""Limit on the memory of a process in these deployments."""


class Record:
    """Writes record.txt beside the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at_s = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self._started_at_s:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()

    def details(self, title: str, lines: Iterable[str]) -> None:
        """Write what was sent, answered or run, one line each, to the file alone."""
        self._file.write(f"{title}:\n" + "".join(f"    {line}\n" for line in lines))
        self._file.flush()


def run_case(main: Callable[[], Awaitable[int]]) -> NoReturn:
    """Run a case and exit with its status, 2 if it could not run; end all processes in any case.

    A broken rule is BROKEN_STATUS here: Python itself exits with 1 after an error. run.sh turns it into 1.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(BROKEN_STATUS if status == 1 else status)


class Daemon:
    """A daemon as a process of its own, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, ports: list[int], folder: Path) -> None:
        self.name, self.zone, self.ports, self.folder = name, zone, ports, folder
        self.process: asyncio.subprocess.Process | None = None
        self.settings: dict[str, Any] = {}
        atexit.register(self._kill)

    def _kill(self) -> None:
        """End the process if the case was ended before it could."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)

    async def start(self) -> None:
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "godwitpath.gateway",
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "GODWITPATH_SETTINGS": str(path),
                    "GODWITPATH_METRICS_PORT": str(self.ports[3]),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the resident memory of the process, as the platform limits it."""
        if not self.alive or self.process is None:
            return 0.0
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def count(self, name: str) -> str:
        """Return the sum of a counter of the daemon's metrics page whose line contains a name."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[3])
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            page = (await asyncio.wait_for(reader.read(), 2)).decode(errors="replace")
            writer.close()
        except (OSError, TimeoutError):
            return "unknown"
        lines = [line for line in page.splitlines() if name in line and not line.startswith("#")]
        return f"{sum(float(line.split()[-1]) for line in lines):g}"

    async def ready(self) -> bool:
        """Return whether the daemon answers the readiness question with 200."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[1])
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return (await asyncio.wait_for(reader.read(200), 2)).startswith(b"HTTP/1.1 200")
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


class Deployment:
    """Store, cloud API and daemons."""

    def __init__(self, daemons: int = 3, **changes: Any) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.core = StoreCore()
        self.store = StoreServer(self.core)
        self.cloud = FakeCloud()
        self.daemons: list[Daemon] = []
        self._count = daemons
        self._changes = changes

    async def start(self) -> None:
        store_address = await self.store.start()
        cloud_server = CloudServer(self.cloud)
        cloud_address = await cloud_server.start()
        reserved = ReservedPorts(4 * self._count)
        for number in range(self._count):
            zone = "abc"[number % 3]
            ports = reserved.ports[4 * number : 4 * number + 4]
            daemon = Daemon(f"edge-{zone}-{number}", zone, ports, self.folder)
            daemon.settings = settings_document(
                store_address,
                ports[:3],
                nodeName=daemon.name,
                zone=zone,
                zones={"a": "r", "b": "r", "c": "r"},
                bounds=BOUNDS,
                limits={"memoryMb": MEMORY_MB, "maxFds": 4100, "cpuShare": 0.537, "cores": 2},
                cloud={
                    "address": str(cloud_address),
                    "duties": ["usage_report", "autoscale"],
                    "dutyPerS": 50,
                    "ratePerS": 50.0,
                },
                **self._changes,
            )
            self.daemons.append(daemon)
        for daemon in self.daemons:
            await daemon.start()

    async def wait_ready(self, timeout_s: float = 15) -> bool:
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if all([await daemon.ready() for daemon in self.daemons]):
                return True
            await asyncio.sleep(0.1)
        return False

    def write_configuration(self, document: dict[str, Any]) -> None:
        self.core.put("op/config", json.dumps(document).encode())

    def write_entry(self, engine_id: str, entry: dict[str, Any]) -> None:
        self.core.put(f"servers/{engine_id}", json.dumps(entry).encode())

    async def stop(self) -> None:
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            if daemon.process is not None:
                await daemon.process.wait()
        await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version: int = 7, **changes: Any) -> dict[str, Any]:
    """Return a configuration of the operator with the kinds of routes of the pages."""
    return {
        "version": version,
        "routes": [
            route("read", "/read/", "idempotent", maxAttempts=2, timeoutMs=6000),
            route("book", "/book/", "non_idempotent", timeoutMs=6000),
            route("plan", "/stream/", "streaming", service="lm", timeoutMs=6000),
        ],
        "services": [
            {"name": "desk", "healthCheckPath": "/healthz", "maxConnections": 110},
            {
                "name": "lm",
                "healthCheckPath": "/healthz",
                "maxConnections": 370,
                "engine": {
                    "slots": 64,
                    "kvCapacity": 232000,
                    "models": [{"name": "m"}],
                    "moves": True,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule", "apiKeys": [KEY], "priority": 1}],
    } | changes
