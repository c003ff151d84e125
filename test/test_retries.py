"""Guards against unsafe retries and retry storms: kind of failure, deadline, budget and backoff."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.ports.engine import EngineLost, EngineRefused
from godwitpath.ports.service import ServiceNotSent, ServiceUncertain
from godwitpath.retries.backoff import BASE_DELAY_S, MAX_DELAY_S, backoff_s
from godwitpath.retries.budget import MAX_SAVED_RETRIES, MIN_RETRIES_PER_S, RetryBudget
from godwitpath.retries.policy import MAX_ATTEMPTS, decide_retry


@pytest.mark.parametrize(
    ("error", "idempotent", "sent", "retry"),
    [
        (EngineRefused("full"), True, True, True),
        (EngineLost("gone"), True, True, True),
        (EngineLost("gone"), False, True, False),
        (ServiceNotSent("refused"), False, False, True),
        (ServiceUncertain("lost"), False, True, False),
        (ServiceUncertain("lost"), True, True, True),
        (OSError("reset"), False, True, False),
        (OSError("reset"), False, False, True),
    ],
)
def test_kind_of_failure_decides_on_a_retry(
    error: Exception, idempotent: bool, sent: bool, retry: bool
) -> None:
    assert decide_retry(error, idempotent, sent, RetryBudget(), 10.0, 0.0).retry is retry


def test_deadline_attempts_and_budget_end_the_retries() -> None:
    lost = EngineLost("gone")
    assert not decide_retry(lost, True, True, RetryBudget(), 0.5, 0.0, needed_s=1.0).retry
    assert not decide_retry(lost, True, True, RetryBudget(), 9.0, 0.0, attempt=MAX_ATTEMPTS).retry
    budget = RetryBudget(min_retries_per_s=0.0)
    assert decide_retry(lost, True, True, budget, 9.0, 0.0).retry
    assert not decide_retry(lost, True, True, budget, 9.0, 0.0).retry
    assert budget.denied_retries == 1


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 1.0)), max_size=200))
def test_retries_stay_within_the_budget(steps: list[tuple[bool, float]]) -> None:
    budget = RetryBudget(0.1)
    now_s = 0.0
    for first_attempt, elapsed_s in steps:
        now_s += elapsed_s
        if first_attempt:
            budget.record_first_attempt(now_s)
        else:
            budget.spend(now_s)
        assert (
            budget.spent_retries
            <= 1.0 + 0.1 * budget.first_attempts + MIN_RETRIES_PER_S * now_s + 1e-6
        )
    assert budget.dump()["saved"] <= MAX_SAVED_RETRIES


def test_backoff_bound_doubles_up_to_its_maximum() -> None:
    rng = Random(1)
    for attempt in range(1, 40):
        bound_s = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** (attempt - 1))
        assert all(0.0 <= backoff_s(attempt, rng) <= bound_s for _ in range(20))
