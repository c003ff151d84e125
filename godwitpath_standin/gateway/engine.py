"""Stand-in for an engine of the platform that records its runs and fails requests by script."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgspec

from godwitpath.decoding import parse_whole
from godwitpath.http1.messages import Headers, Request, encode_response_head
from godwitpath.http1.responder import Responder
from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.endless import REPEATED, EndlessKind, endless_start
from godwitpath_standin.gateway.server import StandinServer

LATE_COPY_S = 0.03
"""Time from a response to its late copy."""


class Fault(StrEnum):
    """Fault of one request."""

    NONE = "none"
    SHED = "shed"
    """Refuses the request as not run."""
    ERROR = "error"
    """Runs the request and responds with status 500."""
    HANG = "hang"
    """Runs the request and sends no response."""
    RESET = "reset"
    """Runs the request and resets the connection instead of a response."""
    RESET_MID_STREAM = "reset_mid_stream"
    """Resets the connection in the middle of the third event that it sends."""
    TRICKLE = "trickle"
    """Sends two events of a stream, and then single bytes of an event that never ends."""
    SECOND_ANSWER = "second_answer"
    """Sends another response after the correct one."""
    LATE_COPY = "late_copy"
    """Sends a copy of the response while the connection may already carry the next request."""
    NO_STAMP = "no_stamp"
    """Sends the response without the header `X-Response-Stamp`, which marks it as the engine's."""
    SHORT_BODY = "short_body"
    """Sends a body shorter than its Content-Length."""
    UNFRAMED = "unframed"
    """Sends a body with neither a length nor chunks, and closes the connection at its end."""
    UNFRAMED_CUT = "unframed_cut"
    """Closes such a connection in the middle of the body, for a stream inside an event."""
    UNFRAMED_UNCLOSED = "unframed_unclosed"
    """Closes it after all events of a stream, without the empty line that ends the last one."""
    UNFRAMED_EMPTY = "unframed_empty"
    """Closes it before any byte of the body."""
    UNFRAMED_RESET = "unframed_reset"
    """Resets it at the end of the body."""


UNFRAMED_FAULTS = frozenset(each for each in Fault if each.startswith("unframed"))
"""Faults that concern a body with neither a length nor chunks."""


@dataclass(frozen=True, slots=True)
class RequestCopy:
    """What all copies of a request have in common at an engine.

    :ivar account: name of the client account, empty for an anonymous request
    """

    target: bytes
    account: bytes
    body: bytes


CrashSubject = str | RequestCopy
"""What crashes engines: a part of prompts, or a request."""


@dataclass(slots=True)
class Run:
    """A run of a request at an engine.

    :ivar started_at_s: loop time of the start of the run
    :ivar ended: whether the run ended with a complete response
    :ivar ended_at_s: loop time of the end of the run, 0 before
    :ivar cancelled: whether the caller's connection was closed before the run ended
    :ivar moved_away: whether the run was moved to another engine
    """

    request_id: bytes
    request: Request
    started_at_s: float = 0.0
    ended: bool = False
    ended_at_s: float = 0.0
    cancelled: bool = False
    moved_away: bool = False


@dataclass(slots=True)
class Arrival:
    """A request that reached an engine, run or refused.

    :ivar limit: limit that the engine stated in its response
    :ivar answered_at_s: loop time at which the engine sent the head of its response, 0 before
    :ivar retry_after: pause in seconds that the engine asked for in its response, empty for none
    :ivar shared_parts: ids of the prompt's parts without the last one
    :ivar copy: what the copies of the request have in common, None if it was not recorded
    """

    request_id: bytes
    at_s: float
    limit: str = ""
    answered_at_s: float = 0.0
    retry_after: str = ""
    shared_parts: tuple[str, ...] = ()
    copy: RequestCopy | None = None


@dataclass(slots=True)
class EngineStandin:
    """Engine with scripted faults.

    :ivar engine_id: instance identifier; a request that expects another instance is refused
    :ivar events: number of events of a stream
    :ivar event_s: time until the first event and between two events
    :ivar script: faults of the next requests, in order of arrival
    :ivar limit: value of the header `Server-Limit`, empty to state no limit
    :ivar leaving: value of the header `Server-Leaving`, empty to state nothing
    :ivar retry_after: value of the header `Retry-After` in refusals, empty to state none
    :ivar refuses: whether every request is refused as not run
    :ivar endless: what the engine sends without end in response to a request that it runs, None to
        respond properly
    :ivar arrivals: requests in the order in which they arrived
    :ivar runs: runs in the order of their start
    :ivar refused: number of requests refused as not run, by HTTP status
    :ivar moves: request identifier and target of each moved run
    :ivar move_status: HTTP status of the response to a move
    :ivar crashing_parts: prompt parts, other than a prompt's last one, on which the engine crashes
        when it begins to write a response; may be shared between engines
    :ivar crashing_requests: requests that crash the engine after it has begun to run them; may be
        shared between engines
    :ivar crash_after_s: time from the start of such a run to the crash
    :ivar on_crash: called when the engine crashes
    :ivar crashed_at_s: loop time at which it crashed, 0 before
    :ivar crashed_on: what it crashed on, empty before
    """

    engine_id: str
    events: int = 5
    event_s: float = 0.01
    script: deque[Fault] = field(default_factory=deque)
    limit: str = ""
    leaving: str = ""
    retry_after: str = ""
    refuses: bool = False
    endless: EndlessKind | None = None
    arrivals: list[Arrival] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    refused: Counter[int] = field(default_factory=Counter)
    moves: list[tuple[str, str]] = field(default_factory=list)
    move_status: int = 200
    crashing_parts: set[str] = field(default_factory=set)
    crashing_requests: set[RequestCopy] = field(default_factory=set)
    crash_after_s: float = 0.08
    on_crash: Callable[[], None] = lambda: None
    crashed_at_s: float = 0.0
    crashed_on: CrashSubject = ""
    address: Address = field(default_factory=lambda: Address("127.0.0.1", 0))
    _server: StandinServer = field(init=False)

    def __post_init__(self) -> None:
        self._server = StandinServer(self._handle)

    async def start(self) -> Address:
        """Listen and return the address."""
        self.address = await self._server.start()
        return self.address

    async def stop(self) -> None:
        """Stop listening and reset every connection, as in a crash."""
        await self._server.stop()

    def entry(self, service: str, zone: str = "a", **fields: Any) -> bytes:
        """Return the store entry of the engine.

        :param fields: fields to replace
        """
        return msgspec.json.encode(
            {
                "service": service,
                "address": str(self.address),
                "zone": zone,
                "version": "v1",
                "slots": 4,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": 1,
            }
            | fields
        )

    async def _handle(self, request: Request, responder: Responder) -> None:
        if request.target == b"/kv-move":
            self._move(request, responder)
            return
        request_id = request.header(b"x-attempt-id")
        headers: Headers = [(b"X-Attempt-Id", request_id)]
        now_s = asyncio.get_running_loop().time()
        copy = RequestCopy(request.target, request.header(b"x-tenant"), request.body)
        arrival = Arrival(
            request_id, now_s, self.limit, shared_parts=_shared_parts(request), copy=copy
        )
        self.arrivals.append(arrival)
        if arrival.limit:
            headers.append((b"Server-Limit", arrival.limit.encode()))
        headers.extend(self._notices())
        expected = request.header(b"x-expect-instance")
        if expected and expected != self.engine_id.encode():
            self.refused[421] += 1
            arrival.answered_at_s = arrival.at_s
            responder.respond(421, [*headers, (b"X-Instance-Id", self.engine_id.encode())], b"")
            return
        fault = self.script.popleft() if self.script else Fault.NONE
        if fault is Fault.SHED or self.refuses:
            self.refused[503] += 1
            arrival.answered_at_s = arrival.at_s
            arrival.retry_after = self.retry_after
            if self.retry_after:
                headers.append((b"Retry-After", self.retry_after.encode()))
            responder.respond(503, [*headers, (b"X-Not-Executed", b"1")], b"")
            return
        run = Run(request_id, request, asyncio.get_running_loop().time())
        self.runs.append(run)
        if fault is not Fault.NO_STAMP:
            headers.append((b"X-Response-Stamp", f"stamp-{self.engine_id}".encode()))
        try:
            if self.endless:
                await self._respond_without_end(request, responder, headers, self.endless)
            elif copy in self.crashing_requests:
                await asyncio.sleep(self.crash_after_s)
                await self._crash(copy)
            elif b"stream" in request.target:
                arrival.answered_at_s = arrival.at_s
                await self._stream(run, responder, headers, fault)
            else:
                await self._respond_plain(responder, headers, fault, request_id)
                arrival.answered_at_s = asyncio.get_running_loop().time()
            run.ended = responder.finished
            run.ended_at_s = asyncio.get_running_loop().time()
        except asyncio.CancelledError:
            run.cancelled = True
            raise

    async def _crash(self, subject: CrashSubject) -> None:
        if not self.crashed_on:
            self.crashed_on = subject
            self.crashed_at_s = asyncio.get_running_loop().time()
            self.on_crash()
            await self.stop()
        # The reset connection cancels this run.
        await asyncio.sleep(3600)

    def _move(self, request: Request, responder: Responder) -> None:
        """Move a run away: stop it, which closes its connection without a complete response."""
        order = msgspec.json.decode(request.body)
        matching_runs = [run for run in self.runs if run.request_id.decode() == order["id"]]
        if not matching_runs or matching_runs[-1].ended or self.move_status == 404:
            responder.respond(404, self._notices(), b"{}")
            return
        self.moves.append((order["id"], order["to"]))
        matching_runs[-1].moved_away = True
        answer = {"handle": f"h-{order['id']}", "createRevision": 1}
        responder.respond(self.move_status, self._notices(), msgspec.json.encode(answer))

    def _notices(self) -> Headers:
        """Return the header fields of the engine's notices."""
        return [(b"Server-Leaving", self.leaving.encode())] if self.leaving else []

    async def _respond_without_end(
        self, request: Request, responder: Responder, headers: Headers, kind: EndlessKind
    ) -> None:
        """Send until the connection is closed, which cancels the run."""
        if b"stream" in request.target:
            headers.append((b"content-type", b"text/event-stream"))
        connection = responder._connection
        connection.write(endless_start(kind, headers))
        while True:
            connection.write(REPEATED[kind])
            await connection.drain()
            await asyncio.sleep(0)

    async def _respond_plain(
        self, responder: Responder, headers: Headers, fault: Fault, request_id: bytes
    ) -> None:
        await asyncio.sleep(self.event_s)
        body = b"answer to " + request_id
        if fault in UNFRAMED_FAULTS:
            await self._respond_unframed(responder, headers, body, fault)
        elif fault is Fault.HANG:
            await asyncio.sleep(3600)
        elif fault is Fault.RESET:
            responder.abort()
        elif fault is Fault.ERROR:
            responder.respond(500, headers, b"failed")
        elif fault is Fault.SHORT_BODY:
            responder.start(200, b"", headers, len(body) + 10)
            responder.send(body)
            await asyncio.sleep(0.01)
            responder.abort()
        else:
            responder.respond(200, headers, body)
            if fault is Fault.LATE_COPY:
                length = (b"Content-Length", b"%d" % len(body))
                copy = encode_response_head(200, b"OK", [*headers, length]) + body
                loop = asyncio.get_running_loop()
                loop.call_later(LATE_COPY_S, responder._connection.write, copy)
            if fault is Fault.SECOND_ANSWER:
                extra_headers = [(b"X-Attempt-Id", b"other"), (b"Content-Length", b"5")]
                responder._connection.write(
                    encode_response_head(200, b"OK", extra_headers) + b"wrong"
                )

    async def _respond_unframed(
        self, responder: Responder, headers: Headers, body: bytes, fault: Fault
    ) -> None:
        """Send a body that ends with its connection, or that a fault cuts."""
        connection = responder._connection
        connection.write(encode_response_head(200, b"OK", [*headers, (b"connection", b"close")]))
        await asyncio.sleep(self.event_s)
        if fault is Fault.UNFRAMED_CUT:
            body = body[: len(body) // 2 + 1]
        elif fault is Fault.UNFRAMED_UNCLOSED:
            body = body[:-1]
        elif fault is Fault.UNFRAMED_EMPTY:
            body = b""
        connection.write(body)
        await asyncio.sleep(self.event_s)
        if fault is Fault.UNFRAMED_RESET:
            connection.disconnect(reset=True)
            return
        responder.finished = True
        connection.finish_response(close=True)

    async def _stream(self, run: Run, responder: Responder, headers: Headers, fault: Fault) -> None:
        last_event_id = run.request.header(b"last-event-id")
        first_number = (parse_whole(last_event_id) or 0) + 1
        headers.append((b"content-type", b"text/event-stream"))
        if fault in UNFRAMED_FAULTS:
            numbers = range(first_number, self.events + 1)
            body = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)
            await self._respond_unframed(responder, headers, body, fault)
            return
        responder.start(200, b"", headers, None)
        for number in range(first_number, self.events + 1):
            await asyncio.sleep(self.event_s)
            if run.moved_away:
                responder.abort()
                return
            if fault is Fault.HANG:
                await asyncio.sleep(3600)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if crashing := self.crashing_parts.intersection(_shared_parts(run.request)):
                responder.send(event[:5])
                await self._crash(min(crashing))
            while fault is Fault.TRICKLE and number == first_number + 2:
                responder.send(b"x")
                await asyncio.sleep(self.event_s)
            if fault is Fault.RESET_MID_STREAM and number == first_number + 2:
                responder.send(event[:5])
                await asyncio.sleep(0.01)
                responder.abort()
                return
            responder.send(event)
        responder.finish()


def _shared_parts(request: Request) -> tuple[str, ...]:
    """Return the ids of the parts of a request's prompt without the last one."""
    entries = request.header(b"x-prompt-prefix").decode().split(",")
    return tuple(entry.partition(":")[0] for entry in entries[:-1])
