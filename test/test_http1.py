"""Tests of the HTTP/1.1 client, server and connection pool.

They guard against incomplete messages that are taken for complete ones, and against responses that
reach the wrong request.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
import threading
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.http1.client import ClientConnection, connect
from godwitpath.http1.limits import CallerLimits
from godwitpath.http1.listener import listen
from godwitpath.http1.messages import (
    NotSent,
    Request,
    ResponseHead,
    ResponseLost,
    encode_request_head,
    end_to_end_headers,
)
from godwitpath.http1.pool import ConnectionPool, keep_alive_limit_s
from godwitpath.http1.responder import Responder
from godwitpath.http1.server import ServerConnection
from godwitpath.http1.server_policy import Handler, ServerPolicy
from godwitpath.http1.timeouts import SOCKET_LOOK_S
from godwitpath.http1.transfers import read_transfer
from godwitpath_standin.gateway.caller import read_response

LIMITS = CallerLimits(2048, 4096, 0.3, 0.6)


@asynccontextmanager
async def running_server(
    handler: Handler,
    limits: CallerLimits = LIMITS,
    keep_alive_allowed: Callable[[], bool] = lambda: True,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Run a server with a handler and open a connection to it."""
    connections: set[ServerConnection] = set()
    policy = ServerPolicy(handler, lambda: limits, keep_alive_allowed)
    server = await listen("127.0.0.1", 0, policy, connections)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    try:
        yield reader, writer
    finally:
        writer.close()
        server.close()


async def echo(request: Request, responder: Responder) -> None:
    """Respond with the body of the request, or with its path if the body is empty."""
    responder.respond(200, [], request.body or request.path.encode())


class TestServer:
    async def test_server_reads_complete_chunked_body(self) -> None:
        async with running_server(echo) as (reader, writer):
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            assert (await read_response(reader)).body == b"abcde"

    @pytest.mark.parametrize(
        "head",
        [
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n",
            b"Content-Length: -3\r\n",
            b"Content-Length : 3\r\n",
            b"Transfer-Encoding: chunked, identity\r\n",
        ],
    )
    async def test_server_rejects_ambiguous_framing(self, head: bytes) -> None:
        """Guards against request smuggling: bytes after a badly framed head become a request."""
        handled = []

        async def record_request(request: Request, responder: Responder) -> None:
            handled.append(request)
            await echo(request, responder)

        async with running_server(record_request) as (reader, writer):
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\n" + head)
            writer.write(b"\r\nabcGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await read_response(reader)).status == 400
            assert await reader.read() == b""
            assert not handled

    @pytest.mark.parametrize(
        ("head", "status"),
        [
            (b"X-Long: " + b"x" * 3000 + b"\r\n\r\n", 431),
            (b"X-Long: " + b"x" * 3000, 431),
            (b"Content-Length: 5000\r\n\r\n", 413),
            (b"Transfer-Encoding: chunked\r\n\r\n1388\r\n" + b"x" * 5000 + b"\r\n0\r\n\r\n", 413),
        ],
    )
    async def test_server_rejects_oversized_request(self, head: bytes, status: int) -> None:
        async with running_server(echo) as (reader, writer):
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\n" + head)
            assert (await read_response(reader)).status == status

    @pytest.mark.parametrize("start", [b"5;x=", b"5\r\nhello\r\n0\r\nX-Long: "])
    async def test_server_rejects_endless_chunk_extensions_and_trailers(self, start: bytes) -> None:
        async with running_server(echo) as (reader, writer):
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(start + b"x" * 300_000)
            async with asyncio.timeout(2.0):
                assert (await read_response(reader)).status == 431

    async def test_body_bytes_do_not_count_towards_head_limit(self) -> None:
        """Guards against a 431 for a large body because its bytes are counted as head bytes."""
        async with running_server(echo) as (reader, writer):
            for _ in range(3):
                writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n")
                writer.write(b"x" * 4000)
                assert (await read_response(reader)).status == 200

    async def test_server_closes_slow_and_idle_connections(self) -> None:
        async with running_server(echo) as (reader, writer):
            writer.write(b"GET / HTTP/1.1\r\nHos")
            assert (await read_response(reader)).status == 408
        async with running_server(echo) as (reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await read_response(reader)).status == 200
            await asyncio.sleep(0.45)
            writer.write(b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await read_response(reader)).body == b"/b"
            async with asyncio.timeout(2.0):
                assert await reader.read() == b""

    async def test_aborted_response_is_incomplete(self) -> None:
        """Guards against an aborted response that looks complete to the caller."""

        async def send_half_and_fail(request: Request, responder: Responder) -> None:
            responder.start(200, b"", [], 10 if request.path == "/sized" else None)
            responder.send(b"half")
            await asyncio.sleep(0.01)
            raise ResponseLost("the engine went")

        for path in (b"/sized", b"/open"):
            async with running_server(send_half_and_fail) as (reader, writer):
                writer.write(b"GET " + path + b" HTTP/1.1\r\nHost: h\r\n\r\n")
                assert (await read_response(reader)).complete is False

    async def test_aborted_response_without_length_sends_reset(self) -> None:
        """Guards against an orderly close, which makes a truncated body look complete."""

        async def send_half_and_fail(request: Request, responder: Responder) -> None:
            responder.start(200, b"", [], None)
            responder.send(b"half")
            await asyncio.sleep(0.05)
            raise ResponseLost("the engine went")

        async with running_server(send_half_and_fail) as (reader, writer):
            writer.write(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n")
            with pytest.raises(ConnectionResetError):
                await reader.read()

    async def test_caller_disconnect_cancels_handler(self) -> None:
        cancelled = asyncio.Event()

        async def wait_until_cancelled(request: Request, responder: Responder) -> None:
            try:
                await asyncio.sleep(10)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        async with running_server(wait_until_cancelled) as (_, writer):
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.close()
            async with asyncio.timeout(1.0):
                await cancelled.wait()

    async def test_head_method_and_http_1_0(self) -> None:
        async with running_server(echo) as (reader, writer):
            writer.write(b"HEAD /abc HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"content-length: 4" in head
            writer.write(b"GET /abc HTTP/1.0\r\nHost: h\r\n\r\n")
            assert b"/abc" in await reader.read()

    async def test_server_sends_100_continue(self) -> None:
        async with running_server(echo) as (reader, writer):
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n")
            writer.write(b"Expect: 100-continue\r\n\r\n")
            assert b"100 Continue" in await reader.readuntil(b"\r\n\r\n")
            writer.write(b"abc")
            assert (await read_response(reader)).body == b"abc"

    @given(st.binary(min_size=1, max_size=200))
    def test_arbitrary_bytes_cause_no_unhandled_error(self, data: bytes) -> None:
        async def run() -> None:
            errors: list[dict[str, object]] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: errors.append(context))
            async with running_server(echo) as (reader, writer):
                writer.write(data + b"\r\n\r\n")
                await read_response(reader)
            assert not errors

        asyncio.run(run())


def reset_on_close(transport: asyncio.WriteTransport) -> None:
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@asynccontextmanager
async def scripted_server(
    *chunks: bytes | None, reset: bool = False
) -> AsyncIterator[ClientConnection]:
    """Connect to a server that sends chunks after the first request head.

    :param chunks: bytes to send; None closes the connection
    :param reset: whether closing sends a reset
    """

    async def serve_script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for chunk in chunks:
            if chunk is None:
                if reset:
                    reset_on_close(writer.transport)
                    writer.transport.abort()
                else:
                    writer.close()
                return
            writer.write(chunk)
            await asyncio.sleep(0.01)
        await asyncio.sleep(3600)

    server = await asyncio.start_server(serve_script, "127.0.0.1", 0)
    connection = await connect(*server.sockets[0].getsockname(), 1.0)
    connection.send("GET", encode_request_head("GET", b"/", [(b"Host", b"h")]), is_own_response)
    try:
        yield connection
    finally:
        connection.close()
        server.close()


def is_own_response(head: ResponseHead) -> bool:
    return head.header(b"x-id") in (b"", b"mine")


async def read_body(connection: ClientConnection) -> bytes:
    chunks = []
    while chunk := await connection.read():
        chunks.append(chunk)
    return b"".join(chunks)


class MemoryTransport(asyncio.Transport):
    """A transport without a socket: what is written is dropped."""

    def __init__(self) -> None:
        super().__init__()
        self._closing = False

    def write(self, data: object) -> None:
        """Drop the data."""

    def is_closing(self) -> bool:
        return self._closing

    def abort(self) -> None:
        self._closing = True


async def transfer(parts: list[bytes], gap_s: float, stall_timeout_s: float) -> bytes:
    """Read a transfer of 10,000 bytes of which parts arrive, one after each gap."""
    loop = asyncio.get_running_loop()
    connection = ClientConnection()
    connection.connection_made(MemoryTransport())
    connection.send("GET", b"")
    connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n")
    for number, part in enumerate(parts, start=1):
        loop.call_later(number * gap_s, connection.data_received, part)
    return await read_transfer(connection, stall_timeout_s)


@contextmanager
def threaded_server(part: bytes, count: int, gap_s: float) -> Iterator[tuple[str, int]]:
    """Run a server in a thread that sends a body in parts, one after each gap."""

    def serve() -> None:
        client, _ = server.accept()
        with client:
            client.recv(65_536)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(part) * count}\r\n\r\n"
            client.sendall(head.encode())
            for _ in range(count):
                client.sendall(part)
                time.sleep(gap_s)

    with socket.create_server(("127.0.0.1", 0)) as server:
        thread = threading.Thread(target=serve)
        thread.start()
        yield server.getsockname()[:2]
        thread.join()


class TestClient:
    async def test_complete_response_leaves_connection_reusable(self) -> None:
        async with scripted_server(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") as connection:
            assert (await connection.head()).status == 200
            assert await read_body(connection) == b"ok"
            assert connection.reusable

    @pytest.mark.parametrize(
        "response",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
        ],
    )
    async def test_truncated_body_raises_response_lost(self, response: bytes) -> None:
        async with scripted_server(response, None) as connection:
            await connection.head()
            with pytest.raises(ResponseLost):
                await read_body(connection)

    async def test_body_without_length_ends_on_close_but_not_on_reset(
        self,
    ) -> None:
        """Guards against a reset that is taken for the end of a body without a length."""
        async with scripted_server(b"HTTP/1.1 200 OK\r\n\r\nall", None) as connection:
            await connection.head()
            assert await read_body(connection) == b"all"
            assert not connection.reusable
        async with scripted_server(b"HTTP/1.1 200 OK\r\n\r\nall", None, reset=True) as connection:
            await connection.head()
            with pytest.raises(ResponseLost):
                await read_body(connection)

    async def test_response_to_other_request_is_skipped(self) -> None:
        """Guards against a late response on a reused connection that reaches the next request."""
        other_response = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
        own_response = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nright"
        for chunks in (
            (other_response, own_response),
            (other_response + own_response,),
            (other_response[:30], other_response[30:] + own_response),
        ):
            async with scripted_server(*chunks) as connection:
                await connection.head()
                assert await read_body(connection) == b"right"
                assert not connection.reusable

    @pytest.mark.parametrize("extra", [b"x", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
    async def test_bytes_after_response_prevent_reuse(self, extra: bytes) -> None:
        own_response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        for chunks in ((own_response, extra), (own_response + extra,)):
            async with scripted_server(*chunks) as connection:
                await connection.head()
                assert await read_body(connection) == b"ok"
                await asyncio.sleep(0.05)
                assert connection.closed or not connection.reusable

    @pytest.mark.looptime
    async def test_a_transfer_ends_only_without_progress(self) -> None:
        loop = asyncio.get_running_loop()
        part = bytes(500)
        assert await transfer([part] * 20, gap_s=0.06, stall_timeout_s=0.07) == part * 20
        started_at_s = loop.time()
        with pytest.raises(ResponseLost, match="after 9500 of 10000 bytes"):
            await transfer([part] * 19, gap_s=0.01, stall_timeout_s=0.1)
        assert loop.time() - started_at_s == pytest.approx(19 * 0.01 + 0.1 + SOCKET_LOOK_S)

    async def test_a_stall_of_the_own_process_does_not_end_a_transfer(self) -> None:
        with threaded_server(bytes(500), count=20, gap_s=0.02) as address:
            connection = await connect(*address, 1.0)
            connection.send("GET", encode_request_head("GET", b"/", [(b"Host", b"h")]))
            await connection.head()
            asyncio.get_running_loop().call_later(0.1, time.sleep, 0.2)
            assert len(await read_transfer(connection, stall_timeout_s=0.1)) == 10_000
            connection.close()

    async def test_a_transfer_below_the_slowest_rate_ends(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n"
        async with scripted_server(head, *[b"x"] * 400) as connection:
            await connection.head()
            with pytest.raises(ResponseLost, match="of 400 bytes"):
                await read_transfer(connection, stall_timeout_s=0.05)

    async def test_interim_response_is_skipped(self) -> None:
        responses = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
        async with scripted_server(responses) as connection:
            assert (await connection.head()).status == 204
            assert await read_body(connection) == b""

    async def test_invalid_response_raises_response_lost(self) -> None:
        async with scripted_server(b"SSH-2.0-server\r\n") as connection:
            with pytest.raises(ResponseLost):
                await connection.head()

    async def test_refused_connection_raises_not_sent(self) -> None:
        with pytest.raises(NotSent):
            await connect("127.0.0.1", 1, 0.5)

    async def test_a_pause_of_the_own_process_does_not_end_a_connect(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            asyncio.get_running_loop().call_soon(time.sleep, 0.2)
            connection = await connect(*server.getsockname(), 0.1)
            connection.close()

    async def test_a_connect_without_a_response_in_time_raises_not_sent(self) -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as server, ExitStack() as stack:
            # Fills the queue of connections that the server has not accepted.
            for _ in range(4):
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(server.getsockname())
            with pytest.raises(NotSent, match="TimeoutError"):
                await connect(*server.getsockname(), 0.1)


STRAY_RESPONSES = {
    "plain": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
    "stream": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\n\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
    "end of the connection": b"",
}


@dataclass
class StrayServer:
    """A server in a thread that sends a response before it has received its request.

    :ivar due: set to have the response sent
    :ivar received: bytes received after it
    """

    address: tuple[str, int]
    due: threading.Event
    received: list[bytes]


@contextmanager
def stray_server(stray: bytes, answered: int) -> Iterator[StrayServer]:
    """Run a server for one connection.

    :param stray: the response, empty to end the connection
    :param answered: number of requests that it answers before
    """

    def serve() -> None:
        client, _ = listener.accept()
        with client:
            client.settimeout(5.0)
            for _ in range(answered):
                client.recv(65_536)
                client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            server.due.wait(5.0)
            if stray:
                client.sendall(stray)
            else:
                client.shutdown(socket.SHUT_WR)
            with suppress(ConnectionResetError):
                server.received.append(client.recv(65_536))

    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = StrayServer(listener.getsockname()[:2], threading.Event(), [])
        thread = threading.Thread(target=serve)
        thread.start()
        yield server
        thread.join()


def wait_for_unread_bytes(connection: ClientConnection) -> None:
    """Block this process, and its event loop, until something is left to read."""
    assert connection._transport is not None
    fd = connection._transport.get_extra_info("socket").fileno()
    assert select.select([fd], [], [], 5.0)[0]


@pytest.mark.parametrize("kind", STRAY_RESPONSES)
class TestResponseBeforeItsRequest:
    async def test_it_is_not_taken_on_a_new_connection(self, kind: str) -> None:
        with stray_server(STRAY_RESPONSES[kind], answered=0) as server:
            connection = await connect(*server.address, 1.0)
            server.due.set()
            wait_for_unread_bytes(connection)
            try:
                with pytest.raises(NotSent):
                    connection.send("GET", encode_request_head("GET", b"/", [(b"Host", b"h")]))
                assert connection.closed
            finally:
                connection.close()
                await asyncio.sleep(0)
        assert server.received in ([], [b""])

    async def test_a_kept_connection_with_one_is_not_used_again(self, kind: str) -> None:
        pool = ConnectionPool()
        with stray_server(STRAY_RESPONSES[kind], answered=1) as server:
            kept = await pool.acquire(*server.address, 1.0)
            kept.send("GET", encode_request_head("GET", b"/", [(b"Host", b"h")]))
            await kept.head()
            assert await read_body(kept) == b"ok"
            pool.release(*server.address, kept)
            server.due.set()
            wait_for_unread_bytes(kept)
            try:
                other = await pool.acquire(*server.address, 1.0)
                other.close()
                assert kept.closed
                assert (pool.opened, pool.reused) == (2, 0)
            finally:
                kept.close()
                await asyncio.sleep(0)
        assert server.received in ([], [b""])


class TestPool:
    async def test_pool_reuses_only_recent_connections(self) -> None:
        empty_response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

        async def serve_empty(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(empty_response)

        server = await asyncio.start_server(serve_empty, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(max_idle_s=0.2)

        async def exchange() -> None:
            connection = await pool.acquire(host, port, 1.0)
            connection.send("GET", encode_request_head("GET", b"/", [(b"Host", b"h")]))
            await connection.head()
            await read_body(connection)
            pool.release(host, port, connection)

        await exchange()
        await exchange()
        assert (pool.opened, pool.reused) == (1, 1)
        await asyncio.sleep(0.3)
        await exchange()
        assert pool.opened == 2
        pool.close_server_connections(host, port)
        await exchange()
        assert pool.opened == 3
        pool.close()
        server.close()

    def test_keep_alive_timeout_is_halved(self) -> None:
        assert keep_alive_limit_s(b"timeout=4, max=10") == 2.0
        assert keep_alive_limit_s(b"") == float("inf")
        assert keep_alive_limit_s(b"timeout=x") == float("inf")


def test_hop_by_hop_fields_are_not_forwarded() -> None:
    fields = [(b"connection", b"x-own, close"), (b"x-own", b"1"), (b"te", b"t"), (b"x", b"2")]
    assert end_to_end_headers(fields) == [(b"x", b"2")]
