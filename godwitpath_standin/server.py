"""Serves a stand-in over HTTP, with paths that read and set its faults."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import Callable
from typing import Any

import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from godwitpath_standin.faults import FaultInjector, Faults

KEEP_ALIVE_TIMEOUT_S = 30
SHUTDOWN_GRACE_S = 5


class JsonResponse(Response):
    """A response with a JSON body."""

    media_type = "application/json"

    def render(self, content: Any) -> bytes:
        return msgspec.json.encode(content)


class Standin:
    """The HTTP application of a stand-in, behind a fault injector.

    :param routes: routes of the stand-in
    :param on_faults_changed: called with the faults after each change
    :param shutdown_grace_s: time that calls in progress have to finish at shutdown
    :ivar faults: current faults
    """

    def __init__(
        self,
        routes: list[Route],
        on_faults_changed: Callable[[Faults], None] | None = None,
        shutdown_grace_s: int = SHUTDOWN_GRACE_S,
    ) -> None:
        self.faults = Faults()
        self._shutdown_grace_s = shutdown_grace_s
        self._on_faults_changed = on_faults_changed
        fault_routes = [
            Route("/faults", self._get_faults, methods=["GET"]),
            Route("/faults", self._set_faults, methods=["POST"]),
        ]
        self.app = FaultInjector(Starlette(routes=fault_routes + routes), self.faults)

    async def serve(self, port: int, host: str = "127.0.0.1") -> None:
        """Listen, print the address as one line of JSON, and serve until a signal arrives."""
        # The event loop disables Nagle's algorithm only if the socket has an explicit protocol.
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        config = uvicorn.Config(
            self.app,
            log_level="critical",
            access_log=False,
            lifespan="off",
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=self._shutdown_grace_s,
        )
        server = uvicorn.Server(config)
        self.app.server = server
        listener.listen(1024)
        address = "{}:{}".format(*listener.getsockname()[:2])
        print(json.dumps({"listening": address}), flush=True)
        await server.serve(sockets=[listener])

    async def _get_faults(self, _: Request) -> Response:
        return JsonResponse(self.faults)

    async def _set_faults(self, request: Request) -> Response:
        try:
            changes = msgspec.json.decode(await request.body(), type=dict[str, Any])
            new_faults = msgspec.convert(msgspec.to_builtins(self.faults) | changes, Faults)
            unknown = set(changes) - set(Faults.__struct_fields__)
            if unknown:
                raise msgspec.ValidationError(f"unknown faults: {sorted(unknown)}")
        except msgspec.MsgspecError as error:
            return JsonResponse({"error": str(error)}, status_code=400)
        for name in Faults.__struct_fields__:
            setattr(self.faults, name, getattr(new_faults, name))
        if self.faults.silence_connections:
            self.app.silence_open_connections()
            self.faults.silence_connections = False
        if self._on_faults_changed is not None:
            self._on_faults_changed(self.faults)
        return JsonResponse(self.faults)


def run(standin_factory: Callable[[], Standin], port: int) -> None:
    """Run a stand-in until it is stopped.

    :param standin_factory: called inside the running event loop
    :param port: port to listen on; 0 for any free port
    """

    async def main() -> None:
        await standin_factory().serve(port)

    # SIGINT is a normal way to stop the program, so it ends without a traceback.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        return
