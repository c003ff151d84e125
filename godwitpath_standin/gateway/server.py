"""HTTP listener shared by the stand-ins of the platform."""

from __future__ import annotations

import asyncio

from godwitpath.http1.listener import listen
from godwitpath.http1.server import ServerConnection
from godwitpath.http1.server_policy import Handler, ServerPolicy
from godwitpath.ports.engine import Address


class StandinServer:
    """HTTP listener of a stand-in.

    :param handler: handles a request
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Address:
        """Listen and return the address."""
        self._server = await listen(host, port, ServerPolicy(self._handler), self._connections)
        socket_name = self._server.sockets[0].getsockname()
        return Address(socket_name[0], socket_name[1])

    def cut(self) -> None:
        """Reset every connection."""
        for connection in list(self._connections):
            connection.disconnect(reset=True)

    async def stop(self) -> None:
        """Stop listening and reset every connection, as in a crash."""
        if self._server is not None:
            self._server.close()
        self.cut()
