"""Fleet plans and load estimates."""

from __future__ import annotations

import itertools
from random import Random

import pytest

from godwitpath.gateway.demand import EngineRequirement, LoadEstimator
from godwitpath.gateway.fleet_plan import plan_fleet, with_on_demand
from godwitpath.gateway.model import ScalingSpec

SCALING = ScalingSpec(1, 3, 4.0, 0.22, {"cheap": 0.85, "dear": 1.2, "middle": 1.0})


class TestPlan:
    def test_required_engines_are_left_after_the_loss_of_a_zone(self) -> None:
        """Guards against too few engines after a reclaim of all reclaimable engines of a zone."""
        for needed in range(1, 6):
            plan = plan_fleet(EngineRequirement(needed, needed), SCALING)
            assert plan.after_reclaim >= needed
            assert all(
                1 <= plan.reclaimable[zone] + plan.on_demand[zone] <= 3
                for zone in SCALING.zone_prices
            )

    def test_available_reclaimable_engines_are_preferred(self) -> None:
        """Guards against on-demand engines in place of much cheaper reclaimable ones."""
        plan = plan_fleet(EngineRequirement(2, 4), SCALING)
        assert sum(plan.on_demand.values()) == 0
        assert plan.total == 4

    def test_on_demand_engines_replace_unavailable_reclaimable_ones(self) -> None:
        """Guards against a service without capacity: its planned engines are unavailable."""
        plan = plan_fleet(EngineRequirement(4, 9), SCALING, dict.fromkeys(SCALING.zone_prices, 0))
        assert sum(plan.reclaimable.values()) == 0
        assert plan.total == 4

    def test_plan_has_only_on_demand_engines_if_none_are_reclaimable(self) -> None:
        """Guards against orders of reclaimable engines from a platform that offers none."""
        scaling = ScalingSpec(0, 3, 4.0, None, {"a": 1.0, "b": 2.0})
        plan = plan_fleet(EngineRequirement(3, 5), scaling)
        assert plan.on_demand == {"a": 2, "b": 1} or plan.on_demand == {"a": 3, "b": 0}

    def test_present_on_demand_engines_are_kept(self) -> None:
        """Guards against removing on-demand engines that serve, to move them to cheaper zones."""
        present = {"dear": 2, "cheap": 0, "middle": 1}
        reclaimable = {"dear": 1, "cheap": 1, "middle": 1}
        plan = with_on_demand(3, reclaimable, present, SCALING)
        assert plan.on_demand == {"cheap": 0, "middle": 1, "dear": 2}

    def test_no_zone_exceeds_its_limit(self) -> None:
        """Guards against orders above a zone's limit, which the platform refuses.

        Reclaimable and on-demand engines share the limit.
        """
        plan = with_on_demand(20, {"dear": 1, "cheap": 2, "middle": 3}, {}, SCALING)
        assert plan.on_demand == {"cheap": 1, "dear": 2, "middle": 0}


class TestDemand:
    def test_steady_load_is_measured_exactly(self) -> None:
        """Guards against a biased load estimate, which orders too few or too many engines."""
        estimator = LoadEstimator(64)
        for step in range(200):
            estimator.observe(int(38_700 * 1.5 * step * 0.2), 4, step * 0.2)
        assert estimator.busy_engines == pytest.approx(1.5, rel=0.01)
        assert estimator.requirement() == EngineRequirement(3, 5)

    def test_new_load_is_measured_within_seconds(self) -> None:
        """Guards against an underestimated load in the first seconds.

        The moving average starts at zero. A reclaim shortly after the start left too few engines.
        """
        estimator = LoadEstimator(64)
        for step in range(50):
            estimator.observe(0, 0, step * 0.2)
        for step in range(16):
            estimator.observe(int(38_700 * 6 * step * 0.2), 0, 10 + step * 0.2)
        assert estimator.busy_engines == pytest.approx(6, rel=0.1)

    def test_uneven_traffic_is_not_overestimated(self) -> None:
        """Guards against an average that rises faster than it falls, and so is too high."""
        estimator, rng, tokens = LoadEstimator(64), Random(3), 0
        estimates = []
        for step in range(2000):
            tokens += 9000 * (rng.random() < 0.86) if step % 5 == 0 else 0
            estimator.observe(tokens, 0, step * 0.2)
            estimates.append(estimator.busy_engines)
        expected = tokens / (2000 * 0.2) / 38_700
        assert sum(estimates[200:]) / len(estimates[200:]) == pytest.approx(expected, rel=0.1)

    def test_requirement_does_not_oscillate_at_a_threshold(self) -> None:
        """Guards against engines that are ordered and removed again and again.

        The load varies around the threshold between two numbers of engines.
        """
        estimator = LoadEstimator(64)
        requirements = []
        tokens = 0.0
        for step in range(600):
            tokens += 38_700 * 0.2 * (1.23 if (step // 40) % 2 else 1.17)
            estimator.observe(int(tokens), 0, step * 0.2)
            requirements.append(estimator.requirement().after_reclaim)
        changes = sum(a != b for a, b in itertools.pairwise(requirements[200:]))
        assert changes <= 1
