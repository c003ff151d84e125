"""Plain services over HTTP: each call is forwarded with its whole body, at most once."""

from __future__ import annotations

from godwitpath.adapters.http_client import AnswerLost, HttpClient, NotSent
from godwitpath.ports.engine import Address
from godwitpath.ports.service import (
    PlainService,
    ServiceCall,
    ServiceNotSent,
    ServiceResponse,
    ServiceUncertain,
)

MAX_RESPONSE_BYTES = 16_777_216

REQUEST_ID_HEADER = "x-request-id"
ATTEMPT_ID_HEADER = "x-attempt-id"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "x-timeout-s"
NOT_RUN_HEADER = "x-not-run"
"""Response header of a service that refused a call before running it."""


class HttpPlainService(PlainService):
    """Client of the plain services.

    :param connect_timeout_s: longest time to open a connection
    :param max_response_bytes: largest accepted response body
    :ivar foreign_responses: number of dropped responses that named another attempt
    """

    def __init__(
        self, connect_timeout_s: float = 1.0, max_response_bytes: int = MAX_RESPONSE_BYTES
    ) -> None:
        self._client = HttpClient(connect_timeout_s)
        self._max_response_bytes = max_response_bytes
        self.foreign_responses = 0

    async def call(self, address: Address, call: ServiceCall) -> ServiceResponse:
        # The URL parser of the HTTP client would cut the path at a semicolon.
        path = call.path.replace(";", "%3B")
        if not path.startswith("/") or "#" in path:
            raise ServiceNotSent("the path is not a path of the service")
        try:
            response, body = await self._client.call(
                call.method.upper(),
                f"http://{address}{path}",
                _headers(call),
                call.body,
                timeout_s=call.timeout_s,
                max_bytes=self._max_response_bytes,
                new_connection=call.new_connection,
            )
        except NotSent as error:
            raise ServiceNotSent(str(error)) from error
        except AnswerLost as error:
            raise ServiceUncertain(str(error)) from error
        if response.header(ATTEMPT_ID_HEADER) not in ("", call.attempt_id):
            self.foreign_responses += 1
            self._client.retire_connections(f"http://{address}/")
            raise ServiceUncertain("the answer belongs to another attempt")
        if response.header(NOT_RUN_HEADER):
            raise ServiceNotSent(f"refused with status {response.status}", response.retry_after_s)
        return ServiceResponse(response.status, response.headers, body)

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()


def _headers(call: ServiceCall) -> list[tuple[str, str]]:
    adapter_headers = {
        REQUEST_ID_HEADER: call.request_id,
        ATTEMPT_ID_HEADER: call.attempt_id,
        DEADLINE_HEADER: f"{call.timeout_s:.3f}",
        IDEMPOTENCY_KEY_HEADER: call.idempotency_key,
    }
    caller_headers = [
        (name, value) for name, value in call.headers if name.lower() not in adapter_headers
    ]
    return caller_headers + [(name, value) for name, value in adapter_headers.items() if value]
