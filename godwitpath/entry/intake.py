"""Receives what callers send: who they are, and bodies within bounds."""

from __future__ import annotations

import asyncio
import re

from starlette.requests import ClientDisconnect, Request

from godwitpath.config.model import Account, Configuration, Service
from godwitpath.entry.context import NOT_READY_RETRY_S, EntryContext
from godwitpath.entry.refusals import CallerError

KEY_FORM = re.compile(r"[\x21-\x7e]{1,256}")
"""Form of an idempotency key: visible ASCII, at most 256 characters."""


def identify(context: EntryContext, request: Request) -> str:
    """Return the client account of a request.

    :raises CallerError: no key, or one that no account has
    """
    context.configuration()
    header = request.headers.get("authorization", "")
    scheme, _, key = header.partition(" ")
    if scheme.lower() != "bearer" or not key or context.accounts is None:
        raise CallerError("unauthenticated", "give an API key as `Authorization: Bearer KEY`")
    account = context.accounts.account_for(key.strip())
    if account is None:
        raise CallerError("unauthenticated", "the API key is not known")
    return account


def idempotency_key(request: Request) -> str:
    """Return the caller's idempotency key, empty without one.

    :raises CallerError: the key has another form
    """
    key = request.headers.get("idempotency-key", "")
    if key and not KEY_FORM.fullmatch(key):
        raise CallerError("malformed_request", "`Idempotency-Key` must be 1 to 256 visible ASCII")
    return key


def service_named(configuration: Configuration, name: str, kind: str) -> Service:
    """Return a configured service of a kind.

    :raises CallerError: there is none of that name and kind
    """
    service = configuration.services.get(name)
    if service is None or service.kind != kind:
        raise CallerError("unknown_service", f"there is no {kind} service named {name!r}")
    return service


def check_allowed(account: Account, service_name: str) -> None:
    """Refuse a service that the account may not call.

    :raises CallerError: it may not
    """
    if account.services and service_name not in account.services:
        raise CallerError("service_not_allowed", f"the account may not call {service_name!r}")


async def read_body(request: Request, limit_bytes: int, timeout_s: float) -> bytes:
    """Return the body of a request, within its bounds.

    :raises CallerError: the body is too large, too slow, or its declared length is no number
    """
    declared = request.headers.get("content-length", "0")
    if not (declared.isascii() and declared.isdigit() and len(declared) < 16):
        raise CallerError("malformed_request", "`Content-Length` must be a number")
    if int(declared) > limit_bytes:
        raise CallerError("body_too_large", f"the body may have {limit_bytes} bytes")
    parts: list[bytes] = []
    size_bytes = 0
    try:
        async with asyncio.timeout(timeout_s):
            async for part in request.stream():
                size_bytes += len(part)
                if size_bytes > limit_bytes:
                    raise CallerError("body_too_large", f"the body may have {limit_bytes} bytes")
                parts.append(part)
    except TimeoutError as error:
        raise CallerError("body_timeout", f"the body took over {timeout_s} s") from error
    except ClientDisconnect as error:
        raise CallerError("malformed_request", "the body ended early") from error
    return b"".join(parts)


def asked_timeout_s(request: Request, service: Service) -> float:
    """Return the time that a request may take: the caller's `X-Timeout-S` within the service's.

    :raises CallerError: the header is not a positive number
    """
    given = request.headers.get("x-timeout-s", "")
    if not given:
        return service.request_timeout_s
    try:
        asked_s = float(given)
    except ValueError as error:
        raise CallerError("malformed_request", "`X-Timeout-S` must be a number") from error
    if not 0 < asked_s < float("inf"):
        raise CallerError("malformed_request", "`X-Timeout-S` must be a positive number")
    return min(asked_s, service.request_timeout_s)


def check_taking(context: EntryContext) -> None:
    """Refuse new requests while the entry stops.

    :raises CallerError: the entry is stopping
    """
    if context.stopping:
        raise CallerError("stopping", "this entry is stopping", retry_after_s=NOT_READY_RETRY_S)
