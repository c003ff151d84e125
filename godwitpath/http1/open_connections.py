"""Bounds the open connections of a server, and chooses which one to end beyond that.

The load is that of many connections that send nothing, or the start of a request: each one stays
within its timeouts, all of them together take the files that calls to other servers need. The
decision has no access to the network.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Hashable
from enum import StrEnum

from godwitpath.telemetry.decisions import decision

LOG_INTERVAL_S = 10.0
"""Shortest time between two log lines about one port."""

NEWCOMER = "new"
"""Counts connections that are ended when they are opened, as all others have complete requests."""


class Phase(StrEnum):
    """What a connection is doing: it has begun no request, receives one, or one is handled."""

    IDLE = "idle"
    RECEIVING = "receiving"
    HANDLING = "handling"


class OpenConnections:
    """Ends connections without a complete request, so that the number of all stays bounded.

    The one that has been idle longest is ended first, then the one that has been receiving a
    request for the longest time, and then the new one.

    :param port: what the port is for, in the log line
    :ivar max_open: maximum number of open connections
    :ivar ended: number of connections that were ended so far, by what they were doing
    """

    __slots__ = ("_ends", "_logged", "_logged_at_s", "_waiting", "ended", "max_open", "port")

    def __init__(self, port: str = "", max_open: float = math.inf) -> None:
        self.port = port
        self.max_open = max_open
        self.ended: Counter[str] = Counter()
        self._ends: dict[Hashable, Callable[[], None]] = {}
        # Connections that may be ended, in the order in which their phases began.
        self._waiting: dict[Phase, dict[Hashable, None]] = {Phase.IDLE: {}, Phase.RECEIVING: {}}
        self._logged: Counter[str] = Counter()
        self._logged_at_s = -math.inf

    def __len__(self) -> int:
        return len(self._ends)

    def add(self, connection: Hashable, end: Callable[[], None], now_s: float) -> None:
        """Count a connection that was opened, and end one if there are too many.

        :param end: ends the connection at once
        """
        self._ends[connection] = end
        if len(self._ends) > self.max_open:
            self._end_one(connection, now_s)
        self.note_phase(connection, Phase.IDLE)

    def note_phase(self, connection: Hashable, phase: Phase) -> None:
        """Note what a connection is doing from now on."""
        for each, connections in self._waiting.items():
            if each is not phase:
                connections.pop(connection, None)
            elif connection in self._ends:
                connections.setdefault(connection)

    def remove(self, connection: Hashable) -> None:
        """Note that a connection was closed."""
        self._ends.pop(connection, None)
        for connections in self._waiting.values():
            connections.pop(connection, None)

    def _end_one(self, newcomer: Hashable, now_s: float) -> None:
        reason, ended = NEWCOMER, newcomer
        for phase, connections in self._waiting.items():
            if connections:
                reason, ended = phase.value, next(iter(connections))
                break
        end = self._ends[ended]
        self.remove(ended)
        self.ended[reason] += 1
        end()
        if now_s - self._logged_at_s >= LOG_INTERVAL_S:
            counts = self.ended - self._logged
            self._logged, self._logged_at_s = self.ended.copy(), now_s
            decision("connections_ended", port=self.port, max_open=self.max_open, ended=counts)
