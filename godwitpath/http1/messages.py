"""Heads of requests and responses, and how they are written."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

from godwitpath.errors import GodwitpathError

Headers = list[tuple[bytes, bytes]]
"""Header fields in the order of the message; names are lower case."""

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Header fields that concern one connection only (RFC 9110, section 7.6.1)."""


class NotSent(GodwitpathError):
    """No byte of the request left this process."""


class ResponseLost(GodwitpathError):
    """The request may have arrived; its whole response did not."""


@dataclass(slots=True)
class Request:
    """A request that was read whole.

    :ivar method: method as it was sent
    :ivar target: path with its query, as it was sent
    :ivar headers: header fields, framing included
    :ivar body: decoded body
    :ivar received_at_s: loop time at which its first byte arrived
    :ivar read_at_s: loop time at which its last byte arrived
    :ivar keep_alive: whether the caller lets the connection live on
    :ivar version: protocol version, such as `1.1`
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    received_at_s: float
    read_at_s: float
    keep_alive: bool = True
    version: str = "1.1"

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def header(self, name: bytes) -> bytes:
        """Return the first field of a name, or nothing."""
        return header(self.headers, name)


@dataclass(slots=True)
class ResponseHead:
    """Status line and header fields of a response.

    :ivar length_bytes: length that the head states, None without one
    :ivar chunked: whether the body comes in chunks
    """

    status: int
    reason: bytes
    headers: Headers = field(default_factory=list)
    length_bytes: int | None = None
    chunked: bool = False

    def header(self, name: bytes) -> bytes:
        """Return the first field of a name, or nothing."""
        return header(self.headers, name)


def header(headers: Headers, name: bytes) -> bytes:
    """Return the first field of a lower-case name, or nothing."""
    for key, value in headers:
        if key == name:
            return value
    return b""


def end_to_end(headers: Headers) -> Headers:
    """Return the fields that are forwarded: none of one connection, no framing."""
    named = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP and key not in named and key != b"content-length"
    ]


def write_request(method: str, target: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the head of a request."""
    lines = [method.encode("latin-1") + b" " + target + b" HTTP/1.1"]
    lines.extend(key + b": " + value for key, value in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def write_response(status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the head of a response."""
    lines = [b"HTTP/1.1 %d %s" % (status, reason or reason_phrase(status))]
    lines.extend(key + b": " + value for key, value in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def reason_phrase(status: int) -> bytes:
    """Return the usual phrase of a status code."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
