"""Heads of HTTP/1.1 requests and responses, and their serialization."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

from godwitpath.errors import GodwitpathError

Headers = list[tuple[bytes, bytes]]
"""Header fields in message order; names are lower case."""

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
"""Header fields that apply to a single connection (RFC 9110, section 7.6.1)."""


class NotSent(GodwitpathError):
    """The request was not sent, or the server refused to process it."""


class ResponseLost(GodwitpathError):
    """No complete response arrived; the server may have processed the request."""


@dataclass(slots=True)
class Request:
    """A completely received request.

    :ivar method: method as sent by the caller
    :ivar target: path with its query, as sent by the caller
    :ivar headers: header fields, including those for message framing
    :ivar body: body without its transfer coding
    :ivar received_at_s: event loop time at which the first byte arrived
    :ivar completed_at_s: event loop time at which the last byte arrived
    :ivar keep_alive: whether the caller allows a persistent connection
    :ivar version: protocol version, such as `1.1`
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    received_at_s: float
    completed_at_s: float
    keep_alive: bool = True
    version: str = "1.1"

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def header(self, name: bytes) -> bytes:
        """Return the first value of a field, empty bytes if the field is absent."""
        return header(self.headers, name)


@dataclass(slots=True)
class ResponseHead:
    """Status line and header fields of a response.

    :ivar length_bytes: body length stated by the head, None if it states none
    :ivar chunked: whether the body uses the chunked transfer coding
    """

    status: int
    reason: bytes
    headers: Headers = field(default_factory=list)
    length_bytes: int | None = None
    chunked: bool = False

    @property
    def states_end(self) -> bool:
        """Whether the end of the body is stated, and not only that of the connection."""
        return self.chunked or self.length_bytes is not None

    def header(self, name: bytes) -> bytes:
        """Return the first value of a field, empty bytes if the field is absent."""
        return header(self.headers, name)


def header(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a field, empty bytes if the field is absent.

    :param name: name of the field in lower case
    """
    for key, value in headers:
        if key == name:
            return value
    return b""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the fields to forward, without hop-by-hop fields and message framing."""
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP and key not in connection_options and key != b"content-length"
    ]


def encode_request_head(
    method: str, target: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Return the serialized head of a request."""
    lines = [method.encode("latin-1") + b" " + target + b" HTTP/1.1"]
    lines.extend(key + b": " + value for key, value in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response_head(
    status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Return the serialized head of a response."""
    lines = [b"HTTP/1.1 %d %s" % (status, reason or reason_phrase(status))]
    lines.extend(key + b": " + value for key, value in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
