"""Subset experiment: balance of the entries' engine subsets and the time to compute them."""

from __future__ import annotations

import time
from collections import Counter
from random import Random

import typer

from godwitpath.routing.subset import ranking, subset
from godwitpath_bench.report import SEEDS, Table

FLEETS = ((8, 14), (32, 104), (96, 310))
"""Numbers of entries and engines, from the present size up."""

TARGET_FLEET = (340, 1100)
"""Numbers of entries and engines at the target size."""

SUBSET_SIZE = 32
"""Number of engines in the subset of an entry."""

TIMED_ENTRIES = 12
"""Number of entries for which the time to compute the subset is measured."""


def run_fleet(seed: int, entries: int, engines: int) -> dict[str, dict[str, float]]:
    """Return the figures of the product's subsets and of random subsets of the same size."""
    rng = Random(seed)
    entry_ids = [f"entry-{rng.getrandbits(32):x}" for _ in range(entries)]
    engine_ids = [f"engine-{rng.getrandbits(32):x}" for _ in range(engines)]
    started_s = time.perf_counter()
    for entry in entry_ids[:TIMED_ENTRIES]:
        subset(entry, entry_ids, engine_ids, SUBSET_SIZE)
    time_per_subset_s = (time.perf_counter() - started_s) / min(TIMED_ENTRIES, entries)
    subset_by_entry = {
        entry: subset(entry, entry_ids, engine_ids, SUBSET_SIZE) for entry in entry_ids
    }
    random_by_entry = {
        entry: rng.sample(engine_ids, min(SUBSET_SIZE, engines)) for entry in entry_ids
    }
    figures = {
        "godwitpath": _figures(subset_by_entry, engine_ids),
        "random": _figures(random_by_entry, engine_ids),
    }
    figures["godwitpath"]["ms_to_compute_one"] = 1000.0 * time_per_subset_s
    keys = [f"block-{number}" for number in range(200)]
    started_s = time.perf_counter()
    for key in keys:
        ranking(key, engine_ids, 2)
    figures["godwitpath"]["ms_to_rank_all_engines"] = (
        1000.0 * (time.perf_counter() - started_s) / len(keys)
    )
    return figures


def _figures(subset_by_entry: dict[str, list[str]], engine_ids: list[str]) -> dict[str, float]:
    entry_counts = Counter(engine for engines in subset_by_entry.values() for engine in engines)
    return {
        "fewest_followers_of_an_engine": float(min(entry_counts[e] for e in engine_ids)),
        "most_followers_of_an_engine": float(max(entry_counts[e] for e in engine_ids)),
        "largest_subset": float(max(map(len, subset_by_entry.values()))),
    }


def subsets(seed: int = 1, seeds: int = SEEDS, target: bool = False) -> None:
    """Compare rendezvous subsets with random ones.

    With --target, run only 340 entries and 1,100 engines with one seed, which takes minutes.
    """
    for entries, engines in (TARGET_FLEET,) if target else FLEETS:
        runs = 1 if target else seeds
        table = Table(f"{entries} entries, {engines} engines, {runs} seeds")
        for number in range(runs):
            for name, values in run_fleet(seed + number, entries, engines).items():
                table.add(name, **values)
        table.show()


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""
    app.command()(subsets)
