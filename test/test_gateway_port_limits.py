"""Guards against requests that fill a daemon's memory at the ports that need no large ones."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from godwitpath.gateway.metrics_page import MetricsPage
from godwitpath.gateway.port_limits import MAX_CALLERS, PortConnections
from godwitpath.gateway.readiness import Readiness
from godwitpath.http1.open_connections import OpenConnections
from godwitpath.ports.engine import Address
from test.gateway_fleet import fleet

STREAMS_OF_A_DAEMON = 75
"""Open streams of a daemon at the size that is aimed at (docs/CAPACITY.md)."""

ANY_PORT = Address("127.0.0.1", 0)


@asynccontextmanager
async def port_of(purpose: str) -> AsyncIterator[Address]:
    """Listen as a daemon does for a purpose other than callers."""
    if purpose == "pulls":
        async with fleet(1, "a") as (daemon,):
            settings = daemon.ctx.settings
            yield Address(settings.host, settings.peer_ports[0])
        return
    unused: Any = None
    page = MetricsPage(*([unused] * 7))
    endpoint = Readiness(lambda: True) if purpose == "readiness" else page
    server = await endpoint.listen(ANY_PORT, OpenConnections())
    assert server is not None
    async with server:
        yield Address(*server.sockets[0].getsockname()[:2])


@pytest.mark.parametrize("purpose", ["readiness", "metrics", "pulls"])
@pytest.mark.parametrize(
    ("framing", "piece"),
    [
        (b"content-length: 16000000", b"x" * 65_536),
        (b"transfer-encoding: chunked", b"8000\r\n" + b"x" * 32_768 + b"\r\n"),
    ],
    ids=["stated length", "chunks"],
)
async def test_a_body_without_end_is_refused_before_it_is_kept(
    purpose: str, framing: bytes, piece: bytes
) -> None:
    async with port_of(purpose) as address, asyncio.timeout(5.0):
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"POST / HTTP/1.1\r\nhost: d\r\n" + framing + b"\r\n\r\n" + piece)
        status_line = await reader.readline()
        writer.close()
    assert status_line.startswith(b"HTTP/1.1 413 ")


@pytest.mark.parametrize("purpose", ["readiness", "metrics", "pulls"])
async def test_a_long_head_is_refused(purpose: str) -> None:
    async with port_of(purpose) as address, asyncio.timeout(5.0):
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"GET / HTTP/1.1\r\nhost: d\r\nx-long: " + b"x" * 20_000 + b"\r\n\r\n")
        status_line = await reader.readline()
        writer.close()
    assert status_line.startswith(b"HTTP/1.1 431 ")


@pytest.mark.parametrize("max_files", [256, 1_024, 20_000, 1_000_000, float("inf")])
def test_connections_of_all_ports_leave_files_for_a_call_of_each_caller(max_files: float) -> None:
    ports = PortConnections(max_files)
    accepted = sum(connections.max_open for connections in ports.all())
    assert max_files - accepted > ports.callers.max_open
    assert ports.callers.max_open <= MAX_CALLERS
    if max_files >= 1_024:
        assert ports.callers.max_open > STREAMS_OF_A_DAEMON
