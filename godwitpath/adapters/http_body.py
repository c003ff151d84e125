"""Decoding of chunked HTTP bodies as they arrive, with bounds on what the other end may send."""

from __future__ import annotations

MAX_LINE_BYTES = 4096


class ChunkedDecoder:
    """Incremental decoder of the chunked transfer coding.

    :ivar ended: whether the last chunk and its trailers were seen
    :ivar rest: bytes that are not decoded yet
    """

    def __init__(self) -> None:
        self.ended = False
        self.rest = b""
        self._left_bytes = 0
        self._expects_line_end = False
        self._in_trailers = False

    def feed(self, data: bytes) -> bytes:
        """Return the body bytes that became complete.

        :raises ValueError: the bytes are not a chunked body
        """
        buffer = self.rest + data if self.rest else data
        position = 0
        body: list[bytes] = []
        while not self.ended:
            if self._left_bytes:
                piece = buffer[position : position + self._left_bytes]
                body.append(piece)
                position += len(piece)
                self._left_bytes -= len(piece)
                if self._left_bytes:
                    break
                self._expects_line_end = True
            end = buffer.find(b"\r\n", position)
            if end < 0:
                if len(buffer) - position > MAX_LINE_BYTES:
                    raise ValueError("line too long in a chunked body")
                break
            self._take_line(buffer[position:end])
            position = end + 2
        self.rest = buffer[position:]
        return b"".join(body)

    def _take_line(self, line: bytes) -> None:
        if self._expects_line_end:
            if line:
                raise ValueError("chunk longer than its size")
            self._expects_line_end = False
        elif self._in_trailers:
            self.ended = not line
        else:
            size = line.partition(b";")[0].strip()
            if not size.isalnum():
                raise ValueError("chunk size is not a number")
            self._left_bytes = int(size, 16)
            self._in_trailers = self._left_bytes == 0


class LengthDecoder:
    """Decoder of a body with a given length; see :class:`ChunkedDecoder`."""

    def __init__(self, length_bytes: int) -> None:
        self.rest = b""
        self._left_bytes = length_bytes

    @property
    def ended(self) -> bool:
        """Whether the whole body was seen."""
        return self._left_bytes == 0

    def feed(self, data: bytes) -> bytes:
        """Return the body bytes among the data."""
        body = data[: self._left_bytes]
        self._left_bytes -= len(body)
        self.rest = data[len(body) :]
        return body
