"""Copies of the batches that peers have not yet kept, written for a peer that is gone."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from godwitpath.explain.batch import BatchName, BatchPart
from godwitpath.explain.record import DecisionRecord

MAX_HELD_RECORDS = 20_000
"""Most records held for peers; parts beyond are not taken."""


@dataclass(slots=True)
class HeldBatch:
    """A peer's batch as far as it was copied.

    :ivar touched_s: loop time at which the peer last sent anything
    """

    name: BatchName
    records: list[DecisionRecord] = field(default_factory=list)
    touched_s: float = 0.0


class HeldBatches:
    """What this process holds for its peers."""

    __slots__ = ("_batches", "_count")

    def __init__(self) -> None:
        self._batches: dict[BatchName, HeldBatch] = {}
        self._count = 0

    def take(self, part: BatchPart, now_s: float) -> None:
        """Add a part, and forget the batches that the peer says are kept."""
        for batch in self._of(part.name.entry_id, part.name.incarnation):
            batch.touched_s = now_s
            if batch.name.sequence < part.kept_below:
                self.forget(batch)
        room = self._count + len(part.records) <= MAX_HELD_RECORDS
        if part.records and part.name.sequence >= part.kept_below and room:
            batch = self._batches.setdefault(part.name, HeldBatch(part.name))
            batch.records += part.records
            batch.touched_s = now_s
            self._count += len(part.records)

    def orphans(self, silent_since_s: float) -> list[HeldBatch]:
        """Return the batches whose peer has sent nothing since a time."""
        return [batch for batch in self._batches.values() if batch.touched_s <= silent_since_s]

    def release(self, entry_id: str) -> None:
        """Take a peer for gone at once."""
        for batch in self._batches.values():
            if batch.name.entry_id == entry_id:
                batch.touched_s = float("-inf")

    def forget(self, batch: HeldBatch) -> None:
        """Drop a batch."""
        if self._batches.pop(batch.name, None) is not None:
            self._count -= len(batch.records)

    def records(self) -> Iterator[DecisionRecord]:
        """Yield every record held."""
        for batch in self._batches.values():
            yield from batch.records

    def _of(self, entry_id: str, incarnation: str) -> list[HeldBatch]:
        return [
            batch
            for name, batch in self._batches.items()
            if (name.entry_id, name.incarnation) == (entry_id, incarnation)
        ]
