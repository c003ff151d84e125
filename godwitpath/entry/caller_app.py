"""HTTP application for callers: generations, plain services and lookup of earlier requests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from godwitpath.entry.accept import Acceptance, generation_digest, new_generation_record
from godwitpath.entry.caller_body import parse_generation
from godwitpath.entry.context import EntryContext
from godwitpath.entry.delivery import (
    EventStream,
    complete_response,
    delivery_error,
    plain_response,
)
from godwitpath.entry.disconnects import DisconnectTracker
from godwitpath.entry.forward import Forwarder
from godwitpath.entry.intake import (
    authenticate,
    check_accepting,
    check_allowed,
    find_service,
    idempotency_key,
    read_body,
    requested_timeout_s,
)
from godwitpath.entry.plain_calls import FORWARDED_METHODS, PlainCalls
from godwitpath.entry.position import Position, parse_position
from godwitpath.entry.refusals import CallerError, error_response
from godwitpath.records.reader import RecordLost
from godwitpath.records.record import OffsetUnknown, RecordRef

Handler = Callable[[Request], Awaitable[Response]]


class CallerApp:
    """Request handlers of the caller API."""

    __slots__ = ("_acceptance", "_context", "_disconnects", "_plain_calls")

    def __init__(
        self,
        context: EntryContext,
        acceptance: Acceptance,
        forwarder: Forwarder,
        disconnects: DisconnectTracker,
    ) -> None:
        self._context = context
        self._acceptance = acceptance
        self._plain_calls = PlainCalls(context, acceptance, forwarder)
        self._disconnects = disconnects

    def application(self) -> Starlette:
        """Return the ASGI application."""
        handlers: list[tuple[str, Handler, list[str]]] = [
            ("/v1/chat/completions", self._handle_chat, ["POST"]),
            ("/v1/completions", self._handle_completion, ["POST"]),
            ("/v1/models", self._handle_models, ["GET"]),
            ("/v1/requests/{request_id}", self._handle_request_lookup, ["GET"]),
            ("/v1/requests/{request_id}/events", self._handle_request_events, ["GET"]),
            ("/services/{name}{path:path}", self._plain_calls.handle, FORWARDED_METHODS),
        ]
        routes = [
            Route(path, self._with_typed_errors(handler), methods=m)
            for path, handler, m in handlers
        ]
        return Starlette(routes=routes, exception_handlers={HTTPException: self._unknown_path})

    def _with_typed_errors(self, handler: Handler) -> Handler:
        """Return a handler that converts every error to a typed response with a request id."""

        async def handle(request: Request) -> Response:
            request.state.request_id = self._context.records.new_request_id("")
            request.state.account = ""
            try:
                return await handler(request)
            except CallerError as error:
                self._context.decisions.refused(
                    error, request.state.request_id, request.state.account
                )
                return error_response(error, request.state.request_id)
            except (OffsetUnknown, RecordLost) as error:
                caller_error = delivery_error(error)
                self._context.decisions.refused(
                    caller_error, request.state.request_id, request.state.account
                )
                return error_response(caller_error, request.state.request_id)
            except Exception as error:
                # Last resort: unexpected errors also get a typed response.
                self._context.decisions.internal_error(error, request.state.request_id)
                unexpected_error = CallerError("internal_error", "the entry failed", ran="unknown")
                return error_response(unexpected_error, request.state.request_id)

        return handle

    async def _unknown_path(self, _request: Request, error: Exception) -> Response:
        request_id = self._context.records.new_request_id("")
        detail = error.detail if isinstance(error, HTTPException) else ""
        return error_response(CallerError("unknown_path", detail or "no such path"), request_id)

    async def _handle_chat(self, request: Request) -> Response:
        return await self._handle_generation(request, chat=True)

    async def _handle_completion(self, request: Request) -> Response:
        return await self._handle_generation(request, chat=False)

    async def _handle_generation(self, request: Request, chat: bool) -> Response:
        context = self._context
        account_name = authenticate(context, request)
        configuration = context.configuration()
        key = idempotency_key(request)
        request.state.request_id = context.records.new_request_id(account_name, key)
        limit_bytes = max(service.max_body_bytes for service in configuration.services.values())
        raw = await read_body(request, limit_bytes, context.settings.caller.header_timeout_s)
        parsed = parse_generation(raw, chat)
        service = find_service(configuration, parsed.service, "generation")
        account = configuration.accounts[account_name]
        check_allowed(account, parsed.service)
        if len(raw) > service.max_body_bytes:
            raise CallerError("body_too_large", f"the body may have {service.max_body_bytes} bytes")
        position = _requested_position(request)
        timeout_s = requested_timeout_s(request, service)
        ref = None
        if key:
            digest = generation_digest(raw, chat)
            ref = await self._acceptance.find_earlier(account_name, key, digest)
        if ref is None:
            check_accepting(context)
            record = new_generation_record(
                request.state.request_id,
                account_name,
                key,
                raw,
                parsed,
                service,
                account.priority,
                timeout_s,
            )
            ref = await self._acceptance.accept_generation(record, parsed, service)
        return await self._deliver(ref, parsed.streamed, position, parsed.include_usage)

    async def _deliver(
        self, ref: RecordRef, streamed: bool, position: Position, include_usage: bool
    ) -> Response:
        if not streamed:
            return await complete_response(self._context, ref)
        self._disconnects.attached(ref)
        return EventStream(self._context, ref, position, include_usage, self._disconnects.detached)

    async def _handle_models(self, request: Request) -> Response:
        account_name = authenticate(self._context, request)
        configuration = self._context.configuration()
        allowed = configuration.accounts[account_name].services
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "godwitpath"}
            for name, service in configuration.services.items()
            if service.kind == "generation" and (not allowed or name in allowed)
        ]
        body = msgspec.json.encode({"object": "list", "data": models})
        return Response(body, media_type="application/json")

    async def _find_record(self, request: Request) -> RecordRef:
        account = authenticate(self._context, request)
        request.state.account = account
        requested_id = request.path_params["request_id"]
        ref = await self._context.records.find(account, request_id=requested_id)
        if ref is None:
            raise CallerError("unknown_request", "no such request of this account is known")
        return ref

    async def _handle_request_lookup(self, request: Request) -> Response:
        ref = await self._find_record(request)
        if ref.state != "finished" and request.query_params.get("wait") != "true":
            state = {"id": ref.request_id, "state": ref.state, "tokens": ref.tokens}
            return Response(msgspec.json.encode(state), 202, media_type="application/json")
        if ref.kind == "plain":
            outcome = await self._context.records.outcome(ref)
            return plain_response(outcome, ref.request_id, replayed=True)
        return await complete_response(self._context, ref)

    async def _handle_request_events(self, request: Request) -> Response:
        ref = await self._find_record(request)
        if ref.kind == "plain":
            raise CallerError("unknown_request", "only generations have events")
        return await self._deliver(ref, True, _requested_position(request), False)


def _requested_position(request: Request) -> Position:
    return parse_position(request.headers.get("last-event-id", ""))
