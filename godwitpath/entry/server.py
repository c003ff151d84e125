"""HTTP server of an entry: uvicorn with limits on connections, header size and header time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from godwitpath.ports.engine import Address
from godwitpath.settings import ListenSettings, TlsSettings

MAX_HEADER_BYTES = 32_768
"""Maximum size of the headers of a request."""

KEEP_ALIVE_S = 75.0
"""Time after which an idle connection is closed."""

STOP_GRACE_S = 2.0
"""Time for open connections to finish after the server is asked to stop."""


def bounded_protocol(header_timeout_s: float) -> type[HttpToolsProtocol]:
    """Return a protocol class that closes connections with late or oversized headers.

    :param header_timeout_s: maximum time until the headers of a request are complete
    """

    class BoundedHttpProtocol(HttpToolsProtocol):
        """HTTP/1.1 with limits on the size of headers and on their time of arrival."""

        def connection_made(self, transport: Any) -> None:
            self._header_bytes = 0
            self._header_timer: asyncio.TimerHandle | None = None
            super().connection_made(transport)
            self._start_header_timer()

        def connection_lost(self, exc: Exception | None) -> None:
            self._stop_header_timer()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            if self._header_timer is not None:
                self._header_bytes += len(data)
            elif self.cycle is None or self.cycle.response_complete:
                self._header_bytes = len(data)
                self._start_header_timer()
            super().data_received(data)
            if self._header_timer is not None and self._header_bytes > MAX_HEADER_BYTES:
                self._close_connection()

        def on_headers_complete(self) -> None:
            self._stop_header_timer()
            super().on_headers_complete()

        def _start_header_timer(self) -> None:
            loop = asyncio.get_running_loop()
            self._header_timer = loop.call_later(header_timeout_s, self._close_connection)

        def _stop_header_timer(self) -> None:
            if self._header_timer is not None:
                self._header_timer.cancel()
                self._header_timer = None

        def _close_connection(self) -> None:
            self._stop_header_timer()
            if not self.transport.is_closing():
                self.transport.close()

    return BoundedHttpProtocol


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    def capture_signals(self) -> Any:
        return contextlib.nullcontext()


class HttpServer:
    """Serves one application at one listening address.

    :param app: ASGI application
    :param listen: host and port
    :param header_timeout_s: maximum time until the headers of a request are complete
    :ivar address: the bound address
    """

    __slots__ = ("_server", "_socket", "_task", "address")

    def __init__(
        self,
        app: Any,
        listen: ListenSettings,
        header_timeout_s: float,
        tls: TlsSettings | None = None,
        max_connections: int = 200,
    ) -> None:
        # asyncio disables Nagle's algorithm only on sockets created with the TCP protocol number.
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((listen.host, listen.port))
        self.address = Address(*self._socket.getsockname()[:2])
        tls_enabled = tls is not None and bool(tls.certificate_file)
        config = uvicorn.Config(
            app,
            http=bounded_protocol(header_timeout_s),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            limit_concurrency=max_connections,
            timeout_keep_alive=int(KEEP_ALIVE_S),
            timeout_graceful_shutdown=int(STOP_GRACE_S),
            ssl_certfile=tls.certificate_file if tls_enabled and tls else None,
            ssl_keyfile=tls.key_file if tls_enabled and tls else None,
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen; return when connections are accepted."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started:
            if self._task.done():
                self._task.result()
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Stop listening, and close the connections after their responses are sent."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
