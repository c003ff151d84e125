"""Pool of idle client connections by server address.

A connection is reused only before the server is likely to close it.
"""

from __future__ import annotations

import asyncio

from godwitpath.http1.client import ClientConnection, connect

MAX_IDLE_S = 2.5
"""Maximum idle time after which a connection is still reused: half of the shortest `Keep-Alive`
timeout in common use (5 s)."""

KEEP_ALIVE_FRACTION = 0.5
"""Fraction of a stated `Keep-Alive` timeout during which a connection is reused."""

MAX_IDLE_PER_SERVER = 8
"""Maximum number of idle connections that a pool keeps to one server."""


class ConnectionPool:
    """Pools connections to any number of servers.

    :ivar opened: number of attempts to open a connection so far
    :ivar reused: number of times that an idle connection was reused
    """

    def __init__(self, max_idle_s: float = MAX_IDLE_S) -> None:
        self.opened = 0
        self.reused = 0
        self._max_idle_s = max_idle_s
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {}

    async def acquire(
        self, host: str, port: int, timeout_s: float, fresh: bool = False
    ) -> ClientConnection:
        """Return an idle connection, or open one.

        :param fresh: whether a new connection is required
        :raises NotSent: no connection could be opened in time
        """
        idle = [] if fresh else self._idle.get((host, port), [])
        now_s = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            limit_s = min(self._max_idle_s, connection.idle_limit_s)
            usable = not connection.closed and not connection.has_unread_bytes
            if usable and now_s - connection.idle_since_s < limit_s:
                self.reused += 1
                return connection
            connection.close()
        self.opened += 1
        return await connect(host, port, timeout_s)

    def release(
        self,
        host: str,
        port: int,
        connection: ClientConnection,
        max_idle: int = MAX_IDLE_PER_SERVER,
    ) -> None:
        """Keep a connection for reuse, or close it if it is not reusable or enough are idle.

        :param max_idle: maximum number of idle connections to the server
        """
        idle = self._idle.setdefault((host, port), [])
        if not connection.reusable or connection.closed or len(idle) >= max_idle:
            connection.close()
            return
        idle.append(connection)

    def close_server_connections(self, host: str, port: int) -> None:
        """Close the idle connections to a server that is draining or was removed."""
        for connection in self._idle.pop((host, port), []):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = asyncio.get_running_loop().time()
        for key, idle in list(self._idle.items()):
            remaining = []
            for connection in idle:
                limit_s = min(self._max_idle_s, connection.idle_limit_s)
                if connection.closed or now_s - connection.idle_since_s >= limit_s:
                    connection.close()
                else:
                    remaining.append(connection)
            if remaining:
                self._idle[key] = remaining
            else:
                del self._idle[key]

    def close(self) -> None:
        """Close every idle connection."""
        for host, port in list(self._idle):
            self.close_server_connections(host, port)


def keep_alive_limit_s(keep_alive: bytes) -> float:
    """Return the idle time up to which a connection is reused, infinite without a stated timeout.

    :param keep_alive: value of the `Keep-Alive` field
    """
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value) * KEEP_ALIVE_FRACTION
    return float("inf")
