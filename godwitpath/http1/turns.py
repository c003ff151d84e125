"""Handles connections that receive much data in turn, one in an iteration of the event loop.

Without turns, one iteration handles what every connection has received, and all other work waits
for it. The load is that of many connections whose peers send without end. The number of bytes
says little about it, since small pieces cost as much work as large ones: what a turn costs is
measured, and all other work has a multiple of that time before the next turn.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Hashable
from weakref import WeakKeyDictionary

READ_BYTES = 65_536
"""Most bytes that a connection reads at once."""

FIRST_READ_BYTES = 4_096
"""Most bytes that a connection reads at once before it is known what they cost, and for as long as
its reader parses them further."""

DENSE_READ_BYTES = 2_048
"""Most bytes that a connection reads at once after a read of many pieces."""

READ_PIECES = 128
"""Number of parsed pieces in one read from which a connection waits its turn, however few bytes
these had."""

OTHERS_FACTOR = 3.0
"""Time that all other work has between two turns, as a multiple of what the first one cost."""

SHORT_TURN_S = 0.000_3
"""Cost of a turn up to which the next iteration may have a turn as well."""

MAX_PAUSE_S = 0.02
"""Longest time between two turns."""


def is_heavy(held_bytes: int, pieces: int, max_held_bytes: int = READ_BYTES) -> bool:
    """Return whether what a connection has received is handled in turn.

    :param held_bytes: bytes that were received and not handled yet
    :param pieces: number of pieces that the last read was parsed into
    :param max_held_bytes: number of held bytes from which it is
    """
    return held_bytes >= max_held_bytes or pieces >= READ_PIECES


def next_read_bytes(allowed_bytes: int, read_bytes: int, pieces: int) -> int:
    """Return how much a connection may read next.

    :param allowed_bytes: how much it was allowed to read
    :param read_bytes: how much it has read
    :param pieces: number of pieces that it was parsed into
    """
    if pieces >= READ_PIECES:
        return DENSE_READ_BYTES
    return min(READ_BYTES, 2 * allowed_bytes) if read_bytes == allowed_bytes else allowed_bytes


def pause_s(cost_s: float) -> float:
    """Return the time until the next turn.

    :param cost_s: processor time that the last one cost
    """
    return 0.0 if cost_s <= SHORT_TURN_S else min(MAX_PAUSE_S, OTHERS_FACTOR * cost_s)


class ReadTurns:
    """Gives turns to the groups of connections that wait, and to the members of each in order.

    A group is what shares a cause, such as the connections to one server, so that many connections
    of one group do not delay the others by more than one turn each.

    :param call_later: calls a function after a time, in the next iteration of the event loop if
        that is 0
    :param now_s: returns the event loop's time
    :ivar buffer: memory that all connections read into; its content is valid until the next read
    """

    __slots__ = ("_call_later", "_cost_s", "_now_s", "_scheduled", "_waiting", "buffer")

    def __init__(
        self,
        call_later: Callable[[float, Callable[[], object]], object],
        now_s: Callable[[], float],
    ) -> None:
        self.buffer = memoryview(bytearray(READ_BYTES))
        self._call_later = call_later
        self._now_s = now_s
        self._waiting: dict[Hashable, deque[Callable[[], bool | None]]] = {}
        self._scheduled = False
        self._cost_s = 0.0

    def wait(self, group: Hashable, proceed: Callable[[], bool | None]) -> None:
        """Call a function when it is its turn, at the earliest in the next iteration.

        :param group: connections among which turns are given in order of arrival
        :param proceed: returns False if it has no use for the turn, which the next one then gets
        """
        self._waiting.setdefault(group, deque()).append(proceed)
        if not self._scheduled:
            self._scheduled = True
            self._call_later(0.0, self._give_turn)

    def note_cost(self, cost_s: float) -> None:
        """Count processor time that the work of a turn took once it was begun."""
        self._cost_s += cost_s

    def _give_turn(self) -> None:
        if not self._waiting:
            self._scheduled = False
            return
        self._cost_s = 0.0
        started_at_s = self._now_s()
        # What the turn sets off, a read and the work of a task, is done when the next iteration is.
        # Scheduled before, so that the turns go on if a function fails.
        self._call_later(0.0, lambda: self._call_later(0.0, self._end_turn))
        while self._waiting and self._next()() is False:
            continue
        self._cost_s += self._now_s() - started_at_s

    def _next(self) -> Callable[[], bool | None]:
        """Remove and return the function whose turn it is."""
        group, members = next(iter(self._waiting.items()))
        # The group goes to the end of the order.
        del self._waiting[group]
        proceed = members.popleft()
        if members:
            self._waiting[group] = members
        return proceed

    def _end_turn(self) -> None:
        self._call_later(pause_s(self._cost_s), self._give_turn)


_turns_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, ReadTurns] = WeakKeyDictionary()


def read_turns() -> ReadTurns:
    """Return the turns of the running event loop, which all its connections share."""
    loop = asyncio.get_running_loop()
    turns = _turns_by_loop.get(loop)
    if turns is None:
        turns = _turns_by_loop[loop] = ReadTurns(_call_later, lambda: _running_loop().time())
    return turns


# A reference from the turns to their loop would keep the entry alive.
_running_loop = asyncio.get_running_loop


def _call_later(delay_s: float, callback: Callable[[], object]) -> object:
    if delay_s <= 0.0:
        return _running_loop().call_soon(callback)
    return _running_loop().call_later(delay_s, callback)
