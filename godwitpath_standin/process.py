"""Starts, signals and stops one process of a fleet."""

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
"""Environment variable with the path of a packed program that the entries run."""

STOP_TIMEOUT_S = 5.0


class StartFailed(Exception):
    """The process exited or did not print its listening address in time."""


class Process:
    """A program that runs from the checkout.

    :ivar name: name within the fleet, also the name of the log file
    :ivar addresses: decoded JSON line with the listening addresses that the process printed
    """

    def __init__(self, name: str, arguments: list[str], log_folder: Path) -> None:
        self.name = name
        self.addresses: dict[str, Any] = {}
        self._arguments = arguments
        self._log_path = log_folder / f"{name}.log"
        self._child: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Operating-system identifier of the process; 0 before the process is started."""
        return self._child.pid if self._child else 0

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._child is not None and self._child.returncode is None

    async def start(self) -> None:
        """Start the process and wait until it prints its listening addresses.

        :raises StartFailed: the process exited or printed none within `START_TIMEOUT_S`
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
            self.addresses = json.loads(line)
        except (TimeoutError, ValueError) as error:
            self.kill()
            log_tail = self._log_path.read_text(errors="replace")[-2000:]
            raise StartFailed(f"{self.name} did not start: {log_tail}") from error

    def kill(self) -> None:
        """Send SIGKILL."""
        self._signal(signal.SIGKILL)

    def pause(self) -> None:
        """Send SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT to a paused process."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self._signal(signal.SIGTERM)

    async def wait(self, timeout_s: float = 60.0) -> int:
        """Wait until the process exits.

        :returns: exit code
        :raises TimeoutError: the process still runs after the timeout
        """
        assert self._child is not None
        return await asyncio.wait_for(self._child.wait(), timeout_s)

    async def stop(self) -> None:
        """Stop the process with SIGTERM, and with SIGKILL after `STOP_TIMEOUT_S`."""
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
    """Return the command line for a module of the checkout.

    The packed program, when set, replaces the `godwitpath` module.
    """
    packed_program = os.environ.get(PACKED_PROGRAM_VARIABLE, "")
    if packed_program and arguments[0] == "godwitpath":
        return [packed_program, *arguments[1:]]
    return [sys.executable, "-m", *arguments]
