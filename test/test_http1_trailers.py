"""A trailer field that goes on without end, from a caller and from a server."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.http1.client import ClientConnection
from godwitpath.http1.limits import CallerLimits
from godwitpath.http1.listener import listen
from godwitpath.http1.messages import Request
from godwitpath.http1.responder import Responder
from godwitpath.http1.response_limits import MAX_HEAD_BYTES, BodyBudget, ResponseLimitExceeded
from godwitpath.http1.server_policy import ServerPolicy

BODY_BYTES = 200_000
PART = b"a" * 8_192


async def _ignore(request: Request, responder: Responder) -> None:
    responder.respond(200, [], b"")


async def _send_trailer(writer: asyncio.StreamWriter, max_bytes: int) -> int:
    """Send a trailer field without end; returns how many bytes of it were accepted."""
    sent_bytes = 0
    try:
        writer.write(b"%x\r\n%b\r\n0\r\nx: " % (BODY_BYTES, b"b" * BODY_BYTES))
        await writer.drain()
        while sent_bytes < max_bytes:
            writer.write(PART)
            await writer.drain()
            sent_bytes += len(PART)
            await asyncio.sleep(0.001)
    except ConnectionError:
        pass
    return sent_bytes


async def test_trailer_of_a_caller_is_not_longer_the_larger_its_body_was() -> None:
    limits = CallerLimits(max_header_bytes=16_384, max_body_bytes=1_000_000)
    server = await listen("127.0.0.1", 0, ServerPolicy(_ignore, limits=lambda: limits), set())
    async with server:
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
        sending = asyncio.create_task(_send_trailer(writer, 1_000_000))
        response = b""
        try:
            async with asyncio.timeout(5):
                response = await reader.read(64)
        except (TimeoutError, ConnectionError):
            pass
        sent_bytes = await sending
        writer.close()
    assert sent_bytes < 500_000, (sent_bytes, response)


async def test_trailer_of_a_response_is_not_longer_the_larger_its_body_was() -> None:
    sent: list[int] = []
    done = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        sent.append(await _send_trailer(writer, 1_200_000))
        writer.close()
        done.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(ClientConnection, "127.0.0.1", port)
        connection.send("GET", b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        await connection.head()
        with pytest.raises(ResponseLimitExceeded) as raised:
            await connection.read_whole(BodyBudget())
        connection.close()
        await done.wait()
    assert sent[0] < MAX_HEAD_BYTES + 500_000, str(raised.value)
