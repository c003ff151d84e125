"""Which entries of a region do the work that a few do for all, such as following a source."""

from __future__ import annotations

from godwitpath.membership.member import Member
from godwitpath.ranking import rank

FOLLOWERS_PER_REGION = 2
"""Entries of a region that follow a source."""


def follows(source: str, local: Member, live: list[Member]) -> bool:
    """Return whether this entry is one of those in its region that follow a source.

    :param source: name of the source, so that the work falls to different entries
    """
    of_region = [m for m in live if m.region == local.region and m.state == "alive"]
    if local not in of_region:
        of_region.append(local)
    ranked = rank(f"follow/{source}/{local.region}", of_region, lambda member: member.entry_id)
    return local in ranked[:FOLLOWERS_PER_REGION]
