"""Timeouts that a pause of this process does not end too early."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

SOCKET_LOOK_S = 0.001
"""Time in which the event loop looks at its sockets at least once."""

TURNS_AFTER_TIME = 10
"""Turns of the event loop in which what arrived in time is handled. A turn may take longer than
:data:`SOCKET_LOOK_S` where other processes get the processor."""


@asynccontextmanager
async def socket_timeout(timeout_s: float) -> AsyncIterator[None]:
    """Limit the time of a block that waits for sockets, like :func:`asyncio.timeout`.

    What had arrived by the end of the time counts, if it is handled within
    :data:`TURNS_AFTER_TIME`. After a pause of this process, the event loop runs timers before the
    tasks that wait for its sockets.

    :raises TimeoutError: the block did not end in time
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        end = _End(loop, timeout, timeout_s)
        try:
            yield
        finally:
            end.cancel()


class _End:
    """Ends a block some turns of the event loop after its time."""

    __slots__ = ("_handle", "_loop", "_timeout", "_turns")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, timeout: asyncio.Timeout, timeout_s: float
    ) -> None:
        self._loop = loop
        self._timeout = timeout
        self._turns = 0
        self._handle: asyncio.Handle = loop.call_later(timeout_s, self._take_turn)

    def cancel(self) -> None:
        """Do not end the block."""
        self._handle.cancel()

    def _take_turn(self) -> None:
        self._turns += 1
        if self._turns <= TURNS_AFTER_TIME:
            self._handle = self._loop.call_soon(self._take_turn)
        else:
            self._timeout.reschedule(self._loop.time() + SOCKET_LOOK_S)
