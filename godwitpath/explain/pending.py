"""Batches of this process's decision records that are not yet in the store, in bounded memory.

A time bucket is a period of fixed length, by which the store keys order the batches.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from godwitpath.explain.batch import BatchName
from godwitpath.explain.record import DecisionRecord
from godwitpath.security.redact import redact

BUCKET_S = 30.0
"""Length of the time buckets by which store keys order the batches."""

MAX_RECORD_BYTES = 4096
"""A record with a longer encoding is shortened."""

MAX_OPEN_BYTES = 512 * 1024
"""Size of the encoded records at which the open batch is closed."""

MAX_CLOSED_BYTES = 8 * 1_048_576
"""Total size of the closed batches above which the oldest batches are dropped."""


@dataclass(slots=True)
class PendingBatch:
    """A batch of encoded records that is not in the store yet.

    :ivar name: identifier of the batch
    :ivar records: MessagePack encoding of each record
    :ivar size_bytes: total size of the encoded records
    :ivar copied_count: number of records, from the start, that were returned for copying to a peer
    """

    name: BatchName
    records: list[bytes] = field(default_factory=list)
    size_bytes: int = 0
    copied_count: int = 0

    def decoded(self) -> list[DecisionRecord]:
        """Return the decoded records."""
        return [msgspec.msgpack.decode(record, type=DecisionRecord) for record in self.records]


class PendingBatches:
    """The open batch, which receives new records, and the closed batches to be stored.

    :ivar incarnation: incarnation of the process
    :ivar dropped_records: number of records lost because the store was not writable for too long
    """

    __slots__ = (
        "_closed_batches",
        "_entry_id",
        "_next_sequence",
        "_open_batch",
        "dropped_records",
        "incarnation",
    )

    def __init__(self, entry_id: str, incarnation: str) -> None:
        self._entry_id = entry_id
        self.incarnation = incarnation
        self._next_sequence = 0
        self._open_batch: PendingBatch | None = None
        self._closed_batches: deque[PendingBatch] = deque()
        self.dropped_records = 0

    def add(self, record: DecisionRecord, wall_s: float) -> None:
        """Add a record to the open batch, redacted and shortened if needed.

        :param wall_s: wall-clock time, which sets the bucket of a new batch
        """
        encoded = _encode_bounded(record)
        if self._open_batch is None:
            name = BatchName(
                int(wall_s // BUCKET_S), self._entry_id, self.incarnation, self._next_sequence
            )
            self._next_sequence += 1
            self._open_batch = PendingBatch(name)
        self._open_batch.records.append(encoded)
        self._open_batch.size_bytes += len(encoded)
        if self._open_batch.size_bytes >= MAX_OPEN_BYTES:
            self.close()

    def close(self) -> None:
        """Close the open batch, so that the next flush stores it."""
        if self._open_batch is None:
            return
        self._closed_batches.append(self._open_batch)
        self._open_batch = None
        while sum(batch.size_bytes for batch in self._closed_batches) > MAX_CLOSED_BYTES:
            self.dropped_records += len(self._closed_batches.popleft().records)

    def oldest_closed_batch(self) -> PendingBatch | None:
        """Return the next batch to store, None if no batch is closed."""
        return self._closed_batches[0] if self._closed_batches else None

    def remove(self, batch: PendingBatch) -> None:
        """Remove a closed batch that was stored, if it was not dropped in the meantime."""
        if batch in self._closed_batches:
            self._closed_batches.remove(batch)

    def first_pending_sequence(self) -> int:
        """Return the lowest sequence of a pending batch.

        Without a pending batch, this is the sequence of the next one.
        """
        first_batch = next(self.batches(), None)
        return first_batch.name.sequence if first_batch else self._next_sequence

    def uncopied_batches(self) -> Iterator[PendingBatch]:
        """Yield the batches with records that were not yet returned for copying."""
        return (batch for batch in self.batches() if batch.copied_count < len(batch.records))

    def records(self) -> Iterator[DecisionRecord]:
        """Yield the records of every pending batch, the oldest batch first."""
        for batch in self.batches():
            yield from batch.decoded()

    def batches(self) -> Iterator[PendingBatch]:
        """Yield every batch that is not in the store, the oldest first."""
        yield from self._closed_batches
        if self._open_batch is not None:
            yield self._open_batch


def _encode_bounded(record: DecisionRecord) -> bytes:
    record.known = redact(record.known)
    encoded = msgspec.msgpack.encode(record)
    if len(encoded) <= MAX_RECORD_BYTES:
        return encoded
    shortened = msgspec.structs.replace(record, known={"shortened": True}, alternatives=[])
    shortened.chosen = shortened.chosen[:200]
    return msgspec.msgpack.encode(shortened)
