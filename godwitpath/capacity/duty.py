"""The duty that keeps a service's instances in a region as its work needs them.

Each step reads the written slots, brings them in line with the demand by compare-and-swap, and only
then acts outside. A holder that died in between is continued by the next from what is written.
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
    missing,
    offer_of,
    slots_key,
    surplus,
)
from godwitpath.config.model import FleetSpec
from godwitpath.duties.duty import Duty
from godwitpath.duties.keeper import DutyKeeper
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
    DRAIN_LEAST_S,
    DRAIN_MOST_S,
    announce_stop,
    find_stop,
    withdraw_stop,
)

STEP_S = 2.0
ACT_MARGIN_S = 1.0
"""Time that the lease must still hold for an act outside."""

REFUSED_KEEP_S = 60.0
"""How long an offer counts as refused, unless the cloud names a longer time."""

SCALE_IN_S = 300.0
"""An engine is given up only when the work did not need it for so long."""

ABSENT_S = 30.0
"""An instance that is off the list for so long is gone."""

STOP_REASON = "not needed any more"


class FenceLost(Exception):
    """The duty is not certainly held any more."""


@dataclass(slots=True, frozen=True)
class CapacityTarget:
    """What the duty aims at.

    :ivar fleet: bounds
    :ivar needed: engines that the work needs now
    """

    fleet: FleetSpec
    needed: int


@dataclass(slots=True)
class CapacityCounters:
    """What the duty did."""

    acquired: int = 0
    refused: int = 0
    released: int = 0
    adopted: int = 0
    conflicts: int = 0
    unavailable: int = 0


@dataclass(slots=True)
class _Memory:
    """What a holder remembers; the next one begins anew."""

    since_s: float
    needed: deque[tuple[float, int]] = field(default_factory=deque)
    refused_until_s: dict[OfferKind, float] = field(default_factory=dict)
    absent_since_s: dict[str, float] = field(default_factory=dict)
    draining_since_s: dict[str, float] = field(default_factory=dict)


class CapacityDuty:
    """Holds one service's capacity in one region.

    :param target: returns bounds and the engines needed now
    :param idle: says whether an instance has no work left
    """

    def __init__(
        self,
        service: str,
        region: str,
        duty: Duty,
        keeper: DutyKeeper,
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
        self._keeper = keeper
        self._store = store
        self._cloud = cloud
        self._listing = listing
        self._target = target
        self._idle = idle
        self._rng = rng
        self._planner = planner
        self._key = slots_key(service, region)
        self._slots = Slots()
        self._revision = ABSENT
        self._memory: _Memory | None = None
        self.counters = CapacityCounters()

    async def run(self) -> None:
        """Take steps until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(STEP_S * (0.9 + 0.2 * self._rng.random()))

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        counters = {name: getattr(self.counters, name) for name in CapacityCounters.__slots__}
        states = Counter(slot.state for slot in self._slots.slots)
        return {"slots": dict(states), "counters": counters}

    async def step(self) -> None:
        """Bring the instances nearer to what is needed, if the duty is held."""
        if self._keeper.holding(self._duty) is None:
            self._memory = None
            return
        if self._memory is None:
            self._memory = _Memory(_now_s())
        try:
            await self._read()
            offers = await self._cloud.offers()
            listed = await self._listing.instances()
            await self._write(self._seen(self._slots, listed, self._memory))
            await self._grow([o for o in offers if o.region == self._region], self._memory)
            await self._shrink(listed, self._memory)
        except PlatformUnavailable:
            self.counters.unavailable += 1
        except RevisionConflict:
            # Somebody else wrote the slots; the next step reads what they are.
            self.counters.conflicts += 1
        except (StoreError, FenceLost, msgspec.MsgspecError):
            return

    async def _read(self) -> None:
        found = await self._store.get(self._key)
        self._slots = decode_slots(found.value) if found else Slots()
        self._revision = found.revision if found else ABSENT

    async def _write(self, slots: Slots) -> None:
        if slots == self._slots:
            return
        self._check()
        self._revision = await self._store.put(self._key, encode_slots(slots), self._revision)
        self._slots = slots

    def _check(self) -> None:
        """Ask for the fence anew, right before an act.

        :raises FenceLost: it does not certainly hold for the act
        """
        fence = self._keeper.holding(self._duty)
        if fence is None or fence.valid_for_s(_now_s()) < ACT_MARGIN_S:
            raise FenceLost

    def _seen(self, slots: Slots, listed: Sequence[Instance], memory: _Memory) -> Slots:
        """Return the slots after what the list shows."""
        by_id = {each.instance_id: each for each in listed}
        for slot in slots.slots:
            if slot.state != "held":
                continue
            known = by_id.get(slot.instance_id)
            if known is not None:
                memory.absent_since_s.pop(slot.instance_id, None)
            gone = known is None and self._absent_long(slot.instance_id, memory)
            if gone or (known is not None and known.state == "leaving"):
                slots = slots.draining(slot.token)
        return self._adopt(slots, listed)

    def _absent_long(self, instance_id: str, memory: _Memory) -> bool:
        return _now_s() - memory.absent_since_s.setdefault(instance_id, _now_s()) >= ABSENT_S

    def _adopt(self, slots: Slots, listed: Sequence[Instance]) -> Slots:
        """Return the slots with one for each instance of the service that has none."""
        if any(slot.state == "wanted" for slot in slots.slots):
            # An instance without a slot may be the one that a wanted slot was given.
            return slots
        known = {slot.instance_id for slot in slots.slots}
        for each in listed:
            of_service = each.purpose == self._service and each.region == self._region
            if of_service and each.state == "live" and each.instance_id not in known:
                slot = Slot(self._token(), offer_of(each), "held", each.instance_id)
                slots = slots.with_slots([slot])
                self.counters.adopted += 1
        return slots

    async def _grow(self, offers: Sequence[Offer], memory: _Memory) -> None:
        """Write what is wanted, ask for it, and try other offers where the cloud refuses."""
        self._note_needed(memory)
        for _ in range(len(offers) + 1):
            wanted = missing(self._slots, self._plan(offers, memory, max(self._recent(memory))))
            await self._write(
                self._slots.with_slots(Slot(self._token(), offer) for offer in wanted)
            )
            if not await self._acquire_wanted(memory):
                return

    async def _acquire_wanted(self, memory: _Memory) -> bool:
        """Ask for every wanted slot's instance; returns whether some were refused."""
        slots = self._slots
        refused = False
        for slot in slots.slots:
            if slot.state != "wanted":
                continue
            kind = offer_kind(slot.offer)
            if memory.refused_until_s.get(kind, 0.0) > _now_s():
                slots = slots.without(slot.token)
                continue
            self._check()
            try:
                instance = await self._cloud.acquire(slot.offer, self._service, slot.token)
            except CloudRefused as refusal:
                refused = True
                self.counters.refused += 1
                keep_s = max(REFUSED_KEEP_S, refusal.retry_after_s)
                memory.refused_until_s[kind] = _now_s() + keep_s
                slots = slots.without(slot.token)
                continue
            self.counters.acquired += 1
            slots = slots.held(slot.token, instance.instance_id)
        await self._write(slots)
        return refused

    async def _shrink(self, listed: Sequence[Instance], memory: _Memory) -> None:
        """Give back one instance that was not needed for long; release what is drained."""
        offers = await self._cloud.offers()
        own = [offer for offer in offers if offer.region == self._region]
        if _now_s() - memory.since_s >= SCALE_IN_S and not self._draining():
            plan = self._plan(own, memory, max(self._recent(memory)))
            spare = surplus(self._slots, plan)
            if spare is not None:
                await self._write(self._slots.draining(spare.token))
        by_id = {each.instance_id for each in listed}
        for slot in self._draining():
            await self._drain(slot, slot.instance_id in by_id, memory)

    async def _drain(self, slot: Slot, is_listed: bool, memory: _Memory) -> None:
        since_s = memory.draining_since_s.setdefault(slot.token, _now_s())
        if since_s == _now_s():
            self._check()
            await announce_stop(self._store, slot.instance_id, STOP_REASON)
        drained_s = _now_s() - since_s
        empty = drained_s >= DRAIN_LEAST_S and await self._idle(slot.instance_id)
        if is_listed and not empty and drained_s < DRAIN_MOST_S:
            return
        self._check()
        await self._cloud.release(slot.instance_id)
        self.counters.released += 1
        await self._write(self._slots.without(slot.token))
        memory.draining_since_s.pop(slot.token, None)
        # The instance's name may come again.
        found = await find_stop(self._store, slot.instance_id)
        if found is not None:
            await withdraw_stop(self._store, found)

    def _draining(self) -> list[Slot]:
        return [slot for slot in self._slots.slots if slot.state == "draining"]

    def _plan(self, offers: Sequence[Offer], memory: _Memory, needed: int) -> FleetPlan:
        running = [slot.offer for slot in self._slots.counted]
        have = self._slots.kinds()
        now_s = _now_s()
        bounds = {k: have[k] for k, until_s in memory.refused_until_s.items() if until_s > now_s}
        return self._planner(needed, self._target().fleet, offers, running, bounds)

    def _note_needed(self, memory: _Memory) -> None:
        memory.needed.append((_now_s(), self._target().needed))
        while memory.needed[0][0] < _now_s() - SCALE_IN_S:
            memory.needed.popleft()

    @staticmethod
    def _recent(memory: _Memory) -> list[int]:
        return [needed for _, needed in memory.needed]

    def _token(self) -> str:
        return f"{self._rng.getrandbits(128):032x}"


def _now_s() -> float:
    return asyncio.get_running_loop().time()
