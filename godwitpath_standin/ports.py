"""Reserves ports that are configured before a process listens, without clashes between fleets."""

from __future__ import annotations

import fcntl
import random
import socket
import tempfile
from pathlib import Path
from typing import IO

FIRST_PORT = 10_000
DEFAULT_FIRST_EPHEMERAL_PORT = 32_768
EPHEMERAL_RANGE_PATH = Path("/proc/sys/net/ipv4/ip_local_port_range")


class ReservedPorts:
    """Ports below the ephemeral range, each reserved by a file lock.

    Outgoing connections take ports of the ephemeral range and could occupy a reserved port there.

    :param count: number of ports to reserve
    :ivar ports: the reserved ports; fewer than `count` when too few are free
    """

    def __init__(self, count: int) -> None:
        self.ports: list[int] = []
        self._locks: list[IO[str]] = []
        lock_folder = Path(tempfile.gettempdir()) / "godwitpath-ports"
        lock_folder.mkdir(exist_ok=True)
        candidates = list(range(FIRST_PORT, _first_ephemeral_port()))
        random.SystemRandom().shuffle(candidates)
        for port in candidates:
            if len(self.ports) == count:
                break
            self._try_reserve(lock_folder, port)

    def release(self) -> None:
        """Release the locks, so that other fleets can reserve the ports."""
        for lock in self._locks:
            lock.close()
        self._locks.clear()

    def _try_reserve(self, lock_folder: Path, port: int) -> None:
        lock = (lock_folder / str(port)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            lock.close()
            return
        self._locks.append(lock)
        self.ports.append(port)


def _first_ephemeral_port() -> int:
    try:
        return int(EPHEMERAL_RANGE_PATH.read_text(encoding="ascii").split()[0])
    except (OSError, ValueError):
        return DEFAULT_FIRST_EPHEMERAL_PORT
