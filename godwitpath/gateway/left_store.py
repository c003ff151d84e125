"""Keeps in the store which entries of engines only a restore brought back.

A daemon that starts after the restore did not see these engines leave, and reads it there before it
is ready.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from random import Random

import msgspec

from godwitpath.decoding import Count, Unreadable, decode
from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.left_engines import RestoredEntry
from godwitpath.gateway.members import KEY_PREFIX, Members
from godwitpath.gateway.peer_messages import Era, Number
from godwitpath.gateway.store import (
    Item,
    Precondition,
    Put,
    Store,
    era_of,
    with_era,
    without_era,
)
from godwitpath.gateway.unreadable import UnreadableValues
from godwitpath.gateway.wakeups import wait_for_any
from godwitpath.ports.kv import StoreError
from godwitpath.telemetry.decisions import decision

LEFT_KEY = KEY_PREFIX + "left"
"""Store key of the restored entries."""

WRITE_DELAY_S = 0.3
"""Longest random delay until they are written, so that usually one daemon does."""

CHECK_S = 1.0
"""Mean interval between two comparisons with the store's copy, which is written only if it lacks
something."""


class StoredLeft(msgspec.Struct, frozen=True):
    """Value of :data:`LEFT_KEY`.

    :ivar era: the store's era; a copy that states another one was itself restored
    :ivar engines: start time of the engine in Unix milliseconds, and number of the write of its
        restored entry, by engine id
    """

    era: Era = 0
    engines: dict[str, tuple[Count, Number]] = {}


_decoder = msgspec.json.Decoder(StoredLeft)


def decode_left(item: Item | None) -> StoredLeft:
    """Return the store's copy, an empty one if there is none.

    :raises Unreadable: the copy is damaged
    """
    return StoredLeft() if item is None else decode(_decoder, item.value)


def restored_entries(stored: StoredLeft, era: int) -> dict[str, RestoredEntry]:
    """Return the restored entries of an era by engine id, none if the copy is of another era."""
    if stored.era != era:
        return {}
    return {
        engine_id: RestoredEntry(started_at_ms, with_era(era, number))
        for engine_id, (started_at_ms, number) in stored.engines.items()
    }


def lacking(
    known: Mapping[str, RestoredEntry], found: Mapping[str, RestoredEntry]
) -> dict[str, RestoredEntry]:
    """Return what a daemon found and the store's copy lacks, by engine id.

    Of two entries of one engine the earlier one counts: the engine wrote the later one itself.
    """
    return {
        engine_id: entry
        for engine_id, entry in found.items()
        if engine_id not in known or entry.revision < known[engine_id].revision
    }


def encode_restored(entries: Mapping[str, RestoredEntry], era: int) -> bytes:
    """Return the value to store."""
    engines = {
        engine_id: (entry.started_at_ms, without_era(entry.revision))
        for engine_id, entry in entries.items()
    }
    return msgspec.json.encode(StoredLeft(era, engines))


class LeftStore:
    """Writes the restored entries that this daemon found, and applies those of the others.

    A copy that cannot be read counts as empty, and is replaced by the next one that is written.

    :ivar applied: set once the store's copy was applied, or there was none
    :ivar unreadable: the store's copy, while it cannot be read
    """

    def __init__(self, store: Store, members: Members, catalogue: Catalogue, rng: Random) -> None:
        self.applied = asyncio.Event()
        self.unreadable = UnreadableValues("left_unreadable")
        self._store = store
        self._members = members
        self._catalogue = catalogue
        self._rng = rng
        self._changed = members.changed_event()
        self._applied_revision = 0

    async def run(self) -> None:
        """Keep the store's copy and what this daemon knows alike until cancelled."""
        await self._members.watcher.synced.wait()
        while True:
            self._apply()
            self.applied.set()
            if self._lacking():
                await asyncio.sleep(WRITE_DELAY_S * self._rng.random())
                await self._write()
            await self._wait()

    async def _wait(self) -> None:
        """Wait for a change of the store, a finding, or the next comparison."""
        events = (self._changed, self._catalogue.left.found_more)
        await wait_for_any(events, CHECK_S * self._rng.uniform(0.5, 1.5))

    def _apply(self) -> None:
        """Apply the store's copy once each time that it was written."""
        item = self._members.items.get(LEFT_KEY)
        if item is None or item.revision == self._applied_revision:
            return
        self._applied_revision = item.revision
        self._catalogue.apply_restored(self._read(item, era_of(item.revision)))

    def _lacking(self) -> dict[str, RestoredEntry]:
        """Return what this daemon found and the store's copy of the same era lacks."""
        era = era_of(self._catalogue.seen_revision)
        if self._members.watcher.era != era:
            return {}
        known = self._read(self._members.items.get(LEFT_KEY), era)
        return lacking(known, self._catalogue.left.found)

    async def _write(self) -> None:
        """Add to the store's copy what it lacks."""
        entries = self._lacking()
        if not entries:
            return
        item = self._members.items.get(LEFT_KEY)
        era = era_of(self._catalogue.seen_revision)
        value = encode_restored(self._read(item, era) | entries, era)
        revision = item.revision if item is not None else 0
        try:
            await self._store.transact([Precondition(LEFT_KEY, revision)], [Put(LEFT_KEY, value)])
        except StoreError as error:
            decision("left_not_stored", reason=str(error))
            return
        decision("left_stored", engines=list(entries), era=era)

    def _read(self, item: Item | None, era: int) -> dict[str, RestoredEntry]:
        try:
            stored = decode_left(item)
        except Unreadable as error:
            self.unreadable.note(LEFT_KEY, str(error))
            return {}
        self.unreadable.forget(LEFT_KEY)
        return restored_entries(stored, era)
