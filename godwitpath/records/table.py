"""The table of records that this process holds or has a copy of, bounded in time and memory.

A process holds a record if it works on the request; otherwise it may have a copy of the record.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from godwitpath.records.ids import handle_of
from godwitpath.records.record import RequestRecord

MAX_RECORDS_BYTES = 64 * 1024 * 1024
"""Estimated memory of all records above which the oldest finished records are removed."""


@dataclass(slots=True)
class RecordCounters:
    """Numbers of record events since the process started.

    :ivar degraded: attempts to place a copy that no backup acknowledged
    :ivar cross_region_bytes: bytes of copies and updates sent to entries in other regions
    :ivar same_zone_copies: copies placed in the holder's own availability zone
    :ivar superseded: copies not adopted because another entry holds the record in a higher epoch
    :ivar fenced: held records that another entry took over
    :ivar fenced_writes: refused writes to records that this entry no longer holds
    """

    accepted: int = 0
    degraded: int = 0
    copies_sent: int = 0
    copies_received: int = 0
    updates_sent: int = 0
    updates_received: int = 0
    copy_bytes: int = 0
    update_bytes: int = 0
    cross_region_bytes: int = 0
    same_zone_copies: int = 0
    copy_failures: int = 0
    adopted: int = 0
    adopt_errors: int = 0
    superseded: int = 0
    fenced: int = 0
    fenced_writes: int = 0
    outcomes_offered: int = 0
    handed_over: int = 0
    finds: int = 0
    key_claims: int = 0
    key_conflicts: int = 0
    expired: int = 0
    dropped_for_memory: int = 0


class RecordTable:
    """Records by request identifier, idempotency key and handle.

    :ivar size_bytes: estimated memory of all records
    """

    def __init__(self, counters: RecordCounters, max_bytes: int = MAX_RECORDS_BYTES) -> None:
        self._counters = counters
        self._max_bytes = max_bytes
        self._by_id: dict[str, RequestRecord] = {}
        self._by_key: dict[tuple[str, str], str] = {}
        self._by_handle: dict[int, str] = {}
        self.size_bytes = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[RequestRecord]:
        return iter(list(self._by_id.values()))

    def get(self, request_id: str) -> RequestRecord | None:
        """Return a record of any account; only for messages between holder and backup."""
        return self._by_id.get(request_id)

    def get_by_handle(self, handle: int) -> RequestRecord | None:
        """Return the record with a handle, which holder and backup use in their messages."""
        return self._by_id.get(self._by_handle.get(handle, ""))

    def find(
        self, account: str, request_id: str = "", idempotency_key: str = ""
    ) -> RequestRecord | None:
        """Return a record of the account by identifier or by idempotency key."""
        if not request_id:
            request_id = self._by_key.get((account, idempotency_key), "")
        record = self._by_id.get(request_id)
        return record if record is not None and record.account == account else None

    def add(self, record: RequestRecord) -> None:
        """Add a record, replacing any record with the same identifier."""
        self.remove(record.request_id)
        self._by_id[record.request_id] = record
        record.handle = handle_of(record.request_id)
        self._by_handle[record.handle] = record.request_id
        if record.idempotency_key:
            self._by_key[record.account, record.idempotency_key] = record.request_id
        record.size_bytes = record.compute_size_bytes()
        self.size_bytes += record.size_bytes

    def add_bytes(self, record: RequestRecord, size_bytes: int) -> None:
        """Count additional memory of a record."""
        if self._by_id.get(record.request_id) is record:
            record.size_bytes += size_bytes
            self.size_bytes += size_bytes

    def remove(self, request_id: str) -> None:
        """Remove a record if it exists."""
        record = self._by_id.pop(request_id, None)
        if record is None:
            return
        self.size_bytes -= record.size_bytes
        self._by_handle.pop(record.handle, None)
        key = (record.account, record.idempotency_key)
        if self._by_key.get(key) == request_id:
            del self._by_key[key]

    def expire(self, now_s: float) -> None:
        """Remove expired records, and the oldest finished records while above the memory bound."""
        for record in self:
            if now_s >= self._expires_at_s(record):
                self._counters.expired += 1
                self.remove(record.request_id)
        if self.size_bytes > self._max_bytes:
            self._evict_finished()

    def _evict_finished(self) -> None:
        finished = [record for record in self if record.finished]
        finished.sort(key=lambda record: record.finished_at_s)
        for record in finished:
            if self.size_bytes <= self._max_bytes:
                return
            self._counters.dropped_for_memory += 1
            self.remove(record.request_id)

    @staticmethod
    def _expires_at_s(record: RequestRecord) -> float:
        if record.finished:
            return record.finished_at_s + record.keep_outcome_s
        # A held record stays until it has an outcome.
        if record.held:
            return float("inf")
        return record.created_at_s + record.timeout_s + record.keep_outcome_s
