"""Incremental decoders of HTTP bodies, with bounds on what the server may send."""

from __future__ import annotations

MAX_LINE_BYTES = 4096


class ChunkedDecoder:
    """Incremental decoder of the chunked transfer coding.

    :ivar ended: whether the last chunk and its trailers have been decoded
    :ivar undecoded: received bytes that are not decoded yet
    """

    def __init__(self) -> None:
        self.ended = False
        self.undecoded = b""
        self._remaining_bytes = 0
        self._expects_line_end = False
        self._in_trailers = False

    def feed(self, data: bytes) -> bytes:
        """Decode received data and return the body bytes in it.

        :raises ValueError: the data are not a valid chunked body
        """
        buffer = self.undecoded + data if self.undecoded else data
        position = 0
        body: list[bytes] = []
        while not self.ended:
            if self._remaining_bytes:
                chunk = buffer[position : position + self._remaining_bytes]
                body.append(chunk)
                position += len(chunk)
                self._remaining_bytes -= len(chunk)
                if self._remaining_bytes:
                    break
                self._expects_line_end = True
            end = buffer.find(b"\r\n", position)
            if end < 0:
                if len(buffer) - position > MAX_LINE_BYTES:
                    raise ValueError("line too long in a chunked body")
                break
            self._parse_line(buffer[position:end])
            position = end + 2
        self.undecoded = buffer[position:]
        return b"".join(body)

    def _parse_line(self, line: bytes) -> None:
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
            self._remaining_bytes = int(size, 16)
            self._in_trailers = self._remaining_bytes == 0


class LengthDecoder:
    """Incremental decoder of a body with a known length.

    :ivar undecoded: bytes received after the end of the body
    """

    def __init__(self, length_bytes: int) -> None:
        self.undecoded = b""
        self._remaining_bytes = length_bytes

    @property
    def ended(self) -> bool:
        """Whether the whole body has been received."""
        return self._remaining_bytes == 0

    def feed(self, data: bytes) -> bytes:
        """Return the body bytes at the start of the data."""
        body = data[: self._remaining_bytes]
        self._remaining_bytes -= len(body)
        self.undecoded = data[len(body) :]
        return body
