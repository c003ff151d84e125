"""HTTP/1.1 of the gateway: nothing half looks whole, nothing foreign gets through."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.http1.client import ClientConnection, connect
from godwitpath.http1.limits import CallerLimits
from godwitpath.http1.messages import (
    NotSent,
    Request,
    ResponseHead,
    ResponseLost,
    end_to_end,
    write_request,
)
from godwitpath.http1.pool import ConnectionPool, keep_alive_limit_s
from godwitpath.http1.server import Handler, Responder, ServerConnection, ServerPolicy, listen
from godwitpath_standin.gateway.caller import read_answer

LIMITS = CallerLimits(2048, 4096, 0.3, 0.6)


@asynccontextmanager
async def served(
    handler: Handler, limits: CallerLimits = LIMITS, keep: Callable[[], bool] = lambda: True
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Serve a handler and connect to it."""
    connections: set[ServerConnection] = set()
    policy = ServerPolicy(handler, lambda: limits, keep)
    server = await listen("127.0.0.1", 0, policy, connections)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    try:
        yield reader, writer
    finally:
        writer.close()
        server.close()


async def echo(request: Request, responder: Responder) -> None:
    """Answer with the body, or the path where there is none."""
    responder.respond(200, [], request.body or request.path.encode())


class TestServer:
    async def test_a_chunked_body_is_read_whole(self) -> None:
        async with served(echo) as (reader, writer):
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            assert (await read_answer(reader)).body == b"abcde"

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
    async def test_a_request_with_doubtful_framing_is_refused(self, head: bytes) -> None:
        seen = []

        async def note(request: Request, responder: Responder) -> None:
            seen.append(request)
            await echo(request, responder)

        async with served(note) as (reader, writer):
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\n" + head)
            writer.write(b"\r\nabcGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await read_answer(reader)).status == 400
            assert await reader.read() == b""
            assert not seen

    @pytest.mark.parametrize(
        ("head", "status"),
        [
            (b"X-Long: " + b"x" * 3000 + b"\r\n\r\n", 431),
            (b"X-Long: " + b"x" * 3000, 431),
            (b"Content-Length: 5000\r\n\r\n", 413),
            (b"Transfer-Encoding: chunked\r\n\r\n1388\r\n" + b"x" * 5000 + b"\r\n0\r\n\r\n", 413),
        ],
    )
    async def test_what_is_too_large_gets_a_clear_status(self, head: bytes, status: int) -> None:
        async with served(echo) as (reader, writer):
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\n" + head)
            assert (await read_answer(reader)).status == status

    async def test_a_body_as_large_as_the_head_limit_is_no_long_head(self) -> None:
        async with served(echo) as (reader, writer):
            for _ in range(3):
                writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n")
                writer.write(b"x" * 4000)
                assert (await read_answer(reader)).status == 200

    async def test_a_slow_head_times_out_and_an_idle_connection_ends(self) -> None:
        async with served(echo) as (reader, writer):
            writer.write(b"GET / HTTP/1.1\r\nHos")
            assert (await read_answer(reader)).status == 408
        async with served(echo) as (reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await read_answer(reader)).status == 200
            await asyncio.sleep(0.45)
            writer.write(b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await read_answer(reader)).body == b"/b"
            async with asyncio.timeout(2.0):
                assert await reader.read() == b""

    async def test_an_answer_that_breaks_off_never_looks_complete(self) -> None:
        async def break_off(request: Request, responder: Responder) -> None:
            responder.start(200, b"", [], 10 if request.path == "/sized" else None)
            responder.send(b"half")
            await asyncio.sleep(0.01)
            raise ResponseLost("the engine went")

        for path in (b"/sized", b"/open"):
            async with served(break_off) as (reader, writer):
                writer.write(b"GET " + path + b" HTTP/1.1\r\nHost: h\r\n\r\n")
                assert (await read_answer(reader)).complete is False

    async def test_a_body_without_a_length_that_breaks_off_ends_with_a_reset(self) -> None:
        async def break_off(request: Request, responder: Responder) -> None:
            responder.start(200, b"", [], None)
            responder.send(b"half")
            await asyncio.sleep(0.05)
            raise ResponseLost("the engine went")

        async with served(break_off) as (reader, writer):
            writer.write(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n")
            with pytest.raises(ConnectionResetError):
                await reader.read()

    async def test_a_caller_that_leaves_cancels_its_request(self) -> None:
        cancelled = asyncio.Event()

        async def wait(request: Request, responder: Responder) -> None:
            try:
                await asyncio.sleep(10)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        async with served(wait) as (_, writer):
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.close()
            async with asyncio.timeout(1.0):
                await cancelled.wait()

    async def test_head_and_http_1_0(self) -> None:
        async with served(echo) as (reader, writer):
            writer.write(b"HEAD /abc HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"content-length: 4" in head
            writer.write(b"GET /abc HTTP/1.0\r\nHost: h\r\n\r\n")
            assert b"/abc" in await reader.read()

    async def test_expect_continue_is_answered(self) -> None:
        async with served(echo) as (reader, writer):
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n")
            writer.write(b"Expect: 100-continue\r\n\r\n")
            assert b"100 Continue" in await reader.readuntil(b"\r\n\r\n")
            writer.write(b"abc")
            assert (await read_answer(reader)).body == b"abc"

    @given(st.binary(min_size=1, max_size=200))
    def test_any_bytes_are_refused_or_served_without_an_error(self, data: bytes) -> None:
        async def run() -> None:
            errors: list[dict[str, object]] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: errors.append(context))
            async with served(echo) as (reader, writer):
                writer.write(data + b"\r\n\r\n")
                await read_answer(reader)
            assert not errors

        asyncio.run(run())


def reset_on_close(transport: asyncio.WriteTransport) -> None:
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@asynccontextmanager
async def scripted(*pieces: bytes | None, reset: bool = False) -> AsyncIterator[ClientConnection]:
    """Connect to a server that answers the first bytes with pieces, None for its end."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for piece in pieces:
            if piece is None:
                if reset:
                    reset_on_close(writer.transport)
                    writer.transport.abort()
                else:
                    writer.close()
                return
            writer.write(piece)
            await asyncio.sleep(0.01)
        await asyncio.sleep(3600)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    connection = await connect(*server.sockets[0].getsockname(), 1.0)
    connection.send("GET", write_request("GET", b"/", [(b"Host", b"h")]), belongs)
    try:
        yield connection
    finally:
        connection.close()
        server.close()


def belongs(head: ResponseHead) -> bool:
    return head.header(b"x-id") in (b"", b"mine")


async def read_all(connection: ClientConnection) -> bytes:
    pieces = []
    while piece := await connection.read():
        pieces.append(piece)
    return b"".join(pieces)


class TestClient:
    async def test_a_whole_answer_leaves_the_connection_usable(self) -> None:
        async with scripted(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") as connection:
            assert (await connection.head()).status == 200
            assert await read_all(connection) == b"ok"
            assert connection.reusable

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
        ],
    )
    async def test_a_body_that_is_cut_is_lost(self, answer: bytes) -> None:
        async with scripted(answer, None) as connection:
            await connection.head()
            with pytest.raises(ResponseLost):
                await read_all(connection)

    async def test_a_body_without_a_length_ends_with_its_connection_but_not_with_a_reset(
        self,
    ) -> None:
        async with scripted(b"HTTP/1.1 200 OK\r\n\r\nall", None) as connection:
            await connection.head()
            assert await read_all(connection) == b"all"
            assert not connection.reusable
        async with scripted(b"HTTP/1.1 200 OK\r\n\r\nall", None, reset=True) as connection:
            await connection.head()
            with pytest.raises(ResponseLost):
                await read_all(connection)

    async def test_an_answer_to_another_request_is_passed_over(self) -> None:
        foreign = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
        own = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nright"
        for pieces in ((foreign, own), (foreign + own,), (foreign[:30], foreign[30:] + own)):
            async with scripted(*pieces) as connection:
                await connection.head()
                assert await read_all(connection) == b"right"
                assert not connection.reusable

    @pytest.mark.parametrize("extra", [b"x", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
    async def test_bytes_after_an_answer_end_the_connection(self, extra: bytes) -> None:
        own = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        for pieces in ((own, extra), (own + extra,)):
            async with scripted(*pieces) as connection:
                await connection.head()
                assert await read_all(connection) == b"ok"
                await asyncio.sleep(0.05)
                assert connection.closed or not connection.reusable

    async def test_an_interim_answer_is_not_the_answer(self) -> None:
        pieces = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
        async with scripted(pieces) as connection:
            assert (await connection.head()).status == 204
            assert await read_all(connection) == b""

    async def test_what_is_no_answer_is_lost(self) -> None:
        async with scripted(b"SSH-2.0-server\r\n") as connection:
            with pytest.raises(ResponseLost):
                await connection.head()

    async def test_nobody_listening_is_not_sent(self) -> None:
        with pytest.raises(NotSent):
            await connect("127.0.0.1", 1, 0.5)


class TestPool:
    async def test_a_connection_is_used_again_only_while_it_is_young_and_open(self) -> None:
        own = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(own)

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(max_idle_s=0.2)

        async def exchange() -> None:
            connection = await pool.take(host, port, 1.0)
            connection.send("GET", write_request("GET", b"/", [(b"Host", b"h")]))
            await connection.head()
            await read_all(connection)
            pool.give_back(host, port, connection)

        await exchange()
        await exchange()
        assert (pool.opened, pool.reused) == (1, 1)
        await asyncio.sleep(0.3)
        await exchange()
        assert pool.opened == 2
        pool.drop_server(host, port)
        await exchange()
        assert pool.opened == 3
        pool.close()
        server.close()

    def test_keep_alive_is_read_with_a_margin(self) -> None:
        assert keep_alive_limit_s(b"timeout=4, max=10") == 2.0
        assert keep_alive_limit_s(b"") == float("inf")
        assert keep_alive_limit_s(b"timeout=x") == float("inf")


def test_fields_of_one_connection_are_not_forwarded() -> None:
    fields = [(b"connection", b"x-own, close"), (b"x-own", b"1"), (b"te", b"t"), (b"x", b"2")]
    assert end_to_end(fields) == [(b"x", b"2")]
