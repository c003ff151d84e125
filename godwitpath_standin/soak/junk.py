"""Callers without a key that send junk to a daemon."""

from __future__ import annotations

import asyncio
from enum import StrEnum

CHANNELS = 20
"""Number of connections on which junk is sent at the same time."""

RECONNECT_S = 0.2
"""Pause before a connection that the daemon closed is replaced."""


class JunkKind(StrEnum):
    """What is sent again and again."""

    PIPELINED = "pipelined"
    """Requests, without waiting for the responses."""
    BYTES = "bytes"
    """Chunks of one byte of the body of a request."""


START = {
    JunkKind.PIPELINED: b"",
    JunkKind.BYTES: (
        b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    ),
}

REPEATED = {
    JunkKind.PIPELINED: b"GET /read/x HTTP/1.1\r\nHost: shop.example\r\n\r\n" * 1_500,
    JunkKind.BYTES: b"1\r\nx\r\n" * 10_000,
}


async def send_junk(port: int, kind: JunkKind, for_s: float) -> int:
    """Send junk to a daemon on `CHANNELS` connections for a while.

    :returns: number of connections that were opened
    """
    opened = [0] * CHANNELS

    async def send(channel: int) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                opened[channel] += 1
                await _send_until_closed(reader, writer, kind)
            except OSError:
                # The daemon has closed the connection, or is being restarted.
                pass
            await asyncio.sleep(RECONNECT_S)

    tasks = [asyncio.create_task(send(channel)) for channel in range(CHANNELS)]
    try:
        await asyncio.wait(tasks, timeout=for_s)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return sum(opened)


async def _send_until_closed(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, kind: JunkKind
) -> None:
    reading = asyncio.create_task(_read_all(reader))
    try:
        writer.write(START[kind])
        while not reading.done():
            writer.write(REPEATED[kind])
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        reading.cancel()
        writer.transport.abort()


async def _read_all(reader: asyncio.StreamReader) -> None:
    try:
        while await reader.read(65_536):
            pass
    except OSError:
        # A reset ends the connection like a close.
        return
