"""Experiment on membership and spreading: traffic, processor time and time until all know."""

from __future__ import annotations

import asyncio
import statistics
import time
from random import Random
from typing import Annotated

import typer

from godwitpath_bench.gossip_entry import upstream_fact
from godwitpath_bench.gossip_fakes import fake_lines
from godwitpath_bench.gossip_fleet import ProcessFleet

UPSTREAMS_PER_ENTRY = 3.2
"""Upstreams for each entry, as at the expected size."""

SETTLE_S = 5.0
SETTLE_S_PER_ENTRY = 0.6
"""Time after the start during which the facts of the start ride on pings."""

STEADY_S = 12.0
"""Time over which traffic and processor time are counted."""

CHANGES = 5
"""Changes of each kind in a run."""

CHANGE_INTERVAL_S = 1.0
CONFIG_BYTES = 40_000
"""Length of a configuration text."""

LONG_PAUSE_S = 8.0
SHORT_PAUSE_S = 1.0

Figures = dict[str, float]


async def measure(count: int, mode: str, seed: int) -> Figures:
    """Run a fleet of processes and return its figures."""
    rng = Random(seed)
    fleet = ProcessFleet(count, mode, round(UPSTREAMS_PER_ENTRY * count), seed)
    try:
        figures = {"until all know all, s": await fleet.start()}
        await asyncio.sleep(SETTLE_S + SETTLE_S_PER_ENTRY * count)
        figures |= await _steady(fleet)
        figures |= await _leaving(fleet, rng)
        if mode == "changes":
            figures |= await _configurations(fleet, rng)
            figures |= await _pauses(fleet, rng)
        return figures
    finally:
        await fleet.stop()


async def _steady(fleet: ProcessFleet) -> Figures:
    before = await fleet.report()
    await asyncio.sleep(STEADY_S)
    after = await fleet.report()
    pairs = list(zip(before, after, strict=True))

    def rate(name: str) -> float:
        rates = [
            (two.get(name, 0) - one.get(name, 0)) / (two["at_s"] - one["at_s"])
            for one, two in pairs
        ]
        return statistics.mean(rates)

    return {
        "sent bytes/s": rate("sent_bytes"),
        "received bytes/s": rate("received_bytes"),
        "sent messages/s": rate("sent_frames"),
        "processor time, % of a core": 100 * rate("cpu_s"),
        "resident memory, MB": statistics.mean(two["rss_mb"] for two in after),
        "open links": statistics.mean(two["links"] for two in after),
        "links opened/s": rate("opened_links"),
    }


async def _leaving(fleet: ProcessFleet, rng: Random) -> Figures:
    took_s = []
    for number in rng.sample(range(fleet.upstreams), CHANGES):
        upstream_id = upstream_fact(number).upstream_id
        began_at_s = time.time()
        rng.choice(fleet.children).order(do="leave", upstream=upstream_id)
        took_s.append(await fleet.spread("leaving", upstream_id, began_at_s))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    return {
        "leaving known to all, median s": statistics.median(took_s),
        "leaving known to all, longest s": max(took_s),
    }


async def _configurations(fleet: ProcessFleet, rng: Random) -> Figures:
    took_s = []
    before = await fleet.report()
    for revision in range(2, 2 + CHANGES):
        began_at_s = time.time()
        rng.choice(fleet.children).order(do="config", revision=revision, size_bytes=CONFIG_BYTES)
        took_s.append(await fleet.spread("config", str(revision), began_at_s))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    after = await fleet.report()
    kinds = ("sent_bytes_ConfigPush", "sent_bytes_ConfigReply")
    sent = [
        sum(two.get(k, 0) - one.get(k, 0) for k in kinds)
        for one, two in zip(before, after, strict=True)
    ]
    return {
        "configuration in force, median s": statistics.median(took_s),
        "configuration in force, longest s": max(took_s),
        "bytes of texts sent/change, mean": statistics.mean(sent) / CHANGES,
    }


async def _pauses(fleet: ProcessFleet, rng: Random) -> Figures:
    began_at_s = time.time()
    paused = rng.choice(fleet.children)
    await fleet.pause(paused, SHORT_PAUSE_S)
    await asyncio.sleep(3.0)
    short_gone = fleet.told_since("gone", began_at_s)
    woken_at_s = time.time() + LONG_PAUSE_S
    await fleet.pause(paused, LONG_PAUSE_S)
    others = [child for child in fleet.children if child is not paused]

    def back(since_s: float) -> bool:
        return all(
            any(t[0] == "alive" and t[1] == paused.entry_id and t[2] >= since_s for t in c.told)
            for c in others
        )

    while not back(woken_at_s - 0.2) and time.time() < woken_at_s + 30.0:  # noqa: ASYNC110
        await asyncio.sleep(0.05)
    back_s = time.time() - woken_at_s
    await asyncio.sleep(5.0)
    gone = fleet.told_since("gone", began_at_s)
    suspected = fleet.told_since("suspect", began_at_s)
    return {
        "gone after a pause of 1 s, entries that say so": sum(short_gone.values()),
        "others called gone around the pauses": len(set(gone) - {paused.entry_id}),
        "others suspected around the pauses": len(set(suspected) - {paused.entry_id}),
        "back after a pause of 8 s, s": back_s,
    }


def gossip(
    sizes: Annotated[str, typer.Option(help="Numbers of processes, each a fleet.")] = "8,32,96",
    fakes: Annotated[str, typer.Option(help="Numbers of fake entries.")] = "8,32,96,340",
    modes: Annotated[str, typer.Option(help="Ways of spreading.")] = "changes,all_states",
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    trials: Annotated[int, typer.Option(help="Runs of each fleet of at most 32.")] = 3,
) -> None:
    """Measure membership and spreading in processes over loopback, and on the paused clock.

    Example: scripts/bench gossip --sizes 8,32 --trials 2
    """
    for size in _numbers(sizes):
        runs = trials if size <= 32 else 1
        for mode in modes.split(","):
            results = [asyncio.run(measure(size, mode, seed + run)) for run in range(runs)]
            _show(f"{size} processes, {mode}, {runs} runs", results)
    for size in _numbers(fakes):
        for line in fake_lines(size, seed):
            print(line, flush=True)


def _numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(",") if part]


def _show(title: str, results: list[Figures]) -> None:
    print(title)
    for name in results[0]:
        values = [result[name] for result in results]
        spread = f"({min(values):.4g} to {max(values):.4g})"
        print(f"  {name:48} {statistics.median(values):>10.4g}  {spread}", flush=True)


def register(app: typer.Typer) -> None:
    """Add the command."""
    app.command("gossip")(gossip)
