"""Handles callers' requests: finds route and account, enforces the quota, and forwards."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from godwitpath.gateway.accounts import request_units
from godwitpath.gateway.call import (
    Call,
    GatewayResponse,
    send_gateway_response,
    write_gateway_response,
)
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.fingerprint import fingerprint
from godwitpath.gateway.forward import forward_plain
from godwitpath.gateway.model import AccountSpec, RequestKind, Route
from godwitpath.gateway.placement import Prompt
from godwitpath.gateway.planned_stop import PlannedStop
from godwitpath.gateway.routes import choose_service
from godwitpath.gateway.stream import forward_stream
from godwitpath.gateway.wire_fields import CallerFields
from godwitpath.http1.messages import Request
from godwitpath.http1.responder import Responder
from godwitpath.telemetry.decisions import decision

MAX_STARTUP_WAIT_S = 0.8
"""Maximum wait of a request at a daemon that has just started and is still reading configuration
and engines from the store: reading takes two round trips between regions, and a refusal costs the
caller a retry."""

MAX_STARTUP_WAIT_SHARE = 0.25
"""Maximum share of a request's deadline that the wait at a starting daemon may take."""

STARTING_RETRY_AFTER_S = 0.5
"""Retry-after time sent to a caller by a daemon that has no configuration yet, or none with the
service."""

STOPPING_RETRY_AFTER_S = 0.05
"""Retry-after time sent to a caller by a stopping daemon: the caller should retry at once at
another daemon."""

OUTDATED_RETRY_AFTER_S = 0.5
"""Retry-after time sent to a caller by a daemon whose configuration may be outdated: another daemon
may know more."""

MAX_QUOTA_RETRY_AFTER_S = 10.0
"""Maximum retry-after time sent to a caller whose account has used up its quota."""

RESPONSE_MARGIN_S = 0.01
"""Time before the caller's deadline at which the final response is sent."""


class Intake:
    """Handles the callers' requests to a daemon.

    :param planned_stop: which requests are taken once the daemon stops
    :param catalogue_loaded: set once the configuration and the engines are known
    """

    def __init__(
        self,
        ctx: GatewayContext,
        planned_stop: PlannedStop,
        catalogue_loaded: asyncio.Event,
    ) -> None:
        self._ctx = ctx
        self._catalogue_loaded = catalogue_loaded
        self._planned_stop = planned_stop
        # One for each request that is being forwarded; ends it when it is rescheduled.
        self._cut_timeouts: set[asyncio.Timeout] = set()

    def cut(self) -> int:
        """End the requests that are being forwarded, each with a final response.

        :returns: the number of these requests
        """
        now_s = asyncio.get_running_loop().time()
        for timeout in self._cut_timeouts:
            timeout.reschedule(now_s)
        return len(self._cut_timeouts)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Respond to a caller's request, and record its duration and outcome."""
        fields = self._ctx.header_codec.decode_caller(request.headers)
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
        if not self._catalogue_loaded.is_set():
            await self._wait_catalogue_loaded(fields)
        check_result = self._check(request, fields)
        if isinstance(check_result, GatewayResponse):
            self._refuse(fields, responder, check_result, request)
            return
        route, account = check_result
        call = self._build_call(request, fields, route, account, responder)
        if call is None:
            response = GatewayResponse(503, "service_unknown", "no", STARTING_RETRY_AFTER_S)
            self._refuse(fields, responder, response, request)
            return
        if call.time_left_s() <= 0:
            send_gateway_response(ctx, call, GatewayResponse(504, "late"))
            return
        now_s = asyncio.get_running_loop().time()
        if not self._planned_stop.takes(route.name, call.time_left_s(), now_s):
            response = GatewayResponse(503, "stopping", "no", STOPPING_RETRY_AFTER_S)
            send_gateway_response(ctx, call, response)
            return
        if account is not None and not self._take_quota(call, account):
            return
        ctx.retry_budget.record_first_send(call.service.name, now_s)
        await self._forward(call)

    async def _forward(self, call: Call) -> None:
        """Forward a request, and send its final response if the daemon stops before it has one."""
        forward = forward_stream if call.prompt is not None else forward_plain
        try:
            async with asyncio.timeout(None) as cut_timeout:
                self._cut_timeouts.add(cut_timeout)
                await forward(self._ctx, call)
        except TimeoutError:
            if not cut_timeout.expired():
                raise
            response = GatewayResponse(503, "stopping", "no", STOPPING_RETRY_AFTER_S)
            if call.may_have_run:
                response = GatewayResponse(502, "stopping", "unknown")
            if not call.responder.finished:
                send_gateway_response(self._ctx, call, response)
        finally:
            self._cut_timeouts.discard(cut_timeout)
        if call.responder.finished and call.responder.status < 300:
            took_s = asyncio.get_running_loop().time() - call.request.received_at_s
            self._planned_stop.note_duration(call.route.name, took_s)

    async def _wait_catalogue_loaded(self, fields: CallerFields) -> None:
        """Wait for a limited time until the configuration and the engines are known."""
        wait_s = MAX_STARTUP_WAIT_S
        if fields.deadline_s is not None:
            wait_s = min(wait_s, fields.deadline_s * MAX_STARTUP_WAIT_SHARE)
        try:
            async with asyncio.timeout(wait_s):
                await self._catalogue_loaded.wait()
        except TimeoutError:
            # A request that cannot be forwarded yet is refused by the later checks, as not run.
            return

    def _check(
        self, request: Request, fields: CallerFields
    ) -> GatewayResponse | tuple[Route, AccountSpec | None]:
        in_force = self._ctx.in_force
        if self._planned_stop.refuses_all(asyncio.get_running_loop().time()):
            return GatewayResponse(503, "stopping", "no", STOPPING_RETRY_AFTER_S)
        if in_force.current is None:
            return GatewayResponse(503, "no_configuration", "no", STARTING_RETRY_AFTER_S)
        route = in_force.routes.find(request.header(b"host"), request.path)
        if route is None:
            return self._deny(404, "no_route")
        if not in_force.keys and not in_force.current.accounts:
            return route, None
        account = in_force.keys.find(fields.api_key)
        if account is None and not route.anonymous:
            return self._deny(401, "unknown_key")
        return route, account

    def _deny(self, status: int, reason: str) -> GatewayResponse:
        """Refuse what the configuration does not allow.

        A daemon that has been out of touch for longer than the platform allows may lack a route or
        a key that was added since, so it says that it cannot tell.
        """
        if self._ctx.ages().configuration_s > self._ctx.settings.bounds.contact_s:
            return GatewayResponse(503, "configuration_outdated", "no", OUTDATED_RETRY_AFTER_S)
        return GatewayResponse(status, reason)

    def _build_call(
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
        timeout_s = route.timeout_s
        if fields.deadline_s is not None:
            timeout_s = min(timeout_s, fields.deadline_s)
        prompt = None
        if route.kind is RequestKind.STREAMING:
            output_tokens = fields.expected_output_tokens or fields.max_output_tokens
            prompt = Prompt(fields.prompt_tokens, output_tokens, fields.prompt_parts)
        return Call(
            request=request,
            fields=replace(fields),
            route=route,
            service=service,
            account=account,
            prompt=prompt,
            responder=responder,
            respond_by_s=request.received_at_s + timeout_s - RESPONSE_MARGIN_S,
            fingerprint=fingerprint(request, account.name if account is not None else ""),
        )

    def _take_quota(self, call: Call, account: AccountSpec) -> bool:
        fields = call.fields
        tokens = fields.prompt_tokens + fields.max_output_tokens
        units = request_units(account, fields.has_token_counts, tokens)
        now_s = asyncio.get_running_loop().time()
        wait_s = self._ctx.quota.take(account, units, self._ctx.quota_share(), now_s)
        if wait_s <= 0.0:
            call.quota_units = units
            return True
        retry_after_s = min(wait_s, MAX_QUOTA_RETRY_AFTER_S)
        response = GatewayResponse(429, "over_quota", "no", retry_after_s)
        send_gateway_response(self._ctx, call, response, account=account.name, units=units)
        return False

    def _refuse(
        self,
        fields: CallerFields,
        responder: Responder,
        response: GatewayResponse,
        request: Request,
    ) -> None:
        self._ctx.instruments.responses[("", "own", response.reason)] += 1
        decision(
            "request_refused",
            request=fields.request_id.decode("latin-1"),
            path=request.path,
            status=response.status,
            reason=response.reason,
            configuration=self._ctx.in_force.revision,
            configuration_age_s=round(self._ctx.ages().configuration_s, 3),
        )
        write_gateway_response(self._ctx, fields, responder, response)
