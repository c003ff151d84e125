"""Holds the deployment's duties: one daemon at a time, under one lease of the store.

The key's creation revision is the fencing token, so no two holders share one. The holder counts
its lease from before a renewal was sent, on a clock that goes on while the machine is suspended,
and stops by itself when that time is over.
"""

from __future__ import annotations

import asyncio
import random
import time

from godwitpath.gateway.cloud import DutyProof
from godwitpath.gateway.members import PREFIX, Members
from godwitpath.gateway.store import Item, Precondition, Put, Store, TxnConflict
from godwitpath.ports.kv import LeaseLapsed, StoreError, StoreUncertain
from godwitpath.telemetry.decisions import decision

HOLDER_KEY = PREFIX + "holder"

MARGIN_S = 0.5
"""Time before the lease's end at which the holder stops: a call on its way still arrives in it."""

RENEWALS_IN_LEASE = 4
RETRY_S = 0.25


def boot_time_s() -> float:
    """Return seconds of a steady clock that also counts the time while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DutyHolder:
    """Takes the duties when nobody holds them.

    :param lease_s: time to live of the lease
    """

    def __init__(
        self, store: Store, members: Members, name: str, lease_s: float, rng: random.Random
    ) -> None:
        self._store = store
        self._members = members
        self._name = name
        self._lease_s = lease_s
        self._rng = rng
        self._lease_id = 0
        self._token = 0
        self._valid_until_s = 0.0
        self._held_at_s = float("-inf")
        self._leaving = False
        self._changed = members.changed_event()

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
            async with asyncio.timeout(self._lease_s / RENEWALS_IN_LEASE):
                await self._changed.wait()
        except TimeoutError:
            pass

    async def _step(self) -> None:
        if self._leaving:
            return
        if self._token:
            await self._renew()
            return
        rested = boot_time_s() - self._held_at_s >= self._lease_s + MARGIN_S
        known = self._members.follower.synced_at_s is not None
        if known and rested and HOLDER_KEY not in self._members.items:
            await asyncio.sleep(0.2 * self._rng.random())
            await self._take()

    async def _renew(self) -> None:
        now_s = boot_time_s()
        if now_s < self._valid_until_s + MARGIN_S - self._lease_s * (1 - 0.8 / RENEWALS_IN_LEASE):
            return
        await self._store.renew(self._lease_id)
        self._valid_until_s = now_s + self._lease_s - MARGIN_S

    async def _take(self) -> None:
        if HOLDER_KEY in self._members.items or self._leaving:
            return
        started_s = boot_time_s()
        lease_id = await self._store.grant(self._lease_s)
        value = f"{self._name} {self._rng.getrandbits(64):016x}".encode()
        try:
            token = await self._store.transact(
                [Precondition(HOLDER_KEY, 0)], [Put(HOLDER_KEY, value, lease_id)]
            )
        except TxnConflict:
            return
        except StoreUncertain:
            found = await self._store.get(HOLDER_KEY)
            if found is None or found.value != value:
                return
            token = found.created_revision
        self._lease_id = lease_id
        self._token = token
        self._valid_until_s = started_s + self._lease_s - MARGIN_S
        self._members.items[HOLDER_KEY] = Item(HOLDER_KEY, value, token, token, lease_id)
        decision("duty_taken", fence=token)

    def _lost(self, reason: str) -> None:
        if self._token:
            decision("duty_lost", fence=self._token, reason=reason)
            self._held_at_s = boot_time_s()
        self._token = 0
        self._lease_id = 0
