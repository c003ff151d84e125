"""Forwards requests of plain services; each response is read completely before it is passed on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

from godwitpath.gateway.call import Call, GatewayResponse, send_gateway_response
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.engines import Engine
from godwitpath.gateway.permit_bucket import PROBE_INTERVAL_S
from godwitpath.gateway.permits import Permit
from godwitpath.gateway.response_proof import is_unproven_refusal
from godwitpath.gateway.retry_schedule import Opening
from godwitpath.gateway.send import Send, SendRevoked
from godwitpath.gateway.verdicts import quarantine_s
from godwitpath.gateway.wire_fields import EngineResponseFields
from godwitpath.http1.messages import NotSent, ResponseHead, ResponseLost, end_to_end_headers
from godwitpath.http1.response_limits import ResponseLimitExceeded
from godwitpath.http1.timeouts import SOCKET_LOOK_S
from godwitpath.telemetry.decisions import decision

T = TypeVar("T")

MAX_UNREACHABLE_ENGINES = 3
"""Number of engines that a request fails to reach before it is refused."""

RETRY_AFTER_S = 0.25
"""Retry-after time sent to a caller when all engines are full: an engine completes a plain request
in a tenth of this time."""

NO_ENGINE_RETRY_AFTER_S = 1.0
"""Retry-after time sent to a caller when no engine is known: engines are added to the store about
once a second."""

TIMEOUT_FACTOR = 2.0
"""Multiple of the route's target latency after which an idempotent request is sent to another
engine, if one would probably take it."""

MAX_BROKEN_SENDS = 2
"""Number of engines that may break off one request before it is not sent to another: the request
may be what breaks them."""

MIN_SERVICE_TIME_S = 0.05
"""Shortest time that an engine is assumed to need for a request, where the route states none."""


@dataclass(slots=True)
class PlainResponse:
    """An engine's response that was read completely."""

    head: ResponseHead
    response_fields: EngineResponseFields
    body: bytes

    @property
    def unproven_refusal(self) -> bool:
        """Whether it promises the caller that the request was not run, without proof."""
        return is_unproven_refusal(self.head.status, self.response_fields.not_run)

    @property
    def may_be_passed_on(self) -> bool:
        """Whether a caller may get it, rather than a response of the gateway."""
        return not self.response_fields.not_run and not self.unproven_refusal


async def forward_plain(ctx: GatewayContext, call: Call) -> None:
    """Forward a request of a plain service, and retry it at further engines after a failure."""
    last_response: PlainResponse | None = None
    unreachable_count = 0
    while True:
        choice = None
        if unreachable_count < MAX_UNREACHABLE_ENGINES:
            choice = await choose_permitted(ctx, call, ctx.placer.rank_for_call, lambda each: each)
        if choice is None:
            break
        engine, permit = choice
        call.tried_engine_ids.add(engine.entry.engine_id)
        send = Send(ctx, call, engine, permit)
        try:
            response = await _exchange(ctx, call, send)
        except SendRevoked:
            call.tried_engine_ids.discard(engine.entry.engine_id)
            continue
        except NotSent as error:
            unreachable_count += 1
            record_failure(ctx, call, engine, "unreachable", error)
            continue
        except (ResponseLost, TimeoutError) as error:
            call.broken_sends += isinstance(error, ResponseLost)
            record_failure(ctx, call, engine, "response_lost", error, send)
            if isinstance(error, ResponseLost):
                ctx.crashes.note_broken(engine, call.subjects, first_event_at_s=0.0)
            if call.time_left_s() <= 0 or not may_retry(ctx, call):
                break
            continue
        last_response = response
        if not response.response_fields.not_run and response.response_fields.from_engine:
            ctx.crashes.note_success(call.subjects)
        if response.response_fields.not_run:
            call.may_have_run = send.may_have_run_before
            if not response.response_fields.wrong_engine:
                record_refusal(ctx, call, engine, response.response_fields)
        elif response.unproven_refusal:
            record_unproven_refusal(ctx, call, engine, response.head.status)
        elif response.head.status < 500:
            engine.health.succeeded()
            ctx.instruments.sends[(call.service.name, "answered")] += 1
            pass_response(ctx, call, response)
            return
        if not may_retry(ctx, call):
            break
    _send_final_response(ctx, call, last_response)


class _Patience:
    """Ends a slow send early, as soon as another engine would probably take the request.

    :param timeout: timeout of the send, which expires early
    """

    __slots__ = ("_call", "_ctx", "_handle", "_timeout")

    def __init__(self, ctx: GatewayContext, call: Call, timeout: asyncio.Timeout) -> None:
        self._ctx = ctx
        self._call = call
        self._timeout = timeout
        self._handle = self._look_later()

    def end(self) -> None:
        """Stop the checks, once the send has ended."""
        self._handle.cancel()

    def _look_later(self) -> asyncio.TimerHandle:
        target_latency_s = max(MIN_SERVICE_TIME_S, self._call.route.target_latency_s)
        return asyncio.get_running_loop().call_later(target_latency_s * TIMEOUT_FACTOR, self._look)

    def _look(self) -> None:
        # After a pause of this process, the event loop runs timers before it looks at its sockets.
        self._handle = asyncio.get_running_loop().call_later(SOCKET_LOOK_S, self._check)

    def _check(self) -> None:
        if self._timeout.expired():
            return
        if may_resume_elsewhere(self._ctx, self._call):
            self._timeout.reschedule(asyncio.get_running_loop().time())
        else:
            self._handle = self._look_later()


async def _exchange(ctx: GatewayContext, call: Call, send: Send) -> PlainResponse:
    """Send the request and read the complete response within the time allowed for this engine."""
    head: ResponseHead | None = None
    complete = False
    patience: _Patience | None = None
    try:
        async with asyncio.timeout(call.time_left_s()) as timeout:
            if call.route.repeatable and call.attempts + 1 < call.route.max_attempts:
                patience = _Patience(ctx, call, timeout)
            head, response_fields = await send.open()
            body = await send.read_whole()
            complete = True
    finally:
        if patience is not None:
            patience.end()
        refused = head is not None and ctx.header_codec.decode_engine_response(head, b"").not_run
        if call.account is not None and send.sent_at_s and not refused:
            ago_s = asyncio.get_running_loop().time() - send.sent_at_s
            ctx.usage.note_started(call.account.name, ago_s)
        send.close(head if complete else None)
    return PlainResponse(head, response_fields, body)


async def choose_permitted(
    ctx: GatewayContext,
    call: Call,
    rank: Callable[[list[Engine]], Sequence[T]],
    engine_of: Callable[[T], Engine],
) -> tuple[T, Permit] | None:
    """Return the best candidate to which the request may be sent, with the permit for the send.

    :param rank: returns the candidates among engines, the best first
    :param engine_of: returns the engine of a candidate
    :returns: None if there is no engine, or if all are limited and have no permit left
    """
    while candidates := rank(candidate_engines(ctx, call)):
        engine = engine_of(candidates[0])
        permit = await ctx.permits.acquire(engine, call.priority, call.request_id)
        if permit is not None:
            return candidates[0], permit
        call.held_back_engine_ids.add(engine.entry.engine_id)
    return None


def candidate_engines(ctx: GatewayContext, call: Call) -> list[Engine]:
    """Return the engines that the request may still be sent to.

    Full engines are returned only if all of them are full. An engine that asked for a pause is
    never returned.
    """
    if call.time_left_s() <= 0 or ctx.crashes.verdict(call.subjects) is not None:
        return []
    now_s = asyncio.get_running_loop().time()
    usable = [
        engine
        for engine in ctx.engines.usable(call.service.name, now_s)
        if engine.entry.engine_id not in call.tried_engine_ids
        and engine.entry.engine_id not in call.held_back_engine_ids
        and not ctx.engines.notices.is_paused(engine.entry.incarnation, now_s)
    ]
    return [engine for engine in usable if engine.full_until_s <= now_s] or usable


def may_retry(ctx: GatewayContext, call: Call) -> bool:
    """Return whether the request may be sent to a further engine.

    A retry that is allowed is charged to the service's retry budget.
    """
    if not _may_have_further_send(ctx, call):
        return False
    return ctx.retry_budget.spend(call.service.name, asyncio.get_running_loop().time())


def _may_have_further_send(ctx: GatewayContext, call: Call) -> bool:
    """Return whether the request may be sent again if the retry budget allows it."""
    if call.attempts >= call.route.max_attempts or call.broken_sends >= MAX_BROKEN_SENDS:
        return False
    if call.may_have_run and not call.route.repeatable:
        return False
    return not (call.broken_sends and ctx.crashes.quarantine.is_suspect(call.subjects))


def may_resume_elsewhere(ctx: GatewayContext, call: Call) -> bool:
    """Return whether another engine would probably take a request that is slow at its engine."""
    now_s = asyncio.get_running_loop().time()
    return (
        _may_have_further_send(ctx, call)
        and ctx.retry_budget.allows(call.service.name, now_s)
        and any(
            engine.full_until_s <= now_s
            and not engine.health.is_failing(now_s)
            and ctx.permits.limit_per_s(engine) is None
            for engine in candidate_engines(ctx, call)
        )
    )


def record_failure(
    ctx: GatewayContext,
    call: Call,
    engine: Engine,
    kind: str,
    error: Exception,
    send: Send | None = None,
) -> None:
    """Record a failed send to an engine in the engine's health, the metrics and the log.

    Repeated lines about one engine and limit are left out. A stream that breaks off after it had
    begun always has its line, which says that its engine ended it and not its caller.

    :param kind: kind of failure, as in the metrics and the log, of any error but an exceeded limit
    :param send: the failed send, None if the engine was not reached
    """
    if isinstance(error, ResponseLimitExceeded):
        kind = "limit_exceeded"
    ctx.instruments.sends[(call.service.name, kind)] += 1
    now_s = asyncio.get_running_loop().time()
    shared = isinstance(error, ResponseLimitExceeded) and error.shared
    newly_ejected = not shared and engine.health.failed(now_s)
    begun = send is not None and bool(send.first_event_at_s)
    limit_fields = engine.limit_lines.next_fields(error, now_s, required=newly_ejected or begun)
    if limit_fields is None:
        return
    decision(
        "engine_failed",
        request=call.request_id,
        engine=engine.entry.engine_id,
        started_at_ms=engine.entry.started_at_ms,
        failure=kind,
        error=str(error) or repr(error),
        attempts=call.attempts,
        ejected=newly_ejected,
        **limit_fields,
        **_progress_fields(send),
    )


def _progress_fields(send: Send | None) -> dict[str, float | None]:
    """Return how long ago a request was sent, and how long ago a stream's first event arrived."""
    if send is None or not send.sent_at_s:
        return {}
    now_s = asyncio.get_running_loop().time()
    began = round(now_s - send.first_event_at_s, 3) if send.first_event_at_s else None
    return {"sent_ago_s": round(now_s - send.sent_at_s, 3), "began_ago_s": began}


def record_refusal(
    ctx: GatewayContext, call: Call, engine: Engine, response_fields: EngineResponseFields
) -> None:
    """Mark an engine that refused a request as full until its retry-after time has passed."""
    ctx.instruments.sends[(call.service.name, "not_run")] += 1
    now_s = asyncio.get_running_loop().time()
    engine.full_until_s = now_s + (response_fields.retry_after_s or RETRY_AFTER_S)


def record_unproven_refusal(ctx: GatewayContext, call: Call, engine: Engine, status: int) -> None:
    """Record a refusal after which the request may have run, so that it is not passed on."""
    ctx.instruments.sends[(call.service.name, "unproven_refusal")] += 1
    decision(
        "refusal_unproven",
        request=call.request_id,
        engine=engine.entry.engine_id,
        status=status,
    )


def pass_response(ctx: GatewayContext, call: Call, response: PlainResponse) -> None:
    """Pass an engine's response on to the caller unchanged, whether success or failure."""
    head = response.head
    ctx.instruments.responses[(call.route.name, "engine", str(head.status))] += 1
    call.responder.respond(
        head.status, end_to_end_headers(head.headers), response.body, head.reason
    )


def _send_final_response(
    ctx: GatewayContext, call: Call, last_response: PlainResponse | None
) -> None:
    """Send the final response to a request that no engine served."""
    if last_response is not None and last_response.may_be_passed_on:
        pass_response(ctx, call, last_response)
        return
    if call.may_have_run:
        timed_out = call.time_left_s() <= 0
        gateway_response = GatewayResponse(
            504 if timed_out else 502, "late" if timed_out else "response_lost", "unknown"
        )
        send_gateway_response(ctx, call, gateway_response)
        return
    send_gateway_response(ctx, call, unserved_response(ctx, call, RETRY_AFTER_S))


def unserved_response(
    ctx: GatewayContext, call: Call, full_retry_after_s: float
) -> GatewayResponse:
    """Return the response to a request that no engine has run or will run.

    :param full_retry_after_s: Retry-After time if engines refused the request because they are full
    """
    verdict = ctx.crashes.verdict(call.subjects)
    if verdict is not None:
        ctx.crashes.note_refused(call.request_id, verdict)
        retry_after_s = quarantine_s(verdict.subjects)
        return GatewayResponse(503, f"{verdict.kind}_quarantined", "no", retry_after_s)
    paused_retry_after_s = _paused_retry_after_s(ctx, call)
    if paused_retry_after_s is not None:
        return GatewayResponse(503, "engines_paused", "no", paused_retry_after_s)
    if call.held_back_engine_ids:
        retry_after_s = _limited_retry_after_s(ctx, call)
        return GatewayResponse(503, "engines_limited", "no", retry_after_s)
    if not call.attempts:
        return GatewayResponse(503, "no_engine", "no", NO_ENGINE_RETRY_AFTER_S)
    return GatewayResponse(503, "engines_full", "no", full_retry_after_s)


def _paused_retry_after_s(ctx: GatewayContext, call: Call) -> float | None:
    """Return the Retry-After time of a request if all engines asked for a pause, else None."""
    now_s = asyncio.get_running_loop().time()
    paused = ctx.engines.paused(call.service.name, now_s)
    if not paused or len(paused) < len(ctx.engines.usable(call.service.name, now_s)):
        return None
    daemons = max(1, len(ctx.known_daemons()))
    service_time_s = max(MIN_SERVICE_TIME_S, call.route.target_latency_s)
    openings = {
        engine.entry.engine_id: Opening(
            ctx.engines.notices.paused_until_s(engine.entry.incarnation),
            max(1, engine.entry.slots) / service_time_s / daemons,
        )
        for engine in paused
    }
    return ctx.retry_schedule.retry_after_pause_s(openings, now_s)


def _limited_retry_after_s(ctx: GatewayContext, call: Call) -> float:
    """Return the Retry-After time of a request that found all engines at their limits."""
    now_s = asyncio.get_running_loop().time()
    limits_per_s = [
        ctx.permits.limit_per_s(engine) for engine in ctx.engines.usable(call.service.name, now_s)
    ]
    if None in limits_per_s:
        return RETRY_AFTER_S
    total_per_s = sum(max(limit_per_s or 0.0, 1 / PROBE_INTERVAL_S) for limit_per_s in limits_per_s)
    share_per_s = total_per_s / max(1, len(ctx.known_daemons()))
    return ctx.retry_schedule.retry_after_s(call.service.name, share_per_s, now_s)
