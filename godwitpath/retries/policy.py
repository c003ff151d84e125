"""Whether a failed call may be tried again, by the kind of its failure."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import singledispatch

from godwitpath.ports.engine import EngineLost, EngineRefused, StreamUnknown
from godwitpath.ports.service import ServiceNotSent, ServiceUncertain
from godwitpath.retries.budget import RetryBudget

MAX_ATTEMPTS = 4
"""Most attempts at one call."""


@dataclass(slots=True, frozen=True)
class RetryDecision:
    """Whether to try again.

    :ivar retry: whether another attempt may be made
    :ivar why: short reason for people
    :ivar elsewhere: whether it must go to another upstream
    :ivar not_before_s: shortest wait, from the advice of an upstream that may be the only one
    """

    retry: bool
    why: str
    elsewhere: bool = True
    not_before_s: float = 0.0


@singledispatch
def verdict(error: Exception, idempotent: bool, sent: bool) -> RetryDecision:
    """Return whether the failure alone lets the call be repeated.

    :param error: the failure; its type decides
    :param idempotent: whether the call may run twice
    :param sent: whether any byte of it left
    """
    if sent and not idempotent:
        return RetryDecision(False, "the call may have run")
    return RetryDecision(True, "the call may be repeated")


@verdict.register
def _(error: EngineRefused, idempotent: bool, sent: bool) -> RetryDecision:
    return RetryDecision(True, "the engine did not start it")


@verdict.register
def _(error: EngineLost, idempotent: bool, sent: bool) -> RetryDecision:
    if not idempotent:
        return RetryDecision(False, "the call may have run")
    return RetryDecision(True, "the stream was lost")


@verdict.register
def _(error: StreamUnknown, idempotent: bool, sent: bool) -> RetryDecision:
    if not idempotent:
        return RetryDecision(False, "the call may have run")
    return RetryDecision(True, "the stream cannot be resumed", elsewhere=False)


@verdict.register
def _(error: ServiceNotSent, idempotent: bool, sent: bool) -> RetryDecision:
    return RetryDecision(True, "the call was not run", not_before_s=error.retry_after_s)


@verdict.register
def _(error: ServiceUncertain, idempotent: bool, sent: bool) -> RetryDecision:
    if not idempotent:
        return RetryDecision(False, "the call may have run")
    return RetryDecision(True, "the answer was lost")


def may_retry(
    error: Exception,
    idempotent: bool,
    sent: bool,
    budget: RetryBudget,
    time_left_s: float,
    now_s: float,
    attempt: int = 1,
    needed_s: float = 0.0,
) -> RetryDecision:
    """Decide on another attempt and spend the budget when it is allowed.

    :param time_left_s: time until the caller's deadline
    :param attempt: attempts made so far
    :param needed_s: time that another attempt needs at least
    """
    decision = verdict(error, idempotent, sent)
    if not decision.retry:
        return decision
    if attempt >= MAX_ATTEMPTS:
        return replace(decision, retry=False, why="too many attempts")
    if decision.not_before_s + needed_s >= time_left_s:
        return replace(decision, retry=False, why="no time is left")
    if not budget.spend(now_s):
        return replace(decision, retry=False, why="the retry budget is spent")
    return decision
