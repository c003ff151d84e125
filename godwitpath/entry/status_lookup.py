"""Queries a plain service for the outcome of a call after its response was lost."""

from __future__ import annotations

import asyncio
import time
from urllib.parse import quote

from godwitpath.entry.context import EntryContext
from godwitpath.execution.late_outcome import store_late_outcome
from godwitpath.ports.kv import KeyValueStore
from godwitpath.ports.service import ServiceCall, ServiceError, ServiceResponse
from godwitpath.records.record import Outcome, RequestRecord

LOOKUP_TIMEOUT_S = 1.0
"""Timeout of one status query to one upstream."""

MAX_LOOKUPS = 3
"""Most lookups of one outcome; also the most upstreams that one lookup queries."""

LOOKUP_PAUSE_S = 0.3
"""Pause between lookups."""


class StatusLookup:
    """Finds the outcomes of calls through the status path of the called operation.

    Only a positive response is taken as the outcome: if the service does not know the key, the call
    may still be in transit.
    """

    __slots__ = ("_context", "_store")

    def __init__(self, context: EntryContext, store: KeyValueStore) -> None:
        self._context = context
        self._store = store

    async def outcome(self, record: RequestRecord, status_path: str) -> Outcome | None:
        """Return the outcome of a call as reported by the service, None if no upstream reports one.

        :param status_path: path that contains `{key}`, empty for a service without lookup
        """
        if not status_path or not record.idempotency_key:
            return None
        path = status_path.replace("{key}", quote(record.idempotency_key, safe=""))
        for attempt in range(MAX_LOOKUPS):
            if attempt:
                await asyncio.sleep(LOOKUP_PAUSE_S)
            response = await self._query(record, path)
            if response is not None and 200 <= response.status < 300:
                return await self._store_outcome(record, response)
        return None

    async def _query(self, record: RequestRecord, path: str) -> ServiceResponse | None:
        context = self._context
        for upstream in context.upstreams.serving(record.service)[:MAX_LOOKUPS]:
            call = ServiceCall(
                method="GET",
                path=path,
                headers=[],
                body=b"",
                request_id=record.request_id,
                attempt_id=context.new_id(),
                timeout_s=LOOKUP_TIMEOUT_S,
                new_connection=True,
            )
            try:
                return await context.plain.call(upstream.address, call)
            except ServiceError as error:
                context.metrics.unknown_outcomes.add(1, cause=type(error).__name__)
        return None

    async def _store_outcome(self, record: RequestRecord, response: ServiceResponse) -> Outcome:
        outcome = Outcome(
            status=200,
            content_type="application/json",
            body=response.body,
            headers=[("content-type", "application/json")],
            ran="yes",
        )
        await store_late_outcome(
            self._store, record.account, record.idempotency_key, outcome, time.time()
        )
        return outcome
