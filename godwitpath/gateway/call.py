"""State of a caller's request, and the responses that the gateway generates itself."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import msgspec

from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.fingerprint import subjects_of_parts
from godwitpath.gateway.model import AccountSpec, Route, ServiceSpec
from godwitpath.gateway.placement import Prompt
from godwitpath.gateway.wire_fields import CallerFields
from godwitpath.http1.messages import Request
from godwitpath.http1.responder import Responder
from godwitpath.telemetry.decisions import decision


@dataclass(slots=True)
class Call:
    """A caller's request that passed the checks of route and API key.

    :ivar account: account of the API key, None for an anonymous request
    :ivar prompt: prompt of a streaming request, None for a plain request
    :ivar fields: decoded header fields of the caller
    :ivar respond_by_s: loop time by which the final response is sent
    :ivar quota_units: units that the request took from the account's quota
    :ivar attempts: number of sends of the request to engines, not counting those that continue a
        run that was moved to another engine
    :ivar may_have_run: whether the request was sent to an engine that did not refuse it
    :ivar tried_engine_ids: ids of the engines that the request was sent to or that were unreachable
    :ivar held_back_engine_ids: ids of the limited engines for which the request got no permit
    :ivar broken_sends: number of sends whose connection was lost before a response began
    :ivar usage_counted: whether the request was counted in the usage of its account
    :ivar fingerprint: digest that the copies of the request have in common
    """

    request: Request
    fields: CallerFields
    route: Route
    service: ServiceSpec
    account: AccountSpec | None
    prompt: Prompt | None
    responder: Responder
    respond_by_s: float
    quota_units: float = 0.0
    attempts: int = 0
    may_have_run: bool = False
    tried_engine_ids: set[str] = field(default_factory=set)
    held_back_engine_ids: set[str] = field(default_factory=set)
    broken_sends: int = 0
    usage_counted: bool = False
    fingerprint: str = ""
    known_subjects: tuple[str, ...] | None = field(default=None, init=False, repr=False)

    @property
    def account_name(self) -> str:
        """Name of the account, empty for an anonymous request."""
        return self.account.name if self.account else ""

    @property
    def priority(self) -> int:
        """Priority of the request: the account's, else the route's; 0 is served first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts that other requests may share, none of a plain request."""
        return self.prompt.shared_part_ids if self.prompt is not None else ()

    @property
    def subjects(self) -> tuple[str, ...]:
        """What a crash of an engine under the request may be due to."""
        if self.known_subjects is None:
            parts = subjects_of_parts(self.shared_parts)
            self.known_subjects = (*parts, self.fingerprint) if self.fingerprint else parts
        return self.known_subjects

    @property
    def request_id(self) -> str:
        """Request id that the caller sent, as text for the log."""
        return self.fields.request_id.decode("latin-1")

    def time_left_s(self) -> float:
        """Return the seconds until the final response is due, negative after that time."""
        return self.respond_by_s - asyncio.get_running_loop().time()


@dataclass(slots=True)
class GatewayResponse:
    """A response that the gateway generates itself.

    :ivar reason: why the gateway responds itself, for the caller and the log
    :ivar ran: `no` if no engine has run the request or will run it, else `unknown`
    :ivar retry_after_s: time after which the caller may retry, None if a retry is pointless
    """

    status: int
    reason: str
    ran: str = "no"
    retry_after_s: float | None = None


def send_gateway_response(
    ctx: GatewayContext, call: Call, response: GatewayResponse, **inputs: Any
) -> None:
    """Send a response that the gateway generates itself, and log it.

    If an engine's response has already started, it is aborted instead.

    :param inputs: further values for the log line
    """
    responder = call.responder
    ctx.instruments.responses[(call.route.name, "own", response.reason)] += 1
    if response.ran == "no" and call.account is not None:
        ctx.quota.refund(call.account, call.quota_units)
    decision(
        "own_answer",
        request=call.request_id,
        route=call.route.name,
        service=call.service.name,
        status=0 if responder.started else response.status,
        reason=response.reason,
        ran=response.ran,
        attempts=call.attempts,
        waited_s=round(asyncio.get_running_loop().time() - call.request.received_at_s, 3),
        configuration=ctx.in_force.revision,
        **inputs,
    )
    if responder.started:
        responder.abort()
    else:
        write_gateway_response(ctx, call.fields, responder, response)


def write_gateway_response(
    ctx: GatewayContext, fields: CallerFields, responder: Responder, response: GatewayResponse
) -> None:
    """Write a response that the gateway generates itself to the caller."""
    headers = ctx.header_codec.own_response_headers(fields.request_id, response.retry_after_s)
    headers.append((b"content-type", b"application/json"))
    body = msgspec.json.encode({"error": response.reason, "ran": response.ran})
    responder.respond(response.status, headers, body)
