"""Typed errors returned to callers, and their JSON encoding."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal

import msgspec
from starlette.responses import Response

from godwitpath.entry.linger import LingeringResponse
from godwitpath.errors import GodwitpathError

Ran = Literal["yes", "no", "unknown"]

NO_UPSTREAM_RETRY_S = 2.0
"""Retry-after for a service without a serving upstream."""

STATUS_BY_REASON: dict[str, int] = {
    "malformed_request": 400,
    "idempotency_key_required": 400,
    "unauthenticated": 401,
    "service_not_allowed": 403,
    "unknown_service": 404,
    "unknown_request": 404,
    "unknown_path": 404,
    "body_timeout": 408,
    "request_in_progress": 409,
    "body_too_large": 413,
    "idempotency_key_reused": 422,
    "rate_limited": 429,
    "headers_too_large": 431,
    "internal_error": 500,
    "upstream_failed": 502,
    "overloaded": 503,
    "no_upstream": 503,
    "dependency_down": 503,
    "not_ready": 503,
    "stopping": 503,
    "store_unavailable": 503,
    "outcome_unknown": 504,
    "deadline_exceeded": 504,
}
"""HTTP status by error reason."""


class CallerError(GodwitpathError):
    """An error returned to the caller of a request.

    :ivar reason: one of the keys of :data:`STATUS_BY_REASON`
    :ivar ran: whether the request ran at an upstream
    :ivar retry_after_s: time after which to retry, 0 if a retry does not help
    """

    def __init__(
        self, reason: str, message: str, ran: Ran = "no", retry_after_s: float = 0.0
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.ran: Ran = ran
        self.retry_after_s = retry_after_s

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return STATUS_BY_REASON[self.reason]


@dataclass(slots=True)
class ErrorDetail:
    """The `error` member of an error body.

    :ivar ask_again: path at which the outcome can be requested later, empty for none
    """

    type: str
    code: str
    message: str
    ran: str
    request_id: str
    retry_after_s: float
    ask_again: str


@dataclass(slots=True)
class ErrorBody:
    """The JSON body of an error, in the format that OpenAI clients expect."""

    error: ErrorDetail


def error_body(error: CallerError, request_id: str) -> bytes:
    """Return the JSON body of an error."""
    outcome_pending = error.ran == "unknown" or error.reason == "request_in_progress"
    detail = ErrorDetail(
        type=error.reason,
        code=error.reason,
        message=str(error),
        ran=error.ran,
        request_id=request_id,
        retry_after_s=round(error.retry_after_s, 3),
        ask_again=f"/v1/requests/{request_id}" if outcome_pending else "",
    )
    return msgspec.json.encode(ErrorBody(detail))


def error_response(error: CallerError, request_id: str) -> Response:
    """Return the HTTP response of an error."""
    headers = {"x-request-id": request_id}
    if error.retry_after_s > 0:
        headers["retry-after"] = str(max(1, math.ceil(error.retry_after_s)))
    # The body of a request that is refused for its size may still be arriving.
    response_class = LingeringResponse if error.reason == "body_too_large" else Response
    return response_class(
        error_body(error, request_id),
        status_code=error.status,
        media_type="application/json",
        headers=headers,
    )
