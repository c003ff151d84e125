"""Records how much memory the daemons of a soak take."""

from __future__ import annotations

import asyncio

import psutil

from godwitpath_standin.soak.environment import Daemon, SoakEnvironment

MEMORY_POLL_S = 0.1
"""Interval at which the memory of the daemons is read."""


async def record_memory(environment: SoakEnvironment) -> None:
    """Record the largest memory of each daemon's processes until cancelled."""
    peaks_mb = environment.history.peak_memory_mb
    while True:
        for daemon in environment.daemons:
            peaks_mb[daemon.name] = max(peaks_mb.get(daemon.name, 0.0), memory_mb(daemon))
        await asyncio.sleep(MEMORY_POLL_S)


def memory_mb(daemon: Daemon) -> float:
    """Return the resident memory of a daemon's process, 0 if none runs."""
    process = daemon.process
    if process is None or process.returncode is not None:
        return 0.0
    try:
        return float(psutil.Process(process.pid).memory_info().rss / 1e6)
    except psutil.NoSuchProcess:
        # It has ended since, and is restarted.
        return 0.0
