"""The request record: an accepted request, the text generated so far and its outcome.

The holder of a record is the entry that works on the request. The epoch of a record rises whenever
its holder or backup changes.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from godwitpath.errors import GodwitpathError

RequestKind = Literal["chat", "completion", "plain"]
RecordState = Literal["accepted", "running", "finished"]
Ran = Literal["yes", "no", "unknown"]

KEEP_OUTCOME_S = 300.0
"""Default time for which a request's outcome or a claim on an idempotency key is kept."""

RECORD_OVERHEAD_BYTES = 2048
"""Estimated memory of a record beside its body, text and outcome."""

PIECE_OVERHEAD_BYTES = 120
"""Estimated memory of a piece beside its text."""


class Piece(msgspec.Struct, array_like=True, frozen=True):
    """A piece of the generated text.

    :ivar offset: number of tokens of the generated text before this piece
    :ivar tokens: number of tokens in the piece
    """

    offset: int
    text: str
    tokens: int


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """The result of a request.

    :ivar status: HTTP status of the response
    :ivar body: complete body; empty for a generation, which has its text in pieces
    :ivar ran: whether the request ran at an upstream
    :ivar reason: reason for a failure, empty for success
    :ivar retry_after_s: time after which a retry is reasonable, 0 for no advice
    """

    status: int
    content_type: str = "application/json"
    body: bytes = b""
    headers: list[tuple[str, str]] = []
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    ran: Ran = "yes"
    reason: str = ""
    retry_after_s: float = 0.0


class RecordMoved(GodwitpathError):
    """Another entry now holds the record.

    :ivar holder: entry that holds the record, empty if unknown
    """

    def __init__(self, request_id: str, holder: str) -> None:
        super().__init__(f"request {request_id} is held by {holder}")
        self.holder = holder


class OffsetUnknown(GodwitpathError):
    """The text cannot be continued from the offset without losing or repeating some of it."""


class TextSeen(msgspec.Struct, array_like=True, frozen=True):
    """Length and checksum of the text that a reader has.

    The checksum detects a generation whose text differs, so that its pieces are not appended to the
    text that the reader has.

    :ivar chars: number of characters
    :ivar crc: CRC-32 of the text in UTF-8
    """

    chars: int = 0
    crc: int = 0

    def extended(self, pieces: list[Piece]) -> TextSeen:
        """Return the length and checksum after more pieces."""
        text = "".join(piece.text for piece in pieces)
        return TextSeen(self.chars + len(text), zlib.crc32(text.encode(), self.crc))


def pieces_after(
    pieces: list[Piece], after_tokens: int, seen: TextSeen | None = None
) -> list[Piece]:
    """Return the pieces after an offset.

    :param after_tokens: number of tokens that the reader has
    :param seen: text that the reader has; if given, a piece that straddles the offset is cut
    :raises OffsetUnknown: the text cannot be continued from the offset without losing or repeating
        some of it
    """
    if seen is not None:
        return _pieces_after_text(pieces, after_tokens, seen)
    start = len(pieces)
    while start > 0 and pieces[start - 1].offset >= after_tokens:
        start -= 1
    if start > 0 and pieces[start - 1].offset + pieces[start - 1].tokens > after_tokens:
        raise OffsetUnknown(f"offset {after_tokens} lies inside a piece")
    return pieces[start:]


def _pieces_after_text(pieces: list[Piece], after_tokens: int, seen: TextSeen) -> list[Piece]:
    text = "".join(piece.text for piece in pieces)
    prefix = text[: seen.chars]
    if len(prefix) < seen.chars or zlib.crc32(prefix.encode()) != seen.crc:
        raise OffsetUnknown("the generated text differs from the delivered text")
    start, preceding_chars = 0, 0
    while start < len(pieces) and preceding_chars + len(pieces[start].text) <= seen.chars:
        preceding_chars += len(pieces[start].text)
        start += 1
    if preceding_chars == seen.chars:
        return pieces[start:]
    straddling = pieces[start]
    remaining_tokens = max(0, straddling.offset + straddling.tokens - after_tokens)
    remainder = Piece(
        after_tokens, straddling.text[seen.chars - preceding_chars :], remaining_tokens
    )
    return [remainder, *pieces[start + 1 :]]


@dataclass(slots=True, eq=False)
class RequestRecord:
    """An accepted request, held by one entry and copied to a backup entry.

    :ivar body_digest: digest that detects a different body under the same idempotency key
    :ivar streamed: whether the caller asked for a streamed response
    :ivar timeout_s: time left until the caller's deadline when the record was created or copied
    :ivar keep_outcome_s: time for which the outcome is kept
    :ivar holder: entry that works on the request
    :ivar backup: entry that has the copy, empty for none
    :ivar epoch: raised whenever the holder or the backup changes; the highest epoch is valid
    :ivar attempt_id: attempt that the pieces come from, empty before the first attempt
    :ivar stream_id: the engine's identifier of the running stream
    :ivar version: raised whenever the attempt or the stream changes
    :ivar copied_pieces: number of pieces that the backup has acknowledged
    :ivar copied_version: version that the backup has acknowledged
    :ivar held: whether this process works on the request
    :ivar created_at_s: loop time at which this process created or received the record
    :ivar last_update_at_s: loop time of the last message from the holder; copies only
    :ivar size_bytes: estimated memory of the record, as counted against the limit of the table
    :ivar handle: 64-bit number that replaces the request identifier between holder and backup
    :ivar finished_at_s: loop time at which the outcome was stored, 0 if there is none
    """

    request_id: str
    account: str
    service: str
    kind: RequestKind
    method: str = "POST"
    path: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list, repr=False)
    idempotency_key: str = ""
    body: bytes = field(default=b"", repr=False)
    body_digest: str = ""
    priority: int = 0
    streamed: bool = False
    timeout_s: float = 60.0
    keep_outcome_s: float = KEEP_OUTCOME_S
    holder: str = ""
    backup: str = ""
    epoch: int = 1
    attempt_id: str = ""
    upstream_id: str = ""
    stream_id: str = ""
    pieces: list[Piece] = field(default_factory=list, repr=False)
    outcome: Outcome | None = field(default=None, repr=False)
    state: RecordState = "accepted"
    version: int = 0
    copied_pieces: int = 0
    copied_version: int = 0
    held: bool = True
    created_at_s: float = 0.0
    last_update_at_s: float = 0.0
    finished_at_s: float = 0.0
    size_bytes: int = 0
    handle: int = 0
    _waiters: list[asyncio.Future[None]] = field(default_factory=list, repr=False)

    @property
    def tokens(self) -> int:
        """Number of tokens generated so far."""
        if not self.pieces:
            return 0
        return self.pieces[-1].offset + self.pieces[-1].tokens

    @property
    def text(self) -> str:
        """The text generated so far."""
        return "".join(piece.text for piece in self.pieces)

    @property
    def finished(self) -> bool:
        """Whether the request has an outcome."""
        return self.outcome is not None

    def time_left_s(self, now_s: float) -> float:
        """Return the time until the caller's deadline."""
        return self.created_at_s + self.timeout_s - now_s

    def compute_size_bytes(self) -> int:
        """Return the estimated memory of the record."""
        pieces_bytes = sum(len(piece.text) + PIECE_OVERHEAD_BYTES for piece in self.pieces)
        outcome_bytes = len(self.outcome.body) if self.outcome else 0
        return RECORD_OVERHEAD_BYTES + len(self.body) + pieces_bytes + outcome_bytes

    def wake(self) -> None:
        """Wake every task that waits in :meth:`wait_for_change`."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_for_change(self) -> None:
        """Wait until the record changes."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _has_reached(self, after_tokens: int, seen: TextSeen | None) -> bool:
        if self.outcome is not None or not self.held:
            return True
        if seen is not None:
            return sum(len(piece.text) for piece in self.pieces) >= seen.chars
        return self.tokens >= after_tokens

    async def follow(
        self, after_tokens: int, seen: TextSeen | None = None
    ) -> AsyncIterator[list[Piece]]:
        """Yield the pieces after an offset, then each batch of new pieces, until the outcome.

        :raises RecordMoved: another entry took the record over
        :raises OffsetUnknown: see :func:`pieces_after`
        """
        # A record that was just adopted may have less text than the reader already received.
        while not self._has_reached(after_tokens, seen):
            await self.wait_for_change()
        if not self.held and self.outcome is None:
            raise RecordMoved(self.request_id, self.holder)
        batch = pieces_after(self.pieces, after_tokens, seen)
        position = len(self.pieces)
        while True:
            if batch:
                yield batch
            elif self.outcome is not None:
                return
            elif not self.held:
                raise RecordMoved(self.request_id, self.holder)
            else:
                await self.wait_for_change()
            batch = self.pieces[position:]
            position += len(batch)

    async def wait_outcome(self) -> Outcome:
        """Wait for the outcome.

        :raises RecordMoved: another entry took the record over
        """
        while self.outcome is None:
            if not self.held:
                raise RecordMoved(self.request_id, self.holder)
            await self.wait_for_change()
        return self.outcome


@dataclass(slots=True)
class RecordRef:
    """A reference to a record found locally or at a peer.

    :ivar epoch: epoch of the record, 0 if only a key claim was found
    :ivar record: the record itself if this process has it
    """

    account: str
    request_id: str
    holder: str
    epoch: int = 0
    idempotency_key: str = ""
    body_digest: str = ""
    service: str = ""
    kind: RequestKind = "chat"
    streamed: bool = False
    state: RecordState = "accepted"
    tokens: int = 0
    record: RequestRecord | None = field(default=None, repr=False)
