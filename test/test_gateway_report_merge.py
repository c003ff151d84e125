"""Tests of how the pieces of reports are merged with what earlier ones said."""

from __future__ import annotations

from godwitpath.gateway.report_merge import LOST_TURNS, CounterBaseline, PieceOrder, Renewals


def test_a_later_piece_of_a_report_is_accepted_once_and_an_older_report_is_not() -> None:
    order = PieceOrder()
    assert order.accepts(5, 1)
    assert order.accepts(5, 0)
    assert not order.accepts(5, 1)
    assert not order.accepts(4, 2)
    assert order.accepts(6, 1)


def test_a_whole_section_replaces_the_one_before() -> None:
    renewals = Renewals()
    known = renewals.merge({}, {"e0": 1, "e1": 2}, 1, 0)
    assert renewals.merge(known, {"e1": 3}, 2, 0) == {"e1": 3}


def test_an_entry_of_a_spread_section_ends_after_the_turns_that_may_be_lost() -> None:
    renewals = Renewals()
    known = renewals.merge({}, {"ended": 1, "e0": 1}, 10, 3)
    for sequence in range(11, 11 + LOST_TURNS * 3):
        known = renewals.merge(known, {"e0": 2}, sequence, 3)
        assert known == {"ended": 1, "e0": 2} or sequence > 10 + LOST_TURNS * 3
    assert renewals.merge(known, {"e0": 2}, 11 + LOST_TURNS * 3, 3) == {"e0": 2}


def test_counters_that_come_in_a_senders_first_turn_are_no_new_use() -> None:
    counters = CounterBaseline()
    assert counters.increases({"a": 500}, 7, 2) == {}
    assert counters.increases({"b": 900}, 8, 2) == {}
    assert counters.increases({"a": 510, "new": 3}, 7 + LOST_TURNS * 2 + 1, 2) == {
        "a": 10,
        "new": 3,
    }


def test_a_counter_that_a_piece_lacks_is_not_counted_again() -> None:
    counters = CounterBaseline()
    counters.increases({"a": 500, "b": 1}, 1, 0)
    assert counters.increases({"b": 2}, 2, 2) == {"b": 1}
    assert counters.increases({"a": 501}, 3, 2) == {"a": 1}
    assert counters.increases({"a": 501, "b": 0}, 4, 0) == {"b": -2}


def test_a_piece_that_arrives_before_the_first_whole_one_starts_the_baseline() -> None:
    counters = CounterBaseline()
    assert counters.increases({}, 7, 1) == {}
    assert counters.increases({"a": 500}, 7, 0) == {}
    assert counters.increases({"a": 501}, 8, 0) == {"a": 1}
