"""Writes HTTP/1.1 responses.

An unfinished response closes its connection, so that callers cannot mistake it for a complete one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitpath.http1.messages import Headers, Request, encode_response_head

if TYPE_CHECKING:
    from godwitpath.http1.server import ServerConnection


class Responder:
    """Writes the response to a request.

    :ivar started: whether the head was written
    :ivar finished: whether the complete response was written
    :ivar status: status code of the response, 0 before the head was written
    """

    def __init__(self, connection: ServerConnection, request: Request) -> None:
        self.started = False
        self.finished = False
        self.status = 0
        self._connection = connection
        self._request = request
        self._chunked = False
        self._self_delimited = False
        self._close_after_response = False

    def start(self, status: int, reason: bytes, headers: Headers, length_bytes: int | None) -> None:
        """Write the head.

        :param headers: header fields without those for message framing
        :param length_bytes: length of the body, None if it is not known
        """
        fields = list(headers)
        keep_alive = self._request.keep_alive and self._connection.may_keep_alive()
        has_no_body = status in (204, 304) or self._request.method == "HEAD"
        if length_bytes is not None:
            if status not in (204, 304):
                fields.append((b"content-length", b"%d" % length_bytes))
        elif self._request.version == "1.1":
            self._chunked = not has_no_body
            if self._chunked:
                fields.append((b"transfer-encoding", b"chunked"))
        else:
            keep_alive = False
        if not keep_alive:
            fields.append((b"connection", b"close"))
        elif self._request.version == "1.0":
            fields.append((b"connection", b"keep-alive"))
        self._self_delimited = self._chunked or length_bytes is not None or has_no_body
        self._close_after_response = not keep_alive
        self.started = True
        self.status = status
        self._connection.write(encode_response_head(status, reason, fields))

    def send(self, data: bytes) -> None:
        """Write the next part of the body."""
        if not data or self._request.method == "HEAD":
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    def finish(self) -> None:
        """End the response."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self.finished = True
        self._connection.finish_response(self._close_after_response)

    def respond(self, status: int, headers: Headers, body: bytes, reason: bytes = b"") -> None:
        """Write a complete response."""
        self.start(status, reason, headers, len(body))
        self.send(body)
        self.finish()

    def abort(self) -> None:
        """Close the connection unless the response is complete."""
        if not self.finished:
            self._connection.disconnect(reset=not self._self_delimited)

    async def drain(self) -> None:
        """Wait until the write buffer has drained below its low-water mark."""
        await self._connection.drain()
