"""Reports how many requests of each client account started to run in each usage window.

The duty holder is the daemon that does the tasks of the whole deployment under a lease.

All duty holders that report a window report equal counts. A window is pinned before it is reported:
its final counts are written to the store, on the condition that the writer still holds the duty,
beside those of the windows whose reports still wait. A later duty holder repeats exactly these
counts and continues with the next window. Where a restore
of the store may have lost a pin, :mod:`godwitpath.gateway.usage_progress` decides what may still be
reported. The counts of open windows, which were not pinned yet, are also written to the store every
second (:mod:`godwitpath.gateway.usage_open`); a write of them that waits delays no report.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from godwitpath.gateway.cloud import Cloud, FencingToken
from godwitpath.gateway.holder import HOLDER_KEY, DutyHolder, boot_time_s
from godwitpath.gateway.settings import Bounds
from godwitpath.gateway.store import (
    Item,
    ItemUnreadable,
    Precondition,
    Put,
    Store,
    TxnConflict,
    era_of,
)
from godwitpath.gateway.usage import UsageCounter
from godwitpath.gateway.usage_open import OpenCounts
from godwitpath.gateway.usage_progress import Progress, resume
from godwitpath.gateway.usage_reports import PinnedReports, pause_before_retry
from godwitpath.gateway.usage_store import (
    OPEN_KEY,
    PIN_KEY,
    TERM_KEY,
    USAGE_PREFIX,
    CountsByIncarnation,
    PinnedWindow,
    TermState,
    pin_condition,
    read_stored,
)
from godwitpath.ports.kv import StoreError, StoreRefused, StoreUncertain
from godwitpath.telemetry.decisions import decision

OPEN_WRITE_INTERVAL_S = 1.0
"""Interval between two writes of the counts of open windows: if all daemons fail, the usage of this
time is lost."""

TERM_WRITE_INTERVAL_S = 1.0
"""Interval between two attempts to state the term in the store."""

WINDOW_SETTLE_S = 3.0
"""Time after a window's end until the window's counts are complete: requests are counted when their
response arrives, and the other daemons receive the counts within two reports."""

POLL_INTERVAL_S = 0.25
"""Interval at which a daemon checks whether it holds the duty and a window is due."""

UNREADABLE = "unreadable"
"""Reason for which windows are left out: the store returned a pin or a statement unreadable."""


class UsageDuty:
    """Reports usage while this daemon holds the duty.

    :param counts: returns the request counts of all daemons, as far as this daemon received them
    """

    def __init__(
        self,
        store: Store,
        cloud: Cloud,
        holder: DutyHolder,
        usage: UsageCounter,
        bounds: Bounds,
        counts: Callable[[], CountsByIncarnation],
    ) -> None:
        self._store = store
        self._holder = holder
        self._usage = usage
        self._bounds = bounds
        self._open_counts = OpenCounts(counts)
        self._reports = PinnedReports(cloud, holder)
        self._term_sent_at_s = -math.inf
        self._following_window = 0
        self._loaded_token_number = 0
        self._reload = False
        # Whether the store holds all that is known about pinned windows, and whether it holds the
        # token of the current term, which says so to later holders.
        self._state_stored = False
        self._term_stored = False
        # Boot time at which the term began whose holder does not know what was pinned before.
        self._uncertain_until_s: float | None = None
        # Whether a write of a pin may have been applied, or may still be.
        self._pin_in_doubt = False
        # Condition of the next pin, which that pin ends.
        self._pin_condition = Precondition(PIN_KEY, 0)
        self._uncertain_reason = ""
        self._pinned: PinnedWindow | None = None

    async def run(self) -> None:
        """Report usage while this daemon holds the duty, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._report_loop(group))
            group.create_task(self._store_loop())

    async def _report_loop(self, group: asyncio.TaskGroup) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            fencing_token = self._holder.fencing_token()
            if fencing_token is None:
                continue
            started_at_s = asyncio.get_running_loop().time()
            try:
                await self._prepare_term(fencing_token)
                self._reports.start(fencing_token.number, group)
                await self._pin_due_windows(fencing_token)
                self._reports.start(fencing_token.number, group)
            except TxnConflict:
                # Another holder has pinned a window, so read the stored state again.
                self._reload = True
            except StoreError as error:
                decision("usage_delayed", fence=fencing_token.number, reason=str(error))
                await pause_before_retry(started_at_s)

    async def _store_loop(self) -> None:
        """Write the request counts of the open windows to the store, until cancelled."""
        while True:
            await asyncio.sleep(OPEN_WRITE_INTERVAL_S)
            fencing_token = self._holder.fencing_token()
            if fencing_token is None or fencing_token.number != self._loaded_token_number:
                continue
            puts = [Put(OPEN_KEY, self._open_counts.encode(self._following_window))]
            try:
                await self._transact(fencing_token, [], puts)
            except StoreError as error:
                decision("usage_not_stored", fence=fencing_token.number, reason=str(error))

    async def _prepare_term(self, fencing_token: FencingToken) -> None:
        """Learn at a term's start how far the reports are, and state it in the store."""
        if self._loaded_token_number != fencing_token.number or self._reload:
            await self._load_stored_state(fencing_token)
        if self._pinned is not None and not self._state_stored:
            # A restore of the store has lost the pin.
            await self._pin(fencing_token, self._pinned)
        if self._uncertain_until_s is not None and self._holder.settled:
            self._leave_out_until(self._next_window(), self._uncertain_reason, fencing_token)
            self._uncertain_until_s = None
            self._state_stored = True
        stated = self._term_stored or not self._state_stored
        if not stated and boot_time_s() - self._term_sent_at_s >= TERM_WRITE_INTERVAL_S:
            self._term_sent_at_s = boot_time_s()
            await self._state_term(fencing_token)

    async def _pin_due_windows(self, fencing_token: FencingToken) -> None:
        """Pin all windows whose counts are complete and which are not overdue, in one write."""
        first = self._next_window()
        settled_at_s = self._usage.clock.now_s() - WINDOW_SETTLE_S
        last = self._usage.window_at(settled_at_s) - 1
        if last < first or not self._holder.settled:
            return
        waiting = {
            window: dict(counts)
            for window, counts in self._reports.pending.items()
            if window >= self._first_in_time()
        }
        due = {window: self._open_counts.total(window) for window in range(first, last)}
        pinned = PinnedWindow(last, self._open_counts.total(last), {**waiting, **due})
        await self._pin(fencing_token, pinned)
        self._leave_out_until(first, "overdue", fencing_token)
        self._pinned = pinned
        self._following_window = last + 1
        self._reports.replace(pinned.all_counts())

    async def _pin(self, fencing_token: FencingToken, pinned: PinnedWindow) -> None:
        """Write the final counts of a window to the store."""
        term = TermState(fencing_token.number, pinned.window + 1, pin_is_final=True)
        puts = [Put(PIN_KEY, msgspec.json.encode(pinned)), _term_put(term)]
        try:
            revision = await self._transact(fencing_token, [self._pin_condition], puts)
        except StoreUncertain:
            self._pin_in_doubt = True
            raise
        self._pin_condition = Precondition(PIN_KEY, revision)
        self._pin_in_doubt = False
        self._term_stored = self._state_stored = True
        decision(
            "usage_pinned",
            window=pinned.window,
            requests=pinned.counts,
            earlier=pinned.earlier,
            fence=fencing_token.number,
            revision=revision,
        )

    def _leave_out_until(self, window: int, reason: str, fencing_token: FencingToken) -> None:
        """Continue with a window, without those before it that were not reported."""
        if window <= self._following_window:
            return
        if self._following_window or reason == UNREADABLE:
            decision(
                "usage_left_out",
                first=self._following_window or None,
                last=window - 1,
                reason=reason,
                fence=fencing_token.number,
            )
        self._following_window = window

    async def _transact(
        self, fencing_token: FencingToken, conditions: list[Precondition], puts: list[Put]
    ) -> int:
        """Write to the store while this daemon holds the duties; returns the revision."""
        requested_at_s = boot_time_s()
        held = Precondition(HOLDER_KEY, fencing_token.number)
        revision = await self._store.transact([held, *conditions], puts)
        self._holder.confirm(requested_at_s)
        return revision

    async def _load_stored_state(self, fencing_token: FencingToken) -> None:
        """Read what the store holds, and decide from where the reports continue."""
        token = fencing_token.number
        listing = await self._store.list_items(USAGE_PREFIX)
        if era_of(listing.revision) != era_of(token):
            raise StoreRefused("the store was restored since the duties were taken")
        items = {item.key: item for item in listing.items}
        unreadable: dict[str, ItemUnreadable] = {}
        if listing.unreadable_keys or listing.any_key_missing:
            unreadable = await self._look_up_missing(items)
        pin_next_condition = pin_condition(items, unreadable)
        stored = read_stored(items, unreadable)
        progress = resume(stored, token, self._own_progress())
        self._open_counts.merge_stored(stored.open_counts)
        self._pin_condition = pin_next_condition
        self._uncertain_reason = "store restored" if stored.readable else UNREADABLE
        self._state_stored = progress.state_stored
        self._term_stored = self._pin_in_doubt = False
        if progress.pinned != self._pinned:
            pinned = progress.pinned
            self._reports.replace(pinned.all_counts() if pinned is not None else {})
        self._pinned = progress.pinned
        self._following_window = progress.next_window
        self._uncertain_until_s = boot_time_s() if progress.uncertain else None
        self._loaded_token_number = token
        self._reload = False
        decision(
            "usage_state_loaded",
            fence=token,
            written_by=stored.term.token if stored.term is not None else None,
            pinned=stored.pinned.window if stored.pinned is not None else None,
            revision=items[PIN_KEY].revision if PIN_KEY in items else 0,
            next_window=progress.next_window,
            uncertain=progress.uncertain,
        )

    async def _look_up_missing(self, items: dict[str, Item]) -> dict[str, ItemUnreadable]:
        """Read the keys that a listing lacks, since it contains items that cannot be read.

        :returns: why others cannot be read by themselves either, by key
        """
        unreadable = {}
        for key in (PIN_KEY, TERM_KEY, OPEN_KEY):
            try:
                item = None if key in items else await self._store.get(key)
            except ItemUnreadable as error:
                unreadable[key] = error
                continue
            if item is not None:
                items[key] = item
        return unreadable

    def _own_progress(self) -> Progress | None:
        """Return how far this daemon was, None if another one may have pinned or reported since."""
        certain = self._uncertain_until_s is None and not self._pin_in_doubt
        if not certain or not self._holder.continues(self._loaded_token_number):
            return None
        return Progress(self._pinned, self._following_window, self._state_stored)

    async def _state_term(self, fencing_token: FencingToken) -> None:
        """Write to the store how far the reports are, where this holder has pinned nothing yet."""
        pin_is_final = self._pinned is not None
        term = TermState(fencing_token.number, self._following_window, pin_is_final)
        revision = await self._transact(fencing_token, [self._pin_condition], [_term_put(term)])
        if self._pin_condition.key == TERM_KEY:
            self._pin_condition = Precondition(TERM_KEY, revision)
        self._term_stored = True

    def _next_window(self) -> int:
        """Return the number of the window to report next, without windows that are left out."""
        now_s = self._usage.clock.now_s()
        windows = [self._following_window, self._first_in_time()]
        if self._uncertain_until_s is not None:
            # The clock may have been corrected since.
            ended_s = now_s - (boot_time_s() - self._uncertain_until_s)
            windows.append(self._usage.window_at(ended_s))
        return max(windows)

    def _first_in_time(self) -> int:
        """Return the first window that is overdue by less than a window's length, or by nothing."""
        overdue_s = self._bounds.usage_late_s + self._usage.window_s
        return self._usage.window_at(self._usage.clock.now_s() - overdue_s)


def _term_put(term: TermState) -> Put:
    return Put(TERM_KEY, msgspec.json.encode(term))
