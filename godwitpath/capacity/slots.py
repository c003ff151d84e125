"""Desired instances of a service in a region, as stored in the key-value store.

A slot is the stored record of one desired instance. It is written before the instance is requested
from the cloud. The request token of the slot makes the request idempotent: the cloud gives one
instance for a slot, also when several duty holders request it or one holder repeats the request.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Literal

import msgspec

from godwitpath.capacity.plan import FleetPlan, OfferKind, offer_kind
from godwitpath.ports.platform import Instance, Offer

SlotState = Literal["wanted", "held", "draining"]


class Slot(msgspec.Struct, frozen=True):
    """Stored record of a desired instance.

    :ivar token: idempotency token of the request to the cloud, random for each slot
    :ivar offer: requested offer
    :ivar state: `wanted` (possibly requested already), `held` (acquired), or `draining` before
        the release
    :ivar instance_id: id of the acquired instance, empty in the state `wanted`
    """

    token: str
    offer: Offer
    state: SlotState = "wanted"
    instance_id: str = ""


class Slots(msgspec.Struct, frozen=True):
    """All slots of one service in one region."""

    slots: tuple[Slot, ...] = ()

    @property
    def counted(self) -> list[Slot]:
        """All slots but the draining ones: the instances that are capacity now or will be soon."""
        return [slot for slot in self.slots if slot.state != "draining"]

    def count_by_kind(self) -> Counter[OfferKind]:
        """Return the number of slots of each kind of offer, without the draining slots."""
        return Counter(offer_kind(slot.offer) for slot in self.counted)

    def with_slots(self, slots: Iterable[Slot]) -> Slots:
        """Return a copy with slots added."""
        return Slots((*self.slots, *slots))

    def without(self, token: str) -> Slots:
        """Return a copy without the slot of the given request token."""
        return Slots(tuple(slot for slot in self.slots if slot.token != token))

    def held(self, token: str, instance_id: str) -> Slots:
        """Return a copy in which the slot of the given request token holds an instance."""
        return self._with_state(token, "held", instance_id)

    def draining(self, token: str) -> Slots:
        """Return a copy in which the slot of the given request token is draining."""
        return self._with_state(token, "draining", "")

    def _with_state(self, token: str, state: SlotState, instance_id: str) -> Slots:
        replaced = (
            (
                Slot(slot.token, slot.offer, state, instance_id or slot.instance_id)
                if slot.token == token
                else slot
            )
            for slot in self.slots
        )
        return Slots(tuple(replaced))


def slots_key(service: str, region: str) -> str:
    """Return the store key of the slots of a service in a region."""
    return f"capacity/{service}/{region}"


def encode_slots(slots: Slots) -> bytes:
    """Encode slots for the store."""
    return msgspec.json.encode(slots)


def decode_slots(value: bytes) -> Slots:
    """Decode slots read from the store.

    :raises msgspec.MsgspecError: the value is malformed
    """
    return msgspec.json.decode(value, type=Slots)


def offer_of(instance: Instance) -> Offer:
    """Return the offer that corresponds to a running instance."""
    return Offer(
        instance.region,
        instance.availability_zone,
        instance.machine_class,
        instance.reclaimable,
        instance.price_per_h,
    )


def missing_offers(slots: Slots, plan: FleetPlan) -> list[Offer]:
    """Return an offer for each planned instance that has no slot yet."""
    slot_counts = slots.count_by_kind()
    offers: list[Offer] = []
    for planned in plan.slots:
        shortfall = planned.count - slot_counts[offer_kind(planned.offer)]
        offers.extend([planned.offer] * max(0, shortfall))
    return offers


def surplus_slot(slots: Slots, plan: FleetPlan) -> Slot | None:
    """Return the most expensive slot that the plan does not need.

    :returns: the slot; None if the plan needs every slot or a planned instance is still missing
    """
    if missing_offers(slots, plan) or any(slot.state == "wanted" for slot in slots.slots):
        return None
    planned_counts: Mapping[OfferKind, int] = {
        offer_kind(slot.offer): slot.count for slot in plan.slots
    }
    slot_counts = slots.count_by_kind()
    candidates = [
        slot
        for slot in slots.counted
        if slot_counts[offer_kind(slot.offer)] > planned_counts.get(offer_kind(slot.offer), 0)
    ]
    return max(candidates, key=lambda slot: (slot.offer.price_per_h, slot.token), default=None)
