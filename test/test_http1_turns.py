"""Tests of the order in which connections that receive much data read on."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from godwitpath.http1.turns import ReadTurns, read_turns


class Iterations:
    """An event loop reduced to the calls that are due in its next iteration."""

    def __init__(self) -> None:
        self.due: list[Callable[[], None]] = []
        self.turns = ReadTurns(self.due.append)

    def run(self) -> None:
        """Run one iteration."""
        due, self.due[:] = list(self.due), []
        for call in due:
            call()


@given(st.lists(st.sampled_from("abc"), min_size=1, max_size=30))
def test_an_iteration_gives_one_turn_and_groups_alternate(waiting: list[str]) -> None:
    """Guards against one server with many connections that delays the others' by all of them."""
    iterations = Iterations()
    given_turns: list[tuple[str, int]] = []
    for number, group in enumerate(waiting):
        iterations.turns.wait(group, lambda turn=(group, number): given_turns.append(turn))
    for count in range(len(waiting) + 1):
        assert len(given_turns) == count
        iterations.run()
    assert not iterations.due
    for group in set(waiting):
        positions = [place for place, turn in enumerate(given_turns) if turn[0] == group]
        numbers = [number for name, number in given_turns if name == group]
        assert numbers == sorted(numbers)
        assert positions[0] < len(set(waiting))
        assert all(after - before <= 3 for before, after in itertools.pairwise(positions))


def test_a_connection_that_waits_again_goes_behind_the_others_of_its_group() -> None:
    iterations = Iterations()
    order: list[str] = []

    def read_on() -> None:
        order.append("first")
        if len(order) < 5:
            iterations.turns.wait("group", read_on)

    iterations.turns.wait("group", read_on)
    iterations.turns.wait("group", lambda: order.append("second"))
    for _ in range(5):
        iterations.run()
    assert order == ["first", "second", "first", "first", "first"]


async def test_all_connections_of_an_event_loop_share_its_turns() -> None:
    assert read_turns() is read_turns()
    calls: list[int] = []
    for number in range(3):
        read_turns().wait("group", lambda number=number: calls.append(number))
    await asyncio.sleep(0)
    assert calls == [0]
    for _ in range(2):
        await asyncio.sleep(0)
    assert calls == [0, 1, 2]
