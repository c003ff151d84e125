"""Chooses the daemon that grants the sends to a limited engine: the engine's grantor.

Each limited engine has one grantor, by rendezvous hashing: each daemon prefers, among the daemons
that it hears, those in the engine's availability zone, and the grantor is the daemon that more than
half of all known daemons prefer by what they state to hear. So of two parts of a divided fleet at
most one grants, also where daemons hear others that do not hear them.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from godwitpath.gateway.engines import EngineEntry
from godwitpath.gateway.members import Members
from godwitpath.gateway.mutual_hearing import Election, elect
from godwitpath.gateway.peer_state import STATEMENT_S
from godwitpath.ranking import score

if TYPE_CHECKING:
    from godwitpath.gateway.peer_view import PeerView

HANDOVER_S = STATEMENT_S
"""Time for which more than half of the daemons have preferred a daemon until it grants: by then no
statement from before counts with the previous grantor, and its permits are used."""

VIEW_AGE_S = 0.05
"""Longest time for which the grantors are not determined anew."""

MAX_PAUSE_S = 1.0
"""Longest time between two calls of :meth:`Grantors.refresh` in a daemon that was not paused."""

NOBODY = Election(None, None)


class Grantors:
    """Knows the grantor of each engine.

    :param name: name of this daemon
    :param zone: availability zone of this daemon
    :param clock_s: returns the time on a clock that continues while the machine is suspended
    :ivar resumed_at_s: loop time at which this daemon noticed its last pause
    """

    def __init__(
        self, name: str, zone: str, members: Members, view: PeerView, clock_s: Callable[[], float]
    ) -> None:
        self._name = name
        self._zone = zone
        self._members = members
        self._view = view
        self._clock_s = clock_s
        self._heard: frozenset[str] = frozenset()
        self._known: frozenset[str] = frozenset()
        self._computed_at_s = -math.inf
        self._refreshed_at_s = -math.inf
        self._elections: dict[str, Election] = {}
        # The known daemons in the order of an engine's preference, by engine id.
        self._rankings: dict[str, list[str]] = {}
        self.resumed_at_s = -math.inf

    @property
    def daemons(self) -> int:
        """Number of known daemons, including this one."""
        return len(self._view.known_daemons())

    def grantor(self, entry: EngineEntry) -> str | None:
        """Return the name of an engine's grantor, None if this daemon cannot know it."""
        return self._election(entry).chosen

    def may_grant(self, entry: EngineEntry) -> bool:
        """Return whether this daemon is the grantor of an engine, and no other one still is."""
        return self._election(entry).steady == self._name

    def refresh(self) -> None:
        """Update what the daemons hear, and notice whether this daemon was paused.

        To be called at least every :data:`MAX_PAUSE_S`.
        """
        now_s = asyncio.get_running_loop().time()
        clock_s = self._clock_s()
        paused = clock_s - self._refreshed_at_s > MAX_PAUSE_S
        self._refreshed_at_s = clock_s
        if paused:
            self.resumed_at_s = now_s
            self._view.statements.forget()
        elif now_s - self._computed_at_s < VIEW_AGE_S:
            return
        self._computed_at_s = now_s
        self._elections.clear()
        heard = frozenset(self._view.reporting())
        if heard != self._heard:
            self._heard = heard
        self._view.statements.note(self._name, self._heard, now_s)
        self._note_known()

    def _note_known(self) -> None:
        """Update the known daemons: the registered ones, and all that any daemon hears."""
        now_s = asyncio.get_running_loop().time()
        stated = {
            id(each.latest): each.latest
            for each in self._view.statements.current(now_s).values()
            if each.latest is not None
        }
        known = self._heard.union(self._members.entries, (self._name,), *stated.values())
        if known != self._known:
            self._known = known
            self._rankings.clear()

    def _election(self, entry: EngineEntry) -> Election:
        self.refresh()
        members = self._members
        if not members.secret or members.watcher.last_response_at_s is None:
            return NOBODY
        election = self._elections.get(entry.engine_id)
        if election is None:
            now_s = asyncio.get_running_loop().time()
            election = elect(
                self._ranking(entry),
                self._view.statements.current(now_s),
                self._heard | {self._name},
                len(self._known),
                now_s,
                HANDOVER_S,
            )
            self._elections[entry.engine_id] = election
        return election

    def _ranking(self, entry: EngineEntry) -> list[str]:
        ranking = self._rankings.get(entry.engine_id)
        if ranking is None:
            ranking = sorted(
                self._known,
                key=lambda name: (
                    self._zone_of(name) == entry.zone,
                    score(entry.engine_id, name),
                    name,
                ),
                reverse=True,
            )
            self._rankings[entry.engine_id] = ranking
        return ranking

    def _zone_of(self, name: str) -> str | None:
        return self._zone if name == self._name else self._members.zone_of(name)
