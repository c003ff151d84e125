"""Which of two statements about a member holds."""

from __future__ import annotations

from typing import Literal

from godwitpath.membership.member import Member, MemberState
from godwitpath.membership.messages import MemberFact

Verdict = Literal["ignore", "accept", "suspect"]

_RANKS: dict[MemberState, int] = {"alive": 0, "suspect": 1, "leaving": 2, "gone": 3}


def judge(known: Member | None, fact: MemberFact) -> Verdict:
    """Return what to do with a fact about another member.

    A higher incarnation wins; within one, gone beats leaving beats suspect beats alive. The word
    of a third entry that a member is gone only raises or confirms a suspicion here: after a cut
    heals, each side says so of the other's members, who are well and must have time to refute.

    :param known: the member as it is known here
    """
    if known is None:
        # One that is gone and forgotten here stays forgotten.
        return "ignore" if fact.state == "gone" else "accept"
    if fact.incarnation < known.incarnation:
        return "ignore"
    same = fact.incarnation == known.incarnation
    if same and _RANKS[fact.state] <= _RANKS[known.state]:
        return "ignore"
    hearsay = fact.state == "gone" and not fact.from_itself
    if hearsay and known.state != "gone":
        return "suspect"
    return "accept"


def must_refute(local: Member, fact: MemberFact) -> bool:
    """Return whether a fact about this entry itself must be contradicted."""
    if fact.incarnation < local.incarnation:
        return False
    if fact.incarnation > local.incarnation or fact.state == "suspect":
        return local.state != "gone"
    return _RANKS[fact.state] > _RANKS[local.state]
