"""Client connections: one exchange at a time, never repeated, with its doubt kept visible.

A connection goes back to its pool only after a response that was read whole, stated its length
and left nothing behind. Whatever else happens to it, it is closed.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

import httptools

from godwitpath.http1.messages import NotSent, ResponseHead, ResponseLost

READ_AHEAD_BYTES = 262_144
"""Bytes of a body that wait to be read before the connection stops reading."""

MAX_HEAD_BYTES = 131_072
"""Largest head of a response."""

MAX_SKIPPED_RESPONSES = 4
"""Responses to other requests that are passed over before a connection is given up."""

Accept = Callable[[ResponseHead], bool]
"""Tells whether a response belongs to the request that was sent."""


class ClientConnection(asyncio.Protocol):
    """A connection to a server, with at most one exchange under way.

    :ivar reusable: whether it may carry another exchange
    :ivar idle_since_s: loop time at which its last exchange ended
    """

    def __init__(self) -> None:
        self.reusable = False
        self.idle_since_s = 0.0
        self.idle_limit_s = math.inf
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._accept: Accept | None = None
        self._method = ""
        self._head: ResponseHead | None = None
        self._complete = True
        self._skipping = False
        self._skipped = 0
        self._error: Exception | None = None
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._head_bytes = 0
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None
        self._fields: list[tuple[bytes, bytes]] = []
        self._reason = b""

    # Exchange, as the caller of the connection sees it.

    def send(self, method: str, data: bytes, accept: Accept | None = None) -> None:
        """Start an exchange.

        :param data: head and body
        :param accept: responses that it refuses are passed over
        """
        if self._transport is None or self._transport.is_closing():
            raise NotSent("the connection was closed")
        self.reusable = False
        self._method = method
        self._accept = accept
        self._parser = httptools.HttpResponseParser(self)
        self._head = None
        self._complete = False
        self._skipping = False
        self._skipped = 0
        self._error = None
        self._chunks.clear()
        self._buffered_bytes = 0
        self._head_bytes = 0
        self._transport.write(data)

    async def head(self) -> ResponseHead:
        """Return the head of the response.

        :raises ResponseLost: the connection ended or brought no proper response
        """
        while self._head is None or self._skipping:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Return body bytes that have arrived, waiting for some; nothing at the end.

        :raises ResponseLost: the connection ended before the body did
        """
        while not self._chunks:
            if self._complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return data

    async def read_whole(self) -> bytes:
        """Return the rest of the body; raises as :meth:`read`."""
        pieces = []
        while piece := await self.read():
            pieces.append(piece)
        return b"".join(pieces)

    def close(self) -> None:
        """End the connection, whatever is under way."""
        self.reusable = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._transport is None or self._transport.is_closing()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._complete or self._parser is None:
            # Bytes after a response belong to no request.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(ResponseLost(f"not a response: {error}"))
            self.close()
            return
        if self._head is None and not self._complete:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._fail(ResponseLost("head of the response too long"))
                self.close()
        self._wake()

    def eof_received(self) -> bool:
        head = self._head
        unframed = head is not None and head.length_bytes is None and not head.chunked
        if unframed and not self._complete and not self._skipping:
            # A body without a length ends with its connection.
            self._complete = True
            self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.reusable = False
        if not self._complete:
            reason = f"connection broke: {exc!r}" if exc else "connection closed by the server"
            self._fail(ResponseLost(reason))
        self._wake()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        if self._complete:
            raise httptools.HttpParserError("bytes after the response")
        self._fields = []
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._skipping = True
            return
        head = ResponseHead(status, self._reason, self._fields)
        head.chunked = b"chunked" in head.header(b"transfer-encoding").lower()
        length = head.header(b"content-length")
        if status in (204, 304) or self._method == "HEAD":
            head.length_bytes = 0
        elif length.isdigit() and not head.chunked:
            head.length_bytes = int(length)
        if self._accept is not None and not self._accept(head):
            self._skipped += 1
            if self._skipped > MAX_SKIPPED_RESPONSES:
                raise httptools.HttpParserError("too many responses to other requests")
            self._skipping = True
            return
        self._skipping = False
        self._head = head
        if self._method == "HEAD":
            # The parser would wait for the body that the head announces.
            self._complete = True

    def on_body(self, body: bytes) -> None:
        if self._skipping or self._complete:
            return
        self._chunks.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > READ_AHEAD_BYTES and not self._paused and self._transport:
            self._paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        if self._skipping:
            self._skipping = False
            return
        if self._complete or self._head is None:
            return
        self._complete = True
        head = self._head
        framed = head.chunked or head.length_bytes is not None
        kept = self._parser.should_keep_alive() and self._method != "HEAD"
        self.reusable = framed and kept and self._skipped == 0
        self.idle_since_s = asyncio.get_running_loop().time()

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        self._wake()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter


async def connect(host: str, port: int, timeout_s: float) -> ClientConnection:
    """Open a connection.

    :raises NotSent: it did not come about in time
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(ClientConnection, host, port)
            return connection
    except (TimeoutError, OSError) as error:
        raise NotSent(f"cannot connect to {host}:{port}: {error!r}") from error
