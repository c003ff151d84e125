"""Follows a prefix of the store through cuts, lost history and outages."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from godwitpath.gateway.store import Change, HistoryLost, Item, Store
from godwitpath.ports.kv import StoreError
from godwitpath.telemetry.decisions import decision

WATCH_SLACK_S = 1.0
"""Part of the time without disruption after which every bound holds that is left when a watch on a
connection that went silent is given up."""

LAZY_WAIT_S = 20.0
"""Longest wait of a watch whose news are not urgent."""

UNWANTED_STEP_S = 0.1
"""Time between two looks whether a follower that rests is wanted again."""

RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
"""Pauses between tries while the store does not answer."""


class Follower:
    """Keeps a copy of a prefix up to date.

    :param wait_s: longest wait of one watch
    :param wanted: returns whether to go on once the prefix was read
    :param pause_s: returns the pause after changes before the next watch
    :ivar synced_at_s: loop time of the last answer, None before the first
    :ivar synced: set once the prefix was read whole
    :ivar lost_at_s: loop time since which the store has not answered, None while it does
    :ivar regained_at_s: loop time at which the last outage ended
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        on_item: Callable[[Item], None],
        on_removed: Callable[[str, int], None],
        rng: random.Random,
        wait_s: float,
        pause_s: Callable[[], float] = lambda: 0.0,
        wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        self.synced_at_s: float | None = None
        self.synced = asyncio.Event()
        self.lost_at_s: float | None = None
        self.regained_at_s = float("-inf")
        self.revision = 0
        self._store = store
        self._prefix = prefix
        self._on_item = on_item
        self._on_removed = on_removed
        self._rng = rng
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._wanted = wanted
        self._keys: set[str] = set()

    async def run(self) -> None:
        """Follow until cancelled."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._step()
                pause_s = RETRY_MIN_S
            except HistoryLost as error:
                decision("store_history_lost", prefix=self._prefix, reason=str(error))
                self.revision = 0
            except StoreError as error:
                self._note_lost(error)
                await asyncio.sleep(pause_s * (0.75 + 0.5 * self._rng.random()))
                pause_s = min(RETRY_MAX_S, pause_s * 2)

    def silent_s(self, now_s: float) -> float | None:
        """Return the time since the last answer, None before the first."""
        return None if self.synced_at_s is None else now_s - self.synced_at_s

    def skip_to(self, revision: int) -> None:
        """Go on after a revision, whose changes were heard elsewhere."""
        if self.revision:
            self.revision = max(self.revision, revision)

    async def _step(self) -> None:
        if not self.revision:
            listing = await self._store.list_items(self._prefix)
            self._note_answer()
            found = {item.key for item in listing.items}
            for item in listing.items:
                self._on_item(item)
            for key in self._keys - found:
                self._on_removed(key, listing.revision)
            self._keys = found
            self.revision = listing.revision
            self.synced.set()
            return
        if not self._wanted():
            # Another daemon tells of changes meanwhile.
            self.lost_at_s = None
            await asyncio.sleep(UNWANTED_STEP_S)
            return
        changes, revision = await self._store.changes(self._prefix, self.revision, self._wait_s)
        self._note_answer()
        for change in changes:
            self._apply(change)
        self.revision = max(self.revision, revision)
        if changes:
            # Changes that come one after the other are taken together.
            await asyncio.sleep(self._pause_s())

    def _apply(self, change: Change) -> None:
        if change.item is None:
            self._keys.discard(change.key)
            self._on_removed(change.key, change.revision)
        else:
            self._keys.add(change.key)
            self._on_item(change.item)

    def _note_answer(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self.synced_at_s = now_s
        if self.lost_at_s is not None:
            decision("store_regained", prefix=self._prefix, away_s=round(now_s - self.lost_at_s, 3))
            self.lost_at_s = None
            self.regained_at_s = now_s

    def _note_lost(self, error: StoreError) -> None:
        if self.lost_at_s is None:
            self.lost_at_s = asyncio.get_running_loop().time()
            decision("store_lost", prefix=self._prefix, reason=str(error))
