"""Experiment on subsets: how evenly entries follow engines, and what a change moves."""

from __future__ import annotations

import time
from collections import Counter
from random import Random

import typer

from godwitpath.routing.subset import ranking, subset
from godwitpath_bench.report import SEEDS, Table

FLEETS = ((8, 14), (32, 104), (96, 310))
"""Entries and engines, from today's size up."""

TARGET_FLEET = (340, 1100)
"""Entries and engines at the target."""

SIZE = 32
"""Engines that an entry follows."""

SAMPLED = 12
"""Entries whose computing time is measured."""


def run_fleet(seed: int, entries: int, engines: int) -> dict[str, dict[str, float]]:
    """Return the figures of the subsets and of a random choice."""
    rng = Random(seed)
    entry_ids = [f"entry-{rng.getrandbits(32):x}" for _ in range(entries)]
    engine_ids = [f"engine-{rng.getrandbits(32):x}" for _ in range(engines)]
    started_s = time.perf_counter()
    for entry in entry_ids[:SAMPLED]:
        subset(entry, entry_ids, engine_ids, SIZE)
    spent_s = (time.perf_counter() - started_s) / min(SAMPLED, entries)
    chosen = {entry: subset(entry, entry_ids, engine_ids, SIZE) for entry in entry_ids}
    drawn = {entry: rng.sample(engine_ids, min(SIZE, engines)) for entry in entry_ids}
    figures = {"godwitpath": _figures(chosen, engine_ids), "random": _figures(drawn, engine_ids)}
    figures["godwitpath"]["ms_to_compute_one"] = 1000.0 * spent_s
    keys = [f"block-{number}" for number in range(200)]
    started_s = time.perf_counter()
    for key in keys:
        ranking(key, engine_ids, 2)
    figures["godwitpath"]["ms_to_rank_all_engines"] = (
        1000.0 * (time.perf_counter() - started_s) / len(keys)
    )
    return figures


def _figures(chosen: dict[str, list[str]], engine_ids: list[str]) -> dict[str, float]:
    followed = Counter(engine for engines in chosen.values() for engine in engines)
    return {
        "fewest_followers_of_an_engine": float(min(followed[e] for e in engine_ids)),
        "most_followers_of_an_engine": float(max(followed[e] for e in engine_ids)),
        "largest_subset": float(max(map(len, chosen.values()))),
    }


def subsets(seed: int = 1, seeds: int = SEEDS, target: bool = False) -> None:
    """Compare rendezvous subsets with random ones.

    With --target only 340 entries and 1,100 engines, one seed; it takes minutes.
    """
    for entries, engines in (TARGET_FLEET,) if target else FLEETS:
        runs = 1 if target else seeds
        table = Table(f"{entries} entries, {engines} engines, {runs} seeds")
        for number in range(runs):
            for name, values in run_fleet(seed + number, entries, engines).items():
                table.add(name, **values)
        table.show()


def register(app: typer.Typer) -> None:
    """Add the experiment's command."""
    app.command()(subsets)
