"""Sends the responses of request records to callers, streamed or complete."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from godwitpath.entry.context import EntryContext
from godwitpath.entry.openai_format import EventWriter, complete_body
from godwitpath.entry.position import Position
from godwitpath.entry.refusals import STATUS_BY_REASON, CallerError, error_body, error_response
from godwitpath.records.reader import RecordLost
from godwitpath.records.record import OffsetUnknown, Outcome, RecordRef

CONTENT_TYPE_EVENTS = "text/event-stream; charset=utf-8"

KEEP_ALIVE_S = 1.0
"""Interval between keep-alive comments on a stream."""

RECORD_LOST_RETRY_S = 2.0
"""Retry-after of a response whose request record no reachable entry holds."""

KEEP_ALIVE_COMMENT = b": alive\n\n"
"""Comment of a server-sent event stream; clients ignore it."""

MESSAGE_BY_REASON: dict[str, str] = {
    "outcome_unknown": "whether the call ran is not known",
    "deadline_exceeded": "the request was not finished within its time",
    "no_upstream": "no upstream could take the request",
    "store_unavailable": "the platform's store cannot be reached, so the call was not sent",
    "upstream_failed": "the upstream failed",
    "cancelled": "the request was cancelled",
    "overloaded": "the request could not be served within its latency target",
}
"""Error message by reason of an outcome."""


def outcome_error(outcome: Outcome) -> CallerError:
    """Return the error that reports an outcome without a response to the caller."""
    reason = outcome.reason if outcome.reason in STATUS_BY_REASON else "internal_error"
    message = MESSAGE_BY_REASON.get(outcome.reason, outcome.reason)
    return CallerError(reason, message, ran=outcome.ran, retry_after_s=outcome.retry_after_s)


def delivery_error(error: OffsetUnknown | RecordLost) -> CallerError:
    """Return the error for a response that may exist but cannot be delivered from the position."""
    if isinstance(error, OffsetUnknown):
        message = "the answer cannot be continued from there; ask for it whole"
        return CallerError("outcome_unknown", message, ran="yes")
    message = "no entry that holds the request can be reached"
    return CallerError("outcome_unknown", message, ran="unknown", retry_after_s=RECORD_LOST_RETRY_S)


def plain_response(outcome: Outcome, request_id: str, replayed: bool = False) -> Response:
    """Return the HTTP response for the outcome of a plain call.

    :param replayed: whether the outcome belongs to an earlier request
    """
    if outcome.reason:
        return error_response(outcome_error(outcome), request_id)
    response = Response(outcome.body, status_code=outcome.status)
    for name, value in outcome.headers:
        response.headers.append(name, value)
    response.headers["x-request-id"] = request_id
    if replayed:
        response.headers["x-replayed"] = "true"
    return response


async def complete_response(context: EntryContext, ref: RecordRef) -> Response:
    """Wait until a generation is finished and return its complete response."""
    outcome = await context.records.outcome(ref)
    if outcome.reason:
        return error_response(outcome_error(outcome), ref.request_id)
    pieces = [piece async for batch in context.records.follow(ref, 0) for piece in batch]
    text = "".join(piece.text for piece in pieces)
    tokens = sum(piece.tokens for piece in pieces)
    body = complete_body(ref, outcome, text, tokens, int(time.time()))
    headers = {"x-request-id": ref.request_id}
    return Response(body, media_type="application/json", headers=headers)


class EventStream(Response):
    """Streams a generation as server-sent events, starting at a position.

    :param on_end: called when the response ends or the caller disconnects
    """

    def __init__(
        self,
        context: EntryContext,
        ref: RecordRef,
        position: Position,
        include_usage: bool,
        on_end: Callable[[RecordRef], None],
    ) -> None:
        super().__init__(b"", media_type=CONTENT_TYPE_EVENTS)
        self._context = context
        self._ref = ref
        self._position = position
        self._writer = EventWriter(ref, int(time.time()), include_usage)
        self._on_end = on_end

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the events until the response ends or the caller disconnects."""
        headers = [
            (b"content-type", CONTENT_TYPE_EVENTS.encode()),
            (b"cache-control", b"no-store"),
            (b"x-request-id", self._ref.request_id.encode()),
        ]
        response_task = asyncio.current_task()
        disconnect = asyncio.create_task(_wait_for_disconnect(receive))
        if response_task is not None:
            disconnect.add_done_callback(lambda done: done.cancelled() or response_task.cancel())
        keep_alive = asyncio.create_task(self._keep_alive(send))
        try:
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            await self._send_events(send, keep_alive)
            disconnect.cancel()
        except asyncio.CancelledError:
            if not disconnect.done() or disconnect.cancelled():
                raise
            # The caller disconnected: the stream ends, but the request may continue.
            if response_task is not None:
                response_task.uncancel()
        finally:
            disconnect.cancel()
            keep_alive.cancel()
            self._on_end(self._ref)

    async def _keep_alive(self, send: Send) -> None:
        """Send comments that let the caller distinguish a slow response from a lost connection."""
        while True:
            await asyncio.sleep(KEEP_ALIVE_S)
            await _send_chunk(send, KEEP_ALIVE_COMMENT)

    async def _send_events(self, send: Send, keep_alive: asyncio.Task[None]) -> None:
        try:
            await self._send_response(send, keep_alive)
        except (OffsetUnknown, RecordLost) as error:
            keep_alive.cancel()
            body = error_body(delivery_error(error), self._ref.request_id)
            await _send_chunk(send, self._writer.error(body), last=True)

    async def _send_response(self, send: Send, keep_alive: asyncio.Task[None]) -> None:
        position = self._position
        async for batch in self._context.records.follow(self._ref, position.tokens, position.seen):
            position = position.after(batch)
            text = "".join(piece.text for piece in batch)
            await _send_chunk(send, self._writer.text(text, position))
        outcome = await self._context.records.outcome(self._ref)
        keep_alive.cancel()
        if outcome.reason:
            body = error_body(outcome_error(outcome), self._ref.request_id)
            await _send_chunk(send, self._writer.error(body), last=True)
        else:
            await _send_chunk(send, self._writer.end(outcome, position), last=True)


async def _send_chunk(send: Send, body: bytes, last: bool = False) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": not last})


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
