"""The engines whose load an entry follows, when there are too many to follow all of them.

Every engine names the entries that rank first for it, so each engine is followed by the same
number of entries whatever the others do, and a change of one entry or engine moves little else. An
entry that is named by few engines follows the ones that rank first for itself as well.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence

import xxhash


def ranking(key: str, names: Sequence[str], first: int) -> list[str]:
    """Return the names that rank first for a key by rendezvous hashing."""
    return heapq.nsmallest(first, names, key=lambda name: _score(key, name))


def followers(engine_id: str, entry_ids: Sequence[str], count: int) -> list[str]:
    """Return the entries that follow an engine."""
    return ranking(engine_id, entry_ids, count)


def subset(
    entry_id: str, entry_ids: Sequence[str], engine_ids: Sequence[str], size: int
) -> list[str]:
    """Return the engines that an entry follows.

    :param size: engines that an entry should follow; all of them where there are no more
    """
    if len(engine_ids) <= size:
        return sorted(engine_ids)
    count = max(1, -(-size * len(entry_ids) // len(engine_ids)))
    named = {
        engine_id for engine_id in engine_ids if entry_id in followers(engine_id, entry_ids, count)
    }
    short = max(0, size - len(named))
    others = [engine_id for engine_id in engine_ids if engine_id not in named]
    return sorted(named | set(ranking(entry_id, others, short)))


def _score(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())
