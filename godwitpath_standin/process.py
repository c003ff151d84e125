"""One process of a fleet: started, told where it listens, and ended by its id."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 60.0
PACKED_PROGRAM_VARIABLE = "GODWITPATH_PROGRAM"
"""Environment variable that names a packed program for the entries to run."""

STOP_TIMEOUT_S = 5.0


class StartFailed(Exception):
    """A process ended, or did not say where it listens."""


class Process:
    """A program started from the checkout.

    :ivar name: name within the fleet
    :ivar announced: the line of JSON by which it said where it listens
    """

    def __init__(self, name: str, arguments: list[str], log_folder: Path) -> None:
        self.name = name
        self.announced: dict[str, Any] = {}
        self._arguments = arguments
        self._log_path = log_folder / f"{name}.log"
        self._child: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id, 0 before the start."""
        return self._child.pid if self._child else 0

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._child is not None and self._child.returncode is None

    async def start(self) -> None:
        """Start it and wait until it says where it listens.

        :raises StartFailed: it did not
        """
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        with self._log_path.open("ab") as log:
            self._child = await asyncio.create_subprocess_exec(
                *_command_line(self._arguments),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )
        assert self._child.stdout is not None
        try:
            line = await asyncio.wait_for(self._child.stdout.readline(), START_TIMEOUT_S)
            self.announced = json.loads(line)
        except (TimeoutError, ValueError) as error:
            self.kill()
            log_tail = self._log_path.read_text(errors="replace")[-2000:]
            raise StartFailed(f"{self.name} did not start: {log_tail}") from error

    def kill(self) -> None:
        """End it at once."""
        self._signal(signal.SIGKILL)

    def pause(self) -> None:
        """Freeze it."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen one go on."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to stop."""
        self._signal(signal.SIGTERM)

    async def wait(self, timeout_s: float = 60.0) -> int:
        """Wait until it has ended; returns its exit code."""
        assert self._child is not None
        return await asyncio.wait_for(self._child.wait(), timeout_s)

    async def end(self) -> None:
        """End it, gently first."""
        if not self.running:
            return
        self.resume()
        self.terminate()
        try:
            await self.wait(STOP_TIMEOUT_S)
        except TimeoutError:
            self.kill()
            await self.wait()

    def _signal(self, signum: signal.Signals) -> None:
        if self._child is not None and self._child.returncode is None:
            self._child.send_signal(signum)


def _command_line(arguments: list[str]) -> list[str]:
    """Return how a module of the checkout is started, or the packed program in its place."""
    packed_program = os.environ.get(PACKED_PROGRAM_VARIABLE, "")
    if packed_program and arguments[0] == "godwitpath":
        return [packed_program, *arguments[1:]]
    return [sys.executable, "-m", *arguments]
