"""Tests of the Retry-After times of callers that found all engines at their limits."""

from __future__ import annotations

from itertools import pairwise

import pytest

from godwitpath.gateway.retry_schedule import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    RetrySchedule,
)


def test_refused_callers_do_not_return_faster_than_the_engines_take_them() -> None:
    schedule = RetrySchedule()
    returns_s = [schedule.retry_after_s("lm", 2.0, now_s=100.0) for _ in range(10)]
    assert returns_s[0] == pytest.approx(MIN_RETRY_AFTER_S)
    gaps_s = [later - earlier for earlier, later in pairwise(returns_s)]
    assert gaps_s == pytest.approx([0.5] * 9)


def test_services_have_schedules_of_their_own() -> None:
    schedule = RetrySchedule()
    schedule.retry_after_s("lm", 0.2, 100.0)
    assert schedule.retry_after_s("desk", 0.2, 100.0) == pytest.approx(MIN_RETRY_AFTER_S)


@pytest.mark.parametrize("rate_per_s", [0.0, 0.001, 1e6])
def test_every_time_is_within_its_bounds(rate_per_s: float) -> None:
    schedule = RetrySchedule()
    times_s = [schedule.retry_after_s("lm", rate_per_s, 100.0) for _ in range(50)]
    assert min(times_s) >= MIN_RETRY_AFTER_S - 1e-9
    assert max(times_s) <= MAX_RETRY_AFTER_S + 1e-9
