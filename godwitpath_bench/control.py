"""What a whole entry daemon costs for control: processor, memory, peer bytes and store calls."""

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

SETTLE_S = 8.0
"""Time after the start that is not measured."""

SHARE_REQUESTS_PER_S = 3.2
"""A daemon's share of the requests at the target size."""

DATA_KINDS = ("RecordCopy", "RecordUpdates", "UpdateResults", "RecordPieces")
"""Messages that carry callers' requests and answers, and no control."""


@dataclass(slots=True)
class Reading:
    """Totals of a fleet at one moment."""

    processor_s: float
    resident_mb: float
    sent: Counter[str]
    store: Counter[str]


@dataclass(slots=True)
class Cost:
    """What one entry costs a second, as the mean over a fleet.

    :ivar sent: bytes sent a second by kind of message
    :ivar store: calls of the store a second by kind
    """

    entries: int
    processor: float
    resident_mb: float
    sent: dict[str, float]
    store: dict[str, float]


async def measure(entries: int, seconds: float, loaded: bool, seed: int) -> Cost:
    """Return what an entry of a fleet costs, idle or under its share of requests."""
    async with Fleet("ramdin", entries=entries, seed=seed) as fleet:
        load = None
        if loaded:
            rate_per_s = SHARE_REQUESTS_PER_S * entries
            count = int(rate_per_s * (SETTLE_S + seconds))
            load = asyncio.create_task(Load(load_plan(fleet, count, 0, rate_per_s, seed)).run())
        await asyncio.sleep(SETTLE_S)
        before = await _read(fleet)
        await asyncio.sleep(seconds)
        after = await _read(fleet)
        if load is not None:
            await load
    share = 1.0 / (seconds * entries)
    return Cost(
        entries=entries,
        processor=(after.processor_s - before.processor_s) * share,
        resident_mb=after.resident_mb / entries,
        sent={kind: (after.sent[kind] - before.sent[kind]) * share for kind in after.sent},
        store={kind: (after.store[kind] - before.store[kind]) * share for kind in after.store},
    )


async def _read(fleet: Fleet) -> Reading:
    processes = [psutil.Process(entry.pid) for entry in fleet.entries]
    spent = (process.cpu_times() for process in processes)
    sent: Counter[str] = Counter()
    for number in range(1, len(processes) + 1):
        state = await fleet.admin(number, "/admin/state")
        for name, value in state["peers"]["counts"].items():
            if name.startswith("sent_bytes_"):
                sent[name.removeprefix("sent_bytes_")] += value
    stats = await fleet.stats("kv")
    store = Counter({kind: stats[kind] for kind in ("reads", "writes")})
    return Reading(
        processor_s=sum(times.user + times.system for times in spent),
        resident_mb=sum(process.memory_info().rss for process in processes) / 1e6,
        sent=sent,
        store=store,
    )


def control(
    sizes: Annotated[str, typer.Option(help="Numbers of entries.")] = "4,8,12",
    seconds: Annotated[float, typer.Option(help="Time measured for each fleet.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the fleets.")] = 1,
) -> None:
    """Measure whole daemons, idle and under the share of requests of the target size."""
    for loaded in (False, True):
        typer.echo(f"{'loaded' if loaded else 'idle'}:")
        for size in sizes.split(","):
            cost = asyncio.run(measure(int(size), seconds, loaded, seed))
            typer.echo(_line(cost))


def _line(cost: Cost) -> str:
    control_bytes = sum(value for kind, value in cost.sent.items() if kind not in DATA_KINDS)
    kinds = sorted(cost.sent.items(), key=lambda item: -item[1])
    largest = ", ".join(f"{kind} {value:.0f}" for kind, value in kinds if value >= 1)
    calls = ", ".join(f"{kind} {value:.2f}/s" for kind, value in sorted(cost.store.items()))
    return (
        f"  {cost.entries:3d} entries: {100 * cost.processor:.2f}% of a core,"
        f" {cost.resident_mb:.0f} MB, control {control_bytes:.0f} B/s sent, store {calls}\n"
        f"      B/s by message: {largest}"
    )


def register(app: typer.Typer) -> None:
    """Add the command of this experiment."""
    app.command()(control)
