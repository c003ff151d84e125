"""Tests of how long the body of a response is awaited."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.http1.client import ClientConnection
from godwitpath.http1.messages import ResponseLost
from godwitpath.http1.response_limits import ResponseLimitExceeded
from godwitpath.http1.transfers import (
    MIN_TRANSFER_BYTES_PER_S,
    TransferDeadline,
    read_transfer,
)
from test.test_http1 import MemoryTransport

STALL_TIMEOUT_S = 0.8

FRAMINGS = [b"transfer-encoding: chunked", b"content-length: 33000000", b"connection: close"]


def begun(framing: bytes) -> ClientConnection:
    """Return a connection on which the head of a response has arrived."""
    connection = ClientConnection()
    connection.connection_made(MemoryTransport())
    connection.send("GET", b"")
    connection.data_received(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
    return connection


async def send(connection: ClientConnection, data: bytes, count: int, gap_s: float) -> None:
    """Let data arrive a number of times, once after each gap."""
    chunked = connection._head is not None and connection._head.chunked
    for _ in range(count):
        await asyncio.sleep(gap_s)
        connection.data_received(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)


def test_the_time_grows_with_what_has_arrived_and_ends_with_a_stall() -> None:
    deadline = TransferDeadline(100.0, STALL_TIMEOUT_S)
    assert deadline.at_s() == 100.8
    deadline.note_progress(100.5, 8_000)
    assert deadline.at_s() == pytest.approx(101.3)
    assert deadline.slowest_at_s() == pytest.approx(101.8)
    deadline.note_progress(101.5, 8_001)
    assert deadline.at_s() == deadline.slowest_at_s() == pytest.approx(101.8, abs=0.001)


@pytest.mark.looptime
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_body_that_arrives_bytewise_is_given_up(framing: bytes) -> None:
    loop = asyncio.get_running_loop()
    connection = begun(framing)
    sending = loop.create_task(send(connection, b"x", 50_000, 0.5))
    started_at_s = loop.time()
    with pytest.raises(ResponseLost, match="timed out after 1"):
        await read_transfer(connection, STALL_TIMEOUT_S)
    assert loop.time() - started_at_s < 1.0
    sending.cancel()


@pytest.mark.looptime
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_body_that_slows_down_is_given_up_in_the_time_of_what_has_arrived(
    framing: bytes,
) -> None:
    loop = asyncio.get_running_loop()
    connection = begun(framing)
    started_at_s = loop.time()

    async def slow_down() -> None:
        await send(connection, bytes(10_000), 8, 0.1)
        await send(connection, b"x", 50_000, 0.5)

    sending = loop.create_task(slow_down())
    with pytest.raises(ResponseLost, match="timed out after 800"):
        await read_transfer(connection, STALL_TIMEOUT_S)
    allowed_s = STALL_TIMEOUT_S + 80_000 / MIN_TRANSFER_BYTES_PER_S
    assert loop.time() - started_at_s == pytest.approx(allowed_s, abs=0.1)
    sending.cancel()


@pytest.mark.looptime
@pytest.mark.parametrize("framing", [b"transfer-encoding: chunked", b"content-length: 500000"])
async def test_a_body_at_little_more_than_the_slowest_rate_is_read(framing: bytes) -> None:
    connection = begun(framing)

    async def send_whole() -> None:
        await send(connection, bytes(5_000), 100, 0.6)
        if b"chunked" in framing:
            connection.data_received(b"0\r\n\r\n")

    sending = asyncio.create_task(send_whole())
    assert len(await read_transfer(connection, STALL_TIMEOUT_S)) == 500_000
    await sending


@pytest.mark.looptime
@pytest.mark.parametrize("framing", [b"transfer-encoding: chunked", b"content-length: 9000"])
async def test_a_body_beyond_its_maximum_size_is_refused(framing: bytes) -> None:
    connection = begun(framing)
    sending = asyncio.create_task(send(connection, bytes(1_000), 9, 0.01))
    with pytest.raises(ResponseLimitExceeded, match="body bytes"):
        await read_transfer(connection, STALL_TIMEOUT_S, max_bytes=8_000)
    sending.cancel()
