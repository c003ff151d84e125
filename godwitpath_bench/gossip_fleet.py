"""Starts and controls the entry processes of the gossip experiment and reads their output."""

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
DISSEMINATION_TIMEOUT_S = 20.0
"""Time after an event at which it counts as lost if some entry has not reported it."""

SEED_ENTRIES = 3
"""Number of entries that all entries know from the start."""


@dataclass(slots=True)
class EntryProcess:
    """A process with one entry.

    :ivar address: host and port of the entry's peer transport
    :ivar events: time of the first report of an event, by kind and subject
    :ivar event_log: kind, subject and time of all reported events
    """

    entry_id: str
    process: asyncio.subprocess.Process
    address: list[Any] = field(default_factory=list)
    events: dict[tuple[str, str], float] = field(default_factory=dict)
    event_log: list[tuple[str, str, float]] = field(default_factory=list)
    reports: asyncio.Queue[dict[str, float]] = field(default_factory=asyncio.Queue)
    reader: asyncio.Task[None] | None = None

    def send_command(self, **command: Any) -> None:
        """Send a command to the process as a JSON line."""
        assert self.process.stdin is not None
        self.process.stdin.write((json.dumps(command) + "\n").encode())


class ProcessFleet:
    """A fleet of entries that each run in a separate process."""

    def __init__(self, count: int, mode: str, upstreams: int, seed: int) -> None:
        self.count = count
        self.mode = mode
        self.upstreams = upstreams
        self.seed = seed
        self.entries: list[EntryProcess] = []

    async def start(self) -> float:
        """Start every process.

        :returns: time from the start commands until every entry knows all others, in seconds
        """
        public_key, secret_key = (key.decode() for key in zmq.curve_keypair())
        starts = (self._start_entry(number, public_key, secret_key) for number in range(self.count))
        self.entries = list(await asyncio.gather(*starts))
        await self._wait_for_all(lambda entry: bool(entry.address), START_TIMEOUT_S)
        seed_entries = [[entry.entry_id, *entry.address] for entry in self.entries[:SEED_ENTRIES]]
        started_at_s = time.time()
        for entry in self.entries:
            entry.send_command(do="start", seeds=seed_entries)
        await self._wait_for_all(lambda entry: ("met_all", "") in entry.events, START_TIMEOUT_S)
        return time.time() - started_at_s

    async def dissemination_time_s(self, event: str, subject: str, started_at_s: float) -> float:
        """Return the time until the last entry reported an event, at most the timeout."""
        try:
            await self._wait_for_all(
                lambda entry: (event, subject) in entry.events, DISSEMINATION_TIMEOUT_S
            )
        except TimeoutError:
            return DISSEMINATION_TIMEOUT_S
        return max(entry.events[event, subject] for entry in self.entries) - started_at_s

    async def report(self) -> list[dict[str, float]]:
        """Return the counters and resource use of every entry."""
        for entry in self.entries:
            entry.send_command(do="report")
        return [await entry.reports.get() for entry in self.entries]

    async def pause(self, entry: EntryProcess, pause_s: float) -> None:
        """Suspend a process for a time."""
        os.kill(entry.process.pid, signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        os.kill(entry.process.pid, signal.SIGCONT)

    def count_events_since(self, event: str, since_s: float) -> dict[str, int]:
        """Return the number of reports of an event since a time, by subject."""
        counts: dict[str, int] = defaultdict(int)
        for entry in self.entries:
            for kind, subject, at_s in entry.event_log:
                counts[subject] += kind == event and at_s >= since_s
        return {subject: count for subject, count in counts.items() if count}

    async def stop(self) -> None:
        """Stop every process."""
        for entry in self.entries:
            assert entry.process.stdin is not None
            entry.process.stdin.close()
        for entry in self.entries:
            try:
                await asyncio.wait_for(entry.process.wait(), 10.0)
            except TimeoutError:
                entry.process.kill()
                await entry.process.wait()
            if entry.reader is not None:
                await entry.reader

    async def _start_entry(self, number: int, public_key: str, secret_key: str) -> EntryProcess:
        job = {
            "entry_id": f"entry-{number:03d}",
            "region": f"region-{number % REGIONS}",
            "count": self.count,
            "mode": self.mode,
            "upstreams": self.upstreams,
            "seed": self.seed,
            "public_key": public_key,
            "secret_key": secret_key,
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "godwitpath_bench.gossip_entry",
            json.dumps(job),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        entry = EntryProcess(str(job["entry_id"]), process)
        entry.reader = asyncio.create_task(_read_messages(entry))
        return entry

    async def _wait_for_all(self, condition: Any, timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            while not all(condition(entry) for entry in self.entries):  # noqa: ASYNC110
                await asyncio.sleep(0.02)


async def _read_messages(entry: EntryProcess) -> None:
    assert entry.process.stdout is not None
    async for line in entry.process.stdout:
        message = json.loads(line)
        if "address" in message:
            entry.address = message["address"]
        elif "report" in message:
            entry.reports.put_nowait(message["report"])
        else:
            entry.events.setdefault((message["event"], message["what"]), message["at_s"])
            entry.event_log.append((message["event"], message["what"], message["at_s"]))
