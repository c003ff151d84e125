"""Receives the record copies and updates that peers send to this entry as their backup.

The holder is the entry that works on the request and owns its record. The epoch is a number that
rises whenever the holder or the backup changes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from godwitpath.ports.peers import PeerTransport
from godwitpath.records.messages import (
    DropCopy,
    RecordCopy,
    RecordImage,
    RecordUpdate,
    RecordUpdates,
    UpdateResult,
    UpdateResults,
    record_of,
    unpack,
)
from godwitpath.records.record import PIECE_OVERHEAD_BYTES, RequestRecord
from godwitpath.records.table import RecordCounters, RecordTable


class CopyReceiver:
    """Merges record copies and updates from holders, in whatever order they arrive.

    If two entries claim to hold a record, the higher epoch wins, and at equal epochs the entry name
    that sorts last. A message of the other entry is refused, and the refusal names the current
    holder.
    """

    def __init__(
        self,
        transport: PeerTransport,
        table: RecordTable,
        counters: RecordCounters,
        demote: Callable[[RequestRecord, str, int], None],
    ) -> None:
        self._table = table
        self._counters = counters
        self._demote = demote
        transport.register_handler(RecordCopy, self._on_copy)
        transport.register_handler(RecordUpdates, self._on_updates)
        transport.register_handler(DropCopy, self._on_drop)

    async def _on_copy(self, sender: str, message: RecordCopy) -> UpdateResults:
        image = unpack(message.image, RecordImage)
        current = self._table.get(image.request_id)
        if current is not None:
            if (current.epoch, current.holder) > (image.epoch, image.holder):
                return UpdateResults([_refusal(current)])
            if current.held:
                self._demote(current, image.holder, image.epoch)
        record = record_of(image, self._now_s())
        self._counters.copies_received += 1
        # A copy that arrives after later updates must not undo these updates.
        if current is not None and _is_ahead(current, record):
            return UpdateResults([_result(current)])
        self._table.add(record)
        record.last_update_at_s = self._now_s()
        return UpdateResults([_result(record)])

    async def _on_updates(self, sender: str, message: RecordUpdates) -> UpdateResults:
        updates = unpack(message.updates, list[RecordUpdate])
        return UpdateResults([self._apply_update(sender, update) for update in updates])

    def _apply_update(self, sender: str, update: RecordUpdate) -> UpdateResult:
        record = self._table.get_by_handle(update.handle)
        self._counters.updates_received += 1
        if record is None:
            return UpdateResult(update.handle, -1)
        if (record.epoch, record.holder) > (update.epoch, sender):
            return _refusal(record)
        if record.held or (record.epoch, record.holder) != (update.epoch, sender):
            return UpdateResult(update.handle, -1)
        record.last_update_at_s = self._now_s()
        self._merge(record, update)
        return _result(record)

    def _merge(self, record: RequestRecord, update: RecordUpdate) -> None:
        if update.attempt is not None and update.version > record.version:
            record.version = update.version
            record.attempt_id, record.upstream_id, record.stream_id = update.attempt
            record.state = "running"
        # Batches may arrive twice or out of order: only pieces that continue the copy are added.
        new_pieces = update.pieces[max(0, len(record.pieces) - update.first_piece) :]
        if update.first_piece <= len(record.pieces) and new_pieces:
            record.pieces.extend(new_pieces)
            added_bytes = sum(len(piece.text) + PIECE_OVERHEAD_BYTES for piece in new_pieces)
            self._table.add_bytes(record, added_bytes)
        complete = update.first_piece + len(update.pieces) <= len(record.pieces)
        outcome_open = record.outcome is None or record.outcome.ran == "unknown"
        if update.outcome is not None and complete and outcome_open:
            record.outcome = update.outcome
            record.state = "finished"
            record.finished_at_s = self._now_s()
            self._table.add_bytes(record, len(update.outcome.body))
            record.wake()

    async def _on_drop(self, sender: str, message: DropCopy) -> None:
        record = self._table.get(message.request_id)
        if record is not None and not record.held and record.epoch <= message.epoch:
            self._table.remove(message.request_id)

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()


def _is_ahead(current: RequestRecord, received: RequestRecord) -> bool:
    same_holder = (current.epoch, current.holder) == (received.epoch, received.holder)
    return same_holder and not current.held and len(current.pieces) >= len(received.pieces)


def _refusal(current: RequestRecord) -> UpdateResult:
    return UpdateResult(current.handle, -1, current.holder, current.epoch)


def _result(record: RequestRecord) -> UpdateResult:
    return UpdateResult(
        record.handle,
        len(record.pieces),
        version=record.version,
        finished=record.finished,
    )
