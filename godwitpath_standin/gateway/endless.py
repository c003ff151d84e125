"""What an engine sends that answers a request without end."""

from __future__ import annotations

from enum import StrEnum

from godwitpath.http1.messages import Headers, encode_response_head

BLOCK_BYTES = 65_536

CHUNKED = (b"Transfer-Encoding", b"chunked")


class EndlessKind(StrEnum):
    """What is sent again and again."""

    COMMENTS = "comments"
    """Comments of a stream."""
    BYTES = "bytes"
    """Chunks of one byte."""
    FIELDS = "fields"
    """Short header fields, so that the head never ends."""
    BLOCKS = "blocks"
    """Chunks of 64 KB."""
    EVENTS = "events"
    """Short events of a stream."""


def _in_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


REPEATED = {
    EndlessKind.COMMENTS: _in_chunk(b": c\n\n" * 13_000),
    EndlessKind.BYTES: _in_chunk(b"x") * 10_000,
    EndlessKind.FIELDS: b"A: b\r\n" * 10_000,
    EndlessKind.BLOCKS: _in_chunk(b"x" * BLOCK_BYTES),
    EndlessKind.EVENTS: _in_chunk(b"data: x\n\n" * 7_000),
}


def endless_start(kind: EndlessKind, headers: Headers) -> bytes:
    """Return what an engine sends before it repeats itself."""
    if kind is EndlessKind.FIELDS:
        return encode_response_head(200, b"OK", headers).removesuffix(b"\r\n")
    return encode_response_head(200, b"OK", [*headers, CHUNKED])
