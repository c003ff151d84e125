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
    KeyValue,
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
STEP_S = 1.0
FIRST_PAUSE_S = 2.0
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
        self._duties: dict[Duty, HeldDuty] = {}
        self._lease_id = 0
        self._valid_until_s = float("-inf")
        self._unwanted: set[Duty] = set()
        self._leaving = False
        self._wakeup = asyncio.Event()
        self.counters = DutyCounters()

    def set_duties(self, duties: Iterable[Duty]) -> None:
        """Say which duties there are; those no longer named are handed back."""
        wanted = set(duties)
        for duty in wanted - self._duties.keys():
            self._duties[duty] = HeldDuty(duty, self._new_token(), FIRST_PAUSE_S)
        self._duties = {
            duty: held for duty, held in self._duties.items() if duty in wanted or held.revision
        }
        self._unwanted = {duty for duty in self._duties if duty not in wanted}
        self._wakeup.set()

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
            pause_s = STEP_S * (0.9 + 0.2 * self._rng.random())
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
        names = self._ranked(held.duty)
        position = names.index(self._local.entry_id) if self._local.entry_id in names else -1
        wanted = held.duty not in self._unwanted and not self._leaving
        if position == 0 and held.position != 0:
            held.try_at_s = self._now_s()
        held.position = position
        if held.revision:
            standing_in = position == 1 and names[0] == held.stood_in_for
            if not wanted or not (position == 0 or standing_in):
                await self._hand_back(held)
        elif wanted and position in (0, 1) and self._now_s() >= held.try_at_s:
            # The first in rank takes the duty; the second only looks whether anybody has it.
            held.stood_in_for = names[0] if position == 1 else ""
            await (self._take(held) if position == 0 else self._stand_in(held))

    def _ranked(self, duty: Duty) -> list[str]:
        ranked = rank(duty.store_key, self._live(), lambda member: member.entry_id)
        return [member.entry_id for member in ranked]

    async def _stand_in(self, held: HeldDuty) -> None:
        """Take a duty that the first in rank has left without a holder for a lease's time."""
        looked_before = held.try_at_s > float("-inf")
        held.try_at_s = self._now_s() + RECHECK_S
        if not looked_before:
            return
        self._call(held)
        found = await self._store.get(held.duty.store_key)
        if found is not None:
            held.absent_looks = 0
            return
        held.absent_looks += 1
        if held.absent_looks > 1:
            await self._take(held)

    async def _take(self, held: HeldDuty) -> None:
        held.try_at_s = self._now_s() + held.pause_s
        held.pause_s = min(RECHECK_S, held.pause_s * 2)
        await self._have_lease()
        key = held.duty.store_key
        self._call(held)
        try:
            revision = await self._store.put(key, self._value(held), ABSENT, self._lease_id)
        except RevisionConflict as conflict:
            revision = await self._settle_conflict(held, conflict.current)
        except StoreUncertain:
            self.counters.settled_by_read += 1
            self._call(held)
            current = await self._store.get(key)
            revision = current.revision if current and current.value == self._value(held) else 0
        if revision and not self._leaving:
            held.revision = revision
            held.pause_s = FIRST_PAUSE_S
            self.counters.taken += 1

    async def _have_lease(self) -> None:
        holds = any(held.revision for held in self._duties.values())
        if self._lease_id and (holds or self._now_s() < self._valid_until_s):
            return
        started_s = self._now_s()
        self._call()
        lease = await self._store.grant_lease(LEASE_TTL_S)
        self._lease_id = lease.lease_id
        self._prolong(started_s)

    async def _settle_conflict(self, held: HeldDuty, current: KeyValue | None) -> int:
        """Return the revision of the duty's key if this very take wrote it, else 0."""
        if current is None:
            return 0
        if current.value == self._value(held):
            return current.revision
        if current.value.startswith(self._prefix()):
            # An own key that was handed back; its deletion may still be under way, so that the
            # key must not be held again under the same revision.
            await self._delete(held, current.revision)
        else:
            self.counters.found_held += 1
        return 0

    async def _hand_back(self, held: HeldDuty) -> None:
        revision, held.revision = held.revision, 0
        held.token = self._new_token()
        held.try_at_s = self._now_s() + FIRST_PAUSE_S
        await self._delete(held, revision)
        self.counters.handed_back += 1

    async def _delete(self, held: HeldDuty, revision: int) -> None:
        self._call(held)
        try:
            await self._store.delete(held.duty.store_key, revision)
        except RevisionConflict:
            return

    def _value(self, held: HeldDuty) -> bytes:
        """Return the value of the duty's key; the lease in it tells restarts apart for certain."""
        return self._prefix() + held.token.encode()

    def _prefix(self) -> bytes:
        return f"{self._local.entry_id}/{self._lease_id}/".encode()

    def _new_token(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    def _lapse(self) -> None:
        self._lease_id = 0
        self._valid_until_s = float("-inf")
        for held in self._duties.values():
            self.counters.lapsed += held.revision > 0
            held.revision = 0
            held.token = self._new_token()

    def _call(self, held: HeldDuty | None = None) -> None:
        self.counters.store_calls += 1
        if held is not None:
            held.store_calls += 1

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()
