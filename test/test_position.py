"""Guards against resumed streams that skip, repeat or mix text due to a wrong caller position."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.entry.position import Position, parse_position
from godwitpath.entry.refusals import CallerError
from godwitpath.records.record import OffsetUnknown, Piece, pieces_after

PIECES = [Piece(0, "one ", 1), Piece(1, "two three ", 2), Piece(3, "four", 1)]


@given(st.lists(st.text(max_size=5), max_size=6))
def test_event_id_restores_the_position(texts: list[str]) -> None:
    position = Position()
    for offset, text in enumerate(texts):
        position = position.after([Piece(offset, text, 1)])
    parsed = parse_position(position.event_id("req-1"))
    assert (parsed.tokens, parsed.seen or None) == (position.tokens, parsed.seen)
    assert parsed.event_id("req-1") == position.event_id("req-1")


@given(st.text(max_size=60))
def test_malformed_event_id_is_refused(text: str) -> None:
    try:
        parsed = parse_position(text)
    except CallerError as error:
        refused = error.reason
    else:
        refused = "" if parsed.event_id("r").count(":") == 3 else "misread"
    assert refused in ("", "malformed_request")


def test_resumed_stream_continues_the_same_text() -> None:
    position = Position().after(PIECES[:2])
    assert pieces_after(PIECES, position.tokens, position.seen) == PIECES[2:]


def test_different_text_is_not_appended() -> None:
    position = Position().after([PIECES[0], Piece(1, "2 III ", 2)])
    with pytest.raises(OffsetUnknown):
        pieces_after(PIECES, position.tokens, position.seen)
