"""Answers to requests whose bodies are refused while they still arrive."""

from __future__ import annotations

import asyncio

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

DISCARDED_BYTES = 8_388_608
"""Most bytes of a refused body that are read and dropped."""

LINGER_S = 5.0
"""Longest time that a refused body is read and dropped."""


class LingeringResponse(Response):
    """An answer that goes out at once, before the rest of the request's body is dropped.

    A connection that is closed while its peer still sends is reset, and the peer never sees the
    answer.
    """

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the answer, then read and drop what still comes, within bounds."""
        start = {"type": "http.response.start", "status": self.status_code}
        await send({**start, "headers": self.raw_headers})
        await send({"type": "http.response.body", "body": bytes(self.body), "more_body": True})
        try:
            async with asyncio.timeout(LINGER_S):
                await _discard(receive)
        except TimeoutError:
            # Whoever still sends after so long did not mean to read the answer.
            pass
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _discard(receive: Receive) -> None:
    left_bytes = DISCARDED_BYTES
    while left_bytes > 0:
        message = await receive()
        if message["type"] == "http.disconnect" or not message.get("more_body", False):
            return
        left_bytes -= len(message.get("body", b""))
