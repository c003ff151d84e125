"""Idle connections by server address, used again only while they are surely open."""

from __future__ import annotations

import asyncio

from godwitpath.http1.client import ClientConnection, connect

MAX_IDLE_S = 2.5
"""Longest time that a connection may have been idle when it is used again: half of the shortest
`Keep-Alive` timeout in common use (5 s)."""

KEEP_ALIVE_SHARE = 0.5
"""Part of a stated `Keep-Alive` timeout during which a connection is used again."""

MAX_IDLE_PER_SERVER = 8
"""Idle connections kept for one server."""


class ConnectionPool:
    """Connections to any number of servers.

    :ivar opened: connections opened so far
    :ivar reused: exchanges that took an idle connection
    """

    def __init__(self, max_idle_s: float = MAX_IDLE_S) -> None:
        self.opened = 0
        self.reused = 0
        self._max_idle_s = max_idle_s
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {}

    async def take(
        self, host: str, port: int, timeout_s: float, fresh: bool = False
    ) -> ClientConnection:
        """Return an idle connection, or open one.

        :param fresh: whether the connection must be new
        :raises NotSent: none could be opened in time
        """
        idle = [] if fresh else self._idle.get((host, port), [])
        now_s = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            limit_s = min(self._max_idle_s, connection.idle_limit_s)
            if not connection.closed and now_s - connection.idle_since_s < limit_s:
                self.reused += 1
                return connection
            connection.close()
        self.opened += 1
        return await connect(host, port, timeout_s)

    def give_back(
        self,
        host: str,
        port: int,
        connection: ClientConnection,
        most_idle: int = MAX_IDLE_PER_SERVER,
    ) -> None:
        """Keep a connection for later if it may be used again, and close it otherwise.

        :param most_idle: idle connections that are kept for the server
        """
        idle = self._idle.setdefault((host, port), [])
        if not connection.reusable or connection.closed or len(idle) >= most_idle:
            connection.close()
            return
        idle.append(connection)

    def drop_server(self, host: str, port: int) -> None:
        """Close the idle connections to a server that is leaving or gone."""
        for connection in self._idle.pop((host, port), []):
            connection.close()

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        now_s = asyncio.get_running_loop().time()
        for key, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                limit_s = min(self._max_idle_s, connection.idle_limit_s)
                if connection.closed or now_s - connection.idle_since_s >= limit_s:
                    connection.close()
                else:
                    kept.append(connection)
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def close(self) -> None:
        """Close every idle connection."""
        for host, port in list(self._idle):
            self.drop_server(host, port)


def keep_alive_limit_s(keep_alive: bytes) -> float:
    """Return how long a connection may idle, from its `Keep-Alive` field; infinite without one."""
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value) * KEEP_ALIVE_SHARE
    return float("inf")
