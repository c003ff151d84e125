"""Keeps a backup copy of every held record, and adopts records of failed or stopped entries.

The holder of a record is the entry that works on the request. To adopt a record means to become its
holder. The epoch of a record rises whenever its holder or backup changes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from itertools import groupby

from godwitpath.membership.member import Member
from godwitpath.ports.peers import PeerUnreachable
from godwitpath.records.copy_receiver import CopyReceiver
from godwitpath.records.copy_sender import CopySender
from godwitpath.records.ids import placement_of
from godwitpath.records.messages import (
    DropCopy,
    FindRecord,
    FoundRecord,
    HandedOver,
    HandOver,
    HeldQuery,
    HeldReply,
    HolderChanged,
    OfferOutcome,
    RecordCopy,
    UpdateResults,
    image_of,
    pack,
    without_oversized_body,
)
from godwitpath.records.peer_calls import PeerCalls
from godwitpath.records.placement import MAX_CANDIDATES, backup_candidates, lookup_candidates
from godwitpath.records.record import Outcome, RequestRecord
from godwitpath.records.table import RecordCounters, RecordTable

COPY_TIMEOUT_S = 0.15
"""Time that a backup has to acknowledge a copy before the next candidate is tried."""

HAND_OVER_TIMEOUT_S = 1.0
"""Time that a backup has to accept the records of a stopping entry."""

ORPHAN_TIMEOUT_S = 5.0
"""Time without an update of a copy after which its backup queries the holder."""

MAX_CONCURRENT_REPAIRS = 16
"""Most records that an entry adopts or copies to a new backup at the same time."""


class BackupManager:
    """Places copies of held records at backups, adopts orphaned records and hands records over.

    :ivar on_adopt: called with each unfinished record that this entry took over
    :ivar on_fenced: called with each record that another entry took over
    """

    def __init__(
        self,
        calls: PeerCalls,
        table: RecordTable,
        sender: CopySender,
        counters: RecordCounters,
    ) -> None:
        self._calls = calls
        self._table = table
        self._sender = sender
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()
        self._repair_limit = asyncio.Semaphore(MAX_CONCURRENT_REPAIRS)
        self._adopted_by_holder: dict[str, set[str]] = {}
        self._adopting_ids: set[str] = set()
        self._placing_ids: set[str] = set()
        self._closed = False
        self.on_adopt: Callable[[RequestRecord], Awaitable[None]] | None = None
        self.on_fenced: Callable[[RequestRecord], None] | None = None
        sender.on_fenced = self.demote
        sender.on_copy_needed = self._resend_copy
        register = calls.transport.register_handler
        self._copy_receiver = CopyReceiver(calls.transport, table, counters, self.demote)
        register(HolderChanged, self._on_holder_changed)
        register(OfferOutcome, self._on_offer)
        register(HandOver, self._on_hand_over)
        register(HeldQuery, self._on_held_query)

    @property
    def _local_id(self) -> str:
        return self._calls.local.entry_id

    async def place_copy(self, record: RequestRecord) -> bool:
        """Copy a held record to the best-ranked backup that replies.

        :returns: whether a backup has acknowledged the copy
        """
        placement = placement_of(record.request_id)
        candidates = backup_candidates(placement, self._calls.members(), self._calls.local)
        for member in candidates[:MAX_CANDIDATES]:
            self._calls.remember_region(member)
            if not record.held:
                return False
            if await self._send_copy(record, member):
                return True
            # The copy may have arrived although no reply did; a higher epoch supersedes it.
            await self._calls.transport.send(
                member.entry_id, DropCopy(record.request_id, record.epoch)
            )
            record.epoch += 1
        record.backup = ""
        self._counters.degraded += 1
        return False

    async def _send_copy(self, record: RequestRecord, member: Member) -> bool:
        image = image_of(record, member.entry_id, self._now_s())
        image.pieces = list(record.pieces)
        payload = pack(image)
        self._counters.copies_sent += 1
        self._counters.copy_bytes += len(payload)
        self._calls.count_bytes(member.entry_id, len(payload))
        message = RecordCopy(payload)
        reply = await self._calls.request(member.entry_id, message, UpdateResults, COPY_TIMEOUT_S)
        result = reply.results[0] if reply is not None and reply.results else None
        if result is None:
            self._counters.copy_failures += 1
            return False
        if result.holder:
            self.demote(record, result.holder, result.epoch)
            return False
        record.backup = member.entry_id
        self._count_same_zone_copy(member)
        self._sender.record_acknowledgement(record, result)
        return True

    def _count_same_zone_copy(self, member: Member) -> None:
        local = self._calls.local
        if (member.region, member.availability_zone) == (local.region, local.availability_zone):
            self._counters.same_zone_copies += 1

    async def _resend_copy(self, record: RequestRecord) -> None:
        for member in self._calls.members():
            if member.entry_id == record.backup:
                await self._send_copy(record, member)
                return

    def demote(self, record: RequestRecord, holder: str, epoch: int) -> None:
        """Stop holding a record that another entry took over."""
        if not record.held or (epoch, holder) <= (record.epoch, record.holder):
            return
        record.held = False
        record.holder = holder
        record.epoch = epoch
        record.backup = ""
        if record.outcome is not None:
            self.offer_outcome(record, record.outcome)
        record.outcome = None
        record.created_at_s = self._now_s()
        self._counters.fenced += 1
        record.wake()
        if self.on_fenced is not None:
            self.on_fenced(record)

    async def _on_holder_changed(self, sender: str, message: HolderChanged) -> None:
        record = self._table.get(message.request_id)
        if record is None:
            return
        if record.held and (record.epoch, record.holder) > (message.epoch, sender):
            await self._announce_holder(sender, message.request_id)
            return
        self.demote(record, sender, message.epoch)

    def offer_outcome(self, record: RequestRecord, outcome: Outcome) -> None:
        """Send the outcome of a plain call that this entry made to the record's current holder."""
        copyable = without_oversized_body(outcome)
        if record.kind == "plain" and copyable is not None and outcome.ran == "yes":
            message = OfferOutcome(record.account, record.request_id, copyable)
            self._spawn(self._calls.transport.send(record.holder, message))

    async def _on_offer(self, sender: str, message: OfferOutcome) -> None:
        record = self._table.find(message.account, message.request_id)
        if record is None or not record.held or record.kind != "plain":
            return
        if self.set_outcome(record, message.outcome):
            self._counters.outcomes_offered += 1

    def set_outcome(self, record: RequestRecord, outcome: Outcome) -> bool:
        """Store an outcome unless the record has one that is not ``unknown``.

        :returns: whether the outcome was stored
        """
        if record.outcome is not None and record.outcome.ran != "unknown":
            return False
        record.outcome = outcome
        record.state = "finished"
        record.finished_at_s = self._now_s()
        self._table.add_bytes(record, len(outcome.body))
        record.wake()
        self._sender.mark_dirty(record, urgent=True)
        return True

    # Adoption.

    def member_changed(self, member: Member) -> None:
        """Update copies and holders after the membership state of an entry changed."""
        self._calls.remember_region(member)
        entry_id = member.entry_id
        if member.live:
            for request_id in self._adopted_by_holder.pop(entry_id, set()):
                self._spawn(self._announce_holder(entry_id, request_id))
            return
        for record in self._table:
            if record.held and record.backup == entry_id:
                self._spawn(self._place_again(record))
            elif member.state == "gone" and self._is_copy(record) and record.holder == entry_id:
                self._spawn(self._adopt(record))
        if member.state == "gone":
            self._sender.drop_peer(entry_id)

    def _is_copy(self, record: RequestRecord) -> bool:
        return not record.held and record.backup == self._local_id

    async def _place_again(self, record: RequestRecord) -> None:
        if record.request_id in self._placing_ids:
            return
        self._placing_ids.add(record.request_id)
        try:
            async with self._repair_limit:
                if record.held and self._table.get(record.request_id) is record:
                    record.epoch += 1
                    await self.place_copy(record)
        finally:
            self._placing_ids.discard(record.request_id)

    async def _adopt(self, record: RequestRecord) -> None:
        if record.request_id in self._adopting_ids:
            return
        self._adopting_ids.add(record.request_id)
        try:
            async with self._repair_limit:
                adopted = await self._take_over(record)
        finally:
            self._adopting_ids.discard(record.request_id)
        if adopted and not record.finished and self.on_adopt is not None:
            try:
                await self.on_adopt(record)
            except Exception:
                self._counters.adopt_errors += 1
                raise

    async def _take_over(self, record: RequestRecord) -> bool:
        if await self._is_superseded(record):
            self._counters.superseded += 1
            self._table.remove(record.request_id)
            return False
        if not self._is_copy(record) or self._table.get(record.request_id) is not record:
            return False
        former_holder = record.holder
        record.holder = self._local_id
        record.epoch += 1
        record.held = True
        record.backup = ""
        self._counters.adopted += 1
        self._adopted_by_holder.setdefault(former_holder, set()).add(record.request_id)
        await self._announce_holder(former_holder, record.request_id)
        await self.place_copy(record)
        record.wake()
        return record.held

    async def _is_superseded(self, record: RequestRecord) -> bool:
        candidates = lookup_candidates(placement_of(record.request_id), self._calls.members())
        others = [each.entry_id for each in candidates if each.entry_id != self._local_id]
        others = [entry_id for entry_id in others if entry_id != record.holder]
        message = FindRecord(record.account, record.request_id)
        replies = await self._calls.request_all(others, message, FoundRecord)
        return any(found.epoch > record.epoch for _, found in replies)

    async def _announce_holder(self, entry_id: str, request_id: str) -> None:
        record = self._table.get(request_id)
        if record is not None and record.held:
            message = HolderChanged(request_id, record.epoch)
            await self._calls.transport.send(entry_id, message)

    # Hand-over.

    async def hand_over(self) -> int:
        """Hand every unfinished record over to the backup of the record.

        :returns: number of records that the backups accepted
        """
        unfinished = [each for each in self._table if each.held and not each.finished]
        for record in unfinished:
            if not record.backup:
                await self.place_copy(record)
        unfinished = sorted(
            (each for each in unfinished if each.backup), key=lambda each: each.backup
        )
        groups = [(entry_id, list(group)) for entry_id, group in groupby(unfinished, _backup_of)]
        accepted = await asyncio.gather(*(self._hand_over_to(*group) for group in groups))
        self._counters.handed_over += sum(accepted)
        return sum(accepted)

    async def _hand_over_to(self, entry_id: str, records: list[RequestRecord]) -> int:
        try:
            await self._sender.flush(entry_id, records)
        except PeerUnreachable:
            self._counters.copy_failures += 1
        message = HandOver([record.request_id for record in records if record.held])
        reply = await self._calls.request(entry_id, message, HandedOver, HAND_OVER_TIMEOUT_S)
        accepted_ids = set(reply.request_ids) if reply is not None else set()
        for record in records:
            if record.request_id in accepted_ids:
                self.demote(record, entry_id, record.epoch + 1)
        return len(accepted_ids)

    async def _on_hand_over(self, sender: str, message: HandOver) -> HandedOver:
        records = [self._table.get(request_id) for request_id in message.request_ids]
        copies = [
            record
            for record in records
            if record is not None and self._is_copy(record) and record.holder == sender
        ]
        for record in copies:
            self._spawn(self._adopt(record))
        return HandedOver([record.request_id for record in copies])

    # Repair.

    async def repair(self, now_s: float) -> None:
        """Copy records that have no backup, and check copies that receive no updates."""
        without_backup = [each for each in self._table if each.held and not each.backup]
        for record in without_backup[:MAX_CONCURRENT_REPAIRS]:
            if len(self._calls.members()) > 1:
                self._spawn(self._place_again(record))
        stale = [each for each in self._table if self._is_stale(each, now_s)]
        stale.sort(key=lambda each: each.holder)
        for entry_id, group in groupby(stale, lambda each: each.holder):
            self._spawn(self._check_holder(entry_id, list(group)))

    def _is_stale(self, record: RequestRecord, now_s: float) -> bool:
        if not self._is_copy(record) or record.finished:
            return False
        return now_s - record.last_update_at_s >= ORPHAN_TIMEOUT_S

    async def _check_holder(self, holder: str, records: list[RequestRecord]) -> None:
        if not self._calls.is_live(holder):
            for record in records:
                self._spawn(self._adopt(record))
            return
        message = HeldQuery([record.request_id for record in records])
        reply = await self._calls.request(holder, message, HeldReply)
        if reply is None:
            return
        for record in records:
            record.last_update_at_s = self._now_s()
            if record.request_id in reply.unknown:
                self._spawn(self._adopt(record))
            elif record.request_id in reply.elsewhere and self._is_copy(record):
                self._table.remove(record.request_id)

    async def _on_held_query(self, sender: str, message: HeldQuery) -> HeldReply:
        reply = HeldReply([], [])
        for request_id in message.request_ids:
            record = self._table.get(request_id)
            if record is None:
                reply.unknown.append(request_id)
            elif not record.held or record.backup not in ("", sender):
                reply.elsewhere.append(request_id)
        return reply

    def close(self) -> None:
        """Cancel the background tasks, and start no new ones."""
        self._closed = True
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        if self._closed:
            coroutine.close()
            return
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()


def _backup_of(record: RequestRecord) -> str:
    return record.backup
