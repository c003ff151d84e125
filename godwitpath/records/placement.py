"""Where the copy of a record is put, and whom to ask for one."""

from __future__ import annotations

from godwitpath.membership.member import Member
from godwitpath.ranking import rank
from godwitpath.records.ids import Placement, name_hash

ASKED_PEERS = 3


def backups(placement: Placement, members: list[Member], holder: Member) -> list[Member]:
    """Return the entries that may hold the copy, the best first.

    Another availability zone of the same region goes first, then another region, then the
    holder's own availability zone.
    """
    others = [member for member in members if member.entry_id != holder.entry_id]
    return _by_distance(
        placement.key, others, name_hash(holder.region, 4), name_hash(holder.availability_zone, 4)
    )


def askable(placement: Placement, members: list[Member]) -> list[Member]:
    """Return the entries that a record is looked for at.

    These are the accepting entry, the first of its possible backups, and the first of its own
    availability zone, where the copy of an adopted record may be.
    """
    if not placement.holder:
        return key_holders(placement.key, members)
    ranked = _by_distance(placement.key, members, placement.region, placement.availability_zone)
    holder = [member for member in ranked if name_hash(member.entry_id, 8) == placement.holder]
    far = [member for member in ranked if not _in_zone(member, placement)]
    near = [member for member in ranked if _in_zone(member, placement) and member not in holder]
    return holder + far[:ASKED_PEERS] + near[:1]


def key_holders(key: str, members: list[Member]) -> list[Member]:
    """Return the first entries of the ranking, of distinct availability zones where possible."""
    ranked = rank(key, members, lambda member: member.entry_id)
    heads: dict[tuple[str, str], Member] = {}
    for member in ranked:
        heads.setdefault((member.region, member.availability_zone), member)
    spread = list(heads.values())
    spread += [member for member in ranked if member not in spread]
    return spread[:ASKED_PEERS]


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
