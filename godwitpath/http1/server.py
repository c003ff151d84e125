"""Server connections: requests read whole within bounds, answered one after the other.

A response that cannot be finished ends its connection, so that it never looks complete.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import httptools

from godwitpath.http1.limits import CallerLimits
from godwitpath.http1.messages import Headers, Request, write_response

MAX_PIPELINED = 16
"""Requests that wait on a connection before it stops reading."""

WRITE_HIGH_BYTES = 262_144
"""Unsent bytes of a response beyond which its source is paused."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` by which a connection ends with a reset."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


Handler = Callable[[Request, "Responder"], Awaitable[None]]

_DEFAULT_LIMITS = CallerLimits()


@dataclass(slots=True)
class ServerPolicy:
    """What connections ask while they live.

    :ivar handler: answers a request
    :ivar limits: returns the bounds in force
    :ivar keep_open: returns whether connections may live on after a response
    """

    handler: Handler
    limits: Callable[[], CallerLimits] = lambda: _DEFAULT_LIMITS
    keep_open: Callable[[], bool] = lambda: True


class Responder:
    """Writes the one response of a request.

    :ivar started: whether a head was written
    :ivar finished: whether the response was written whole
    """

    def __init__(self, connection: ServerConnection, request: Request) -> None:
        self.started = False
        self.finished = False
        self.status = 0
        self._connection = connection
        self._request = request
        self._chunked = False
        self._framed = False
        self._close_after = False

    def start(self, status: int, reason: bytes, headers: Headers, length_bytes: int | None) -> None:
        """Write the head.

        :param headers: without framing
        :param length_bytes: length of the body, None when it is not known
        """
        fields = list(headers)
        keep = self._request.keep_alive and self._connection.may_live_on()
        bodiless = status in (204, 304) or self._request.method == "HEAD"
        if length_bytes is not None:
            if status not in (204, 304):
                fields.append((b"content-length", b"%d" % length_bytes))
        elif self._request.version == "1.1":
            self._chunked = not bodiless
            if self._chunked:
                fields.append((b"transfer-encoding", b"chunked"))
        else:
            keep = False
        if not keep:
            fields.append((b"connection", b"close"))
        elif self._request.version == "1.0":
            fields.append((b"connection", b"keep-alive"))
        self._framed = self._chunked or length_bytes is not None or bodiless
        self._close_after = not keep
        self.started = True
        self.status = status
        self._connection.write(write_response(status, reason, fields))

    def send(self, data: bytes) -> None:
        """Write a piece of the body."""
        if not data or self._request.method == "HEAD":
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    def finish(self) -> None:
        """End the response."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self.finished = True
        self._connection.response_done(self._close_after)

    def respond(self, status: int, headers: Headers, body: bytes, reason: bytes = b"") -> None:
        """Write a whole response."""
        self.start(status, reason, headers, len(body))
        self.send(body)
        self.finish()

    def abort(self) -> None:
        """End the connection before the response is complete."""
        if not self.finished:
            self._connection.cut(reset=not self._framed)

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was written."""
        await self._connection.drain()


class ServerConnection(asyncio.Protocol):
    """A caller's connection."""

    def __init__(self, policy: ServerPolicy, connections: set[ServerConnection]) -> None:
        self._policy = policy
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[Request] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        # The request that is being read.
        self._begun_at_s: float | None = None
        self._target = b""
        self._fields: Headers = []
        self._field_bytes = 0
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._in_body = False
        self._refusal = 0
        self._paused = False
        self._closing = False
        self._idle_since_s = self._loop.time()
        self._completed = 0

    @property
    def idle(self) -> bool:
        """Whether no request is being read, waits or is being answered."""
        return self._task is None and not self._waiting and self._begun_at_s is None

    def may_live_on(self) -> bool:
        """Return whether the connection stays open after the response that starts now."""
        return self._policy.keep_open() and not self._closing

    def write(self, data: bytes) -> None:
        """Write bytes if the caller is still there."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was written."""
        await self._can_write.wait()

    def response_done(self, close: bool) -> None:
        """Note the end of a response."""
        if close:
            self._closing = True

    def cut(self, reset: bool) -> None:
        """End the connection in the middle of a response.

        :param reset: whether an orderly end would make the response look complete
        """
        self._closing = True
        if self._transport is None:
            return
        if reset:
            self._transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            self._transport.abort()
        else:
            self._transport.close()

    def close_if_idle(self) -> None:
        """End the connection unless a request is under way on it."""
        if self.idle and self._transport is not None:
            self._transport.close()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._connections.add(self)
        self._arm()

    def data_received(self, data: bytes) -> None:
        if self._closing:
            return
        if self._begun_at_s is None:
            self._begun_at_s = self._loop.time()
        completed_before = self._completed
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The upgrade is not taken; what follows the request is not read.
            self._closing = True
        except httptools.HttpParserError:
            self._refuse(self._refusal or 400)
            return
        if self._refusal:
            self._refuse(self._refusal)
            return
        if not self._in_body and self._completed == completed_before:
            self._head_bytes += len(data)
            if self._head_bytes > self._policy.limits().max_header_bytes:
                self._refuse(431)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self)
        self._transport = None
        self._closing = True
        self._waiting.clear()
        self._can_write.set()
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._can_write.clear()

    def resume_writing(self) -> None:
        self._can_write.set()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        begun_at_s = self._begun_at_s
        self._reset_request()
        self._begun_at_s = begun_at_s if begun_at_s is not None else self._loop.time()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields.append((name.lower(), value))
        self._field_bytes += len(name) + len(value) + 4
        if self._field_bytes > self._policy.limits().max_header_bytes:
            self._refusal = 431
            raise httptools.HttpParserError("head too long")

    def on_headers_complete(self) -> None:
        self._in_body = True
        self._head_bytes = 0
        limit_bytes = self._policy.limits().max_body_bytes
        for key, value in self._fields:
            if key == b"content-length" and value.isdigit() and int(value) > limit_bytes:
                self._refusal = 413
                raise httptools.HttpParserError("body too long")
            if key == b"expect" and value.lower() == b"100-continue" and self._task is None:
                self.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._policy.limits().max_body_bytes:
            self._refusal = 413
            raise httptools.HttpParserError("body too long")

    def on_message_complete(self) -> None:
        now_s = self._loop.time()
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target,
            headers=self._fields,
            body=b"".join(self._body),
            received_at_s=self._begun_at_s if self._begun_at_s is not None else now_s,
            read_at_s=now_s,
            keep_alive=self._parser.should_keep_alive(),
            version=self._parser.get_http_version(),
        )
        self._reset_request()
        self._completed += 1
        self._waiting.append(request)
        if len(self._waiting) >= MAX_PIPELINED and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._next()

    # Requests in their order.

    def _next(self) -> None:
        if self._task is None and self._waiting:
            self._disarm()
            request = self._waiting.popleft()
            if self._paused and self._transport is not None:
                self._paused = False
                self._transport.resume_reading()
            self._task = self._loop.create_task(self._answer(request))

    async def _answer(self, request: Request) -> None:
        responder = Responder(self, request)
        try:
            await self._policy.handler(request, responder)
        finally:
            self._task = None
            if not responder.finished:
                responder.abort()
            elif self._closing:
                self._end_after_answer()
            else:
                self._idle_since_s = self._loop.time()
                self._arm()
                self._next()

    def _end_after_answer(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _refuse(self, status: int) -> None:
        """Answer what cannot be read as a request within the bounds, and end the connection."""
        self._closing = True
        if self._task is not None or self._waiting:
            # The answers of the requests before it still go out; then the connection ends.
            return
        self.write(
            write_response(status, b"", [(b"content-length", b"0"), (b"connection", b"close")])
        )
        if self._transport is not None:
            self._transport.close()

    # Times of the caller.

    def _arm(self) -> None:
        self._disarm()
        limits = self._policy.limits()
        self._timer = self._loop.call_later(
            min(limits.header_timeout_s, limits.idle_timeout_s), self._check_time
        )

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check_time(self) -> None:
        self._timer = None
        if self._task is not None or self._transport is None:
            return
        limits = self._policy.limits()
        now_s = self._loop.time()
        if self._begun_at_s is not None and not self._in_body:
            if now_s - self._begun_at_s >= limits.header_timeout_s:
                self._refuse(408)
                return
        elif self._begun_at_s is None and now_s - self._idle_since_s >= limits.idle_timeout_s:
            self._transport.close()
            return
        elif self._in_body and now_s - (self._begun_at_s or now_s) >= limits.idle_timeout_s:
            self._refuse(408)
            return
        self._arm()

    def _reset_request(self) -> None:
        self._begun_at_s = None
        self._target = b""
        self._fields = []
        self._field_bytes = 0
        self._head_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._in_body = False
        self._refusal = 0


async def listen(
    host: str, port: int, policy: ServerPolicy, connections: set[ServerConnection]
) -> asyncio.Server:
    """Accept connections on an address."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: ServerConnection(policy, connections), host, port, backlog=1024
    )
