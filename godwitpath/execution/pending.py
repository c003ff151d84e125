"""Writes of execution records that the store has not confirmed yet, tried until it does."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import msgspec

from godwitpath.execution.record import ExecutionRecord, decode, encode
from godwitpath.ports.kv import ABSENT, KeyValueStore, RevisionConflict, StoreError

MAX_PENDING_BYTES = 16 * 1024 * 1024
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
SETTLE_TRIES = 3


@dataclass(slots=True)
class GuardCounters:
    """What happened to claims, counted from the start of the process."""

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
class _Pending:
    store_key: str
    record: ExecutionRecord
    expected: int
    size_bytes: int


class PendingWrites:
    """Settles records of own attempts: at once if it can, else in the background."""

    def __init__(self, store: KeyValueStore, counters: GuardCounters) -> None:
        self._store = store
        self._counters = counters
        self._pending: OrderedDict[str, _Pending] = OrderedDict()
        self._wakeup = asyncio.Event()
        self._size_bytes = 0

    async def settle(self, store_key: str, record: ExecutionRecord, expected: int) -> bool:
        """Write the last state of an attempt; queued when the store does not confirm it."""
        try:
            await self._write(store_key, record, expected)
        except (StoreError, asyncio.CancelledError) as error:
            self.add(store_key, record, expected)
            if isinstance(error, asyncio.CancelledError):
                raise
            return False
        return True

    def add(self, store_key: str, record: ExecutionRecord, expected: int) -> None:
        """Queue a write; above the memory bound the oldest outcomes lose their bodies."""
        self._put(_Pending(store_key, record, expected, len(encode(record))))
        self._wakeup.set()
        for pending in list(self._pending.values()):
            if self._size_bytes <= MAX_PENDING_BYTES:
                return
            self._shorten(pending)

    async def run(self) -> None:
        """Try the queued writes until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            await self._wakeup.wait()
            if await self._try_all():
                backoff_s = FIRST_BACKOFF_S
                continue
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {"pending_writes": len(self._pending), "pending_bytes": self._size_bytes}

    async def _try_all(self) -> bool:
        for attempt_id, pending in list(self._pending.items()):
            try:
                await self._write(pending.store_key, pending.record, pending.expected)
            except StoreError:
                return False
            self._counters.finished_later += pending.record.state == "finished"
            if self._pending.get(attempt_id) is pending:
                del self._pending[attempt_id]
                self._size_bytes -= pending.size_bytes
        if not self._pending:
            self._wakeup.clear()
        return True

    async def _write(self, store_key: str, record: ExecutionRecord, expected: int) -> None:
        """Write a record over the attempt's own, whatever became of earlier tries.

        :raises StoreError: not confirmed
        """
        error: StoreError | None = None
        for _ in range(SETTLE_TRIES):
            try:
                await self._store.put(store_key, encode(record), expected)
            except RevisionConflict as conflict:
                found = conflict.current
                standing = decode(found.value) if found is not None else None
                if self._is_over(record, standing):
                    return
                expected = found.revision if found is not None else ABSENT
                error = conflict
            else:
                self._count(record)
                return
        raise error or AssertionError("no try was made")

    def _is_over(self, record: ExecutionRecord, standing: ExecutionRecord | None) -> bool:
        """Whether nothing is left to write, because of what stands at the key."""
        if standing is None:
            # Only the sweeper removes records, and only settled ones; the abandoned attempt
            # alone may still have a write under way, which the released record shuts out.
            return record.state == "finished"
        if standing.attempt_id != record.attempt_id:
            self._counters.finish_failed += record.state == "finished"
            return True
        if standing.state == "sent":
            return False
        self._count(record)
        return True

    def _count(self, record: ExecutionRecord) -> None:
        if record.state == "finished":
            self._counters.finished += 1
        else:
            self._counters.released += 1

    def _put(self, pending: _Pending) -> None:
        attempt_id = pending.record.attempt_id
        former = self._pending.pop(attempt_id, None)
        self._size_bytes += pending.size_bytes - (former.size_bytes if former else 0)
        self._pending[attempt_id] = pending

    def _shorten(self, pending: _Pending) -> None:
        outcome = pending.record.outcome
        if outcome is None or not outcome.body:
            return
        shorter = msgspec.structs.replace(outcome, body=b"")
        record = msgspec.structs.replace(pending.record, outcome=shorter, outcome_dropped=True)
        size_bytes = len(encode(record))
        self._size_bytes += size_bytes - pending.size_bytes
        pending.record = record
        pending.size_bytes = size_bytes
