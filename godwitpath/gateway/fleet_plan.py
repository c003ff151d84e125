"""How many engines of which kind in which availability zone.

Reclaimable engines cost a fraction of the others, and a zone's go all at once on short notice.
The plan is the cheapest one that still has the engines that are needed after the zone with the
most reclaimable engines has lost them: reclaimable engines are spread over the zones, with some to
spare, and others are ordered for what is then still lacking. This answers waves of reclaims in
which for a while no reclaimable engine is to be had anywhere.
"""

from __future__ import annotations

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
    """Add the lasting engines that are lacking, the cheapest first."""
    lasting = dict.fromkeys(zones, 0)
    lacking = needed - sum(reclaimable.values()) + max(reclaimable.values(), default=0)
    for zone in zones:
        free = scaling.max_per_zone - reclaimable[zone]
        floor = max(0, scaling.min_per_zone - reclaimable[zone])
        lasting[zone] = min(free, floor)
        lacking -= lasting[zone]
    while lacking > 0:
        before = lacking
        for zone in zones:
            if lacking > 0 and lasting[zone] + reclaimable[zone] < scaling.max_per_zone:
                lasting[zone] += 1
                lacking -= 1
        if lacking == before:
            break
    share = scaling.reclaimable_price or 0.0
    price = sum(
        scaling.zone_prices[zone] * (lasting[zone] + share * reclaimable[zone]) for zone in zones
    )
    return FleetPlan(reclaimable, lasting, price)
