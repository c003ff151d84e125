"""Finds records and claims idempotency keys across the entries."""

from __future__ import annotations

import asyncio

from godwitpath.records.ids import Placement, placement_key, placement_of
from godwitpath.records.keys import KeyClaims
from godwitpath.records.messages import (
    ClaimKey,
    FindRecord,
    FoundRecord,
    KeyClaimed,
    ReleaseKey,
    found_of,
    local_ref,
    ref_of,
)
from godwitpath.records.peer_calls import PeerCalls
from godwitpath.records.placement import askable, key_holders
from godwitpath.records.record import KEEP_OUTCOME_S, RecordRef
from godwitpath.records.table import RecordCounters, RecordTable


class RecordFinder:
    """Looks a record up here, then at the few entries that may have it."""

    def __init__(self, calls: PeerCalls, table: RecordTable, counters: RecordCounters) -> None:
        self._calls = calls
        self._table = table
        self._counters = counters
        self.claims = KeyClaims()
        self.keep_claim_s = KEEP_OUTCOME_S
        calls.transport.handle(FindRecord, self._on_find)
        calls.transport.handle(ClaimKey, self._on_claim)
        calls.transport.handle(ReleaseKey, self._on_release)

    async def find(
        self, account: str, request_id: str = "", idempotency_key: str = ""
    ) -> RecordRef | None:
        """Return an account's own record by identifier or by idempotency key."""
        self._counters.finds += 1
        local = self._table.find(account, request_id, idempotency_key)
        if local is not None and (local.held or local.finished):
            return local_ref(local)
        known = self._known(FindRecord(account, request_id, idempotency_key))
        replies = await self._ask(account, request_id, idempotency_key)
        best = max([known, *replies], key=lambda found: found.epoch)
        best = best if best.request_id else next((r for r in replies if r.request_id), best)
        if not best.request_id:
            return None
        # A mere claim on the key tells the identifier; the record is looked for by that.
        if best.epoch == 0 and not request_id:
            return await self.find(account, best.request_id)
        return ref_of(account, best) if best.epoch else None

    async def claim_key(
        self, account: str, idempotency_key: str, body_digest: str, request_id: str
    ) -> RecordRef | None:
        """Claim a key at the entry that ranks first for it.

        :returns: the request that has the key already, None when the caller's own may run
        """
        self._counters.key_claims += 1
        holder = self._calls.local.entry_id
        wanted = ClaimKey(account, idempotency_key, body_digest, request_id, holder)
        standing = await self._claim(wanted)
        if standing is None or standing.request_id == request_id:
            return None
        self._counters.key_conflicts += 1
        found = await self.find(account, standing.request_id)
        if found is not None:
            return found
        if self._calls.is_live(standing.holder):
            # The holder has claimed and is about to accept.
            return _claimed_ref(wanted, standing)
        wanted.replaces = standing.request_id
        standing = await self._claim(wanted)
        if standing is None or standing.request_id == request_id:
            return None
        return _claimed_ref(wanted, standing)

    async def release_key(self, account: str, idempotency_key: str, request_id: str) -> None:
        """Give a claim back, because the request was refused."""
        message = ReleaseKey(account, idempotency_key, request_id)
        self.claims.release(message)
        for entry_id in self._arbiters(account, idempotency_key):
            await self._calls.transport.send(entry_id, message)

    def _arbiters(self, account: str, idempotency_key: str) -> list[str]:
        key = placement_key(account, idempotency_key)
        holders = key_holders(key, self._calls.members())
        return [member.entry_id for member in holders[:2]]

    async def _claim(self, wanted: ClaimKey) -> KeyClaimed | None:
        arbiters = self._arbiters(wanted.account, wanted.idempotency_key)
        for position, entry_id in enumerate(arbiters):
            if entry_id == self._calls.local.entry_id:
                standing: KeyClaimed | None = self._take_claim(wanted)
            else:
                standing = await self._calls.ask(entry_id, wanted, KeyClaimed)
            if standing is not None:
                await self._tell_second(wanted, standing, arbiters[position + 1 :])
                return standing
        return None

    async def _tell_second(self, wanted: ClaimKey, standing: KeyClaimed, others: list[str]) -> None:
        if standing.request_id != wanted.request_id:
            return
        for entry_id in others:
            if entry_id == self._calls.local.entry_id:
                self._take_claim(wanted)
            else:
                await self._calls.transport.send(entry_id, wanted)

    def _take_claim(self, wanted: ClaimKey) -> KeyClaimed:
        now_s = asyncio.get_running_loop().time()
        local = self._table.find(wanted.account, "", wanted.idempotency_key)
        if local is not None and local.request_id not in (wanted.request_id, wanted.replaces):
            return KeyClaimed(local.body_digest, local.request_id, local.holder)
        return self.claims.claim(wanted, now_s, self.keep_claim_s)

    def _known(self, asked: FindRecord) -> FoundRecord:
        local = self._table.find(asked.account, asked.request_id, asked.idempotency_key)
        if local is not None:
            return found_of(local)
        if asked.request_id:
            return FoundRecord()
        now_s = asyncio.get_running_loop().time()
        claim = self.claims.get(asked.account, asked.idempotency_key, now_s)
        if claim is None:
            return FoundRecord()
        return FoundRecord(claim.request_id, claim.holder, 0, asked.idempotency_key)

    async def _ask(self, account: str, request_id: str, idempotency_key: str) -> list[FoundRecord]:
        if request_id:
            placement = placement_of(request_id)
        else:
            placement = Placement(placement_key(account, idempotency_key))
        peers = [member.entry_id for member in askable(placement, self._calls.members())]
        others = [entry_id for entry_id in peers if entry_id != self._calls.local.entry_id]
        message = FindRecord(account, request_id, idempotency_key)
        replies = await self._calls.ask_all(others, message, FoundRecord)
        return [reply for _, reply in replies]

    async def _on_find(self, sender: str, message: FindRecord) -> FoundRecord:
        return self._known(message)

    async def _on_claim(self, sender: str, message: ClaimKey) -> KeyClaimed:
        return self._take_claim(message)

    async def _on_release(self, sender: str, message: ReleaseKey) -> None:
        self.claims.release(message)


def _claimed_ref(wanted: ClaimKey, standing: KeyClaimed) -> RecordRef:
    return RecordRef(
        account=wanted.account,
        request_id=standing.request_id,
        holder=standing.holder,
        idempotency_key=wanted.idempotency_key,
        body_digest=standing.body_digest,
    )
