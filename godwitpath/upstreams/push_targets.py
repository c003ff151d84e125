"""Selects the entries to which an entry pushes a change.

Traffic between regions is slow and billed. Therefore a change is pushed to every entry of the local
region and to a few relays in each remote region, which push it to the entries of their region.
"""

from __future__ import annotations

from godwitpath.membership.member import Member
from godwitpath.ranking import rank

RELAYS_PER_REGION = 2
"""Number of entries in a remote region to which a change is pushed."""


def push_targets(local: Member, live: list[Member], from_region: str) -> list[Member]:
    """Return the entries to which this entry pushes a change.

    :param local: this entry
    :param live: the live entries of all regions
    :param from_region: region of the entry that sent the change, empty if this entry observed it
    """
    if from_region == local.region:
        return []
    others = [member for member in live if member.entry_id != local.entry_id]
    recipients = [member for member in others if member.region == local.region]
    if from_region:
        return recipients
    for region in sorted({m.region for m in others} - {local.region}):
        candidates = [member for member in others if member.region == region]
        recipients.extend(rank(f"relay/{region}", candidates, _entry_id)[:RELAYS_PER_REGION])
    return recipients


def _entry_id(member: Member) -> str:
    return member.entry_id
