"""Ranks the entries for backup copies, for record look-ups and for key claims."""

from __future__ import annotations

from godwitpath.membership.member import Member
from godwitpath.ranking import rank
from godwitpath.records.ids import Placement, name_hash

MAX_CANDIDATES = 3
"""Number of best-ranked entries that are tried for a backup copy or queried for a record."""


def backup_candidates(placement: Placement, members: list[Member], holder: Member) -> list[Member]:
    """Return the entries that may hold the backup copy, best first.

    Entries in another availability zone of the holder's region come first, then those in another
    region, then those in the holder's own availability zone.
    """
    others = [member for member in members if member.entry_id != holder.entry_id]
    return _by_distance(
        placement.key, others, name_hash(holder.region, 4), name_hash(holder.availability_zone, 4)
    )


def lookup_candidates(placement: Placement, members: list[Member]) -> list[Member]:
    """Return the entries at which a record is looked up.

    These are the accepting entry, the ``MAX_CANDIDATES`` best-ranked backups in other availability
    zones, and the best-ranked entry in the accepting entry's zone, where the copy of an adopted
    record may be.
    """
    if not placement.holder:
        return key_arbiters(placement.key, members)
    ranked = _by_distance(placement.key, members, placement.region, placement.availability_zone)
    accepting_entries = [
        member for member in ranked if name_hash(member.entry_id, 8) == placement.holder
    ]
    other_zones = [member for member in ranked if not _in_zone(member, placement)]
    same_zone = [
        member
        for member in ranked
        if _in_zone(member, placement) and member not in accepting_entries
    ]
    return accepting_entries + other_zones[:MAX_CANDIDATES] + same_zone[:1]


def key_arbiters(key: str, members: list[Member]) -> list[Member]:
    """Return the best-ranked entries for a key, in distinct availability zones where possible."""
    ranked = rank(key, members, lambda member: member.entry_id)
    first_by_zone: dict[tuple[str, str], Member] = {}
    for member in ranked:
        first_by_zone.setdefault((member.region, member.availability_zone), member)
    zones_first = list(first_by_zone.values())
    zones_first += [member for member in ranked if member not in zones_first]
    return zones_first[:MAX_CANDIDATES]


def _by_distance(key: str, members: list[Member], region: str, zone: str) -> list[Member]:
    def distance(member: Member) -> int:
        if name_hash(member.region, 4) != region:
            return 1
        return 2 if name_hash(member.availability_zone, 4) == zone else 0

    ranked = rank(key, members, lambda member: member.entry_id)
    return sorted(ranked, key=distance)


def _in_zone(member: Member, placement: Placement) -> bool:
    zone = name_hash(member.availability_zone, 4)
    return zone == placement.availability_zone and name_hash(member.region, 4) == placement.region
