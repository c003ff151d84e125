"""Where a caller is in a stream, as carried by the event ids."""

from __future__ import annotations

import re
from dataclasses import dataclass

from godwitpath.entry.refusals import CallerError
from godwitpath.records.record import Piece, TextSeen

_FORM = re.compile(r"[\w-]{1,200}:(\d{1,9}):(\d{1,9}):([0-9a-f]{1,8})", re.ASCII)


@dataclass(slots=True, frozen=True)
class Position:
    """How much of an answer a caller has.

    :ivar tokens: number of tokens
    :ivar seen: length and checksum of the text, so that no other text is spliced to it
    """

    tokens: int = 0
    seen: TextSeen | None = None

    def after(self, pieces: list[Piece]) -> Position:
        """Return the position behind more pieces."""
        tokens = self.tokens + sum(piece.tokens for piece in pieces)
        return Position(tokens, (self.seen or TextSeen()).extended(pieces))

    def event_id(self, request_id: str) -> str:
        """Return the event id of the position: `REQUEST:TOKENS:CHARACTERS:CHECKSUM`."""
        seen = self.seen or TextSeen()
        return f"{request_id}:{self.tokens}:{seen.chars}:{seen.crc:x}"


def parse_position(event_id: str) -> Position:
    """Return the position of an event id; an empty one is the beginning.

    :raises CallerError: it is not one that was given
    """
    if not event_id:
        return Position()
    match = _FORM.fullmatch(event_id)
    if match is None:
        raise CallerError("malformed_request", "`Last-Event-ID` must be one that was given")
    tokens, chars, crc = match.groups()
    return Position(int(tokens), TextSeen(int(chars), int(crc, 16)))
