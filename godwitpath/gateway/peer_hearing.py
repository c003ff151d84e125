"""Who hears this daemon: from what the other daemons' reports and the zones' summaries state.

In a full mesh each report names the daemons that its sender hears. In a large fleet it names those
of the sender's zone, and the aggregators of the zones whose summaries the sender hears. The daemons
that a zone's aggregator hears are those that the other zones hear, and they hear what it hears.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from godwitpath.gateway.members import Members
from godwitpath.gateway.mutual_hearing import Heard, in_contact
from godwitpath.gateway.peer_messages import PeerReport, ZoneSummary
from godwitpath.telemetry.decisions import decision

if TYPE_CHECKING:
    from godwitpath.gateway.peer_view import PeerView

SETTLE_S = 0.8
"""Time for which a daemon must not hear another one until a log line says so: a daemon that starts
hears the first reports before its own have arrived."""

VIEW_AGE_S = 0.05
"""Longest time for which the daemons in contact are not determined anew."""

MAX_EXPANDED = 64
"""Largest number of expanded statements that are kept: those of a zone's daemons, which differ only
while some of them do not hear the same ones."""

MAX_LOGGED_NAMES = 12
"""Largest number of names in a log line."""


class PeerHearing:
    """Knows which daemons hear this one.

    :param name: name of this daemon
    :param zone: availability zone of this daemon
    """

    def __init__(self, name: str, zone: str, members: Members, view: PeerView) -> None:
        self._name = name
        self._zone = zone
        self._members = members
        self._view = view
        self._loop = asyncio.get_running_loop()
        # Expanded statements by the names stated, while the zones' summaries name the same daemons.
        self._expanded: dict[Heard, Heard] = {}
        self._zone_names: dict[str, Heard] = {}
        self._contacts: set[str] = set()
        self._contacts_at_s = -math.inf
        # Sequence numbers that each daemon last stated.
        self._sequences: dict[str, Mapping[str, int]] = {}
        # Loop time at which another daemon last stated a new report of each daemon.
        self._heard_by_others_at_s: dict[str, float] = {}
        self._changed_at_s = math.inf
        self._seen: tuple[Heard, Heard] = (frozenset(), frozenset())
        self._logged: tuple[Heard, Heard] = (frozenset(), frozenset())

    def hears(self) -> dict[str, int]:
        """Return the sequence numbers to state in a report."""
        direct = self._view.reporting_directly()
        if self._view.full_mesh:
            return {name: state.sequence for name, state in direct.items()}
        in_zone = {
            name: state.sequence
            for name, state in direct.items()
            if self._members.zone_of(name) == self._zone
        }
        return in_zone | self.hears_zones()

    def hears_zones(self) -> dict[str, int]:
        """Return the sequence numbers of the other zones' last summaries, by aggregator."""
        return {
            zone.aggregator[0]: zone.order.sequence
            for zone in self._view.zones_heard().values()
            if zone.order.sequence >= 0
        }

    def note_report(self, report: PeerReport) -> None:
        """Note whom a daemon hears."""
        now_s = self._loop.time()
        self._note_sequences(report.name, report.hears, now_s)
        if not self._view.uses_reports_of(report.name):
            return
        # With the sender itself, so that daemons that hear the same ones state the same set.
        heard = (
            None if report.hears is None else self._expand(frozenset((report.name, *report.hears)))
        )
        self._view.statements.note(report.name, heard, now_s)

    def note_summary(self, summary: ZoneSummary, members: Iterable[tuple[str, int]]) -> None:
        """Note whom a zone's daemons hear.

        :param summary: its first piece
        :param members: the members that the zone's summaries list
        """
        now_s = self._loop.time()
        names = frozenset(name for name, _ in members)
        if names != self._zone_names.get(summary.zone):
            self._zone_names[summary.zone] = names
            self._expanded.clear()
        heard = (
            None if summary.hears is None else names | self._with_zones(summary.hears, summary.zone)
        )
        if heard == (before := self._view.statements.latest(summary.aggregator)):
            # One object for all daemons of the zone, which compares in no time.
            heard = before
        for name in names:
            self._view.statements.note(name, heard, now_s)

    def in_contact(self) -> set[str]:
        """Return the names of the daemons that this daemon hears and that hear this daemon."""
        now_s = self._loop.time()
        if now_s - self._contacts_at_s >= VIEW_AGE_S:
            self._contacts_at_s = now_s
            stated = self._view.statements.latest
            self._contacts = in_contact(self._name, self._view.reporting(), stated)
        return self._contacts

    def not_hearing(self) -> set[str]:
        """Return the names of the daemons that this daemon hears and that do not hear it."""
        return self._view.reporting() - self.in_contact()

    def stated(self, name: str) -> Heard | None:
        """Return whom a daemon states to hear, None if it has not stated that."""
        if name == self._name:
            return frozenset(self._view.reporting())
        return self._view.statements.latest(name)

    def heard_by_others_at_s(self, name: str) -> float | None:
        """Return the loop time at which another daemon last stated a report that is new here."""
        return self._heard_by_others_at_s.get(name)

    def log_changes(self) -> None:
        """Write a log line when this daemon learns whom it does not hear, or who does not hear it.

        To be called with each report.
        """
        now_s = self._loop.time()
        reporting = self._view.reporting()
        not_heard_by = frozenset(reporting - self.in_contact())
        not_heard = frozenset(self._members.entries.keys() - reporting)
        seen = (not_heard_by, not_heard)
        if seen != self._seen:
            self._seen, self._changed_at_s = seen, now_s
        if seen == self._logged or now_s - self._changed_at_s < SETTLE_S:
            return
        self._logged = seen
        decision(
            "hearing_changed",
            not_heard_by=sorted(not_heard_by)[:MAX_LOGGED_NAMES],
            not_heard=sorted(not_heard)[:MAX_LOGGED_NAMES],
            daemons_not_hearing=len(not_heard_by),
            daemons_not_heard=len(not_heard),
            heard=len(reporting),
        )

    def _note_sequences(self, name: str, hears: Mapping[str, int] | None, now_s: float) -> None:
        before = self._sequences.get(name, {})
        self._sequences[name] = hears or {}
        for other, sequence in (hears or {}).items():
            is_new = before.get(other, sequence) != sequence
            if is_new and sequence > self._own_sequence(other):
                self._heard_by_others_at_s[other] = now_s

    def _own_sequence(self, name: str) -> int:
        """Return the sequence number of the last report or summary that came from a daemon."""
        entry = self._members.entries.get(name)
        if entry is None:
            return -1
        state = self._view.states.get((name, entry.incarnation))
        zone = self._view.zones.get(entry.zone)
        summarised = zone is not None and zone.aggregator == (name, entry.incarnation)
        return max(
            state.sequence if state is not None else -1,
            zone.order.sequence if zone is not None and summarised else -1,
        )

    def drop_expired(self) -> None:
        """Drop what was stated by and about daemons that are no longer known."""
        known = self._view.known_daemons()
        for name in self._sequences.keys() - known:
            del self._sequences[name]
        for name in self._heard_by_others_at_s.keys() - known:
            del self._heard_by_others_at_s[name]

    def _expand(self, names: Heard) -> Heard:
        """Return the names in a report, with the daemons of zones whose aggregators it names."""
        if self._view.full_mesh:
            return names
        heard = self._expanded.get(names)
        if heard is None:
            if len(self._expanded) >= MAX_EXPANDED:
                self._expanded.clear()
            heard = self._with_zones(names, self._zone)
            if all(self._zone_of(name) is not None for name in names):
                self._expanded[names] = heard
        return heard

    def _with_zones(self, names: Iterable[str], from_zone: str) -> Heard:
        """Return the names that a daemon states, with those whom it hears of by zone summaries.

        :param from_zone: zone of the daemon that states them
        """
        heard = set(names)
        for name in names:
            zone = self._zone_of(name)
            if zone is not None and zone != from_zone:
                heard |= self._summarised(zone, name)
        return frozenset(heard)

    def _summarised(self, zone: str, aggregator: str) -> set[str]:
        """Return the daemons that are in the summary of an aggregator's zone."""
        if zone != self._zone:
            state = self._view.zones.get(zone)
            return {name for name, _ in state.members} if state is not None else set()
        stated = None if aggregator == self._name else self._view.statements.latest(aggregator)
        heard = self._view.reporting_directly().keys() | {self._name} if stated is None else stated
        return {name for name in heard if self._zone_of(name) == zone}

    def _zone_of(self, name: str) -> str | None:
        return self._zone if name == self._name else self._members.zone_of(name)
