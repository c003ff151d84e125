"""Which entries an entry tells of news at once.

Traffic between regions is slow and billed, so news goes to every entry of the own region and to a
few of each other region, who tell theirs.
"""

from __future__ import annotations

from godwitpath.membership.member import Member
from godwitpath.ranking import rank

RELAYS_PER_REGION = 2
"""Entries of another region that are told."""


def receivers(local: Member, live: list[Member], from_region: str) -> list[Member]:
    """Return whom to tell.

    :param live: the live entries
    :param from_region: region of the entry that told it here, empty when it was seen here
    """
    if from_region == local.region:
        return []
    others = [member for member in live if member.entry_id != local.entry_id]
    told = [member for member in others if member.region == local.region]
    if from_region:
        return told
    for region in sorted({m.region for m in others} - {local.region}):
        of_region = [member for member in others if member.region == region]
        told.extend(rank(f"relay/{region}", of_region, _name)[:RELAYS_PER_REGION])
    return told


def _name(member: Member) -> str:
    return member.entry_id
