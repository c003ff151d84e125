"""Exponential backoff between attempts, with full jitter."""

from __future__ import annotations

from random import Random

BASE_DELAY_S = 0.02
"""Upper bound of the delay after the first attempt."""

MAX_DELAY_S = 2.0
"""Upper bound of every delay."""


def backoff_s(
    attempt: int, rng: Random, base_s: float = BASE_DELAY_S, max_s: float = MAX_DELAY_S
) -> float:
    """Return the delay before the next attempt, uniform between zero and a bound that doubles.

    :param attempt: attempts made so far, at least 1
    :param base_s: bound of the delay after the first attempt
    :param max_s: largest bound
    """
    bound_s = min(max_s, base_s * 2.0 ** min(attempt - 1, 16))
    return rng.uniform(0.0, bound_s)
