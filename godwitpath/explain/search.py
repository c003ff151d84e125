"""Finds the decision records of a subject among the batches in the store."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field

from godwitpath.explain.batch import (
    BATCH_PREFIX,
    INDEX_PREFIX,
    DamagedBatch,
    bucket_of_suffix,
    decode_records,
    index_lists,
    subject_digest,
)
from godwitpath.explain.pending import BUCKET_S
from godwitpath.explain.record import DecisionRecord
from godwitpath.ports.kv import KeyValueStore

PAGE = 1000
MAX_PAGES = 400
"""Most index pages that one search reads."""

MARGIN_S = 900.0
"""Records of one subject are looked for this long around the ones found."""

WINDOWS_S = (3_600.0, 86_400.0)
"""How far back a search looks before it looks at everything."""


@dataclass(slots=True)
class Found:
    """Result of a search.

    :ivar complete: whether the search saw everything that it should
    """

    records: list[DecisionRecord] = field(default_factory=list)
    complete: bool = True


@dataclass(slots=True)
class Search:
    """One search for a subject, the newest buckets first."""

    store: KeyValueStore
    subject_id: str
    found: Found = field(default_factory=Found)
    _pages: int = 0

    async def run(self, wall_s: float, around_s: float | None) -> Found:
        """Read windows until one holds the subject.

        :param around_s: wall-clock time near which the subject was decided, None when unknown
        :raises StoreRefused: the store cannot be read
        """
        for start_s, end_s in _windows(wall_s, around_s):
            await self._read(start_s, end_s)
            if self.found.records:
                # A subject may have begun shortly before the window in which it was found.
                await self._read(start_s - MARGIN_S, start_s - BUCKET_S)
                break
        return self.found

    async def _read(self, start_s: float, end_s: float) -> None:
        digest = subject_digest(self.subject_id)
        async for suffix, index in self._index(start_s, end_s):
            if index_lists(index, digest):
                await self._read_batch(suffix)

    async def _index(self, start_s: float, end_s: float) -> AsyncIterator[tuple[str, bytes]]:
        after = f"{INDEX_PREFIX}{max(0, int(start_s // BUCKET_S)):010d}"
        last_bucket = int(end_s // BUCKET_S)
        while self._pages < MAX_PAGES:
            self._pages += 1
            page = await self.store.scan(INDEX_PREFIX, PAGE, after)
            for item in page:
                suffix = item.key.removeprefix(INDEX_PREFIX)
                if bucket_of_suffix(suffix) > last_bucket:
                    return
                yield suffix, item.value
            if len(page) < PAGE:
                return
            after = page[-1].key
        self.found.complete = False

    async def _read_batch(self, suffix: str) -> None:
        kept = await self.store.get(BATCH_PREFIX + suffix)
        if kept is None:
            self.found.complete = False
            return
        try:
            records = decode_records(kept.value)
        except DamagedBatch:
            self.found.complete = False
            return
        self.found.records += (item for item in records if item.subject_id == self.subject_id)


def _windows(wall_s: float, around_s: float | None) -> Iterator[tuple[float, float]]:
    """Yield windows of time, the likeliest first; they do not overlap but for the first."""
    if around_s is not None:
        yield around_s - MARGIN_S, around_s + MARGIN_S
    end_s = wall_s + BUCKET_S
    for window_s in WINDOWS_S:
        start_s = wall_s - window_s
        yield start_s, end_s
        end_s = start_s - BUCKET_S
    yield 0.0, end_s
