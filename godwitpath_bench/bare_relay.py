"""A relay of the same libraries that decides and records nothing: the floor of an entry's cost."""

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

CONNECTIONS = 1024


class BareRelay:
    """Passes streams on, a chunk at a time.

    :param target: base URL that calls go to
    """

    def __init__(self, target: str) -> None:
        self._target = target
        connector = TCPConnector({":default": PoolConfig(size=CONNECTIONS)})
        self._client = HTTPClient(connector)
        self.standin = Standin([Route("/{path:path}", self._relay, methods=["POST"])])

    async def _relay(self, request: Request) -> Response:
        answer = await self._client.request(
            self._target + request.url.path,
            method="POST",
            headers={"content-type": "application/json"},
            data=await request.body(),
            stream=True,
        )
        return StreamingResponse(_chunks(answer), media_type="text/event-stream")


async def _chunks(answer: Any) -> AsyncIterator[bytes]:
    async for chunk in answer.read_chunks():
        yield chunk


if __name__ == "__main__":
    run(lambda: BareRelay(sys.argv[1]).standin, 0)
