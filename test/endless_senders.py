"""Program that plays engines, or callers, whose connections carry junk without end.

It runs as a process of its own, so that what it sends costs the process of the test nothing. It
prints a line of JSON when it has started, and one with its state for each line that it reads.
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
import sys
from collections import Counter
from collections.abc import Callable
from random import Random

from godwitpath_standin.gateway.caller import ask
from test.raw_engine import id_line

STAMP = b"X-Response-Stamp: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + STAMP
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"x" * 65_536
CHUNK = b"10000\r\n" + FILLER + b"\r\n"


def in_chunks(data: bytes) -> bytes:
    """Return data as one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


RESPONSES = {
    "comments": (CHUNKED, in_chunks(b": c\n\n" * 13_000)),
    "bytes": (CHUNKED, b"1\r\nx\r\n" * 10_000),
    "fields": (OK, b"A: b\r\n" * 10_000),
    "events": (CHUNKED, in_chunks(b"data: x\n\n" * 7_000)),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_600),
    "event": (CHUNKED + b"6\r\ndata: \r\n", CHUNK),
    "unframed": (OK + b"\r\n", FILLER),
    "blocks": (CHUNKED, CHUNK),
    "terabyte": (OK + b"Content-Length: 1000000000000\r\n\r\n", FILLER),
    "field": (OK + b"X-Long: ", FILLER),
    "silence": (b"", b""),
    "cut": (OK + b"Content-Length: 9\r\nX-Cut: 1\r\n\r\n", b""),
}
"""What engines send, by kind: a start, and what follows it again and again."""

POST = b"POST /sound/x HTTP/1.1\r\nHost: shop.example\r\n"
REQUESTS = {
    "pipelined": (b"", b"GET / HTTP/1.1\r\n\r\n" * 58_000),
    "bytes": (POST + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 10_000),
    "fields": (POST, b"A: b\r\n" * 10_000),
    "extension": (POST + b"Transfer-Encoding: chunked\r\n\r\n5;x=", FILLER),
    "lines": (b"", b"\r\n" * 30_000),
}
"""What callers without a key send, by kind."""


class JunkEngines:
    """Engines of which each sends the same kind of junk to every request."""

    def __init__(self, kind: str) -> None:
        self.state = Counter(open=0, requests=0)
        self._start, self._repeated = RESPONSES[kind]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the first request of a connection until the connection is closed."""
        self.state["open"] += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.state["requests"] += 1
            [request_id] = re.findall(rb"(?i)\r\nx-attempt-id: (.+)\r\n", head)
            writer.write(self._start.replace(STAMP, STAMP + id_line(request_id)))
            while self._repeated:
                writer.write(self._repeated)
                await writer.drain()
            if b"X-Cut" not in self._start:
                await reader.read(1)
        except (OSError, asyncio.IncompleteReadError):
            # The daemon has closed the connection, as the tests expect.
            return
        finally:
            self.state["open"] -= 1
            writer.transport.abort()


async def run_engines(kind: str, count: int) -> Counter[str]:
    """Start engines and print their ports."""
    engines = JunkEngines(kind)
    servers = [
        await asyncio.start_server(engines.serve, "127.0.0.1", 0, family=socket.AF_INET)
        for _ in range(count)
    ]
    print(json.dumps([server.sockets[0].getsockname()[1] for server in servers]), flush=True)
    for server in servers:
        await server.start_serving()
    return engines.state


async def call_service(port: int, target: str, name: str, outcomes: Counter[str]) -> None:
    """Ask a service again and again, as a caller that takes whatever comes."""
    random, number = Random(name), 0
    while True:
        number += 1
        try:
            response = await ask(port, target, request_id=f"{name}-{number}", timeout_s=7.0)
            outcomes[f"{response.status}{'' if response.complete else ' cut'}"] += 1
        except (TimeoutError, OSError) as error:
            outcomes[type(error).__name__] += 1
        await asyncio.sleep(random.uniform(0.5, 1.5))


async def send_junk(port: int, kind: str, outcomes: Counter[str]) -> None:
    """Send junk on a connection, and on a new one when it was closed."""
    start, repeated = REQUESTS[kind]
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            outcomes["channels"] += 1
            reading = asyncio.create_task(_read_all(reader))
            try:
                writer.write(start)
                while not reading.done():
                    writer.write(repeated)
                    await writer.drain()
            finally:
                reading.cancel()
                writer.transport.abort()
        except OSError:
            outcomes["closed"] += 1
        await asyncio.sleep(0.5)


async def _read_all(reader: asyncio.StreamReader) -> None:
    while await reader.read(65_536):
        pass


async def run_callers(
    ports: list[int], count: int, call: Callable[[int, int, Counter[str]], asyncio.Task[None]]
) -> tuple[Counter[str], list[asyncio.Task[None]]]:
    """Start callers, spread over daemons."""
    outcomes: Counter[str] = Counter()
    tasks = [call(ports[number % len(ports)], number, outcomes) for number in range(count)]
    print(json.dumps(count), flush=True)
    return outcomes, tasks


async def main(role: str, kind: str, count: int, ports: list[int]) -> None:
    """Play a role until the standard input ends."""
    tasks: list[asyncio.Task[None]] = []
    if role == "engines":
        state = await run_engines(kind, count)
    elif role == "service":
        state, tasks = await run_callers(
            ports,
            count,
            lambda port, number, outcomes: asyncio.create_task(
                call_service(port, kind, f"j{number}", outcomes)
            ),
        )
    else:
        state, tasks = await run_callers(
            ports,
            count,
            lambda port, _, outcomes: asyncio.create_task(send_junk(port, kind, outcomes)),
        )
    while await asyncio.to_thread(sys.stdin.readline):
        print(json.dumps(state), flush=True)
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3]), [int(a) for a in sys.argv[4:]]))
