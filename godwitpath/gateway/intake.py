"""Takes a caller's request: finds its route and account, holds it to its quota, and forwards it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from godwitpath.gateway.accounts import request_units
from godwitpath.gateway.call import Call, OwnAnswer, answer_call, write_own
from godwitpath.gateway.calls import CallerFields
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.forward import forward_plain
from godwitpath.gateway.model import AccountSpec, RequestKind, Route
from godwitpath.gateway.placing import Prompt
from godwitpath.gateway.routes import choose_service
from godwitpath.gateway.stream import forward_stream
from godwitpath.http1.messages import Request
from godwitpath.http1.server import Responder
from godwitpath.telemetry.decisions import decision

START_WAIT_S = 0.8
"""Longest time for which a request waits at a daemon that has just started and reads configuration
and engines: that takes two round trips between regions, and a refusal costs the caller a retry."""

START_SHARE = 0.25
"""Largest part of a request's time that is waited so."""

STARTING_RETRY_AFTER_S = 0.5
"""When to come back to a daemon that knows no configuration yet."""

STOPPING_RETRY_AFTER_S = 0.05
"""When to come back after a daemon that stops: at once, to another one."""

MAX_QUOTA_RETRY_AFTER_S = 10.0
"""Longest time that a caller over its quota is asked to wait."""

ANSWER_MARGIN_S = 0.01
"""Time before the caller's deadline at which its final answer goes out."""


class Intake:
    """The handler of a daemon's callers.

    :param closed: tells whether the daemon takes no more requests
    :param informed: set once configuration and engines are known
    """

    def __init__(
        self, ctx: GatewayContext, closed: Callable[[], bool], informed: asyncio.Event
    ) -> None:
        self._ctx = ctx
        self._informed = informed
        self._closed = closed

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request."""
        fields = self._ctx.wire.decode_caller(request.headers)
        try:
            await self._handle(request, fields, responder)
        finally:
            took_s = asyncio.get_running_loop().time() - request.received_at_s
            outcome = str(responder.status) if responder.finished else "unfinished"
            self._ctx.instruments.request_s.record(took_s, outcome=outcome)
            decision(
                "request_ended",
                request=fields.request_id.decode("latin-1"),
                status=responder.status,
                finished=responder.finished,
                took_s=round(took_s, 3),
            )

    async def _handle(self, request: Request, fields: CallerFields, responder: Responder) -> None:
        ctx = self._ctx
        if not self._informed.is_set():
            await self._wait_informed(fields)
        checked = self._check(request, fields)
        if isinstance(checked, OwnAnswer):
            self._refuse(fields, responder, checked, request)
            return
        route, account = checked
        call = self._call(request, fields, route, account, responder)
        if call is None:
            answer = OwnAnswer(503, "service_unknown", "no", STARTING_RETRY_AFTER_S)
            self._refuse(fields, responder, answer, request)
            return
        if call.time_left_s() <= 0:
            answer_call(ctx, call, OwnAnswer(504, "late"))
            return
        if account is not None and not self._take_quota(call, account):
            return
        ctx.repeats.note_first(call.service.name, asyncio.get_running_loop().time())
        if call.prompt is not None:
            await forward_stream(ctx, call)
        else:
            await forward_plain(ctx, call)

    async def _wait_informed(self, fields: CallerFields) -> None:
        """Wait until the daemon knows where requests go, as long as that is of use."""
        wait_s = START_WAIT_S
        if fields.deadline_s is not None:
            wait_s = min(wait_s, fields.deadline_s * START_SHARE)
        try:
            async with asyncio.timeout(wait_s):
                await self._informed.wait()
        except TimeoutError:
            # The request is refused as not run.
            return

    def _check(
        self, request: Request, fields: CallerFields
    ) -> OwnAnswer | tuple[Route, AccountSpec | None]:
        in_force = self._ctx.in_force
        if self._closed():
            return OwnAnswer(503, "stopping", "no", STOPPING_RETRY_AFTER_S)
        if in_force.current is None:
            return OwnAnswer(503, "no_configuration", "no", STARTING_RETRY_AFTER_S)
        route = in_force.routes.find(request.header(b"host"), request.path)
        if route is None:
            return OwnAnswer(404, "no_route")
        if not in_force.keys and not in_force.current.accounts:
            return route, None
        account = in_force.keys.find(fields.api_key)
        if account is None and not route.anonymous:
            return OwnAnswer(401, "unknown_key")
        return route, account

    def _call(
        self,
        request: Request,
        fields: CallerFields,
        route: Route,
        account: AccountSpec | None,
        responder: Responder,
    ) -> Call | None:
        service = self._ctx.in_force.service(choose_service(route, fields.request_id))
        if service is None:
            return None
        wait_s = route.timeout_s
        if fields.deadline_s is not None:
            wait_s = min(wait_s, fields.deadline_s)
        prompt = None
        if route.kind is RequestKind.STREAMING:
            output = fields.expected_output_tokens or fields.max_output_tokens
            prompt = Prompt(fields.prompt_tokens, output, fields.prompt_parts)
        return Call(
            request=request,
            fields=replace(fields),
            route=route,
            service=service,
            account=account,
            prompt=prompt,
            responder=responder,
            ends_at_s=request.received_at_s + wait_s - ANSWER_MARGIN_S,
        )

    def _take_quota(self, call: Call, account: AccountSpec) -> bool:
        fields = call.fields
        tokens = fields.prompt_tokens + fields.max_output_tokens
        units = request_units(account, fields.states_tokens, tokens)
        now_s = asyncio.get_running_loop().time()
        wait_s = self._ctx.quota.take(account, units, self._ctx.quota_share(), now_s)
        if wait_s <= 0.0:
            call.units = units
            return True
        retry_after_s = min(wait_s, MAX_QUOTA_RETRY_AFTER_S)
        answer = OwnAnswer(429, "over_quota", "no", retry_after_s)
        answer_call(self._ctx, call, answer, account=account.name, units=units)
        return False

    def _refuse(
        self, fields: CallerFields, responder: Responder, answer: OwnAnswer, request: Request
    ) -> None:
        self._ctx.instruments.answers[("", "own", answer.reason)] += 1
        decision(
            "request_refused",
            request=fields.request_id.decode("latin-1"),
            path=request.path,
            status=answer.status,
            reason=answer.reason,
            configuration=self._ctx.in_force.revision,
        )
        write_own(self._ctx, fields, responder, answer)
