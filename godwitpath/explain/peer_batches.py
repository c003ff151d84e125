"""Backup copies of the batches that peers have not yet written to the store.

If a peer fails, this process writes the peer's batches to the store instead. A batch is orphaned
once the peer has sent no part of any batch for a given time.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from godwitpath.explain.batch import BatchName, BatchPart
from godwitpath.explain.record import DecisionRecord

MAX_PEER_RECORDS = 20_000
"""Most records held for all peers together; a part that would exceed it is ignored."""


@dataclass(slots=True)
class PeerBatch:
    """Copy of the records that a peer has sent of one batch.

    :ivar name: batch that the records belong to
    :ivar records: records received so far
    :ivar last_part_at_s: loop time at which the peer last sent a part of any batch
    """

    name: BatchName
    records: list[DecisionRecord] = field(default_factory=list)
    last_part_at_s: float = 0.0


class PeerBatches:
    """The copies of peers' batches that this process holds."""

    __slots__ = ("_batches", "_record_count")

    def __init__(self) -> None:
        self._batches: dict[BatchName, PeerBatch] = {}
        self._record_count = 0

    def add(self, part: BatchPart, now_s: float) -> None:
        """Add a part, and remove the batches that are no longer pending at the peer."""
        for batch in self._batches_of(part.name.entry_id, part.name.incarnation):
            batch.last_part_at_s = now_s
            if batch.name.sequence < part.first_pending_sequence:
                self.remove(batch)
        has_capacity = self._record_count + len(part.records) <= MAX_PEER_RECORDS
        if part.records and part.name.sequence >= part.first_pending_sequence and has_capacity:
            batch = self._batches.setdefault(part.name, PeerBatch(part.name))
            batch.records += part.records
            batch.last_part_at_s = now_s
            self._record_count += len(part.records)

    def orphaned_batches(self, last_part_before_s: float) -> list[PeerBatch]:
        """Return the batches of peers that have sent no part after a point in time.

        :param last_part_before_s: that point, as loop time
        """
        return [
            batch for batch in self._batches.values() if batch.last_part_at_s <= last_part_before_s
        ]

    def mark_orphaned(self, entry_id: str) -> None:
        """Make :meth:`orphaned_batches` return the batches of a removed peer at once."""
        for batch in self._batches.values():
            if batch.name.entry_id == entry_id:
                batch.last_part_at_s = float("-inf")

    def remove(self, batch: PeerBatch) -> None:
        """Remove a batch, if it is still held."""
        if self._batches.pop(batch.name, None) is not None:
            self._record_count -= len(batch.records)

    def records(self) -> Iterator[DecisionRecord]:
        """Yield the records of every copied batch."""
        for batch in self._batches.values():
            yield from batch.records

    def _batches_of(self, entry_id: str, incarnation: str) -> list[PeerBatch]:
        return [
            batch
            for name, batch in self._batches.items()
            if (name.entry_id, name.incarnation) == (entry_id, incarnation)
        ]
