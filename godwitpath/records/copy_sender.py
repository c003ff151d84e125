"""Sends record changes to the backups, batched by peer and interval.

The holder of a record is the entry that works on the request. The epoch of a record rises whenever
its holder or backup changes.
"""

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
    outcome_for_copy,
    pack,
)
from godwitpath.records.record import RequestRecord
from godwitpath.records.table import RecordCounters, RecordTable

BATCH_INTERVAL_S = 0.05
"""Time for which the record changes for a backup are collected into one batch."""

UPDATE_TIMEOUT_S = 0.5
"""Time that a backup has to acknowledge a batch of updates."""

RETRY_INTERVAL_S = 0.2
"""Pause before changes are sent again to a backup that did not reply."""

MAX_BATCH_BYTES = 256 * 1024
"""Total size of texts and outcomes at which a batch of updates is complete."""


class _PeerQueue:
    """Records with changes for one peer, and the task that sends the changes.

    :ivar changed_ids: request identifiers of the records, as an ordered set
    :ivar urgent: set if the changes are sent before the end of the batch interval
    """

    __slots__ = ("changed_ids", "entry_id", "task", "urgent", "wakeup")

    def __init__(self, entry_id: str) -> None:
        self.entry_id = entry_id
        self.changed_ids: dict[str, None] = {}
        self.wakeup = asyncio.Event()
        self.urgent = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class CopySender:
    """Sends updates with one task for each backup that has copies from this process.

    :ivar on_fenced: called with a record that another entry took over, that entry, and the epoch in
        which that entry holds the record
    :ivar on_copy_needed: called with a record of which the backup needs a full copy
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
        self._queues: dict[str, _PeerQueue] = {}
        self.on_fenced: Callable[[RequestRecord, str, int], None]
        self.on_copy_needed: Callable[[RequestRecord], Awaitable[None]]

    def mark_dirty(self, record: RequestRecord, urgent: bool = False) -> None:
        """Queue a changed record, to send the changes to the backup of the record.

        :param urgent: send without waiting for the end of the batch interval
        """
        if not record.backup:
            return
        queue = self._queues.get(record.backup)
        if queue is None:
            queue = self._queues[record.backup] = _PeerQueue(record.backup)
            queue.task = asyncio.get_running_loop().create_task(self._send_batches(queue))
        queue.changed_ids[record.request_id] = None
        queue.wakeup.set()
        if urgent:
            queue.urgent.set()

    def drop_peer(self, entry_id: str) -> None:
        """Stop sending to a peer."""
        queue = self._queues.pop(entry_id, None)
        if queue is not None and queue.task is not None:
            queue.task.cancel()

    def close(self) -> None:
        """Stop sending to every peer."""
        for entry_id in list(self._queues):
            self.drop_peer(entry_id)

    def record_acknowledgement(self, record: RequestRecord, result: UpdateResult) -> None:
        """Store the progress that a backup acknowledged, and queue what the backup still lacks."""
        record.copied_pieces = result.pieces
        record.copied_version = result.version
        outcome_missing = record.finished and not result.finished
        behind = len(record.pieces) > result.pieces or record.version > result.version
        if outcome_missing or behind:
            self.mark_dirty(record, urgent=outcome_missing)

    async def flush(self, entry_id: str, records: list[RequestRecord]) -> None:
        """Send the changes of the given records immediately.

        :raises PeerUnreachable: the backup did not reply
        """
        await self._send(entry_id, [record.request_id for record in records])

    async def _send_batches(self, queue: _PeerQueue) -> None:
        while True:
            await queue.wakeup.wait()
            with suppress(TimeoutError):
                async with asyncio.timeout(BATCH_INTERVAL_S):
                    await queue.urgent.wait()
            queue.wakeup.clear()
            queue.urgent.clear()
            request_ids = list(queue.changed_ids)
            queue.changed_ids.clear()
            try:
                await self._send(queue.entry_id, request_ids)
            except PeerUnreachable:
                self._counters.copy_failures += 1
                queue.changed_ids.update(dict.fromkeys(request_ids))
                await asyncio.sleep(RETRY_INTERVAL_S)
                queue.wakeup.set()

    async def _send(self, entry_id: str, request_ids: list[str]) -> None:
        records = [self._table.get(request_id) for request_id in request_ids]
        to_send = [
            record
            for record in records
            if record is not None and record.held and record.backup == entry_id
        ]
        if not to_send:
            return
        for updates in _batches(to_send):
            await self._send_updates(entry_id, updates)

    async def _send_updates(self, entry_id: str, updates: list[RecordUpdate]) -> None:
        payload = pack(updates)
        self._counters.updates_sent += len(updates)
        self._counters.update_bytes += len(payload)
        self._count_bytes(entry_id, len(payload))
        message = RecordUpdates(payload)
        reply = await self._transport.request(entry_id, message, UPDATE_TIMEOUT_S)
        await self._apply_results(entry_id, reply)

    async def _apply_results(self, entry_id: str, reply: PeerMessage) -> None:
        if not isinstance(reply, UpdateResults):
            return
        for result in reply.results:
            record = self._table.get_by_handle(result.handle)
            if record is not None and record.held and record.backup == entry_id:
                await self._apply_result(record, result)

    async def _apply_result(self, record: RequestRecord, result: UpdateResult) -> None:
        if result.holder:
            self.on_fenced(record, result.holder, result.epoch)
        elif result.pieces < 0:
            await self.on_copy_needed(record)
        else:
            self.record_acknowledgement(record, result)


def _batches(records: list[RequestRecord]) -> Iterator[list[RecordUpdate]]:
    """Yield batches of updates; a batch ends once it reaches ``MAX_BATCH_BYTES``."""
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
    first_piece = record.copied_pieces
    attempt_known = record.copied_version >= record.version
    return RecordUpdate(
        handle=record.handle,
        epoch=record.epoch,
        attempt=(
            None if attempt_known else (record.attempt_id, record.upstream_id, record.stream_id)
        ),
        first_piece=first_piece,
        pieces=record.pieces[first_piece:],
        outcome=outcome_for_copy(record),
        version=record.version,
    )
