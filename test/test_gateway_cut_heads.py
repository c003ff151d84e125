"""Tests of engines that end in the middle of a response's head: no caller gets a whole response."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from godwitpath_standin.gateway.caller import ClientResponse, ask
from test.raw_engine import EVENT_STREAM, STAMP, attempt_id, event, field, id_line, raw_engines
from test.raw_server import Exchange

FRAMINGS = {
    "length": b"Content-Length: 40\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "connection": b"Connection: close\r\n",
}
"""Header lines that state the end of the body."""

ENDS = ["orderly", "reset"]

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n"

RESET = struct.pack("ii", 1, 0)

PARALLEL = 16
"""Number of requests that are sent at the same time."""


@dataclass(slots=True)
class CutEngine:
    """An engine that writes a part of each head and closes the connection.

    :ivar end: `orderly` or `reset`
    :ivar before: bytes before the head
    :ivar cuts: number of heads that were cut
    """

    framing: str
    end: str
    before: bytes = b""
    cuts: int = 0

    def head(self, request_id: bytes) -> bytes:
        """Return the whole head of a response."""
        lines = id_line(request_id) + STAMP + EVENT_STREAM + FRAMINGS[self.framing]
        return b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n"

    async def respond(self, exchange: Exchange) -> None:
        """Write the first bytes of the head; the request's id ends with their number."""
        request_id = attempt_id(exchange)
        size_bytes = int(request_id.rpartition(b"-")[2])
        self.cuts += 1
        exchange.writer.write(self.before + self.head(request_id)[:size_bytes])
        await exchange.writer.drain()
        # The bytes are sent before the reset, which would discard them.
        await asyncio.sleep(0.01)
        if self.end == "reset":
            connection: socket.socket = exchange.writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            exchange.writer.transport.abort()
        else:
            exchange.writer.close()

    async def respond_to_second(self, exchange: Exchange) -> None:
        """Respond completely to the first request of a connection, and cut the next."""
        if exchange.number % 2:
            lines = id_line(attempt_id(exchange)) + STAMP
            exchange.respond(b"whole", extra=lines)
        else:
            await self.respond(exchange)

    async def respond_to_resumption(self, exchange: Exchange) -> None:
        """Break a stream after two events, and cut the head of its resumption."""
        if field(exchange, b"last-event-id"):
            await self.respond(exchange)
            return
        lines = id_line(attempt_id(exchange)) + STAMP + EVENT_STREAM
        head = b"HTTP/1.1 200 OK\r\n" + lines + b"Content-Length: 4000\r\n\r\n"
        exchange.writer.write(head + event(1) + event(2))
        await exchange.writer.drain()
        exchange.writer.close()


async def ask_at_each_byte(
    engine: CutEngine, ask_once: Callable[[str], asyncio.Future[ClientResponse]], parallel: int
) -> dict[int, ClientResponse]:
    """Send a request for each length of a cut head, and return the responses."""
    responses = {}
    free = asyncio.Semaphore(parallel)

    async def cut_after(size_bytes: int) -> None:
        async with free:
            responses[size_bytes] = await ask_once(f"r-{size_bytes}")

    whole_bytes = len(engine.head(b"r-100"))
    async with asyncio.TaskGroup() as group:
        for size_bytes in range(whole_bytes - 1):
            group.create_task(cut_after(size_bytes))
    return responses


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", sorted(FRAMINGS))
@pytest.mark.parametrize(
    ("service", "method", "target"),
    [("desk", "GET", "/read/x"), ("desk", "POST", "/book/x"), ("lm", "POST", "/stream/x")],
)
@pytest.mark.parametrize("before", [b"", INTERIM], ids=["", "interim"])
async def test_a_head_that_is_cut_at_any_byte_is_no_whole_response(
    service: str, method: str, target: str, framing: str, end: str, before: bytes
) -> None:
    engine = CutEngine(framing, end, before)
    async with raw_engines(service, [engine.respond]) as (environment, _):

        def ask_once(request_id: str) -> asyncio.Future[ClientResponse]:
            return asyncio.ensure_future(
                ask(environment.port, target, method=method, request_id=request_id)
            )

        responses = await ask_at_each_byte(engine, ask_once, PARALLEL)
        assert engine.cuts == len(responses)
        assert {response.status for response in responses.values()} == {502}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", sorted(FRAMINGS))
async def test_a_head_that_is_cut_on_a_kept_connection_is_no_whole_response(
    framing: str, end: str
) -> None:
    engine = CutEngine(framing, end)
    async with raw_engines("desk", [engine.respond_to_second]) as (environment, [server]):

        async def ask_twice(request_id: str) -> ClientResponse:
            first = await ask(environment.port, "/read/x", request_id=f"first-{request_id}")
            assert (first.status, first.body) == (200, b"whole")
            return await ask(environment.port, "/read/x", request_id=request_id)

        responses = await ask_at_each_byte(
            engine, lambda each: asyncio.ensure_future(ask_twice(each)), 1
        )
        assert engine.cuts == len(responses)
        for first, second in zip(server.requests[::2], server.requests[1::2], strict=True):
            assert first.connection == second.connection
        assert {response.status for response in responses.values()} == {502}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", sorted(FRAMINGS))
async def test_a_resumed_stream_whose_head_is_cut_does_not_look_whole(
    framing: str, end: str
) -> None:
    engine = CutEngine(framing, end)
    handlers = [engine.respond_to_resumption] * 2
    bounds = {"retrySlack": 5000}
    async with raw_engines("lm", handlers, bounds=bounds) as (environment, _):

        def ask_once(request_id: str) -> asyncio.Future[ClientResponse]:
            return asyncio.ensure_future(
                ask(environment.port, "/stream/digest/x", method="POST", request_id=request_id)
            )

        responses = await ask_at_each_byte(engine, ask_once, PARALLEL)
        assert engine.cuts == len(responses)
        assert all(response.body == event(1) + event(2) for response in responses.values())
        assert not any(response.complete for response in responses.values())
