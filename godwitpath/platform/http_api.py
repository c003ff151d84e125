"""HTTP client for JSON calls to the platform's store, its cloud API and engines."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from godwitpath.http1.messages import NotSent, ResponseHead, ResponseLost, encode_request_head
from godwitpath.http1.pool import ConnectionPool, keep_alive_limit_s
from godwitpath.http1.response_limits import ResponseLimitExceeded
from godwitpath.http1.transfers import read_transfer
from godwitpath.ports.engine import Address
from godwitpath.telemetry.decisions import decision

CONNECT_TIMEOUT_S = 0.8
"""Maximum time to open a connection: two round trips between regions and a lost first packet."""

STALL_TIMEOUT_S = 0.8
"""Longest time without progress while a response arrives, as for a connection."""

MAX_ANSWER_BYTES = 65_536
"""Maximum size of a response that contains no values: a status, a number, or why it was refused."""

MAX_CONNECTION_IDLE_S = 10.0
"""Maximum idle time of a connection that is reused."""

REFUSED_STATUSES = frozenset((429, 503))
"""Response statuses with which the platform states that it did not carry out the call."""

EXPECTED_STATUSES = frozenset((200, 404, 409, 410, 412))
"""Response statuses that callers of :meth:`HttpApiClient.call` handle."""


@dataclass(slots=True, frozen=True)
class ApiResponse:
    """A complete response."""

    status: int
    body: bytes
    head: ResponseHead


class HttpApiClient:
    """HTTP client for one address.

    :ivar calls: number of calls by kind of call and outcome
    """

    def __init__(self, address: Address) -> None:
        self.calls: Counter[tuple[str, str]] = Counter()
        self._address = address
        self._host = str(address).encode()
        self._pool = ConnectionPool(MAX_CONNECTION_IDLE_S)

    async def call(
        self,
        kind: str,
        method: str,
        target: str,
        body: Any,
        *,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        may_send: Callable[[], bool] = lambda: True,
        max_body_bytes: int = MAX_ANSWER_BYTES,
    ) -> ApiResponse:
        """Make a call and return its response.

        :param timeout_s: longest time until the response begins; its body may take as long as its
            size requires
        :param kind: kind of the call, under which it is counted in :attr:`calls`
        :param body: value that is encoded as JSON and sent as the request body, None for no body
        :param may_send: returns whether the call is still allowed once its connection is open
        :param max_body_bytes: maximum size of the response's body
        :raises NotSent: the call was not carried out
        :raises ResponseLost: the call may have been carried out, or may be carried out later
        """
        try:
            response = await self.exchange(
                method,
                target,
                body,
                headers,
                timeout_s=timeout_s,
                may_send=may_send,
                max_body_bytes=max_body_bytes,
            )
        except NotSent:
            self.calls[(kind, "unreachable")] += 1
            raise
        except ResponseLimitExceeded as error:
            self.calls[(kind, "limit_exceeded")] += 1
            decision(
                "platform_response_limit",
                address=str(self._address),
                call=kind,
                limit=error.limit,
                amount=error.amount,
            )
            raise
        except ResponseLost:
            self.calls[(kind, "lost")] += 1
            raise
        except TimeoutError as error:
            self.calls[(kind, "timeout")] += 1
            raise ResponseLost(f"no response within {timeout_s:.1f} s") from error
        self.calls[(kind, str(response.status))] += 1
        if response.status in REFUSED_STATUSES:
            raise NotSent(f"refused with {response.status}")
        if response.status not in EXPECTED_STATUSES:
            raise ResponseLost(f"unexpected status {response.status}")
        return response

    async def exchange(
        self,
        method: str,
        target: str,
        body: Any,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        timeout_s: float | None = None,
        may_send: Callable[[], bool] = lambda: True,
        max_body_bytes: int = MAX_ANSWER_BYTES,
    ) -> ApiResponse:
        """Send a request and return its response for any status.

        :param body: value that is encoded as JSON and sent as the request body, None for no body
        :param timeout_s: longest time until the response begins, None for no limit
        :param may_send: returns whether the request may be sent once its connection is open
        :param max_body_bytes: maximum size of the response's body
        :raises NotSent: no byte of the request was sent
        :raises ResponseLost: no complete response arrived
        :raises TimeoutError: no response began in time
        """
        address = self._address
        request_body = b"" if body is None else msgspec.json.encode(body)
        request_headers = [(b"Host", self._host), *headers]
        if body is not None:
            request_headers.append((b"Content-Type", b"application/json"))
        if method != "GET":
            request_headers.append((b"Content-Length", b"%d" % len(request_body)))
        async with asyncio.timeout(timeout_s) as time_left:
            connection = await self._pool.acquire(address.host, address.port, CONNECT_TIMEOUT_S)
        if not may_send():
            self._pool.release(address.host, address.port, connection)
            raise NotSent("the permission for the call ended before it was sent")
        try:
            connection.send(
                method, encode_request_head(method, target.encode(), request_headers) + request_body
            )
            async with asyncio.timeout_at(time_left.when()):
                head = await connection.head()
            connection.idle_limit_s = keep_alive_limit_s(head.header(b"keep-alive"))
            response_body = await read_transfer(connection, STALL_TIMEOUT_S, max_body_bytes)
        except BaseException:
            connection.close()
            raise
        self._pool.release(address.host, address.port, connection)
        return ApiResponse(head.status, response_body, head)

    def close(self) -> None:
        """Close every idle connection."""
        self._pool.close()
