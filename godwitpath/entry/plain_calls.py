"""Handles calls to plain services on the caller API."""

from __future__ import annotations

import asyncio
import hashlib

from starlette.requests import Request
from starlette.responses import Response

from godwitpath.entry.accept import Acceptance
from godwitpath.entry.context import EntryContext
from godwitpath.entry.delivery import plain_response
from godwitpath.entry.forward import HOP_BY_HOP, CallRule, Forwarder, call_rule
from godwitpath.entry.intake import (
    authenticate,
    check_accepting,
    check_allowed,
    find_service,
    idempotency_key,
    read_body,
    requested_timeout_s,
)
from godwitpath.entry.refusals import CallerError
from godwitpath.records.messages import local_ref
from godwitpath.records.record import Outcome, RequestRecord

FORWARDED_METHODS = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]
"""Methods that are forwarded to plain services."""

BODILESS_METHODS = frozenset({"GET", "HEAD"})
"""Methods for which a body has no defined meaning (RFC 9110, 9.3.1) and is not forwarded."""


class PlainCalls:
    """Accepts calls to plain services and responds to them."""

    __slots__ = ("_acceptance", "_context", "_forwarder")

    def __init__(self, context: EntryContext, acceptance: Acceptance, forwarder: Forwarder) -> None:
        self._context = context
        self._acceptance = acceptance
        self._forwarder = forwarder

    async def handle(self, request: Request) -> Response:
        """Handle one call to a plain service.

        :raises CallerError: the call is refused
        """
        context = self._context
        account = authenticate(context, request)
        configuration = context.configuration()
        name = request.path_params["name"]
        service = find_service(configuration, name, "plain")
        check_allowed(configuration.accounts[account], name)
        key = idempotency_key(request)
        request.state.request_id = context.records.new_request_id(account, key)
        request.state.account = account
        path = forwarded_path(request)
        rule = call_rule(service, request.method, path, key)
        if rule.key_required and not key:
            raise CallerError(
                "idempotency_key_required", "this call may not be repeated: give `Idempotency-Key`"
            )
        timeout_s = context.settings.caller.header_timeout_s
        raw = await read_body(request, service.max_body_bytes, timeout_s)
        if raw and request.method in BODILESS_METHODS:
            raise CallerError("malformed_request", f"a body of {request.method} is not forwarded")
        digest = plain_digest(request.method, path, raw)
        if key:
            earlier = await self._acceptance.find_earlier(account, key, digest)
            if earlier is not None:
                outcome = await context.records.outcome(earlier)
                return plain_response(outcome, earlier.request_id, replayed=True)
        check_accepting(context)
        self._acceptance.charge_limits(account, tokens=0)
        self._forwarder.choose(name, set())
        record = RequestRecord(
            request_id=request.state.request_id,
            account=account,
            service=name,
            kind="plain",
            method=request.method,
            path=path,
            headers=[(n, v) for n, v in request.headers.items() if n not in HOP_BY_HOP],
            idempotency_key=key,
            body=raw,
            body_digest=digest,
            timeout_s=requested_timeout_s(request, service),
            keep_outcome_s=service.keep_outcome_s,
        )
        context.metrics.accepted.add(1, service=name, kind="plain")
        outcome = await self._run(record, rule)
        return plain_response(outcome, record.request_id)

    async def _run(self, record: RequestRecord, rule: CallRule) -> Outcome:
        context = self._context
        copy_task = asyncio.create_task(context.records.accept(record))
        # A non-idempotent call is copied to the backup before it is sent, so that its outcome
        # survives a failure of this entry. Other calls are sent while the copy is in transit.
        if rule.guarded and not await copy_task:
            context.metrics.without_backup.add(1)
        self._forwarder.start(record, rule)
        await copy_task
        # The outcome may come from another entry that takes over the record in the meantime.
        return await context.records.outcome(local_ref(record))


def plain_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that must match for two calls under one idempotency key."""
    return hashlib.sha256(f"{method} {path}\n".encode() + body).hexdigest()


def forwarded_path(request: Request) -> str:
    """Return the path and query to send to the service, encoded as the caller sent them."""
    prefix = f"/services/{request.path_params['name']}"
    raw_path = request.scope.get("raw_path", b"").partition(b"?")[0].decode("latin-1")
    path = raw_path.removeprefix(prefix) or "/"
    query = request.url.query
    return f"{path}?{query}" if query else path
