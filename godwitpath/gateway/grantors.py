"""Chooses the daemon that grants the sends to a limited engine: the engine's grantor.

Each limited engine has one grantor, which all daemons determine by rendezvous hashing over the
daemons that report: one in the engine's availability zone if any reports there. A daemon that does
not see more than half of all known daemons knows no grantor, so that of two parts of a divided
fleet at most one grants.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from godwitpath.gateway.engines import EngineEntry
from godwitpath.gateway.members import Members
from godwitpath.ranking import score

if TYPE_CHECKING:
    from godwitpath.gateway.peer_view import PeerView

HANDOVER_S = 1.2
"""Time from which a daemon became the grantor of an engine until it grants: the previous one learns
of it from three reports, one of which may be lost, and its permits are used by then."""

VIEW_AGE_S = 0.05
"""Longest time for which the set of reporting daemons is not computed anew."""

MAX_PAUSE_S = 1.0
"""Longest time between two calls of :meth:`Grantors.refresh` in a daemon that was not paused."""


class Grantors:
    """Knows the grantor of each engine.

    :param name: name of this daemon
    :param zone: availability zone of this daemon
    :param clock_s: returns the time on a clock that continues while the machine is suspended
    :ivar settled_since_s: loop time since which this daemon has seen the same daemons without a
        pause of its own
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
        self._names: frozenset[str] = frozenset()
        self._computed_at_s = -math.inf
        self._refreshed_at_s = -math.inf
        self.settled_since_s = math.inf
        self.resumed_at_s = -math.inf

    @property
    def daemons(self) -> int:
        """Number of known daemons, including this one."""
        return len(self._view.known_daemons())

    def grantor(self, entry: EngineEntry) -> str | None:
        """Return the name of an engine's grantor, None if this daemon cannot know it."""
        self.refresh()
        if not self._names:
            return None
        in_zone = [name for name in self._names if self._zone_of(name) == entry.zone]
        return max(in_zone or self._names, key=lambda name: (score(entry.engine_id, name), name))

    def refresh(self) -> None:
        """Update the reporting daemons, and notice whether this daemon was paused.

        To be called at least every :data:`MAX_PAUSE_S`.
        """
        now_s = asyncio.get_running_loop().time()
        clock_s = self._clock_s()
        paused = clock_s - self._refreshed_at_s > MAX_PAUSE_S
        self._refreshed_at_s = clock_s
        if paused:
            self.settled_since_s = self.resumed_at_s = now_s
        elif now_s - self._computed_at_s < VIEW_AGE_S:
            return
        self._computed_at_s = now_s
        names = self._reporting()
        if names != self._names:
            self._names = names
            self.settled_since_s = now_s

    def _reporting(self) -> frozenset[str]:
        """Return the names of this and the reporting daemons, none if they are not a majority."""
        members = self._members
        if not members.secret or members.watcher.last_response_at_s is None:
            return frozenset()
        reporting = self._view.reporting()
        known = members.entries.keys() | reporting | {self._name}
        names = frozenset(reporting | {self._name})
        return names if 2 * len(names) > len(known) else frozenset()

    def _zone_of(self, name: str) -> str | None:
        return self._zone if name == self._name else self._members.zone_of(name)
