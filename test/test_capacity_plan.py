"""The cheapest fleet that survives the loss of a zone."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from godwitpath.capacity.demand import EnginePace, WorkRate, engines_needed, learned_pace, total
from godwitpath.capacity.plan import plan_fleet
from godwitpath.config.model import FleetSpec, LatencyTarget
from godwitpath.ports.platform import Offer
from godwitpath.routing.views import EngineView

PRICES = st.lists(st.floats(0.5, 5.0), min_size=2, max_size=4)


def _offers(prices: list[float]) -> list[Offer]:
    return [Offer("r", f"z{i}", "gpu", True, price) for i, price in enumerate(prices)]


def _cheapest_by_search(needed: int, prices: list[float]) -> float:
    """Return the least price over every fleet of up to twice the needed engines."""
    counts = itertools.product(range(needed + 1), repeat=len(prices))
    enough = (c for c in counts if sum(c) - max(c) >= needed)
    return min(
        (sum(n * price for n, price in zip(c, prices, strict=True)) for c in enough),
        default=float("inf"),
    )


@given(st.integers(1, 5), PRICES)
def test_no_fleet_that_survives_is_cheaper(needed: int, prices: list[float]) -> None:
    plan = plan_fleet(needed, FleetSpec(minimum=1, maximum=100), _offers(prices))
    assert plan.short_by == 0
    assert plan.survives >= needed
    assert abs(plan.price_per_h - _cheapest_by_search(needed, prices)) < 1e-6


def test_one_zone_alone_is_short() -> None:
    plan = plan_fleet(3, FleetSpec(), _offers([1.0]))
    assert plan.survives == 0
    assert plan.short_by == 3
    assert plan.engines >= 3


def test_bounds_by_kind_let_another_kind_of_the_zone_in() -> None:
    offers = [Offer("r", "a", "gpu", True, 1.0), Offer("r", "a", "gpu", False, 3.0)]
    offers.append(Offer("r", "b", "gpu", True, 1.0))
    plan = plan_fleet(3, FleetSpec(), offers, at_most={("a", "gpu", True): 1})
    assert plan.short_by == 0
    assert plan.price_per_h == 10.0


def test_bounds_and_limits_hold() -> None:
    spec = FleetSpec(minimum=2, maximum=5, price_limit_per_h=2.0)
    plan = plan_fleet(10, spec, _offers([1.0, 1.5, 3.0]))
    assert plan.engines <= 5
    assert all(slot.offer.price_per_h <= 2.0 for slot in plan.slots)


def test_the_pace_is_that_of_the_middle_engine() -> None:
    views = [
        EngineView(
            str(n),
            own_running=5,
            prefill_tokens_per_s=n * 1e4,
            between_tokens_s=0.03,
            between_per_call_s=0.001,
        )
        for n in (1, 2, 9)
    ]
    pace = learned_pace(views)
    assert (pace.prefill_tokens_per_s, pace.between_per_call_s) == (2e4, 0.001)
    assert abs(pace.between_alone_s - 0.026) < 1e-9


def test_work_of_all_entries_makes_the_number_of_engines() -> None:
    pace = EnginePace(10_000.0, 0.02, 0.002)
    rate = total([WorkRate(5.0, 10_000.0, 500.0), WorkRate(5.0, 10_000.0, 500.0)])
    # Two engines' worth of prompts, and 72 calls at once in batches of 27.
    assert engines_needed(rate, pace, LatencyTarget()) == 6
