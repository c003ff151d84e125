"""Decision whether a failed call may be retried, by the kind of failure."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import singledispatch

from godwitpath.ports.engine import EngineLost, EngineRefused, StreamUnknown
from godwitpath.ports.service import ServiceNotSent, ServiceUncertain
from godwitpath.retries.budget import RetryBudget

MAX_ATTEMPTS = 4
"""Most attempts of a call, the first one included."""


@dataclass(slots=True, frozen=True)
class RetryDecision:
    """Whether and how to retry a failed call.

    :ivar retry: whether another attempt may be made
    :ivar why: short reason for operators
    :ivar other_upstream: whether the retry must use another upstream
    :ivar not_before_s: shortest delay before the retry, as advised by the upstream, which may be
        the only upstream of the service
    """

    retry: bool
    why: str
    other_upstream: bool = True
    not_before_s: float = 0.0


@singledispatch
def classify_failure(error: Exception, idempotent: bool, sent: bool) -> RetryDecision:
    """Return whether the kind of failure allows a retry.

    A call that may have run is repeated only if it is idempotent.

    :param error: the failure; its type selects the rule
    :param idempotent: whether the call is safe to run twice
    :param sent: whether any byte of the call was sent
    """
    if sent and not idempotent:
        return RetryDecision(False, "the call may have run")
    return RetryDecision(True, "the call may be repeated")


@classify_failure.register
def _(error: EngineRefused, idempotent: bool, sent: bool) -> RetryDecision:
    return RetryDecision(True, "the engine did not start it")


@classify_failure.register
def _(error: EngineLost, idempotent: bool, sent: bool) -> RetryDecision:
    if not idempotent:
        return RetryDecision(False, "the call may have run")
    return RetryDecision(True, "the stream was lost")


@classify_failure.register
def _(error: StreamUnknown, idempotent: bool, sent: bool) -> RetryDecision:
    if not idempotent:
        return RetryDecision(False, "the call may have run")
    return RetryDecision(True, "the stream cannot be resumed", other_upstream=False)


@classify_failure.register
def _(error: ServiceNotSent, idempotent: bool, sent: bool) -> RetryDecision:
    return RetryDecision(True, "the call was not run", not_before_s=error.retry_after_s)


@classify_failure.register
def _(error: ServiceUncertain, idempotent: bool, sent: bool) -> RetryDecision:
    if not idempotent:
        return RetryDecision(False, "the call may have run")
    return RetryDecision(True, "the answer was lost")


def decide_retry(
    error: Exception,
    idempotent: bool,
    sent: bool,
    budget: RetryBudget,
    time_left_s: float,
    now_s: float,
    attempt: int = 1,
    needed_s: float = 0.0,
) -> RetryDecision:
    """Decide whether to retry a failed call, and take an allowed retry from the budget.

    :param error: the failure; its type selects the rule
    :param idempotent: whether the call is safe to run twice
    :param sent: whether any byte of the call was sent
    :param time_left_s: time until the caller's deadline
    :param attempt: attempts made so far
    :param needed_s: shortest duration of another attempt
    """
    decision = classify_failure(error, idempotent, sent)
    if not decision.retry:
        return decision
    if attempt >= MAX_ATTEMPTS:
        return replace(decision, retry=False, why="too many attempts")
    if decision.not_before_s + needed_s >= time_left_s:
        return replace(decision, retry=False, why="no time is left")
    if not budget.spend(now_s):
        return replace(decision, retry=False, why="the retry budget is spent")
    return decision
