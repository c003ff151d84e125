"""The known state of all members, and how received facts and suspicions change it.

A fact is the latest state of one member or upstream. The incarnation of a member is a number that
only the member itself increases.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from godwitpath.listeners import Listeners
from godwitpath.membership.member import Member, MemberState
from godwitpath.membership.merge import evaluate_fact, must_refute
from godwitpath.membership.messages import (
    MemberFact,
    decode_member,
    encode_member,
    member_from_fact,
)
from godwitpath.membership.suspicion import LocalHealth, Suspicion, new_suspicion

MemberCallback = Callable[[Member], None]


class Roster:
    """Holds the members and their suspicions; also implements the topic of the members.

    :ivar local: this entry
    :ivar health: local health score of this entry
    :ivar counts: number of suspicions, refutations, gone members and malformed facts
    :ivar peer_known: event that is set once another entry is known
    :ivar gone_at_s: time on the loop's clock at which each gone member became `gone`
    :param suspicion_s: minimum time from suspicion to `gone`
    :param queue_fact: queues the encoded fact of a member name for piggybacking
    :param send_fact: sends an encoded fact to one member without waiting for a ping
    """

    def __init__(
        self,
        local: Member,
        suspicion_s: float,
        queue_fact: Callable[[str, bytes], None],
        send_fact: Callable[[Member, bytes], None],
    ) -> None:
        self.local = local
        self.health = LocalHealth()
        self.counts: Counter[str] = Counter()
        self.peer_known = asyncio.Event()
        self.gone_at_s: dict[str, float] = {}
        self._suspicion_s = suspicion_s
        self._queue_payload = queue_fact
        self._send_payload = send_fact
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
        """Return whether a member is suspected."""
        return entry_id in self._suspicions

    def on_change(self, callback: MemberCallback) -> None:
        """Register a callback for members with a changed state, address or incarnation."""
        self._listeners.add(callback)

    def set_own_state(self, state: MemberState) -> bytes:
        """Change the state of this entry and return the encoded fact."""
        self.local.state = state
        self._queue_fact(self.local)
        self._listeners.notify(self.local)
        return encode_member(self.local, True)

    def suspect(self, member: Member, accuser: str, incarnation: int) -> None:
        """Start a suspicion of a member, unless it is already suspected or gone."""
        if member.entry_id in self._suspicions or member.state == "gone":
            return
        now_s = asyncio.get_running_loop().time()
        self._suspicions[member.entry_id] = new_suspicion(
            incarnation, accuser, now_s, self._suspicion_s, len(self.others()) + 1
        )
        self.counts["suspicions"] += 1
        # Inform the suspected entry immediately, so that it can refute in time.
        self._send_payload(member, self.suspicion_payload(member))
        if member.state == "alive":
            member.state = "suspect"
            self._queue_fact(member)
            self._listeners.notify(member)

    def suspicion_payload(self, member: Member) -> bytes:
        """Return the encoded fact that a member is suspected."""
        return encode_member(replace(member, state="suspect"))

    def expire_suspicions(self) -> None:
        """Mark every member as gone that did not refute its suspicion in time."""
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
            self._queue_fact(member)
            self._listeners.notify(member)

    def extend_suspicions(self, pause_s: float) -> None:
        """Extend every suspicion by the time for which this entry was paused."""
        for suspicion in self._suspicions.values():
            suspicion.started_at_s += pause_s

    def forget(self, entry_id: str) -> None:
        """Remove a member that is gone."""
        self.gone_at_s.pop(entry_id, None)
        self._members.pop(entry_id, None)

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
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

    # Topic interface, called by the exchange.

    def comparable_states(self) -> Iterable[tuple[str, str]]:
        """Yield the name and the comparable state of each member that is not gone."""
        for member in self._members.values():
            # Suspicions expire locally, and each entry removes gone members at a time of its own.
            if member.state != "gone":
                state = "alive" if member.state == "suspect" else member.state
                yield member.entry_id, f"{member.incarnation} {state}"

    def names(self) -> Iterable[str]:
        """Return the name of every member."""
        return list(self._members)

    def payload(self, name: str) -> bytes:
        """Return the encoded fact of a member."""
        return encode_member(self._members[name], name == self.local.entry_id)

    def receive(self, sender: str, payload: bytes) -> None:
        """Apply a received fact about a member."""
        fact = decode_member(payload)
        if fact is None:
            self.counts["garbage_facts"] += 1
        elif fact.entry_id == self.local.entry_id:
            self._receive_about_self(sender, fact)
        else:
            self._receive_about_other(sender, fact)

    def _receive_about_self(self, sender: str, fact: MemberFact) -> None:
        reports_failure = fact.state in ("suspect", "gone")
        if must_refute(self.local, fact):
            self.local.incarnation = fact.incarnation + 1
            self.counts["refutations"] += 1
            if reports_failure:
                self.health.degrade()
            self._queue_fact(self.local)
        elif not reports_failure or fact.incarnation >= self.local.incarnation:
            return
        # Reply to every accuser, even if this entry has already refuted an earlier accusation.
        accuser = self._members.get(sender)
        if accuser is not None:
            self._send_payload(accuser, encode_member(self.local, True))

    def _receive_about_other(self, sender: str, fact: MemberFact) -> None:
        known = self._members.get(fact.entry_id)
        decision = evaluate_fact(known, fact)
        suspects_member = fact.state == "suspect" or decision == "suspect"
        suspicion = self._suspicions.get(fact.entry_id)
        if suspects_member and suspicion and fact.incarnation <= suspicion.incarnation:
            self._add_confirmation(sender, fact, suspicion)
            return
        if decision == "ignore":
            return
        newer = known is None or fact.incarnation > known.incarnation
        if decision == "accept" and (newer or fact.state != "suspect"):
            self._apply(fact)
        if suspects_member:
            self.suspect(self._members[fact.entry_id], sender, fact.incarnation)

    def _apply(self, fact: MemberFact) -> None:
        member = member_from_fact(fact)
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
        self.peer_known.set()
        self._queue_fact(member, fact.self_reported)
        self._listeners.notify(member)

    def _add_confirmation(self, sender: str, fact: MemberFact, suspicion: Suspicion) -> None:
        if fact.incarnation != suspicion.incarnation or sender in suspicion.accusers:
            return
        if len(suspicion.accusers) <= suspicion.confirmations_needed:
            suspicion.accusers.add(sender)
            self._queue_fact(self._members[fact.entry_id])

    def _queue_fact(self, member: Member, self_reported: bool = False) -> None:
        is_self_reported = member is self.local or self_reported
        self._queue_payload(member.entry_id, encode_member(member, is_self_reported))
