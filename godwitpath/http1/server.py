"""HTTP/1.1 server connections that handle size-limited requests one at a time.

The body of a request is received completely before the request is handled. An unfinished response
closes its connection, so that callers cannot mistake it for a complete one.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import httptools

from godwitpath.http1.messages import Request, encode_response_head
from godwitpath.http1.open_connections import Phase
from godwitpath.http1.request_parts import RequestParts
from godwitpath.http1.resets import reset as reset_transport
from godwitpath.http1.responder import Responder
from godwitpath.http1.response_limits import UNSHARED_BODY_BYTES
from godwitpath.http1.server_policy import ServerPolicy
from godwitpath.http1.turns import FIRST_READ_BYTES, is_heavy, next_read_bytes, read_turns
from godwitpath.telemetry.decisions import decision

MAX_PIPELINED_REQUESTS = 16
"""Number of requests waiting on one connection at which it parses and reads no further."""

PARSE_BYTES = 2_048
"""Most received bytes that are parsed before the waiting requests are counted: a request can be as
short as 18 bytes."""

MAX_REFUSAL_S = 0.001
"""Longest time of a request that counts as the cost of a turn. A longer one waits for others."""

WRITE_HIGH_WATER_BYTES = 65_536
"""Number of unsent response bytes of a connection above which :meth:`Responder.drain` waits."""

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerConnection(asyncio.BufferedProtocol):
    """Server side of a caller's connection."""

    def __init__(self, policy: ServerPolicy, connections: set[ServerConnection]) -> None:
        self._policy = policy
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._loop = asyncio.get_running_loop()
        self._turns = read_turns()
        self._read_bytes = FIRST_READ_BYTES
        # Received bytes that are not parsed yet, since enough requests are waiting.
        self._unparsed = b""
        self._received_at_s = 0.0
        self._pending_requests: deque[Request] = deque()
        self._handler_task: asyncio.Task[None] | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._parts = RequestParts()
        # Size of the bodies of requests that wait or are being handled.
        self._complete_body_bytes = 0
        self._reading_paused = False
        self._reads_in_turn = False
        self._awaits_turn = False
        # Whether the request that is being handled was begun in turn.
        self._begun_in_turn = False
        self._closing = False
        self._idle_since_s = self._loop.time()
        self._completed_requests = 0

    @property
    def idle(self) -> bool:
        """Whether no request is being received, pending or being handled."""
        return self._phase() is Phase.IDLE

    def may_keep_alive(self) -> bool:
        """Return whether the connection may stay open after the current response."""
        return self._policy.keep_alive_allowed() and not self._closing

    def write(self, data: bytes) -> None:
        """Write bytes if the connection is still open."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(data)
        if not self._can_write.is_set():
            unsent_bytes = self._transport.get_write_buffer_size()
            self._policy.unsent.hold(self, unsent_bytes, self._end_unread)

    async def drain(self) -> None:
        """Wait until the write buffer has drained below its low-water mark."""
        await self._can_write.wait()

    def finish_response(self, close: bool) -> None:
        """Record that a response was finished.

        :param close: whether the connection closes after the response
        """
        if close:
            self._closing = True

    def disconnect(self, reset: bool) -> None:
        """Close the connection during a response.

        :param reset: whether to send a reset, because an orderly close would make the response look
            complete
        """
        self._closing = True
        if self._transport is None:
            return
        if reset:
            reset_transport(self._transport)
        else:
            self._close_transport()

    def close_if_idle(self, for_s: float = 0.0) -> None:
        """Close the connection unless a request is being received, pending or being handled.

        :param for_s: time for which the connection must have been idle
        """
        idle_s = self._loop.time() - self._idle_since_s
        if self.idle and idle_s >= for_s:
            self._close_transport()

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._connections.add(self)
        self._start_timer()
        self._policy.open_connections.add(self, self._end_unserved, self._loop.time())

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._turns.buffer[: self._read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self._turns.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, as far as the waiting requests allow."""
        if self._closing:
            return
        started_at_s = self._received_at_s = self._loop.time()
        pieces_before = self._parts.pieces
        self._unparsed += data
        self._parse_received()
        pieces = self._parts.pieces - pieces_before
        self._read_bytes = next_read_bytes(self._read_bytes, len(data), pieces)
        self._hold_bodies()
        if is_heavy(len(data), pieces) and not self._closing:
            self._turns.note_cost(self._loop.time() - started_at_s)
            self._reads_in_turn = True
            self._pause_or_resume_reading()
            self._wait_for_turn()

    def _parse_received(self) -> None:
        """Parse what was received until enough requests are waiting, then read on if it was all."""
        data, self._unparsed = self._unparsed, b""
        start = 0
        while start < len(data) and not self._closing:
            too_large = self._pending_requests and self._complete_body_bytes > UNSHARED_BODY_BYTES
            if too_large or len(self._pending_requests) >= MAX_PIPELINED_REQUESTS:
                self._unparsed = data[start:]
                break
            self._parse(data[start : start + PARSE_BYTES])
            start += PARSE_BYTES
        self._note_phase()
        self._pause_or_resume_reading()

    def _parse(self, data: bytes) -> None:
        if self._parts.started_at_s is None:
            self._parts.started_at_s = self._received_at_s
        completed_before, body_bytes_before = self._completed_requests, len(self._parts.body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported. Bytes after the request are ignored.
            self._closing = True
        except httptools.HttpParserError:
            self._reject(self._parts.error_status or 400)
            return
        if self._completed_requests > completed_before:
            return
        body_bytes = len(self._parts.body) - body_bytes_before
        if not self._parts.framing_allowed(len(data), body_bytes, self._policy.limits()):
            self._reject(431)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self)
        self._policy.open_connections.remove(self)
        self._transport = None
        self._closing = True
        self._unparsed = b""
        self._parts = RequestParts()
        self._pending_requests.clear()
        self._policy.received.release(self)
        self._policy.unsent.release(self)
        self._can_write.set()
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        if self._handler_task is not None:
            self._handler_task.cancel()

    def pause_writing(self) -> None:
        self._can_write.clear()

    def resume_writing(self) -> None:
        self._can_write.set()
        self._policy.unsent.release(self)

    # Parser callbacks.

    def on_message_begin(self) -> None:
        started_at_s = self._parts.started_at_s
        self._parts = RequestParts(self._received_at_s if started_at_s is None else started_at_s)

    def on_url(self, url: bytes) -> None:
        self._parts.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._parts.add_field(name, value, self._policy.limits())

    def on_headers_complete(self) -> None:
        self._parts.complete_head(self._policy.limits())
        for key, value in self._parts.headers:
            if key == b"expect" and value.lower() == b"100-continue" and self._handler_task is None:
                self.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        self._parts.add_body(body, self._policy.limits())

    def on_message_complete(self) -> None:
        parts, now_s = self._parts, self._loop.time()
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            target=parts.target,
            headers=parts.headers,
            body=bytes(parts.body),
            received_at_s=now_s if parts.started_at_s is None else parts.started_at_s,
            completed_at_s=now_s,
            keep_alive=self._parser.should_keep_alive(),
            version=self._parser.get_http_version(),
        )
        self._parts = RequestParts()
        self._complete_body_bytes += len(request.body)
        self._completed_requests += 1
        self._pending_requests.append(request)
        if len(self._pending_requests) == 1 and not self._awaits_turn:
            self._start_next_request()

    # Handling of requests in their order of arrival.

    def _start_next_request(self) -> None:
        if self._handler_task is None and self._pending_requests:
            self._cancel_timer()
            request = self._pending_requests.popleft()
            self._handler_task = self._loop.create_task(self._handle(request))

    async def _handle(self, request: Request) -> None:
        responder = Responder(self, request)
        started_at_s = self._loop.time()
        try:
            await self._policy.handler(request, responder)
        finally:
            if self._begun_in_turn:
                self._turns.note_cost(min(MAX_REFUSAL_S, self._loop.time() - started_at_s))
            self._begun_in_turn = False
            self._complete_body_bytes -= len(request.body)
            self._hold_bodies()
            self._handler_task = None
            if not responder.finished:
                responder.abort()
            elif self._closing:
                self._close_transport()
            else:
                self._idle_since_s = self._loop.time()
                self._start_timer()
                self._note_phase()
                if self._pending_requests or self._unparsed:
                    self._wait_for_turn()

    def _wait_for_turn(self) -> None:
        """Start the next request, and read on, when it is this connection's turn."""
        if not self._awaits_turn and not self._closing:
            self._awaits_turn = True
            self._turns.wait(self._policy, self._take_turn)

    def _take_turn(self) -> bool:
        self._awaits_turn = self._reads_in_turn = False
        if self._transport is None:
            return False
        self._begun_in_turn = self._handler_task is None
        self._start_next_request()
        self._parse_received()
        return True

    def _pause_or_resume_reading(self) -> None:
        must_pause = bool(self._unparsed) or self._reads_in_turn
        if self._transport is None or must_pause is self._reading_paused:
            return
        self._reading_paused = must_pause
        if must_pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _close_transport(self) -> None:
        """Close the connection once its caller has read what was written, but not much later."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.close()
            self._loop.call_later(self._policy.limits().idle_timeout_s, self._transport.abort)

    def _hold_bodies(self) -> None:
        """State how much the bodies take that are being received, wait, or are being handled.

        A connection whose requests are complete is not ended: they are responded to.
        """
        if self._transport is not None:
            body_bytes = self._complete_body_bytes + len(self._parts.body)
            end = self._end_receiving if self._parts.body else None
            self._policy.received.hold(self, body_bytes, end)

    def _phase(self) -> Phase:
        if self._handler_task is not None or self._pending_requests or self._unparsed:
            return Phase.HANDLING
        return Phase.IDLE if self._parts.started_at_s is None else Phase.RECEIVING

    def _note_phase(self) -> None:
        """State what the connection is doing; it is not idle while a response is being sent."""
        if self._transport is not None:
            sending = self._transport.get_write_buffer_size() > 0
            phase = Phase.HANDLING if sending else self._phase()
            self._policy.open_connections.note_phase(self, phase)

    def _end_unserved(self) -> None:
        """Close the connection, which has no complete request, and its file at once."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def _end_unread(self, unsent_bytes: int) -> None:
        decision("caller_ended", reason="unread response", held_bytes=unsent_bytes)
        self.disconnect(reset=True)

    def _end_receiving(self, body_bytes: int) -> None:
        decision("caller_ended", reason="request body", held_bytes=body_bytes)
        self._reject(503)

    def _reject(self, status: int) -> None:
        """Reject an invalid, oversized or late request and close the connection."""
        self._closing = True
        if self._handler_task is not None or self._pending_requests:
            # The response to the active request is still sent before the connection closes.
            return
        self.write(
            encode_response_head(
                status, b"", [(b"content-length", b"0"), (b"connection", b"close")]
            )
        )
        self._close_transport()

    # Timeouts for callers.

    def _start_timer(self) -> None:
        self._cancel_timer()
        limits = self._policy.limits()
        self._timeout_timer = self._loop.call_later(
            min(limits.header_timeout_s, limits.idle_timeout_s), self._check_timeouts
        )

    def _cancel_timer(self) -> None:
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
            self._timeout_timer = None

    def _check_timeouts(self) -> None:
        self._timeout_timer = None
        if self._handler_task is not None or self._transport is None:
            return
        limits = self._policy.limits()
        now_s = self._loop.time()
        started_at_s = self._parts.started_at_s
        if started_at_s is None:
            if now_s - self._idle_since_s >= limits.idle_timeout_s:
                self._close_transport()
                return
        else:
            complete = self._parts.head_complete
            limit_s = limits.idle_timeout_s if complete else limits.header_timeout_s
            if now_s - started_at_s >= limit_s:
                self._reject(408)
                return
        self._note_phase()
        self._start_timer()
