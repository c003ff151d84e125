"""Reads bodies that may take as long as their size requires, but not longer.

The load is that of a peer or store that sends a little now and then without end: no pause is long.
What has arrived bounds the time since the start, whatever length was stated.
"""

from __future__ import annotations

import asyncio

from godwitpath.http1.client import ClientConnection
from godwitpath.http1.messages import ResponseLost
from godwitpath.http1.response_limits import ResponseLimitExceeded

MAX_TRANSFER_BYTES = 33_554_432
"""Maximum size of a transfer: the largest value that daemons exchange, in base64 and escaped."""

MIN_TRANSFER_BYTES_PER_S = 8_000
"""Slowest rate at which the body of a response is still awaited: a tenth of the share that fifteen
transfers have of a link of 10 Mbit/s."""


class TransferDeadline:
    """Time until which the next bytes of a transfer are awaited.

    :param now_s: time at which the transfer starts
    :param stall_timeout_s: longest time without progress, and until the first byte
    """

    __slots__ = ("_progress_at_s", "_received_bytes", "_stall_timeout_s", "_started_at_s")

    def __init__(self, now_s: float, stall_timeout_s: float) -> None:
        self._started_at_s = self._progress_at_s = now_s
        self._received_bytes = 0
        self._stall_timeout_s = stall_timeout_s

    def note_progress(self, now_s: float, received_bytes: int) -> None:
        """Note that bytes have arrived.

        :param received_bytes: number of all bytes since the start
        """
        self._progress_at_s = now_s
        self._received_bytes = received_bytes

    def at_s(self) -> float:
        """Return the time at which the transfer is given up without further bytes."""
        return min(self._progress_at_s + self._stall_timeout_s, self.slowest_at_s())

    def slowest_at_s(self) -> float:
        """Return the time from which the bytes have taken longer than the slowest rate allows."""
        allowed_s = self._received_bytes / MIN_TRANSFER_BYTES_PER_S
        return self._started_at_s + self._stall_timeout_s + allowed_s


async def read_transfer(
    connection: ClientConnection, stall_timeout_s: float, max_bytes: int = MAX_TRANSFER_BYTES
) -> bytes:
    """Return the rest of the body of a response whose head was read.

    :param stall_timeout_s: longest time without progress
    :param max_bytes: maximum size of the body
    :raises ResponseLimitExceeded: the body is larger
    :raises ResponseLost: the connection ended, the transfer stalled, or it was slower than
        :data:`MIN_TRANSFER_BYTES_PER_S`
    """
    loop = asyncio.get_running_loop()
    length_bytes = connection.length_bytes
    if length_bytes is not None and length_bytes > max_bytes:
        raise ResponseLimitExceeded("body bytes", length_bytes)
    deadline = TransferDeadline(loop.time(), stall_timeout_s)
    body = bytearray()
    while True:
        try:
            async with asyncio.timeout_at(deadline.at_s()):
                chunk = await connection.read()
        except TimeoutError as error:
            if await connection.look_for_data():
                deadline.note_progress(loop.time(), connection.received_bytes)
                if loop.time() < deadline.slowest_at_s():
                    continue
            of_length = "" if length_bytes is None else f" of {length_bytes}"
            raise ResponseLost(
                f"timed out after {connection.received_bytes}{of_length} bytes"
            ) from error
        if not chunk:
            return bytes(body)
        body += chunk
        if len(body) > max_bytes:
            raise ResponseLimitExceeded("body bytes", len(body))
        deadline.note_progress(loop.time(), connection.received_bytes)
