"""Records experiment: bytes copied, CPU time and memory per request record."""

from __future__ import annotations

import asyncio
import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Annotated, Any

import typer
from transitions import Machine

from godwitpath.membership.member import Member
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import Peer
from godwitpath.records.record import Outcome, Piece, RequestRecord
from godwitpath.records.store import RecordStore
from godwitpath_standin.fakes.peers import FakePeerNetwork

BODY_SIZES_BYTES = [1_000, 20_000, 100_000]
STREAM_COUNTS = [1, 20, 200]
TOKENS_PER_STREAM = 60
TOKEN_INTERVAL_S = 0.072
ACCEPTED_RECORDS = 500
MACHINES = 2_000
VOCABULARY_WORDS = 4_000


class _EntryPair:
    """Record stores of two entries in two availability zones of a region."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        network = FakePeerNetwork(self.rng)
        members = [Member(f"e{zone}", "r", f"z{zone}", Address("bench", zone)) for zone in (0, 1)]
        self.stores = []
        for member in members:
            transport = network.transport(member.entry_id)
            for other in members:
                transport.add_peer(Peer(other.entry_id, other.address))
            self.stores.append(
                RecordStore(member, transport, lambda: members, self.rng, 1_000_000_000)
            )
        # Text from a random vocabulary compresses about as well as prose.
        self.words = [f"{self.rng.getrandbits(24):x}" for _ in range(VOCABULARY_WORDS)]

    def record(self, body_bytes: int) -> RequestRecord:
        text = " ".join(self.rng.choice(self.words) for _ in range(body_bytes // 6))
        body = text.encode()[:body_bytes]
        request_id = self.stores[0].new_request_id("account-1")
        return RequestRecord(
            request_id, "account-1", "planner-lm", "chat", body=body, body_digest="0" * 64
        )

    async def generate(self, record: RequestRecord, tokens: int) -> None:
        store = self.stores[0]
        await asyncio.sleep(self.rng.random() * TOKEN_INTERVAL_S)
        store.begin_attempt(record, f"{self.rng.getrandbits(128):032x}", "engine-12")
        store.set_stream(record, f"{self.rng.getrandbits(64):016x}")
        for index in range(tokens):
            await asyncio.sleep(TOKEN_INTERVAL_S)
            store.append(record, Piece(index, self.rng.choice(self.words)[:4] + " ", 1))
        store.finish(record, Outcome(200, finish_reason="stop", prompt_tokens=10))
        await asyncio.sleep(1.0)


@dataclass(slots=True)
class _RunResult:
    """CPU time of a run and the record stores that it used."""

    cpu_s: float
    pair: _EntryPair


def _run(seed: int, workload: Callable[[_EntryPair], Coroutine[Any, Any, None]]) -> _RunResult:
    async def run() -> _RunResult:
        pair = _EntryPair(seed)
        tasks = [asyncio.create_task(store.run()) for store in pair.stores]
        started_s = time.process_time()
        await workload(pair)
        result = _RunResult(time.process_time() - started_s, pair)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return result

    # Uses the standard event loop: one with a simulated clock would add CPU time of its own.
    return asyncio.run(run())


def _measure_accepts(seed: int, body_bytes: int) -> str:
    records: list[RequestRecord] = []

    async def accept(pair: _EntryPair) -> None:
        for record in records:
            await pair.stores[0].accept(record)

    _run(seed, lambda pair: _create_records(pair, records, body_bytes))
    run = _run(seed, accept)
    counters = run.pair.stores[0].counters
    record_bytes = counters.copy_bytes / counters.copies_sent
    return (
        f"body {body_bytes:7d} B: {record_bytes:9.0f} B copied a record, "
        f"{run.cpu_s / len(records) * 1e6:7.0f} us of processor time, holder and backup"
    )


async def _create_records(pair: _EntryPair, records: list[RequestRecord], body_bytes: int) -> None:
    records.extend(pair.record(body_bytes) for _ in range(ACCEPTED_RECORDS))


def _measure_streams(seed: int, streams: int) -> str:
    async def generate(pair: _EntryPair) -> None:
        records = [pair.record(1_000) for _ in range(streams)]
        for record in records:
            await pair.stores[0].accept(record)
        await asyncio.gather(*(pair.generate(record, TOKENS_PER_STREAM) for record in records))

    run = _run(seed, generate)
    counters = run.pair.stores[0].counters
    tokens = streams * TOKENS_PER_STREAM
    token_rate = streams / TOKEN_INTERVAL_S
    token_bytes = counters.update_bytes / tokens
    return (
        f"{streams:4d} streams, {token_rate:6.0f} tokens/s: {token_bytes:6.1f} B a token, "
        f"{token_bytes * token_rate / 1000:7.1f} KB/s, {run.cpu_s / tokens * 1e6:6.0f} us a token, "
        f"{counters.updates_sent / tokens:.2f} updates a token"
    )


def _measure_memory(seed: int, body_bytes: int, tokens: int) -> str:
    count = 300

    async def hold_records(pair: _EntryPair) -> None:
        gc.collect()
        tracemalloc.start()
        before_bytes = tracemalloc.get_traced_memory()[0]
        for _ in range(count):
            record = pair.record(body_bytes)
            await pair.stores[0].accept(record)
            for index in range(tokens):
                pair.stores[0].append(record, Piece(index, "word ", 1))
        await asyncio.sleep(2.0)
        gc.collect()
        sizes.append((tracemalloc.get_traced_memory()[0] - before_bytes) / count)
        tracemalloc.stop()
        accounted_sizes.append(pair.stores[0].dump()["size_bytes"] / count)

    sizes: list[float] = []
    accounted_sizes: list[float] = []
    _run(seed, hold_records)
    return (
        f"body {body_bytes:6d} B, {tokens:4d} tokens: {sizes[0] / 2:8.0f} B a record at each of "
        f"holder and backup, {accounted_sizes[0]:8.0f} B counted against the bound"
    )


class _StateMachineRecord:
    """A record with its own state machine from the `transitions` library."""

    def __init__(self) -> None:
        states = ["accepted", "running", "finished"]
        Machine(self, states=states, transitions=_MACHINE_TRANSITIONS, initial="accepted")


_MACHINE_TRANSITIONS = [["begin", "accepted", "running"], ["finish", "running", "finished"]]


def _measure_state_machine() -> str:
    tracemalloc.start()
    started_s = time.process_time()
    machines: list[Any] = [_StateMachineRecord() for _ in range(MACHINES)]
    create_s = time.process_time() - started_s
    size_bytes = tracemalloc.get_traced_memory()[0] / MACHINES
    tracemalloc.stop()
    started_s = time.process_time()
    for machine in machines:
        machine.begin()
        machine.finish()
    change_s = time.process_time() - started_s
    return (
        f"a state machine of `transitions` for each record: {create_s / MACHINES * 1e6:.0f} us to "
        f"make, {change_s / MACHINES / 2 * 1e6:.1f} us a change, {size_bytes:.0f} B"
    )


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""

    @app.command("records")
    def records(seed: Annotated[int, typer.Option(help="Seed of the workload.")] = 1) -> None:
        """Measure the cost of copying request records over a simulated peer network."""
        typer.echo("accept")
        for body_bytes in BODY_SIZES_BYTES:
            typer.echo("  " + _measure_accepts(seed, body_bytes))
        typer.echo("text copied, one token every 72 ms a stream")
        for streams in STREAM_COUNTS:
            typer.echo("  " + _measure_streams(seed, streams))
        typer.echo("memory")
        for body_bytes, tokens in ((1_000, 0), (1_000, 300), (20_000, 300)):
            typer.echo("  " + _measure_memory(seed, body_bytes, tokens))
        typer.echo("  " + _measure_state_machine())
