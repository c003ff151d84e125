"""Tests of the decision which requests a stopping daemon still takes."""

from __future__ import annotations

import pytest

from godwitpath.gateway.planned_stop import (
    DURATION_MARGIN,
    EXIT_S,
    MAX_ROUTES,
    REFUSE_AFTER_S,
    REMEMBERED_DURATIONS,
    PlannedStop,
)


def test_a_running_daemon_takes_everything() -> None:
    plan = PlannedStop()
    assert plan.takes("plan", 1e6, 10.0)
    assert not plan.refuses_all(1e6)


@pytest.mark.parametrize("grace_s", [0.1, 1.0, 4.0, 8.0, 12.0])
def test_requests_are_cut_before_the_grace_period_ends(grace_s: float) -> None:
    plan = PlannedStop()
    plan.begin(10.0, grace_s)
    assert 10.0 <= plan.cut_at_s <= 10.0 + max(0.0, grace_s - EXIT_S)
    assert plan.refuses_all(plan.cut_at_s)
    assert plan.refuses_all(10.0 + REFUSE_AFTER_S)


def test_a_request_whose_deadline_is_before_the_cut_is_taken() -> None:
    plan = PlannedStop()
    plan.begin(10.0, 8.0)
    assert plan.takes("book", 1.0, 12.0)
    assert plan.takes("book", plan.cut_at_s - 12.0, 12.0)
    assert not plan.takes("book", plan.cut_at_s - 11.9, 12.0)


def test_a_request_is_taken_if_those_of_its_route_end_in_time() -> None:
    plan = PlannedStop()
    for took_s in (0.5, 2.0, 1.0):
        plan.note_duration("plan", took_s)
    plan.begin(10.0, 4.0)
    latest_at_s = plan.cut_at_s - 2.0 * DURATION_MARGIN
    assert plan.takes("plan", 15.0, latest_at_s - 0.01)
    assert not plan.takes("plan", 15.0, latest_at_s + 0.01)
    assert not plan.takes("other", 15.0, 10.0)


def test_old_durations_and_routes_are_forgotten() -> None:
    plan = PlannedStop()
    plan.note_duration("plan", 60.0)
    for _ in range(REMEMBERED_DURATIONS):
        plan.note_duration("plan", 0.1)
    plan.begin(10.0, 4.0)
    assert plan.takes("plan", 15.0, 11.0)
    for number in range(MAX_ROUTES):
        plan.note_duration(f"route-{number}", 0.1)
    assert not plan.takes("plan", 15.0, 11.0)
