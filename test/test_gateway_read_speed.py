"""Tests of the measured speed of prefill, and of the engines that a load needs by it."""

from __future__ import annotations

from random import Random

import pytest

from godwitpath.gateway.demand import TARGET_UTILIZATION, LoadEstimator
from godwitpath.gateway.read_speed import (
    DEFAULT_TOKENS_PER_S,
    MAX_TOKENS_PER_S,
    ReadSpeedEstimator,
    common_speed,
)

STREAMS = 200


def measure(
    tokens_per_s: float, fixed_s: float, cached_share: float, rng: Random
) -> ReadSpeedEstimator:
    """Return an estimator after streams with short and long prompts.

    :param fixed_s: time to the first event that does not depend on the prompt
    :param cached_share: share of the prompts whose shared part is in the engine's KV cache
    """
    estimator = ReadSpeedEstimator()
    for _ in range(STREAMS):
        own_tokens, shared_tokens = rng.choice([(1800, 570), (6600, 5400)])
        own_tokens = int(own_tokens * rng.uniform(0.5, 1.5))
        read_tokens = own_tokens + (0 if rng.random() < cached_share else shared_tokens)
        estimator.add(own_tokens, fixed_s + read_tokens / tokens_per_s + rng.uniform(0.0, 0.01))
    return estimator


class TestReadSpeed:
    @pytest.mark.parametrize("tokens_per_s", [38_700.0, 60_000.0, 125_000.0])
    @pytest.mark.parametrize("fixed_s", [0.005, 0.07])
    def test_it_is_near_the_true_speed_if_prompts_are_cached(
        self, tokens_per_s: float, fixed_s: float
    ) -> None:
        measured = measure(tokens_per_s, fixed_s, 1.0, Random(1)).tokens_per_s()
        assert measured is not None
        assert 0.7 * tokens_per_s <= measured <= 1.15 * tokens_per_s

    @pytest.mark.parametrize("cached_share", [0.0, 0.5, 0.9])
    @pytest.mark.parametrize("seed", range(5))
    def test_it_is_too_low_rather_than_too_high(self, cached_share: float, seed: int) -> None:
        measured = measure(125_000.0, 0.07, cached_share, Random(seed)).tokens_per_s()
        assert measured is not None
        assert measured <= 1.15 * 125_000.0

    def test_nothing_is_stated_after_a_few_streams_or_of_prompts_of_one_length(self) -> None:
        estimator = ReadSpeedEstimator()
        for _ in range(50):
            estimator.add(2000, 0.1)
        assert estimator.tokens_per_s() is None
        for _ in range(3):
            estimator.add(5000, 0.2)
        assert estimator.tokens_per_s() is None

    def test_the_common_speed_is_bounded(self) -> None:
        assert common_speed([]) == DEFAULT_TOKENS_PER_S
        assert common_speed([1000.0]) == DEFAULT_TOKENS_PER_S
        assert common_speed([1e9]) == MAX_TOKENS_PER_S
        assert common_speed([100_000.0, 110_000.0, 1e9]) == 110_000.0


class TestEnginesNeeded:
    def test_a_load_needs_as_many_engines_as_their_speed_says(self) -> None:
        """Guards against engines that are ordered by the speed of another deployment's engines."""
        speed = measure(125_000.0, 0.07, 1.0, Random(1)).tokens_per_s()
        assert speed is not None
        estimator = LoadEstimator(64)
        for step in range(200):
            # The work of two engines.
            estimator.observe(int(250_000 * step * 0.2), 30, step * 0.2, common_speed([speed]))
        assert estimator.busy_engines == pytest.approx(2.0, rel=0.35)
        assert estimator.requirement().target <= 2 * 1.35 / TARGET_UTILIZATION + 1
