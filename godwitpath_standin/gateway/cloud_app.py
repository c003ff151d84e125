"""HTTP server of the cloud API in the wire format of the platform."""

from __future__ import annotations

import msgspec

from godwitpath.gateway.cloud import CloudRefused, CloudUncertain, FencedOff, FencingToken
from godwitpath.http1.messages import Request
from godwitpath.http1.responder import Responder
from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.gateway.server import StandinServer


class CloudServer(StandinServer):
    """Serves a :class:`FakeCloud` over HTTP."""

    def __init__(self, cloud: FakeCloud) -> None:
        super().__init__(self._handle)
        self._cloud = cloud

    async def _handle(self, request: Request, responder: Responder) -> None:
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
        number = request.header(b"x-fencing-token")
        if not number:
            raise ValueError(f"a call without a fencing token: {request}")
        fencing_token = FencingToken(holder, int(number))
        body = msgspec.json.decode(request.body)
        if request.target == b"/usage":
            await self._cloud.report_usage(fencing_token, body["windowNumber"], body["counts"])
            return True
        order = (body["service"], body["zone"], body["desiredCount"], body.get("spot", False))
        return await self._cloud.order_engines(fencing_token, *order)
