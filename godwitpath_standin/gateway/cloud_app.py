"""The platform's cloud API over HTTP, in the platform's own form."""

from __future__ import annotations

import asyncio

import msgspec

from godwitpath.gateway.cloud import CloudRefused, CloudUncertain, DutyProof, FencedOff
from godwitpath.http1.limits import CallerLimits
from godwitpath.http1.messages import Request
from godwitpath.http1.server import Responder, ServerConnection, ServerPolicy, listen
from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.cloud import FakeCloud


class CloudServer:
    """Serves a :class:`FakeCloud`."""

    def __init__(self, cloud: FakeCloud) -> None:
        self._cloud = cloud
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen; returns where."""
        limits = CallerLimits()
        policy = ServerPolicy(self._answer, lambda: limits, lambda: True)
        self._server = await listen("127.0.0.1", 0, policy, self._connections)
        name = self._server.sockets[0].getsockname()
        return Address(name[0], name[1])

    async def stop(self) -> None:
        """Stop listening and end every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.cut(reset=True)

    async def _answer(self, request: Request, responder: Responder) -> None:
        try:
            status = 200 if await self._call(request) else 409
        except FencedOff:
            status = 409
        except CloudRefused:
            status = 503
        except CloudUncertain:
            responder.abort()
            return
        responder.respond(status, [(b"content-type", b"application/json")], b"{}")

    async def _call(self, request: Request) -> bool:
        holder = request.header(b"x-duty-holder").decode()
        proof = DutyProof(holder, int(request.header(b"x-fencing-token")))
        body = msgspec.json.decode(request.body)
        if request.target == b"/usage":
            await self._cloud.report_usage(proof, body["windowNumber"], body["counts"])
            return True
        order = (body["service"], body["zone"], body["desiredCount"], body.get("spot", False))
        return await self._cloud.order_engines(proof, *order)
