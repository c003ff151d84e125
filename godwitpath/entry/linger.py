"""Lingering close: responses to requests that are refused before their body has arrived."""

from __future__ import annotations

import asyncio

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

MAX_DISCARDED_BYTES = 8_388_608
"""Maximum number of bytes of a refused body that are read and discarded."""

LINGER_TIMEOUT_S = 5.0
"""Maximum time for which a refused body is read and discarded."""


class LingeringResponse(Response):
    """A response that is sent at once, before the rest of the request body is discarded.

    If the connection were closed while the client is still sending, TCP would reset it and the
    client would not receive the response.
    """

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the response, then read and discard the rest of the body, within limits."""
        start = {"type": "http.response.start", "status": self.status_code}
        await send({**start, "headers": self.raw_headers})
        await send({"type": "http.response.body", "body": bytes(self.body), "more_body": True})
        try:
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                await _discard(receive)
        except TimeoutError:
            # A client that is still sending now is not going to read the response.
            pass
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _discard(receive: Receive) -> None:
    remaining_bytes = MAX_DISCARDED_BYTES
    while remaining_bytes > 0:
        message = await receive()
        if message["type"] == "http.disconnect" or not message.get("more_body", False):
            return
        remaining_bytes -= len(message.get("body", b""))
