"""Explain experiment: store cost of the decision journal and of a search for decision records."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

import looptime
import typer

from godwitpath.explain.journal import Journal
from godwitpath.explain.record import DecisionRecord
from godwitpath.explain.search import Search
from godwitpath_bench.report import SEEDS, in_parallel
from godwitpath_standin.fakes.kv import FakeKeyValueStore
from godwitpath_standin.kv_core import KeyValueCore

WALL_S = 1_700_000_000.0
RECORDS_PER_REQUEST = 3
DURATION_MINUTES = 10
ENTRY_COUNTS = (8, 32, 96)


@dataclass(slots=True)
class Job:
    """Parameters of one run."""

    seed: int
    entries: int
    requests_per_s: float


@dataclass(slots=True)
class Figures:
    """Results of one run; rates are per entry.

    :ivar copied_bytes_per_s: bytes copied to the backup
    :ivar found: number of searches that returned all records of a request
    :ivar calls_with_time: mean number of store reads of a search that knows the time of the request
    :ivar calls_without_time: mean number of store reads of a search that does not
    """

    writes_per_minute: float
    written_bytes_per_s: float
    bytes_per_request: float
    copied_bytes_per_s: float
    found: int
    searched: int
    calls_with_time: float
    bytes_with_time: float
    calls_without_time: float
    bytes_without_time: float


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""
    app.command("explain")(explain)


def explain(
    seed: int = 1, requests_per_s: float = 3.0, entries: str = ",".join(map(str, ENTRY_COUNTS))
) -> None:
    """Print the store calls and bytes of the journal for several numbers of entries."""
    typer.echo(
        f"{requests_per_s:g} requests/s an entry, {DURATION_MINUTES} minutes, {SEEDS} seeds, median"
    )
    header = (
        "entries  writes/min/entry  kept B/s/entry  kept B/request  copied B/s/entry"
        "  found  calls,KB with time  calls,KB without"
    )
    typer.echo(header)
    for count in map(int, entries.split(",")):
        jobs = [Job(seed + number, count, requests_per_s) for number in range(SEEDS)]
        runs = in_parallel(_run, jobs)
        runs.sort(key=lambda run: run.written_bytes_per_s)
        typer.echo(_line(count, runs[len(runs) // 2]))


def _line(entries: int, run: Figures) -> str:
    return (
        f"{entries:7d}  {run.writes_per_minute:16.2f}  {run.written_bytes_per_s:14.0f}"
        f"  {run.bytes_per_request:14.0f}  {run.copied_bytes_per_s:16.0f}"
        f"  {run.found}/{run.searched}"
        f"  {run.calls_with_time:6.1f}, {run.bytes_with_time / 1000:8.1f}"
        f"  {run.calls_without_time:6.1f}, {run.bytes_without_time / 1000:8.1f}"
    )


def _run(job: Job) -> Figures:
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(_measure(job))
    finally:
        loop.close()


async def _measure(job: Job) -> Figures:
    rng, entries, requests_per_s = random.Random(job.seed), job.entries, job.requests_per_s
    loop = asyncio.get_running_loop()
    core = KeyValueCore(loop.time)

    def wall_clock() -> float:
        return WALL_S + loop.time()

    stores = [FakeKeyValueStore(core) for _ in range(entries)]
    journals = [
        Journal(store, f"entry-{number}", f"{rng.getrandbits(64):x}", rng, wall_clock=wall_clock)
        for number, store in enumerate(stores)
    ]
    tasks = [asyncio.create_task(journal.run()) for journal in journals]
    copied_bytes = 0
    searched_requests: list[tuple[str, float]] = []
    for _ in range(DURATION_MINUTES * 60):
        for journal in journals:
            for _ in range(_poisson(rng, requests_per_s)):
                request_id = f"req-{rng.getrandbits(192):048x}"
                _record_request(journal, rng, request_id, wall_clock())
                if rng.random() < 20 / (entries * requests_per_s * DURATION_MINUTES * 60):
                    searched_requests.append((request_id, wall_clock()))
        # Entries copy the unsent records to their backup once a second.
        copied_bytes += sum(len(journal.next_part()) for journal in journals)
        await asyncio.sleep(1)
    for task in tasks:
        task.cancel()
    for journal in journals:
        await journal.flush()
    written_bytes = sum(store.counts.bytes_written for store in stores)
    writes = sum(store.counts.writes for store in stores)
    seconds = DURATION_MINUTES * 60
    with_time = [
        await _search(core, wall_clock(), subject, at_s) for subject, at_s in searched_requests
    ]
    without_time = [
        await _search(core, wall_clock(), subject, None) for subject, _ in searched_requests
    ]
    searched = max(1, len(searched_requests))
    return Figures(
        writes_per_minute=writes / entries / DURATION_MINUTES,
        written_bytes_per_s=written_bytes / entries / seconds,
        bytes_per_request=written_bytes / (entries * seconds * requests_per_s),
        copied_bytes_per_s=copied_bytes / entries / seconds,
        found=sum(found for found, _, _ in with_time + without_time),
        searched=2 * len(searched_requests),
        calls_with_time=sum(calls for _, calls, _ in with_time) / searched,
        bytes_with_time=sum(read_bytes for _, _, read_bytes in with_time) / searched,
        calls_without_time=sum(calls for _, calls, _ in without_time) / searched,
        bytes_without_time=sum(read_bytes for _, _, read_bytes in without_time) / searched,
    )


async def _search(
    core: KeyValueCore, wall_s: float, subject_id: str, around_s: float | None
) -> tuple[bool, int, int]:
    store = FakeKeyValueStore(core)
    found = await Search(store, subject_id).run(wall_s, around_s)
    complete = len(found.records) == RECORDS_PER_REQUEST
    return complete, store.counts.reads, store.counts.bytes_read


def _record_request(journal: Journal, rng: random.Random, request_id: str, at_s: float) -> None:
    account = f"account-{rng.randrange(5)}"
    predicted_s = round(rng.uniform(0.05, 0.6), 4)
    inputs = {"service": "planner-lm", "queue": rng.randrange(20), "account_share": 0.4}
    journal.add(DecisionRecord(request_id, account, "request", at_s, "accepted", inputs))
    inputs = {
        "service": "planner-lm",
        "delivered_tokens": 0,
        "why": "prefix affinity",
        "first_token_s": predicted_s,
        "cached_tokens": rng.randrange(8000),
    }
    alternatives = [
        f"engine-{rng.randrange(1100)} (first token {rng.random():.3f} s)" for _ in range(2)
    ]
    engine_id = f"engine-{rng.randrange(1100)}"
    journal.add(
        DecisionRecord(request_id, account, "dispatch", at_s, engine_id, inputs, alternatives)
    )
    inputs = {"status": 200, "ran": "yes", "tokens": rng.randrange(400)}
    journal.add(DecisionRecord(request_id, account, "outcome", at_s, "answered", inputs))


def _poisson(rng: random.Random, mean: float) -> int:
    """Return a Poisson-distributed number, counted from exponential gaps."""
    count, elapsed = 0, rng.expovariate(1.0)
    while elapsed < mean:
        count += 1
        elapsed += rng.expovariate(1.0)
    return count
