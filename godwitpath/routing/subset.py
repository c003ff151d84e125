"""Choice of the engines that an entry polls for load, when there are too many to poll all of them.

Each engine is assigned to the entries that rank first for it by rendezvous hashing. Every engine
is therefore polled by the same number of entries, and adding or removing one entry or engine
changes few other assignments. An entry with too few assigned engines also polls the engines that
rank first for the entry itself.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence

import xxhash


def ranking(key: str, names: Sequence[str], count: int) -> list[str]:
    """Return the `count` names that rank first for a key by rendezvous hashing."""
    return heapq.nsmallest(count, names, key=lambda name: _score(key, name))


def polling_entries(engine_id: str, entry_ids: Sequence[str], count: int) -> list[str]:
    """Return the entries that poll an engine because it is assigned to them."""
    return ranking(engine_id, entry_ids, count)


def subset(
    entry_id: str, entry_ids: Sequence[str], engine_ids: Sequence[str], size: int
) -> list[str]:
    """Return the engines that an entry polls.

    :param size: fewest engines that an entry should poll; the entry polls all engines if there are
        no more than this
    """
    if len(engine_ids) <= size:
        return sorted(engine_ids)
    entries_per_engine = max(1, -(-size * len(entry_ids) // len(engine_ids)))
    assigned = {
        engine_id
        for engine_id in engine_ids
        if entry_id in polling_entries(engine_id, entry_ids, entries_per_engine)
    }
    missing = max(0, size - len(assigned))
    unassigned = [engine_id for engine_id in engine_ids if engine_id not in assigned]
    return sorted(assigned | set(ranking(entry_id, unassigned, missing)))


def _score(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())
