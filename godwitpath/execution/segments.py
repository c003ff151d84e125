"""Execution records in segments: batches appended by compare-and-swap, for high rates of calls.

An experiment that no daemon uses yet; docs/design/once-only.md says from which rate it pays and
what it lacks. A segment is a head key that holds the last batch, and one key for each batch before
it. A writer archives the batch that it finds in the head and then replaces the head by its
revision. It grants a claim only in a batch that follows directly on all that it has read, so a
writer that was paused or lost its rank loses the swap, without any lease.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

import msgspec

from godwitpath.execution.record import ExecutionExists, ExecutionRecord
from godwitpath.ports.kv import (
    ABSENT,
    KeyValue,
    KeyValueStore,
    RevisionConflict,
    StoreError,
    StoreUncertain,
)
from godwitpath.records.messages import pack, unpack

PREFIX = "exec-log/"
BATCH_INTERVAL_S = 0.05
WRITE_TRIES = 5
PAGE_KEYS = 500


class SegmentEntry(msgspec.Struct, array_like=True, frozen=True):
    """A change of one execution record."""

    key: str
    record: ExecutionRecord


class SegmentBatch(msgspec.Struct, array_like=True, frozen=True):
    """Changes that were written together.

    :ivar sequence: number of the batch in its segment, without gaps
    :ivar batch_id: random identifier that settles a lost answer
    """

    sequence: int
    batch_id: str
    entries: list[SegmentEntry]


@dataclass(slots=True)
class _Change:
    entry: SegmentEntry
    done: asyncio.Future[None]

    def fail(self, error: Exception) -> None:
        if not self.done.done():
            self.done.set_exception(error)

    def succeed(self) -> None:
        if not self.done.done():
            self.done.set_result(None)


class SegmentLog:
    """One writer's view of a segment."""

    def __init__(
        self,
        store: KeyValueStore,
        segment: int,
        rng: random.Random,
        interval_s: float = BATCH_INTERVAL_S,
    ) -> None:
        self._store = store
        self._prefix = f"{PREFIX}{segment:05d}/"
        self._rng = rng
        self._interval_s = interval_s
        self._records: dict[str, ExecutionRecord] = {}
        self._head = SegmentBatch(0, "", [])
        self._revision = ABSENT
        self._waiting: list[_Change] = []
        self._wakeup = asyncio.Event()

    async def load(self) -> None:
        """Read the segment from the store.

        :raises StoreRefused: the store does not answer
        """
        found = await self._store.get(self._prefix + "head")
        after = self._prefix + "batch/"
        while True:
            page = await self._store.scan(self._prefix + "batch/", PAGE_KEYS, after)
            for item in page:
                self._apply(unpack(item.value, SegmentBatch))
            if len(page) < PAGE_KEYS:
                break
            after = page[-1].key
        if found is not None:
            self._absorb(found)

    async def claim(self, key: str, record: ExecutionRecord) -> None:
        """Claim a key.

        :raises ExecutionExists: another attempt has it
        :raises StoreError: not confirmed
        """
        await self._submit(SegmentEntry(key, record))

    async def change(self, key: str, record: ExecutionRecord) -> None:
        """Write a later state of an own claim.

        :raises StoreError: not confirmed
        """
        await self._submit(SegmentEntry(key, record))

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await self._wakeup.wait()
            await asyncio.sleep(self._interval_s)
            self._wakeup.clear()
            changes, self._waiting = self._waiting, []
            await self._write(changes)

    async def _submit(self, entry: SegmentEntry) -> None:
        change = _Change(entry, asyncio.get_running_loop().create_future())
        self._waiting.append(change)
        self._wakeup.set()
        await change.done

    async def _write(self, changes: list[_Change]) -> None:
        error: StoreError | None = None
        for _ in range(WRITE_TRIES):
            changes = self._allowed(changes)
            if not changes:
                return
            try:
                await self._append([change.entry for change in changes])
            except RevisionConflict as conflict:
                error = conflict
                await self._catch_up(conflict.current)
            except StoreUncertain as uncertain:
                error = uncertain
            except StoreError as refused:
                error = refused
                break
            else:
                for change in changes:
                    change.succeed()
                return
        for change in changes:
            change.fail(error or StoreUncertain("not confirmed"))

    def _allowed(self, changes: list[_Change]) -> list[_Change]:
        """Return the changes still to write, and settle the others."""
        left: dict[str, _Change] = {}
        for change in changes:
            wanted = change.entry.record
            rival = left.get(change.entry.key)
            standing = rival.entry.record if rival else self._records.get(change.entry.key)
            if standing is None or standing.state == "released":
                left[change.entry.key] = change
            elif standing.attempt_id != wanted.attempt_id:
                change.fail(ExecutionExists(standing))
            elif standing.state == wanted.state:
                change.succeed()
            else:
                left[change.entry.key] = change
        return list(left.values())

    async def _append(self, entries: list[SegmentEntry]) -> None:
        if self._head.sequence:
            await self._archive(self._head)
        batch_id = f"{self._rng.getrandbits(64):016x}"
        batch = SegmentBatch(self._head.sequence + 1, batch_id, entries)
        revision = await self._store.put(self._prefix + "head", pack(batch), self._revision)
        self._take_head(batch, revision)

    async def _archive(self, batch: SegmentBatch) -> None:
        key = f"{self._prefix}batch/{batch.sequence:012d}"
        try:
            await self._store.put(key, pack(batch), ABSENT)
        except RevisionConflict:
            return

    async def _catch_up(self, current: KeyValue | None) -> None:
        if current is None:
            return
        batch = unpack(current.value, SegmentBatch)
        if batch.sequence > self._head.sequence + 1:
            await self.load()
        else:
            self._absorb(current)

    def _absorb(self, found: KeyValue) -> None:
        self._take_head(unpack(found.value, SegmentBatch), found.revision)

    def _take_head(self, batch: SegmentBatch, revision: int) -> None:
        self._head = batch
        self._revision = revision
        self._apply(batch)

    def _apply(self, batch: SegmentBatch) -> None:
        for entry in batch.entries:
            self._records[entry.key] = entry.record
