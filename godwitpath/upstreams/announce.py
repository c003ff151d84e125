"""Announces and withdraws stops in the key-value service, so that upstreams are drained."""

from __future__ import annotations

from datetime import UTC, datetime

from godwitpath.ports.kv import ABSENT, KeyValue, KeyValueStore, RevisionConflict
from godwitpath.upstreams.stops import Stop, encode_stop, stop_key

MIN_DRAIN_S = 5.0
"""Minimum drain time of an upstream, in which all entries receive the stop."""

MAX_DRAIN_S = 120.0
"""Maximum drain time of an upstream, after which it is treated as drained."""


async def announce_stop(store: KeyValueStore, upstream_id: str, reason: str) -> None:
    """Write a stop of an upstream, unless one exists."""
    stop = Stop("upstream", upstream_id, datetime.now(UTC).isoformat(), reason)
    try:
        await store.put(stop_key(stop), encode_stop(stop), ABSENT)
    except RevisionConflict:
        return


async def withdraw_stop(store: KeyValueStore, stored_stop: KeyValue) -> None:
    """Delete a stop, unless it was changed since it was read."""
    try:
        await store.delete(stored_stop.key, stored_stop.revision)
    except RevisionConflict:
        return


async def find_stop(store: KeyValueStore, upstream_id: str) -> KeyValue | None:
    """Return the stored stop of an upstream, None if there is none."""
    return await store.get(stop_key(Stop("upstream", upstream_id, "")))
