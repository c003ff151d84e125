"""What a request record costs: bytes copied, processor time and memory."""

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

BODY_BYTES = [1_000, 20_000, 100_000]
STREAMS = [1, 20, 200]
TOKENS = 60
TOKEN_S = 0.072
ACCEPTS = 500
TRANSITIONS = 2_000
WORDS = 4_000


class _Pair:
    """Two entries in two availability zones of a region."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        network = FakePeerNetwork(self.rng)
        members = [Member(f"e{zone}", "r", f"z{zone}", Address("bench", zone)) for zone in (0, 1)]
        self.stores = []
        for member in members:
            transport = network.transport(member.entry_id)
            for other in members:
                transport.connect(Peer(other.entry_id, other.address))
            self.stores.append(
                RecordStore(member, transport, lambda: members, self.rng, 1_000_000_000)
            )
        # Words of a made-up vocabulary compress about as prose does.
        self.words = [f"{self.rng.getrandbits(24):x}" for _ in range(WORDS)]

    def record(self, body_bytes: int) -> RequestRecord:
        text = " ".join(self.rng.choice(self.words) for _ in range(body_bytes // 6))
        body = text.encode()[:body_bytes]
        request_id = self.stores[0].new_request_id("account-1")
        return RequestRecord(
            request_id, "account-1", "planner-lm", "chat", body=body, body_digest="0" * 64
        )

    async def generate(self, record: RequestRecord, tokens: int) -> None:
        store = self.stores[0]
        await asyncio.sleep(self.rng.random() * TOKEN_S)
        store.begin_attempt(record, f"{self.rng.getrandbits(128):032x}", "engine-12")
        store.set_stream(record, f"{self.rng.getrandbits(64):016x}")
        for index in range(tokens):
            await asyncio.sleep(TOKEN_S)
            store.append(record, Piece(index, self.rng.choice(self.words)[:4] + " ", 1))
        store.finish(record, Outcome(200, finish_reason="stop", prompt_tokens=10))
        await asyncio.sleep(1.0)


@dataclass(slots=True)
class _Use:
    """Processor time and results of a run."""

    cpu_s: float
    pair: _Pair


def _run(seed: int, work: Callable[[_Pair], Coroutine[Any, Any, None]]) -> _Use:
    async def run() -> _Use:
        pair = _Pair(seed)
        tasks = [asyncio.create_task(store.run()) for store in pair.stores]
        started_s = time.process_time()
        await work(pair)
        used = _Use(time.process_time() - started_s, pair)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return used

    # The plain loop: a paused clock would spend processor time of its own.
    return asyncio.run(run())


def _accepts(seed: int, body_bytes: int) -> str:
    records: list[RequestRecord] = []

    async def accept(pair: _Pair) -> None:
        for record in records:
            await pair.stores[0].accept(record)

    _run(seed, lambda pair: _prepare(pair, records, body_bytes))
    use = _run(seed, accept)
    counters = use.pair.stores[0].counters
    per_record = counters.copy_bytes / counters.copies_sent
    return (
        f"body {body_bytes:7d} B: {per_record:9.0f} B copied a record, "
        f"{use.cpu_s / len(records) * 1e6:7.0f} us of processor time, holder and backup"
    )


async def _prepare(pair: _Pair, records: list[RequestRecord], body_bytes: int) -> None:
    records.extend(pair.record(body_bytes) for _ in range(ACCEPTS))


def _streams(seed: int, streams: int) -> str:
    async def generate(pair: _Pair) -> None:
        records = [pair.record(1_000) for _ in range(streams)]
        for record in records:
            await pair.stores[0].accept(record)
        await asyncio.gather(*(pair.generate(record, TOKENS) for record in records))

    use = _run(seed, generate)
    counters = use.pair.stores[0].counters
    tokens = streams * TOKENS
    rate = streams / TOKEN_S
    per_token = counters.update_bytes / tokens
    return (
        f"{streams:4d} streams, {rate:6.0f} tokens/s: {per_token:6.1f} B a token, "
        f"{per_token * rate / 1000:7.1f} KB/s, {use.cpu_s / tokens * 1e6:6.0f} us a token, "
        f"{counters.updates_sent / tokens:.2f} updates a token"
    )


def _memory(seed: int, body_bytes: int, tokens: int) -> str:
    count = 300

    async def hold(pair: _Pair) -> None:
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for _ in range(count):
            record = pair.record(body_bytes)
            await pair.stores[0].accept(record)
            for index in range(tokens):
                pair.stores[0].append(record, Piece(index, "word ", 1))
        await asyncio.sleep(2.0)
        gc.collect()
        sizes.append((tracemalloc.get_traced_memory()[0] - before) / count)
        tracemalloc.stop()
        counted.append(pair.stores[0].dump()["size_bytes"] / count)

    sizes: list[float] = []
    counted: list[float] = []
    _run(seed, hold)
    return (
        f"body {body_bytes:6d} B, {tokens:4d} tokens: {sizes[0] / 2:8.0f} B a record at each of "
        f"holder and backup, {counted[0]:8.0f} B counted against the bound"
    )


class _Modelled:
    """A record whose states are kept by a state machine of its own."""

    def __init__(self) -> None:
        states = ["accepted", "running", "finished"]
        Machine(self, states=states, transitions=_EDGES, initial="accepted")


_EDGES = [["begin", "accepted", "running"], ["finish", "running", "finished"]]


def _machine() -> str:
    tracemalloc.start()
    started_s = time.process_time()
    models: list[Any] = [_Modelled() for _ in range(TRANSITIONS)]
    made_s = time.process_time() - started_s
    size_bytes = tracemalloc.get_traced_memory()[0] / TRANSITIONS
    tracemalloc.stop()
    started_s = time.process_time()
    for model in models:
        model.begin()
        model.finish()
    moved_s = time.process_time() - started_s
    return (
        f"a state machine of `transitions` for each record: {made_s / TRANSITIONS * 1e6:.0f} us to "
        f"make, {moved_s / TRANSITIONS / 2 * 1e6:.1f} us a change, {size_bytes:.0f} B"
    )


def register(app: typer.Typer) -> None:
    """Add the command."""

    @app.command("records")
    def records(seed: Annotated[int, typer.Option(help="Seed of the work.")] = 1) -> None:
        """Measure what copying request records costs, over the fake peer network."""
        typer.echo("accept")
        for body_bytes in BODY_BYTES:
            typer.echo("  " + _accepts(seed, body_bytes))
        typer.echo("text copied, one token every 72 ms a stream")
        for streams in STREAMS:
            typer.echo("  " + _streams(seed, streams))
        typer.echo("memory")
        for body_bytes, tokens in ((1_000, 0), (1_000, 300), (20_000, 300)):
            typer.echo("  " + _memory(seed, body_bytes, tokens))
        typer.echo("  " + _machine())
