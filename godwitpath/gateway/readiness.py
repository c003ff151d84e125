"""Responds to the load balancer's readiness probes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from godwitpath.gateway.port_limits import SERVICE_PORT_LIMITS
from godwitpath.http1.listener import listen
from godwitpath.http1.messages import Request
from godwitpath.http1.open_connections import OpenConnections
from godwitpath.http1.responder import Responder
from godwitpath.http1.server import ServerConnection
from godwitpath.http1.server_policy import ServerPolicy
from godwitpath.ports.engine import Address
from godwitpath.telemetry.decisions import decision


class Readiness:
    """HTTP endpoint for readiness probes.

    :param ready: returns whether the daemon is ready
    """

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready
        self._last_ready: bool | None = None
        self._connections: set[ServerConnection] = set()

    async def listen(self, address: Address, connections: OpenConnections) -> asyncio.Server:
        """Listen on an address.

        :param connections: bounds the open connections
        """
        policy = ServerPolicy(
            self._handle, lambda: SERVICE_PORT_LIMITS, open_connections=connections
        )
        return await listen(address.host, address.port, policy, self._connections)

    async def _handle(self, request: Request, responder: Responder) -> None:
        ready = self._ready()
        if ready != self._last_ready:
            decision("readiness", ready=ready)
            self._last_ready = ready
        responder.respond(200 if ready else 503, [], b"ready" if ready else b"not ready")
