"""The tree by which a new configuration goes through a region.

Every entry that knows the same live entries works out the same tree, another one for each
revision, so that over many revisions each entry sends about as much as it receives.
"""

from __future__ import annotations

from godwitpath.membership.member import Member
from godwitpath.ranking import rank

FANOUT = 4
"""Entries to which an entry passes a configuration on."""


def pushes_to(local: Member, live: list[Member], revision: int, is_source: bool) -> list[Member]:
    """Return the entries to which this one sends a configuration that is new to it.

    :param is_source: whether it came from elsewhere than the tree, so that the root needs it
    """
    of_region = [member for member in live if member.region == local.region]
    ranked = rank(f"config/{revision}", of_region, lambda member: member.entry_id)
    position = next(i for i, m in enumerate(ranked) if m.entry_id == local.entry_id)
    children = ranked[FANOUT * position + 1 : FANOUT * position + 1 + FANOUT]
    root = [ranked[0]] if is_source and position else []
    return [member for member in root + children if member.config_revision < revision]
