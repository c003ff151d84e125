"""An engine in the platform's form, that records what it ran, and fails as it is told."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgspec

from godwitpath.http1.messages import Headers, Request, encode_response_head
from godwitpath.http1.server import Responder
from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.server import StandinServer


class Fault(StrEnum):
    """What goes wrong with one request."""

    NONE = "none"
    SHED = "shed"
    """It is refused as not run."""
    ERROR = "error"
    """It runs and ends with 500."""
    HANG = "hang"
    """It runs and is not answered."""
    RESET = "reset"
    """It runs, and the connection is reset in place of an answer."""
    RESET_MID_STREAM = "reset_mid_stream"
    """The connection is reset in the middle of the third event."""
    SECOND_ANSWER = "second_answer"
    """Another answer follows the right one."""
    NO_STAMP = "no_stamp"
    """The answer lacks the engine's mark."""
    SHORT_BODY = "short_body"
    """The body is shorter than stated."""


@dataclass(slots=True)
class Run:
    """A request that an engine ran.

    :ivar began_at_s: loop time at which it began
    :ivar ended: whether it ran to its end and was answered whole
    :ivar ended_at_s: loop time at which it ended, 0 before
    :ivar cancelled: whether its connection was closed before
    :ivar stopped: whether it was moved away
    """

    request_id: bytes
    request: Request
    began_at_s: float = 0.0
    ended: bool = False
    ended_at_s: float = 0.0
    cancelled: bool = False
    stopped: bool = False


@dataclass(slots=True)
class EngineStandin:
    """An engine.

    :ivar engine_id: name under which it takes requests
    :ivar events: events of a stream
    :ivar event_s: time between two events, and until the first
    :ivar script: faults of the next requests, in their order
    :ivar runs: requests that it ran
    :ivar refused: requests that it refused as not run, by status
    :ivar moves: runs that were moved away, with where they went
    :ivar move_status: answer to the call that moves a run
    """

    engine_id: str
    events: int = 5
    event_s: float = 0.01
    script: deque[Fault] = field(default_factory=deque)
    runs: list[Run] = field(default_factory=list)
    refused: Counter[int] = field(default_factory=Counter)
    moves: list[tuple[str, str]] = field(default_factory=list)
    move_status: int = 200
    address: Address = field(default_factory=lambda: Address("127.0.0.1", 0))
    _server: StandinServer = field(init=False)

    def __post_init__(self) -> None:
        self._server = StandinServer(self._answer)

    async def start(self) -> Address:
        """Listen; returns where."""
        self.address = await self._server.start()
        return self.address

    async def stop(self) -> None:
        """Stop at once, as in a crash."""
        await self._server.stop()

    def entry(self, service: str, zone: str = "a", **fields: Any) -> bytes:
        """Return the value of its key in the store."""
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

    async def _answer(self, request: Request, responder: Responder) -> None:
        if request.target == b"/kv-move":
            self._move(request, responder)
            return
        request_id = request.header(b"x-attempt-id")
        headers: Headers = [(b"X-Attempt-Id", request_id)]
        expected = request.header(b"x-expect-instance")
        if expected and expected != self.engine_id.encode():
            self.refused[421] += 1
            responder.respond(421, [*headers, (b"X-Instance-Id", self.engine_id.encode())], b"")
            return
        fault = self.script.popleft() if self.script else Fault.NONE
        if fault is Fault.SHED:
            self.refused[503] += 1
            responder.respond(503, [*headers, (b"X-Not-Executed", b"1")], b"")
            return
        run = Run(request_id, request, asyncio.get_running_loop().time())
        self.runs.append(run)
        if fault is not Fault.NO_STAMP:
            headers.append((b"X-Response-Stamp", f"stamp-{self.engine_id}".encode()))
        try:
            if b"stream" in request.target:
                await self._stream(run, responder, headers, fault)
            else:
                await self._plain(responder, headers, fault, request_id)
            run.ended = responder.finished
            run.ended_at_s = asyncio.get_running_loop().time()
        except asyncio.CancelledError:
            run.cancelled = True
            raise

    def _move(self, request: Request, responder: Responder) -> None:
        """Stop a run; its connection is closed without its end."""
        order = msgspec.json.decode(request.body)
        running = [run for run in self.runs if run.request_id.decode() == order["id"]]
        if not running or running[-1].ended or self.move_status == 404:
            responder.respond(404, [], b"{}")
            return
        self.moves.append((order["id"], order["to"]))
        running[-1].stopped = True
        answer = {"handle": f"h-{order['id']}", "createRevision": 1}
        responder.respond(self.move_status, [], msgspec.json.encode(answer))

    async def _plain(
        self, responder: Responder, headers: Headers, fault: Fault, request_id: bytes
    ) -> None:
        await asyncio.sleep(self.event_s)
        body = b"answer to " + request_id
        if fault is Fault.HANG:
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
            if fault is Fault.SECOND_ANSWER:
                extra = [(b"X-Attempt-Id", b"other"), (b"Content-Length", b"5")]
                responder._connection.write(encode_response_head(200, b"OK", extra) + b"wrong")

    async def _stream(self, run: Run, responder: Responder, headers: Headers, fault: Fault) -> None:
        last = run.request.header(b"last-event-id")
        first = int(last) + 1 if last else 1
        responder.start(200, b"", [*headers, (b"content-type", b"text/event-stream")], None)
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            if run.stopped:
                responder.abort()
                return
            if fault is Fault.HANG:
                await asyncio.sleep(3600)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if fault is Fault.RESET_MID_STREAM and number == first + 2:
                responder.send(event[:5])
                await asyncio.sleep(0.01)
                responder.abort()
                return
            responder.send(event)
        responder.finish()
