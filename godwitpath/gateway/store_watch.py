"""Watches a prefix of the store and recovers from lost connections, lost history and outages."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

from godwitpath.gateway.store import Change, HistoryLost, Item, ItemUnreadable, Store, era_of
from godwitpath.ports.kv import StoreError
from godwitpath.telemetry.decisions import decision

BACKGROUND_WAIT_S = 20.0
"""Longest wait of a watch request for changes that are not urgent."""

CONFIRM_WAIT_S = 0.05
"""Wait of the first watch request after a pause or a failure: its response confirms what the daemon
knows, or brings what it missed."""

IDLE_POLL_S = 0.1
"""Interval at which a paused watcher checks whether it should watch again."""

RETRY_MIN_S = 0.1
"""Shortest backoff while the store does not respond."""

RETRY_MAX_S = 0.8
"""Longest backoff while the store does not respond."""

MIN_WATCH_INTERVAL_S = 0.02
"""Shortest interval between two watch requests, for a store that always has changes."""

MAX_KEYS = 20_000
"""Maximum number of keys that are known of a prefix, many times those of the largest fleets."""

MAX_KNOWN_BYTES = 33_554_432
"""Maximum size of their values."""

REPEATED_LOSS_S = 2.0
"""Time after a loss of history within which another one makes the watcher pause."""


class StoreWatcher:
    """Lists a prefix, then watches it and reports each change to callbacks.

    :param on_item: called with each item that was listed or written
    :param on_removed: called with each removed key and the revision of its removal
    :param on_unreadable: called with each key that exists and whose item cannot be read
    :param wait_s: longest wait of one watch request
    :param should_watch: returns whether to watch after the prefix was listed; otherwise peers send
        the changes
    :param pause_s: returns the pause after changes before the next watch request
    :ivar last_response_at_s: loop time of the store's last response, None before the first: what
        the watcher knows was the newest at that time
    :ivar synced: set once the whole prefix was listed
    :ivar outage_since_s: loop time at which the current outage began, None while the store responds
    :ivar recovered_at_s: loop time at which the last outage ended
    :ivar revision: store revision from which the watch continues, 0 before a listing
    :ivar unreadable_keys: keys that exist and whose items cannot be read
    :ivar stated_era: latest era that any call has learned of since the first one, 0 before: the
        prefix may not have been listed in it yet
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
        should_watch: Callable[[], bool] = lambda: True,
        on_unreadable: Callable[[str], None] = lambda key: None,
    ) -> None:
        self.last_response_at_s: float | None = None
        self.synced = asyncio.Event()
        self.outage_since_s: float | None = None
        self.recovered_at_s = float("-inf")
        self.revision = 0
        self.unreadable_keys: set[str] = set()
        self.stated_era = 0
        self._store = store
        self._prefix = prefix
        self._on_item = on_item
        self._on_removed = on_removed
        self._rng = rng
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._should_watch = should_watch
        self._on_unreadable = on_unreadable
        # Size of the value of each known key.
        self._keys: dict[str, int] = {}
        self._known_bytes = 0
        # Whether the last watch request was answered, so that the next one may wait for changes.
        self._confirmed = False
        # Era of the last revision, which is kept while the prefix is listed again.
        self._era = 0
        # Revision up to which every change was reported, also while the prefix is listed again.
        self._complete_revision = 0
        self._partly_listed = False
        # Ends the watch request that waits, None while none does.
        self._watch_timeout: asyncio.Timeout | None = None
        self._watch_began_at_s = math.inf
        self._hastened = False
        # Loop time of the last loss of history, and the pause after another one soon.
        self._lost_at_s = -math.inf
        self._loss_pause_s = 0.0
        store.on_restored(self._end_watch)

    async def run(self) -> None:
        """List and watch the prefix until cancelled."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._list_or_watch()
                pause_s = RETRY_MIN_S
            except HistoryLost as error:
                decision("store_history_lost", prefix=self._prefix, reason=str(error))
                self.revision = 0
                await asyncio.sleep(self._pause_after_loss_s())
            except StoreError as error:
                self._confirmed = False
                self._note_outage(error)
                await asyncio.sleep(pause_s * (0.75 + 0.5 * self._rng.random()))
                pause_s = min(RETRY_MAX_S, pause_s * 2)

    @property
    def era(self) -> int:
        """Era of the last listing, 0 before the first: the store's era is not an older one."""
        return self._era

    @property
    def current_at_s(self) -> float:
        """Loop time at which what the watcher knows was the newest, minus infinity before that."""
        return -math.inf if self.last_response_at_s is None else self.last_response_at_s

    def since_response_s(self, now_s: float) -> float | None:
        """Return the time since the store's last response, None before the first."""
        return None if self.last_response_at_s is None else now_s - self.last_response_at_s

    def limit_while_listing(self, revision: int) -> int:
        """Return a revision, or the last one before a listing of which only a part is reported.

        Some of the keys that the listing lacks may still have to be read by themselves.
        """
        return min(revision, self._complete_revision) if self._partly_listed else revision

    def skip_to_revision(self, revision: int) -> None:
        """Skip changes up to a revision, because a peer has already sent them."""
        if self.revision:
            self.revision = max(self.revision, revision)

    def revision_before(self, removal_revision: int) -> int:
        """Return the store revision before a removal that is being reported.

        A listing does not say when between its revision and the last one the removal was.
        """
        return removal_revision - 1 if self.revision else self._complete_revision

    def note_key(self, key: str) -> None:
        """Note a key that did not come from the store, so that a listing without it removes it."""
        self._keys.setdefault(key, 0)

    def hasten(self, waited_s: float) -> bool:
        """Ask anew what has changed if a watch request has waited for a time.

        For a caller who knows of a change that the request has not brought: its connection may be
        silent.

        :returns: whether the request is ended
        """
        now_s = asyncio.get_running_loop().time()
        if self._watch_timeout is None or now_s - self._watch_began_at_s < waited_s:
            return False
        self._hastened = True
        self._watch_timeout.reschedule(now_s)
        self._watch_timeout = None
        return True

    async def read_again(self, key: str) -> ItemUnreadable | None:
        """Read one of :attr:`unreadable_keys`; returns why it still cannot be read.

        It may be read again without a change that a watch would deliver.
        """
        revision = self._complete_revision
        try:
            item = await self._store.get(key)
        except ItemUnreadable as error:
            return error
        if key in self.unreadable_keys:
            self._apply_read(key, item, revision)
        return None

    async def _list_or_watch(self) -> None:
        if not self.revision:
            await self._list()
            return
        if not self._should_watch():
            # Peers send the changes in the meantime.
            self.outage_since_s = None
            self._confirmed = False
            await asyncio.sleep(IDLE_POLL_S)
            return
        wait_s = self._wait_s if self._confirmed else CONFIRM_WAIT_S
        started_at_s = asyncio.get_running_loop().time()
        answer = await self._watch(wait_s)
        if answer is None:
            self._confirmed = False
            return
        changes, revision = answer
        took_s = asyncio.get_running_loop().time() - started_at_s
        self._confirmed = True
        self._note_response()
        for change in changes:
            if not change.readable:
                await self._look_up(change.key, change.revision)
            elif change.item is None:
                self._apply_removal(change.key, change.revision)
            else:
                self._apply_item(change.item, change.item.revision)
            self._check_known()
        self.revision = self._complete_revision = max(self.revision, revision)
        if changes:
            # Lets further changes accumulate, so that one watch request returns them together.
            await asyncio.sleep(max(self._pause_s(), MIN_WATCH_INTERVAL_S - took_s))
        else:
            # Without changes the store should have waited for them.
            await asyncio.sleep(max(0.0, min(RETRY_MIN_S, wait_s) - took_s))

    def _pause_after_loss_s(self) -> float:
        """Return the pause after a loss of history: none, unless such losses repeat."""
        now_s = asyncio.get_running_loop().time()
        repeated = now_s - self._lost_at_s < REPEATED_LOSS_S
        self._lost_at_s = now_s
        pause_s = self._loss_pause_s if repeated else 0.0
        self._loss_pause_s = min(RETRY_MAX_S, max(RETRY_MIN_S, pause_s * 2))
        return pause_s

    async def _watch(self, wait_s: float) -> tuple[list[Change], int] | None:
        """Wait for changes, at most until another call learns that the store was restored.

        :returns: the changes and their revision, None if the request was ended by :meth:`hasten`
        """
        self._watch_began_at_s = asyncio.get_running_loop().time()
        self._hastened = False
        try:
            async with asyncio.timeout(None) as self._watch_timeout:
                return await self._store.changes(self._prefix, self.revision, wait_s)
        except TimeoutError as error:
            if self._hastened:
                return None
            raise HistoryLost("the store was restored, as another call learned") from error
        finally:
            self._watch_timeout = None

    def _end_watch(self, era: int) -> None:
        """End the watch request that waits, since it may never hear of the store's later era."""
        self.stated_era = era
        self._hastened = False
        if self._watch_timeout is not None and era > era_of(self.revision):
            self._watch_timeout.reschedule(asyncio.get_running_loop().time())
            self._watch_timeout = None

    async def _list(self) -> None:
        listing = await self._store.list_items(self._prefix)
        self._note_response()
        self._note_era(listing.revision)
        self._partly_listed = True
        listed_keys = {item.key for item in listing.items} | listing.unreadable_keys
        for item in listing.items:
            self._apply_item(item, listing.revision)
        for key in listing.unreadable_keys:
            self._note_unreadable(key)
        for key in self._keys.keys() - listed_keys:
            if listing.any_key_missing:
                await self._look_up(key, listing.revision)
            else:
                self._apply_removal(key, listing.revision)
        self.revision = self._complete_revision = listing.revision
        self._partly_listed = False
        self.synced.set()

    async def _look_up(self, key: str, revision: int) -> None:
        """Read a key by itself, of which listing or changes do not say whether it was removed.

        :param revision: store revision of the listing or the changes
        """
        try:
            item = await self._store.get(key)
        except ItemUnreadable:
            self._note_unreadable(key)
            return
        self._apply_read(key, item, revision)

    def _apply_read(self, key: str, item: Item | None, revision: int) -> None:
        if item is None:
            self._apply_removal(key, revision)
        else:
            self._apply_item(item, revision)

    def _apply_item(self, item: Item, revision: int) -> None:
        self._known_bytes += len(item.value) - self._keys.get(item.key, 0)
        self._keys[item.key] = len(item.value)
        self.unreadable_keys.discard(item.key)
        # A later page, or a key that is read by itself, may be newer than the listing or the
        # changes. The watch, which goes on at their revision, repeats all changes since.
        if item.revision <= revision:
            self._on_item(item)

    def _check_known(self) -> None:
        """List the prefix again if the changes say that more is in it than a listing may have."""
        if len(self._keys) > MAX_KEYS:
            raise HistoryLost(f"more than {MAX_KEYS} keys: {len(self._keys)}")
        if self._known_bytes > MAX_KNOWN_BYTES:
            raise HistoryLost(f"values of more than {MAX_KNOWN_BYTES} bytes: {self._known_bytes}")

    def _apply_removal(self, key: str, revision: int) -> None:
        self._known_bytes -= self._keys.pop(key, 0)
        self.unreadable_keys.discard(key)
        self._on_removed(key, revision)

    def _note_unreadable(self, key: str) -> None:
        self._keys.setdefault(key, 0)
        self.unreadable_keys.add(key)
        self._on_unreadable(key)

    def _note_era(self, revision: int) -> None:
        """Treat a restore of the store as the end of an outage: entries may be missing."""
        if self.synced.is_set() and era_of(revision) > self._era:
            self.recovered_at_s = asyncio.get_running_loop().time()
        self._era = era_of(revision)

    def _note_response(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self.last_response_at_s = now_s
        if self.outage_since_s is not None:
            decision(
                "store_regained", prefix=self._prefix, away_s=round(now_s - self.outage_since_s, 3)
            )
            self.outage_since_s = None
            self.recovered_at_s = now_s

    def _note_outage(self, error: StoreError) -> None:
        if self.outage_since_s is None:
            self.outage_since_s = asyncio.get_running_loop().time()
            decision("store_lost", prefix=self._prefix, reason=str(error))
