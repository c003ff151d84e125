"""Acquires and holds the deployment's duties: one daemon at a time, under one lease of the store.

Duties are the tasks that one daemon does for the whole deployment: ordering engines and reporting
usage. A term is the time from one acquisition of the duties to their release or loss. The fencing
token is the store revision of the write that acquired the duties, so it is unique to each term.

The duty holder counts the lease time from before it sends a renewal, on a clock that continues
while the machine is suspended, and stops by itself when that time has passed.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import msgspec

from godwitpath.gateway.call_spacing import CallSpacing
from godwitpath.gateway.cloud import FencingToken
from godwitpath.gateway.holder_entry import HOLDER_KEY, HolderEntry, decode_holder
from godwitpath.gateway.members import Members
from godwitpath.gateway.settings import Bounds
from godwitpath.gateway.store import Item, Precondition, Put, Store, TxnConflict, era_of
from godwitpath.gateway.unreadable_holder import UnreadableHolder
from godwitpath.gateway.usage_progress import TERM_SETTLE_SHARE
from godwitpath.ports.kv import LeaseLapsed, StoreError, StoreUncertain
from godwitpath.telemetry.decisions import decision

LEASE_FACTOR = 2.0
"""Time to live of the lease as a multiple of the deployment's lease time, so that the duty holder
keeps the duties during a short outage of the store. Where the platform itself checks the fencing
token, a duty holder that stops sending reports is replaced earlier."""

HOLDER_TIMEOUT_S = 1.0
"""Time without a report of the duty holder after which another daemon replaces it: two and a half
report intervals."""

LEASE_MARGIN_S = 0.5
"""Time before the lease's end at which the duty holder stops acting, so that its calls to the
platform arrive before the lease ends."""

RENEWALS_PER_LEASE = 5
"""Number of renewals that the duty holder sends in one time to live of its lease."""

RETRY_S = 0.25
"""Time after which a failed call to the store is repeated."""

POLL_S = 0.3
"""Longest time between two checks of the duty holder and of this daemon's lease."""


def boot_time_s() -> float:
    """Return the seconds since the machine booted, including the time it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DutyHolder:
    """Acquires the duties when no daemon holds them, or when the duty holder sends no reports.

    :param bounds: bounds of the deployment; its lease time is also the shortest pause between two
        terms of this daemon
    :param report_age_s: returns the seconds since the last report of a daemon's incarnation, None
        if it has sent no report
    """

    def __init__(
        self,
        store: Store,
        members: Members,
        name: str,
        bounds: Bounds,
        rng: random.Random,
        report_age_s: Callable[[str, int], float | None],
    ) -> None:
        self._store = store
        self._members = members
        self._name = name
        self._lease_s = bounds.lease_s * LEASE_FACTOR
        self._cooldown_s = bounds.lease_s + LEASE_MARGIN_S
        self._call_spacing = CallSpacing(self._cooldown_s)
        self._no_report_timeout_s = bounds.lease_s
        self._unreadable = UnreadableHolder(self._lease_s + LEASE_MARGIN_S)
        self._term_settle_s = bounds.usage_late_s * TERM_SETTLE_SHARE
        self._replacement_allowed = bounds.fencing_checked
        self._report_age_s = report_age_s
        self._rng = rng
        self._lease_id = 0
        self._token = 0
        self._valid_until_s = 0.0
        self._lost_at_s = float("-inf")
        self._released = False
        # Fencing token of this daemon's last term.
        self._last_token = 0
        # Whether another daemon has taken the duties since this daemon's last term.
        self._replaced = False
        # Whether the lease of this daemon's last term was still valid when the term ended.
        self._lease_was_valid = False
        # Newest era of the store, 0 where it states none, and the boot time at which it was seen.
        self._seen_era = 0
        self._restored_at_s = float("-inf")
        # Fencing tokens of the terms before that the current one continues.
        self._continued_tokens: set[int] = set()
        self._term_started_at_s = 0.0
        # Boot time from which this daemon acts in the current term.
        self._acts_from_s = 0.0
        # Boot time of the last write that proved a settled term of this daemon.
        self._confirmed_at_s = float("-inf")
        self._members_changed = members.changed_event()
        self._seen_holder_revision = 0
        self._holder_first_seen_at_s = 0.0

    def continues(self, token: int) -> bool:
        """Return whether this daemon's term with a fencing token goes on.

        It does in the current term, and in one before if no other daemon can have pinned a usage
        window since.
        """
        return token == self._token or token in self._continued_tokens

    @property
    def settled(self) -> bool:
        """Whether the current term may pin usage windows, see :data:`TERM_SETTLE_SHARE`.

        A term that continues one before may at once.
        """
        return self._is_settled_at(boot_time_s())

    @property
    def store_era(self) -> int | None:
        """Era of the store as far as this daemon has seen it, None before the first listing."""
        revision = self._members.watcher.revision
        return era_of(revision) if revision else None

    def confirm(self, requested_at_s: float) -> None:
        """Note that the store applied a write on the condition that this daemon holds the duties.

        :param requested_at_s: boot time at which the write was sent
        """
        if self._is_settled_at(requested_at_s):
            self._confirmed_at_s = requested_at_s

    def fencing_token(self) -> FencingToken | None:
        """Return the fencing token, None while this daemon does not hold the duties.

        A duty calls it before each write to the store, because the lease may have ended in the
        meantime. For a call to the platform it uses :meth:`begin_call`.
        """
        now_s = boot_time_s()
        if (
            not self._token
            or self._released
            or not self._acts_from_s <= now_s < self._valid_until_s
        ):
            return None
        number = self._token
        return FencingToken(self._name, number, lambda: self._holds(number))

    @property
    def may_call(self) -> bool:
        """Whether this daemon holds the duties and may call the platform now."""
        held = self.fencing_token() is not None
        return held and not self._call_spacing.wait_s(self._token, boot_time_s())

    def begin_call(self) -> FencingToken | None:
        """Return the fencing token for a call to the platform that is made at once.

        None while this daemon may not call, see :attr:`may_call`.
        """
        if not self.may_call:
            return None
        self._call_spacing.note_call(self._token, boot_time_s())
        return self.fencing_token()

    def _is_settled_at(self, at_s: float) -> bool:
        term_age_s = at_s - self._term_started_at_s
        return bool(self._continued_tokens) or term_age_s >= self._term_settle_s

    def _holds(self, number: int) -> bool:
        """Return whether this daemon still holds the duties under a fencing token's number."""
        may_act = self._acts_from_s <= boot_time_s() < self._valid_until_s
        return number == self._token and not self._released and may_act

    async def run(self) -> None:
        """Acquire the duties and renew their lease, until cancelled."""
        while True:
            try:
                await self._acquire_or_renew()
            except LeaseLapsed:
                self._drop_duties("lease lapsed")
            except StoreError as error:
                if self._token and boot_time_s() >= self._valid_until_s:
                    self._drop_duties(f"lease not renewed: {error}")
                await asyncio.sleep(RETRY_S)
            await self._pause()

    async def release(self) -> None:
        """Release the duties, so that another daemon need not wait for the lease to end."""
        self._released = True
        lease_id, self._lease_id = self._lease_id, 0
        token, self._token = self._token, 0
        if not lease_id or not token:
            return
        try:
            await self._store.end_lease(lease_id)
        except StoreError as error:
            decision("duty_leave_failed", fence=token, reason=str(error))
            return
        decision("duty_left", fence=token)

    def mark_fenced_off(self) -> None:
        """Drop the duties after the platform has seen a later fencing token."""
        self._drop_duties("a later holder has acted")
        self._replaced = True

    async def _pause(self) -> None:
        self._members_changed.clear()
        try:
            async with asyncio.timeout(POLL_S):
                await self._members_changed.wait()
        except TimeoutError:
            pass

    async def _acquire_or_renew(self) -> None:
        if self._released:
            return
        if self._token:
            await self._renew()
        if self._token or self._members.watcher.last_response_at_s is None:
            return
        if HOLDER_KEY in self._members.watcher.unreadable_keys:
            await self._replace_unreadable()
            return
        holder = self._members.items.get(HOLDER_KEY)
        if holder is not None and not self._is_own(holder):
            self._replaced = True
        if self._may_retake(holder):
            await self._acquire(holder.revision if holder else 0)
            return
        if self._lost_holder_may_act() or boot_time_s() - self._lost_at_s < self._cooldown_s:
            return
        if holder is None or self._is_own(holder) or self._stopped_reporting(holder):
            await asyncio.sleep(0.2 * self._rng.random())
            if self._members.items.get(HOLDER_KEY) == holder and not self._released:
                await self._acquire(holder.revision if holder else 0)

    async def _replace_unreadable(self) -> None:
        """Replace a key that the store returns unreadable, if no daemon can hold the duties by it.

        A holder that cannot hear of the other writer may act on; only the platform refuses it.
        """
        now_s, watcher = boot_time_s(), self._members.watcher
        cooled_down = now_s - self._lost_at_s >= self._cooldown_s
        if not (self._replacement_allowed and cooled_down and self._unreadable.is_read_due(now_s)):
            return
        error = await watcher.read_again(HOLDER_KEY)
        if error and self._unreadable.note_read(error.revision, error.leased, boot_time_s()):
            await asyncio.sleep(0.2 * self._rng.random())
            if HOLDER_KEY in watcher.unreadable_keys and not self._released:
                await self._acquire(error.revision)

    def _may_retake(self, holder: Item | None) -> bool:
        """Return whether a restore of the store ended this daemon's term, and no other one began.

        Such a daemon need not wait before its next term.
        """
        if self._replaced or not self._last_token or self.store_era is None:
            return False
        restores = self.store_era - era_of(self._last_token)
        if restores < 1 or not (holder is None or self._is_own(holder)):
            return False
        # Otherwise another daemon may hold the duties, and nobody refuses its calls.
        return self._replacement_allowed or (restores == 1 and self._lease_was_valid)

    def _lost_holder_may_act(self) -> bool:
        """Return whether a holder may act of which a restore of the store has lost the key.

        It acts until its lease would have ended, unless the platform refuses its calls. A daemon
        that starts does not know when the last restore was, so it may have been just now.
        """
        if self._replacement_allowed:
            return False
        era = self.store_era
        if era is None:
            return True
        if era > self._seen_era:
            self._restored_at_s = boot_time_s()
        self._seen_era = era
        return boot_time_s() - self._restored_at_s < self._lease_s

    def _is_own(self, holder: Item) -> bool:
        """Return whether the duty holder's key is of this incarnation of this daemon.

        While it does not hold the duties the key is of an earlier term: a restored store may list
        it, or a write of it was carried out late.
        """
        entry = decode_holder(holder)
        own = (self._name, self._members.incarnation)
        return entry is not None and (entry.name, entry.incarnation) == own

    def _stopped_reporting(self, holder: Item) -> bool:
        """Return whether the duty holder has sent no report for long enough to be replaced.

        The time counts at the earliest from when this daemon learned of the duty holder: the first
        report of a new holder may arrive later than the change of the holder's key, and the reports
        of a replacement would be just as late.
        """
        if not self._replacement_allowed:
            return False
        entry = decode_holder(holder)
        if holder.revision != self._seen_holder_revision:
            self._seen_holder_revision = holder.revision
            self._holder_first_seen_at_s = boot_time_s()
            if entry is None:
                decision("duty_holder_unreadable", revision=holder.revision)
        holder_age_s = boot_time_s() - self._holder_first_seen_at_s
        # An entry that cannot be decoded is of a holder that never reports.
        report_age_s = self._report_age_s(entry.name, entry.incarnation) if entry else None
        if report_age_s is None:
            return holder_age_s >= self._no_report_timeout_s
        return min(report_age_s, holder_age_s) >= HOLDER_TIMEOUT_S

    async def _renew(self) -> None:
        now_s = boot_time_s()
        holder = self._members.items.get(HOLDER_KEY)
        if holder is None or holder.revision > self._token:
            if holder is not None and not self._is_own(holder):
                self._drop_duties("replaced")
            else:
                self._drop_duties("the store lost the holder's key")
            return
        renewed_at_s = self._valid_until_s + LEASE_MARGIN_S - self._lease_s
        if now_s < renewed_at_s + self._lease_s / RENEWALS_PER_LEASE:
            return
        if HOLDER_KEY in self._members.watcher.unreadable_keys:
            error = await self._members.watcher.read_again(HOLDER_KEY)
            if error is not None and error.revision not in (0, self._token):
                self._drop_duties("another writer replaced the holder's key")
                return
        await self._store.renew(self._lease_id)
        if self._members.watcher.stated_era > era_of(self._token):
            # Others count the time for which a lost holder may act from the restore.
            self._drop_duties("the store was restored")
            return
        self._valid_until_s = now_s + self._lease_s - LEASE_MARGIN_S

    async def _acquire(self, previous_revision: int) -> None:
        """Acquire the duties, unless another daemon acquires them first.

        :param previous_revision: revision of the holder's key to replace, 0 if there is none
        """
        requested_at_s, era_before = boot_time_s(), self.store_era
        lease_id = await self._store.grant(self._lease_s)
        nonce = self._rng.getrandbits(63)
        entry = HolderEntry(self._name, self._members.incarnation, nonce)
        value = msgspec.json.encode(entry)
        condition = Precondition(HOLDER_KEY, previous_revision)
        try:
            token = await self._store.transact([condition], [Put(HOLDER_KEY, value, lease_id)])
        except TxnConflict:
            return
        except StoreUncertain:
            found = await self._store.get(HOLDER_KEY)
            if found is None or found.value != value:
                return
            token = found.revision
        now_s = boot_time_s()
        if now_s - self._confirmed_at_s < self._term_settle_s:
            self._continued_tokens.add(self._last_token)
        else:
            self._continued_tokens.clear()
        self._term_started_at_s = now_s
        self._acts_from_s = now_s
        if not self._replacement_allowed and era_of(token) != era_before:
            # A restore since this daemon looked for a holder may have lost that holder's key.
            self._acts_from_s += self._lease_s
        self._replaced = False
        self._lease_id = lease_id
        self._token = self._last_token = token
        self._valid_until_s = requested_at_s + self._lease_s - LEASE_MARGIN_S
        self._members.note_written(Item(HOLDER_KEY, value, token, token, lease_id))
        decision(
            "duty_taken",
            fence=token,
            replaced=previous_revision != 0,
            continues=sorted(self._continued_tokens),
            calls_wait_s=round(self._call_spacing.wait_s(token, now_s), 3),
            acts_in_s=round(self._acts_from_s - now_s, 3),
        )

    def _drop_duties(self, reason: str) -> None:
        if self._token:
            decision("duty_lost", fence=self._token, reason=reason)
            self._lost_at_s = boot_time_s()
            self._lease_was_valid = self._lost_at_s < self._valid_until_s
        self._token = 0
        self._lease_id = 0
