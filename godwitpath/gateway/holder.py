"""Holds the deployment's duties: one daemon at a time, under one lease of the store.

The revision of the write that took the duties is the fencing token, so no two holders share one.
The holder counts its lease from before a renewal was sent, on a clock that goes on while the
machine is suspended, and stops by itself when that time is over.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import msgspec

from godwitpath.gateway.cloud import DutyProof
from godwitpath.gateway.members import PREFIX, Members
from godwitpath.gateway.settings import Bounds
from godwitpath.gateway.store import Item, Precondition, Put, Store, TxnConflict
from godwitpath.ports.kv import LeaseLapsed, StoreError, StoreUncertain
from godwitpath.telemetry.decisions import decision

HOLDER_KEY = PREFIX + "holder"

LEASE_FACTOR = 2.0
"""Time to live of the lease as a multiple of the deployment's lease time: the duties go on through
a short outage of the store. A holder that falls silent is replaced before, where the platform
itself checks the fencing token."""

SILENT_S = 1.0
"""Time for which a holder's reports must be missing before it is replaced: two and a half
reports."""

MARGIN_S = 0.5
"""Time before the lease's end at which the holder stops: a call on its way still arrives in it."""

RENEWALS_IN_LEASE = 5
RETRY_S = 0.25
STEP_S = 0.3
"""Time between two looks at the holder and at the own lease."""


class HolderEntry(msgspec.Struct, frozen=True):
    """Value of the holder's key.

    :ivar nonce: tells apart the takings of one start
    """

    name: str
    incarnation: int
    nonce: int


def boot_time_s() -> float:
    """Return seconds of a steady clock that also counts the time while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def known_holder(members: Members) -> tuple[str, int]:
    """Return the daemon that holds the duties and its fencing token, ("", 0) when none does."""
    item = members.items.get(HOLDER_KEY)
    if item is None:
        return "", 0
    try:
        return msgspec.json.decode(item.value, type=HolderEntry).name, item.revision
    except msgspec.DecodeError:
        return "", 0


class DutyHolder:
    """Takes the duties when nobody holds them, or when their holder is silent.

    :param bounds: of the deployment; its lease time is the shortest time between two turns of one
        holder
    :param silence_s: returns for how long a start of a daemon has sent no report, None where it was
        never heard
    """

    def __init__(
        self,
        store: Store,
        members: Members,
        name: str,
        bounds: Bounds,
        rng: random.Random,
        silence_s: Callable[[str, int], float | None],
    ) -> None:
        self._store = store
        self._members = members
        self._name = name
        self._lease_s = bounds.lease_s * LEASE_FACTOR
        self._rest_s = bounds.lease_s + MARGIN_S
        self._unheard_s = bounds.lease_s
        self._may_replace = bounds.fencing_checked
        self._silence_s = silence_s
        self._rng = rng
        self._lease_id = 0
        self._token = 0
        self._valid_until_s = 0.0
        self._held_at_s = float("-inf")
        self._leaving = False
        self._changed = members.changed_event()
        self._seen_revision = 0
        self._seen_at_s = 0.0

    def proof(self) -> DutyProof | None:
        """Return the proof of holding the duties, to be asked for right before each action."""
        if not self._token or self._leaving or boot_time_s() >= self._valid_until_s:
            return None
        return DutyProof(self._name, self._token)

    async def run(self) -> None:
        """Take and renew until cancelled."""
        while True:
            try:
                await self._step()
            except LeaseLapsed:
                self._lost("lease lapsed")
            except StoreError as error:
                if self._token and boot_time_s() >= self._valid_until_s:
                    self._lost(f"lease not renewed: {error}")
                await asyncio.sleep(RETRY_S)
            await self._pause()

    async def leave(self) -> None:
        """Hand the duties back, so that others need not wait for the lease to end."""
        self._leaving = True
        lease_id, self._lease_id = self._lease_id, 0
        held, self._token = self._token, 0
        if not lease_id or not held:
            return
        try:
            await self._store.end_lease(lease_id)
        except StoreError as error:
            decision("duty_leave_failed", fence=held, reason=str(error))
            return
        decision("duty_left", fence=held)

    def fenced_off(self) -> None:
        """Note that a later holder has acted."""
        self._lost("a later holder has acted")

    async def _pause(self) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(STEP_S):
                await self._changed.wait()
        except TimeoutError:
            pass

    async def _step(self) -> None:
        if self._leaving:
            return
        if self._token:
            await self._renew()
            return
        rested = boot_time_s() - self._held_at_s >= self._rest_s
        if self._members.follower.synced_at_s is None or not rested:
            return
        holder = self._members.items.get(HOLDER_KEY)
        if holder is None or self._silent(holder):
            await asyncio.sleep(0.2 * self._rng.random())
            if self._members.items.get(HOLDER_KEY) == holder and not self._leaving:
                await self._take(holder)

    def _silent(self, holder: Item) -> bool:
        """Return whether the holder has sent no report for so long that it is replaced.

        One that has just taken the duties counts as silent only from then on: its reports may take
        longer to arrive than the news of it, and one that replaced it would be no better known.
        """
        if not self._may_replace:
            return False
        if holder.revision != self._seen_revision:
            self._seen_revision = holder.revision
            self._seen_at_s = boot_time_s()
        known_s = boot_time_s() - self._seen_at_s
        try:
            entry = msgspec.json.decode(holder.value, type=HolderEntry)
        except msgspec.DecodeError:
            return False
        silence_s = self._silence_s(entry.name, entry.incarnation)
        if silence_s is None:
            return known_s >= self._unheard_s
        return min(silence_s, known_s) >= SILENT_S

    async def _renew(self) -> None:
        now_s = boot_time_s()
        holder = self._members.items.get(HOLDER_KEY)
        if holder is not None and holder.revision > self._token:
            self._lost("replaced")
            return
        renewed_at_s = self._valid_until_s + MARGIN_S - self._lease_s
        if now_s < renewed_at_s + self._lease_s / RENEWALS_IN_LEASE:
            return
        await self._store.renew(self._lease_id)
        self._valid_until_s = now_s + self._lease_s - MARGIN_S

    async def _take(self, before: Item | None) -> None:
        """Take the duties from nobody, or from a holder that is silent.

        :param before: the key of the silent holder
        """
        started_s = boot_time_s()
        lease_id = await self._store.grant(self._lease_s)
        nonce = self._rng.getrandbits(63)
        entry = HolderEntry(self._name, self._members.incarnation, nonce)
        value = msgspec.json.encode(entry)
        condition = Precondition(HOLDER_KEY, before.revision if before else 0)
        try:
            token = await self._store.transact([condition], [Put(HOLDER_KEY, value, lease_id)])
        except TxnConflict:
            return
        except StoreUncertain:
            found = await self._store.get(HOLDER_KEY)
            if found is None or found.value != value:
                return
            token = found.revision
        self._lease_id = lease_id
        self._token = token
        self._valid_until_s = started_s + self._lease_s - MARGIN_S
        self._members.items[HOLDER_KEY] = Item(HOLDER_KEY, value, token, token, lease_id)
        decision("duty_taken", fence=token, replaced=before is not None)

    def _lost(self, reason: str) -> None:
        if self._token:
            decision("duty_lost", fence=self._token, reason=reason)
            self._held_at_s = boot_time_s()
        self._token = 0
        self._lease_id = 0
