"""What daemons tell one another: their own recent work, often, and whole views when asked."""

from __future__ import annotations

import hashlib
import hmac

import msgspec

DIGEST_BYTES = 16


class PeerReport(msgspec.Struct, array_like=True, tag="report"):
    """What a daemon says of itself a few times a second; each report stands by itself.

    :ivar incarnation: random number of this start
    :ivar number: counts the reports of this start
    :ivar configuration: revision of the configuration in force
    :ivar clock_s: true time as the daemon has it, seconds since 1970
    :ivar quota_used: units let through since the start, by account
    :ivar usage: requests that began to run, by window and account
    :ivar loads: running requests and waiting prompt tokens by engine
    :ivar prompts: shared prompt parts with their tokens that were lately given to an engine
    :ivar read_tokens: prompt tokens given to engines to read since the start, by service
    :ivar fresh: whether it follows the store, and the store answers
    :ivar engines: store revision of the newest change of an engine that it knows
    :ivar holder: the daemon that holds the duties as far as it knows, with its fencing token
    """

    name: str
    incarnation: int
    number: int
    configuration: int
    clock_s: float
    quota_used: dict[str, int]
    usage: dict[int, dict[str, int]]
    loads: dict[str, tuple[int, int]]
    read_tokens: dict[str, int]
    prompts: list[tuple[str, list[tuple[str, int]]]]
    fresh: bool = True
    engines: int = 0
    holder: tuple[str, int] = ("", 0)


class ZoneDigest(msgspec.Struct, array_like=True, tag="zone"):
    """What one daemon of an availability zone says for all of them, where there are many zones.

    :ivar speaker: the daemon that says it
    :ivar incarnation: random number of its start
    :ivar members: the zone's daemons that were heard lately, with their starts
    :ivar configuration: greatest revision that is in force at one of them
    :ivar quota_used: units let through since the speaker began to count, by account
    :ivar loads: running requests and waiting prompt tokens by engine, summed over the zone
    :ivar read_tokens: prompt tokens given to engines to read since then, by service
    :ivar prompts: as in a report
    """

    zone: str
    speaker: str
    incarnation: int
    number: int
    members: list[tuple[str, int]]
    configuration: int
    quota_used: dict[str, int]
    loads: dict[str, tuple[int, int]]
    read_tokens: dict[str, int]
    prompts: list[tuple[str, list[tuple[str, int]]]]


PeerMessage = PeerReport | ZoneDigest


class CatalogueView(msgspec.Struct, array_like=True):
    """A daemon's view of configuration and engines, for one that the store turns away.

    :ivar fresh: whether the daemon itself hears from the store
    :ivar engines: store revision of the newest change in the entries
    :ivar configuration: revision of the configuration, 0 for none
    :ivar value: bytes of the configuration, empty where the asker has it
    :ivar entries: values of the engines' keys, as they lie in the store
    """

    fresh: bool
    configuration: int
    value: bytes
    entries: dict[str, bytes]
    engines: int


def seal(secret: bytes, payload: bytes) -> bytes:
    """Return a payload with a digest that only holders of the secret can make."""
    return hashlib.blake2b(payload, key=secret, digest_size=DIGEST_BYTES).digest() + payload


def unseal(secret: bytes, sealed: bytes) -> bytes | None:
    """Return the payload, or None if its digest does not fit."""
    digest, payload = sealed[:DIGEST_BYTES], sealed[DIGEST_BYTES:]
    expected = hashlib.blake2b(payload, key=secret, digest_size=DIGEST_BYTES).digest()
    return payload if hmac.compare_digest(digest, expected) else None
