"""Minimal HTTP server with scripted responses, for tests of the HTTP adapters."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from godwitpath.ports.engine import Address

Handler = Callable[["Exchange"], Awaitable[None]]


@dataclass
class Exchange:
    """A received request and the writer for the response.

    :ivar connection: sequence number of the connection that the request came on, starting at 1
    :ivar number: sequence number of the request on the server, starting at 1
    """

    connection: int
    number: int
    head: bytes
    body: bytes
    writer: asyncio.StreamWriter

    def respond(self, body: bytes, status: str = "200 OK", extra: bytes = b"") -> None:
        """Write a complete response.

        :param status: status code and reason phrase
        :param extra: further header lines, each with its line end
        """
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n".encode()
        self.writer.write(head + extra + b"\r\n" + body)

    def start_chunks(self) -> None:
        """Write the head of a chunked response."""
        self.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def chunk(self, data: bytes) -> None:
        """Write a chunk; an empty chunk ends the body."""
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))


@dataclass
class RawServer:
    """Address of a running server, and the requests and connections that it has received.

    :ivar requests: requests received so far
    :ivar connections: number of connections accepted so far
    """

    address: Address
    requests: list[Exchange] = field(default_factory=list)
    connections: int = 0

    @property
    def url(self) -> str:
        return f"http://{self.address}"


@asynccontextmanager
async def raw_server(handler: Handler) -> AsyncIterator[RawServer]:
    """Run a server that calls a handler for each request."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state.connections += 1
        connection = state.connections
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length_bytes = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length_bytes = int(line.partition(b":")[2])
                body = await reader.readexactly(length_bytes)
                exchange = Exchange(connection, len(state.requests) + 1, head, body, writer)
                state.requests.append(exchange)
                await handler(exchange)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    state = RawServer(Address(host, port))
    try:
        yield state
    finally:
        server.close()
