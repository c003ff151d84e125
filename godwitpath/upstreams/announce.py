"""Stops of upstreams that the entries announce themselves, so that one is drained."""

from __future__ import annotations

from datetime import UTC, datetime

from godwitpath.ports.kv import ABSENT, KeyValue, KeyValueStore, RevisionConflict
from godwitpath.upstreams.stops import Stop, encode_stop, stop_key

DRAIN_LEAST_S = 5.0
"""Time for all entries to hear of a stop."""

DRAIN_MOST_S = 120.0
"""Longest time that an upstream is drained."""


async def announce_stop(store: KeyValueStore, upstream_id: str, reason: str) -> None:
    """Write a stop of an upstream, unless there is one."""
    stop = Stop("upstream", upstream_id, datetime.now(UTC).isoformat(), reason)
    try:
        await store.put(stop_key(stop), encode_stop(stop), ABSENT)
    except RevisionConflict:
        return


async def withdraw_stop(store: KeyValueStore, found: KeyValue) -> None:
    """Delete a stop as it was read, unless somebody changed it."""
    try:
        await store.delete(found.key, found.revision)
    except RevisionConflict:
        return


async def find_stop(store: KeyValueStore, upstream_id: str) -> KeyValue | None:
    """Return the stop of an upstream, None when there is none."""
    return await store.get(stop_key(Stop("upstream", upstream_id, "")))
