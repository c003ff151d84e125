"""Announced planned stops of entries, upstreams and availability zones, kept in the store."""

from __future__ import annotations

import asyncio
from datetime import UTC, datetime
from typing import Literal, get_args

import msgspec

from godwitpath.errors import GodwitpathError
from godwitpath.ports.kv import ABSENT, KeyValueStore, RevisionConflict, StoreUncertain

STOPS_PREFIX = "stops/"

StopKind = Literal["entry", "upstream", "zone"]
KINDS: tuple[str, ...] = get_args(StopKind)

SETTLE_ATTEMPTS = 5
SETTLE_PAUSE_S = 0.2


class PlannedStop(msgspec.Struct, frozen=True):
    """An announced stop.

    :ivar kind: `entry`, `upstream` or `zone`
    :ivar name: name of the entry, instance or availability zone
    :ivar announced_at: when, in RFC 3339 form
    :ivar reason: why, in the operator's words
    """

    kind: StopKind
    name: str
    announced_at: str
    reason: str = ""


class UnusableName(GodwitpathError):
    """The name cannot stand in a key."""


def stop_key(kind: str, name: str) -> str:
    """Return the key of a stop.

    :raises UnusableName: the name is empty or holds a slash or a blank
    """
    if not name or "/" in name or not name.isprintable() or " " in name:
        raise UnusableName("the name of a stop must not be empty or hold slashes or blanks")
    return f"{STOPS_PREFIX}{kind}/{name}"


def decode_stop(value: bytes) -> PlannedStop:
    """Return the stop of a stored value.

    :raises msgspec.MsgspecError: the value is not a stop
    """
    return msgspec.json.decode(value, type=PlannedStop)


async def announce_stop(
    store: KeyValueStore, kind: StopKind, name: str, reason: str
) -> tuple[PlannedStop, bool]:
    """Announce a stop.

    :returns: the stop, and whether it is new; one announced earlier stays as it is
    """
    now = datetime.now(UTC).isoformat(timespec="seconds")
    stop = PlannedStop(kind, name, now, reason)
    key = stop_key(kind, name)
    for _ in range(SETTLE_ATTEMPTS):
        try:
            await store.put(key, msgspec.json.encode(stop), ABSENT)
            return stop, True
        except RevisionConflict as conflict:
            if conflict.current is None:
                continue
            there = decode_stop(conflict.current.value)
            return there, there == stop
        except StoreUncertain:
            await asyncio.sleep(SETTLE_PAUSE_S)
    raise StoreUncertain(f"the stop of {kind} {name} may be announced; see: godwitpath stop list")


async def list_stops(store: KeyValueStore) -> list[PlannedStop]:
    """Return every announced stop."""
    return [decode_stop(item.value) for item in await store.scan(STOPS_PREFIX)]


async def cancel_stop(store: KeyValueStore, kind: StopKind, name: str) -> bool:
    """Take back an announced stop.

    :returns: whether one was announced
    """
    key = stop_key(kind, name)
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
