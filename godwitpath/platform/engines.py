"""Decodes the entries that engines register in the store."""

from __future__ import annotations

import msgspec

from godwitpath.decoding import Count, Finite, Unreadable, decode, is_header_token
from godwitpath.gateway.engines import EngineEntry, EngineState
from godwitpath.platform.addresses import parse_ip_address

ENGINES_PREFIX = "servers/"

_STATE_BY_NAME = {"ready": EngineState.READY, "draining": EngineState.DRAINING}


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    slots: Count
    version: str
    # Remaining time for which the engine is slow after its start.
    cold_remaining_ms: Finite
    # Number of the engine's check-in.
    sequence: Count
    # Start time of the engine in Unix milliseconds; an engine started later may reuse the id.
    born: Count = 0
    # True for a reclaimable engine.
    spot: bool = False
    # Time until a reclaimed engine is terminated, stated while it drains. (Not in camel case.)
    leaves_ms: Finite | None = msgspec.field(default=None, name="leaves_ms")


_decoder = msgspec.json.Decoder(_Entry)


def decode_entry(key: str, value: bytes) -> EngineEntry:
    """Return the engine that an entry describes.

    :param key: store key of the entry, which ends with the engine's id
    :raises Unreadable: the entry names no engine to use
    """
    raw = decode(_decoder, value)
    engine_id = key.removeprefix(ENGINES_PREFIX)
    if not is_header_token(engine_id):
        raise Unreadable(f"no id of an engine: {engine_id[:80]!r}")
    state = _STATE_BY_NAME.get(raw.state)
    if state is None:
        raise Unreadable(f"unknown state: {raw.state[:80]!r}")
    address = parse_ip_address(raw.address)
    if address is None:
        raise Unreadable(f"no IP:PORT: {raw.address[:80]!r}")
    return EngineEntry(
        engine_id=engine_id,
        service=raw.service,
        address=address,
        zone=raw.zone,
        state=state,
        slots=raw.slots,
        started_at_ms=raw.born,
        reclaimable=raw.spot,
        warmup_left_s=max(0.0, raw.cold_remaining_ms / 1000),
        leaves_in_s=None if raw.leaves_ms is None else max(0.0, raw.leaves_ms / 1000),
    )
