"""Tests of many requests on one connection, and of responses in any pieces."""

from __future__ import annotations

import asyncio
import re
import socket

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.http1.client import ClientConnection
from godwitpath.http1.listener import listen
from godwitpath.http1.messages import Request, ResponseLost
from godwitpath.http1.responder import Responder
from godwitpath.http1.response_limits import FREE_PIECES, MAX_FIELDS, BodyBudget
from godwitpath.http1.server import (
    MAX_PIPELINED_REQUESTS,
    PARSE_BYTES,
    ServerConnection,
    ServerPolicy,
)

PIPELINED = 10_000
REQUEST = b"GET /%05d HTTP/1.1\r\n\r\n"


async def test_pipelined_requests_are_answered_in_order_few_in_memory_and_others_between() -> None:
    """Guards against one caller whose requests fill the memory and delay everybody."""
    connections: set[ServerConnection] = set()
    order: list[bytes] = []
    largest = 0

    async def handle(request: Request, responder: Responder) -> None:
        nonlocal largest
        order.append(request.target)
        waiting = max(len(each._pending_requests) for each in connections)
        largest = max(largest, waiting)
        responder.respond(200, [], request.target)

    server = await listen("127.0.0.1", 0, ServerPolicy(handle), connections)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    sound_reader, sound_writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"".join(REQUEST % number for number in range(PIPELINED)))
    responses = asyncio.create_task(_read_bodies(reader, PIPELINED))
    while len(order) < 100:  # noqa: ASYNC110
        await asyncio.sleep(0)
    sound_writer.write(b"GET /sound HTTP/1.1\r\n\r\n")
    await sound_reader.readuntil(b"/sound")
    assert order.index(b"/sound") < PIPELINED // 2
    async with asyncio.timeout(60.0):
        assert await responses == [b"/%05d" % number for number in range(PIPELINED)]
    assert largest <= MAX_PIPELINED_REQUESTS + PARSE_BYTES // len(REQUEST % 0) + 1
    for each in (writer, sound_writer):
        each.close()
    server.close()


async def _read_bodies(reader: asyncio.StreamReader, count: int) -> list[bytes]:
    bodies = []
    for _ in range(count):
        head = await reader.readuntil(b"\r\n\r\n")
        [length] = re.findall(rb"content-length: (\d+)", head)
        bodies.append(await reader.readexactly(int(length)))
    return bodies


def _encode(fields: int, chunks: list[bytes]) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + b"A: b\r\n" * fields
    body = b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in chunks)
    return head + b"\r\n" + body + b"0\r\n\r\n"


async def _exchange(wire: list[bytes]) -> bytes:
    """Return the body that a client reads from a response sent in pieces."""
    here, there = socket.socketpair()
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(ClientConnection, sock=here)
    there.setblocking(False)
    connection.send("GET", b"GET / HTTP/1.1\r\n\r\n")

    async def write() -> None:
        for piece in wire:
            await loop.sock_sendall(there, piece)
            await asyncio.sleep(0)

    writing = asyncio.create_task(write())
    try:
        async with asyncio.timeout(10.0):
            await connection.head()
            return await connection.read_whole(BodyBudget())
    finally:
        writing.cancel()
        connection.close()
        await asyncio.gather(writing, return_exceptions=True)
        there.close()


@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 2 * MAX_FIELDS),
    st.lists(st.integers(1, 20_000), max_size=12),
    st.integers(0, 2 * FREE_PIECES),
    st.lists(st.integers(1, 9_000), min_size=1, max_size=20),
)
def test_a_response_in_any_pieces_is_delivered_exactly_or_lost(
    fields: int, sizes: list[int], small: int, cuts: list[int]
) -> None:
    """Guards against limits that a sound response meets, and bytes that waiting for turns loses."""
    chunks = [bytes([65 + number % 26]) * size for number, size in enumerate(sizes)]
    chunks += [b"y"] * small
    data, wire = _encode(fields, chunks), []
    while data:
        size = cuts[len(wire) % len(cuts)]
        wire.append(data[:size])
        data = data[size:]
    try:
        body = asyncio.run(_exchange(wire))
    except ResponseLost:
        assert fields + 1 > MAX_FIELDS or small > FREE_PIECES
        return
    assert body == b"".join(chunks)
    assert fields + 1 <= MAX_FIELDS
