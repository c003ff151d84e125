"""Minimal relay built on the entry's HTTP libraries, a lower bound for the cost of an entry."""

from __future__ import annotations

import sys
from collections.abc import AsyncIterator
from typing import Any

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from godwitpath_standin.server import Standin, run

MAX_CONNECTIONS = 1024


class BareRelay:
    """Forwards each request and streams the response back chunk by chunk.

    :param target: base URL of the upstream
    """

    def __init__(self, target: str) -> None:
        self._target = target
        connector = TCPConnector({":default": PoolConfig(size=MAX_CONNECTIONS)})
        self._client = HTTPClient(connector)
        self.standin = Standin([Route("/{path:path}", self._relay, methods=["POST"])])

    async def _relay(self, request: Request) -> Response:
        response = await self._client.request(
            self._target + request.url.path,
            method="POST",
            headers={"content-type": "application/json"},
            data=await request.body(),
            stream=True,
        )
        return StreamingResponse(_chunks(response), media_type="text/event-stream")


async def _chunks(response: Any) -> AsyncIterator[bytes]:
    async for chunk in response.read_chunks():
        yield chunk


if __name__ == "__main__":
    run(lambda: BareRelay(sys.argv[1]).standin, 0)
