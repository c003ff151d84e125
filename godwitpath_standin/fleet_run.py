"""Runs a fleet until it is interrupted."""

from __future__ import annotations

import asyncio
import json
import signal

from godwitpath_standin.fleet import Fleet


async def run_fleet(deployment: str, entries: int, seed: int) -> None:
    """Run a fleet until interrupted, and print the addresses of its processes as JSON."""
    async with Fleet(deployment, entries, seed) as fleet:
        print(json.dumps(fleet.addresses(), indent=2), flush=True)
        stopped = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, stopped.set)
        await stopped.wait()
