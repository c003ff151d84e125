"""Reports the usage of each window, once and with one count whoever reports it.

A window's counts are written to the store before they are reported, under the condition that the
writer still holds the duty. A successor repeats exactly those, and goes on with the next window.
The counts of windows that are still open are kept in the store too, each second, so that they
outlive all daemons.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import msgspec

from godwitpath.gateway.cloud import Cloud, CloudRefused, CloudUncertain, DutyProof, FencedOff
from godwitpath.gateway.holder import HOLDER_KEY, DutyHolder
from godwitpath.gateway.settings import Bounds
from godwitpath.gateway.store import Precondition, Put, Store, TxnConflict
from godwitpath.gateway.usage import UsageBook
from godwitpath.ports.kv import StoreError
from godwitpath.telemetry.decisions import decision

PIN_KEY = "usage-report/last"
"""Not under the prefix that all daemons follow: nobody needs to hear of each report."""

OPEN_KEY = "usage-report/open"

OPEN_S = 1.0
"""Time between two writes of the counts of open windows: what a loss of all daemons costs."""

SETTLE_S = 3.0
"""Time after a window's end when its counts are complete: requests are counted when their answer
comes, and daemons tell one another of them within two reports."""

STEP_S = 0.25
RETRY_S = 0.5


class PinnedWindow(msgspec.Struct):
    """A window whose counts will not change any more."""

    window: int
    counts: dict[str, int]


CountsByStart = dict[str, dict[int, dict[str, int]]]
"""Counts by start of a daemon, window and account."""


class UsageDuty:
    """The duty of reporting usage.

    :param counts: returns the counts of all daemons as this one has them
    :ivar reported: windows that were reported
    """

    def __init__(
        self,
        store: Store,
        cloud: Cloud,
        holder: DutyHolder,
        book: UsageBook,
        bounds: Bounds,
        counts: Callable[[], CountsByStart],
    ) -> None:
        self.reported = 0
        self._store = store
        self._cloud = cloud
        self._holder = holder
        self._book = book
        self._bounds = bounds
        self._counts = counts
        self._kept: CountsByStart = {}
        self._kept_at_s = 0.0
        self._first_window = book.window_at(book.clock.now_s())
        self._token = 0
        self._pin_revision = 0
        self._pinned: PinnedWindow | None = None
        self._pin_reported = False

    async def run(self) -> None:
        """Report while this daemon holds the duty, until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            proof = self._holder.proof()
            if proof is None:
                continue
            try:
                await self._step(proof)
            except FencedOff as error:
                decision("usage_fenced_off", fence=proof.token, reason=str(error))
                self._holder.fenced_off()
            except TxnConflict:
                # Another holder has pinned a window: read again what is pinned.
                self._token = 0
            except (CloudRefused, CloudUncertain, StoreError) as error:
                decision("usage_delayed", fence=proof.token, reason=str(error))
                await asyncio.sleep(RETRY_S)

    async def _step(self, proof: DutyProof) -> None:
        if self._token != proof.token:
            await self._take_up()
            self._token = proof.token
        if self._pinned is not None and not self._pin_reported:
            await self._report(self._pinned)
        now_s = self._book.clock.now_s()
        if now_s - self._kept_at_s >= OPEN_S:
            self._kept_at_s = now_s
            await self._keep_open(proof)
        window = self._next_window()
        if (window + 1) * self._book.window_s + SETTLE_S > now_s:
            return
        pinned = PinnedWindow(window, self._total(window))
        revision = await self._store.transact(
            [Precondition(HOLDER_KEY, proof.token), Precondition(PIN_KEY, self._pin_revision)],
            [Put(PIN_KEY, msgspec.json.encode(pinned))],
        )
        self._pin_revision = revision
        self._pinned = pinned
        self._pin_reported = False
        await self._report(pinned)

    async def _take_up(self) -> None:
        """Read what the holder before pinned; it may not have been reported."""
        found = await self._store.get(PIN_KEY)
        self._pin_revision = found.revision if found else 0
        self._pinned = msgspec.json.decode(found.value, type=PinnedWindow) if found else None
        self._pin_reported = False
        kept = await self._store.get(OPEN_KEY)
        if kept is not None:
            self._kept = msgspec.msgpack.decode(kept.value, type=CountsByStart)
            open_windows = [window for windows in self._kept.values() for window in windows]
            self._first_window = min([self._first_window, *open_windows])

    async def _keep_open(self, proof: DutyProof) -> None:
        """Write the counts of the windows that were not reported yet."""
        first = self._next_window()
        for start, windows in self._counts().items():
            kept = self._kept.setdefault(start, {})
            for window, counts in windows.items():
                if sum(counts.values()) >= sum(kept.get(window, {}).values()):
                    kept[window] = dict(counts)
        for start, windows in list(self._kept.items()):
            self._kept[start] = {key: value for key, value in windows.items() if key >= first}
            if not self._kept[start]:
                del self._kept[start]
        await self._store.transact(
            [Precondition(HOLDER_KEY, proof.token)],
            [Put(OPEN_KEY, msgspec.msgpack.encode(self._kept))],
        )

    async def _report(self, pinned: PinnedWindow) -> None:
        proof = self._holder.proof()
        if proof is None or proof.token != self._token:
            return
        await self._cloud.report_usage(proof, pinned.window, pinned.counts)
        self._pin_reported = True
        self.reported += 1
        decision("usage_reported", window=pinned.window, requests=pinned.counts, fence=proof.token)

    def _next_window(self) -> int:
        """Return the window to report next; one whose report is long overdue is left out."""
        overdue_s = self._bounds.usage_late_s + self._book.window_s
        oldest = self._book.window_at(self._book.clock.now_s() - overdue_s)
        after = self._pinned.window + 1 if self._pinned is not None else self._first_window
        return max(oldest, after)

    def _total(self, window: int) -> dict[str, int]:
        """Return the sum over all starts of daemons: of each the larger of heard and kept."""
        heard = self._counts()
        total: Counter[str] = Counter()
        for start in heard.keys() | self._kept.keys():
            one = heard.get(start, {}).get(window, {})
            other = self._kept.get(start, {}).get(window, {})
            total.update(max(one, other, key=lambda counts: sum(counts.values())))
        return dict(total)
