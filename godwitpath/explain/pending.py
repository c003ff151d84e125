"""Batches of this process that are not yet in the store, within bounds of memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from godwitpath.explain.batch import BatchName
from godwitpath.explain.record import DecisionRecord
from godwitpath.security.redact import redact

BUCKET_S = 30.0
"""Length of the time buckets that order the batches in the store."""

MAX_RECORD_BYTES = 4096
MAX_OPEN_BYTES = 512 * 1024
"""An open batch is closed when it has grown to this size."""

MAX_CLOSED_BYTES = 8 * 1_048_576
"""Closed batches beyond this size are dropped, the oldest first."""


@dataclass(slots=True)
class Batch:
    """A batch of encoded records.

    :ivar records: MessagePack form of each record
    :ivar copied: number of records that were handed out to be copied to a peer
    """

    name: BatchName
    records: list[bytes] = field(default_factory=list)
    size_bytes: int = 0
    copied: int = 0

    def decoded(self) -> list[DecisionRecord]:
        """Return the records."""
        return [msgspec.msgpack.decode(record, type=DecisionRecord) for record in self.records]


class PendingBatches:
    """The open batch and the closed ones that wait for the store.

    :ivar incarnation: start of the process
    :ivar dropped_records: records lost since the store could not be written for too long
    """

    __slots__ = ("_closed", "_entry_id", "_open", "_sequence", "dropped_records", "incarnation")

    def __init__(self, entry_id: str, incarnation: str) -> None:
        self._entry_id = entry_id
        self.incarnation = incarnation
        self._sequence = 0
        self._open: Batch | None = None
        self._closed: deque[Batch] = deque()
        self.dropped_records = 0

    def add(self, record: DecisionRecord, wall_s: float) -> None:
        """Add a record to the open batch."""
        encoded = _encode(record)
        if self._open is None:
            name = BatchName(
                int(wall_s // BUCKET_S), self._entry_id, self.incarnation, self._sequence
            )
            self._sequence += 1
            self._open = Batch(name)
        self._open.records.append(encoded)
        self._open.size_bytes += len(encoded)
        if self._open.size_bytes >= MAX_OPEN_BYTES:
            self.close()

    def close(self) -> None:
        """Close the open batch, so that it is kept next."""
        if self._open is None:
            return
        self._closed.append(self._open)
        self._open = None
        while sum(batch.size_bytes for batch in self._closed) > MAX_CLOSED_BYTES:
            self.dropped_records += len(self._closed.popleft().records)

    def oldest_closed(self) -> Batch | None:
        """Return the batch that is to be kept next."""
        return self._closed[0] if self._closed else None

    def kept(self, batch: Batch) -> None:
        """Forget a batch that the store holds now."""
        if batch in self._closed:
            self._closed.remove(batch)

    def kept_below(self) -> int:
        """Return the number below which every batch is in the store or dropped."""
        first = next(self.batches(), None)
        return first.name.sequence if first else self._sequence

    def uncopied(self) -> Iterator[Batch]:
        """Yield the batches with records that were not yet handed out."""
        return (batch for batch in self.batches() if batch.copied < len(batch.records))

    def records(self) -> Iterator[DecisionRecord]:
        """Yield every record."""
        for batch in self.batches():
            yield from batch.decoded()

    def batches(self) -> Iterator[Batch]:
        """Yield every batch that is not yet kept, the oldest first."""
        yield from self._closed
        if self._open is not None:
            yield self._open


def _encode(record: DecisionRecord) -> bytes:
    record.known = redact(record.known)
    encoded = msgspec.msgpack.encode(record)
    if len(encoded) <= MAX_RECORD_BYTES:
        return encoded
    shortened = msgspec.structs.replace(record, known={"shortened": True}, alternatives=[])
    shortened.chosen = shortened.chosen[:200]
    return msgspec.msgpack.encode(shortened)
