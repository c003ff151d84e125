"""Number of engines that the load of a service needs at its latency target."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from godwitpath.config.model import LatencyTarget
from godwitpath.routing.views import (
    DEFAULT_BETWEEN_TOKENS_S,
    DEFAULT_PREFILL_TOKENS_PER_S,
    EngineView,
)

HEADROOM_FACTOR = 1.25
"""Factor on the computed number of engines, so that a burst still meets the latency target."""

MIN_BATCH_CALLS = 1.0
"""Lower bound of the concurrent calls that an engine is assumed to run."""


@dataclass(slots=True, frozen=True)
class WorkRate:
    """Load of one service as one entry measured it over a time window.

    :ivar requests_per_s: requests per second, including refused ones
    :ivar computed_tokens_per_s: prompt tokens per second that were not in a KV cache
    :ivar generated_tokens_per_s: output tokens per second
    """

    requests_per_s: float = 0.0
    computed_tokens_per_s: float = 0.0
    generated_tokens_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class EngineSpeed:
    """Measured speed of one engine.

    :ivar prefill_tokens_per_s: prompt tokens that prefill computes in a second
    :ivar base_between_tokens_s: time between tokens with a single running call
    :ivar between_per_call_s: increase of the time between tokens by each further call
    """

    prefill_tokens_per_s: float
    base_between_tokens_s: float
    between_per_call_s: float


def total_rate(rates: Iterable[WorkRate]) -> WorkRate:
    """Return the sum of the rates that all entries measured."""
    collected = list(rates)
    return WorkRate(
        sum(rate.requests_per_s for rate in collected),
        sum(rate.computed_tokens_per_s for rate in collected),
        sum(rate.generated_tokens_per_s for rate in collected),
    )


def median_engine_speed(views: Sequence[EngineView]) -> EngineSpeed:
    """Return the median speed of a service's engines, or the default speed if there are none."""
    if not views:
        return EngineSpeed(DEFAULT_PREFILL_TOKENS_PER_S, DEFAULT_BETWEEN_TOKENS_S, 0.0)
    base_between_tokens_s = (
        view.between_tokens_s - view.between_per_call_s * max(0.0, view.running - 1.0)
        for view in views
    )
    return EngineSpeed(
        statistics.median(view.prefill_tokens_per_s for view in views),
        statistics.median(base_between_tokens_s),
        statistics.median(view.between_per_call_s for view in views),
    )


def batch_at_target(speed: EngineSpeed, latency: LatencyTarget) -> float:
    """Return how many concurrent calls an engine runs within the target time between tokens."""
    slack_s = latency.between_tokens_s - speed.base_between_tokens_s
    if slack_s <= 0 or speed.between_per_call_s <= 0:
        return MIN_BATCH_CALLS
    return max(MIN_BATCH_CALLS, 1.0 + slack_s / speed.between_per_call_s)


def engines_needed(rate: WorkRate, speed: EngineSpeed, latency: LatencyTarget) -> int:
    """Return how many engines the load needs at the latency target, with headroom."""
    prefill_engines = rate.computed_tokens_per_s / max(1.0, speed.prefill_tokens_per_s)
    concurrent_calls = rate.generated_tokens_per_s * latency.between_tokens_s
    decode_engines = concurrent_calls / batch_at_target(speed, latency)
    return math.ceil(HEADROOM_FACTOR * (prefill_engines + decode_engines) - 1e-9)
