"""Floods of connections to the ports of a daemon that may open few files."""

from __future__ import annotations

import asyncio
import json
import resource
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

import pytest

from godwitpath_standin.gateway.caller import ask
from test.gateway_parts import GatewayEnvironment
from test.raw_engine import STAMP, attempt_id, id_line, raw_engines
from test.raw_server import Exchange

FILE_LIMIT = 256
FLOOD = 400

PORTS = ["callers", "peers", "readiness", "metrics"]


@contextmanager
def file_limit(files: int) -> Iterator[None]:
    """Limit the files that processes may open which are started in the meantime."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (files, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def answer(exchange: Exchange) -> None:
    exchange.respond(b"sound", extra=STAMP + id_line(attempt_id(exchange)))


@asynccontextmanager
async def daemon_with_few_files() -> AsyncIterator[GatewayEnvironment]:
    running = raw_engines("desk", [answer])
    with file_limit(FILE_LIMIT):
        environment, _ = await running.__aenter__()
    try:
        yield environment
    finally:
        await running.__aexit__(None, None, None)


@asynccontextmanager
async def flood(port: int, start: bytes) -> AsyncIterator[None]:
    """Open connections that send the start of a request, or nothing, and stay open."""
    writers = []
    for _ in range(FLOOD):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(start)
        writers.append(writer)
    try:
        await asyncio.sleep(0.5)
        yield
    finally:
        for writer in writers:
            writer.transport.abort()


def port_of(environment: GatewayEnvironment, purpose: str) -> int:
    return {
        "callers": environment.port,
        "peers": json.loads(environment.settings.read_text())["portRange"][0],
        "readiness": environment.ready_port,
        "metrics": environment.metrics_port,
    }[purpose]


@pytest.mark.parametrize("start", [b"", b"GET /read/"], ids=["idle", "half a request"])
@pytest.mark.parametrize("purpose", PORTS)
async def test_callers_are_served_beside_a_flood_of_connections(purpose: str, start: bytes) -> None:
    async with daemon_with_few_files() as environment:
        async with flood(port_of(environment, purpose), start):
            for number in range(5):
                async with asyncio.timeout(2.0):
                    response = await ask(environment.port, f"/read/{number}")
                assert (response.status, response.body) == (200, b"sound")
        page = (await ask(environment.metrics_port, "/metrics", key="")).body.decode()
        lines = [line for line in await environment.log() if "connection" in line["message_type"]]
    assert f'port="{purpose}"' in page
    assert {line["message_type"] for line in lines} == {"connections_ended"}
    assert {line["port"] for line in lines} == {purpose}
