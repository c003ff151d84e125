"""Keeps configuration and engines as the store tells of them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from godwitpath.errors import GodwitpathError
from godwitpath.gateway.engines import EngineBook, EngineEntry, EngineState
from godwitpath.gateway.follow import Follower
from godwitpath.gateway.in_force import ConfigurationInForce
from godwitpath.gateway.model import Configuration
from godwitpath.gateway.store import Item, Store
from godwitpath.telemetry.decisions import decision

RETURN_GRACE_S = 2.2
"""Time after an outage of the store within which entries that lapsed meanwhile come back: the
platform says about two seconds."""


class CatalogueWire(Protocol):
    """Where things lie in the store, and how they are decoded."""

    configuration_key: str
    configuration_prefix: str
    engines_prefix: str

    def decode_configuration(self, value: bytes, revision: int) -> Configuration:
        """Return a configuration; raises a :class:`GodwitpathError` on a damaged one."""

    def decode_entry(self, key: str, value: bytes) -> EngineEntry | None:
        """Return an engine's entry, None for a damaged one."""


@dataclass(slots=True, frozen=True)
class _Absent:
    """An engine whose entry was removed and may come back.

    :ivar gone_at_s: loop time at which it is taken as gone
    :ivar revision: store revision of the removal
    """

    gone_at_s: float
    revision: int


class Catalogue:
    """Follows the operator's and the engines' keys.

    :param wait_s: longest wait of one watch
    :ivar leaving_listeners: called with each engine that leaves or is gone
    :ivar informed: set once configuration and engines are known
    :ivar followed: whether this daemon follows the store, not another daemon
    :ivar raw_entries: values of the engines' keys, for a daemon that the store turns away
    """

    def __init__(
        self,
        store: Store,
        wire: CatalogueWire,
        in_force: ConfigurationInForce,
        engines: EngineBook,
        rng: random.Random,
        wait_s: float,
    ) -> None:
        self.leaving_listeners: list[Callable[[EngineEntry], None]] = []
        self._wire = wire
        self._in_force = in_force
        self._engines = engines
        self.informed = asyncio.Event()
        self._configured = asyncio.Event()
        self._absent: dict[str, _Absent] = {}
        self._revisions: dict[str, int] = {}
        self._newest_revision = 0
        self.followed = True
        self.raw_entries: dict[str, bytes] = {}
        self.configuration = Follower(
            store,
            wire.configuration_prefix,
            self._on_configuration,
            self._ignore_removal,
            rng,
            wait_s,
            wanted=lambda: self.followed,
        )
        self.entries = Follower(
            store,
            wire.engines_prefix,
            self._on_entry,
            self._on_entry_removed,
            rng,
            wait_s,
            wanted=lambda: self.followed,
        )

    @property
    def engines_revision(self) -> int:
        """Store revision up to which every change of an engine is known here.

        A removal that waits for the entry to come back is not: whoever took the entries as of its
        revision would take the engine for one that is there.
        """
        waiting = [absent.revision - 1 for absent in self._absent.values()]
        return min([self._newest_revision, *waiting])

    @property
    def complete(self) -> bool:
        """Whether configuration and engines are known."""
        return self.informed.is_set()

    @property
    def fresh(self) -> bool:
        """Whether this daemon follows the store, and the store answers."""
        lost = self.entries.lost_at_s is not None or self.configuration.lost_at_s is not None
        return self.followed and self.informed.is_set() and not lost

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.configuration.run())
            group.create_task(self.entries.run())
            group.create_task(self._drop_absent())
            group.create_task(self._note_informed())

    async def _note_informed(self) -> None:
        await self._configured.wait()
        await self.entries.synced.wait()
        self.informed.set()

    def take_configuration(self, value: bytes, revision: int, source: str) -> None:
        """Take in a configuration, wherever it was heard."""
        if revision <= self._in_force.revision:
            return
        try:
            configuration = self._wire.decode_configuration(value, revision)
        except GodwitpathError as error:
            decision("configuration_unreadable", revision=revision, reason=str(error))
            return
        if self._in_force.apply(configuration, value, source):
            self._configured.set()

    def take_entry(self, entry: EngineEntry, source: str) -> None:
        """Take in an engine's entry."""
        self._absent.pop(entry.engine_id, None)
        known = self._engines.get(entry.engine_id)
        state_before = known.entry.state if known is not None else None
        if not self._engines.put(entry):
            return
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
        if entry.state is EngineState.DRAINING and state_before is not EngineState.DRAINING:
            self._tell_leaving(entry)

    def drop_entry(self, engine_id: str, source: str) -> None:
        """Take in that an engine is gone."""
        self._absent.pop(engine_id, None)
        self.raw_entries.pop(self._wire.engines_prefix + engine_id, None)
        engine = self._engines.remove(engine_id)
        if engine is not None:
            decision("engine_state", engine=engine_id, state="gone", source=source)
            self._tell_leaving(engine.entry)

    def take_peer_entries(self, entries: Mapping[str, bytes], revision: int, source: str) -> None:
        """Take in all engines' entries as a daemon has them that the store serves.

        :param revision: store revision of the newest change in them
        """
        for key, value in entries.items():
            entry = self._wire.decode_entry(key, value)
            if entry is not None:
                self.take_entry(entry, source)
            else:
                self.drop_entry(key.removeprefix(self._wire.engines_prefix), source)
        for key in self.raw_entries.keys() - entries.keys():
            self.drop_entry(key.removeprefix(self._wire.engines_prefix), source)
        for key in self.raw_entries.keys() | entries.keys():
            self._revisions[key] = max(self._revisions.get(key, 0), revision)
        self.raw_entries = dict(entries)
        self._newest_revision = max(self._newest_revision, revision)
        # What the store says of changes up to there is known.
        self.entries.skip_to(revision)

    def _is_old(self, key: str, revision: int) -> bool:
        """Return whether something newer is known of a key, and remember the revision if not."""
        if revision < self._revisions.get(key, 0):
            return True
        self._revisions[key] = revision
        self._newest_revision = max(self._newest_revision, revision)
        return False

    def _on_configuration(self, item: Item) -> None:
        if item.key == self._wire.configuration_key:
            self.take_configuration(item.value, item.revision, "store")

    def _ignore_removal(self, key: str, revision: int) -> None:
        decision("configuration_removed", item=key, revision=revision)

    def _on_entry(self, item: Item) -> None:
        if self._is_old(item.key, item.revision):
            return
        self.raw_entries[item.key] = item.value
        entry = self._wire.decode_entry(item.key, item.value)
        if entry is None:
            decision("engine_entry_damaged", item=item.key, revision=item.revision)
            self.drop_entry(item.key.removeprefix(self._wire.engines_prefix), "damaged entry")
            return
        self.take_entry(entry, "store")

    def _on_entry_removed(self, key: str, revision: int) -> None:
        if self._is_old(key, revision):
            return
        engine_id = key.removeprefix(self._wire.engines_prefix)
        now_s = asyncio.get_running_loop().time()
        # An entry that lapsed with the store comes back with it.
        gone_at_s = self.entries.regained_at_s + RETURN_GRACE_S
        if gone_at_s > now_s and self._engines.get(engine_id) is not None:
            self._absent[engine_id] = _Absent(gone_at_s, revision)
            return
        self.drop_entry(engine_id, "store")

    async def _drop_absent(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now_s = asyncio.get_running_loop().time()
            for engine_id, absent in list(self._absent.items()):
                if now_s >= absent.gone_at_s:
                    self.drop_entry(engine_id, "store, still missing after its outage")

    def _tell_leaving(self, entry: EngineEntry) -> None:
        for listener in self.leaving_listeners:
            listener(entry)
