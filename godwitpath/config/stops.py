"""Announced planned stops of entries, upstreams and availability zones, kept in the store."""

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

SETTLE_ATTEMPTS = 5
SETTLE_PAUSE_S = 0.2


class UnusableName(GodwitpathError):
    """The name cannot stand in a key."""


def require_usable(name: str) -> None:
    """Check that a name can stand in a key.

    :raises UnusableName: the name is empty or holds a slash or a blank
    """
    if not name or "/" in name or not name.isprintable() or " " in name:
        raise UnusableName("the name of a stop must not be empty or hold slashes or blanks")


async def announce_stop(
    store: KeyValueStore, kind: StopKind, name: str, reason: str
) -> tuple[Stop, bool]:
    """Announce a stop.

    :returns: the stop, and whether it is new; one announced earlier stays as it is
    """
    now = datetime.now(UTC).isoformat(timespec="seconds")
    require_usable(name)
    stop = Stop(kind, name, now, reason)
    key = stop_key(stop)
    for _ in range(SETTLE_ATTEMPTS):
        try:
            await store.put(key, encode_stop(stop), ABSENT)
            return stop, True
        except RevisionConflict as conflict:
            if conflict.current is None:
                continue
            there = decode_stop(conflict.current.value) or stop
            return there, there == stop
        except StoreUncertain:
            await asyncio.sleep(SETTLE_PAUSE_S)
    raise StoreUncertain(f"the stop of {kind} {name} may be announced; see: godwitpath stop list")


async def list_stops(store: KeyValueStore) -> list[Stop]:
    """Return every announced stop."""
    decoded = (decode_stop(item.value) for item in await store.scan(STOPS_PREFIX))
    return [stop for stop in decoded if stop is not None]


async def cancel_stop(store: KeyValueStore, kind: StopKind, name: str) -> bool:
    """Take back an announced stop.

    :returns: whether one was announced
    """
    require_usable(name)
    key = stop_key(Stop(kind, name, ""))
    found = False
    for _ in range(SETTLE_ATTEMPTS):
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
            await asyncio.sleep(SETTLE_PAUSE_S)
    raise StoreUncertain(f"the stop of {kind} {name} may be cancelled; see: godwitpath stop list")
