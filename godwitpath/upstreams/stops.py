"""Planned stops, which are announced in the key-value service."""

from __future__ import annotations

from typing import Literal

import msgspec

StopKind = Literal["entry", "upstream", "zone"]

STOPS_PREFIX = "stops/"
"""Prefix of the keys of announced stops; the kind and the name follow."""


class Stop(msgspec.Struct, frozen=True):
    """An announced stop.

    :ivar kind: what is stopped: one entry, one upstream or everything in an availability zone
    :ivar name: name of the entry, upstream or availability zone
    :ivar announced_at: time of the announcement, in RFC 3339 format
    :ivar reason: free text of the operator or daemon that announced the stop
    """

    kind: StopKind
    name: str
    announced_at: str
    reason: str = ""

    def covers_upstream(self, upstream_id: str, availability_zone: str) -> bool:
        """Return whether the stop applies to an upstream."""
        return self._covers("upstream", upstream_id, availability_zone)

    def covers_entry(self, entry_id: str, availability_zone: str) -> bool:
        """Return whether the stop applies to an entry."""
        return self._covers("entry", entry_id, availability_zone)

    def _covers(self, kind: str, name: str, availability_zone: str) -> bool:
        if self.kind == "zone":
            return self.name == availability_zone
        return self.kind == kind and self.name == name


def stop_key(stop: Stop) -> str:
    """Return the key of a stop in the key-value service."""
    return f"{STOPS_PREFIX}{stop.kind}/{stop.name}"


def encode_stop(stop: Stop) -> bytes:
    """Return the stored form of a stop."""
    return msgspec.json.encode(stop)


def decode_stop(value: bytes) -> Stop | None:
    """Return the decoded stop, None if the stored value is malformed."""
    try:
        return msgspec.json.decode(value, type=Stop)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
