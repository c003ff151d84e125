"""One caller's request on its way, and the answers that the gateway gives by itself."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import msgspec

from godwitpath.gateway.calls import CallerFields
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.model import AccountSpec, Route, ServiceSpec
from godwitpath.gateway.placing import Prompt
from godwitpath.http1.messages import Request
from godwitpath.http1.server import Responder
from godwitpath.telemetry.decisions import decision


@dataclass(slots=True)
class Call:
    """A request that passed the checks.

    :ivar ends_at_s: loop time at which the caller has its final answer
    :ivar units: what it took from its account's quota
    :ivar attempts: sends that reached an engine
    :ivar may_have_run: whether a send is not known to have been refused
    :ivar counted: whether it was counted as usage
    :ivar tried: engines that it was sent to, or that could not be reached
    """

    request: Request
    fields: CallerFields
    route: Route
    service: ServiceSpec
    account: AccountSpec | None
    prompt: Prompt | None
    responder: Responder
    ends_at_s: float
    units: float = 0.0
    attempts: int = 0
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    counted: bool = False

    @property
    def account_name(self) -> str:
        """Name of the account, empty for an anonymous request."""
        return self.account.name if self.account else ""

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def request_id(self) -> str:
        """The caller's name of the request, for the log."""
        return self.fields.request_id.decode("latin-1")

    def time_left_s(self) -> float:
        """Return the time until the final answer is due."""
        return self.ends_at_s - asyncio.get_running_loop().time()


@dataclass(slots=True)
class OwnAnswer:
    """An answer that the gateway gives by itself.

    :ivar ran: `no` where no engine ran the request and none will, `unknown` otherwise
    :ivar retry_after_s: when the caller may come back, None where that is of no use
    """

    status: int
    reason: str
    ran: str = "no"
    retry_after_s: float | None = None


def answer_call(ctx: GatewayContext, call: Call, answer: OwnAnswer, **inputs: Any) -> None:
    """Give a caller an answer of our own, or break off one that was begun."""
    responder = call.responder
    ctx.instruments.answers[(call.route.name, "own", answer.reason)] += 1
    if answer.ran == "no" and call.account is not None:
        ctx.quota.give_back(call.account, call.units)
    decision(
        "own_answer",
        request=call.request_id,
        route=call.route.name,
        service=call.service.name,
        status=0 if responder.started else answer.status,
        reason=answer.reason,
        ran=answer.ran,
        attempts=call.attempts,
        waited_s=round(asyncio.get_running_loop().time() - call.request.received_at_s, 3),
        configuration=ctx.in_force.revision,
        **inputs,
    )
    if responder.started:
        responder.abort()
    else:
        write_own(ctx, call.fields, responder, answer)


def write_own(
    ctx: GatewayContext, fields: CallerFields, responder: Responder, answer: OwnAnswer
) -> None:
    """Write an answer of our own."""
    headers = ctx.wire.refusal_headers(fields.request_id, answer.retry_after_s)
    headers.append((b"content-type", b"application/json"))
    body = msgspec.json.encode({"error": answer.reason, "ran": answer.ran})
    responder.respond(answer.status, headers, body)
