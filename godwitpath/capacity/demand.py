"""How many engines a service's work needs at its latency target."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from godwitpath.config.model import LatencyTarget
from godwitpath.routing.views import BETWEEN_TOKENS_S, PREFILL_TOKENS_PER_S, EngineView

HEADROOM = 1.25
"""Engines kept for each engine's worth of work, so that a burst meets the target."""

MIN_BATCH = 1.0
"""Calls that an engine is counted with at least."""


@dataclass(slots=True, frozen=True)
class WorkRate:
    """Work of one service as one entry saw it over a while.

    :ivar requests_per_s: requests, refused ones included
    :ivar computed_tokens_per_s: prompt tokens that no cache held
    :ivar generated_tokens_per_s: tokens generated
    """

    requests_per_s: float = 0.0
    computed_tokens_per_s: float = 0.0
    generated_tokens_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class EnginePace:
    """What one engine does, as learned.

    :ivar prefill_tokens_per_s: prompt tokens computed in a second
    :ivar between_alone_s: time between tokens with one call
    :ivar between_per_call_s: growth of it with one more call
    """

    prefill_tokens_per_s: float
    between_alone_s: float
    between_per_call_s: float


def total(rates: Iterable[WorkRate]) -> WorkRate:
    """Return the work of all entries together."""
    known = list(rates)
    return WorkRate(
        sum(rate.requests_per_s for rate in known),
        sum(rate.computed_tokens_per_s for rate in known),
        sum(rate.generated_tokens_per_s for rate in known),
    )


def learned_pace(views: Sequence[EngineView]) -> EnginePace:
    """Return what the middle one of a service's engines does, the priors where there is none."""
    if not views:
        return EnginePace(PREFILL_TOKENS_PER_S, BETWEEN_TOKENS_S, 0.0)
    alone_s = (
        view.between_tokens_s - view.between_per_call_s * max(0.0, view.running - 1.0)
        for view in views
    )
    return EnginePace(
        statistics.median(view.prefill_tokens_per_s for view in views),
        statistics.median(alone_s),
        statistics.median(view.between_per_call_s for view in views),
    )


def batch_at_target(pace: EnginePace, latency: LatencyTarget) -> float:
    """Return how many calls an engine can run at once within the time between tokens."""
    spare_s = latency.between_tokens_s - pace.between_alone_s
    if spare_s <= 0 or pace.between_per_call_s <= 0:
        return MIN_BATCH
    return max(MIN_BATCH, 1.0 + spare_s / pace.between_per_call_s)


def engines_needed(rate: WorkRate, pace: EnginePace, latency: LatencyTarget) -> int:
    """Return how many engines the work keeps busy at the target, with headroom."""
    prefill = rate.computed_tokens_per_s / max(1.0, pace.prefill_tokens_per_s)
    calls_at_once = rate.generated_tokens_per_s * latency.between_tokens_s
    decode = calls_at_once / batch_at_target(pace, latency)
    return math.ceil(HEADROOM * (prefill + decode) - 1e-9)
