"""How many engines of which kind in which availability zone.

Reclaimable engines cost a fraction of the others, and a zone's go all at once on short notice.
The plan is the cheapest one that still has the engines that are needed after the zone with the
most reclaimable engines has lost them: reclaimable engines are spread over the zones, with some to
spare, and others are ordered for what is then still lacking. This answers waves of reclaims in
which for a while no reclaimable engine is to be had anywhere.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from godwitpath.gateway.demand import Need
from godwitpath.gateway.model import ScalingSpec


@dataclass(slots=True, frozen=True)
class FleetPlan:
    """Engines by availability zone.

    :ivar reclaimable: engines that may be taken away
    :ivar lasting: engines that may not
    """

    reclaimable: Mapping[str, int]
    lasting: Mapping[str, int]
    price: float

    @property
    def total(self) -> int:
        """All engines."""
        return sum(self.reclaimable.values()) + sum(self.lasting.values())

    @property
    def after_reclaim(self) -> int:
        """Engines left when the zone with the most reclaimable ones loses them."""
        counts = self.reclaimable.values()
        return sum(counts) - max(counts, default=0) + sum(self.lasting.values())


def plan_fleet(
    need: Need, scaling: ScalingSpec, to_be_had: Mapping[str, int] | None = None
) -> FleetPlan:
    """Return the cheapest fleet that leaves the needed engines after a reclaim.

    :param to_be_had: most reclaimable engines by zone, for zones that give no more of them now
    """
    zones = sorted(scaling.zone_prices, key=lambda zone: (scaling.zone_prices[zone], zone))
    most = 0 if scaling.reclaimable_price is None else scaling.max_per_zone
    limits = {
        zone: min(scaling.max_per_zone, (to_be_had or {}).get(zone, scaling.max_per_zone))
        for zone in zones
    }
    plans = []
    for per_zone in range(most + 1):
        room = {zone: min(per_zone, limits[zone]) for zone in zones}
        for total in range(sum(room.values()) + 1):
            reclaimable = _spread(total, room, zones)
            plans.append(_complete(need.after_reclaim, reclaimable, zones, scaling))

    def preference(plan: FleetPlan) -> tuple[int, int, float]:
        short_by = max(0, need.after_reclaim - plan.after_reclaim)
        return short_by, max(0, need.comfort - plan.total), plan.price

    return min(plans, key=preference)


def _spread(total: int, room: Mapping[str, int], zones: Sequence[str]) -> dict[str, int]:
    """Spread engines evenly over the zones, the cheapest first."""
    counts = dict.fromkeys(zones, 0)
    left = total
    while left > 0:
        for zone in zones:
            if left > 0 and counts[zone] < room[zone]:
                counts[zone] += 1
                left -= 1
    return counts


def _complete(
    needed: int, reclaimable: dict[str, int], zones: Sequence[str], scaling: ScalingSpec
) -> FleetPlan:
    """Add the lasting engines that are lacking."""
    lacking = needed - sum(reclaimable.values()) + max(reclaimable.values(), default=0)
    return with_lasting(lacking, reclaimable, {}, scaling)


def with_lasting(
    engines: int,
    reclaimable: Mapping[str, int],
    present: Mapping[str, int],
    scaling: ScalingSpec,
) -> FleetPlan:
    """Return a plan with a number of lasting engines beside the reclaimable ones.

    Each zone gets its fewest engines first. Then those that are present stay, the cheapest first,
    and the cheapest zones with room take what is lacking.

    :param engines: lasting engines, more where the fewest engines of the zones ask for them
    :param present: lasting engines that are there, by zone
    """
    zones = sorted(scaling.zone_prices, key=lambda zone: (scaling.zone_prices[zone], zone))
    room = {zone: max(0, scaling.max_per_zone - reclaimable.get(zone, 0)) for zone in zones}
    lasting = {
        zone: min(room[zone], max(0, scaling.min_per_zone - reclaimable.get(zone, 0)))
        for zone in zones
    }
    half = math.ceil(scaling.max_per_zone / 2)
    limits_in_turn = (
        {zone: min(room[zone], present.get(zone, 0)) for zone in zones},
        # Some room is left for reclaimable engines, which share the zone's bound.
        {zone: min(room[zone], half) for zone in zones},
        room,
    )
    for limits in limits_in_turn:
        for zone in zones:
            lacking = engines - sum(lasting.values())
            lasting[zone] += max(0, min(lacking, limits[zone] - lasting[zone]))
    share = scaling.reclaimable_price or 0.0
    price = sum(
        scaling.zone_prices[zone] * (lasting[zone] + share * reclaimable.get(zone, 0))
        for zone in zones
    )
    return FleetPlan(dict(reclaimable), lasting, price)
