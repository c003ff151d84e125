"""Guards operations that must not run twice by compare-and-swap on the key-value service.

A record is created before the call leaves, and only if there is none. Nobody takes a record over
while its call could have been sent, so at most one attempt ever sends.
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

CLAIM_TRIES = 3
RETRY_AFTER_S = 5.0


class ExecutionGuard:
    """Claims, finishes and releases the execution records of one entry.

    :ivar counters: what happened to claims
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
        self._pending = PendingWrites(store, self.counters)

    async def claim(
        self, account: str, idempotency_key: str, body_digest: str, request_id: str
    ) -> Claim:
        """Claim the one execution of an account's key.

        :raises ExecutionExists: another attempt has it
        :raises BodyMismatch: the key was used with another body
        :raises ClaimRefused: the store did not confirm; the operation did not run
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
        """Note that the call may leave from now on; the claim cannot be released any more."""
        claim.sent = True

    async def finish(self, claim: Claim, outcome: Outcome) -> bool:
        """Keep the outcome for callers who ask again.

        :returns: False when the store did not take it; it is written in the background then
        """
        claim.sent = True
        record = self._changed(claim.record, "finished", outcome)
        return await self._pending.settle(claim.store_key, record, claim.revision)

    async def release(self, claim: Claim) -> bool:
        """Give a claim back whose call was provably not sent.

        :raises ValueError: the call may have been sent
        """
        if claim.sent:
            raise ValueError("a claim whose call may have been sent is not released")
        record = self._changed(claim.record, "released", None)
        return await self._pending.settle(claim.store_key, record, claim.revision)

    async def read(self, account: str, idempotency_key: str) -> ExecutionRecord | None:
        """Return the record of an account's key.

        :raises StoreRefused: the store does not answer
        """
        found = await self._store.get(store_key(account, idempotency_key))
        return decode(found.value) if found is not None else None

    async def run(self) -> None:
        """Write what the store did not take, until cancelled."""
        await self._pending.run()

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        counters = {name: getattr(self.counters, name) for name in GuardCounters.__slots__}
        return {**self._pending.dump(), "counters": counters}

    async def _create(self, attempt: _Attempt) -> Claim:
        expected = ABSENT
        error: StoreError = StoreRefused("the record changed too often")
        for _ in range(CLAIM_TRIES):
            try:
                value = encode(attempt.record)
                attempt.expected = expected
                revision = await self._store.put(attempt.store_key, value, expected)
            except StoreUncertain as uncertain:
                # The same attempt writes again: whichever write lands first wins, and the other
                # one is refused for its revision.
                attempt.uncertain = True
                error = uncertain
            except RevisionConflict as conflict:
                settled = self._settle_conflict(attempt, conflict.current)
                if isinstance(settled, Claim):
                    return settled
                expected = settled
                error = conflict
            else:
                return Claim(attempt.store_key, attempt.record, revision)
        raise error

    def _settle_conflict(self, attempt: _Attempt, current: KeyValue | None) -> Claim | int:
        """Return the claim if the record is the attempt's own, else the revision to replace."""
        if current is None:
            return ABSENT
        standing = decode(current.value)
        # A first write cannot have met itself, whatever identifiers an earlier process drew.
        if attempt.uncertain and _same_attempt(standing, attempt.record):
            self.counters.lost_answers_settled += 1
            return Claim(attempt.store_key, attempt.record, current.revision)
        if standing.state == "released":
            return current.revision
        # An own write that is still under way can only fail: the key has another owner.
        if standing.body_digest != attempt.record.body_digest:
            self.counters.mismatched += 1
            raise BodyMismatch(standing)
        self.counters.existing += 1
        raise ExecutionExists(standing)

    def _abandon(self, attempt: _Attempt) -> None:
        """Make sure that a write which may have landed does not block the key."""
        self.counters.abandoned += 1
        record = self._changed(attempt.record, "released", None)
        self._pending.add(attempt.store_key, record, attempt.expected)

    def _changed(
        self, record: ExecutionRecord, state: Any, outcome: Outcome | None
    ) -> ExecutionRecord:
        return msgspec.structs.replace(
            record, state=state, outcome=outcome, changed_at_s=self._wall_clock()
        )


def _same_attempt(one: ExecutionRecord, other: ExecutionRecord) -> bool:
    return (one.attempt_id, one.entry_id, one.incarnation) == (
        other.attempt_id,
        other.entry_id,
        other.incarnation,
    )


@dataclass(slots=True)
class _Attempt:
    """A claim under way.

    :ivar expected: revision that the last write expected
    :ivar uncertain: whether a write may still land
    """

    store_key: str
    record: ExecutionRecord
    expected: int = ABSENT
    uncertain: bool = False
