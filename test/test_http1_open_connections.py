"""Tests of the bound on a server's open connections."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.http1 import open_connections
from godwitpath.http1.limits import CallerLimits
from godwitpath.http1.listener import listen
from godwitpath.http1.messages import Request
from godwitpath.http1.open_connections import (
    LOG_INTERVAL_S,
    NEWCOMER,
    OpenConnections,
    Phase,
)
from godwitpath.http1.responder import Responder
from godwitpath.http1.server import ServerConnection
from godwitpath.http1.server_policy import ServerPolicy

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
HALF = REQUEST[:9]


class Ended:
    """Adds connections, and lists the names of those that were ended.

    :ivar names: names in the order in which they were ended
    """

    def __init__(self, max_open: int) -> None:
        self.connections = OpenConnections("callers", max_open)
        self.names: list[str] = []

    def add(self, *names: str, now_s: float = 0.0) -> None:
        for name in names:
            self.connections.add(name, lambda name=name: self.names.append(name), now_s)

    def note(self, phase: Phase, *names: str) -> None:
        for name in names:
            self.connections.note_phase(name, phase)


class TestOpenConnections:
    def test_the_one_that_has_been_idle_longest_is_ended_first(self) -> None:
        ended = Ended(3)
        ended.add("a", "b", "c")
        ended.note(Phase.HANDLING, "a")
        ended.note(Phase.IDLE, "a")
        ended.add("d", "e", "f")
        assert ended.names == ["b", "c", "a"]
        assert len(ended.connections) == 3
        assert ended.connections.ended == {Phase.IDLE: 3}

    def test_a_request_that_arrives_is_ended_only_when_none_is_idle(self) -> None:
        ended = Ended(3)
        ended.add("a", "b", "c")
        ended.note(Phase.RECEIVING, "c", "a")
        ended.add("d")
        ended.note(Phase.RECEIVING, "d", "c", "a")
        ended.add("e")
        assert ended.names == ["b", "c"]

    def test_the_new_one_is_ended_when_all_others_have_a_complete_request(self) -> None:
        ended = Ended(2)
        ended.add("a", "b")
        ended.note(Phase.HANDLING, "a", "b")
        ended.add("c")
        assert ended.names == ["c"]
        assert ended.connections.ended == {NEWCOMER: 1}
        ended.connections.remove("a")
        ended.add("d")
        assert ended.names == ["c"]

    def test_one_that_is_not_open_any_more_is_never_ended(self) -> None:
        ended = Ended(2)
        ended.add("a", "b")
        ended.connections.remove("a")
        ended.note(Phase.IDLE, "a")
        ended.add("c", "d")
        assert ended.names == ["b"]

    @given(st.lists(st.tuples(st.sampled_from([*Phase, "remove"]), st.integers(0, 8)), max_size=80))
    def test_the_number_stays_bounded_and_no_complete_request_is_ended(
        self, steps: list[tuple[str, int]]
    ) -> None:
        ended = Ended(4)
        phases: dict[str, str] = {}
        for step, number in steps:
            name = str(number)
            if step == "remove":
                ended.connections.remove(name)
                phases.pop(name, None)
            elif name in phases:
                ended.note(Phase(step), name)
                phases[name] = step
            else:
                before = len(ended.names)
                ended.add(name)
                phases[name] = Phase.IDLE
                for other in ended.names[before:]:
                    assert other == name or phases[other] is not Phase.HANDLING
                    del phases[other]
            assert len(ended.connections) == len(phases) <= 4

    def test_a_port_logs_at_intervals_how_many_it_ended(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        lines: list[dict[str, Any]] = []
        monkeypatch.setattr(
            open_connections, "decision", lambda kind, **fields: lines.append(fields)
        )
        ended = Ended(1)
        ended.add("a", "b", "c", "d")
        ended.add("e", now_s=LOG_INTERVAL_S)
        ended.note(Phase.HANDLING, "e")
        ended.add("f", now_s=2 * LOG_INTERVAL_S)
        assert [line["ended"] for line in lines] == [{"idle": 1}, {"idle": 3}, {"new": 1}]
        assert {(line["port"], line["max_open"]) for line in lines} == {("callers", 1)}


async def _respond(request: Request, responder: Responder) -> None:
    if request.path == "/wait":
        await asyncio.sleep(3600)
    responder.respond(200, [], b"x" * 8_388_608 if request.path == "/large" else b"ok")


Opened = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@pytest.mark.parametrize("start", [b"", HALF, REQUEST], ids=["idle", "receiving", "answered"])
async def test_connections_without_a_complete_request_give_way_in_order(start: bytes) -> None:
    opened: list[Opened] = []
    connections: set[ServerConnection] = set()
    policy = ServerPolicy(_respond, open_connections=OpenConnections(max_open=5))
    server = await listen("127.0.0.1", 0, policy, connections)
    async with server, asyncio.timeout(5.0):
        for _ in range(8):
            opened.append(
                await asyncio.open_connection(*server.sockets[0].getsockname(), limit=1_024)
            )
            opened[-1][1].write(start)
            await asyncio.sleep(0.02)
        assert len(connections) == len(policy.open_connections) == 5
        for reader, _ in opened[:3]:
            # Without a response the end of the connection is all that arrives.
            assert (await _read_to_end(reader)).count(b"HTTP/1.1") == (start == REQUEST)
        for reader, writer in opened[3:]:
            writer.write(REQUEST[len(start) % len(REQUEST) :])
            assert b" 200 " in await reader.readline()
            writer.transport.abort()


@pytest.mark.parametrize("path", [b"/wait", b"/large"])
async def test_connections_with_a_request_or_an_unread_response_stay_open(path: bytes) -> None:
    connections: set[ServerConnection] = set()
    policy = ServerPolicy(_respond, open_connections=OpenConnections(max_open=3))
    server = await listen("127.0.0.1", 0, policy, connections)
    async with server, asyncio.timeout(5.0):
        address = server.sockets[0].getsockname()
        writers = []
        for _ in range(3):
            _, writer = await asyncio.open_connection(*address, limit=1_024)
            writer.transport.pause_reading()
            writer.write(REQUEST.replace(b"/", path, 1))
            writers.append(writer)
            await asyncio.sleep(0.05)
        served = set(connections)
        reader, writer = await asyncio.open_connection(*address)
        assert await _read_to_end(reader) == b""
        assert connections == served
        writers.pop().transport.abort()
        while connections == served:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST)
        assert b" 200 " in await reader.readline()
        for each in (writer, *writers):
            each.transport.abort()


async def test_a_connection_is_idle_again_once_its_caller_has_read_a_large_response() -> None:
    limits = CallerLimits(header_timeout_s=0.1)
    policy = ServerPolicy(_respond, lambda: limits, open_connections=OpenConnections(max_open=1))
    server = await listen("127.0.0.1", 0, policy, set())
    async with server, asyncio.timeout(5.0):
        address = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST.replace(b"/", b"/large", 1))
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(8_388_608)
        await asyncio.sleep(0.3)
        other_reader, other_writer = await asyncio.open_connection(*address)
        other_writer.write(REQUEST)
        assert b" 200 " in await other_reader.readline()
        assert await _read_to_end(reader) == b""
        for each in (writer, other_writer):
            each.transport.abort()


async def _read_to_end(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read()
    except ConnectionResetError:
        return b""
