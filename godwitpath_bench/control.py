"""Measures the control overhead of an entry: CPU time, memory, peer traffic and store calls."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Annotated

import psutil
import typer

from godwitpath_standin.demo import load_plan
from godwitpath_standin.fleet import Fleet
from godwitpath_standin.load import Load

WARM_UP_S = 8.0
"""Time after the start of the fleet that is excluded from the measurement."""

ENTRY_REQUESTS_PER_S = 3.2
"""Request rate of one entry at the target size."""

DATA_KINDS = ("RecordCopy", "RecordUpdates", "UpdateResults", "RecordPieces")
"""Peer messages with requests and responses of callers, which are not control traffic."""


@dataclass(slots=True)
class FleetSample:
    """Sums over all entries of a fleet, taken at one time.

    :ivar sent_bytes: number of bytes sent to peers since the start, by kind of message
    :ivar store_calls: number of store calls since the start, by kind
    """

    cpu_s: float
    resident_mb: float
    sent_bytes: Counter[str]
    store_calls: Counter[str]


@dataclass(slots=True)
class Cost:
    """Mean cost of an entry per second.

    :ivar cpu_fraction: CPU use as a fraction of a core
    :ivar sent_bytes: bytes sent per second by kind of message
    :ivar store_calls: store calls per second by kind
    """

    entries: int
    cpu_fraction: float
    resident_mb: float
    sent_bytes: dict[str, float]
    store_calls: dict[str, float]


async def measure(entries: int, seconds: float, loaded: bool, seed: int) -> Cost:
    """Return the mean cost of an entry, idle or under its share of the requests."""
    async with Fleet("ramdin", entries=entries, seed=seed) as fleet:
        load = None
        if loaded:
            rate_per_s = ENTRY_REQUESTS_PER_S * entries
            count = int(rate_per_s * (WARM_UP_S + seconds))
            load = asyncio.create_task(Load(load_plan(fleet, count, 0, rate_per_s, seed)).run())
        await asyncio.sleep(WARM_UP_S)
        before = await _sample(fleet)
        await asyncio.sleep(seconds)
        after = await _sample(fleet)
        if load is not None:
            await load
    per_entry_second = 1.0 / (seconds * entries)
    return Cost(
        entries=entries,
        cpu_fraction=(after.cpu_s - before.cpu_s) * per_entry_second,
        resident_mb=after.resident_mb / entries,
        sent_bytes={
            kind: (after.sent_bytes[kind] - before.sent_bytes[kind]) * per_entry_second
            for kind in after.sent_bytes
        },
        store_calls={
            kind: (after.store_calls[kind] - before.store_calls[kind]) * per_entry_second
            for kind in after.store_calls
        },
    )


async def _sample(fleet: Fleet) -> FleetSample:
    processes = [psutil.Process(entry.pid) for entry in fleet.entries]
    entry_cpu_times = (process.cpu_times() for process in processes)
    sent_bytes: Counter[str] = Counter()
    for number in range(1, len(processes) + 1):
        state = await fleet.admin(number, "/admin/state")
        for name, value in state["peers"]["counts"].items():
            if name.startswith("sent_bytes_"):
                sent_bytes[name.removeprefix("sent_bytes_")] += value
    stats = await fleet.stats("kv")
    store_calls = Counter({kind: stats[kind] for kind in ("reads", "writes")})
    return FleetSample(
        cpu_s=sum(times.user + times.system for times in entry_cpu_times),
        resident_mb=sum(process.memory_info().rss for process in processes) / 1e6,
        sent_bytes=sent_bytes,
        store_calls=store_calls,
    )


def control(
    sizes: Annotated[str, typer.Option(help="Numbers of entries.")] = "4,8,12",
    seconds: Annotated[float, typer.Option(help="Measured time per fleet.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the fleets.")] = 1,
) -> None:
    """Measure entry processes when idle and under their share of requests at the target size."""
    for loaded in (False, True):
        typer.echo(f"{'loaded' if loaded else 'idle'}:")
        for size in sizes.split(","):
            cost = asyncio.run(measure(int(size), seconds, loaded, seed))
            typer.echo(_line(cost))


def _line(cost: Cost) -> str:
    control_bytes = sum(value for kind, value in cost.sent_bytes.items() if kind not in DATA_KINDS)
    kinds = sorted(cost.sent_bytes.items(), key=lambda item: -item[1])
    message_text = ", ".join(f"{kind} {value:.0f}" for kind, value in kinds if value >= 1)
    store_text = ", ".join(
        f"{kind} {value:.2f}/s" for kind, value in sorted(cost.store_calls.items())
    )
    return (
        f"  {cost.entries:3d} entries: {100 * cost.cpu_fraction:.2f}% of a core,"
        f" {cost.resident_mb:.0f} MB, control {control_bytes:.0f} B/s sent, store {store_text}\n"
        f"      B/s by message: {message_text}"
    )


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""
    app.command()(control)
