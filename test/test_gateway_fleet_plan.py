"""How many engines are planned for which load."""

from __future__ import annotations

import itertools
from random import Random

import pytest

from godwitpath.gateway.demand import Demand, Need
from godwitpath.gateway.fleet_plan import plan_fleet, with_lasting
from godwitpath.gateway.model import ScalingSpec

SCALING = ScalingSpec(1, 3, 4.0, 0.22, {"cheap": 0.85, "dear": 1.2, "middle": 1.0})


class TestPlan:
    def test_a_zone_may_lose_its_reclaimable_engines(self) -> None:
        for needed in range(1, 6):
            plan = plan_fleet(Need(needed, needed), SCALING)
            assert plan.after_reclaim >= needed
            assert all(
                1 <= plan.reclaimable[zone] + plan.lasting[zone] <= 3
                for zone in SCALING.zone_prices
            )

    def test_reclaimable_engines_are_taken_where_they_are_to_be_had(self) -> None:
        plan = plan_fleet(Need(2, 4), SCALING)
        assert sum(plan.lasting.values()) == 0
        assert plan.total == 4

    def test_without_any_reclaimable_engine_lasting_ones_do_it(self) -> None:
        plan = plan_fleet(Need(4, 9), SCALING, dict.fromkeys(SCALING.zone_prices, 0))
        assert sum(plan.reclaimable.values()) == 0
        assert plan.total == 4

    def test_where_nothing_is_reclaimable_the_plan_has_only_lasting_engines(self) -> None:
        scaling = ScalingSpec(0, 3, 4.0, None, {"a": 1.0, "b": 2.0})
        plan = plan_fleet(Need(3, 5), scaling)
        assert plan.lasting == {"a": 2, "b": 1} or plan.lasting == {"a": 3, "b": 0}

    def test_lasting_engines_stay_where_they_are(self) -> None:
        present = {"dear": 2, "cheap": 0, "middle": 1}
        reclaimable = {"dear": 1, "cheap": 1, "middle": 1}
        plan = with_lasting(3, reclaimable, present, SCALING)
        assert plan.lasting == {"cheap": 0, "middle": 1, "dear": 2}

    def test_no_zone_goes_beyond_its_bound(self) -> None:
        plan = with_lasting(20, {"dear": 1, "cheap": 2, "middle": 3}, {}, SCALING)
        assert plan.lasting == {"cheap": 1, "dear": 2, "middle": 0}


class TestDemand:
    def test_a_steady_load_is_measured_as_it_is(self) -> None:
        demand = Demand(64)
        for step in range(200):
            demand.observe(int(38_700 * 1.5 * step * 0.2), 4, step * 0.2)
        assert demand.busy_engines == pytest.approx(1.5, rel=0.01)
        assert demand.need() == Need(3, 5)

    def test_a_load_is_known_soon_after_it_began(self) -> None:
        """A reclaim in the first seconds found too few engines: the average rose from nothing."""
        demand = Demand(64)
        for step in range(50):
            demand.observe(0, 0, step * 0.2)
        for step in range(16):
            demand.observe(int(38_700 * 6 * step * 0.2), 0, 10 + step * 0.2)
        assert demand.busy_engines == pytest.approx(6, rel=0.1)

    def test_uneven_traffic_is_not_taken_for_more_than_it_is(self) -> None:
        demand, rng, tokens = Demand(64), Random(3), 0
        seen = []
        for step in range(2000):
            tokens += 9000 * (rng.random() < 0.86) if step % 5 == 0 else 0
            demand.observe(tokens, 0, step * 0.2)
            seen.append(demand.busy_engines)
        true = tokens / (2000 * 0.2) / 38_700
        assert sum(seen[200:]) / len(seen[200:]) == pytest.approx(true, rel=0.1)

    def test_a_need_does_not_flap_at_its_border(self) -> None:
        demand = Demand(64)
        needs = []
        tokens = 0.0
        for step in range(600):
            tokens += 38_700 * 0.2 * (1.23 if (step // 40) % 2 else 1.17)
            demand.observe(int(tokens), 0, step * 0.2)
            needs.append(demand.need().after_reclaim)
        changes = sum(a != b for a, b in itertools.pairwise(needs[200:]))
        assert changes <= 1
