"""Whom daemons choose together, and who is in contact both ways, over any graph of hearing."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.gateway.mutual_hearing import (
    Election,
    HearingStatements,
    choice,
    elect,
    in_contact,
)

KEEP_S = 1.2
TIMEOUT_S = 1.6
REPORT_S = 0.4
STEP_S = 0.1
NAMES = [f"d{number}" for number in range(7)]

Graph = list[set[int]]
"""Which daemons each daemon hears, by their numbers."""


@st.composite
def graphs(draw: st.DrawFn, size: int) -> Graph:
    """Any directed graph, mostly with few silent directions."""
    numbers = range(size)
    edges = st.sets(st.tuples(st.sampled_from(numbers), st.sampled_from(numbers)))
    cut = draw(edges)
    if draw(st.booleans()):
        return [
            {each for each in numbers if (reader, each) in cut} - {reader} for reader in numbers
        ]
    return [
        {each for each in numbers if (reader, each) not in cut} - {reader} for reader in numbers
    ]


def names_of(numbers: set[int]) -> frozenset[str]:
    return frozenset(NAMES[number] for number in numbers)


class Model:
    """Daemons that report their hearing in steps of time over a graph that may change.

    :param ranking: the preference of an engine
    """

    def __init__(self, size: int, ranking: list[str], phases: list[int]) -> None:
        self.size, self.ranking, self.phases = size, ranking, phases
        self.heard_at_s: list[dict[int, float]] = [{} for _ in range(size)]
        self.statements = [HearingStatements(KEEP_S) for _ in range(size)]
        self.step = 0

    def run_step(self, graph: Graph) -> list[Election]:
        """Send the reports of one step, and return whom each daemon counts as chosen."""
        now_s = self.step * STEP_S
        self.step += 1
        for sender in range(self.size):
            if self.step % round(REPORT_S / STEP_S) == self.phases[sender]:
                stated = self.heard(sender, now_s)
                for receiver in range(self.size):
                    if sender in graph[receiver]:
                        self.heard_at_s[receiver][sender] = now_s
                        self.statements[receiver].note(NAMES[sender], stated, now_s)
        elections = []
        for number in range(self.size):
            heard = self.heard(number, now_s)
            statements = self.statements[number]
            statements.note(NAMES[number], heard, now_s)
            current = statements.current(now_s)
            known = heard | {NAMES[number]}
            elections.append(elect(self.ranking, current, known, self.size, now_s, KEEP_S))
        return elections

    def heard(self, number: int, now_s: float) -> frozenset[str]:
        since_s = now_s - TIMEOUT_S
        return names_of({each for each, at_s in self.heard_at_s[number].items() if at_s >= since_s})


def acting(elections: list[Election]) -> list[str]:
    return [name for name, each in zip(NAMES, elections, strict=False) if each.steady == name]


@given(data=st.data(), size=st.integers(1, len(NAMES)))
def test_at_most_one_daemon_acts_whoever_hears_whom_before_and_after_a_change(
    data: st.DataObject, size: int
) -> None:
    ranking = data.draw(st.permutations(NAMES[:size]))
    phases = data.draw(st.lists(st.integers(0, 3), min_size=size, max_size=size))
    model = Model(size, ranking, phases)
    for _ in range(data.draw(st.integers(1, 3))):
        graph = data.draw(graphs(size))
        for _ in range(45):
            assert len(acting(model.run_step(graph))) <= 1


@given(data=st.data(), size=st.integers(3, len(NAMES)), number=st.integers(0, 6))
def test_the_others_choose_one_grantor_if_one_daemon_is_not_heard_or_hears_nobody(
    data: st.DataObject, size: int, number: int
) -> None:
    number %= size
    ranking = data.draw(st.permutations(NAMES[:size]))
    everyone = set(range(size))
    deaf, unheard = data.draw(st.sampled_from([(True, False), (False, True), (True, True)]))
    graph = [everyone - {reader} for reader in range(size)]
    for reader in range(size):
        if unheard:
            graph[reader] -= {number}
    if deaf:
        graph[number] = set()
    model = Model(size, ranking, [0] * size)
    for _ in range(30):
        model.run_step([everyone - {reader} for reader in range(size)])
    for _ in range(40):
        elections = model.run_step(graph)
    expected = next(name for name in ranking if name != NAMES[number])
    others = [each for reader, each in enumerate(elections) if reader != number]
    assert {each.steady for each in others} == {expected}
    assert acting(elections) == [expected]


@given(data=st.data(), size=st.integers(1, len(NAMES)))
def test_contact_is_the_same_at_both_ends_if_the_statements_are_true(
    data: st.DataObject, size: int
) -> None:
    graph = data.draw(graphs(size))
    stated = {NAMES[number]: names_of(heard) for number, heard in enumerate(graph)}
    contacts = {name: in_contact(name, heard, stated.get) for name, heard in stated.items()}
    for name, others in contacts.items():
        assert all(name in contacts[other] for other in others)
        assert others <= stated[name]


@pytest.mark.parametrize("first", ["d0", "d1"])
def test_a_build_that_states_nothing_counts_as_hearing_what_this_one_hears(first: str) -> None:
    heard = frozenset({"d1", "d2"})
    assert in_contact("d0", heard, lambda name: None) == heard
    statements = HearingStatements(KEEP_S)
    for step in range(30):
        for name in ("d1", "d2"):
            statements.note(name, None, step * STEP_S)
        statements.note("d0", heard, step * STEP_S)
    ranking = sorted(["d0", "d1", "d2"], key=lambda name: name != first)
    current = statements.current(2.9)
    assert elect(ranking, current, heard | {"d0"}, 3, 2.9, KEEP_S) == Election(first, first)


def test_a_statement_counts_for_its_time_only_and_its_predecessor_until_then() -> None:
    statements = HearingStatements(KEEP_S)
    ranking = ["d1", "d0"]
    for at_s in (0.0, 0.4, 0.8, 1.2):
        statements.note("d0", frozenset(), at_s)
    statements.note("d0", frozenset({"d1"}), 1.6)
    for at_s in (1.6, 2.0, 2.4):
        statements.note("d0", frozenset({"d1"}), at_s)
        election = elect(ranking, statements.current(at_s), frozenset({"d1"}), 1, at_s, KEEP_S)
        assert election == Election("d1", None)
    statements.note("d0", frozenset({"d1"}), 2.9)
    assert elect(ranking, statements.current(2.9), frozenset({"d1"}), 1, 2.9, KEEP_S) == Election(
        "d1", "d1"
    )
    assert statements.current(4.2) == {}


def test_a_daemon_chooses_itself_where_it_hears_nobody_before_it() -> None:
    assert choice(["d2", "d0", "d1"], "d0", frozenset({"d1"})) == "d0"
    assert choice(["d2", "d0", "d1"], "d0", frozenset({"d2"})) == "d2"
