"""Plain services over HTTP: calls are forwarded whole, at most once each."""

from __future__ import annotations

from godwitpath.adapters.http_client import AnswerLost, HttpClient, NotSent
from godwitpath.ports.engine import Address
from godwitpath.ports.service import (
    PlainService,
    ServiceAnswer,
    ServiceCall,
    ServiceNotSent,
    ServiceUncertain,
)

MAX_ANSWER_BYTES = 16_777_216

REQUEST_ID_HEADER = "x-request-id"
ATTEMPT_ID_HEADER = "x-attempt-id"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "x-timeout-s"
NOT_RUN_HEADER = "x-not-run"
"""Set by a service that refused a call before running it."""


class HttpPlainService(PlainService):
    """Client of the plain services.

    :param connect_timeout_s: longest time to open a connection
    :param max_answer_bytes: largest body of an answer
    :ivar foreign_answers: answers that named another attempt and were dropped
    """

    def __init__(
        self, connect_timeout_s: float = 1.0, max_answer_bytes: int = MAX_ANSWER_BYTES
    ) -> None:
        self._client = HttpClient(connect_timeout_s)
        self._max_answer_bytes = max_answer_bytes
        self.foreign_answers = 0

    async def call(self, address: Address, call: ServiceCall) -> ServiceAnswer:
        # A semicolon would be cut off by the URL parser of the client.
        path = call.path.replace(";", "%3B")
        if not path.startswith("/") or "#" in path:
            raise ServiceNotSent("the path is not a path of the service")
        try:
            answer, body = await self._client.call(
                call.method.upper(),
                f"http://{address}{path}",
                _headers(call),
                call.body,
                timeout_s=call.timeout_s,
                max_bytes=self._max_answer_bytes,
                fresh=call.fresh_connection,
            )
        except NotSent as error:
            raise ServiceNotSent(str(error)) from error
        except AnswerLost as error:
            raise ServiceUncertain(str(error)) from error
        if answer.header(ATTEMPT_ID_HEADER) not in ("", call.attempt_id):
            self.foreign_answers += 1
            self._client.suspect(f"http://{address}/")
            raise ServiceUncertain("the answer belongs to another attempt")
        if answer.header(NOT_RUN_HEADER):
            raise ServiceNotSent(f"refused with status {answer.status}", answer.retry_after_s)
        return ServiceAnswer(answer.status, answer.headers, body)

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()


def _headers(call: ServiceCall) -> list[tuple[str, str]]:
    own = {
        REQUEST_ID_HEADER: call.request_id,
        ATTEMPT_ID_HEADER: call.attempt_id,
        DEADLINE_HEADER: f"{call.timeout_s:.3f}",
        IDEMPOTENCY_KEY_HEADER: call.idempotency_key,
    }
    passed_on = [(name, value) for name, value in call.headers if name.lower() not in own]
    return passed_on + [(name, value) for name, value in own.items() if value]
