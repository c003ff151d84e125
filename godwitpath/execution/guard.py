"""At-most-once guard of non-idempotent calls, by compare-and-swap on the key-value store.

An attempt creates the execution record of an idempotency key before it sends the call, and only if
no record exists. No other attempt replaces the record while the call may have been sent, so at most
one attempt ever sends.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from godwitpath.execution.pending import GuardCounters, PendingWrites
from godwitpath.execution.record import (
    BodyMismatch,
    Claim,
    ClaimRefused,
    ExecutionExists,
    ExecutionRecord,
    decode,
    encode,
    store_key,
)
from godwitpath.ports.kv import (
    ABSENT,
    KeyValue,
    KeyValueStore,
    RevisionConflict,
    StoreError,
    StoreRefused,
    StoreUncertain,
)
from godwitpath.records.record import Outcome

MAX_CLAIM_WRITES = 3
"""Most writes that one claim tries before it is refused."""

RETRY_AFTER_S = 5.0
"""Retry-after of a call whose claim the store did not confirm."""


class ExecutionGuard:
    """Claims, finishes and releases the execution records of one entry.

    :ivar counters: numbers of claims and final writes by result
    """

    def __init__(
        self,
        store: KeyValueStore,
        entry_id: str,
        incarnation: str,
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._rng = rng
        self._wall_clock = wall_clock
        self.counters = GuardCounters()
        self._pending_writes = PendingWrites(store, self.counters)

    async def claim(
        self, account: str, idempotency_key: str, body_digest: str, request_id: str
    ) -> Claim:
        """Claim the only execution of an account's idempotency key.

        :raises ExecutionExists: another attempt holds the key
        :raises BodyMismatch: the key was used with a different body
        :raises ClaimRefused: the store did not confirm the claim; the operation did not run
        """
        record = ExecutionRecord(
            state="sent",
            account=account,
            body_digest=body_digest,
            attempt_id=f"{self._rng.getrandbits(128):032x}",
            entry_id=self._entry_id,
            incarnation=self._incarnation,
            request_id=request_id,
            changed_at_s=self._wall_clock(),
        )
        attempt = _Attempt(store_key(account, idempotency_key), record)
        try:
            claim = await self._create(attempt)
        except asyncio.CancelledError:
            self._abandon(attempt)
            raise
        except StoreError as error:
            self.counters.refused += 1
            if attempt.uncertain:
                self._abandon(attempt)
            raise ClaimRefused(f"not run: {error}", RETRY_AFTER_S) from error
        self.counters.claimed += 1
        return claim

    async def mark_sent(self, claim: Claim) -> None:
        """Mark that the call of a claim may be sent from now on: no later release is possible."""
        claim.sent = True

    async def finish(self, claim: Claim, outcome: Outcome) -> bool:
        """Store the outcome of a claimed call for callers that repeat the call.

        :returns: False if the store did not confirm; the outcome is then written in the background
        """
        claim.sent = True
        record = self._with_state(claim.record, "finished", outcome)
        return await self._pending_writes.write_final_state(claim.store_key, record, claim.revision)

    async def release(self, claim: Claim) -> bool:
        """Release a claim whose call was provably not sent.

        :raises ValueError: the call may have been sent
        """
        if claim.sent:
            raise ValueError("cannot release the claim: its call may have been sent")
        record = self._with_state(claim.record, "released", None)
        return await self._pending_writes.write_final_state(claim.store_key, record, claim.revision)

    async def read(self, account: str, idempotency_key: str) -> ExecutionRecord | None:
        """Return the execution record of an account's idempotency key, None if there is none.

        :raises StoreRefused: the store did not respond
        """
        found = await self._store.get(store_key(account, idempotency_key))
        return decode(found.value) if found is not None else None

    async def run(self) -> None:
        """Retry unconfirmed writes of final states until cancelled."""
        await self._pending_writes.run()

    def dump(self) -> dict[str, Any]:
        """Return the state of the guard as plain data for the state dump."""
        counters = {name: getattr(self.counters, name) for name in GuardCounters.__slots__}
        return {**self._pending_writes.dump(), "counters": counters}

    async def _create(self, attempt: _Attempt) -> Claim:
        expected_revision = ABSENT
        error: StoreError = StoreRefused("the record changed too often")
        for _ in range(MAX_CLAIM_WRITES):
            try:
                value = encode(attempt.record)
                attempt.expected_revision = expected_revision
                revision = await self._store.put(attempt.store_key, value, expected_revision)
            except StoreUncertain as uncertain:
                # The attempt repeats the write. The first of the two writes to take effect wins;
                # the other write fails with a revision conflict.
                attempt.uncertain = True
                error = uncertain
            except RevisionConflict as conflict:
                resolution = self._resolve_conflict(attempt, conflict.current)
                if isinstance(resolution, Claim):
                    return resolution
                expected_revision = resolution
                error = conflict
            else:
                return Claim(attempt.store_key, attempt.record, revision)
        raise error

    def _resolve_conflict(self, attempt: _Attempt, current: KeyValue | None) -> Claim | int:
        """Return the claim if the attempt wrote the record, else the revision to replace.

        :raises BodyMismatch: the key was used with a different body
        :raises ExecutionExists: another attempt holds the key
        """
        if current is None:
            return ABSENT
        existing_record = decode(current.value)
        # Only a repeated write can conflict with itself. A record that conflicts with a first write
        # belongs to an earlier process, even if that process drew the same identifiers.
        if attempt.uncertain and _same_attempt(existing_record, attempt.record):
            self.counters.lost_answers_settled += 1
            return Claim(attempt.store_key, attempt.record, current.revision)
        if existing_record.state == "released":
            return current.revision
        # An unconfirmed write of this attempt can no longer take effect: the key has another owner.
        if existing_record.body_digest != attempt.record.body_digest:
            self.counters.mismatched += 1
            raise BodyMismatch(existing_record)
        self.counters.existing += 1
        raise ExecutionExists(existing_record)

    def _abandon(self, attempt: _Attempt) -> None:
        """Release the key in the background, since an unconfirmed write may have claimed it."""
        self.counters.abandoned += 1
        record = self._with_state(attempt.record, "released", None)
        self._pending_writes.add(attempt.store_key, record, attempt.expected_revision)

    def _with_state(
        self, record: ExecutionRecord, state: Any, outcome: Outcome | None
    ) -> ExecutionRecord:
        return msgspec.structs.replace(
            record, state=state, outcome=outcome, changed_at_s=self._wall_clock()
        )


def _same_attempt(left: ExecutionRecord, right: ExecutionRecord) -> bool:
    return (left.attempt_id, left.entry_id, left.incarnation) == (
        right.attempt_id,
        right.entry_id,
        right.incarnation,
    )


@dataclass(slots=True)
class _Attempt:
    """A claim that is not confirmed yet.

    :ivar expected_revision: revision that the last write expected
    :ivar uncertain: whether an unconfirmed write may have taken effect or may still do so
    """

    store_key: str
    record: ExecutionRecord
    expected_revision: int = ABSENT
    uncertain: bool = False
