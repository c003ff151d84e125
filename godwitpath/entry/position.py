"""Position of a caller in a stream, encoded in the event ids."""

from __future__ import annotations

import re
from dataclasses import dataclass

from godwitpath.entry.refusals import CallerError
from godwitpath.records.record import Piece, TextSeen

_EVENT_ID_PATTERN = re.compile(r"[\w-]{1,200}:(\d{1,9}):(\d{1,9}):([0-9a-f]{1,8})", re.ASCII)


@dataclass(slots=True, frozen=True)
class Position:
    """The part of a response that a caller has received.

    :ivar tokens: number of tokens received
    :ivar seen: length and checksum of the text received, so that no different text is appended
    """

    tokens: int = 0
    seen: TextSeen | None = None

    def after(self, pieces: list[Piece]) -> Position:
        """Return the position after further pieces."""
        tokens = self.tokens + sum(piece.tokens for piece in pieces)
        return Position(tokens, (self.seen or TextSeen()).extended(pieces))

    def event_id(self, request_id: str) -> str:
        """Return the event id of the position: `REQUEST:TOKENS:CHARACTERS:CHECKSUM`."""
        seen = self.seen or TextSeen()
        return f"{request_id}:{self.tokens}:{seen.chars}:{seen.crc:x}"


def parse_position(event_id: str) -> Position:
    """Return the position encoded in an event id; an empty id is the start of the stream.

    :raises CallerError: the event id is malformed
    """
    if not event_id:
        return Position()
    match = _EVENT_ID_PATTERN.fullmatch(event_id)
    if match is None:
        raise CallerError("malformed_request", "`Last-Event-ID` must be one that was given")
    tokens, chars, crc = match.groups()
    return Position(int(tokens), TextSeen(int(chars), int(crc, 16)))
