"""Planned stops of entries, upstreams and availability zones, announced through the store."""

from __future__ import annotations

import asyncio
from datetime import UTC, datetime

from godwitpath.errors import GodwitpathError
from godwitpath.ports.kv import ABSENT, KeyValueStore, RevisionConflict, StoreUncertain
from godwitpath.upstreams.stops import (
    STOPS_PREFIX,
    Stop,
    StopKind,
    decode_stop,
    encode_stop,
    stop_key,
)

MAX_STORE_ATTEMPTS = 5
STORE_RETRY_PAUSE_S = 0.2


class UnusableName(GodwitpathError):
    """The name of a stop is not valid in a store key."""


def check_stop_name(name: str) -> None:
    """Check that a name is valid in a store key.

    :raises UnusableName: the name is empty, or contains a slash, a space or an unprintable
        character
    """
    if not name or "/" in name or not name.isprintable() or " " in name:
        raise UnusableName("the name of a stop must not be empty or hold slashes or blanks")


async def announce_stop(
    store: KeyValueStore, kind: StopKind, name: str, reason: str
) -> tuple[Stop, bool]:
    """Announce a planned stop.

    :returns: the announced stop, and whether this call announced it; a stop that was announced
        earlier is returned unchanged
    :raises UnusableName: the name is not valid in a store key
    :raises StoreUncertain: the store confirmed no attempt; the stop may have been announced
    """
    now = datetime.now(UTC).isoformat(timespec="seconds")
    check_stop_name(name)
    stop = Stop(kind, name, now, reason)
    key = stop_key(stop)
    for _ in range(MAX_STORE_ATTEMPTS):
        try:
            await store.put(key, encode_stop(stop), ABSENT)
            return stop, True
        except RevisionConflict as conflict:
            if conflict.current is None:
                continue
            stored = decode_stop(conflict.current.value) or stop
            return stored, stored == stop
        except StoreUncertain:
            await asyncio.sleep(STORE_RETRY_PAUSE_S)
    raise StoreUncertain(
        f"the stop of {kind} {name} may have been announced; see: godwitpath stop list"
    )


async def list_stops(store: KeyValueStore) -> list[Stop]:
    """Return all announced stops."""
    decoded = (decode_stop(item.value) for item in await store.scan(STOPS_PREFIX))
    return [stop for stop in decoded if stop is not None]


async def cancel_stop(store: KeyValueStore, kind: StopKind, name: str) -> bool:
    """Cancel an announced stop.

    :returns: whether the stop had been announced
    :raises UnusableName: the name is not valid in a store key
    :raises StoreUncertain: the store confirmed no attempt; the stop may have been cancelled
    """
    check_stop_name(name)
    key = stop_key(Stop(kind, name, ""))
    found = False
    for _ in range(MAX_STORE_ATTEMPTS):
        current = await store.get(key)
        if current is None:
            return found
        found = True
        try:
            await store.delete(key, current.revision)
            return True
        except RevisionConflict:
            continue
        except StoreUncertain:
            await asyncio.sleep(STORE_RETRY_PAUSE_S)
    raise StoreUncertain(
        f"the stop of {kind} {name} may have been cancelled; see: godwitpath stop list"
    )
