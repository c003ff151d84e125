"""Request identifiers that encode where the record is placed.

The holder of a record is the entry that works on the request.

An identifier contains hashes of the accepting entry's name, region and availability zone, and the
rendezvous hashing key, so that any entry finds holder and backup without querying all entries.
"""

from __future__ import annotations

import random
import re
from dataclasses import dataclass

import xxhash

from godwitpath.membership.member import Member

_PREFIX = "req-"
_RANDOM_DIGITS = 16
_REQUEST_ID_PATTERN = re.compile(
    r"req-([0-9a-f]{8})([0-9a-f]{4})([0-9a-f]{4})([0-9a-f]{16})[0-9a-f]{16}"
)


@dataclass(slots=True, frozen=True)
class Placement:
    """Placement of a record as encoded in the request identifier.

    :ivar key: rendezvous hashing key
    :ivar holder: hash of the accepting entry's name, empty if unknown
    :ivar region: hash of the accepting entry's region
    :ivar availability_zone: hash of the accepting entry's availability zone
    """

    key: str
    holder: str = ""
    region: str = ""
    availability_zone: str = ""


def name_hash(name: str, digits: int) -> str:
    """Return the first hexadecimal digits of a name's hash."""
    return xxhash.xxh3_64_hexdigest(name.encode())[:digits]


def placement_key(account: str, idempotency_key: str) -> str:
    """Return the rendezvous hashing key for an account's idempotency key."""
    return xxhash.xxh3_64_hexdigest(f"{account}\x00{idempotency_key}".encode())


def new_request_id(
    rng: random.Random, local: Member, account: str, idempotency_key: str = ""
) -> str:
    """Return a new request identifier for a request that the local entry accepts."""
    if idempotency_key:
        key = placement_key(account, idempotency_key)
    else:
        key = f"{rng.getrandbits(64):016x}"
    holder = name_hash(local.entry_id, 8)
    location = name_hash(local.region, 4) + name_hash(local.availability_zone, 4)
    return f"{_PREFIX}{holder}{location}{key}{rng.getrandbits(64):016x}"


def handle_of(request_id: str) -> int:
    """Return the 64-bit handle that replaces the request identifier between holder and backup."""
    if _REQUEST_ID_PATTERN.fullmatch(request_id):
        return int(request_id[-_RANDOM_DIGITS:], 16)
    return xxhash.xxh3_64_intdigest(request_id.encode())


def placement_of(request_id: str) -> Placement:
    """Return the placement in a request identifier.

    An identifier in another format is itself used as the rendezvous hashing key.
    """
    match = _REQUEST_ID_PATTERN.fullmatch(request_id)
    if match is None:
        return Placement(request_id)
    holder, region, availability_zone, key = match.groups()
    return Placement(key, holder, region, availability_zone)
