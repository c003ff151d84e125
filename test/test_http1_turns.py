"""Tests of the order in which connections that receive much data are handled, and of its pauses."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.http1.turns import (
    DENSE_READ_BYTES,
    FIRST_READ_BYTES,
    MAX_PAUSE_S,
    OTHERS_FACTOR,
    READ_BYTES,
    READ_PIECES,
    SHORT_TURN_S,
    ReadTurns,
    is_heavy,
    next_read_bytes,
    pause_s,
    read_turns,
)


class Iterations:
    """An event loop reduced to the calls that are due, and a time that tests set.

    :ivar turn_s: duration of each turn
    """

    def __init__(self) -> None:
        self.due: list[tuple[float, Callable[[], None]]] = []
        self.now_s = 0.0
        self.turn_s = 0.0
        self.turns = ReadTurns(self._call_later, lambda: self.now_s)

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.due.append((self.now_s + delay_s, callback))

    def run(self) -> None:
        """Run one iteration, once a call is due."""
        self.now_s = max(self.now_s, min((at_s for at_s, _ in self.due), default=0.0))
        calls = [call for at_s, call in self.due if at_s <= self.now_s]
        self.due = [each for each in self.due if each[0] > self.now_s]
        for call in calls:
            call()

    def take_time(self) -> None:
        """Spend the duration of a turn."""
        self.now_s += self.turn_s


@given(st.lists(st.sampled_from("abc"), min_size=1, max_size=30), st.floats(0.0, 0.05))
def test_an_iteration_gives_at_most_one_turn_and_groups_alternate(
    waiting: list[str], turn_s: float
) -> None:
    """Guards against one server with many connections that delays the others' by all of them."""
    iterations = Iterations()
    iterations.turn_s = turn_s
    given_turns: list[tuple[str, int]] = []
    for number, group in enumerate(waiting):
        iterations.turns.wait(group, lambda turn=(group, number): given_turns.append(turn))
    while iterations.due:
        before = len(given_turns)
        iterations.run()
        iterations.take_time()
        assert len(given_turns) <= before + 1
    assert len(given_turns) == len(waiting)
    for group in set(waiting):
        positions = [place for place, turn in enumerate(given_turns) if turn[0] == group]
        numbers = [number for name, number in given_turns if name == group]
        assert numbers == sorted(numbers)
        assert positions[0] < len(set(waiting))
        assert all(after - before <= 3 for before, after in itertools.pairwise(positions))


@given(st.lists(st.floats(0.0, 0.006), min_size=2, max_size=30))
def test_all_other_work_has_a_multiple_of_the_time_of_the_turns(durations_s: list[float]) -> None:
    """Guards against turns that are short in bytes and long in time."""
    iterations = Iterations()
    ended_at_s: list[float] = []
    started_at_s: list[float] = []

    def take_turn(duration_s: float) -> None:
        started_at_s.append(iterations.now_s)
        iterations.now_s += duration_s
        ended_at_s.append(iterations.now_s)

    for duration_s in durations_s:
        iterations.turns.wait("group", lambda each=duration_s: take_turn(each))
    while iterations.due:
        iterations.run()
    assert len(ended_at_s) == len(durations_s)
    for duration_s, end_s, next_s in zip(
        durations_s, ended_at_s[:-1], started_at_s[1:], strict=False
    ):
        if duration_s > 1.01 * SHORT_TURN_S:
            assert next_s - end_s >= 0.99 * OTHERS_FACTOR * duration_s


def test_a_connection_that_waits_again_goes_behind_the_others_of_its_group() -> None:
    iterations = Iterations()
    order: list[str] = []

    def read_on() -> None:
        order.append("first")
        if len(order) < 5:
            iterations.turns.wait("group", read_on)

    iterations.turns.wait("group", read_on)
    iterations.turns.wait("group", lambda: order.append("second"))
    while iterations.due:
        iterations.run()
    assert order == ["first", "second", "first", "first", "first"]


@given(st.floats(0.0, 10.0))
def test_a_pause_is_bounded_whatever_an_iteration_took(iteration_s: float) -> None:
    assert 0.0 <= pause_s(iteration_s) <= MAX_PAUSE_S
    assert pause_s(iteration_s) >= min(MAX_PAUSE_S, iteration_s) or iteration_s <= SHORT_TURN_S


def test_reads_grow_while_they_are_cheap_and_shrink_when_they_are_not() -> None:
    allowed_bytes = FIRST_READ_BYTES
    for _ in range(1 + int(math.log2(READ_BYTES // FIRST_READ_BYTES))):
        assert is_heavy(allowed_bytes, pieces=1, max_held_bytes=FIRST_READ_BYTES)
        assert is_heavy(allowed_bytes, pieces=1) == (allowed_bytes == READ_BYTES)
        allowed_bytes = next_read_bytes(allowed_bytes, allowed_bytes, 1)
    assert allowed_bytes == READ_BYTES
    assert next_read_bytes(allowed_bytes, 100, 1) == READ_BYTES
    assert next_read_bytes(allowed_bytes, 2_000, READ_PIECES) == DENSE_READ_BYTES
    assert is_heavy(100, READ_PIECES)
    assert not is_heavy(100, 1)


@pytest.mark.looptime
async def test_all_connections_of_an_event_loop_share_its_turns() -> None:
    assert read_turns() is read_turns()
    calls: list[int] = []
    for number in range(3):
        read_turns().wait("group", lambda number=number: calls.append(number))
    await asyncio.sleep(0)
    assert calls == [0]
    await asyncio.sleep(3 * MAX_PAUSE_S)
    assert calls == [0, 1, 2]


def test_turns_go_on_after_a_connection_whose_turn_failed() -> None:
    iterations = Iterations()
    order: list[str] = []

    def fail() -> None:
        raise ValueError("a fault of one connection")

    iterations.turns.wait("group", fail)
    iterations.turns.wait("group", lambda: order.append("next"))
    with pytest.raises(ValueError, match="a fault of one connection"):
        iterations.run()
    while iterations.due:
        iterations.run()
    assert order == ["next"]
