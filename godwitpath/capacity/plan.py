"""Plans the cheapest fleet that keeps enough engines when it loses any one availability zone.

An offer is something that the cloud can supply at a price: an instance of one machine class in one
zone, reclaimable or on demand. These three properties are the kind of the offer.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from godwitpath.config.model import FleetSpec
from godwitpath.ports.platform import Offer

RUNNING_DISCOUNT = 0.1
"""Fraction taken off the price of an offer, for comparisons, if an instance of its kind runs."""


@dataclass(slots=True, frozen=True)
class PlannedSlot:
    """A number of instances of one offer.

    :ivar offer: offer that the instances are acquired from
    :ivar count: number of instances
    """

    offer: Offer
    count: int


@dataclass(slots=True, frozen=True)
class FleetPlan:
    """Desired instances of a service in a region.

    :ivar slots: number of instances of each offer
    :ivar price_per_h: total price of the instances
    :ivar engines_after_zone_loss: number of engines that remain when the largest zone is lost
    :ivar shortfall: number of engines missing after the loss of the largest zone, for lack of
        offers or because of a bound
    """

    slots: list[PlannedSlot]
    price_per_h: float
    engines_after_zone_loss: int
    shortfall: int

    @property
    def engines(self) -> int:
        """Number of engines planned."""
        return sum(slot.count for slot in self.slots)


OfferKind = tuple[str, str, bool]
"""Kind of an offer: availability zone, machine class, and whether instances are reclaimable."""


class Planner(Protocol):
    """Interface of :func:`plan_fleet`."""

    def __call__(
        self,
        needed: int,
        fleet: FleetSpec,
        offers: Iterable[Offer],
        running: Sequence[Offer] = (),
        max_by_kind: Mapping[OfferKind, int] | None = None,
    ) -> FleetPlan:
        """Return the planned fleet."""


def plan_fleet(
    needed: int,
    fleet: FleetSpec,
    offers: Iterable[Offer],
    running: Sequence[Offer] = (),
    max_by_kind: Mapping[OfferKind, int] | None = None,
) -> FleetPlan:
    """Return the cheapest fleet that keeps the needed engines when any one zone is lost.

    :param needed: number of engines that the load needs
    :param fleet: bounds and allowed offers of the service
    :param offers: offers currently available
    :param running: offers of the running instances, which get a discount so that instances are
        not replaced for a small difference in price
    :param max_by_kind: largest number of instances by kind of offer, such as the number of running
        instances for a kind that the cloud refused recently
    :returns: the cheapest of the plans with the fewest missing engines
    """
    needed = max(needed, fleet.minimum)
    offers_by_zone = _offers_by_zone(offers, fleet, running)
    candidates = [
        _plan_within_zone_limit(needed, max_per_zone, offers_by_zone, fleet, max_by_kind or {})
        for max_per_zone in range(needed + 1)
    ]
    return min(candidates, key=lambda plan: _plan_key(plan, needed))


@dataclass(slots=True, frozen=True)
class _PricedOffer:
    """An offer with its discounted price.

    :ivar discounted_price_per_h: price for comparisons; lower than the price of the offer if an
        instance of the same kind runs
    """

    discounted_price_per_h: float
    offer: Offer


def _offers_by_zone(
    offers: Iterable[Offer], fleet: FleetSpec, running: Sequence[Offer]
) -> dict[str, list[_PricedOffer]]:
    """Return the allowed offers of each zone, cheapest first."""
    offers_by_zone: dict[str, list[_PricedOffer]] = {}
    running_kinds = {offer_kind(offer) for offer in running}
    for offer in offers:
        allowed = not fleet.machine_classes or offer.machine_class in fleet.machine_classes
        if not allowed or offer.price_per_h > fleet.price_limit_per_h:
            continue
        discounted_price_per_h = offer.price_per_h * (
            1.0 - RUNNING_DISCOUNT * (offer_kind(offer) in running_kinds)
        )
        offers_by_zone.setdefault(offer.availability_zone, []).append(
            _PricedOffer(discounted_price_per_h, offer)
        )
    for priced_offers in offers_by_zone.values():
        priced_offers.sort(key=_price_key)
    return offers_by_zone


def offer_kind(offer: Offer) -> OfferKind:
    """Return the kind of an offer, which identifies the offer apart from its price."""
    return offer.availability_zone, offer.machine_class, offer.reclaimable


def _price_key(priced_offer: _PricedOffer) -> tuple[float, OfferKind]:
    return priced_offer.discounted_price_per_h, offer_kind(priced_offer.offer)


def _plan_within_zone_limit(
    needed: int,
    max_per_zone: int,
    offers_by_zone: Mapping[str, list[_PricedOffer]],
    fleet: FleetSpec,
    max_by_kind: Mapping[OfferKind, int],
) -> FleetPlan:
    """Return the cheapest fleet with at most `max_per_zone` engines in each zone.

    With at most `max_per_zone` engines in a zone, a fleet of `needed + max_per_zone` engines keeps
    the needed number after the loss of any one zone.
    """
    units: list[_PricedOffer] = []
    for priced_offers in offers_by_zone.values():
        units.extend(_cheapest_units(priced_offers, max_per_zone, max_by_kind))
    chosen = sorted(units, key=_price_key)[: min(needed + max_per_zone, fleet.maximum)]
    counts = Counter(unit.offer for unit in chosen)
    engines_by_zone = Counter(unit.offer.availability_zone for unit in chosen)
    engines_after_zone_loss = len(chosen) - max(engines_by_zone.values(), default=0)
    price = sum(unit.offer.price_per_h for unit in chosen)
    slots = [PlannedSlot(offer, count) for offer, count in counts.items()]
    return FleetPlan(
        slots, price, engines_after_zone_loss, max(0, needed - engines_after_zone_loss)
    )


def _cheapest_units(
    priced_offers: Iterable[_PricedOffer], max_per_zone: int, max_by_kind: Mapping[OfferKind, int]
) -> list[_PricedOffer]:
    """Return the cheapest offers of a zone, one item for each engine."""
    units: list[_PricedOffer] = []
    for priced_offer in priced_offers:
        remaining = max_per_zone - len(units)
        units.extend(
            [priced_offer]
            * min(remaining, max_by_kind.get(offer_kind(priced_offer.offer), remaining))
        )
    return units


def _plan_key(plan: FleetPlan, needed: int) -> tuple[int, int, float, int]:
    """Return the sort key of a plan, smallest first.

    Plans are compared by the number of missing engines after a zone loss, the number of missing
    engines without a loss, the price, and then the larger number of engines after a loss.
    """
    missing_engines = max(0, needed - plan.engines)
    return plan.shortfall, missing_engines, plan.price_per_h, -plan.engines_after_zone_loss
