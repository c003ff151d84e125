"""Request identifiers that tell where the record is placed.

An identifier carries a hash of the accepting entry, of its region and availability zone, and the
key of the rendezvous ranking, so that any entry finds holder and backup without asking all.
"""

from __future__ import annotations

import random
import re
from dataclasses import dataclass

import xxhash

from godwitpath.membership.member import Member

_PREFIX = "req-"
_RANDOM_DIGITS = 16
_FORM = re.compile(r"req-([0-9a-f]{8})([0-9a-f]{4})([0-9a-f]{4})([0-9a-f]{16})[0-9a-f]{16}")


@dataclass(slots=True, frozen=True)
class Placement:
    """What an identifier tells of its record.

    :ivar holder: hash of the accepting entry's name, empty when not known
    :ivar region: hash of its region
    :ivar availability_zone: hash of its availability zone
    :ivar key: key of the rendezvous ranking
    """

    key: str
    holder: str = ""
    region: str = ""
    availability_zone: str = ""


def name_hash(name: str, digits: int) -> str:
    """Return a short hash of a name."""
    return xxhash.xxh3_64_hexdigest(name.encode())[:digits]


def placement_key(account: str, idempotency_key: str) -> str:
    """Return the ranking key of an account's idempotency key."""
    return xxhash.xxh3_64_hexdigest(f"{account}\x00{idempotency_key}".encode())


def new_request_id(
    rng: random.Random, local: Member, account: str, idempotency_key: str = ""
) -> str:
    """Return a new request identifier of an entry."""
    if idempotency_key:
        key = placement_key(account, idempotency_key)
    else:
        key = f"{rng.getrandbits(64):016x}"
    holder = name_hash(local.entry_id, 8)
    place = name_hash(local.region, 4) + name_hash(local.availability_zone, 4)
    return f"{_PREFIX}{holder}{place}{key}{rng.getrandbits(64):016x}"


def handle_of(request_id: str) -> int:
    """Return a number of 64 bits that stands for the identifier between holder and backup."""
    if _FORM.fullmatch(request_id):
        return int(request_id[-_RANDOM_DIGITS:], 16)
    return xxhash.xxh3_64_intdigest(request_id.encode())


def placement_of(request_id: str) -> Placement:
    """Return what an identifier tells; one of another form is its own ranking key."""
    match = _FORM.fullmatch(request_id)
    if match is None:
        return Placement(request_id)
    holder, region, availability_zone, key = match.groups()
    return Placement(key, holder, region, availability_zone)
