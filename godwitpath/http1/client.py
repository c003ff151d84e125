"""HTTP/1.1 client connections with one exchange at a time and no retries.

Errors distinguish requests that were not sent from requests with an unknown outcome. A connection
returns to its pool only after a complete response that stated its length and left no further bytes.
In every other case the connection is closed. What arrives before a request is written is never
taken for its response.
"""

from __future__ import annotations

import asyncio
import math
import select
from collections.abc import Callable, Hashable
from typing import Any

import httptools

from godwitpath.http1.messages import NotSent, ResponseHead, ResponseLost
from godwitpath.http1.response_limits import (
    MAX_BODY_BYTES,
    BodyBudget,
    ResponseCost,
    ResponseLimitExceeded,
    limit_exceeded,
)
from godwitpath.http1.timeouts import SOCKET_LOOK_S, socket_timeout
from godwitpath.http1.turns import (
    FIRST_READ_BYTES,
    READ_BYTES,
    is_heavy,
    next_read_bytes,
    read_turns,
)

ResponsePredicate = Callable[[ResponseHead], bool]
"""Returns whether a response belongs to the request that was sent."""


class ClientConnection(asyncio.BufferedProtocol):
    """Connection to a server with at most one active exchange.

    :ivar reusable: whether the connection can be used for another exchange
    :ivar exchanges: number of exchanges started so far
    :ivar idle_since_s: event loop time at which the last exchange ended
    :ivar idle_limit_s: maximum idle time after which the connection is not reused
    """

    def __init__(self) -> None:
        self.reusable = False
        self.exchanges = 0
        self.idle_since_s = 0.0
        self.idle_limit_s = math.inf
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._turns = read_turns()
        self._server: Hashable = None
        self._parser: Any = None
        self._accept: ResponsePredicate | None = None
        self._method = ""
        self._head: ResponseHead | None = None
        self._complete = True
        self._skipping_response = False
        self._cost = ResponseCost()
        self._error: Exception | None = None
        # Received part of the body that was not read, in one piece however it arrived.
        self._body = bytearray()
        self._reading_paused = False
        self._read_bytes = FIRST_READ_BYTES
        self._max_read_bytes = READ_BYTES
        # Whether what arrived may only be handled in turn, and whether it waits for the turn.
        self._heavy = False
        self._awaits_turn = False
        self._waiter: asyncio.Future[None] | None = None
        self._header_fields: list[tuple[bytes, bytes]] = []
        self._reason = b""

    # Interface for users of the connection.

    def send(
        self,
        method: str,
        data: bytes,
        accept: ResponsePredicate | None = None,
        max_read_bytes: int = READ_BYTES,
    ) -> None:
        """Start an exchange.

        :param data: serialized head and body
        :param accept: responses for which it returns False are skipped
        :param max_read_bytes: most bytes that are read at once, fewer if the reader parses them
        :raises NotSent: the connection is closed, or something arrived before the request
        """
        if self._transport is None or self._transport.is_closing():
            raise NotSent("the connection is closed")
        if self.has_unread_bytes:
            self.close()
            raise NotSent("bytes or the end of the connection arrived before the request")
        self.reusable = False
        self.exchanges += 1
        self._method = method
        self._accept = accept
        self._parser = httptools.HttpResponseParser(self)
        self._head = None
        self._complete = False
        self._skipping_response = False
        self._cost = ResponseCost()
        self._error = None
        self._body.clear()
        self._read_bytes = FIRST_READ_BYTES
        self._max_read_bytes = max_read_bytes
        self._heavy = False
        self._pause_or_resume_reading()
        self._transport.write(data)

    async def head(self) -> ResponseHead:
        """Return the head of the response.

        :raises ResponseLost: the connection ended or received an invalid response
        """
        while self._head is None or self._skipping_response:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self._head

    async def look_for_data(self) -> bool:
        """Return whether body bytes have arrived that were not read.

        To be called after a timeout: when this process was stalled, the event loop handles the
        timeout before it looks at the socket.
        """
        await asyncio.sleep(SOCKET_LOOK_S)
        return bool(self._body) or self._heavy

    async def read(self) -> bytes:
        """Wait for body bytes and return those received, or nothing at the end of the body.

        :raises ResponseLost: the connection ended before the body was complete
        """
        while not self._body or self._heavy:
            if self._heavy:
                self._wait_for_turn()
            elif self._complete:
                return b""
            elif self._error is not None:
                raise self._error
            await self._wait()
        data = bytes(self._body)
        self._body.clear()
        self._pause_or_resume_reading()
        return data

    async def read_whole(self, budget: BodyBudget) -> bytes:
        """Return the rest of the body.

        :param budget: bounds the size of the body
        :raises ResponseLost: the connection ended before the body was complete, or the body is
            too large
        """
        if self._head is not None and (self._head.length_bytes or 0) > MAX_BODY_BYTES:
            raise ResponseLimitExceeded("body bytes", self._head.length_bytes or 0)
        reservation = budget.reserve(self._server)
        body = bytearray()
        try:
            while data := await self.read():
                reservation.resize(len(body) + len(data))
                body += data
            return bytes(body)
        finally:
            reservation.release()

    def close(self) -> None:
        """Close the connection and abort any active exchange."""
        self.reusable = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._transport is None or self._transport.is_closing()

    @property
    def length_bytes(self) -> int | None:
        """Length that the response states for its body, None if it states none."""
        return self._head.length_bytes if self._head is not None else None

    @property
    def received_bytes(self) -> int:
        """Number of bytes of the body that have arrived, read or not."""
        return self._cost.body_bytes

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the socket holds bytes, or the end of the connection, that were not read."""
        socket = self._transport.get_extra_info("socket") if self._transport is not None else None
        if socket is None:
            return False
        poll = select.poll()
        poll.register(socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server = transport.get_extra_info("peername")

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._turns.buffer[: self._read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(self._turns.buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes, which may change once the call has returned."""
        if self._complete or self._parser is None:
            # Bytes after a complete response belong to no request.
            self.close()
            return
        pieces_before, started_at_s = self._cost.pieces, self._loop.time()
        try:
            self._parser.feed_data(data)
            self._cost.add_received(len(data), self._complete)
        except (httptools.HttpParserError, ResponseLimitExceeded) as error:
            self._fail(limit_exceeded(error) or ResponseLost(f"invalid HTTP response: {error}"))
            self.close()
            return
        pieces = self._cost.pieces - pieces_before
        next_bytes = next_read_bytes(self._read_bytes, len(data), pieces)
        self._read_bytes = min(self._max_read_bytes, next_bytes)
        held_bytes = max(len(data), len(self._body))
        if not self._complete and is_heavy(held_bytes, pieces, self._max_read_bytes):
            self._turns.note_cost(self._loop.time() - started_at_s)
            self._heavy = True
            self._wait_for_turn()
        self._pause_or_resume_reading()
        self._wake()

    def eof_received(self) -> bool:
        head = self._head
        ends_with_connection = head is not None and head.length_bytes is None and not head.chunked
        if ends_with_connection and not self._complete and not self._skipping_response:
            # A body without a stated length ends when the server closes the connection.
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

    # Parser callbacks.

    def on_message_begin(self) -> None:
        if self._complete:
            raise httptools.HttpParserError("received bytes after the response")
        self._header_fields = []
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._cost.add_field()
        self._header_fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._cost.add_interim_response()
            self._skipping_response = True
            return
        head = ResponseHead(status, self._reason, self._header_fields)
        head.chunked = b"chunked" in head.header(b"transfer-encoding").lower()
        length = head.header(b"content-length")
        if status in (204, 304) or self._method == "HEAD":
            head.length_bytes = 0
        elif length.isdigit() and not head.chunked:
            head.length_bytes = int(length)
        if self._accept is not None and not self._accept(head):
            self._cost.add_skipped_response()
            self._skipping_response = True
            return
        self._skipping_response = False
        self._head = head
        if self._method == "HEAD":
            # The parser would wait for a body of the stated length.
            self._complete = True

    def on_body(self, body: bytes) -> None:
        if self._skipping_response or self._complete:
            return
        self._cost.add_piece(len(body))
        self._body += body

    def on_message_complete(self) -> None:
        if self._skipping_response:
            self._skipping_response = False
            return
        if self._complete or self._head is None:
            return
        self._complete = True
        head = self._head
        self_delimited = head.chunked or head.length_bytes is not None
        persistent = self._parser.should_keep_alive() and self._method != "HEAD"
        self.reusable = self_delimited and persistent and not self._cost.skipped_any
        self.idle_since_s = asyncio.get_running_loop().time()

    def _wait_for_turn(self) -> None:
        if not self._awaits_turn:
            self._awaits_turn = True
            self._turns.wait(self._server, self._take_turn)

    def _take_turn(self) -> bool:
        self._awaits_turn = False
        if self.closed:
            return False
        if self._body and self._waiter is None:
            # Its reader is busy, and waits for another turn when it reads on.
            return False
        self._heavy = False
        self._pause_or_resume_reading()
        self._wake()
        return True

    def _pause_or_resume_reading(self) -> None:
        if self._transport is None or self._heavy is self._reading_paused:
            return
        self._reading_paused = self._heavy
        if self._reading_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

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

    :raises NotSent: the connection was not established in time
    """
    loop = asyncio.get_running_loop()
    try:
        async with socket_timeout(timeout_s):
            _, connection = await loop.create_connection(ClientConnection, host, port)
            return connection
    except (TimeoutError, OSError) as error:
        raise NotSent(f"cannot connect to {host}:{port}: {error!r}") from error
