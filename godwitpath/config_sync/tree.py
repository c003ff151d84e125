"""Distribution tree of a new configuration within a region.

Entries that know the same live entries compute the same tree. The tree differs for each revision,
so that over many revisions each entry sends about as much as it receives.
"""

from __future__ import annotations

from godwitpath.membership.member import Member
from godwitpath.ranking import rank

FANOUT = 4
"""Number of children of an entry in the tree."""


def push_targets(local: Member, live: list[Member], revision: int, is_source: bool) -> list[Member]:
    """Return the entries to which this entry pushes a configuration that it has just accepted.

    Entries that are known to have the revision already are left out.

    :param is_source: whether the configuration did not arrive through the tree; it is then pushed
        to the root as well
    """
    same_region = [member for member in live if member.region == local.region]
    ranked = rank(f"config/{revision}", same_region, lambda member: member.entry_id)
    position = next(i for i, peer in enumerate(ranked) if peer.entry_id == local.entry_id)
    children = ranked[FANOUT * position + 1 : FANOUT * position + 1 + FANOUT]
    root = [ranked[0]] if is_source and position else []
    return [member for member in root + children if member.config_revision < revision]
