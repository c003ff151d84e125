"""Stops the generations of disconnected callers, unless a caller may request them again.

A listener is a connection over which a caller receives the stream of a generation.
"""

from __future__ import annotations

import asyncio

from godwitpath.entry.context import EntryContext
from godwitpath.entry.generate import GenerationRunner
from godwitpath.records.record import RecordRef, RequestRecord

CANCEL_AFTER_S = 0.5
"""Delay before a generation without listeners is cancelled."""


class DisconnectTracker:
    """Counts the listeners of each generation and cancels generations without listeners."""

    __slots__ = ("_context", "_listener_counts", "_runner")

    def __init__(self, context: EntryContext, runner: GenerationRunner) -> None:
        self._context = context
        self._runner = runner
        self._listener_counts: dict[str, int] = {}

    def attached(self, ref: RecordRef) -> None:
        """Count a new listener of a generation."""
        self._listener_counts[ref.request_id] = self._listener_counts.get(ref.request_id, 0) + 1

    def detached(self, ref: RecordRef) -> None:
        """Remove a listener; the last one schedules the cancellation of the generation."""
        remaining = self._listener_counts.get(ref.request_id, 0) - 1
        if remaining > 0:
            self._listener_counts[ref.request_id] = remaining
            return
        self._listener_counts.pop(ref.request_id, None)
        record = ref.record
        if record is None:
            # Another entry holds the record and counts its own listeners.
            return
        # With an idempotency key, the caller may request the response again at any entry.
        if record.outcome is None and not record.idempotency_key:
            loop = asyncio.get_running_loop()
            loop.call_later(CANCEL_AFTER_S, self._cancel_if_unattended, record)

    def _cancel_if_unattended(self, record: RequestRecord) -> None:
        if record.outcome is None and record.request_id not in self._listener_counts:
            self._context.metrics.abandoned.add(1, service=record.service)
            self._runner.cancel(record.request_id)
