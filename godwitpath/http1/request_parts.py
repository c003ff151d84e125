"""Collects the parts of a caller's request, within the limits on its size and its pieces."""

from __future__ import annotations

import httptools

from godwitpath.http1.limits import CallerLimits
from godwitpath.http1.messages import Headers
from godwitpath.http1.response_limits import (
    FRAMING_BYTES_PER_BODY_BYTE,
    MAX_FIELDS,
    pieces_allowed,
)


class RequestParts:
    """Parts of a request that have been received.

    :ivar started_at_s: event loop time at which the first byte arrived, None before
    :ivar target: path with its query
    :ivar headers: header and trailer fields
    :ivar body: body without its transfer coding
    :ivar pieces: number of pieces in which the body arrived
    :ivar head_complete: whether the head is complete
    :ivar error_status: status with which the request is rejected, 0 if it is not
    """

    __slots__ = (
        "_bytes_in_a_row",
        "_field_bytes",
        "_framing_bytes",
        "body",
        "error_status",
        "head_complete",
        "headers",
        "pieces",
        "started_at_s",
        "target",
    )

    def __init__(self, started_at_s: float | None = None) -> None:
        self.started_at_s = started_at_s
        self.target = b""
        self.headers: Headers = []
        self.body = bytearray()
        self.pieces = 0
        self.head_complete = False
        self.error_status = 0
        self._field_bytes = 0
        self._framing_bytes = 0
        self._bytes_in_a_row = 0

    def add_field(self, name: bytes, value: bytes, limits: CallerLimits) -> None:
        """Add a header or trailer field.

        :raises httptools.HttpParserError: there are too many, or they are too long
        """
        self.headers.append((name.lower(), value))
        self._field_bytes += len(name) + len(value) + 4
        if self._field_bytes > limits.max_header_bytes or len(self.headers) > MAX_FIELDS:
            raise self._rejection(431, "request head is too large")

    def complete_head(self, limits: CallerLimits) -> None:
        """Note the end of the head.

        :raises httptools.HttpParserError: it states a body that is too large
        """
        self.head_complete = True
        self._framing_bytes = self._bytes_in_a_row = 0
        for key, value in self.headers:
            is_length = key == b"content-length" and value.isdigit()
            if is_length and int(value) > limits.max_body_bytes:
                raise self._rejection(413, "request body is too large")

    def add_body(self, piece: bytes, limits: CallerLimits) -> None:
        """Add a piece of the body.

        :raises httptools.HttpParserError: the body is too large, or in too many pieces
        """
        self.body += piece
        self.pieces += 1
        if len(self.body) > limits.max_body_bytes:
            raise self._rejection(413, "request body is too large")
        if not pieces_allowed(self.pieces, len(self.body)):
            raise self._rejection(413, "request body has too many pieces")

    def framing_allowed(self, wire_bytes: int, body_bytes: int, limits: CallerLimits) -> bool:
        """Count parsed bytes; returns whether few enough of them do not belong to the body.

        Chunk extensions and trailers count like a head.

        :param wire_bytes: number of parsed bytes
        :param body_bytes: number of body bytes among them
        """
        self._framing_bytes += wire_bytes - body_bytes
        self._bytes_in_a_row = 0 if body_bytes else self._bytes_in_a_row + wire_bytes
        allowed_bytes = limits.max_header_bytes + FRAMING_BYTES_PER_BODY_BYTE * len(self.body)
        return (
            self._framing_bytes <= allowed_bytes and self._bytes_in_a_row <= limits.max_header_bytes
        )

    def _rejection(self, status: int, reason: str) -> httptools.HttpParserError:
        self.error_status = status
        return httptools.HttpParserError(reason)
