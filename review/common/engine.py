"""A small engine that speaks the pages' HTTP/1.1, and a client."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

Fields = dict[bytes, bytes]


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, Fields, bytes]:
    """Return the first line, the header fields and the body of a message with a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    fields = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get(b"content-length", 0)))
    return first, fields, body


@dataclass(slots=True)
class Arrival:
    """A request that reached the engine."""

    request_id: str
    at_s: float
    named_limit: str
    answered_at_s: float = 0.0


@dataclass
class Engine:
    """An engine; subclasses or callbacks replace its answers.

    :ivar limit: value of the header `Server-Limit`, empty to name none
    """

    engine_id: str
    service: str
    zone: str
    born: int
    events: int = 3
    event_s: float = 0.02
    limit: str = ""
    port: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, **changes: Any) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        } | changes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, fields, body = await read_message(reader)
                await self.answer(first, fields, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(
        self, first: bytes, fields: Fields, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = fields.get(b"x-attempt-id", b"")
        common = b"X-Attempt-Id: " + request_id + b"\r\n"
        if self.limit:
            common += b"Server-Limit: " + self.limit.encode() + b"\r\n"
        expected = fields.get(b"x-expect-instance", b"")
        if expected and expected != self.engine_id.encode():
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                + common
                + b"Content-Length: 0\r\n\r\n"
            )
            return
        arrival = Arrival(request_id.decode(), time.monotonic(), self.limit)
        self.arrivals.append(arrival)
        common += b"X-Response-Stamp: stamp-" + self.engine_id.encode() + b"\r\n"
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + common
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        arrival.answered_at_s = time.monotonic()


async def send_request(
    port: int, method: str, path: str, fields: dict[str, str], body: bytes = b""
) -> tuple[int, Fields, bytes]:
    """Send a request on a new channel; returns status, header fields and all that follows."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.split(b"\r\n")
        got = {}
        for line in rest:
            name, colon, value = line.partition(b":")
            if colon:
                got[name.strip().lower()] = value.strip()
        return int(first.split()[1]), got, await reader.read()
    finally:
        writer.close()
