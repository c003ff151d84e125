"""Execution records in segments: batches appended by compare-and-swap, for high call rates.

Experimental: no daemon uses this module. docs/design/once-only.md gives the rate above which it
pays off and what it lacks. A segment consists of a head key with the last batch and one archive key
for each earlier batch. A writer archives the batch that it read from the head key and then replaces
the head by compare-and-swap on its revision. A batch that grants a claim must directly follow the
last batch that the writer has read. The swap of a writer that was paused or is no longer ranked
first therefore fails, without any lease.
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
"""Prefix of the store keys of segments."""

BATCH_INTERVAL_S = 0.05
"""Time for which changes are collected into one batch."""

MAX_WRITE_TRIES = 5
"""Most tries to write a batch before its changes fail."""

PAGE_KEYS = 500
"""Number of archived batches read from the store at once."""


class SegmentEntry(msgspec.Struct, array_like=True, frozen=True):
    """New state of one execution record.

    :ivar key: identifies the record in the segment
    """

    key: str
    record: ExecutionRecord


class SegmentBatch(msgspec.Struct, array_like=True, frozen=True):
    """Changes of execution records that are written to the store together.

    :ivar sequence: number of the batch in its segment, consecutive from 1
    :ivar batch_id: random identifier that distinguishes batches of the same sequence number
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

    def confirm(self) -> None:
        if not self.done.done():
            self.done.set_result(None)


class SegmentLog:
    """State of a segment as read by one writer, and the writer's queue of changes."""

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
        self._queued_changes: list[_Change] = []
        self._wakeup = asyncio.Event()

    async def load(self) -> None:
        """Read the segment from the store.

        :raises StoreRefused: the store did not respond
        """
        found = await self._store.get(self._prefix + "head")
        after = self._prefix + "batch/"
        while True:
            page = await self._store.scan(self._prefix + "batch/", PAGE_KEYS, after)
            for item in page:
                self._apply_batch(unpack(item.value, SegmentBatch))
            if len(page) < PAGE_KEYS:
                break
            after = page[-1].key
        if found is not None:
            self._apply_head(found)

    async def claim(self, key: str, record: ExecutionRecord) -> None:
        """Write the execution record that claims a key.

        :raises ExecutionExists: another attempt holds the key
        :raises StoreError: the claim is not confirmed
        """
        await self._submit(SegmentEntry(key, record))

    async def change(self, key: str, record: ExecutionRecord) -> None:
        """Write a new state of a record that this writer has claimed.

        :raises StoreError: the change is not confirmed
        """
        await self._submit(SegmentEntry(key, record))

    async def run(self) -> None:
        """Write queued changes in batches until cancelled."""
        while True:
            await self._wakeup.wait()
            await asyncio.sleep(self._interval_s)
            self._wakeup.clear()
            changes, self._queued_changes = self._queued_changes, []
            await self._write(changes)

    async def _submit(self, entry: SegmentEntry) -> None:
        change = _Change(entry, asyncio.get_running_loop().create_future())
        self._queued_changes.append(change)
        self._wakeup.set()
        await change.done

    async def _write(self, changes: list[_Change]) -> None:
        error: StoreError | None = None
        for _ in range(MAX_WRITE_TRIES):
            changes = self._remaining_changes(changes)
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
                    change.confirm()
                return
        for change in changes:
            change.fail(error or StoreUncertain("the batch was not confirmed"))

    def _remaining_changes(self, changes: list[_Change]) -> list[_Change]:
        """Return the changes that still need a write; completes the others."""
        remaining: dict[str, _Change] = {}
        for change in changes:
            record = change.entry.record
            queued_change = remaining.get(change.entry.key)
            current = (
                queued_change.entry.record if queued_change else self._records.get(change.entry.key)
            )
            if current is None or current.state == "released":
                remaining[change.entry.key] = change
            elif current.attempt_id != record.attempt_id:
                change.fail(ExecutionExists(current))
            elif current.state == record.state:
                change.confirm()
            else:
                remaining[change.entry.key] = change
        return list(remaining.values())

    async def _append(self, entries: list[SegmentEntry]) -> None:
        if self._head.sequence:
            await self._archive(self._head)
        batch_id = f"{self._rng.getrandbits(64):016x}"
        batch = SegmentBatch(self._head.sequence + 1, batch_id, entries)
        revision = await self._store.put(self._prefix + "head", pack(batch), self._revision)
        self._set_head(batch, revision)

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
            self._apply_head(current)

    def _apply_head(self, found: KeyValue) -> None:
        self._set_head(unpack(found.value, SegmentBatch), found.revision)

    def _set_head(self, batch: SegmentBatch, revision: int) -> None:
        self._head = batch
        self._revision = revision
        self._apply_batch(batch)

    def _apply_batch(self, batch: SegmentBatch) -> None:
        for entry in batch.entries:
            self._records[entry.key] = entry.record
