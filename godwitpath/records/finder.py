"""Finds records and claims idempotency keys across the entries.

The holder of a record is the entry that works on the request. The epoch of a record rises whenever
its holder or backup changes.

The arbiters of an idempotency key are the two entries that rank first for the key. The first of
them that replies grants the key to one request; the other keeps a copy of the claim.
"""

from __future__ import annotations

import asyncio

from godwitpath.records.ids import Placement, placement_key, placement_of
from godwitpath.records.key_claims import KeyClaims
from godwitpath.records.messages import (
    ClaimKey,
    FindRecord,
    FoundRecord,
    KeyClaimed,
    ReleaseKey,
    found_record_of,
    local_ref,
    ref_of,
)
from godwitpath.records.peer_calls import PeerCalls
from godwitpath.records.placement import key_arbiters, lookup_candidates
from godwitpath.records.record import KEEP_OUTCOME_S, RecordRef
from godwitpath.records.table import RecordCounters, RecordTable

MAX_CLAIM_WAIT_S = 5.0
"""Time that the other claimant of a key has to accept its request, before its reader searches."""

CLAIM_CHECK_INTERVAL_S = 0.1
"""Interval between checks whether the other claimant of a key has accepted its request."""


class RecordFinder:
    """Looks a record up locally, then at the few entries that may have the record.

    :ivar claims: idempotency key claims that this entry arbitrates
    :ivar claim_lifetime_s: time after which a claim on an idempotency key expires
    """

    def __init__(self, calls: PeerCalls, table: RecordTable, counters: RecordCounters) -> None:
        self._calls = calls
        self._table = table
        self._counters = counters
        self.claims = KeyClaims()
        self.claim_lifetime_s = KEEP_OUTCOME_S
        calls.transport.register_handler(FindRecord, self._on_find)
        calls.transport.register_handler(ClaimKey, self._on_claim)
        calls.transport.register_handler(ReleaseKey, self._on_release)

    async def find(
        self, account: str, request_id: str = "", idempotency_key: str = ""
    ) -> RecordRef | None:
        """Return a record of the account by identifier or by idempotency key.

        :returns: None if no reachable entry has a record of this account
        """
        self._counters.finds += 1
        local = self._table.find(account, request_id, idempotency_key)
        if local is not None and (local.held or local.finished):
            return local_ref(local)
        local_result = self._find_locally(FindRecord(account, request_id, idempotency_key))
        replies = await self._find_at_peers(account, request_id, idempotency_key)
        best = max([local_result, *replies], key=lambda found: found.epoch)
        best = (
            best
            if best.request_id
            else next((reply for reply in replies if reply.request_id), best)
        )
        if not best.request_id:
            return None
        # A key claim (epoch 0) only gives the identifier; the record is then looked up by this
        # identifier.
        if best.epoch == 0 and not request_id:
            return await self.find(account, best.request_id)
        return ref_of(account, best) if best.epoch else None

    async def claim_key(
        self, account: str, idempotency_key: str, body_digest: str, request_id: str
    ) -> RecordRef | None:
        """Claim an idempotency key at the entry that ranks first for the key.

        A key that another entry has claimed for a request that it has not accepted yet is waited
        for, for at most ``MAX_CLAIM_WAIT_S``.

        :returns: the request that already has the key; None if the caller's request may run
        """
        self._counters.key_claims += 1
        holder = self._calls.local.entry_id
        request = ClaimKey(account, idempotency_key, body_digest, request_id, holder)
        current = await self._claim_at_arbiter(request)
        if current is None or current.request_id == request_id:
            return None
        self._counters.key_conflicts += 1
        return await self._await_claimed(request, current)

    async def _await_claimed(self, request: ClaimKey, current: KeyClaimed) -> RecordRef | None:
        """Wait until the other claimant of a key accepts its request, releases the key or fails.

        :returns: the claimant's request; None if the key was claimed in its place
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + MAX_CLAIM_WAIT_S
        while True:
            found = await self.find(request.account, current.request_id)
            if found is not None:
                return found
            claimant_is_live = self._calls.is_live(current.holder)
            other_body = current.body_digest != request.body_digest
            if loop.time() >= end_s or (claimant_is_live and other_body):
                return _claimed_ref(request, current)
            if not claimant_is_live:
                request.replaces = current.request_id
            await asyncio.sleep(CLAIM_CHECK_INTERVAL_S)
            latest = await self._claim_at_arbiter(request)
            if latest is None and self._calls.is_live(current.holder):
                # No arbiter responded, so the key is still the claimant's.
                continue
            if latest is None or latest.request_id == request.request_id:
                return None
            current = latest

    async def release_key(self, account: str, idempotency_key: str, request_id: str) -> None:
        """Release the claim on an idempotency key after the request was refused."""
        message = ReleaseKey(account, idempotency_key, request_id)
        self.claims.release(message)
        for entry_id in self._arbiters(account, idempotency_key):
            await self._calls.transport.send(entry_id, message)

    def _arbiters(self, account: str, idempotency_key: str) -> list[str]:
        key = placement_key(account, idempotency_key)
        arbiters = key_arbiters(key, self._calls.members())
        return [member.entry_id for member in arbiters[:2]]

    async def _claim_at_arbiter(self, request: ClaimKey) -> KeyClaimed | None:
        arbiters = self._arbiters(request.account, request.idempotency_key)
        for position, entry_id in enumerate(arbiters):
            if entry_id == self._calls.local.entry_id:
                current: KeyClaimed | None = self._claim_locally(request)
            else:
                current = await self._calls.request(entry_id, request, KeyClaimed)
            if current is not None:
                await self._replicate_claim(request, current, arbiters[position + 1 :])
                return current
        return None

    async def _replicate_claim(
        self, request: ClaimKey, current: KeyClaimed, others: list[str]
    ) -> None:
        if current.request_id != request.request_id:
            return
        for entry_id in others:
            if entry_id == self._calls.local.entry_id:
                self._claim_locally(request)
            else:
                await self._calls.transport.send(entry_id, request)

    def _claim_locally(self, request: ClaimKey) -> KeyClaimed:
        now_s = asyncio.get_running_loop().time()
        local = self._table.find(request.account, "", request.idempotency_key)
        if local is not None and local.request_id not in (request.request_id, request.replaces):
            return KeyClaimed(local.body_digest, local.request_id, local.holder)
        return self.claims.claim(request, now_s, self.claim_lifetime_s)

    def _find_locally(self, query: FindRecord) -> FoundRecord:
        local = self._table.find(query.account, query.request_id, query.idempotency_key)
        if local is not None:
            return found_record_of(local)
        if query.request_id:
            return FoundRecord()
        now_s = asyncio.get_running_loop().time()
        claim = self.claims.get(query.account, query.idempotency_key, now_s)
        if claim is None:
            return FoundRecord()
        return FoundRecord(claim.request_id, claim.holder, 0, query.idempotency_key)

    async def _find_at_peers(
        self, account: str, request_id: str, idempotency_key: str
    ) -> list[FoundRecord]:
        if request_id:
            placement = placement_of(request_id)
        else:
            placement = Placement(placement_key(account, idempotency_key))
        peers = [member.entry_id for member in lookup_candidates(placement, self._calls.members())]
        others = [entry_id for entry_id in peers if entry_id != self._calls.local.entry_id]
        message = FindRecord(account, request_id, idempotency_key)
        replies = await self._calls.request_all(others, message, FoundRecord)
        return [reply for _, reply in replies]

    async def _on_find(self, sender: str, message: FindRecord) -> FoundRecord:
        return self._find_locally(message)

    async def _on_claim(self, sender: str, message: ClaimKey) -> KeyClaimed:
        return self._claim_locally(message)

    async def _on_release(self, sender: str, message: ReleaseKey) -> None:
        self.claims.release(message)


def _claimed_ref(request: ClaimKey, current: KeyClaimed) -> RecordRef:
    return RecordRef(
        account=request.account,
        request_id=current.request_id,
        holder=current.holder,
        idempotency_key=request.idempotency_key,
        body_digest=current.body_digest,
    )
