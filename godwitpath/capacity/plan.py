"""The cheapest fleet that still holds the target after its largest availability zone is lost."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from godwitpath.config.model import FleetSpec
from godwitpath.ports.platform import Offer

KEEP_BONUS = 0.1
"""Part of the price by which an instance that runs already counts as cheaper than a new one."""


@dataclass(slots=True, frozen=True)
class Slot:
    """A kind of instance with a number of them.

    :ivar offer: what is taken
    :ivar count: how many
    """

    offer: Offer
    count: int


@dataclass(slots=True, frozen=True)
class FleetPlan:
    """What a service should have in a region.

    :ivar slots: instances by offer
    :ivar price_per_h: price of all of them
    :ivar survives: engines left when the largest zone is lost
    :ivar short_by: engines that could not be planned for want of offers or by a bound
    """

    slots: list[Slot]
    price_per_h: float
    survives: int
    short_by: int

    @property
    def engines(self) -> int:
        """Number of engines planned."""
        return sum(slot.count for slot in self.slots)


def plan_fleet(
    needed: int, fleet: FleetSpec, offers: Iterable[Offer], running: Sequence[Offer] = ()
) -> FleetPlan:
    """Return the cheapest fleet that leaves the needed engines when any one zone is lost.

    :param needed: engines that the work needs
    :param offers: what can be had now; refused offers are left out by the caller
    :param running: offers that running instances were taken from, which are kept when near equal
    """
    needed = max(needed, fleet.minimum)
    cheapest = _cheapest_by_zone(offers, fleet, running)
    plans = [_fill(needed, most, cheapest, fleet) for most in range(needed + 1)]
    usable = [plan for plan in plans if plan is not None]
    return min(usable, key=_preference)


def _cheapest_by_zone(
    offers: Iterable[Offer], fleet: FleetSpec, running: Sequence[Offer]
) -> list[Offer]:
    """Return the cheapest usable offer of each zone, the cheapest zone first."""
    best: dict[str, Offer] = {}
    kept = {_kind(offer) for offer in running}

    def weight(offer: Offer) -> float:
        return offer.price_per_h * (1.0 - KEEP_BONUS * (_kind(offer) in kept))

    for offer in offers:
        allowed = not fleet.machine_classes or offer.machine_class in fleet.machine_classes
        if not allowed or offer.price_per_h > fleet.price_limit_per_h:
            continue
        known = best.get(offer.availability_zone)
        if known is None or weight(offer) < weight(known):
            best[offer.availability_zone] = offer
    return sorted(best.values(), key=lambda offer: (weight(offer), offer.availability_zone))


def _kind(offer: Offer) -> tuple[str, str, bool]:
    return offer.availability_zone, offer.machine_class, offer.reclaimable


def _fill(needed: int, most: int, zones: Sequence[Offer], fleet: FleetSpec) -> FleetPlan | None:
    """Return the cheapest fleet with at most a number of engines in a zone.

    With at most `most` in each zone, `needed + most` engines leave enough whichever zone goes.
    """
    wanted = min(needed + most, fleet.maximum)
    slots: list[Slot] = []
    left = wanted
    for offer in zones:
        count = min(most, left)
        if count:
            slots.append(Slot(offer, count))
            left -= count
    engines = wanted - left
    largest = max((slot.count for slot in slots), default=0)
    survives = engines - largest
    price = sum(slot.offer.price_per_h * slot.count for slot in slots)
    return FleetPlan(slots, price, survives, max(0, needed - survives))


def _preference(plan: FleetPlan) -> tuple[int, float, int]:
    """Enough engines first, then the price, then many engines over few."""
    return plan.short_by, plan.price_per_h, -plan.survives
