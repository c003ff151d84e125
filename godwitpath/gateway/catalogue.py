"""Keeps a daemon's configuration and list of engines up to date with the store."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from godwitpath.errors import GodwitpathError
from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.engines import EngineEntry, EngineRegistry, EngineState
from godwitpath.gateway.entry_reader import EntryReader, StoreSchema
from godwitpath.gateway.in_force import ConfigurationInForce
from godwitpath.gateway.left_engines import LeftEngines, RestoredEntry
from godwitpath.gateway.state_ages import StateAges
from godwitpath.gateway.store import Item, Store, era_of
from godwitpath.gateway.store_watch import StoreWatcher
from godwitpath.gateway.unreadable import UnreadableValues
from godwitpath.telemetry.decisions import decision

WATCH_WAIT_SHARE = 0.25
"""Longest wait of a watch request as a share of the time within which changes must be known. A
connection that has fallen silent is noticed after the wait, and half of the time is left then."""

FRESH_SHARE = 0.5
"""Share of that time without a response to its watch requests after which a daemon no longer counts
as watching the store."""

REAPPEAR_GRACE_S = 2.2
"""Time after a store outage within which engines register again whose entries lapsed during the
outage: the platform states about two seconds."""

LOAD_CONDITION_S = 1.0
"""Longest wait for the conditions under which the loaded state counts as complete."""


@dataclass(slots=True, frozen=True)
class _PendingRemoval:
    """Removal of an engine's entry that is not applied yet: the engine may register again.

    :ivar drop_at_s: loop time at which the engine is dropped if it has not registered again
    :ivar known_revision: store revision at which the entry is known to have existed
    """

    drop_at_s: float
    known_revision: int


class Catalogue:
    """Watches the operator's configuration and the engines' entries in the store.

    :param change_s: time within which changes must be known
    :ivar leaving_listeners: functions that are called with the entry of each engine that starts to
        drain or was removed
    :ivar left: engines that said that they leave, or left
    :ivar load_conditions: events that are awaited before the state counts as loaded
    :ivar loaded: set once the configuration and the engines have been loaded
    :ivar watching: whether this daemon watches the store itself, instead of pulling the
        configuration and the engines from a peer
    :ivar raw_entries: stored values by key of the engines' entries, for peers that cannot reach the
        store
    :ivar entry_reader: decodes these values
    :ivar unreadable_configuration: the configuration, while it cannot be read
    """

    def __init__(
        self,
        store: Store,
        schema: StoreSchema,
        in_force: ConfigurationInForce,
        engines: EngineRegistry,
        rng: random.Random,
        change_s: float,
    ) -> None:
        self.leaving_listeners: list[Callable[[EngineEntry], None]] = []
        self.left = LeftEngines()
        self.load_conditions: list[asyncio.Event] = []
        self._schema = schema
        self._in_force = in_force
        self._engines = engines
        engines.notices.on_leaving = self._on_leave_notice
        self.loaded = asyncio.Event()
        self._configuration_loaded = asyncio.Event()
        self._pending_removals: dict[str, _PendingRemoval] = {}
        self._revision_by_key: dict[str, int] = {}
        # Revisions of the entries that were read from the store and applied, by key.
        self._entry_revisions: dict[str, int] = {}
        self._newest_revision = 0
        self._fresh_s = change_s * FRESH_SHARE
        # Loop times at which peers confirmed that what this daemon holds was the newest.
        self._configuration_confirmed_at_s = -math.inf
        self._engines_confirmed_at_s = -math.inf
        wait_s = change_s * WATCH_WAIT_SHARE
        self.watching = True
        self.raw_entries: dict[str, bytes] = {}
        self.entry_reader = EntryReader(schema)
        self.unreadable_configuration = UnreadableValues("configuration_unreadable")
        self.configuration_watcher = StoreWatcher(
            store,
            schema.configuration_prefix,
            self._on_configuration,
            self._on_configuration_removed,
            rng,
            wait_s,
            should_watch=lambda: self.watching,
        )
        self.entries_watcher = StoreWatcher(
            store,
            schema.engines_prefix,
            self._on_entry,
            self._on_entry_removed,
            rng,
            wait_s,
            should_watch=lambda: self.watching,
            on_unreadable=lambda key: self._drop_key(key, "damaged entry"),
        )

    @property
    def engines_revision(self) -> int:
        """Store revision up to which this daemon has applied every change of the engines' entries.

        A pending removal does not count as applied: a peer that pulled the entries as of the
        revision of the removal would keep the removed engine.
        """
        known_revisions = [removal.known_revision for removal in self._pending_removals.values()]
        newest = self.entries_watcher.limit_while_listing(self._newest_revision)
        return min([newest, *known_revisions])

    @property
    def seen_revision(self) -> int:
        """Store revision up to which this daemon knows every change, pending removals included."""
        return self._newest_revision

    @property
    def is_loaded(self) -> bool:
        """Whether the configuration and the engines have been loaded."""
        return self.loaded.is_set()

    @property
    def fresh(self) -> bool:
        """Whether this daemon has loaded its state, watches the store, and the store responds."""
        now_s = asyncio.get_running_loop().time()
        watchers = (self.entries_watcher, self.configuration_watcher)
        return (
            self.watching
            and self.loaded.is_set()
            and all(each.outage_since_s is None for each in watchers)
            and all(now_s - each.current_at_s <= self._fresh_s for each in watchers)
        )

    def ages(self) -> StateAges:
        """Return the time since the configuration and the engines were known to be the newest."""
        return self.ages_at(asyncio.get_running_loop().time())

    def ages_at(self, now_s: float) -> StateAges:
        """Return the ages at a loop time; callable from other threads."""
        configuration_at_s = max(
            self._configuration_confirmed_at_s, self.configuration_watcher.current_at_s
        )
        engines_at_s = max(self._engines_confirmed_at_s, self.entries_watcher.current_at_s)
        return StateAges(now_s - configuration_at_s, now_s - engines_at_s)

    def confirm_configuration(
        self, revision: int, version: int, age_s: float | None, stated_at_s: float
    ) -> None:
        """Note how recently a peer knew its configuration to be the newest.

        Nothing is noted if this daemon has an older one.

        :param age_s: the age that the peer stated, None if it stated none
        :param stated_at_s: loop time at which the peer stated it, or an earlier one
        """
        if age_s is not None and not self._in_force.is_older_than(revision, version):
            self._configuration_confirmed_at_s = max(
                self._configuration_confirmed_at_s, stated_at_s - age_s
            )

    def confirm_engines(self, revision: int, age_s: float | None, stated_at_s: float) -> None:
        """Note how recently a peer knew its engines' entries to be the newest, likewise."""
        if age_s is not None and revision <= self.engines_revision:
            self._engines_confirmed_at_s = max(self._engines_confirmed_at_s, stated_at_s - age_s)

    async def run(self) -> None:
        """Watch the store until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.configuration_watcher.run())
            group.create_task(self.entries_watcher.run())
            group.create_task(self._drop_expired_removals())
            group.create_task(self._set_loaded())

    async def _set_loaded(self) -> None:
        await self._configuration_loaded.wait()
        await self.entries_watcher.synced.wait()
        try:
            async with asyncio.timeout(LOAD_CONDITION_S):
                for condition in self.load_conditions:
                    await condition.wait()
        except TimeoutError:
            decision("loaded_incompletely", waited_s=LOAD_CONDITION_S)
        self.loaded.set()

    def apply_configuration(self, value: bytes, revision: int, source: str) -> None:
        """Put a configuration in force if it is newer than the current one.

        :param value: the configuration as stored
        :param revision: store revision of the value
        :param source: the store or the name of the peer that sent the configuration, for the log
        """
        if revision == self._in_force.revision:
            return
        try:
            configuration = self._schema.decode_configuration(value, revision)
        except GodwitpathError as error:
            key = self._schema.configuration_key
            self.unreadable_configuration.note(key, str(error), revision=revision, source=source)
            return
        if self._in_force.apply(configuration, value, source):
            self._configuration_loaded.set()
            # A watch that begins later need not list a configuration that a peer has sent.
            self.configuration_watcher.skip_to_revision(revision)

    def apply_entry(self, entry: EngineEntry, source: str) -> None:
        """Add an engine or update its entry."""
        self._pending_removals.pop(entry.engine_id, None)
        self._put_entry(entry, source)

    def _put_entry(self, entry: EngineEntry, source: str) -> None:
        """Add an engine or update its entry; a pending removal stays pending."""
        current = self._engines.get(entry.engine_id)
        state_before = current.entry.state if current is not None else None
        if not self._engines.put(entry):
            return
        # The engine itself may have stated more since its entry was written.
        known = self._engines.get(entry.engine_id)
        entry = entry if known is None else known.entry
        if state_before is not entry.state:
            decision(
                "engine_state",
                engine=entry.engine_id,
                state=entry.state.value,
                service=entry.service,
                zone=entry.zone,
                reclaimable=entry.reclaimable,
                leaves_in_s=entry.leaves_in_s,
                source=source,
            )
        if entry.state is EngineState.DRAINING:
            self.left.note_left(entry.incarnation, era_of(self._newest_revision))
        if entry.state is EngineState.DRAINING and state_before is not EngineState.DRAINING:
            self._notify_leaving(entry)

    def _on_leave_notice(self, incarnation: Incarnation, source: str) -> None:
        engine = self._engines.get(incarnation[0])
        if engine is not None and self._engines.knows(incarnation):
            self._put_entry(engine.entry, source)

    def _drop_key(self, key: str, source: str) -> None:
        self.drop_entry(key.removeprefix(self._schema.engines_prefix), source)

    def drop_entry(self, engine_id: str, source: str) -> None:
        """Remove an engine."""
        self._pending_removals.pop(engine_id, None)
        self.raw_entries.pop(self._schema.engines_prefix + engine_id, None)
        self._entry_revisions.pop(self._schema.engines_prefix + engine_id, None)
        engine = self._engines.remove(engine_id)
        if engine is not None:
            decision("engine_state", engine=engine_id, state="gone", source=source)
            self.left.note_left(engine.entry.incarnation, era_of(self._newest_revision))
            self._notify_leaving(engine.entry)

    def apply_peer_entries(self, entries: Mapping[str, bytes], revision: int, source: str) -> None:
        """Replace the engines' entries by the entries of a peer that can reach the store.

        :param entries: stored values by key of the engines' entries
        :param revision: store revision up to which the peer has applied every change
        """
        self._note_newest(revision)
        self.entry_reader.unreadable.forget_all_but(entries.keys())
        entries = dict(self._without_restored(entries, revision, source))
        for key, value in entries.items():
            entry = self.entry_reader.read(key, value, revision, source)
            if entry is not None:
                self.apply_entry(self.left.as_stated_in_view(entry, revision), source)
            else:
                self._drop_key(key, source)
        for key in self.raw_entries.keys() - entries.keys():
            self._drop_key(key, source)
        for key in self.raw_entries.keys() | entries.keys():
            self._revision_by_key[key] = max(self._revision_by_key.get(key, 0), revision)
            self.entries_watcher.note_key(key)
        self.raw_entries = entries
        self.entries_watcher.skip_to_revision(revision)

    def apply_restored(self, stated: Mapping[str, RestoredEntry]) -> None:
        """Take engines as leaving whose entries, as other daemons stated, are restored ones."""
        self.left.set_stated(stated)
        for engine_id in stated:
            engine = self._engines.get(engine_id)
            revision = self._entry_revisions.get(self._schema.engines_prefix + engine_id)
            if engine is not None and revision is not None:
                self._put_entry(self.left.as_stated(engine.entry, revision), "store, restored")

    def _is_outdated(self, key: str, revision: int) -> bool:
        """Return whether a newer change of a key was applied before.

        Otherwise, the revision is recorded as the newest of the key.
        """
        if revision < self._revision_by_key.get(key, 0):
            return True
        self._revision_by_key[key] = revision
        self._note_newest(revision)
        return False

    def _on_configuration(self, item: Item) -> None:
        if item.key == self._schema.configuration_key:
            self.apply_configuration(item.value, item.revision, "store")

    def _on_configuration_removed(self, key: str, revision: int) -> None:
        decision("configuration_removed", item=key, revision=revision)

    def _on_entry(self, item: Item) -> None:
        known_revision = self._revision_by_key.get(item.key, 0)
        if self._is_outdated(item.key, item.revision):
            return
        entry = self.entry_reader.read(item.key, item.value, item.revision, "store")
        # A later write of the same era is the engine's own.
        same_era = era_of(item.revision) == era_of(known_revision)
        is_own_write = same_era and item.revision > known_revision
        if entry is not None and not is_own_write and self._is_restored(entry, item.revision):
            self._note_restored(entry, item.revision)
            return
        self.raw_entries[item.key] = item.value
        self.left.forget_found(item.key.removeprefix(self._schema.engines_prefix))
        if entry is None:
            self._drop_key(item.key, "damaged entry")
            return
        self._entry_revisions[item.key] = item.revision
        self.apply_entry(self.left.as_stated(entry, item.revision), "store")

    def _on_entry_removed(self, key: str, revision: int) -> None:
        if self._is_outdated(key, revision):
            return
        self.entry_reader.unreadable.forget(key)
        engine_id = key.removeprefix(self._schema.engines_prefix)
        self.left.forget_found(engine_id)
        now_s = asyncio.get_running_loop().time()
        # Engines whose entries lapsed during a store outage register again soon after it.
        drop_at_s = self.entries_watcher.recovered_at_s + REAPPEAR_GRACE_S
        if drop_at_s > now_s and self._engines.get(engine_id) is not None:
            known_revision = self.entries_watcher.revision_before(revision)
            self._pending_removals[engine_id] = _PendingRemoval(drop_at_s, known_revision)
            return
        self.drop_entry(engine_id, "store")

    async def _drop_expired_removals(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now_s = asyncio.get_running_loop().time()
            for engine_id, removal in list(self._pending_removals.items()):
                if now_s >= removal.drop_at_s:
                    self.drop_entry(engine_id, "store, still missing after its outage")

    def _without_restored(
        self, entries: Mapping[str, bytes], revision: int, source: str
    ) -> Iterator[tuple[str, bytes]]:
        """Yield the entries of a peer; what is known replaces what a restore brought back."""
        for key, value in entries.items():
            entry = self.entry_reader.read(key, value, revision, source)
            if entry is None or not self._is_restored(entry, revision):
                yield key, value
            elif key in self.raw_entries:
                yield key, self.raw_entries[key]

    def _is_restored(self, entry: EngineEntry, revision: int) -> bool:
        """Return whether an entry is a restored one of an engine that leaves or has left."""
        known = self._engines.get(entry.engine_id)
        if known is not None and entry.state is EngineState.DRAINING:
            return False
        if not self.left.left_before(entry.incarnation, era_of(revision)):
            return False
        decision("engine_entry_restored", engine=entry.engine_id, revision=revision)
        return True

    def _note_restored(self, entry: EngineEntry, revision: int) -> None:
        """Note that the store lists an engine as ready that leaves or has left."""
        known = self._engines.get(entry.engine_id)
        came_back = known is not None and known.entry.state is EngineState.READY
        if entry.state is EngineState.READY and not came_back:
            self.left.note_found(entry.incarnation, revision)

    def _note_newest(self, revision: int) -> None:
        if era_of(revision) > era_of(self._newest_revision):
            self.left.note_new_era()
        self._newest_revision = max(self._newest_revision, revision)

    def _notify_leaving(self, entry: EngineEntry) -> None:
        for listener in self.leaving_listeners:
            listener(entry)
