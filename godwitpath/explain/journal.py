"""The journal of decisions: noted in memory, kept in the store, found from any entry.

Every half minute the records are compressed into one value of the store, with an index value that
lists the subjects. Both belong to a lease that is never renewed, so that the store itself drops
them when their time is over. Until a batch is kept, a peer has a copy of its records; it writes
the batch when the entry is gone.
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
from godwitpath.explain.held import HeldBatches
from godwitpath.explain.pending import PendingBatches
from godwitpath.explain.record import DecisionRecord, Story
from godwitpath.explain.search import Search
from godwitpath.ports.kv import (
    ABSENT,
    KeyValueStore,
    LeaseLapsed,
    RevisionConflict,
    StoreError,
)

INTERVAL_S = 30.0
"""Time between two batches."""

LEASE_SPAN_S = 3_600.0
"""Batches of one hour belong to one lease."""

DEFAULT_KEEP_S = 604_800.0
WRITE_ATTEMPTS = 3
MAX_SEARCHES = 2
"""Most searches that one process runs at the same moment."""

AskPeers = Callable[[str], Awaitable[list[DecisionRecord]]]
"""Asks the peers for their records of a subject that are not yet kept."""


class Journal:
    """The decisions of one process.

    :ivar keep_s: how long records are kept
    :ivar ask_peers: set by the daemon to ask the peers, None to ask nobody
    """

    def __init__(
        self,
        store: KeyValueStore,
        entry_id: str,
        incarnation: str = "0",
        rng: random.Random | None = None,
        keep_s: float = DEFAULT_KEEP_S,
        interval_s: float = INTERVAL_S,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.keep_s = keep_s
        self.ask_peers: AskPeers | None = None
        self._store = store
        self._entry_id = entry_id
        self._rng = rng or random.Random()
        self._interval_s = interval_s
        self._wall = wall_clock
        self._pending = PendingBatches(entry_id, incarnation)
        self._held = HeldBatches()
        self._announced_below = 0
        self._lease_id = 0
        self._lease_until_s = float("-inf")
        self._searches = asyncio.Semaphore(MAX_SEARCHES)
        self._writing = asyncio.Lock()

    @property
    def dropped_records(self) -> int:
        """Records lost since the store could not be written for too long."""
        return self._pending.dropped_records

    def note(self, record: DecisionRecord) -> None:
        """Add a record; it is kept within half a minute."""
        record.entry_id = self._entry_id
        self._pending.add(record, self._wall())

    async def run(self) -> None:
        """Keep a batch each interval until cancelled; entries start at different moments."""
        await asyncio.sleep(self._rng.uniform(0, self._interval_s))
        while True:
            await self.flush()
            await asyncio.sleep(self._interval_s)

    async def flush(self) -> bool:
        """Keep everything that is pending, and the batches of peers that are gone.

        :returns: whether the store took all of it
        """
        self._pending.close()
        async with self._writing:
            try:
                await self._keep_own()
                await self._keep_orphans()
            except StoreError:
                # What is left stays pending and is tried again after the interval.
                return False
        return True

    def unsent(self) -> bytes:
        """Return what was noted since the last call, for a copy at a peer; empty for nothing.

        Only the peer that is handed every part holds a whole copy. After a change of peer,
        :meth:`recopy` makes the next parts start anew.
        """
        batch = next(self._pending.uncopied(), None)
        kept_below = self._pending.kept_below()
        if batch is None:
            if kept_below == self._announced_below:
                return b""
            self._announced_below = kept_below
            name = BatchName(0, self._entry_id, self._pending.incarnation, kept_below)
            return encode_part(BatchPart(name, [], kept_below))
        records = batch.decoded()[batch.copied :]
        batch.copied = len(batch.records)
        self._announced_below = kept_below
        return encode_part(BatchPart(batch.name, records, kept_below))

    def recopy(self) -> None:
        """Hand out everything again, since another peer holds the copies from now on."""
        for batch in self._pending.batches():
            batch.copied = 0

    def adopt(self, part: bytes) -> None:
        """Hold a part of a peer's batch.

        :raises DamagedBatch: the bytes are not a part
        """
        self._held.take(decode_part(part), asyncio.get_running_loop().time())

    def peer_gone(self, entry_id: str) -> None:
        """Keep the batches held for a peer with the next flush."""
        self._held.release(entry_id)

    def not_yet_kept(self, subject_id: str) -> list[DecisionRecord]:
        """Return the records of a subject that this process holds in memory."""
        records = [*self._pending.records(), *self._held.records()]
        return [record for record in records if record.subject_id == subject_id]

    async def find(
        self, subject_id: str, account: str | None = None, around_s: float | None = None
    ) -> Story:
        """Return the story of a subject.

        :param account: account that asks, which sees its own records only; None for an operator
        :param around_s: wall-clock time near which it happened, None when unknown
        """
        story = Story(subject_id, self.not_yet_kept(subject_id))
        if self.ask_peers is not None:
            story.records += await self.ask_peers(subject_id)
        async with self._searches:
            try:
                found = await Search(self._store, subject_id).run(self._wall(), around_s)
                found.records += await configuration_records(self._store, subject_id)
            except StoreError as error:
                story.complete = False
                story.note = f"the key-value service cannot be read: {error}"
            else:
                story.records += found.records
                story.complete = found.complete
                story.note = "" if found.complete else "not every kept batch could be read"
        story.records = [item for item in _unique(story.records) if _may_see(account, item)]
        return story

    async def _keep_own(self) -> None:
        while batch := self._pending.oldest_closed():
            await self._keep(batch.name, batch.decoded())
            self._pending.kept(batch)

    async def _keep_orphans(self) -> None:
        silent_since_s = asyncio.get_running_loop().time() - 2 * self._interval_s
        for held in self._held.orphans(silent_since_s):
            await self._keep(held.name, held.records)
            self._held.forget(held)

    async def _keep(self, name: BatchName, records: list[DecisionRecord]) -> None:
        """Write a batch and its index; doing it twice, or by two entries, does no harm."""
        for attempt in range(WRITE_ATTEMPTS):
            lease_id = await self._lease()
            try:
                records = await self._write_batch(name, records, lease_id)
                await self._write_index(name, records, lease_id)
                return
            except LeaseLapsed:
                self._lease_until_s = float("-inf")
            except RevisionConflict:
                if attempt == WRITE_ATTEMPTS - 1:
                    raise

    async def _write_batch(
        self, name: BatchName, records: list[DecisionRecord], lease_id: int
    ) -> list[DecisionRecord]:
        """Write a batch, joined with what another entry wrote under its name."""
        key = BATCH_PREFIX + name.suffix()
        try:
            await self._store.put(key, encode_records(records), ABSENT, lease_id)
            return records
        except RevisionConflict as error:
            if error.current is None:
                raise
            current = error.current
        try:
            joined = _unique([*decode_records(current.value), *records])
        except DamagedBatch:
            joined = records
        value = encode_records(joined)
        if value != current.value:
            await self._store.put(key, value, current.revision, lease_id)
        return joined

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

    async def _lease(self) -> int:
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._lease_until_s:
            lease = await self._store.grant_lease(self.keep_s + LEASE_SPAN_S)
            self._lease_id = lease.lease_id
            self._lease_until_s = now_s + LEASE_SPAN_S
        return self._lease_id


def _unique(records: list[DecisionRecord]) -> list[DecisionRecord]:
    """Return the records once each, the oldest first."""
    by_form = {msgspec.msgpack.encode(record): record for record in records}
    return sorted(by_form.values(), key=lambda record: record.at)


def _may_see(account: str | None, record: DecisionRecord) -> bool:
    return account is None or (record.account == account and account != "")
