"""Lets connections that receive much data read in turn, one in each iteration of the event loop.

Without turns, one iteration handles what every connection has received, and all other work waits
for it. The load is that of many connections whose peers send without end; the number of bytes
says little about it, since small pieces cost as much work as large ones.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Hashable
from weakref import WeakKeyDictionary

READ_BYTES = 16_384
"""Most bytes that a connection reads at once. A read that brings as many makes it wait its turn."""

READ_PIECES = 128
"""Number of parsed pieces in one read from which a connection waits its turn, however few bytes
these had."""


class ReadTurns:
    """Gives turns to the groups of connections that wait, and to the members of each in order.

    A group is what shares a cause, such as the connections to one server, so that many connections
    of one group do not delay the others by more than one turn each.

    :param call_soon: calls a function in the next iteration of the event loop
    :ivar buffer: memory that all connections read into; its content is valid until the next read
    """

    __slots__ = ("_call_soon", "_scheduled", "_waiting", "buffer")

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self.buffer = bytearray(READ_BYTES)
        self._call_soon = call_soon
        self._waiting: dict[Hashable, deque[Callable[[], None]]] = {}
        self._scheduled = False

    def wait(self, group: Hashable, proceed: Callable[[], None]) -> None:
        """Call a function when it is its turn, at the earliest in the next iteration.

        :param group: connections among which turns are given in order of arrival
        """
        self._waiting.setdefault(group, deque()).append(proceed)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            self._call_soon(self._give_turn)

    def _give_turn(self) -> None:
        self._scheduled = False
        group, members = next(iter(self._waiting.items()))
        # The group goes to the end of the order.
        del self._waiting[group]
        proceed = members.popleft()
        if members:
            self._waiting[group] = members
        self._schedule()
        proceed()


_turns_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, ReadTurns] = WeakKeyDictionary()


def read_turns() -> ReadTurns:
    """Return the turns of the running event loop, which all its connections share."""
    loop = asyncio.get_running_loop()
    turns = _turns_by_loop.get(loop)
    if turns is None:
        # A reference to the loop itself would keep the entry alive.
        turns = _turns_by_loop[loop] = ReadTurns(
            lambda callback: asyncio.get_running_loop().call_soon(callback)
        )
    return turns
