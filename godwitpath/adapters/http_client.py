"""HTTP client of the adapters: never retries a call, and reports whether a failed call was sent.

It wraps aiosonic and adds three rules that non-idempotent calls need. A connection is closed when
an exchange on it fails; in the pool it would deliver the late response to the next call. A pooled
connection is reused only while it is open, has no unread bytes and has not been retired after a
lost response. The library never resends a call over another connection.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from types import TracebackType
from typing import Any
from urllib.parse import ParseResult

from aiosonic import HTTPClient, TCPConnector, Timeouts
from aiosonic.connection import Connection
from aiosonic.exceptions import ConnectionPoolAcquireTimeout
from aiosonic.http_parser import validate_header
from aiosonic.pools import PoolConfig
from aiosonic.utils import connection_key

from godwitpath.adapters.http_body import ChunkedDecoder, LengthDecoder
from godwitpath.http1.timeouts import socket_timeout

MAX_POOL_CONNECTIONS = 1024
POOL_TIMEOUT_S = 2.0
MAX_CONNECTION_IDLE_MS = 4000
MAX_HEADER_BYTES = 131_072
MAX_READ_BYTES = 65_536

_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class NotSent(Exception):
    """No byte of the call was sent."""


class AnswerLost(Exception):
    """The call may have reached the server, but no complete response arrived."""


class _Connection(Connection):
    """Connection that is reused only while it is open, has no unread bytes and is not retired."""

    _header_bytes = 0

    @property
    def reused(self) -> bool:
        """Always False, since aiosonic resends a call when a reused connection drops."""
        return False

    @reused.setter
    def reused(self, value: bool) -> None:
        pass

    def reuse(self, urlparsed: ParseResult, verify: bool) -> bool:
        """Return whether the open connection may carry another call."""
        if not super().reuse(urlparsed, verify):
            return False
        reader = self.reader
        # Unread bytes on an idle connection belong to an abandoned response.
        if reader.at_eof() or reader.exception() is not None or reader._buffer:
            return False
        retired_at_s = self.pool.retired_at_s.get(connection_key(urlparsed), 0.0)
        return self.last_released_time is None or bool(self.last_released_time > retired_at_s)

    async def connect(self, *args: Any, **options: Any) -> None:
        try:
            async with socket_timeout(self.pool.connect_timeout_s):
                await super().connect(*args, **options)
        except OSError as error:
            raise NotSent(f"cannot connect: {error!r}") from error

    def write(self, data: bytes) -> None:
        self._header_bytes = 0
        super().write(data)

    async def readline(self) -> bytes:
        """Read a header line.

        :raises AnswerLost: the connection ended within the line, or the headers exceed
            `MAX_HEADER_BYTES` in total
        """
        line: bytes = await super().readline()
        self._header_bytes += len(line)
        if not line.endswith(b"\n") or self._header_bytes > MAX_HEADER_BYTES:
            raise AnswerLost("headers cut or too long")
        return line

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if error is not None:
            self.keep = False
            self.close()
        await super().__aexit__(kind, error, trace)


class HttpResponse:
    """A response with its headers received and its body still to be read.

    :ivar status: status code
    :ivar headers: end-to-end headers, names in lower case
    """

    def __init__(self, response: Any, method: str, idle_timeout_s: float) -> None:
        self.status: int = response.status_code
        self.headers = end_to_end_headers(response.raw_headers)
        self._response = response
        self._connection: Any = response._connection if response._owns_connection else None
        self._idle_timeout_s = idle_timeout_s
        self._waiting_since_s: float | None = None
        self._idle_timed_out = False
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._decoder: ChunkedDecoder | LengthDecoder
        if response.chunked:
            self._decoder = ChunkedDecoder()
        else:
            self._decoder = LengthDecoder(response._remaining or 0)
            has_length = "content-length" in response.headers or self.status in (204, 304)
            if not has_length and method != "HEAD":
                raise AnswerLost("answer without a length")

    def header(self, name: str) -> str:
        """Return the first header of a name, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")

    @property
    def retry_after_s(self) -> float:
        """Delay in seconds from the `retry-after` header, 0 without a numeric value."""
        try:
            return max(0.0, float(self.header("retry-after")))
        except ValueError:
            return 0.0

    @property
    def ended(self) -> bool:
        """Whether the whole body has been read."""
        return self._decoder.ended

    async def read(self) -> bytes:
        """Return received body bytes, waiting for at least one; empty at the end of the body.

        :raises AnswerLost: the connection failed, exceeded its idle timeout or sent malformed data
        """
        while not self._decoder.ended:
            data = await self._receive()
            try:
                body = self._decoder.feed(data)
            except ValueError as error:
                self.close()
                raise AnswerLost(str(error)) from error
            if self._decoder.ended:
                self._finish()
            if body:
                return body
        return b""

    async def read_all(self, max_bytes: int) -> bytes:
        """Return the rest of the body.

        :raises AnswerLost: as :meth:`read`, or the body is larger than `max_bytes`
        """
        pieces: list[bytes] = []
        size_bytes = 0
        try:
            while piece := await self.read():
                size_bytes += len(piece)
                if size_bytes > max_bytes:
                    raise AnswerLost(f"answer larger than {max_bytes} bytes")
                pieces.append(piece)
        finally:
            self.close()
        return b"".join(pieces)

    def close(self) -> None:
        """Close the connection, unless reading the whole body has released it already."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._connection is not None:
            self._release(reusable=False)

    async def _receive(self) -> bytes:
        if self._connection is None:
            raise AnswerLost("the answer was closed")
        if self._timer is None:
            self._timer = self._loop.call_later(self._idle_timeout_s, self._check_idle)
        self._waiting_since_s = self._loop.time()
        try:
            data: bytes = await self._connection.read(MAX_READ_BYTES)
        except Exception as error:
            self.close()
            raise AnswerLost(f"connection broke: {error!r}") from error
        self._waiting_since_s = None
        if not data:
            timed_out = self._idle_timed_out
            self.close()
            raise AnswerLost("connection went silent" if timed_out else "answer cut short")
        return data

    def _check_idle(self) -> None:
        # One timer per stream is re-armed when it fires, which costs less than a timer per read.
        waiting_since_s = self._waiting_since_s
        now_s = self._loop.time()
        next_s = (now_s if waiting_since_s is None else waiting_since_s) + self._idle_timeout_s
        if next_s <= now_s:
            self._idle_timed_out = True
            if self._connection is not None:
                self._connection.close()
            return
        self._timer = self._loop.call_at(next_s, self._check_idle)

    def _finish(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._connection is not None:
            # A connection with bytes after the end of the body must not carry another call.
            self._release(reusable=not self._decoder.undecoded)

    def _release(self, reusable: bool) -> None:
        connection, self._connection = self._connection, None
        self._response._connection = None
        self._response._owns_connection = False
        connection.ensure_released(response_read=reusable)


class HttpClient:
    """HTTP client with the connection pools of one adapter.

    :param connect_timeout_s: longest time to open a connection
    """

    def __init__(self, connect_timeout_s: float = 1.0) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._retired_at_s: dict[str, float] = {}
        self._pooled_client = self._new_client(
            PoolConfig(MAX_POOL_CONNECTIONS, 100_000, MAX_CONNECTION_IDLE_MS)
        )
        self._unpooled_client: Any = None

    async def open(
        self,
        method: str,
        url: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        *,
        timeout_s: float,
        idle_timeout_s: float = 0.0,
        new_connection: bool = False,
    ) -> HttpResponse:
        """Send a call and return its response once the headers have arrived.

        :param timeout_s: longest time until the headers have arrived
        :param idle_timeout_s: longest time without data within the body, 0 for `timeout_s`
        :param new_connection: whether to open a new connection instead of using a pooled one
        :raises NotSent: no byte of the call was sent
        :raises AnswerLost: the server may have received the call
        """
        request_headers = _validated_headers(headers, method, body, url)
        client = self._get_unpooled_client() if new_connection else self._pooled_client
        try:
            async with asyncio.timeout(timeout_s):
                response = await _request(client, method, url, request_headers, body)
            return HttpResponse(response, method, idle_timeout_s or timeout_s)
        except NotSent:
            raise
        except AnswerLost:
            self.retire_connections(url)
            raise
        except ConnectionPoolAcquireTimeout as error:
            raise NotSent(f"cannot connect: {error!r}") from error
        except TimeoutError as error:
            self.retire_connections(url)
            raise AnswerLost("no answer in time") from error
        except Exception as error:
            raise AnswerLost(f"exchange failed: {error!r}") from error

    async def call(
        self,
        method: str,
        url: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        *,
        timeout_s: float,
        max_bytes: int,
        new_connection: bool = False,
    ) -> tuple[HttpResponse, bytes]:
        """Send a call and return its response and whole body; raises as :meth:`open`.

        :param timeout_s: longest time until the whole body has arrived
        :param max_bytes: largest accepted body
        """
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.open(
                    method, url, headers, body, timeout_s=timeout_s, new_connection=new_connection
                )
                return response, await response.read_all(max_bytes)
        except TimeoutError as error:
            self.retire_connections(url)
            raise AnswerLost("no whole answer in time") from error

    def retire_connections(self, url: str) -> None:
        """Stop reusing the connections to the URL's host and port that are in the pool now."""
        host = url.split("/", 3)[2]
        self._retired_at_s[f"http://{host}"] = time.monotonic()

    async def close(self) -> None:
        """Close every pooled connection."""
        await self._pooled_client.aclose()
        if self._unpooled_client is not None:
            await self._unpooled_client.aclose()

    def _get_unpooled_client(self) -> Any:
        if self._unpooled_client is None:
            # With a limit of 0 requests, a connection is replaced after its first request.
            self._unpooled_client = self._new_client(
                PoolConfig(MAX_POOL_CONNECTIONS // 4, 0, MAX_CONNECTION_IDLE_MS)
            )
        return self._unpooled_client

    def _new_client(self, pool: Any) -> Any:
        timeouts = Timeouts(
            sock_connect=None, sock_read=None, pool_acquire=POOL_TIMEOUT_S, request_timeout=None
        )
        connector = TCPConnector({":default": pool}, timeouts, connection_cls=_Connection)
        connector.pools[":default"].retired_at_s = self._retired_at_s
        connector.pools[":default"].connect_timeout_s = self._connect_timeout_s
        return HTTPClient(connector)


async def _request(
    client: HTTPClient, method: str, url: str, headers: dict[str, str], body: bytes
) -> Any:
    """Send a request, and raise `CancelledError` whenever the task is cancelled.

    The library waits with `asyncio.wait_for`, which loses a cancellation that arrives in the event
    loop step in which the wait ends. The cancelled task would then run forever.
    """
    task = asyncio.current_task()
    assert task is not None
    cancelled_before = task.cancelling()
    response = await client.request(
        url, method=method, headers=headers, data=body or None, stream=True
    )
    if task.cancelling() > cancelled_before:
        if response._owns_connection:
            response._connection.ensure_released(response_read=False)
        raise asyncio.CancelledError
    return response


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers without the hop-by-hop ones, names in lower case."""
    lowercase_headers = ((name.lower(), value) for name, value in headers)
    return [(name, value) for name, value in lowercase_headers if name not in _HOP_BY_HOP_HEADERS]


def _validated_headers(
    headers: Iterable[tuple[str, str]], method: str, body: bytes, url: str
) -> dict[str, str]:
    if not url.isascii() or any(character <= " " for character in url):
        raise NotSent("the path holds characters that are not allowed")
    validated: dict[str, str] = {}
    for name, value in end_to_end_headers(headers):
        try:
            validate_header(name, value)
        except ValueError as error:
            raise NotSent(str(error)) from error
        validated[name] = f"{validated[name]}, {value}" if name in validated else value
    if not body and method in ("POST", "PUT", "PATCH"):
        validated["content-length"] = "0"
    return validated
