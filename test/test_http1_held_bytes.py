"""Tests of the bytes that a server holds for all its connections."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.http1.held_bytes import MAX_HELD_BYTES, HeldBytes
from godwitpath.http1.limits import CallerLimits
from godwitpath.http1.listener import listen
from godwitpath.http1.messages import Request
from godwitpath.http1.responder import Responder
from godwitpath.http1.response_limits import UNSHARED_BODY_BYTES
from godwitpath.http1.server import ServerConnection
from godwitpath.http1.server_policy import ServerPolicy

BODY_BYTES = 8_388_608


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 20_000_000)), max_size=60))
def test_the_sum_stays_bounded_and_who_holds_longest_is_ended(
    sizes: list[tuple[int, int]],
) -> None:
    held = HeldBytes()
    order: list[int] = []
    for owner, size_bytes in sizes:
        ended: list[int] = []
        held.hold(owner, size_bytes, lambda _, ended=ended: ended.append(1))
        if size_bytes > UNSHARED_BODY_BYTES and owner not in order:
            order.append(owner)
        elif size_bytes <= UNSHARED_BODY_BYTES and owner in order:
            order.remove(owner)
        assert held.total_bytes <= MAX_HELD_BYTES
        assert len(ended) <= len(order)
        del order[: len(ended)]


def test_what_may_not_be_ended_counts_and_is_kept() -> None:
    held = HeldBytes()
    ended: list[str] = []
    held.hold("handled", MAX_HELD_BYTES)
    held.hold("receiving", 1_000_000, lambda _: ended.append("receiving"))
    assert ended == ["receiving"]
    held.release("handled")
    assert held.total_bytes == 0


async def test_callers_that_never_read_hold_a_bounded_sum_and_are_ended() -> None:
    """Guards against large responses that lie unread until the process is out of memory."""

    async def respond(request: Request, responder: Responder) -> None:
        responder.respond(200, [], b"x" * BODY_BYTES)

    connections: set[ServerConnection] = set()
    limits = CallerLimits(idle_timeout_s=1.0)
    policy = ServerPolicy(respond, lambda: limits)
    server = await listen("127.0.0.1", 0, policy, connections)
    writers = []
    async with server:
        port = server.sockets[0].getsockname()[1]
        for _ in range(20):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1_024)
            writer.transport.pause_reading()
            writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            writers.append((reader, writer))
            await asyncio.sleep(0.02)
            assert policy.unsent.total_bytes <= MAX_HELD_BYTES
        assert len(connections) <= MAX_HELD_BYTES // (BODY_BYTES // 2)
        async with asyncio.timeout(5.0):
            while connections:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        assert policy.unsent.total_bytes == 0
        for _, writer in writers:
            writer.transport.abort()


@pytest.mark.parametrize("pipelined", [False, True])
async def test_callers_that_do_not_finish_their_bodies_hold_a_bounded_sum(pipelined: bool) -> None:
    handled = asyncio.Event()

    async def respond(request: Request, responder: Responder) -> None:
        await handled.wait()
        responder.respond(200, [], b"")

    policy = ServerPolicy(respond)
    server = await listen("127.0.0.1", 0, policy, set())
    head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
    complete = head + b"x" * BODY_BYTES
    start = complete * 3 if pipelined else complete[:-1]
    writers = []
    async with server:
        port = server.sockets[0].getsockname()[1]
        for _ in range(2 if pipelined else 20):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(start)
            writers.append((reader, writer))
            await asyncio.sleep(0.1)
            assert policy.received.total_bytes <= MAX_HELD_BYTES
        if not pipelined:
            refused = await asyncio.wait_for(writers[0][0].read(64), 5.0)
            assert refused.startswith(b"HTTP/1.1 503 ")
        handled.set()
        for reader, writer in writers if pipelined else ():
            for _ in range(3):
                response = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10.0)
                assert response.startswith(b"HTTP/1.1 200 ")
            writer.close()
        for _, writer in writers:
            writer.transport.abort()
