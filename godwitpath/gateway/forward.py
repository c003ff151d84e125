"""Forwards requests of plain services; each response is read whole before the caller gets it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from godwitpath.gateway.call import Call, OwnAnswer, answer_call
from godwitpath.gateway.calls import EngineVerdict
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.engines import Engine
from godwitpath.gateway.send import Send
from godwitpath.http1.messages import NotSent, ResponseHead, ResponseLost, end_to_end
from godwitpath.telemetry.decisions import decision

MAX_UNREACHABLE = 3
"""Engines that a request finds unreachable before it is refused."""

RETRY_AFTER_S = 0.25
"""When to come back after a refusal for want of room: a plain request ends in a tenth of that."""

NO_ENGINE_RETRY_AFTER_S = 1.0
"""When to come back where no engine is known: engines enter the store about once a second."""

PATIENCE = 2.0
"""Multiple of the target latency after which a repeatable request is tried elsewhere."""


@dataclass(slots=True)
class PlainResponse:
    """A response that was read whole."""

    head: ResponseHead
    verdict: EngineVerdict
    body: bytes


async def forward_plain(ctx: GatewayContext, call: Call) -> None:
    """Serve a request of a plain service."""
    last: PlainResponse | None = None
    unreachable = 0
    while True:
        engine = _next_engine(ctx, call)
        if engine is None or unreachable >= MAX_UNREACHABLE:
            break
        call.tried.add(engine.entry.engine_id)
        send = Send(ctx, call, engine)
        try:
            response = await _exchange(ctx, call, send)
        except NotSent as error:
            unreachable += 1
            note_failure(ctx, call, engine, "unreachable", error)
            continue
        except (ResponseLost, TimeoutError) as error:
            note_failure(ctx, call, engine, "response_lost", error)
            if call.time_left_s() <= 0 or not may_repeat(ctx, call):
                break
            continue
        last = response
        if response.verdict.not_run:
            call.may_have_run = send.doubt_before
            if not response.verdict.wrong_engine:
                note_full(ctx, call, engine, response.verdict)
        elif response.head.status < 500:
            engine.health.succeeded()
            ctx.instruments.sends[(call.service.name, "answered")] += 1
            deliver(ctx, call, response)
            return
        if not may_repeat(ctx, call):
            break
    _give_up(ctx, call, last)


async def _exchange(ctx: GatewayContext, call: Call, send: Send) -> PlainResponse:
    """Send and read the whole response, within the time that this engine may take."""
    head: ResponseHead | None = None
    whole = False
    left_s = call.time_left_s()
    if call.route.repeatable and call.attempts + 1 < call.route.max_attempts:
        left_s = min(left_s, call.route.target_latency_s * PATIENCE)
    try:
        async with asyncio.timeout(left_s):
            head, verdict = await send.open()
            body = await send.read_whole()
            whole = True
    finally:
        refused = head is not None and ctx.wire.read_verdict(head, b"").not_run
        if call.account is not None and send.sent_at_s and not refused:
            ago_s = asyncio.get_running_loop().time() - send.sent_at_s
            ctx.usage.note_started(call.account.name, ago_s)
        send.close(head if whole else None)
    return PlainResponse(head, verdict, body)


def _next_engine(ctx: GatewayContext, call: Call) -> Engine | None:
    placed = ctx.placer.place_call(engines_left(ctx, call))
    return placed[0] if placed else None


def engines_left(ctx: GatewayContext, call: Call) -> list[Engine]:
    """Return the engines that the request may still be sent to, full ones only if all are."""
    if call.time_left_s() <= 0:
        return []
    now_s = asyncio.get_running_loop().time()
    usable = [
        engine
        for engine in ctx.engines.usable(call.service.name, now_s)
        if engine.entry.engine_id not in call.tried
    ]
    return [engine for engine in usable if engine.full_until_s <= now_s] or usable


def may_repeat(ctx: GatewayContext, call: Call) -> bool:
    """Return whether the request may be sent to a further engine, and take it from the budget."""
    if call.attempts >= call.route.max_attempts:
        return False
    if call.may_have_run and not call.route.repeatable:
        return False
    return ctx.repeats.spend(call.service.name, asyncio.get_running_loop().time())


def note_failure(
    ctx: GatewayContext, call: Call, engine: Engine, kind: str, error: Exception
) -> None:
    """Hold a failure against an engine and say so."""
    ctx.instruments.sends[(call.service.name, kind)] += 1
    put_out = engine.health.failed(asyncio.get_running_loop().time())
    decision(
        "engine_failed",
        request=call.request_id,
        engine=engine.entry.engine_id,
        failure=kind,
        error=str(error) or repr(error),
        attempts=call.attempts,
        ejected=put_out,
    )


def note_full(ctx: GatewayContext, call: Call, engine: Engine, verdict: EngineVerdict) -> None:
    """Leave an engine that refused for a moment."""
    ctx.instruments.sends[(call.service.name, "not_run")] += 1
    now_s = asyncio.get_running_loop().time()
    engine.full_until_s = now_s + (verdict.retry_after_s or RETRY_AFTER_S)


def deliver(ctx: GatewayContext, call: Call, response: PlainResponse) -> None:
    """Pass on an engine's response as it is, success or failure."""
    head = response.head
    ctx.instruments.answers[(call.route.name, "engine", str(head.status))] += 1
    call.responder.respond(head.status, end_to_end(head.headers), response.body, head.reason)


def _give_up(ctx: GatewayContext, call: Call, last: PlainResponse | None) -> None:
    """Give the final answer of a request that no engine served."""
    if last is not None and not last.verdict.not_run:
        deliver(ctx, call, last)
        return
    if call.may_have_run:
        late = call.time_left_s() <= 0
        answer = OwnAnswer(504 if late else 502, "late" if late else "response_lost", "unknown")
        answer_call(ctx, call, answer)
        return
    if not call.attempts:
        answer_call(ctx, call, OwnAnswer(503, "no_engine", "no", NO_ENGINE_RETRY_AFTER_S))
        return
    answer_call(ctx, call, OwnAnswer(503, "engines_full", "no", RETRY_AFTER_S))
