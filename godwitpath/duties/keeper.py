"""Takes, renews and hands back the duties of one entry.

All duties of an entry are under one lease, so renewing costs one call whatever their number. The
holder's own clock decides how long a lease certainly holds: from before the last confirmed
renewal was sent, for its time to live less a margin. A holder that was paused finds its time over.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from godwitpath.duties.duty import Duty, DutyCounters, Fence, HeldDuty
from godwitpath.membership.member import Member
from godwitpath.ports.kv import (
    ABSENT,
    KeyValueStore,
    LeaseLapsed,
    RevisionConflict,
    StoreError,
    StoreUncertain,
)
from godwitpath.ranking import rank

LEASE_TTL_S = 10.0
SAFETY_MARGIN_S = 1.0
RENEW_INTERVAL_S = LEASE_TTL_S / 3
STEADY_S = 2.0
RECHECK_S = LEASE_TTL_S


class DutyKeeper:
    """Holds the duties for which this entry ranks first.

    :ivar counters: what the duties cost
    """

    def __init__(
        self,
        store: KeyValueStore,
        local: Member,
        live: Callable[[], list[Member]],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._local = local
        self._live = live
        self._rng = rng
        self._token = f"{local.entry_id}/{rng.getrandbits(64):016x}".encode()
        self._duties: dict[Duty, HeldDuty] = {}
        self._lease_id = 0
        self._valid_until_s = float("-inf")
        self._ranked_since_s: dict[Duty, float] = {}
        self._leaving = False
        self._wakeup = asyncio.Event()
        self.counters = DutyCounters()

    def set_duties(self, duties: Iterable[Duty]) -> None:
        """Say which duties there are; those no longer named are handed back."""
        wanted = set(duties)
        for duty in wanted:
            self._duties.setdefault(duty, HeldDuty(duty))
        for duty, held in self._duties.items():
            if duty not in wanted and not held.revision:
                self._ranked_since_s.pop(duty, None)
        self._duties = {
            duty: held for duty, held in self._duties.items() if duty in wanted or held.revision
        }
        self._unwanted = {duty for duty in self._duties if duty not in wanted}
        self._wakeup.set()

    _unwanted: set[Duty] = set()

    def holding(self, duty: Duty) -> Fence | None:
        """Return the proof of holding a duty, to be asked for right before each action."""
        held = self._duties.get(duty)
        if held is None or not held.revision or self._leaving or duty in self._unwanted:
            return None
        fence = Fence(duty, held.revision, self._valid_until_s)
        return fence if fence.valid_for_s(self._now_s()) > 0 else None

    def held(self) -> list[Duty]:
        """Return the duties held now."""
        return [duty for duty in self._duties if self.holding(duty) is not None]

    async def leave(self) -> None:
        """Hand every duty back, so that others take them without waiting for the lease."""
        self._leaving = True
        lease_id, self._lease_id = self._lease_id, 0
        self._valid_until_s = float("-inf")
        held = [each for each in self._duties.values() if each.revision]
        for each in held:
            each.revision = 0
        if not lease_id:
            return
        try:
            self.counters.store_calls += 1
            await self._store.revoke_lease(lease_id)
        except StoreError:
            return
        self.counters.handed_back += len(held)

    async def run(self) -> None:
        """Take and renew duties until cancelled or :meth:`leave` was called."""
        while not self._leaving:
            await self._step()
            pause_s = STEADY_S * (0.9 + 0.2 * self._rng.random())
            try:
                async with asyncio.timeout(pause_s):
                    await self._wakeup.wait()
            except TimeoutError:
                pass
            self._wakeup.clear()

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        counters = {name: getattr(self.counters, name) for name in DutyCounters.__slots__}
        left_s = max(0.0, self._valid_until_s - self._now_s())
        duties = [held.dump() for held in self._duties.values() if held.revision]
        return {"lease_valid_for_s": round(left_s, 3), "held": duties, "counters": counters}

    async def _step(self) -> None:
        try:
            await self._renew()
            for held in list(self._duties.values()):
                await self._look_after(held)
        except LeaseLapsed:
            self._lapse()
        except StoreError:
            self.counters.renewals_failed += 1

    async def _renew(self) -> None:
        if not self._lease_id or not any(held.revision for held in self._duties.values()):
            return
        started_s = self._now_s()
        if started_s < self._valid_until_s + SAFETY_MARGIN_S - LEASE_TTL_S + RENEW_INTERVAL_S:
            return
        self._call()
        await self._store.renew_lease(self._lease_id)
        self.counters.renewals += 1
        self._prolong(started_s)

    def _prolong(self, started_s: float) -> None:
        if not self._leaving:
            self._valid_until_s = started_s + LEASE_TTL_S - SAFETY_MARGIN_S

    async def _look_after(self, held: HeldDuty) -> None:
        position = self._position(held.duty)
        now_s = self._now_s()
        if position != 0 or held.duty in self._unwanted:
            self._ranked_since_s.pop(held.duty, None)
        first_since_s = self._ranked_since_s.get(held.duty)
        if position == 0 and first_since_s is None:
            first_since_s = self._ranked_since_s[held.duty] = now_s
        if held.revision:
            if held.duty in self._unwanted or position > 0:
                await self._hand_back(held)
            return
        if held.duty in self._unwanted or self._leaving:
            return
        if position == 0:
            # The former first may still hand the duty back; a short wait saves a refused write.
            if now_s - held.checked_at_s >= STEADY_S:
                await self._take(held)
        elif position == 1 and now_s - held.checked_at_s >= RECHECK_S:
            await self._stand_in(held)

    def _position(self, duty: Duty) -> int:
        members = self._live()
        ranked = rank(duty.store_key, members, lambda member: member.entry_id)
        names = [member.entry_id for member in ranked]
        if self._local.entry_id not in names:
            return -1
        return names.index(self._local.entry_id)

    async def _stand_in(self, held: HeldDuty) -> None:
        """Take a duty that the first in rank has left without a holder for a lease's time."""
        first_look = held.checked_at_s == float("-inf")
        held.checked_at_s = self._now_s()
        if first_look:
            return
        self._call(held)
        if await self._store.get(held.duty.store_key) is None:
            await self._take(held)

    async def _take(self, held: HeldDuty) -> None:
        held.checked_at_s = self._now_s()
        if not self._lease_id:
            started_s = self._now_s()
            self._call()
            lease = await self._store.grant_lease(LEASE_TTL_S)
            self._lease_id = lease.lease_id
            self._prolong(started_s)
        key = held.duty.store_key
        self._call(held)
        try:
            revision = await self._store.put(key, self._token, ABSENT, self._lease_id)
        except RevisionConflict as conflict:
            current = conflict.current
            if current is None or current.value != self._token:
                self.counters.found_held += 1
                return
            revision = current.revision
        except StoreUncertain:
            revision = await self._settle(held)
        if revision and not self._leaving:
            held.revision = revision
            self.counters.taken += 1

    async def _settle(self, held: HeldDuty) -> int:
        """Return the revision of the own key after an answer was lost, 0 when it is not there."""
        self.counters.settled_by_read += 1
        self._call(held)
        current = await self._store.get(held.duty.store_key)
        return current.revision if current is not None and current.value == self._token else 0

    async def _hand_back(self, held: HeldDuty) -> None:
        revision, held.revision = held.revision, 0
        held.checked_at_s = self._now_s()
        self._call(held)
        try:
            await self._store.delete(held.duty.store_key, revision)
        except RevisionConflict:
            return
        self.counters.handed_back += 1

    def _lapse(self) -> None:
        self._lease_id = 0
        self._valid_until_s = float("-inf")
        # A new token, so that a late write under the old lease is never taken for an own one.
        self._token = f"{self._local.entry_id}/{self._rng.getrandbits(64):016x}".encode()
        for held in self._duties.values():
            self.counters.lapsed += held.revision > 0
            held.revision = 0

    def _call(self, held: HeldDuty | None = None) -> None:
        self.counters.store_calls += 1
        if held is not None:
            held.store_calls += 1

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()
