"""What an entry holds to be true of the other entries, and how statements change it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from godwitpath.listeners import Listeners
from godwitpath.membership.member import Member, MemberState
from godwitpath.membership.merge import judge, must_refute
from godwitpath.membership.messages import MemberFact, decode_member, encode_member, member_of
from godwitpath.membership.suspicion import LocalHealth, Suspicion, new_suspicion

Callback = Callable[[Member], None]


class Roster:
    """The members with their suspicions; also the topic by which members are spread.

    :ivar local: this entry
    :ivar health: how late this entry's own work seems to be
    :ivar counts: events by name
    :ivar met: set once another entry was heard of
    :ivar gone_at_s: when each member that is gone went, on the loop's clock
    :param suspicion_s: shortest time between suspicion and the verdict
    :param spread: lets the statement about a name ride on the next messages
    :param tell: sends a statement to one member at once
    """

    def __init__(
        self,
        local: Member,
        suspicion_s: float,
        spread: Callable[[str, bytes], None],
        tell: Callable[[Member, bytes], None],
    ) -> None:
        self.local = local
        self.health = LocalHealth()
        self.counts: Counter[str] = Counter()
        self.met = asyncio.Event()
        self.gone_at_s: dict[str, float] = {}
        self._suspicion_s = suspicion_s
        self._spread_payload = spread
        self._tell_payload = tell
        self._members: dict[str, Member] = {local.entry_id: local}
        self._suspicions: dict[str, Suspicion] = {}
        self._listeners: Listeners[[Member]] = Listeners(self.counts)

    def get(self, entry_id: str) -> Member | None:
        """Return a member by its name."""
        return self._members.get(entry_id)

    def members(self) -> list[Member]:
        """Return every member, this entry first."""
        return list(self._members.values())

    def others(self) -> list[Member]:
        """Return every other member that is not gone."""
        local = self.local
        return [m for m in self._members.values() if m is not local and m.state != "gone"]

    def suspected(self, entry_id: str) -> bool:
        """Return whether a member is under suspicion."""
        return entry_id in self._suspicions

    def on_change(self, callback: Callback) -> None:
        """Call back with each member whose state, address or incarnation changed."""
        self._listeners.add(callback)

    def set_own_state(self, state: MemberState) -> bytes:
        """Change this entry's own state; returns the statement that says so."""
        self.local.state = state
        self._spread(self.local)
        self._listeners.notify(self.local)
        return encode_member(self.local, True)

    def suspect(self, member: Member, accuser: str, incarnation: int) -> None:
        """Suspect a member, unless it is suspected or gone."""
        if member.entry_id in self._suspicions or member.state == "gone":
            return
        now_s = asyncio.get_running_loop().time()
        self._suspicions[member.entry_id] = new_suspicion(
            incarnation, accuser, now_s, self._suspicion_s, len(self.others()) + 1
        )
        self.counts["suspicions"] += 1
        # The suspected entry hears of it at once, so that it can refute in time.
        self._tell_payload(member, self.accusation(member))
        if member.state == "alive":
            member.state = "suspect"
            self._spread(member)
            self._listeners.notify(member)

    def accusation(self, member: Member) -> bytes:
        """Return the statement that a member is suspected."""
        return encode_member(replace(member, state="suspect"))

    def end_suspicions(self) -> None:
        """Count as gone every member that did not refute in time."""
        now_s = asyncio.get_running_loop().time()
        for entry_id, suspicion in list(self._suspicions.items()):
            if suspicion.deadline_s > now_s:
                continue
            member = self._members[entry_id]
            member.state = "gone"
            member.incarnation = max(member.incarnation, suspicion.incarnation)
            del self._suspicions[entry_id]
            self.gone_at_s[entry_id] = now_s
            self.counts["gone"] += 1
            self._spread(member)
            self._listeners.notify(member)

    def excuse(self, late_s: float) -> None:
        """Give every suspected member as much more time as this entry was paused."""
        for suspicion in self._suspicions.values():
            suspicion.started_at_s += late_s

    def forget(self, entry_id: str) -> None:
        """Drop a member that is gone."""
        self.gone_at_s.pop(entry_id, None)
        self._members.pop(entry_id, None)

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        now_s = asyncio.get_running_loop().time()
        return {
            "local": self.local.entry_id,
            "health_score": self.health.score,
            "members": [
                {
                    "entry_id": member.entry_id,
                    "region": member.region,
                    "availability_zone": member.availability_zone,
                    "address": str(member.address),
                    "incarnation": member.incarnation,
                    "state": member.state,
                    "config_revision": member.config_revision,
                }
                for member in self._members.values()
            ],
            "suspicions": {
                name: {"left_s": round(s.deadline_s - now_s, 3), "accusers": sorted(s.accusers)}
                for name, s in self._suspicions.items()
            },
        }

    # Topic of the members: what the exchange asks for.

    def statements(self) -> Iterable[tuple[str, str]]:
        """Yield each member's name and statement."""
        for member in self._members.values():
            # A suspicion passes by itself, and each entry forgets those gone in its own time.
            if member.state != "gone":
                state = "alive" if member.state == "suspect" else member.state
                yield member.entry_id, f"{member.incarnation} {state}"

    def names(self) -> Iterable[str]:
        """Yield the name of every member."""
        return list(self._members)

    def payload(self, name: str) -> bytes:
        """Return a member in its spread form."""
        return encode_member(self._members[name], name == self.local.entry_id)

    def receive(self, sender: str, payload: bytes) -> None:
        """Take in a fact about a member."""
        fact = decode_member(payload)
        if fact is None:
            self.counts["garbage_facts"] += 1
        elif fact.entry_id == self.local.entry_id:
            self._hear_of_self(sender, fact)
        else:
            self._hear_of_other(sender, fact)

    def _hear_of_self(self, sender: str, fact: MemberFact) -> None:
        accused = fact.state in ("suspect", "gone")
        if must_refute(self.local, fact):
            self.local.incarnation = fact.incarnation + 1
            self.counts["refutations"] += 1
            if accused:
                self.health.worse()
            self._spread(self.local)
        elif not accused or fact.incarnation >= self.local.incarnation:
            return
        # Each accuser is told, also one whose accusation another one's has made old.
        accuser = self._members.get(sender)
        if accuser is not None:
            self._tell_payload(accuser, encode_member(self.local, True))

    def _hear_of_other(self, sender: str, fact: MemberFact) -> None:
        known = self._members.get(fact.entry_id)
        verdict = judge(known, fact)
        accusation = fact.state == "suspect" or verdict == "suspect"
        suspicion = self._suspicions.get(fact.entry_id)
        if accusation and suspicion and fact.incarnation <= suspicion.incarnation:
            self._confirm(sender, fact, suspicion)
            return
        if verdict == "ignore":
            return
        newer = known is None or fact.incarnation > known.incarnation
        if verdict == "accept" and (newer or fact.state != "suspect"):
            self._accept(fact)
        if accusation:
            self.suspect(self._members[fact.entry_id], sender, fact.incarnation)

    def _accept(self, fact: MemberFact) -> None:
        member = member_of(fact)
        known = self._members.get(fact.entry_id)
        if known is not None:
            member.config_revision = known.config_revision
        if member.state == "suspect":
            member.state = "alive"
        self._members[member.entry_id] = member
        self._suspicions.pop(member.entry_id, None)
        if member.state == "gone":
            self.gone_at_s[member.entry_id] = asyncio.get_running_loop().time()
            self.counts["gone"] += 1
        else:
            self.gone_at_s.pop(member.entry_id, None)
        self.met.set()
        self._spread(member, fact.from_itself)
        self._listeners.notify(member)

    def _confirm(self, sender: str, fact: MemberFact, suspicion: Suspicion) -> None:
        if fact.incarnation != suspicion.incarnation or sender in suspicion.accusers:
            return
        if len(suspicion.accusers) <= suspicion.confirmations_wanted:
            suspicion.accusers.add(sender)
            self._spread(self._members[fact.entry_id])

    def _spread(self, member: Member, from_itself: bool = False) -> None:
        own = member is self.local or from_itself
        self._spread_payload(member.entry_id, encode_member(member, own))
