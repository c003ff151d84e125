"""JSON calls to the platform, shared by the clients of its store and of its cloud API."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import msgspec

from godwitpath.http1.messages import NotSent, ResponseLost, write_request
from godwitpath.http1.pool import ConnectionPool, keep_alive_limit_s
from godwitpath.ports.engine import Address

CONNECT_TIMEOUT_S = 0.8
"""Longest time to open a connection: two round trips between regions and a lost first packet."""

MAX_IDLE_S = 10.0
"""Longest time that a connection to the platform idles before it is closed."""

REFUSALS = frozenset((429, 503))
"""Statuses by which the platform says that nothing was done."""

EXPECTED = frozenset((200, 404, 409, 410, 412))
"""Statuses that the calls tell apart."""


class HttpApi:
    """Calls to one address of the platform.

    :ivar calls: calls by kind and outcome
    """

    def __init__(self, address: Address) -> None:
        self.calls: Counter[tuple[str, str]] = Counter()
        self._address = address
        self._host = str(address).encode()
        self._pool = ConnectionPool(MAX_IDLE_S)

    async def call(
        self,
        kind: str,
        method: str,
        target: str,
        body: Any,
        *,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> tuple[int, bytes]:
        """Return status and body of an answer.

        :param kind: name of the call in the counts
        :raises NotSent: nothing was done
        :raises ResponseLost: it may have been done, or may be done yet
        """
        try:
            async with asyncio.timeout(timeout_s):
                status, answer = await self.exchange(method, target, body, headers)
        except NotSent:
            self.calls[(kind, "unreachable")] += 1
            raise
        except ResponseLost:
            self.calls[(kind, "lost")] += 1
            raise
        except TimeoutError as error:
            self.calls[(kind, "timeout")] += 1
            raise ResponseLost(f"no answer within {timeout_s:.1f} s") from error
        self.calls[(kind, str(status))] += 1
        if status in REFUSALS:
            raise NotSent(f"refused with {status}")
        if status not in EXPECTED:
            raise ResponseLost(f"unexpected status {status}")
        return status, answer

    async def exchange(
        self,
        method: str,
        target: str,
        body: Any,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> tuple[int, bytes]:
        """Return status and body of an answer, whatever the status.

        :raises NotSent: no byte left
        :raises ResponseLost: the answer did not arrive whole
        """
        address = self._address
        payload = b"" if body is None else msgspec.json.encode(body)
        fields = [(b"Host", self._host), *headers]
        if body is not None:
            fields.append((b"Content-Type", b"application/json"))
        if method != "GET":
            fields.append((b"Content-Length", b"%d" % len(payload)))
        connection = await self._pool.take(address.host, address.port, CONNECT_TIMEOUT_S)
        try:
            connection.send(method, write_request(method, target.encode(), fields) + payload)
            head = await connection.head()
            connection.idle_limit_s = keep_alive_limit_s(head.header(b"keep-alive"))
            answer = await connection.read_whole()
        except BaseException:
            connection.close()
            raise
        self._pool.give_back(address.host, address.port, connection)
        return head.status, answer

    def close(self) -> None:
        """Close every idle connection."""
        self._pool.close()
