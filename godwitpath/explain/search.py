"""Search for the decision records of a subject in the batches in the store.

The subject is the request or configuration change that a decision is about.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field

from godwitpath.explain.batch import (
    BATCH_PREFIX,
    INDEX_PREFIX,
    DamagedBatch,
    bucket_of_suffix,
    decode_records,
    index_contains,
    subject_digest,
)
from godwitpath.explain.pending import BUCKET_S
from godwitpath.explain.record import DecisionRecord
from godwitpath.ports.kv import KeyValueStore

PAGE_SIZE = 1000
"""Number of index values in one read of the store."""

MAX_PAGES = 400
"""Most pages of index values that one search reads."""

MARGIN_S = 900.0
"""Time searched on each side of an expected time, and before a window that holds records."""

LOOKBACKS_S = (3_600.0, 86_400.0)
"""How far back the windows reach that are searched before all older records."""


@dataclass(slots=True)
class SearchResult:
    """Result of a search for the records of a subject.

    :ivar records: records of the subject that were read
    :ivar complete: whether every index page and batch that was needed could be read
    """

    records: list[DecisionRecord] = field(default_factory=list)
    complete: bool = True


@dataclass(slots=True)
class Search:
    """One search for a subject, in windows of time, the most likely first."""

    store: KeyValueStore
    subject_id: str
    result: SearchResult = field(default_factory=SearchResult)
    _pages_read: int = 0

    async def run(self, wall_s: float, around_s: float | None) -> SearchResult:
        """Search windows of time until one holds records of the subject.

        :param wall_s: wall-clock time now
        :param around_s: wall-clock time near which the decisions were made, None if unknown
        :raises StoreRefused: the store cannot be read
        """
        for start_s, end_s in _windows(wall_s, around_s):
            await self._search_window(start_s, end_s)
            if self.result.records:
                # The first records of the subject may lie shortly before the start of the window.
                await self._search_window(start_s - MARGIN_S, start_s - BUCKET_S)
                break
        return self.result

    async def _search_window(self, start_s: float, end_s: float) -> None:
        digest = subject_digest(self.subject_id)
        async for suffix, index in self._index_entries(start_s, end_s):
            if index_contains(index, digest):
                await self._read_batch(suffix)

    async def _index_entries(
        self, start_s: float, end_s: float
    ) -> AsyncIterator[tuple[str, bytes]]:
        after = f"{INDEX_PREFIX}{max(0, int(start_s // BUCKET_S)):010d}"
        last_bucket = int(end_s // BUCKET_S)
        while self._pages_read < MAX_PAGES:
            self._pages_read += 1
            page = await self.store.scan(INDEX_PREFIX, PAGE_SIZE, after)
            for item in page:
                suffix = item.key.removeprefix(INDEX_PREFIX)
                if bucket_of_suffix(suffix) > last_bucket:
                    return
                yield suffix, item.value
            if len(page) < PAGE_SIZE:
                return
            after = page[-1].key
        self.result.complete = False

    async def _read_batch(self, suffix: str) -> None:
        stored = await self.store.get(BATCH_PREFIX + suffix)
        if stored is None:
            self.result.complete = False
            return
        try:
            records = decode_records(stored.value)
        except DamagedBatch:
            self.result.complete = False
            return
        self.result.records += (item for item in records if item.subject_id == self.subject_id)


def _windows(wall_s: float, around_s: float | None) -> Iterator[tuple[float, float]]:
    """Yield windows of time as (start, end), the most likely first.

    Only the window around `around_s` overlaps others.
    """
    if around_s is not None:
        yield around_s - MARGIN_S, around_s + MARGIN_S
    end_s = wall_s + BUCKET_S
    for lookback_s in LOOKBACKS_S:
        start_s = wall_s - lookback_s
        yield start_s, end_s
        end_s = start_s - BUCKET_S
    yield 0.0, end_s
