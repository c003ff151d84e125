"""The cheapest fleet that still holds the target after its largest availability zone is lost."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from godwitpath.config.model import FleetSpec
from godwitpath.ports.platform import Offer

KEEP_BONUS = 0.1
"""Part of the price by which an instance that runs already counts as cheaper than a new one."""


@dataclass(slots=True, frozen=True)
class PlannedSlot:
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

    slots: list[PlannedSlot]
    price_per_h: float
    survives: int
    short_by: int

    @property
    def engines(self) -> int:
        """Number of engines planned."""
        return sum(slot.count for slot in self.slots)


OfferKind = tuple[str, str, bool]
"""Availability zone, machine class, and whether it may be reclaimed."""


class Planner(Protocol):
    """Plans a fleet as :func:`plan_fleet` does."""

    def __call__(
        self,
        needed: int,
        fleet: FleetSpec,
        offers: Iterable[Offer],
        running: Sequence[Offer] = (),
        at_most: Mapping[OfferKind, int] | None = None,
    ) -> FleetPlan:
        """Return the plan."""


def plan_fleet(
    needed: int,
    fleet: FleetSpec,
    offers: Iterable[Offer],
    running: Sequence[Offer] = (),
    at_most: Mapping[OfferKind, int] | None = None,
) -> FleetPlan:
    """Return the cheapest fleet that leaves the needed engines when any one zone is lost.

    :param needed: engines that the work needs
    :param offers: what can be had now
    :param running: offers that running instances were taken from, which are kept when near equal
    :param at_most: bounds by kind, such as what is running of an offer that was refused lately
    """
    needed = max(needed, fleet.minimum)
    zones = _by_zone(offers, fleet, running)
    plans = [_fill(needed, most, zones, fleet, at_most or {}) for most in range(needed + 1)]
    return min(plans, key=lambda plan: _preference(plan, needed))


@dataclass(slots=True, frozen=True)
class _Weighed:
    """An offer with the price that it is chosen by."""

    weight: float
    offer: Offer


def _by_zone(
    offers: Iterable[Offer], fleet: FleetSpec, running: Sequence[Offer]
) -> dict[str, list[_Weighed]]:
    """Return the usable offers of each zone, the cheapest first."""
    zones: dict[str, list[_Weighed]] = {}
    kept = {offer_kind(offer) for offer in running}
    for offer in offers:
        allowed = not fleet.machine_classes or offer.machine_class in fleet.machine_classes
        if not allowed or offer.price_per_h > fleet.price_limit_per_h:
            continue
        weight = offer.price_per_h * (1.0 - KEEP_BONUS * (offer_kind(offer) in kept))
        zones.setdefault(offer.availability_zone, []).append(_Weighed(weight, offer))
    for weighed in zones.values():
        weighed.sort(key=_by_weight)
    return zones


def offer_kind(offer: Offer) -> OfferKind:
    """Return what tells an offer from others whatever its price."""
    return offer.availability_zone, offer.machine_class, offer.reclaimable


def _by_weight(weighed: _Weighed) -> tuple[float, OfferKind]:
    return weighed.weight, offer_kind(weighed.offer)


def _fill(
    needed: int,
    most: int,
    zones: Mapping[str, list[_Weighed]],
    fleet: FleetSpec,
    at_most: Mapping[OfferKind, int],
) -> FleetPlan:
    """Return the cheapest fleet with at most a number of engines in a zone.

    With at most `most` in each zone, `needed + most` engines leave enough whichever zone goes.
    """
    units: list[_Weighed] = []
    for weighed in zones.values():
        units.extend(_cheapest_units(weighed, most, at_most))
    taken = sorted(units, key=_by_weight)[: min(needed + most, fleet.maximum)]
    counts = Counter(unit.offer for unit in taken)
    in_zone = Counter(unit.offer.availability_zone for unit in taken)
    survives = len(taken) - max(in_zone.values(), default=0)
    price = sum(unit.offer.price_per_h for unit in taken)
    slots = [PlannedSlot(offer, count) for offer, count in counts.items()]
    return FleetPlan(slots, price, survives, max(0, needed - survives))


def _cheapest_units(
    weighed: Iterable[_Weighed], most: int, at_most: Mapping[OfferKind, int]
) -> list[_Weighed]:
    """Return a zone's cheapest engines, one item each."""
    units: list[_Weighed] = []
    for each in weighed:
        room = most - len(units)
        units.extend([each] * min(room, at_most.get(offer_kind(each.offer), room)))
    return units


def _preference(plan: FleetPlan, needed: int) -> tuple[int, int, float, int]:
    """Enough engines after a loss first, then enough without one, then the price, then many."""
    lacking = max(0, needed - plan.engines)
    return plan.short_by, lacking, plan.price_per_h, -plan.survives
