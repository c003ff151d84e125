"""Fencing tokens of the calls to the cloud API, however their bytes arrive."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.gateway.cloud import CloudUncertain, FencingToken
from godwitpath.http1.messages import Request
from godwitpath.http1.server import Responder, ServerConnection, ServerPolicy
from godwitpath.platform.cloud import PlatformCloud
from godwitpath.ports.engine import Address

TOKEN = FencingToken("edge-0", 7 << 40 | 12)


async def sent_bytes(*, order: bool) -> bytes:
    """Return the bytes of a call as the client of the cloud API sends them."""
    received = bytearray()

    async def read_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while b"}" not in received or received.count(b"{") != received.count(b"}"):
            received.extend(await reader.read(4096))
        writer.close()

    server = await asyncio.start_server(read_all, "127.0.0.1", 0)
    cloud = PlatformCloud(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
    with pytest.raises(CloudUncertain):
        await (
            cloud.order_engines(TOKEN, "lm", "a", 3, reclaimable=True)
            if order
            else cloud.report_usage(TOKEN, 200, {"hule": 3})
        )
    cloud.close()
    server.close()
    return bytes(received)


class Connected(asyncio.Transport):
    """A transport whose peer reads nothing."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        return

    def write(self, data: bytes | bytearray | memoryview) -> None:
        return

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        return


async def handled_requests(*pieces: bytes) -> list[Request]:
    """Return the requests that a server handles when a connection delivers these pieces."""
    requests: list[Request] = []

    async def handle(request: Request, responder: Responder) -> None:
        requests.append(request)
        responder.respond(200, [], b"")

    connection = ServerConnection(ServerPolicy(handle), set())
    connection.connection_made(Connected())
    for piece in pieces:
        connection.data_received(piece)
    for _ in range(10):
        await asyncio.sleep(0)
    connection.connection_lost(None)
    return requests


@pytest.mark.parametrize("order", [False, True])
class TestFencingToken:
    async def test_a_call_cut_anywhere_is_not_handled(self, order: bool) -> None:
        call = await sent_bytes(order=order)
        for length in range(len(call)):
            assert await handled_requests(call[:length]) == []

    async def test_a_call_in_two_pieces_bears_its_token(self, order: bool) -> None:
        call = await sent_bytes(order=order)
        for length in range(1, len(call)):
            [request] = await handled_requests(call[:length], call[length:])
            assert request.header(b"x-fencing-token") == b"%d" % TOKEN.number

    async def test_calls_on_one_connection_in_single_bytes_bear_their_tokens(
        self, order: bool
    ) -> None:
        calls = 3 * await sent_bytes(order=order)
        requests = await handled_requests(*(bytes([byte]) for byte in calls))
        tokens = [request.header(b"x-fencing-token") for request in requests]
        assert tokens == 3 * [b"%d" % TOKEN.number]
