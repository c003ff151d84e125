"""Sends what is new in the records to their backups, in one batch a peer and interval."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress

from godwitpath.ports.peers import PeerMessage, PeerTransport, PeerUnreachable
from godwitpath.records.messages import (
    RecordUpdate,
    RecordUpdates,
    UpdateResult,
    UpdateResults,
    copied_outcome,
    pack,
)
from godwitpath.records.record import RequestRecord
from godwitpath.records.table import RecordCounters, RecordTable

BATCH_INTERVAL_S = 0.05
UPDATE_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.2
MAX_BATCH_BYTES = 256 * 1024


class _Link:
    """The records to send to one peer, and the task that sends them."""

    __slots__ = ("dirty", "entry_id", "task", "urgent", "wakeup")

    def __init__(self, entry_id: str) -> None:
        self.entry_id = entry_id
        self.dirty: dict[str, None] = {}
        self.wakeup = asyncio.Event()
        self.urgent = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class CopySender:
    """One task for each backup that this process has copies at.

    :ivar on_fenced: called with a record, the newer holder and its epoch
    :ivar on_missing: called with a record that the backup needs whole
    """

    def __init__(
        self,
        transport: PeerTransport,
        table: RecordTable,
        counters: RecordCounters,
        count_bytes: Callable[[str, int], None],
    ) -> None:
        self._transport = transport
        self._table = table
        self._counters = counters
        self._count_bytes = count_bytes
        self._links: dict[str, _Link] = {}
        self.on_fenced: Callable[[RequestRecord, str, int], None]
        self.on_missing: Callable[[RequestRecord], Awaitable[None]]

    def mark(self, record: RequestRecord, urgent: bool = False) -> None:
        """Note that a record has something new for its backup."""
        if not record.backup:
            return
        link = self._links.get(record.backup)
        if link is None:
            link = self._links[record.backup] = _Link(record.backup)
            link.task = asyncio.get_running_loop().create_task(self._send_batches(link))
        link.dirty[record.request_id] = None
        link.wakeup.set()
        if urgent:
            link.urgent.set()

    def drop(self, entry_id: str) -> None:
        """Stop sending to a peer."""
        link = self._links.pop(entry_id, None)
        if link is not None and link.task is not None:
            link.task.cancel()

    def close(self) -> None:
        """Stop sending to every peer."""
        for entry_id in list(self._links):
            self.drop(entry_id)

    def acknowledged(self, record: RequestRecord, result: UpdateResult) -> None:
        """Note what the backup has, and send what it has not."""
        record.copied_pieces = result.pieces
        record.copied_version = result.version
        missing = record.finished and not result.finished
        behind = len(record.pieces) > result.pieces or record.version > result.version
        if missing or behind:
            self.mark(record, urgent=missing)

    async def flush(self, entry_id: str, records: list[RequestRecord]) -> None:
        """Send what is new in some records now.

        :raises PeerUnreachable: the backup did not answer
        """
        await self._send(entry_id, [record.request_id for record in records])

    async def _send_batches(self, link: _Link) -> None:
        while True:
            await link.wakeup.wait()
            with suppress(TimeoutError):
                async with asyncio.timeout(BATCH_INTERVAL_S):
                    await link.urgent.wait()
            link.wakeup.clear()
            link.urgent.clear()
            request_ids = list(link.dirty)
            link.dirty.clear()
            try:
                await self._send(link.entry_id, request_ids)
            except PeerUnreachable:
                self._counters.copy_failures += 1
                link.dirty.update(dict.fromkeys(request_ids))
                await asyncio.sleep(RETRY_INTERVAL_S)
                link.wakeup.set()

    async def _send(self, entry_id: str, request_ids: list[str]) -> None:
        records = [self._table.get(request_id) for request_id in request_ids]
        current = [
            record
            for record in records
            if record is not None and record.held and record.backup == entry_id
        ]
        if not current:
            return
        for updates in _batches(current):
            await self._send_updates(entry_id, updates)

    async def _send_updates(self, entry_id: str, updates: list[RecordUpdate]) -> None:
        payload = pack(updates)
        self._counters.updates_sent += len(updates)
        self._counters.update_bytes += len(payload)
        self._count_bytes(entry_id, len(payload))
        message = RecordUpdates(payload)
        reply = await self._transport.request(entry_id, message, UPDATE_TIMEOUT_S)
        await self._take(entry_id, reply)

    async def _take(self, entry_id: str, reply: PeerMessage) -> None:
        if not isinstance(reply, UpdateResults):
            return
        for result in reply.results:
            record = self._table.by_handle(result.handle)
            if record is not None and record.held and record.backup == entry_id:
                await self._take_result(record, result)

    async def _take_result(self, record: RequestRecord, result: UpdateResult) -> None:
        if result.holder:
            self.on_fenced(record, result.holder, result.epoch)
        elif result.pieces < 0:
            await self.on_missing(record)
        else:
            self.acknowledged(record, result)


def _batches(records: list[RequestRecord]) -> Iterator[list[RecordUpdate]]:
    """Yield the updates of records in messages of a bounded size."""
    batch: list[RecordUpdate] = []
    size_bytes = 0
    for record in records:
        update = _update_of(record)
        batch.append(update)
        size_bytes += sum(len(piece.text) for piece in update.pieces)
        size_bytes += len(update.outcome.body) if update.outcome else 0
        if size_bytes >= MAX_BATCH_BYTES:
            yield batch
            batch, size_bytes = [], 0
    if batch:
        yield batch


def _update_of(record: RequestRecord) -> RecordUpdate:
    first = record.copied_pieces
    known = record.copied_version >= record.version
    return RecordUpdate(
        handle=record.handle,
        epoch=record.epoch,
        attempt=None if known else (record.attempt_id, record.upstream_id, record.stream_id),
        first_piece=first,
        pieces=record.pieces[first:],
        outcome=copied_outcome(record),
        version=record.version,
    )
