"""The journal of decisions: buffers records in memory, stores them, finds them from any entry.

Every 30 seconds the records are compressed into one value in the store, with an index value that
lists the subjects. Both belong to a lease that is never renewed, so that the store itself removes
them when the retention time is over. Until a batch is stored, a peer holds a copy of its records;
the peer stores the batch if the entry fails.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import msgspec

from godwitpath.explain.batch import (
    BATCH_PREFIX,
    INDEX_PREFIX,
    BatchName,
    BatchPart,
    DamagedBatch,
    decode_part,
    decode_records,
    encode_index,
    encode_part,
    encode_records,
)
from godwitpath.explain.configuration import configuration_records
from godwitpath.explain.peer_batches import PeerBatches
from godwitpath.explain.pending import PendingBatches
from godwitpath.explain.record import DecisionRecord, DecisionTrace
from godwitpath.explain.search import Search
from godwitpath.ports.kv import (
    ABSENT,
    KeyValueStore,
    LeaseLapsed,
    RevisionConflict,
    StoreError,
)

FLUSH_INTERVAL_S = 30.0
"""Time between two flushes of an entry's pending batches to the store."""

LEASE_ROTATION_S = 3_600.0
"""Time after which new batches get a new lease, so that one lease holds an hour of batches."""

DEFAULT_RETENTION_S = 604_800.0
"""Retention time of decision records until a configuration sets one (7 days)."""

WRITE_ATTEMPTS = 3
"""Most attempts to write a batch in one flush."""

MAX_CONCURRENT_SEARCHES = 2
"""Most searches that one process runs at the same time."""

PeerLookup = Callable[[str], Awaitable[list[DecisionRecord]]]
"""Returns the records of a subject that the peers hold and that are not in the store yet."""


class Journal:
    """The decision records of one process, and the search over those of all processes.

    :ivar retention_s: retention time of records in the store
    :ivar ask_peers: lookup of unstored records at the peers, set by the daemon; None for no peers
    """

    def __init__(
        self,
        store: KeyValueStore,
        entry_id: str,
        incarnation: str = "0",
        rng: random.Random | None = None,
        retention_s: float = DEFAULT_RETENTION_S,
        interval_s: float = FLUSH_INTERVAL_S,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.retention_s = retention_s
        self.ask_peers: PeerLookup | None = None
        self._store = store
        self._entry_id = entry_id
        self._rng = rng or random.Random()
        self._interval_s = interval_s
        self._wall_clock = wall_clock
        self._pending = PendingBatches(entry_id, incarnation)
        self._peer_batches = PeerBatches()
        self._sent_pending_sequence = 0
        self._lease_id = 0
        self._lease_rotates_at_s = float("-inf")
        self._search_limit = asyncio.Semaphore(MAX_CONCURRENT_SEARCHES)
        self._write_lock = asyncio.Lock()

    @property
    def dropped_records(self) -> int:
        """Number of records lost because the store was not writable for too long."""
        return self._pending.dropped_records

    def add(self, record: DecisionRecord) -> None:
        """Add a record; :meth:`run` stores it within one interval."""
        record.entry_id = self._entry_id
        self._pending.add(record, self._wall_clock())

    async def run(self) -> None:
        """Flush at each interval until cancelled.

        The first flush follows a random delay, so that the entries do not all flush at once.
        """
        await asyncio.sleep(self._rng.uniform(0, self._interval_s))
        while True:
            await self.flush()
            await asyncio.sleep(self._interval_s)

    async def flush(self) -> bool:
        """Store all pending records, and the batches of failed peers.

        :returns: whether the store accepted all batches
        """
        self._pending.close()
        async with self._write_lock:
            try:
                await self._store_closed_batches()
                await self._store_orphaned_batches()
            except StoreError:
                # The remaining batches stay pending; the next flush retries them.
                return False
        return True

    def next_part(self) -> bytes:
        """Return the next part to copy to a peer, with records added since the previous call.

        A peer holds a complete copy only if it receives every part. After a change of peer,
        :meth:`restart_copying` makes the parts start again from the first pending record.

        :returns: an encoded part, empty if there is nothing to send
        """
        batch = next(self._pending.uncopied_batches(), None)
        first_pending_sequence = self._pending.first_pending_sequence()
        if batch is None:
            if first_pending_sequence == self._sent_pending_sequence:
                return b""
            self._sent_pending_sequence = first_pending_sequence
            name = BatchName(0, self._entry_id, self._pending.incarnation, first_pending_sequence)
            return encode_part(BatchPart(name, [], first_pending_sequence))
        records = batch.decoded()[batch.copied_count :]
        batch.copied_count = len(batch.records)
        self._sent_pending_sequence = first_pending_sequence
        return encode_part(BatchPart(batch.name, records, first_pending_sequence))

    def restart_copying(self) -> None:
        """Make :meth:`next_part` return all pending records again, for another peer."""
        for batch in self._pending.batches():
            batch.copied_count = 0

    def accept_part(self, part: bytes) -> None:
        """Add an encoded part of a peer's batch to the copies that this process holds.

        :raises DamagedBatch: the bytes are not an encoded part
        """
        self._peer_batches.add(decode_part(part), asyncio.get_running_loop().time())

    def mark_peer_removed(self, entry_id: str) -> None:
        """Make the next flush store the copies of a removed peer's batches."""
        self._peer_batches.mark_orphaned(entry_id)

    def unstored_records(self, subject_id: str) -> list[DecisionRecord]:
        """Return the records of a subject in memory, also those copied from peers."""
        records = [*self._pending.records(), *self._peer_batches.records()]
        return [record for record in records if record.subject_id == subject_id]

    async def find(
        self, subject_id: str, account: str | None = None, around_s: float | None = None
    ) -> DecisionTrace:
        """Return the trace of a subject from memory, the peers and the store.

        :param account: client account that asks and sees only records that it owns; None for an
            operator
        :param around_s: wall-clock time near which the decisions were made, None if unknown
        """
        trace = DecisionTrace(subject_id, self.unstored_records(subject_id))
        if self.ask_peers is not None:
            trace.records += await self.ask_peers(subject_id)
        async with self._search_limit:
            try:
                result = await Search(self._store, subject_id).run(self._wall_clock(), around_s)
                result.records += await configuration_records(self._store, subject_id)
            except StoreError as error:
                trace.complete = False
                trace.note = f"the key-value service cannot be read: {error}"
            else:
                trace.records += result.records
                trace.complete = result.complete
                trace.note = "" if result.complete else "not every kept batch could be read"
        trace.records = [item for item in _unique(trace.records) if _is_visible_to(account, item)]
        return trace

    async def _store_closed_batches(self) -> None:
        while batch := self._pending.oldest_closed_batch():
            await self._store_batch(batch.name, batch.decoded())
            self._pending.remove(batch)

    async def _store_orphaned_batches(self) -> None:
        last_part_before_s = asyncio.get_running_loop().time() - 2 * self._interval_s
        for orphan in self._peer_batches.orphaned_batches(last_part_before_s):
            await self._store_batch(orphan.name, orphan.records)
            self._peer_batches.remove(orphan)

    async def _store_batch(self, name: BatchName, records: list[DecisionRecord]) -> None:
        """Write a batch and its index; idempotent, also when two entries write the same batch."""
        for attempt in range(WRITE_ATTEMPTS):
            lease_id = await self._current_lease()
            try:
                records = await self._write_batch(name, records, lease_id)
                await self._write_index(name, records, lease_id)
                return
            except LeaseLapsed:
                self._lease_rotates_at_s = float("-inf")
            except RevisionConflict:
                if attempt == WRITE_ATTEMPTS - 1:
                    raise

    async def _write_batch(
        self, name: BatchName, records: list[DecisionRecord], lease_id: int
    ) -> list[DecisionRecord]:
        """Write a batch, merged with the records that another entry stored under its name.

        :returns: the records of the batch as stored
        """
        key = BATCH_PREFIX + name.suffix()
        try:
            await self._store.put(key, encode_records(records), ABSENT, lease_id)
            return records
        except RevisionConflict as error:
            if error.current is None:
                raise
            current = error.current
        try:
            merged = _unique([*decode_records(current.value), *records])
        except DamagedBatch:
            merged = records
        value = encode_records(merged)
        if value != current.value:
            await self._store.put(key, value, current.revision, lease_id)
        return merged

    async def _write_index(
        self, name: BatchName, records: list[DecisionRecord], lease_id: int
    ) -> None:
        key = INDEX_PREFIX + name.suffix()
        value = encode_index(records)
        try:
            await self._store.put(key, value, ABSENT, lease_id)
        except RevisionConflict as error:
            if error.current is None:
                raise
            if error.current.value != value:
                await self._store.put(key, value, error.current.revision, lease_id)

    async def _current_lease(self) -> int:
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._lease_rotates_at_s:
            lease = await self._store.grant_lease(self.retention_s + LEASE_ROTATION_S)
            self._lease_id = lease.lease_id
            self._lease_rotates_at_s = now_s + LEASE_ROTATION_S
        return self._lease_id


def _unique(records: list[DecisionRecord]) -> list[DecisionRecord]:
    """Return the records without duplicates, the oldest first."""
    record_by_encoding = {msgspec.msgpack.encode(record): record for record in records}
    return sorted(record_by_encoding.values(), key=lambda record: record.at)


def _is_visible_to(account: str | None, record: DecisionRecord) -> bool:
    return account is None or (record.account == account and account != "")
