"""The instances that a service should have in a region, as written in the key-value store.

A slot is written before its instance is asked for. Its request token makes the cloud give one
instance for the slot, whoever asks and however often.
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
    """A wanted instance.

    :ivar token: request token, random for each slot
    :ivar offer: what is asked for
    :ivar state: `wanted` (maybe asked for already), `held`, or `draining` before its release
    :ivar instance_id: the instance, empty while it is only wanted
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
        """Slots that count as capacity, now or soon."""
        return [slot for slot in self.slots if slot.state != "draining"]

    def kinds(self) -> Counter[OfferKind]:
        """Return how many slots of each kind count as capacity."""
        return Counter(offer_kind(slot.offer) for slot in self.counted)

    def with_slots(self, slots: Iterable[Slot]) -> Slots:
        """Return the slots with others added."""
        return Slots((*self.slots, *slots))

    def without(self, token: str) -> Slots:
        """Return the slots without one."""
        return Slots(tuple(slot for slot in self.slots if slot.token != token))

    def held(self, token: str, instance_id: str) -> Slots:
        """Return the slots with an instance put down for one."""
        return self._changed(token, "held", instance_id)

    def draining(self, token: str) -> Slots:
        """Return the slots with one that is to be released."""
        return self._changed(token, "draining", "")

    def _changed(self, token: str, state: SlotState, instance_id: str) -> Slots:
        changed = (
            (
                Slot(slot.token, slot.offer, state, instance_id or slot.instance_id)
                if slot.token == token
                else slot
            )
            for slot in self.slots
        )
        return Slots(tuple(changed))


def slots_key(service: str, region: str) -> str:
    """Return the key of the slots."""
    return f"capacity/{service}/{region}"


def encode_slots(slots: Slots) -> bytes:
    """Return the stored form."""
    return msgspec.json.encode(slots)


def decode_slots(value: bytes) -> Slots:
    """Return the slots of a stored form.

    :raises msgspec.MsgspecError: the value is garbage
    """
    return msgspec.json.decode(value, type=Slots)


def offer_of(instance: Instance) -> Offer:
    """Return the offer that an instance would have been taken from."""
    return Offer(
        instance.region,
        instance.availability_zone,
        instance.machine_class,
        instance.reclaimable,
        instance.price_per_h,
    )


def missing(slots: Slots, plan: FleetPlan) -> list[Offer]:
    """Return what the plan has more than the slots, an offer for each instance."""
    have = slots.kinds()
    offers: list[Offer] = []
    for planned in plan.slots:
        lacking = planned.count - have[offer_kind(planned.offer)]
        offers.extend([planned.offer] * max(0, lacking))
    return offers


def surplus(slots: Slots, plan: FleetPlan) -> Slot | None:
    """Return the dearest slot that the plan has no use for, None while a planned one is lacking."""
    if missing(slots, plan) or any(slot.state == "wanted" for slot in slots.slots):
        return None
    planned: Mapping[OfferKind, int] = {offer_kind(slot.offer): slot.count for slot in plan.slots}
    have = slots.kinds()
    spare = [
        slot
        for slot in slots.counted
        if have[offer_kind(slot.offer)] > planned.get(offer_kind(slot.offer), 0)
    ]
    return max(spare, key=lambda slot: (slot.offer.price_per_h, slot.token), default=None)
