"""Accepts connections of callers, a few in each iteration of the event loop."""

from __future__ import annotations

import asyncio

from godwitpath.http1.server import ServerConnection
from godwitpath.http1.server_policy import ServerPolicy

BACKLOG = 1_024
"""Number of connections that wait to be accepted."""

MAX_ACCEPTS = 16
"""Most connections that are accepted in an iteration of the event loop, before they are counted."""


async def listen(
    host: str, port: int, policy: ServerPolicy, connections: set[ServerConnection]
) -> asyncio.Server:
    """Listen on an address and return the server.

    :param connections: updated with the connections that are open
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ServerConnection(policy, connections), host, port, backlog=MAX_ACCEPTS
    )
    for listener in server.sockets:
        # The event loop takes its backlog for the number of connections to accept as well.
        with listener.dup() as listening:
            listening.listen(BACKLOG)
    return server
