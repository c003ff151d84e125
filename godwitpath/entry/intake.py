"""Reads caller requests: authentication, headers, and bodies within size and time limits."""

from __future__ import annotations

import asyncio
import re

from starlette.requests import ClientDisconnect, Request

from godwitpath.config.model import Account, Configuration, Service
from godwitpath.entry.context import NOT_READY_RETRY_S, EntryContext
from godwitpath.entry.refusals import CallerError

KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,256}")
"""Valid idempotency keys: 1 to 256 visible ASCII characters."""


def authenticate(context: EntryContext, request: Request) -> str:
    """Return the client account that a request's API key belongs to.

    :raises CallerError: the API key is missing or unknown
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
    """Return the caller's idempotency key, or an empty string if there is none.

    :raises CallerError: the key is malformed
    """
    key = request.headers.get("idempotency-key", "")
    if key and not KEY_PATTERN.fullmatch(key):
        raise CallerError("malformed_request", "`Idempotency-Key` must be 1 to 256 visible ASCII")
    return key


def find_service(configuration: Configuration, name: str, kind: str) -> Service:
    """Return the configured service of a given name and kind.

    :raises CallerError: no service has that name and kind
    """
    service = configuration.services.get(name)
    if service is None or service.kind != kind:
        raise CallerError("unknown_service", f"there is no {kind} service named {name!r}")
    return service


def check_allowed(account: Account, service_name: str) -> None:
    """Check that an account may call a service.

    :raises CallerError: the account may not call the service
    """
    if account.services and service_name not in account.services:
        raise CallerError("service_not_allowed", f"the account may not call {service_name!r}")


async def read_body(request: Request, limit_bytes: int, timeout_s: float) -> bytes:
    """Return the body of a request, within size and time limits.

    :raises CallerError: the body is too large, late or incomplete, or `Content-Length` is invalid
    """
    declared = request.headers.get("content-length", "0")
    if not (declared.isascii() and declared.isdigit() and len(declared) < 16):
        raise CallerError("malformed_request", "`Content-Length` must be a number")
    if int(declared) > limit_bytes:
        raise CallerError("body_too_large", f"the body may have {limit_bytes} bytes")
    chunks: list[bytes] = []
    size_bytes = 0
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.stream():
                size_bytes += len(chunk)
                if size_bytes > limit_bytes:
                    raise CallerError("body_too_large", f"the body may have {limit_bytes} bytes")
                chunks.append(chunk)
    except TimeoutError as error:
        raise CallerError("body_timeout", f"the body took over {timeout_s} s") from error
    except ClientDisconnect as error:
        raise CallerError("malformed_request", "the body ended early") from error
    return b"".join(chunks)


def requested_timeout_s(request: Request, service: Service) -> float:
    """Return the request timeout: the caller's `X-Timeout-S`, limited by that of the service.

    :raises CallerError: the header is not a positive number
    """
    header_value = request.headers.get("x-timeout-s", "")
    if not header_value:
        return service.request_timeout_s
    try:
        requested_s = float(header_value)
    except ValueError as error:
        raise CallerError("malformed_request", "`X-Timeout-S` must be a number") from error
    if not 0 < requested_s < float("inf"):
        raise CallerError("malformed_request", "`X-Timeout-S` must be a positive number")
    return min(requested_s, service.request_timeout_s)


def check_accepting(context: EntryContext) -> None:
    """Check that the entry accepts new requests.

    :raises CallerError: the entry is stopping
    """
    if context.stopping:
        raise CallerError("stopping", "this entry is stopping", retry_after_s=NOT_READY_RETRY_S)
