"""Backoff between attempts, with full jitter."""

from __future__ import annotations

from random import Random

BASE_S = 0.02
"""Bound of the first wait."""

MAX_S = 2.0
"""Bound of every wait."""


def backoff_s(attempt: int, rng: Random, base_s: float = BASE_S, max_s: float = MAX_S) -> float:
    """Return the wait before an attempt, uniform between zero and a bound that doubles.

    :param attempt: attempts made so far, at least 1
    """
    bound_s = min(max_s, base_s * 2.0 ** min(attempt - 1, 16))
    return rng.uniform(0.0, bound_s)
