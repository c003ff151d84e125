"""The request record store of an entry; every record held here is copied to a backup.

The holder of a record is the entry that works on the request.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from godwitpath.membership.member import Member
from godwitpath.ports.peers import PeerTransport
from godwitpath.records.backup import BackupManager
from godwitpath.records.copy_sender import CopySender
from godwitpath.records.finder import RecordFinder
from godwitpath.records.ids import new_request_id
from godwitpath.records.peer_calls import PeerCalls
from godwitpath.records.reader import RecordReader
from godwitpath.records.record import (
    PIECE_OVERHEAD_BYTES,
    Outcome,
    Piece,
    RecordRef,
    RequestRecord,
    TextSeen,
)
from godwitpath.records.table import MAX_RECORDS_BYTES, RecordCounters, RecordTable

SWEEP_INTERVAL_S = 1.0
"""Interval at which records expire and missing copies are restored."""


class RecordStore:
    """Holds the records of this entry and copies of its peers' records.

    :ivar counters: numbers of record events since the process started
    """

    def __init__(
        self,
        local: Member,
        transport: PeerTransport,
        live: Callable[[], list[Member]],
        rng: random.Random,
        max_bytes: int = MAX_RECORDS_BYTES,
    ) -> None:
        self._local = local
        self._rng = rng
        self.counters = RecordCounters()
        self._table = RecordTable(self.counters, max_bytes)
        calls = PeerCalls(local, transport, live, self.counters)
        self._sender = CopySender(transport, self._table, self.counters, calls.count_bytes)
        self._finder = RecordFinder(calls, self._table, self.counters)
        self._reader = RecordReader(calls, self._table, self._finder, rng)
        self._backup_manager = BackupManager(calls, self._table, self._sender, self.counters)

    @property
    def on_adopt(self) -> Callable[[RequestRecord], Awaitable[None]] | None:
        """Called with each record that this process took over and must finish."""
        return self._backup_manager.on_adopt

    @on_adopt.setter
    def on_adopt(self, callback: Callable[[RequestRecord], Awaitable[None]] | None) -> None:
        self._backup_manager.on_adopt = callback

    @property
    def on_fenced(self) -> Callable[[RequestRecord], None] | None:
        """Called with each record that another entry took over; this entry must stop work on it."""
        return self._backup_manager.on_fenced

    @on_fenced.setter
    def on_fenced(self, callback: Callable[[RequestRecord], None] | None) -> None:
        self._backup_manager.on_fenced = callback

    def new_request_id(self, account: str, idempotency_key: str = "") -> str:
        """Return a request identifier by which any entry can find the record."""
        return new_request_id(self._rng, self._local, account, idempotency_key)

    async def accept(self, record: RequestRecord) -> bool:
        """Hold a record and copy it to a backup.

        :returns: whether a backup acknowledged the copy; if not, the record has no backup yet
        """
        record.holder = self._local.entry_id
        record.held = True
        record.created_at_s = self._now_s()
        self.counters.accepted += 1
        self._table.add(record)
        return await self._backup_manager.place_copy(record)

    def begin_attempt(self, record: RequestRecord, attempt_id: str, upstream_id: str) -> bool:
        """Set the attempt that produces the following pieces of the record.

        :returns: False if another entry took the record over; nothing may then be sent
        """
        if not self._check_held(record):
            return False
        record.attempt_id = attempt_id
        record.upstream_id = upstream_id
        record.stream_id = ""
        record.state = "running"
        record.version += 1
        self._sender.mark_dirty(record)
        return True

    def set_stream(self, record: RequestRecord, stream_id: str) -> bool:
        """Set the engine's identifier of the running stream.

        :returns: False if another entry took the record over
        """
        if not self._check_held(record):
            return False
        record.stream_id = stream_id
        record.version += 1
        self._sender.mark_dirty(record)
        return True

    def append(self, record: RequestRecord, piece: Piece) -> bool:
        """Add a piece from the current attempt.

        :returns: False if another entry took the record over
        """
        if not self._check_held(record):
            return False
        record.pieces.append(piece)
        self._table.add_bytes(record, len(piece.text) + PIECE_OVERHEAD_BYTES)
        record.wake()
        self._sender.mark_dirty(record)
        return True

    def finish(self, record: RequestRecord, outcome: Outcome) -> bool:
        """Store the outcome and send it to the backup immediately.

        :returns: False if another entry took the record over
        """
        if not self._check_held(record):
            self._backup_manager.offer_outcome(record, outcome)
            return False
        self._backup_manager.set_outcome(record, outcome)
        return True

    async def find(
        self, account: str, request_id: str = "", idempotency_key: str = ""
    ) -> RecordRef | None:
        """Return a record of the account by identifier or by idempotency key."""
        return await self._finder.find(account, request_id, idempotency_key)

    async def claim_key(
        self, account: str, idempotency_key: str, body_digest: str, request_id: str
    ) -> RecordRef | None:
        """Claim an idempotency key for a new request.

        :returns: the request that already has the key; None if the caller's request may run
        """
        return await self._finder.claim_key(account, idempotency_key, body_digest, request_id)

    async def release_key(self, account: str, idempotency_key: str, request_id: str) -> None:
        """Release the claim on an idempotency key after the request was refused."""
        await self._finder.release_key(account, idempotency_key, request_id)

    def follow(
        self, ref: RecordRef, after_tokens: int, seen: TextSeen | None = None
    ) -> AsyncIterator[list[Piece]]:
        """Yield the pieces after an offset until the outcome, from any holder of the record."""
        return self._reader.follow(ref, after_tokens, seen)

    async def outcome(self, ref: RecordRef) -> Outcome:
        """Wait for the outcome from any holder of the record."""
        return await self._reader.outcome(ref)

    def member_changed(self, member: Member) -> None:
        """Update copies and holders after the membership state of an entry changed."""
        self._backup_manager.member_changed(member)

    async def hand_over(self) -> int:
        """Hand every unfinished record over to the backup of the record.

        :returns: number of records that the backups accepted
        """
        return await self._backup_manager.hand_over()

    async def run(self) -> None:
        """Expire records and restore missing copies until cancelled."""
        try:
            while True:
                await asyncio.sleep(SWEEP_INTERVAL_S)
                now_s = self._now_s()
                self._table.expire(now_s)
                self._finder.claims.expire(now_s)
                await self._backup_manager.repair(now_s)
        finally:
            self._sender.close()
            self._backup_manager.close()
            self._reader.close()

    def records(self) -> list[RequestRecord]:
        """Return the records that this entry holds."""
        return [record for record in self._table if record.held]

    def dump(self) -> dict[str, Any]:
        """Return the state for operators, without any caller's text."""
        records = list(self._table)
        return {
            "held": sum(record.held for record in records),
            "held_unfinished": sum(record.held and not record.finished for record in records),
            "copies": sum(not record.held for record in records),
            "size_bytes": self._table.size_bytes,
            "key_claims": len(self._finder.claims),
            "counters": {name: getattr(self.counters, name) for name in RecordCounters.__slots__},
        }

    def _check_held(self, record: RequestRecord) -> bool:
        if record.held:
            return True
        self.counters.fenced_writes += 1
        return False

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()
