"""Conflict resolution between the known state of a member and a received fact.

A fact is the latest state of one member or upstream. The incarnation of a member is a number that
only the member itself increases.
"""

from __future__ import annotations

from typing import Literal

from godwitpath.membership.member import Member, MemberState
from godwitpath.membership.messages import MemberFact

MergeDecision = Literal["ignore", "accept", "suspect"]

_STATE_PRECEDENCE: dict[MemberState, int] = {"alive": 0, "suspect": 1, "leaving": 2, "gone": 3}


def evaluate_fact(known: Member | None, fact: MemberFact) -> MergeDecision:
    """Return how to apply a fact about another member.

    A higher incarnation wins. Within an incarnation, `gone` takes precedence over `leaving`,
    `leaving` over `suspect` and `suspect` over `alive`. A report by a third entry that a member
    is gone only starts or confirms a suspicion: after a network partition heals, each side
    reports the live members of the other side as gone, and these members need time to refute.

    :param known: the local state of the member, None if the member is unknown
    :param fact: the received fact
    """
    if known is None:
        # A member that was removed after it was gone is not added again as gone.
        return "ignore" if fact.state == "gone" else "accept"
    if fact.incarnation < known.incarnation:
        return "ignore"
    same_incarnation = fact.incarnation == known.incarnation
    if same_incarnation and _STATE_PRECEDENCE[fact.state] <= _STATE_PRECEDENCE[known.state]:
        return "ignore"
    third_party_report = fact.state == "gone" and not fact.self_reported
    if third_party_report and known.state != "gone":
        return "suspect"
    return "accept"


def must_refute(local: Member, fact: MemberFact) -> bool:
    """Return whether this entry must refute a fact about itself."""
    if fact.incarnation < local.incarnation:
        return False
    if fact.incarnation > local.incarnation or fact.state == "suspect":
        return local.state != "gone"
    return _STATE_PRECEDENCE[fact.state] > _STATE_PRECEDENCE[local.state]
