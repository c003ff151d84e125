"""The processes of the gossip experiment, started, told what to do and listened to."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import zmq

REGIONS = 3
START_TIMEOUT_S = 90.0
SPREAD_TIMEOUT_S = 20.0
"""News that is not everywhere by then counts as lost."""

SEEDS = 3
"""Entries that the others know from the start."""


@dataclass(slots=True)
class Child:
    """A process with one entry.

    :ivar events: when it first told of an event, by kind and object
    """

    entry_id: str
    process: asyncio.subprocess.Process
    address: list[Any] = field(default_factory=list)
    events: dict[tuple[str, str], float] = field(default_factory=dict)
    told: list[tuple[str, str, float]] = field(default_factory=list)
    reports: asyncio.Queue[dict[str, float]] = field(default_factory=asyncio.Queue)
    reader: asyncio.Task[None] | None = None

    def order(self, **order: Any) -> None:
        """Tell the process what to do."""
        assert self.process.stdin is not None
        self.process.stdin.write((json.dumps(order) + "\n").encode())


class ProcessFleet:
    """Entries in processes of their own."""

    def __init__(self, count: int, mode: str, upstreams: int, seed: int) -> None:
        self.count = count
        self.mode = mode
        self.upstreams = upstreams
        self.seed = seed
        self.children: list[Child] = []

    async def start(self) -> float:
        """Start every process; returns how long it took from the start until all knew all."""
        public, secret = (key.decode() for key in zmq.curve_keypair())
        starts = (self._start_one(number, public, secret) for number in range(self.count))
        self.children = list(await asyncio.gather(*starts))
        await self._wait(lambda child: bool(child.address), START_TIMEOUT_S)
        seeds = [[child.entry_id, *child.address] for child in self.children[:SEEDS]]
        started_at_s = time.time()
        for child in self.children:
            child.order(do="start", seeds=seeds)
        await self._wait(lambda child: ("met_all", "") in child.events, START_TIMEOUT_S)
        return time.time() - started_at_s

    async def spread(self, event: str, what: str, began_at_s: float) -> float:
        """Return how long it took until every entry told of an event, or the time-out."""
        try:
            await self._wait(lambda child: (event, what) in child.events, SPREAD_TIMEOUT_S)
        except TimeoutError:
            return SPREAD_TIMEOUT_S
        return max(child.events[event, what] for child in self.children) - began_at_s

    async def report(self) -> list[dict[str, float]]:
        """Return the figures of every entry."""
        for child in self.children:
            child.order(do="report")
        return [await child.reports.get() for child in self.children]

    async def pause(self, child: Child, time_s: float) -> None:
        """Stop a process for a while."""
        os.kill(child.process.pid, signal.SIGSTOP)
        await asyncio.sleep(time_s)
        os.kill(child.process.pid, signal.SIGCONT)

    def told_since(self, event: str, since_s: float) -> dict[str, int]:
        """Return how many entries told of an event since a time, by its object."""
        found: dict[str, int] = defaultdict(int)
        for child in self.children:
            for kind, what, at_s in child.told:
                found[what] += kind == event and at_s >= since_s
        return {what: count for what, count in found.items() if count}

    async def stop(self) -> None:
        """End every process."""
        for child in self.children:
            assert child.process.stdin is not None
            child.process.stdin.close()
        for child in self.children:
            try:
                await asyncio.wait_for(child.process.wait(), 10.0)
            except TimeoutError:
                child.process.kill()
                await child.process.wait()
            if child.reader is not None:
                await child.reader

    async def _start_one(self, number: int, public: str, secret: str) -> Child:
        job = {
            "entry_id": f"entry-{number:03d}",
            "region": f"region-{number % REGIONS}",
            "count": self.count,
            "mode": self.mode,
            "upstreams": self.upstreams,
            "seed": self.seed,
            "public_key": public,
            "secret_key": secret,
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "godwitpath_bench.gossip_entry",
            json.dumps(job),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        child = Child(str(job["entry_id"]), process)
        child.reader = asyncio.create_task(_read(child))
        return child

    async def _wait(self, condition: Any, timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            while not all(condition(child) for child in self.children):  # noqa: ASYNC110
                await asyncio.sleep(0.02)


async def _read(child: Child) -> None:
    assert child.process.stdout is not None
    async for line in child.process.stdout:
        said = json.loads(line)
        if "address" in said:
            child.address = said["address"]
        elif "report" in said:
            child.reports.put_nowait(said["report"])
        else:
            child.events.setdefault((said["event"], said["what"]), said["at_s"])
            child.told.append((said["event"], said["what"], said["at_s"]))
