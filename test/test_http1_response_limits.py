"""Tests of what one response, and all responses together, may cost."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.http1.response_limits import (
    FREE_PIECES,
    MAX_BODY_BYTES,
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    MAX_INTERIM_RESPONSES,
    MAX_SERVER_BODY_BYTES,
    MAX_SHARED_BODY_BYTES,
    UNSHARED_BODY_BYTES,
    BodyBudget,
    BodyReservation,
    ResponseCost,
    ResponseLimitExceeded,
)


def test_fields_interim_responses_and_framing_have_a_limit() -> None:
    cost = ResponseCost()
    for _ in range(MAX_INTERIM_RESPONSES):
        for _ in range(MAX_FIELDS):
            cost.add_field()
        cost.add_interim_response()
    with pytest.raises(ResponseLimitExceeded, match="interim responses"):
        cost.add_interim_response()
    for _ in range(MAX_FIELDS):
        cost.add_field()
    with pytest.raises(ResponseLimitExceeded, match="fields"):
        cost.add_field()
    cost.add_received(MAX_HEAD_BYTES, complete=False)
    with pytest.raises(ResponseLimitExceeded, match="framing bytes"):
        cost.add_received(1, complete=False)


@given(st.lists(st.integers(1, 60), min_size=1, max_size=40))
def test_a_body_in_pieces_of_one_byte_ends_and_one_in_lines_of_events_does_not(
    sizes: list[int],
) -> None:
    """Guards against a body of 16 MB that costs 16 million calls of the parser."""
    lines = ResponseCost()
    for _ in range(1_000):
        for size in sizes:
            # A line of an event has at least five bytes, the empty one after it has one.
            lines.add_piece(4 + size)
            lines.add_piece(1)
    with pytest.raises(ResponseLimitExceeded) as raised:
        _add_pieces_of_one_byte(100_000)
    assert raised.value.limit == "pieces"
    assert raised.value.amount <= 2 * FREE_PIECES + 2


def test_bodies_of_one_server_leave_room_for_those_of_another() -> None:
    """Guards against a faulty engine whose bodies take the memory of all others."""
    budget = BodyBudget()
    faulty = [budget.reserve("faulty") for _ in range(400)]
    with pytest.raises(ResponseLimitExceeded, match="its server"):
        _grow_together(faulty)
    assert budget.shared_bytes["faulty"] <= MAX_SERVER_BODY_BYTES
    sound = budget.reserve("sound")
    sound.resize(MAX_BODY_BYTES)
    with pytest.raises(ResponseLimitExceeded, match="body bytes"):
        sound.resize(MAX_BODY_BYTES + 1)
    for each in [*faulty, sound]:
        each.release()
    assert not budget.shared_bytes


def _add_pieces_of_one_byte(count: int) -> None:
    cost = ResponseCost()
    for _ in range(count):
        cost.add_piece(1)


def _grow_together(reservations: list[BodyReservation]) -> None:
    for size_bytes in range(0, MAX_BODY_BYTES, 16_384):
        for each in reservations:
            each.resize(size_bytes)


@given(st.lists(st.tuples(st.integers(0, 7), st.integers(0, MAX_BODY_BYTES)), max_size=60))
def test_all_bodies_together_stay_within_their_sum(sizes: list[tuple[int, int]]) -> None:
    budget = BodyBudget()
    reservations = [budget.reserve(f"server {number}") for number in range(8)]
    held = [0] * 8
    for number, size_bytes in sizes:
        try:
            reservations[number].resize(size_bytes)
            held[number] = max(0, size_bytes - UNSHARED_BODY_BYTES)
        except ResponseLimitExceeded:
            assert sum(held) + size_bytes > MAX_SHARED_BODY_BYTES
        assert budget.shared_bytes.total() == sum(held) <= MAX_SHARED_BODY_BYTES
