"""HTTP client of all adapters: never repeats a call, and says whether a call was surely not sent.

It builds on aiosonic and closes three gaps that matter for calls which may not be repeated. A
connection whose exchange failed is closed instead of going back to the pool, where the late answer
would reach the next call. A pooled connection is used again only while it is open, empty and not
suspected of silence. No call is sent again over another connection by the library itself.
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
from aiosonic.exceptions import ConnectionPoolAcquireTimeout, ConnectTimeout
from aiosonic.http_parser import validate_header
from aiosonic.pools import PoolConfig
from aiosonic.utils import connection_key

from godwitpath.adapters.http_body import ChunkedDecoder, LengthDecoder

POOL_CONNECTIONS = 1024
POOL_WAIT_S = 2.0
MAX_IDLE_MS = 4000
MAX_HEADER_BYTES = 131_072
READ_BYTES = 65_536

_HOP_BY_HOP = frozenset(
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
    """No byte of the call left this process."""


class AnswerLost(Exception):
    """The call may have reached the other end; its whole answer did not arrive."""


class _Connection(Connection):
    """Connection that is reused only while it is certainly open, empty and not suspected."""

    _header_bytes = 0

    @property
    def reused(self) -> bool:
        """Always False: aiosonic repeats calls whose reused connection dropped."""
        return False

    @reused.setter
    def reused(self, value: bool) -> None:
        pass

    def reuse(self, urlparsed: ParseResult, verify: bool) -> bool:
        """Tell whether the open connection may carry another call."""
        if not super().reuse(urlparsed, verify):
            return False
        reader = self.reader
        # Bytes that wait on an idle connection belong to an answer that nobody reads any more.
        if reader.at_eof() or reader.exception() is not None or reader._buffer:
            return False
        suspected_at_s = self.pool.suspected_at_s.get(connection_key(urlparsed), 0.0)
        return self.last_released_time is None or bool(self.last_released_time > suspected_at_s)

    async def connect(self, *args: Any, **options: Any) -> None:
        try:
            await super().connect(*args, **options)
        except OSError as error:
            raise NotSent(f"cannot connect: {error}") from error

    def write(self, data: bytes) -> None:
        self._header_bytes = 0
        super().write(data)

    async def readline(self) -> bytes:
        """Read a header line, with a bound on all of them."""
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


class Answer:
    """An answer whose headers have arrived and whose body is still to read.

    :ivar status: status code
    :ivar headers: headers with their names in lower case, hop-by-hop ones left out
    """

    def __init__(self, response: Any, method: str, idle_timeout_s: float) -> None:
        self.status: int = response.status_code
        self.headers = end_to_end_headers(response.raw_headers)
        self._response = response
        self._connection: Any = response._connection if response._owns_connection else None
        self._idle_timeout_s = idle_timeout_s
        self._waiting_since_s: float | None = None
        self._silent = False
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
        """The other end's advice on when to ask again, 0 without one."""
        try:
            return max(0.0, float(self.header("retry-after")))
        except ValueError:
            return 0.0

    @property
    def ended(self) -> bool:
        """Whether the whole body was read."""
        return self._decoder.ended

    async def read(self) -> bytes:
        """Return the body bytes that have arrived, waiting for some; empty at the end.

        :raises AnswerLost: the connection broke, brought garbage or stayed silent
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

    async def whole(self, max_bytes: int) -> bytes:
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
        """Give the connection back if the body was read, and close it otherwise."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._connection is not None:
            self._release(whole=False)

    async def _receive(self) -> bytes:
        if self._connection is None:
            raise AnswerLost("the answer was closed")
        if self._timer is None:
            self._timer = self._loop.call_later(self._idle_timeout_s, self._check_silence)
        self._waiting_since_s = self._loop.time()
        try:
            data: bytes = await self._connection.read(READ_BYTES)
        except Exception as error:
            self.close()
            raise AnswerLost(f"connection broke: {error!r}") from error
        self._waiting_since_s = None
        if not data:
            silent = self._silent
            self.close()
            raise AnswerLost("connection went silent" if silent else "answer cut short")
        return data

    def _check_silence(self) -> None:
        # One timer a stream is re-armed when it fires, which costs less than one a read.
        waiting_since_s = self._waiting_since_s
        now_s = self._loop.time()
        next_s = (now_s if waiting_since_s is None else waiting_since_s) + self._idle_timeout_s
        if next_s <= now_s:
            self._silent = True
            if self._connection is not None:
                self._connection.close()
            return
        self._timer = self._loop.call_at(next_s, self._check_silence)

    def _finish(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._connection is not None:
            # Bytes past the end of the body make the connection unfit for another call.
            self._release(whole=not self._decoder.rest)

    def _release(self, whole: bool) -> None:
        connection, self._connection = self._connection, None
        self._response._connection = None
        self._response._owns_connection = False
        connection.ensure_released(response_read=whole)


class HttpClient:
    """Pooled connections of one adapter.

    :param connect_timeout_s: longest time to open a connection
    """

    def __init__(self, connect_timeout_s: float = 1.0) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._suspected_at_s: dict[str, float] = {}
        self._pooled = self._client(PoolConfig(POOL_CONNECTIONS, 100_000, MAX_IDLE_MS))
        self._fresh: Any = None

    async def open(
        self,
        method: str,
        url: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        *,
        timeout_s: float,
        idle_timeout_s: float = 0.0,
        fresh: bool = False,
    ) -> Answer:
        """Send a call and return its answer once the headers are there.

        :param timeout_s: longest time until the headers are there
        :param idle_timeout_s: longest silence within the body, `timeout_s` when 0
        :param fresh: whether a pooled connection must not be used
        :raises NotSent: no byte left
        :raises AnswerLost: the other end may have got the call
        """
        sent_headers = _checked_headers(headers, method, body, url)
        client = self._fresh_client() if fresh else self._pooled
        try:
            async with asyncio.timeout(timeout_s):
                response = await _request(client, method, url, sent_headers, body)
            return Answer(response, method, idle_timeout_s or timeout_s)
        except NotSent:
            raise
        except AnswerLost:
            self.suspect(url)
            raise
        except (ConnectTimeout, ConnectionPoolAcquireTimeout) as error:
            raise NotSent(f"cannot connect: {error!r}") from error
        except TimeoutError as error:
            self.suspect(url)
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
        fresh: bool = False,
    ) -> tuple[Answer, bytes]:
        """Send a call and return its whole answer; raises as :meth:`open`."""
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self.open(
                    method, url, headers, body, timeout_s=timeout_s, fresh=fresh
                )
                return answer, await answer.whole(max_bytes)
        except TimeoutError as error:
            self.suspect(url)
            raise AnswerLost("no whole answer in time") from error

    def suspect(self, url: str) -> None:
        """Use no connection again that was pooled before now for the URL's host and port."""
        host = url.split("/", 3)[2]
        self._suspected_at_s[f"http://{host}"] = time.monotonic()

    async def close(self) -> None:
        """Close every pooled connection."""
        await self._pooled.aclose()
        if self._fresh is not None:
            await self._fresh.aclose()

    def _fresh_client(self) -> Any:
        if self._fresh is None:
            # A connection that has carried one request is over this limit and is opened anew.
            self._fresh = self._client(PoolConfig(POOL_CONNECTIONS // 4, 0, MAX_IDLE_MS))
        return self._fresh

    def _client(self, pool: Any) -> Any:
        timeouts = Timeouts(
            sock_connect=self._connect_timeout_s,
            sock_read=None,
            pool_acquire=POOL_WAIT_S,
            request_timeout=None,
        )
        connector = TCPConnector({":default": pool}, timeouts, connection_cls=_Connection)
        connector.pools[":default"].suspected_at_s = self._suspected_at_s
        return HTTPClient(connector)


async def _request(
    client: HTTPClient, method: str, url: str, headers: dict[str, str], body: bytes
) -> Any:
    """Send a request, and end when cancelled in every case.

    The library waits with `asyncio.wait_for`, which forgets a cancellation that meets the end of
    the wait in one step of the loop; the cancelled task would run on for ever.
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
    """Return the headers that travel past one connection, names in lower case."""
    lowered = ((name.lower(), value) for name, value in headers)
    return [(name, value) for name, value in lowered if name not in _HOP_BY_HOP]


def _checked_headers(
    headers: Iterable[tuple[str, str]], method: str, body: bytes, url: str
) -> dict[str, str]:
    if not url.isascii() or any(character <= " " for character in url):
        raise NotSent("the path holds characters that are not allowed")
    merged: dict[str, str] = {}
    for name, value in end_to_end_headers(headers):
        try:
            validate_header(name, value)
        except ValueError as error:
            raise NotSent(str(error)) from error
        merged[name] = f"{merged[name]}, {value}" if name in merged else value
    if not body and method in ("POST", "PUT", "PATCH"):
        merged["content-length"] = "0"
    return merged
