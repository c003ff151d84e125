"""Decodes the entries that engines register in the store."""

from __future__ import annotations

import math

import msgspec

from godwitpath.gateway.engines import EngineEntry, EngineState
from godwitpath.ports.engine import Address

ENGINES_PREFIX = "servers/"

_STATE_BY_NAME = {"ready": EngineState.READY, "draining": EngineState.DRAINING}


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    version: str = ""
    # Remaining time for which the engine is slow after its start.
    cold_remaining_ms: float = 0
    # Start time of the engine in Unix milliseconds; an engine started later may reuse the id.
    born: int = 0
    # True for a reclaimable engine.
    spot: bool = False
    # Time until a reclaimed engine is terminated, stated while it drains. (Not in camel case.)
    leaves_ms: float | None = msgspec.field(default=None, name="leaves_ms")


_decoder = msgspec.json.Decoder(_Entry)


def decode_entry(key: str, value: bytes) -> EngineEntry | None:
    """Return the engine that an entry describes, or None if the entry is invalid.

    :param key: store key of the entry, which ends with the engine's id
    """
    engine_id = key.removeprefix(ENGINES_PREFIX)
    try:
        raw = _decoder.decode(value)
    except msgspec.DecodeError:
        return None
    state = _STATE_BY_NAME.get(raw.state)
    host, _, port = raw.address.rpartition(":")
    is_valid = state is not None and host and port.isdigit() and engine_id
    if not is_valid or state is None or not math.isfinite(raw.cold_remaining_ms):
        return None
    return EngineEntry(
        engine_id=engine_id,
        service=raw.service,
        address=Address(host, int(port)),
        zone=raw.zone,
        state=state,
        slots=max(0, raw.slots),
        started_at_ms=raw.born,
        reclaimable=raw.spot,
        warmup_left_s=max(0.0, raw.cold_remaining_ms / 1000),
        leaves_in_s=None if raw.leaves_ms is None else max(0.0, raw.leaves_ms / 1000),
    )
