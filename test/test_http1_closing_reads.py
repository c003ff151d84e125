"""Reading from callers whose connection closes once the active request was responded to."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.http1.listener import listen
from godwitpath.http1.messages import Request
from godwitpath.http1.responder import Responder
from godwitpath.http1.server import ServerConnection
from godwitpath.http1.server_policy import ServerPolicy
from godwitpath.http1.turns import READ_BYTES

UPGRADE = b"POST / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: h2c\r\n"


@pytest.mark.parametrize(
    ("requests", "rest"),
    [
        (b"GET / HTTP/1.1\r\nhost: a\r\n\r\n", b"\0" * 200_000),
        (UPGRADE + b"content-length: 5\r\n\r\nhello", b"\0" * 200_000),
    ],
)
async def test_a_caller_that_disconnects_after_bytes_that_are_dropped_ends_its_request(
    requests: bytes, rest: bytes
) -> None:
    started, cancelled = asyncio.Event(), asyncio.Event()

    async def wait(request: Request, responder: Responder) -> None:
        started.set()
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    server = await listen("127.0.0.1", 0, ServerPolicy(wait), set())
    async with server:
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(requests)
        await started.wait()
        writer.write(rest)
        await asyncio.sleep(0.2)
        writer.transport.abort()
        async with asyncio.timeout(2):
            await cancelled.wait()


class _Transport(asyncio.Transport):
    """A transport without a socket.

    :ivar paused: whether reading is paused
    """

    def __init__(self) -> None:
        super().__init__()
        self.paused = False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False


async def test_connections_that_ended_take_no_turns() -> None:
    policy = ServerPolicy(lambda request, responder: asyncio.sleep(0))
    connections: set[ServerConnection] = set()
    head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n"

    def receive() -> tuple[ServerConnection, _Transport]:
        connection, transport = ServerConnection(policy, connections), _Transport()
        connection.connection_made(transport)
        connection.data_received(head.ljust(READ_BYTES, b"b"))
        return connection, transport

    for _ in range(200):
        receive()[0].connection_lost(None)
    connection, transport = receive()
    assert transport.paused
    for _ in range(20):
        await asyncio.sleep(0)
    paused = transport.paused
    connection.connection_lost(None)
    assert not paused
