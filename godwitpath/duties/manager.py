"""Acquires, renews and releases the duties of one entry.

A duty is a task that one entry, its holder, runs for all entries. A term is the time from the
acquisition of a duty to its release or loss.

All duties of an entry share one lease, so that a renewal is one call for any number of duties. The
holder determines the validity of the lease by its own clock: the validity begins just before
the last confirmed renewal was sent, and lasts the time to live of the lease less a margin. A holder
that was paused therefore sees that its lease has lapsed.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from godwitpath.duties.duty import Duty, DutyCounters, DutyState, FencingToken
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
"""Time to live of the lease of an entry's duties in the store."""

SAFETY_MARGIN_S = 1.0
"""Time before the end of the lease from which its holder considers it lapsed."""

RENEW_INTERVAL_S = LEASE_TTL_S / 3
"""Shortest time between two renewals of the lease."""

STEP_INTERVAL_S = 1.0
"""Average pause between two steps of the manager."""

INITIAL_BACKOFF_S = 2.0
"""Time between the first and the second attempt to acquire a duty; it doubles after each."""

HOLDER_CHECK_INTERVAL_S = LEASE_TTL_S
"""Time between two checks of the second in rank, and longest time between two attempts."""


class DutyManager:
    """Holds the duties for which this entry ranks first, or replaces a failed first in rank.

    :param local: this entry
    :param live: returns the live entries
    :ivar counters: numbers of store calls and changes of holders since the start of the process
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
        self._states: dict[Duty, DutyState] = {}
        self._lease_id = 0
        self._valid_until_s = float("-inf")
        self._to_release: set[Duty] = set()
        self._leaving = False
        self._wakeup = asyncio.Event()
        self.counters = DutyCounters()

    def set_duties(self, duties: Iterable[Duty]) -> None:
        """Set the duties that exist; a held duty that is not among them is released."""
        desired = set(duties)
        for duty in desired - self._states.keys():
            self._states[duty] = DutyState(duty, self._new_term_token(), INITIAL_BACKOFF_S)
        self._states = {
            duty: state for duty, state in self._states.items() if duty in desired or state.revision
        }
        self._to_release = {duty for duty in self._states if duty not in desired}
        self._wakeup.set()

    def fencing_token(self, duty: Duty) -> FencingToken | None:
        """Return the fencing token of a duty, to be requested directly before each action.

        :returns: None when the duty is not held or its lease may have lapsed
        """
        state = self._states.get(duty)
        if state is None or not state.revision or self._leaving or duty in self._to_release:
            return None
        fence = FencingToken(duty, state.revision, self._valid_until_s)
        return fence if fence.valid_for_s(self._now_s()) > 0 else None

    def held(self) -> list[Duty]:
        """Return the duties currently held."""
        return [duty for duty in self._states if self.fencing_token(duty) is not None]

    async def leave(self) -> None:
        """Release every duty, so that other entries acquire them without waiting for the lease."""
        self._leaving = True
        lease_id, self._lease_id = self._lease_id, 0
        self._valid_until_s = float("-inf")
        released = [each for each in self._states.values() if each.revision]
        for each in released:
            each.revision = 0
        if not lease_id:
            return
        try:
            self.counters.store_calls += 1
            await self._store.revoke_lease(lease_id)
        except StoreError:
            return
        self.counters.handed_back += len(released)

    async def run(self) -> None:
        """Acquire and renew duties until cancelled or until :meth:`leave` is called."""
        while not self._leaving:
            await self._step()
            pause_s = STEP_INTERVAL_S * (0.9 + 0.2 * self._rng.random())
            try:
                async with asyncio.timeout(pause_s):
                    await self._wakeup.wait()
            except TimeoutError:
                pass
            self._wakeup.clear()

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        counters = {name: getattr(self.counters, name) for name in DutyCounters.__slots__}
        lease_left_s = max(0.0, self._valid_until_s - self._now_s())
        duties = [state.dump() for state in self._states.values() if state.revision]
        return {"lease_valid_for_s": round(lease_left_s, 3), "held": duties, "counters": counters}

    async def _step(self) -> None:
        try:
            await self._renew()
            for state in list(self._states.values()):
                await self._check_duty(state)
        except LeaseLapsed:
            self._drop_lapsed()
        except StoreError:
            self.counters.renewals_failed += 1

    async def _renew(self) -> None:
        if not self._lease_id or not any(state.revision for state in self._states.values()):
            return
        sent_at_s = self._now_s()
        if sent_at_s < self._valid_until_s + SAFETY_MARGIN_S - LEASE_TTL_S + RENEW_INTERVAL_S:
            return
        self._count_call()
        await self._store.renew_lease(self._lease_id)
        self.counters.renewals += 1
        self._extend_validity(sent_at_s)

    def _extend_validity(self, sent_at_s: float) -> None:
        if not self._leaving:
            self._valid_until_s = sent_at_s + LEASE_TTL_S - SAFETY_MARGIN_S

    async def _check_duty(self, state: DutyState) -> None:
        ranked_ids = self._ranked_ids(state.duty)
        own_rank = (
            ranked_ids.index(self._local.entry_id) if self._local.entry_id in ranked_ids else -1
        )
        should_hold = state.duty not in self._to_release and not self._leaving
        if own_rank == 0 and state.rank != 0:
            state.next_attempt_at_s = self._now_s()
        state.rank = own_rank
        if state.revision:
            replacing = own_rank == 1 and ranked_ids[0] == state.replaced_entry_id
            if not should_hold or not (own_rank == 0 or replacing):
                await self._release(state)
        elif should_hold and own_rank in (0, 1) and self._now_s() >= state.next_attempt_at_s:
            # The first in rank acquires the duty; the second only checks that there is a holder.
            state.replaced_entry_id = ranked_ids[0] if own_rank == 1 else ""
            await (self._acquire(state) if own_rank == 0 else self._replace_first_in_rank(state))

    def _ranked_ids(self, duty: Duty) -> list[str]:
        ranked = rank(duty.store_key, self._live(), lambda member: member.entry_id)
        return [member.entry_id for member in ranked]

    async def _replace_first_in_rank(self, state: DutyState) -> None:
        """Acquire a duty of the first in rank if two checks in a row find no holder.

        The checks are `HOLDER_CHECK_INTERVAL_S` apart, which is the time to live of a lease.
        """
        checked_before = state.next_attempt_at_s > float("-inf")
        state.next_attempt_at_s = self._now_s() + HOLDER_CHECK_INTERVAL_S
        if not checked_before:
            return
        self._count_call(state)
        found = await self._store.get(state.duty.store_key)
        if found is not None:
            state.absent_checks = 0
            return
        state.absent_checks += 1
        if state.absent_checks > 1:
            await self._acquire(state)

    async def _acquire(self, state: DutyState) -> None:
        state.next_attempt_at_s = self._now_s() + state.backoff_s
        state.backoff_s = min(HOLDER_CHECK_INTERVAL_S, state.backoff_s * 2)
        await self._ensure_lease()
        key = state.duty.store_key
        self._count_call(state)
        try:
            revision = await self._store.put(key, self._key_value(state), ABSENT, self._lease_id)
        except RevisionConflict as conflict:
            revision = await self._resolve_conflict(state, conflict.current)
        except StoreUncertain:
            self.counters.settled_by_read += 1
            self._count_call(state)
            current = await self._store.get(key)
            revision = (
                current.revision if current and current.value == self._key_value(state) else 0
            )
        if revision and not self._leaving:
            state.revision = revision
            state.backoff_s = INITIAL_BACKOFF_S
            self.counters.taken += 1

    async def _ensure_lease(self) -> None:
        holds_duty = any(state.revision for state in self._states.values())
        if self._lease_id and (holds_duty or self._now_s() < self._valid_until_s):
            return
        sent_at_s = self._now_s()
        self._count_call()
        lease = await self._store.grant_lease(LEASE_TTL_S)
        self._lease_id = lease.lease_id
        self._extend_validity(sent_at_s)

    async def _resolve_conflict(self, state: DutyState, current: KeyValue | None) -> int:
        """Return the store revision of the duty's key if the current term wrote the key, else 0."""
        if current is None:
            return 0
        if current.value == self._key_value(state):
            return current.revision
        if current.value.startswith(self._key_value_prefix()):
            # The key is from a released term of this entry. Its deletion may still be in transit,
            # so the key must not be held again under the same revision.
            await self._delete_key(state, current.revision)
        else:
            self.counters.found_held += 1
        return 0

    async def _release(self, state: DutyState) -> None:
        revision, state.revision = state.revision, 0
        state.term_token = self._new_term_token()
        state.next_attempt_at_s = self._now_s() + INITIAL_BACKOFF_S
        await self._delete_key(state, revision)
        self.counters.handed_back += 1

    async def _delete_key(self, state: DutyState, revision: int) -> None:
        self._count_call(state)
        try:
            await self._store.delete(state.duty.store_key, revision)
        except RevisionConflict:
            return

    def _key_value(self, state: DutyState) -> bytes:
        """Return the value of the duty's key.

        The lease id in the value distinguishes the incarnations of this entry.
        """
        return self._key_value_prefix() + state.term_token.encode()

    def _key_value_prefix(self) -> bytes:
        return f"{self._local.entry_id}/{self._lease_id}/".encode()

    def _new_term_token(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    def _drop_lapsed(self) -> None:
        self._lease_id = 0
        self._valid_until_s = float("-inf")
        for state in self._states.values():
            self.counters.lapsed += state.revision > 0
            state.revision = 0
            state.term_token = self._new_term_token()

    def _count_call(self, state: DutyState | None = None) -> None:
        self.counters.store_calls += 1
        if state is not None:
            state.store_calls += 1

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()
