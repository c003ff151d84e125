"""Selects the few entries of a region that poll or watch a source on behalf of the region."""

from __future__ import annotations

from godwitpath.membership.member import Member
from godwitpath.ranking import rank

POLLERS_PER_REGION = 2
"""Number of entries in a region that poll or watch a source."""


def is_source_poller(source: str, local: Member, live: list[Member]) -> bool:
    """Return whether this entry is one of the pollers of a source in its region.

    :param source: name of the source; it is part of the rendezvous hash, so that the work for
        several sources is distributed over the entries
    :param local: this entry
    :param live: the live members of all regions
    """
    candidates = [m for m in live if m.region == local.region and m.state == "alive"]
    if local not in candidates:
        candidates.append(local)
    ranked = rank(f"follow/{source}/{local.region}", candidates, lambda member: member.entry_id)
    return local in ranked[:POLLERS_PER_REGION]
