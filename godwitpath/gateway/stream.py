"""Forwards event streams: event by event as they come, and on from another engine if one breaks."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from godwitpath.gateway.call import Call, OwnAnswer, answer_call
from godwitpath.gateway.calls import MemorySource
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.evacuate import Continuation, StreamRun
from godwitpath.gateway.events import EventSplitter, EventTooLong
from godwitpath.gateway.forward import (
    MAX_UNREACHABLE,
    NO_ENGINE_RETRY_AFTER_S,
    PlainResponse,
    deliver,
    engines_left,
    may_repeat,
    note_failure,
    note_full,
)
from godwitpath.gateway.placing import Place
from godwitpath.gateway.send import Send
from godwitpath.http1.messages import NotSent, ResponseHead, ResponseLost, end_to_end

FULL_RETRY_AFTER_S = 0.5
"""When to come back to full engines: a generation ends in a second or two, and many run."""

SILENCE_FACTOR = 3.0
"""Multiple of the longest proper pause after which a stream that may go on elsewhere does."""


class StreamBroken(ResponseLost):
    """The engine's stream ended, stopped or jumped before its end."""


@dataclass(slots=True)
class _Progress:
    """How far the caller's stream is.

    :ivar last_event_id: last event that the caller got, None before the first
    :ivar events: events that the caller got
    """

    last_event_id: int | None
    events: int = 0


async def forward_stream(ctx: GatewayContext, call: Call) -> None:
    """Serve a request for an event stream."""
    progress = _Progress(call.fields.last_event_id)
    last: PlainResponse | None = None
    unreachable = 0
    continuation: Continuation | None = None
    while unreachable < MAX_UNREACHABLE:
        place = _moved_place(continuation) if continuation else _next_place(ctx, call)
        if place is None:
            break
        engine = place.engine
        call.tried.add(engine.entry.engine_id)
        send = Send(ctx, call, engine, place.read_tokens)
        run = StreamRun(call, engine)
        memory = continuation.memory if continuation else None
        continuation = None
        try:
            async with asyncio.timeout(call.time_left_s()):
                last = await _run(ctx, call, send, progress, place, run, memory)
        except NotSent as error:
            unreachable += 1
            note_failure(ctx, call, engine, "unreachable", error)
            if memory is not None:
                break
            continue
        except TimeoutError as error:
            note_failure(ctx, call, engine, "late", error)
            break
        except ResponseLost as error:
            continuation = await run.continuation()
            if continuation is not None:
                continue
            note_failure(ctx, call, engine, "stream_broken", error)
            if call.time_left_s() <= 0 or not may_repeat(ctx, call):
                break
            continue
        if last is None:
            engine.health.succeeded()
            ctx.instruments.sends[(call.service.name, "answered")] += 1
            return
        if last.verdict.not_run:
            call.may_have_run = send.doubt_before
            if not last.verdict.wrong_engine:
                note_full(ctx, call, engine, last.verdict)
        if not may_repeat(ctx, call):
            break
    _give_up(ctx, call, last)


def _moved_place(continuation: Continuation) -> Place:
    """Return the place of a stream whose memory lies at an engine already."""
    return Place(continuation.engine, 0, 0.0, 0.0)


def _next_place(ctx: GatewayContext, call: Call) -> Place | None:
    if call.prompt is None:
        return None
    spec = call.service.engine
    cache_tokens = spec.cache_tokens if spec else 0
    places = ctx.placer.place_generation(call.prompt, engines_left(ctx, call), cache_tokens)
    return places[0] if places else None


async def _run(
    ctx: GatewayContext,
    call: Call,
    send: Send,
    progress: _Progress,
    place: Place,
    run: StreamRun,
    memory: MemorySource | None,
) -> PlainResponse | None:
    """Run one send.

    :param memory: of the run that the stream goes on with
    :returns: None when the stream was passed on to its end, else the engine's refusal or failure
    """
    loop = asyncio.get_running_loop()
    whole: ResponseHead | None = None
    began = False
    if ctx.evacuator is not None:
        ctx.evacuator.begin(run)
    try:
        resumed = progress.last_event_id if progress.events else None
        head, verdict = await send.open(resumed, memory)
        if head.status >= 300:
            body = await send.read_whole()
            whole = head
            if not verdict.not_run and call.account is not None:
                ctx.usage.note_started(call.account.name)
            return PlainResponse(head, verdict, body)
        splitter = EventSplitter()
        while data := await _read(call, send, progress):
            if not began:
                began = True
                _note_began(ctx, call, send, place, loop.time() - send.sent_at_s)
            _pass_on(call, head, splitter, data, progress)
            run.events = progress.events
            await call.responder.drain()
        if splitter.rest:
            raise StreamBroken("the stream ended in the middle of an event")
        if not call.responder.started:
            _start(call, head)
        call.responder.finish()
        ctx.instruments.answers[(call.route.name, "engine", str(head.status))] += 1
        whole = head
        return None
    finally:
        if ctx.evacuator is not None:
            ctx.evacuator.end(run)
        send.close(whole)


async def _read(call: Call, send: Send, progress: _Progress) -> bytes:
    """Read from the stream; one that may go on elsewhere is not waited for without end."""
    route = call.route
    if not route.repeatable or call.attempts >= route.max_attempts or not route.max_gap_s:
        return await send.read()
    if not progress.events:
        return await send.read()
    try:
        async with asyncio.timeout(route.max_gap_s * SILENCE_FACTOR):
            return await send.read()
    except TimeoutError as error:
        if call.time_left_s() <= 0:
            raise
        raise StreamBroken("the stream fell silent") from error


def _note_began(ctx: GatewayContext, call: Call, send: Send, place: Place, took_s: float) -> None:
    send.first_token()
    ctx.instruments.first_event_s.record(took_s, service=call.service.name)
    if place.first_token_s:
        place.engine.measured(took_s, max(0.02, place.first_token_s))
    if call.account is not None and not call.counted:
        call.counted = True
        ctx.usage.note_started(call.account.name)


def _pass_on(
    call: Call,
    head: ResponseHead,
    splitter: EventSplitter,
    data: bytes,
    progress: _Progress,
) -> None:
    """Give the caller the events that a piece completes.

    :raises StreamBroken: an event is missing or does not end
    """
    try:
        events = splitter.feed(data)
    except EventTooLong as error:
        raise StreamBroken(str(error)) from error
    passed: list[bytes] = []
    for event in events:
        if event.event_id is not None:
            last = progress.last_event_id
            if last is not None and event.event_id <= last:
                # The engine went on from an earlier event than asked for.
                continue
            if last is not None and event.event_id != last + 1:
                _send(call, head, passed)
                raise StreamBroken(f"event {event.event_id} came after {last}")
            progress.last_event_id = event.event_id
        progress.events += 1
        passed.append(event.data)
    _send(call, head, passed)


def _send(call: Call, head: ResponseHead, passed: list[bytes]) -> None:
    if not passed:
        return
    if not call.responder.started:
        _start(call, head)
    call.responder.send(b"".join(passed))


def _start(call: Call, head: ResponseHead) -> None:
    call.responder.start(head.status, head.reason, end_to_end(head.headers), None)


def _give_up(ctx: GatewayContext, call: Call, last: PlainResponse | None) -> None:
    """Give the final answer of a stream that no engine brought to its end."""
    started = call.responder.started
    if last is not None and not last.verdict.not_run and not started:
        deliver(ctx, call, last)
    elif call.may_have_run or started:
        late = call.time_left_s() <= 0
        answer = OwnAnswer(504 if late else 502, "late" if late else "stream_broken", "unknown")
        answer_call(ctx, call, answer)
    elif not call.attempts:
        answer_call(ctx, call, OwnAnswer(503, "no_engine", "no", NO_ENGINE_RETRY_AFTER_S))
    else:
        answer_call(ctx, call, OwnAnswer(503, "engines_full", "no", FULL_RETRY_AFTER_S))
