"""Forwards event streams event by event, and resumes a broken stream at another engine.

A resumed stream is a new run of the request that continues after the last event the caller
received. A moved stream continues the same run from the run's KV cache, usually at another engine.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from godwitpath.gateway.call import Call, GatewayResponse, send_gateway_response
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.crash_watch import STABLE_AFTER_S
from godwitpath.gateway.evacuate import Continuation, StreamRun
from godwitpath.gateway.events import EventSplitter, LeadingComments, StreamEvent
from godwitpath.gateway.forward import (
    MAX_UNREACHABLE_ENGINES,
    PlainResponse,
    choose_permitted,
    may_resume_elsewhere,
    may_retry,
    pass_response,
    record_failure,
    record_refusal,
    record_unproven_refusal,
    unserved_response,
)
from godwitpath.gateway.permits import Permit
from godwitpath.gateway.placement import Candidate
from godwitpath.gateway.send import Send, SendRevoked
from godwitpath.gateway.stream_order import EventOutOfPlace, check_place, continues_stream
from godwitpath.gateway.wire_fields import KvCacheSource
from godwitpath.http1.messages import NotSent, ResponseHead, ResponseLost, end_to_end_headers
from godwitpath.http1.turns import FIRST_READ_BYTES, read_turns

FULL_RETRY_AFTER_S = 0.5
"""Retry-after time in seconds of a 503 response when all engines are full: a generation takes a
second or two, and many run at once."""

GAP_TIMEOUT_FACTOR = 3.0
"""Multiple of the maximum gap between events after which a resumable stream is resumed at another
engine."""


class StreamBroken(ResponseLost):
    """The engine's stream ended early, stalled, or does not continue the caller's."""


@dataclass(slots=True)
class _Progress:
    """Progress of the caller's stream.

    :ivar last_event_id: id of the last event that the caller received, None before the first
    :ivar event_count: number of events that the caller received
    :ivar last_event_at_s: loop time of the last event, or of the last resumption
    :ivar head: head of the response with which the stream began, None before
    """

    last_event_id: int | None
    event_count: int = 0
    last_event_at_s: float = 0.0
    head: ResponseHead | None = None

    @property
    def resumable(self) -> bool:
        """Whether it is known where the stream goes on."""
        return not self.event_count or self.last_event_id is not None


async def forward_stream(ctx: GatewayContext, call: Call) -> None:
    """Forward a request for an event stream, and retry or move it to further engines."""
    progress = _Progress(call.fields.last_event_id)
    last_response: PlainResponse | None = None
    unreachable_engines = 0
    continuation: Continuation | None = None
    while unreachable_engines < MAX_UNREACHABLE_ENGINES:
        if continuation is not None:
            candidate, permit = _moved_candidate(continuation), continuation.permit
        elif (choice := await _choose_candidate(ctx, call)) is not None:
            candidate, permit = choice
        else:
            break
        engine = candidate.engine
        call.tried_engine_ids.add(engine.entry.engine_id)
        send = Send(ctx, call, engine, permit, candidate.prefill_tokens)
        run = StreamRun(call, engine)
        kv_cache = continuation.kv_cache if continuation else None
        continuation = None
        try:
            async with asyncio.timeout(call.time_left_s()):
                last_response = await _forward_from_engine(
                    ctx, call, send, progress, candidate, run, kv_cache
                )
        except SendRevoked:
            if kv_cache is not None:
                break
            call.tried_engine_ids.discard(engine.entry.engine_id)
            continue
        except NotSent as error:
            unreachable_engines += 1
            record_failure(ctx, call, engine, "unreachable", error)
            if kv_cache is not None:
                break
            continue
        except TimeoutError as error:
            record_failure(ctx, call, engine, "late", error, send)
            break
        except ResponseLost as error:
            continuation = await run.continuation()
            if continuation is not None and progress.resumable:
                continue
            continuation = None
            record_failure(ctx, call, engine, "stream_broken", error, send)
            if not send.first_event_at_s:
                call.broken_sends += 1
            ctx.crashes.note_broken(engine, call.subjects, send.first_event_at_s)
            if call.time_left_s() <= 0 or not progress.resumable or not may_retry(ctx, call):
                break
            continue
        if last_response is None:
            engine.health.succeeded()
            ctx.instruments.sends[(call.service.name, "answered")] += 1
            return
        if last_response.response_fields.not_run:
            call.may_have_run = send.may_have_run_before
            if not last_response.response_fields.wrong_engine:
                record_refusal(ctx, call, engine, last_response.response_fields)
        elif last_response.unproven_refusal:
            record_unproven_refusal(ctx, call, engine, last_response.head.status)
        if not may_retry(ctx, call):
            break
    _send_final_response(ctx, call, last_response)


def _moved_candidate(continuation: Continuation) -> Candidate:
    """Return the engine of a moved stream as a candidate without prefill."""
    return Candidate(continuation.engine, 0, 0.0, 0.0)


async def _choose_candidate(ctx: GatewayContext, call: Call) -> tuple[Candidate, Permit] | None:
    prompt = call.prompt
    if prompt is None:
        return None
    spec = call.service.engine
    cache_tokens = spec.cache_tokens if spec else 0
    return await choose_permitted(
        ctx,
        call,
        lambda engines: ctx.placer.rank_for_generation(prompt, engines, cache_tokens),
        lambda candidate: candidate.engine,
    )


async def _forward_from_engine(
    ctx: GatewayContext,
    call: Call,
    send: Send,
    progress: _Progress,
    candidate: Candidate,
    run: StreamRun,
    kv_cache: KvCacheSource | None,
) -> PlainResponse | None:
    """Send the request to one engine and forward its stream.

    :param kv_cache: KV cache of the moved run that the stream continues, None for a new run
    :returns: None if the stream was forwarded to its end, else the engine's refusal or failure
    """
    loop = asyncio.get_running_loop()
    complete_head: ResponseHead | None = None
    data_received = noted_success = False
    reservation = ctx.body_budget.reserve(candidate.engine.entry.address)
    if ctx.evacuator is not None:
        ctx.evacuator.add_run(run)
    try:
        resume_after = progress.last_event_id if progress.event_count else None
        head, response_fields = await send.open(resume_after, kv_cache)
        progress.last_event_at_s = loop.time()
        if head.status >= 300:
            body = await send.read_whole()
            complete_head = head
            if not response_fields.not_run and call.account is not None:
                ctx.usage.note_started(call.account.name)
            return PlainResponse(head, response_fields, body)
        if progress.head is not None and not continues_stream(progress.head, head):
            raise StreamBroken(f"status {head.status} does not continue the stream")
        splitter, leading_comments = EventSplitter(), LeadingComments()
        while data := await _read(ctx, call, send, progress):
            if not data_received:
                data_received = True
                _count_start(ctx, call)
            forwarding_since_s = loop.time()
            events = splitter.feed(data)
            _forward_events(call, head, events, leading_comments, progress)
            if not send.first_event_at_s and any(not event.comment for event in events):
                send.first_event_at_s = loop.time()
                _record_first_event(ctx, call, send, candidate)
            if len(data) >= FIRST_READ_BYTES:
                read_turns().note_cost(loop.time() - forwarding_since_s)
            reservation.resize(len(splitter.incomplete) + leading_comments.size_bytes)
            if not noted_success and 0 < send.first_event_at_s <= loop.time() - STABLE_AFTER_S:
                noted_success = True
                ctx.crashes.note_success(call.subjects)
            run.events = progress.event_count
            await call.responder.drain()
        if splitter.incomplete:
            raise StreamBroken("the stream ended in the middle of an event")
        if not head.states_end and not send.first_event_at_s:
            raise StreamBroken("the connection ended before the first event")
        if not head.states_end and await run.stopped_by_move():
            raise StreamBroken("the connection ended when the run was moved")
        _write_events(call, head, leading_comments.release(), progress)
        if not call.responder.started:
            _start_response(call, head)
        call.responder.finish()
        ctx.instruments.responses[(call.route.name, "engine", str(head.status))] += 1
        complete_head = head
        if not noted_success and head.states_end:
            ctx.crashes.note_success(call.subjects)
        return None
    finally:
        if ctx.evacuator is not None:
            ctx.evacuator.remove_run(run)
        reservation.release()
        send.close(complete_head)


async def _read(ctx: GatewayContext, call: Call, send: Send, progress: _Progress) -> bytes:
    """Read from the stream.

    :raises StreamBroken: no event came for a while, and the stream may be resumed elsewhere
    """
    route = call.route
    if not route.repeatable or not route.max_gap_s or not progress.event_count:
        return await send.read()
    max_gap_s = route.max_gap_s * GAP_TIMEOUT_FACTOR
    # Counted from the last event: an engine that sends single bytes is stalled as well.
    timeout_at_s = progress.last_event_at_s + max_gap_s
    while True:
        try:
            async with asyncio.timeout_at(timeout_at_s):
                return await send.read()
        except TimeoutError as error:
            if call.time_left_s() <= 0:
                raise
            if await send.look_for_data():
                return await send.read()
            if may_resume_elsewhere(ctx, call):
                raise StreamBroken("the stream fell silent") from error
            timeout_at_s = asyncio.get_running_loop().time() + max_gap_s


def _count_start(ctx: GatewayContext, call: Call) -> None:
    if call.account is not None and not call.usage_counted:
        call.usage_counted = True
        ctx.usage.note_started(call.account.name)


def _record_first_event(ctx: GatewayContext, call: Call, send: Send, candidate: Candidate) -> None:
    took_s = send.first_event_at_s - send.sent_at_s
    send.prefill_done()
    ctx.instruments.first_event_s.record(took_s, service=call.service.name)
    if candidate.first_token_s:
        candidate.engine.record_duration(took_s, max(0.02, candidate.first_token_s))
    if send.prefill_alone and call.prompt is not None:
        ctx.read_speeds[call.service.name].add(
            call.prompt.own_tokens, took_s - ctx.placer.distance_s(candidate.engine)
        )


def _forward_events(
    call: Call,
    head: ResponseHead,
    events: list[StreamEvent],
    leading_comments: LeadingComments,
    progress: _Progress,
) -> None:
    """Forward events that were received.

    :raises StreamBroken: an event is not the next one
    :raises ResponseLimitExceeded: the comments before the first event are too long
    """
    now_s = asyncio.get_running_loop().time()
    forwarded: list[StreamEvent] = []
    try:
        for event in events:
            check_place(event, progress.last_event_id)
            if event.event_id is not None:
                progress.last_event_id = event.event_id
            progress.event_count += not event.comment
            progress.last_event_at_s = now_s
            forwarded.append(event)
    except EventOutOfPlace as error:
        raise StreamBroken(str(error)) from error
    finally:
        _write_events(call, head, leading_comments.pass_on(forwarded), progress)


def _write_events(call: Call, head: ResponseHead, data: bytes, progress: _Progress) -> None:
    if not data:
        return
    if not call.responder.started:
        progress.head = head
        _start_response(call, head)
    call.responder.send(data)


def _start_response(call: Call, head: ResponseHead) -> None:
    call.responder.start(head.status, head.reason, end_to_end_headers(head.headers), None)


def _send_final_response(
    ctx: GatewayContext, call: Call, last_response: PlainResponse | None
) -> None:
    """Send the final response for a stream that no engine completed."""
    started = call.responder.started
    if last_response is not None and last_response.may_be_passed_on and not started:
        pass_response(ctx, call, last_response)
    elif call.may_have_run or started:
        timed_out = call.time_left_s() <= 0
        response = GatewayResponse(
            504 if timed_out else 502, "late" if timed_out else "stream_broken", "unknown"
        )
        send_gateway_response(ctx, call, response)
    else:
        send_gateway_response(ctx, call, unserved_response(ctx, call, FULL_RETRY_AFTER_S))
