"""Plans the number of engines of each kind in each availability zone.

Reclaimable engines cost a fraction of on-demand engines, but all reclaimable engines of a zone may
be reclaimed at once and at short notice. The plan is the cheapest fleet that still has the required
engines after the zone with the most reclaimable engines has lost them: spare reclaimable engines
are distributed over the zones, and on-demand engines make up the rest. Such a fleet also withstands
a wave of reclaims during which no zone has replacement reclaimable engines available.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from godwitpath.gateway.demand import EngineRequirement
from godwitpath.gateway.model import ScalingSpec


@dataclass(slots=True, frozen=True)
class FleetPlan:
    """Planned numbers of a service's engines by availability zone.

    :ivar reclaimable: number of engines by zone that the platform may reclaim
    :ivar on_demand: number of on-demand engines by zone
    :ivar price: price of all engines per second
    """

    reclaimable: Mapping[str, int]
    on_demand: Mapping[str, int]
    price: float

    @property
    def total(self) -> int:
        """Number of engines in all zones."""
        return sum(self.reclaimable.values()) + sum(self.on_demand.values())

    @property
    def after_reclaim(self) -> int:
        """Number of engines left after the zone with the most reclaimable engines has lost them."""
        counts = self.reclaimable.values()
        return sum(counts) - max(counts, default=0) + sum(self.on_demand.values())


def plan_fleet(
    requirement: EngineRequirement,
    scaling: ScalingSpec,
    reclaimable_limits: Mapping[str, int] | None = None,
) -> FleetPlan:
    """Return the cheapest fleet that has the required engines left after a reclaim.

    If no fleet has enough engines, the fleet that falls short by the fewest engines is returned.

    :param reclaimable_limits: maximum number of reclaimable engines by zone, for the zones in which
        the platform has no more of them available
    """
    zones = sorted(scaling.zone_prices, key=lambda zone: (scaling.zone_prices[zone], zone))
    max_reclaimable = 0 if scaling.reclaimable_price is None else scaling.max_per_zone
    limits = {
        zone: min(scaling.max_per_zone, (reclaimable_limits or {}).get(zone, scaling.max_per_zone))
        for zone in zones
    }
    plans = []
    for per_zone in range(max_reclaimable + 1):
        max_counts = {zone: min(per_zone, limits[zone]) for zone in zones}
        for total in range(sum(max_counts.values()) + 1):
            reclaimable = _distribute(total, max_counts, zones)
            plans.append(_add_on_demand(requirement.after_reclaim, reclaimable, zones, scaling))

    def rank_key(plan: FleetPlan) -> tuple[int, int, float]:
        short_by = max(0, requirement.after_reclaim - plan.after_reclaim)
        return short_by, max(0, requirement.target - plan.total), plan.price

    return min(plans, key=rank_key)


def _distribute(total: int, max_counts: Mapping[str, int], zones: Sequence[str]) -> dict[str, int]:
    """Return numbers of engines by zone that distribute a total evenly over the zones.

    :param max_counts: maximum number of engines by zone
    :param zones: zones in order of price, the cheapest first
    """
    counts = dict.fromkeys(zones, 0)
    left = total
    while left > 0:
        for zone in zones:
            if left > 0 and counts[zone] < max_counts[zone]:
                counts[zone] += 1
                left -= 1
    return counts


def _add_on_demand(
    needed: int, reclaimable: dict[str, int], zones: Sequence[str], scaling: ScalingSpec
) -> FleetPlan:
    """Return a plan that adds on-demand engines until enough are left after a reclaim.

    :param needed: number of engines that must be left after a reclaim
    """
    missing = needed - sum(reclaimable.values()) + max(reclaimable.values(), default=0)
    return with_on_demand(missing, reclaimable, {}, scaling)


def with_on_demand(
    on_demand_count: int,
    reclaimable: Mapping[str, int],
    present_on_demand: Mapping[str, int],
    scaling: ScalingSpec,
) -> FleetPlan:
    """Return a plan with a number of on-demand engines in addition to the reclaimable ones.

    Each zone first gets its minimum number of engines. Then present on-demand engines are kept, in
    order of zone price. The missing on-demand engines go to the cheapest zones below their limit.

    :param on_demand_count: number of on-demand engines; the zones' minimum numbers may require more
    :param present_on_demand: number of present on-demand engines by zone
    """
    zones = sorted(scaling.zone_prices, key=lambda zone: (scaling.zone_prices[zone], zone))
    max_on_demand = {
        zone: max(0, scaling.max_per_zone - reclaimable.get(zone, 0)) for zone in zones
    }
    on_demand = {
        zone: min(max_on_demand[zone], max(0, scaling.min_per_zone - reclaimable.get(zone, 0)))
        for zone in zones
    }
    half_limit = math.ceil(scaling.max_per_zone / 2)
    limits_by_step = (
        {zone: min(max_on_demand[zone], present_on_demand.get(zone, 0)) for zone in zones},
        # Leave room for reclaimable engines, which share the zone's limit.
        {zone: min(max_on_demand[zone], half_limit) for zone in zones},
        max_on_demand,
    )
    for limits in limits_by_step:
        for zone in zones:
            missing = on_demand_count - sum(on_demand.values())
            on_demand[zone] += max(0, min(missing, limits[zone] - on_demand[zone]))
    reclaimable_price_share = scaling.reclaimable_price or 0.0
    price = sum(
        scaling.zone_prices[zone]
        * (on_demand[zone] + reclaimable_price_share * reclaimable.get(zone, 0))
        for zone in zones
    )
    return FleetPlan(dict(reclaimable), on_demand, price)
