"""Planning of the cheapest fleet that survives the loss of a zone."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from godwitpath.capacity.demand import (
    EngineSpeed,
    WorkRate,
    engines_needed,
    median_engine_speed,
    total_rate,
)
from godwitpath.capacity.plan import plan_fleet
from godwitpath.config.model import FleetSpec, LatencyTarget
from godwitpath.ports.platform import Offer
from godwitpath.routing.views import EngineView

PRICES = st.lists(st.floats(0.5, 5.0), min_size=2, max_size=4)


def _offers(prices: list[float]) -> list[Offer]:
    return [Offer("r", f"z{i}", "gpu", True, price) for i, price in enumerate(prices)]


def _cheapest_by_search(needed: int, prices: list[float]) -> float:
    """Return the lowest price over all fleets with up to `needed` engines in each zone."""
    counts = itertools.product(range(needed + 1), repeat=len(prices))
    enough = (c for c in counts if sum(c) - max(c) >= needed)
    return min(
        (sum(n * price for n, price in zip(c, prices, strict=True)) for c in enough),
        default=float("inf"),
    )


@given(st.integers(1, 5), PRICES)
def test_no_cheaper_fleet_survives_a_zone_loss(needed: int, prices: list[float]) -> None:
    """The plan could cost more than needed or fall short after a zone loss.

    Compared with a search over all fleets.
    """
    plan = plan_fleet(needed, FleetSpec(minimum=1, maximum=100), _offers(prices))
    assert plan.shortfall == 0
    assert plan.engines_after_zone_loss >= needed
    assert abs(plan.price_per_h - _cheapest_by_search(needed, prices)) < 1e-6


def test_a_single_zone_reports_a_shortfall() -> None:
    """Guards against a plan for a single zone that claims to survive the loss of the zone."""
    plan = plan_fleet(3, FleetSpec(), _offers([1.0]))
    assert plan.engines_after_zone_loss == 0
    assert plan.shortfall == 3
    assert plan.engines >= 3


def test_a_bounded_kind_is_complemented_by_another_kind_of_the_zone() -> None:
    """Guards against a short fleet when one kind of offer is bounded and another is available."""
    offers = [Offer("r", "a", "gpu", True, 1.0), Offer("r", "a", "gpu", False, 3.0)]
    offers.append(Offer("r", "b", "gpu", True, 1.0))
    plan = plan_fleet(3, FleetSpec(), offers, max_by_kind={("a", "gpu", True): 1})
    assert plan.shortfall == 0
    assert plan.price_per_h == 10.0


def test_the_plan_keeps_the_maximum_and_the_price_limit() -> None:
    """Guards against plans beyond the service's maximum or price limit under a large load."""
    spec = FleetSpec(minimum=2, maximum=5, price_limit_per_h=2.0)
    plan = plan_fleet(10, spec, _offers([1.0, 1.5, 3.0]))
    assert plan.engines <= 5
    assert all(slot.offer.price_per_h <= 2.0 for slot in plan.slots)


def test_the_learned_speed_is_the_median_of_the_engines() -> None:
    """Guards against a planned speed that one very fast or slow engine distorts."""
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
    speed = median_engine_speed(views)
    assert (speed.prefill_tokens_per_s, speed.between_per_call_s) == (2e4, 0.001)
    assert abs(speed.base_between_tokens_s - 0.026) < 1e-9


def test_the_number_of_engines_follows_the_load_of_all_entries() -> None:
    """Guards against too few engines, planned from the load of a single entry."""
    speed = EngineSpeed(10_000.0, 0.02, 0.002)
    rate = total_rate([WorkRate(5.0, 10_000.0, 500.0), WorkRate(5.0, 10_000.0, 500.0)])
    # Prefill keeps 2 engines busy; decoding has 72 concurrent calls in batches of 27.
    assert engines_needed(rate, speed, LatencyTarget()) == 6
