"""Gossip experiment: traffic, CPU time and dissemination time of membership and upstream facts."""

from __future__ import annotations

import asyncio
import statistics
import time
from random import Random
from typing import Annotated

import typer

from godwitpath_bench.gossip_entry import upstream_fact
from godwitpath_bench.gossip_fleet import ProcessFleet
from godwitpath_bench.gossip_simulation import simulate_gossip

UPSTREAMS_PER_ENTRY = 3.2
"""Number of upstreams per entry, as in a fleet of the expected size."""

QUEUE_DRAIN_S = 5.0
QUEUE_DRAIN_S_PER_ENTRY = 0.6
"""Base time, and time per entry, until pings no longer carry the facts of the start."""

STEADY_S = 12.0
"""Time over which traffic and CPU time are measured."""

CHANGES = 5
"""Number of changes of each kind per run."""

CHANGE_INTERVAL_S = 1.0
CONFIG_BYTES = 40_000
"""Size of a configuration text."""

LONG_PAUSE_S = 8.0
SHORT_PAUSE_S = 1.0

Figures = dict[str, float]


async def measure(count: int, mode: str, seed: int) -> Figures:
    """Run a fleet of processes and return its figures.

    :param mode: `changes` for the product's gossip, `all_states` for the baseline
    """
    rng = Random(seed)
    fleet = ProcessFleet(count, mode, round(UPSTREAMS_PER_ENTRY * count), seed)
    try:
        figures = {"until all know all, s": await fleet.start()}
        await asyncio.sleep(QUEUE_DRAIN_S + QUEUE_DRAIN_S_PER_ENTRY * count)
        figures |= await _measure_steady(fleet)
        figures |= await _measure_leaving(fleet, rng)
        if mode == "changes":
            figures |= await _measure_configurations(fleet, rng)
            figures |= await _measure_pauses(fleet, rng)
        return figures
    finally:
        await fleet.stop()


async def _measure_steady(fleet: ProcessFleet) -> Figures:
    before = await fleet.report()
    await asyncio.sleep(STEADY_S)
    after = await fleet.report()
    pairs = list(zip(before, after, strict=True))

    def rate(name: str) -> float:
        rates = [
            (end.get(name, 0) - start.get(name, 0)) / (end["at_s"] - start["at_s"])
            for start, end in pairs
        ]
        return statistics.mean(rates)

    return {
        "sent bytes/s": rate("sent_bytes"),
        "received bytes/s": rate("received_bytes"),
        "sent messages/s": rate("sent_frames"),
        "processor time, % of a core": 100 * rate("cpu_s"),
        "resident memory, MB": statistics.mean(end["rss_mb"] for end in after),
        "open links": statistics.mean(end["links"] for end in after),
        "links opened/s": rate("opened_links"),
    }


async def _measure_leaving(fleet: ProcessFleet, rng: Random) -> Figures:
    durations_s = []
    for number in rng.sample(range(fleet.upstreams), CHANGES):
        upstream_id = upstream_fact(number).upstream_id
        started_at_s = time.time()
        rng.choice(fleet.entries).send_command(do="leave", upstream=upstream_id)
        durations_s.append(await fleet.dissemination_time_s("leaving", upstream_id, started_at_s))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    return {
        "leaving known to all, median s": statistics.median(durations_s),
        "leaving known to all, longest s": max(durations_s),
    }


async def _measure_configurations(fleet: ProcessFleet, rng: Random) -> Figures:
    durations_s = []
    before = await fleet.report()
    for revision in range(2, 2 + CHANGES):
        started_at_s = time.time()
        rng.choice(fleet.entries).send_command(
            do="config", revision=revision, size_bytes=CONFIG_BYTES
        )
        durations_s.append(await fleet.dissemination_time_s("config", str(revision), started_at_s))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    after = await fleet.report()
    counter_names = ("sent_bytes_ConfigPush", "sent_bytes_ConfigReply")
    sent_bytes = [
        sum(end.get(name, 0) - start.get(name, 0) for name in counter_names)
        for start, end in zip(before, after, strict=True)
    ]
    return {
        "configuration in force, median s": statistics.median(durations_s),
        "configuration in force, longest s": max(durations_s),
        "bytes of texts sent/change, mean": statistics.mean(sent_bytes) / CHANGES,
    }


async def _measure_pauses(fleet: ProcessFleet, rng: Random) -> Figures:
    started_at_s = time.time()
    paused = rng.choice(fleet.entries)
    await fleet.pause(paused, SHORT_PAUSE_S)
    await asyncio.sleep(3.0)
    removed_after_short_pause = fleet.count_events_since("gone", started_at_s)
    resumed_at_s = time.time() + LONG_PAUSE_S
    await fleet.pause(paused, LONG_PAUSE_S)
    others = [entry for entry in fleet.entries if entry is not paused]

    def rejoined(since_s: float) -> bool:
        return all(
            any(
                e[0] == "alive" and e[1] == paused.entry_id and e[2] >= since_s
                for e in other.event_log
            )
            for other in others
        )

    while not rejoined(resumed_at_s - 0.2) and time.time() < resumed_at_s + 30.0:  # noqa: ASYNC110
        await asyncio.sleep(0.05)
    recovery_s = time.time() - resumed_at_s
    await asyncio.sleep(5.0)
    removed = fleet.count_events_since("gone", started_at_s)
    suspected = fleet.count_events_since("suspect", started_at_s)
    return {
        "gone after a pause of 1 s, entries that say so": sum(removed_after_short_pause.values()),
        "others called gone around the pauses": len(set(removed) - {paused.entry_id}),
        "others suspected around the pauses": len(set(suspected) - {paused.entry_id}),
        "back after a pause of 8 s, s": recovery_s,
    }


def gossip(
    sizes: Annotated[
        str, typer.Option(help="Numbers of entry processes; each is a fleet.")
    ] = "8,32,96",
    fakes: Annotated[str, typer.Option(help="Numbers of simulated entries.")] = "8,32,96,340",
    modes: Annotated[str, typer.Option(help="Modes of dissemination.")] = "changes,all_states",
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    trials: Annotated[int, typer.Option(help="Runs of each fleet of at most 32 processes.")] = 3,
) -> None:
    """Measure gossip between processes over loopback, and on a simulated network and clock.

    Example: scripts/bench gossip --sizes 8,32 --trials 2
    """
    for size in _numbers(sizes):
        runs = trials if size <= 32 else 1
        for mode in modes.split(","):
            results = [asyncio.run(measure(size, mode, seed + run)) for run in range(runs)]
            _show(f"{size} processes, {mode}, {runs} runs", results)
    for size in _numbers(fakes):
        for line in simulate_gossip(size, seed):
            print(line, flush=True)


def _numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(",") if part]


def _show(title: str, results: list[Figures]) -> None:
    print(title)
    for name in results[0]:
        values = [result[name] for result in results]
        value_range = f"({min(values):.4g} to {max(values):.4g})"
        print(f"  {name:48} {statistics.median(values):>10.4g}  {value_range}", flush=True)


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""
    app.command("gossip")(gossip)
