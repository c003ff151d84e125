"""Tests of the token bucket of a limited engine."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.gateway.permit_bucket import MAX_DEFERRAL_S, PROBE_INTERVAL_S, PermitBucket
from godwitpath_standin.gateway.limit_rule import allowed_requests, windows


def granted_times_s(
    bucket: PermitBucket, rate_per_s: float, times_s: list[float], priority: int = 0
) -> list[float]:
    return [at_s for at_s in times_s if not bucket.take(rate_per_s, priority, at_s)]


def every(interval_s: float, until_s: float) -> list[float]:
    return [number * interval_s for number in range(int(until_s / interval_s))]


@pytest.mark.parametrize("rate_per_s", [0.2, 0.5, 1.0, 3.7, 40.0])
def test_a_steady_demand_uses_the_whole_limit(rate_per_s: float) -> None:
    granted = granted_times_s(PermitBucket(0.0), rate_per_s, every(0.01, 60.0))
    assert len(granted) == pytest.approx(60.0 * rate_per_s, abs=2)


def test_no_permit_is_left_at_first() -> None:
    assert PermitBucket(10.0).take(1.0, 0, 10.0) == pytest.approx(1.0)


def test_an_engine_that_takes_nothing_is_probed() -> None:
    granted = granted_times_s(PermitBucket(0.0), 0.0, every(0.1, 60.0))
    assert len(granted) == pytest.approx(60.0 / PROBE_INTERVAL_S, abs=1)


@given(
    st.floats(0.0, 50.0),
    st.lists(st.floats(0.0, 2.0), max_size=200),
    st.lists(st.integers(0, 3), min_size=200, max_size=200),
)
def test_no_window_exceeds_the_limit(
    rate_per_s: float, pauses_s: list[float], priorities: list[int]
) -> None:
    bucket, now_s, granted = PermitBucket(0.0), 0.0, []
    for pause_s, priority in zip(pauses_s, priorities, strict=False):
        now_s += pause_s
        if not bucket.take(rate_per_s, priority, now_s):
            granted.append(now_s)
    allowed = allowed_requests(rate_per_s)
    assert all(window.requests <= allowed for window in windows(granted, rate_per_s))


def test_urgent_requests_come_first_and_the_others_do_not_starve() -> None:
    bucket = PermitBucket(0.0)
    granted: list[int] = []
    for at_s in every(0.05, 60.0):
        for priority in (5, 0):
            if not bucket.take(2.0, priority, at_s):
                granted.append(priority)
    assert granted.count(0) > 0.7 * len(granted)
    assert granted.count(5) >= 60.0 / MAX_DEFERRAL_S - 2


def test_all_permits_are_for_anyone_while_no_urgent_request_comes() -> None:
    assert len(granted_times_s(PermitBucket(0.0), 2.0, every(0.05, 60.0), 5)) >= 118
