"""Duty that scales the instances of a service in a region with the demand.

A duty is a task that one entry, its holder, runs under a lease for all entries. A term is the time
from the acquisition of a duty to its loss. A slot is a stored record of a desired instance. Each
step reads the stored slots, updates them by compare-and-swap, and only then calls the cloud. If a
holder fails in between, the next holder continues from the stored slots.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from godwitpath.capacity.plan import FleetPlan, OfferKind, Planner, offer_kind, plan_fleet
from godwitpath.capacity.slots import (
    Slot,
    Slots,
    decode_slots,
    encode_slots,
    missing_offers,
    offer_of,
    slots_key,
    surplus_slot,
)
from godwitpath.config.model import FleetSpec
from godwitpath.duties.duty import Duty
from godwitpath.duties.manager import DutyManager
from godwitpath.ports.kv import ABSENT, KeyValueStore, RevisionConflict, StoreError
from godwitpath.ports.platform import (
    Cloud,
    CloudRefused,
    Instance,
    InstanceList,
    Offer,
    PlatformUnavailable,
)
from godwitpath.upstreams.announce import (
    MAX_DRAIN_S,
    MIN_DRAIN_S,
    announce_stop,
    find_stop,
    withdraw_stop,
)

STEP_INTERVAL_S = 2.0
"""Average pause between two steps of the duty."""

ACTION_MARGIN_S = 1.0
"""Remaining lease time that a write to the store or a call to the cloud requires."""

REFUSAL_TTL_S = 60.0
"""Time for which a refused offer is not requested again, unless the cloud names a longer time."""

SCALE_IN_DELAY_S = 300.0
"""Time for which an engine must not be needed before its instance starts to drain."""

ABSENT_TIMEOUT_S = 30.0
"""Time for which an instance must be missing from the platform's list to count as removed."""

STOP_REASON = "not needed any more"
"""Reason in the stop, the notice in the store that keeps new work off a draining instance."""


class FenceLost(Exception):
    """The lease of the duty may have lapsed."""


@dataclass(slots=True, frozen=True)
class CapacityTarget:
    """Inputs for the desired number of instances.

    :ivar fleet: bounds on the number, machine classes and price of the service's instances
    :ivar needed: number of engines that the load needs now
    """

    fleet: FleetSpec
    needed: int


@dataclass(slots=True)
class CapacityCounters:
    """Events of one :class:`CapacityDuty` since it was created.

    :ivar acquired: number of instances acquired
    :ivar refused: number of requests for an instance that the cloud refused
    :ivar released: number of instances released
    :ivar adopted: number of instances without a slot that were given one
    :ivar conflicts: number of steps ended by a concurrent write of the slots
    :ivar unavailable: number of steps ended because the platform was unavailable
    """

    acquired: int = 0
    refused: int = 0
    released: int = 0
    adopted: int = 0
    conflicts: int = 0
    unavailable: int = 0


@dataclass(slots=True)
class _Term:
    """State of one term of a holder, which is neither stored nor passed to the next holder.

    :ivar started_at_s: loop time at which the term started
    :ivar needed_history: loop time and number of needed engines of each step within the scale-in
        delay
    :ivar refused_until_s: loop time until which no instance is requested, by kind of offer
    :ivar absent_since_s: loop time since which an instance is missing from the platform's list, by
        instance id
    :ivar draining_since_s: loop time at which draining started, by slot token
    """

    started_at_s: float
    needed_history: deque[tuple[float, int]] = field(default_factory=deque)
    refused_until_s: dict[OfferKind, float] = field(default_factory=dict)
    absent_since_s: dict[str, float] = field(default_factory=dict)
    draining_since_s: dict[str, float] = field(default_factory=dict)


class CapacityDuty:
    """Scales the instances of one service in one region while the duty is held.

    :param listing: the platform's list of instances
    :param target: returns the bounds and the number of engines needed now
    :param idle: returns whether the engine of an instance has no work left
    :param planner: plans the desired fleet
    :ivar counters: numbers of events since this object was created
    """

    def __init__(
        self,
        service: str,
        region: str,
        duty: Duty,
        duty_manager: DutyManager,
        store: KeyValueStore,
        cloud: Cloud,
        listing: InstanceList,
        target: Callable[[], CapacityTarget],
        idle: Callable[[str], Awaitable[bool]],
        rng: random.Random,
        planner: Planner = plan_fleet,
    ) -> None:
        self._service = service
        self._region = region
        self._duty = duty
        self._duty_manager = duty_manager
        self._store = store
        self._cloud = cloud
        self._listing = listing
        self._target = target
        self._idle = idle
        self._rng = rng
        self._planner = planner
        self._key = slots_key(service, region)
        self._slots = Slots()
        self._slots_revision = ABSENT
        self._term: _Term | None = None
        self.counters = CapacityCounters()

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(STEP_INTERVAL_S * (0.9 + 0.2 * self._rng.random()))

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        counters = {name: getattr(self.counters, name) for name in CapacityCounters.__slots__}
        states = Counter(slot.state for slot in self._slots.slots)
        return {"slots": dict(states), "counters": counters}

    async def step(self) -> None:
        """Run one step towards the needed instances, if the duty is held."""
        if self._duty_manager.fencing_token(self._duty) is None:
            self._term = None
            return
        if self._term is None:
            self._term = _Term(_now_s())
        try:
            await self._read_slots()
            offers = await self._cloud.offers()
            listed = await self._listing.instances()
            await self._write_slots(self._apply_listing(self._slots, listed, self._term))
            await self._scale_out(
                [offer for offer in offers if offer.region == self._region], self._term
            )
            await self._scale_in(listed, self._term)
        except PlatformUnavailable:
            self.counters.unavailable += 1
        except RevisionConflict:
            # Another holder wrote the slots; the next step reads them again.
            self.counters.conflicts += 1
        except (StoreError, FenceLost, msgspec.MsgspecError):
            return

    async def _read_slots(self) -> None:
        found = await self._store.get(self._key)
        self._slots = decode_slots(found.value) if found else Slots()
        self._slots_revision = found.revision if found else ABSENT

    async def _write_slots(self, slots: Slots) -> None:
        if slots == self._slots:
            return
        self._check_fence()
        self._slots_revision = await self._store.put(
            self._key, encode_slots(slots), self._slots_revision
        )
        self._slots = slots

    def _check_fence(self) -> None:
        """Check the fencing token again, directly before a write or a call to the cloud.

        :raises FenceLost: the lease may lapse before the action ends
        """
        fence = self._duty_manager.fencing_token(self._duty)
        if fence is None or fence.valid_for_s(_now_s()) < ACTION_MARGIN_S:
            raise FenceLost

    def _apply_listing(self, slots: Slots, listed: Sequence[Instance], term: _Term) -> Slots:
        """Return the slots updated from the platform's list.

        Slots of removed and leaving instances are set to `draining`. Live instances of the service
        without a slot get one.
        """
        by_id = {each.instance_id: each for each in listed}
        for slot in slots.slots:
            if slot.state != "held":
                continue
            instance = by_id.get(slot.instance_id)
            if instance is not None:
                term.absent_since_s.pop(slot.instance_id, None)
            removed = instance is None and self._absent_too_long(slot.instance_id, term)
            if removed or (instance is not None and instance.state == "leaving"):
                slots = slots.draining(slot.token)
        return self._adopt_unknown(slots, listed)

    def _absent_too_long(self, instance_id: str, term: _Term) -> bool:
        return _now_s() - term.absent_since_s.setdefault(instance_id, _now_s()) >= ABSENT_TIMEOUT_S

    def _adopt_unknown(self, slots: Slots, listed: Sequence[Instance]) -> Slots:
        """Return the slots with one added for each live instance of the service without a slot."""
        if any(slot.state == "wanted" for slot in slots.slots):
            # The response to the request of a wanted slot may have been lost, so that an instance
            # without a slot may belong to the wanted slot.
            return slots
        slot_instance_ids = {slot.instance_id for slot in slots.slots}
        for each in listed:
            belongs_to_service = each.purpose == self._service and each.region == self._region
            if (
                belongs_to_service
                and each.state == "live"
                and each.instance_id not in slot_instance_ids
            ):
                slot = Slot(self._new_request_token(), offer_of(each), "held", each.instance_id)
                slots = slots.with_slots([slot])
                self.counters.adopted += 1
        return slots

    async def _scale_out(self, offers: Sequence[Offer], term: _Term) -> None:
        """Store a slot for each missing instance and request the instances.

        After a refusal, the fleet is planned again without the refused offers.
        """
        self._record_needed(term)
        for _ in range(len(offers) + 1):
            offers_to_request = missing_offers(
                self._slots, self._plan(offers, term, max(self._recent_needed(term)))
            )
            await self._write_slots(
                self._slots.with_slots(
                    Slot(self._new_request_token(), offer) for offer in offers_to_request
                )
            )
            if not await self._acquire_wanted(term):
                return

    async def _acquire_wanted(self, term: _Term) -> bool:
        """Request an instance for each wanted slot.

        :returns: whether the cloud refused a request
        """
        slots = self._slots
        refused = False
        for slot in slots.slots:
            if slot.state != "wanted":
                continue
            kind = offer_kind(slot.offer)
            if term.refused_until_s.get(kind, 0.0) > _now_s():
                slots = slots.without(slot.token)
                continue
            self._check_fence()
            try:
                instance = await self._cloud.acquire(slot.offer, self._service, slot.token)
            except CloudRefused as refusal:
                refused = True
                self.counters.refused += 1
                refused_for_s = max(REFUSAL_TTL_S, refusal.retry_after_s)
                term.refused_until_s[kind] = _now_s() + refused_for_s
                slots = slots.without(slot.token)
                continue
            self.counters.acquired += 1
            slots = slots.held(slot.token, instance.instance_id)
        await self._write_slots(slots)
        return refused

    async def _scale_in(self, listed: Sequence[Instance], term: _Term) -> None:
        """Start to drain one surplus instance, and release the instances that are drained."""
        offers = await self._cloud.offers()
        region_offers = [offer for offer in offers if offer.region == self._region]
        if _now_s() - term.started_at_s >= SCALE_IN_DELAY_S and not self._draining_slots():
            plan = self._plan(region_offers, term, max(self._recent_needed(term)))
            surplus = surplus_slot(self._slots, plan)
            if surplus is not None:
                await self._write_slots(self._slots.draining(surplus.token))
        listed_ids = {each.instance_id for each in listed}
        for slot in self._draining_slots():
            await self._drain(slot, slot.instance_id in listed_ids, term)

    async def _drain(self, slot: Slot, is_listed: bool, term: _Term) -> None:
        drain_started_at_s = term.draining_since_s.setdefault(slot.token, _now_s())
        if drain_started_at_s == _now_s():
            self._check_fence()
            await announce_stop(self._store, slot.instance_id, STOP_REASON)
        draining_for_s = _now_s() - drain_started_at_s
        drained = draining_for_s >= MIN_DRAIN_S and await self._idle(slot.instance_id)
        if is_listed and not drained and draining_for_s < MAX_DRAIN_S:
            return
        self._check_fence()
        await self._cloud.release(slot.instance_id)
        self.counters.released += 1
        await self._write_slots(self._slots.without(slot.token))
        term.draining_since_s.pop(slot.token, None)
        # The platform may use the instance id again.
        found = await find_stop(self._store, slot.instance_id)
        if found is not None:
            await withdraw_stop(self._store, found)

    def _draining_slots(self) -> list[Slot]:
        return [slot for slot in self._slots.slots if slot.state == "draining"]

    def _plan(self, offers: Sequence[Offer], term: _Term, needed: int) -> FleetPlan:
        running = [slot.offer for slot in self._slots.counted]
        slot_counts = self._slots.count_by_kind()
        now_s = _now_s()
        max_by_kind = {
            kind: slot_counts[kind]
            for kind, until_s in term.refused_until_s.items()
            if until_s > now_s
        }
        return self._planner(needed, self._target().fleet, offers, running, max_by_kind)

    def _record_needed(self, term: _Term) -> None:
        term.needed_history.append((_now_s(), self._target().needed))
        while term.needed_history[0][0] < _now_s() - SCALE_IN_DELAY_S:
            term.needed_history.popleft()

    @staticmethod
    def _recent_needed(term: _Term) -> list[int]:
        return [needed for _, needed in term.needed_history]

    def _new_request_token(self) -> str:
        return f"{self._rng.getrandbits(128):032x}"


def _now_s() -> float:
    return asyncio.get_running_loop().time()
