"""Writes of execution records that the store has not confirmed, retried in the background."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import msgspec

from godwitpath.execution.record import ExecutionRecord, decode, encode
from godwitpath.ports.kv import ABSENT, KeyValueStore, RevisionConflict, StoreError

MAX_PENDING_BYTES = 16 * 1024 * 1024
"""Total size of the pending records above which the oldest outcomes lose their bodies."""

FIRST_BACKOFF_S = 0.1
"""Pause after the first failed round of writes; the pause doubles with each further failure."""

MAX_BACKOFF_S = 5.0
"""Longest pause between two rounds of writes."""

MAX_WRITES_PER_ROUND = 3
"""Most writes of one record in a round."""


@dataclass(slots=True)
class GuardCounters:
    """Numbers of claims and of writes of final states, by result, since the process started.

    :ivar lost_answers_settled: claims confirmed by a repeated write after a lost response
    :ivar finished_later: outcomes written in the background
    :ivar finish_failed: outcomes not written because another attempt holds the key
    :ivar abandoned: unconfirmed claims that are released in the background
    """

    claimed: int = 0
    existing: int = 0
    mismatched: int = 0
    refused: int = 0
    lost_answers_settled: int = 0
    finished: int = 0
    finished_later: int = 0
    finish_failed: int = 0
    released: int = 0
    abandoned: int = 0


@dataclass(slots=True)
class _PendingWrite:
    store_key: str
    record: ExecutionRecord
    expected_revision: int
    size_bytes: int


class PendingWrites:
    """Writes the final states of this entry's attempts, in the background if a write fails."""

    def __init__(self, store: KeyValueStore, counters: GuardCounters) -> None:
        self._store = store
        self._counters = counters
        self._pending_writes: OrderedDict[str, _PendingWrite] = OrderedDict()
        self._wakeup = asyncio.Event()
        self._size_bytes = 0

    async def write_final_state(
        self, store_key: str, record: ExecutionRecord, expected_revision: int
    ) -> bool:
        """Write the final state of an attempt; queue an unconfirmed write for a later try.

        :returns: whether the store confirmed the write
        """
        try:
            await self._write(store_key, record, expected_revision)
        except (StoreError, asyncio.CancelledError) as error:
            self.add(store_key, record, expected_revision)
            if isinstance(error, asyncio.CancelledError):
                raise
            return False
        return True

    def add(self, store_key: str, record: ExecutionRecord, expected_revision: int) -> None:
        """Queue a write; above :data:`MAX_PENDING_BYTES` the oldest outcomes lose their bodies."""
        self._enqueue(_PendingWrite(store_key, record, expected_revision, len(encode(record))))
        self._wakeup.set()
        for pending in list(self._pending_writes.values()):
            if self._size_bytes <= MAX_PENDING_BYTES:
                return
            self._drop_body(pending)

    async def run(self) -> None:
        """Retry the queued writes until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            await self._wakeup.wait()
            if await self._write_all():
                backoff_s = FIRST_BACKOFF_S
                continue
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def dump(self) -> dict[str, Any]:
        """Return the number and total size of the pending writes for the state dump."""
        return {"pending_writes": len(self._pending_writes), "pending_bytes": self._size_bytes}

    async def _write_all(self) -> bool:
        for attempt_id, pending in list(self._pending_writes.items()):
            try:
                await self._write(pending.store_key, pending.record, pending.expected_revision)
            except StoreError:
                return False
            self._counters.finished_later += pending.record.state == "finished"
            if self._pending_writes.get(attempt_id) is pending:
                del self._pending_writes[attempt_id]
                self._size_bytes -= pending.size_bytes
        if not self._pending_writes:
            self._wakeup.clear()
        return True

    async def _write(self, store_key: str, record: ExecutionRecord, expected_revision: int) -> None:
        """Replace the record of an attempt, whether or not earlier writes of it took effect.

        :raises StoreError: the write is not confirmed
        """
        error: StoreError | None = None
        for _ in range(MAX_WRITES_PER_ROUND):
            try:
                await self._store.put(store_key, encode(record), expected_revision)
            except RevisionConflict as conflict:
                found = conflict.current
                existing_record = decode(found.value) if found is not None else None
                if self._needs_no_write(record, existing_record):
                    return
                expected_revision = found.revision if found is not None else ABSENT
                error = conflict
            else:
                self._count_final_state(record)
                return
        raise error or AssertionError("no write was attempted")

    def _needs_no_write(
        self, record: ExecutionRecord, existing_record: ExecutionRecord | None
    ) -> bool:
        """Return whether the existing record makes the write unnecessary."""
        if existing_record is None:
            # The sweeper removes only finished and released records. Only an abandoned attempt may
            # still have a claim write in flight, which fails once the released record is written.
            return record.state == "finished"
        if existing_record.attempt_id != record.attempt_id:
            self._counters.finish_failed += record.state == "finished"
            return True
        if existing_record.state == "sent":
            return False
        self._count_final_state(record)
        return True

    def _count_final_state(self, record: ExecutionRecord) -> None:
        if record.state == "finished":
            self._counters.finished += 1
        else:
            self._counters.released += 1

    def _enqueue(self, pending: _PendingWrite) -> None:
        attempt_id = pending.record.attempt_id
        replaced = self._pending_writes.pop(attempt_id, None)
        self._size_bytes += pending.size_bytes - (replaced.size_bytes if replaced else 0)
        self._pending_writes[attempt_id] = pending

    def _drop_body(self, pending: _PendingWrite) -> None:
        outcome = pending.record.outcome
        if outcome is None or not outcome.body:
            return
        without_body = msgspec.structs.replace(outcome, body=b"")
        record = msgspec.structs.replace(pending.record, outcome=without_body, outcome_dropped=True)
        size_bytes = len(encode(record))
        self._size_bytes += size_bytes - pending.size_bytes
        pending.record = record
        pending.size_bytes = size_bytes
