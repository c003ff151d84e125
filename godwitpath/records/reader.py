"""Reads a record's text and outcome wherever it is held, across changes of the holder."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from godwitpath.errors import GodwitpathError
from godwitpath.ports.peers import PeerMessage
from godwitpath.records.finder import RecordFinder
from godwitpath.records.messages import AwaitOutcome, FollowRecord, RecordPieces
from godwitpath.records.peer_calls import PeerCalls
from godwitpath.records.record import (
    OffsetUnknown,
    Outcome,
    Piece,
    RecordMoved,
    RecordRef,
    RequestRecord,
    TextSeen,
)
from godwitpath.records.table import RecordTable

POLL_S = 1.0
POLL_MARGIN_S = 0.5
RETRY_INTERVAL_S = 0.1
GIVE_UP_S = 20.0


class RecordLost(GodwitpathError):
    """No entry that could be reached holds the record."""


class _Search:
    """The holder as it is known, and when it was last heard."""

    __slots__ = ("heard_at_s", "ref")

    def __init__(self, ref: RecordRef, now_s: float) -> None:
        self.ref = ref
        self.heard_at_s = now_s


class RecordReader:
    """Follows records by long polls and serves the polls of peers."""

    def __init__(self, calls: PeerCalls, table: RecordTable, finder: RecordFinder) -> None:
        self._calls = calls
        self._table = table
        self._finder = finder
        calls.transport.handle(FollowRecord, self._on_follow)
        calls.transport.handle(AwaitOutcome, self._on_await)

    async def follow(
        self, ref: RecordRef, after_tokens: int, seen: TextSeen | None = None
    ) -> AsyncIterator[list[Piece]]:
        """Yield the pieces behind an offset until the outcome, whoever holds the record.

        :raises OffsetUnknown: the answer cannot be continued there
        :raises RecordLost: nobody who holds it was found in time
        """
        search = _Search(ref, self._now_s())
        if seen is None and after_tokens == 0:
            seen = TextSeen()
        while True:
            record = self._readable(ref)
            if record is not None:
                batches = record.follow(after_tokens, seen)
            else:
                batches = self._poll_pieces(search, after_tokens, seen)
            try:
                async with aclosing(batches):  # type: ignore[type-var]
                    async for batch in batches:
                        yield batch
                        after_tokens = batch[-1].offset + batch[-1].tokens
                        seen = seen.extended(batch) if seen is not None else None
                return
            except RecordMoved:
                await self._search_again(search)

    async def outcome(self, ref: RecordRef) -> Outcome:
        """Wait for the outcome, whoever holds the record.

        :raises RecordLost: nobody who holds it was found in time
        """
        search = _Search(ref, self._now_s())
        while True:
            try:
                record = self._readable(ref)
                if record is not None:
                    return await record.wait_outcome()
                message = AwaitOutcome(ref.account, ref.request_id, POLL_S)
                reply = await self._poll(search, message)
                if reply.outcome is not None:
                    return reply.outcome
            except RecordMoved:
                await self._search_again(search)

    def _readable(self, ref: RecordRef) -> RequestRecord | None:
        record = self._table.find(ref.account, ref.request_id)
        return record if record is not None and (record.held or record.finished) else None

    async def _poll_pieces(
        self, search: _Search, after_tokens: int, seen: TextSeen | None
    ) -> AsyncIterator[list[Piece]]:
        ref = search.ref
        while True:
            message = FollowRecord(ref.account, ref.request_id, after_tokens, seen, POLL_S)
            reply = await self._poll(search, message)
            if reply.offset_unknown:
                raise OffsetUnknown("the answer cannot be continued from the offset")
            if reply.pieces:
                yield reply.pieces
                after_tokens = reply.pieces[-1].offset + reply.pieces[-1].tokens
                seen = seen.extended(reply.pieces) if seen is not None else None
            elif reply.outcome is not None:
                return

    async def _poll(self, search: _Search, message: PeerMessage) -> RecordPieces:
        ref = search.ref
        timeout_s = POLL_S + POLL_MARGIN_S
        reply = await self._calls.ask(ref.holder, message, RecordPieces, timeout_s)
        if reply is None or not reply.held:
            raise RecordMoved(ref.request_id, reply.holder if reply else "")
        search.heard_at_s = self._now_s()
        return reply

    async def _search_again(self, search: _Search) -> None:
        if self._now_s() - search.heard_at_s > GIVE_UP_S:
            raise RecordLost(f"no entry holds request {search.ref.request_id}")
        found = await self._finder.find(search.ref.account, search.ref.request_id)
        if found is not None and found.epoch >= search.ref.epoch:
            search.ref = found
        await asyncio.sleep(RETRY_INTERVAL_S)

    async def _on_follow(self, sender: str, message: FollowRecord) -> RecordPieces:
        record = self._table.find(message.account, message.request_id)
        if record is None:
            return RecordPieces(False)
        batches = record.follow(message.after_tokens, message.seen)
        try:
            async with asyncio.timeout(message.wait_s), aclosing(batches):  # type: ignore[type-var]
                async for batch in batches:
                    return RecordPieces(True, record.holder, batch)
        except TimeoutError:
            return RecordPieces(True, record.holder)
        except RecordMoved as moved:
            return RecordPieces(False, moved.holder)
        except OffsetUnknown:
            return RecordPieces(True, record.holder, offset_unknown=True)
        return RecordPieces(True, record.holder, outcome=record.outcome)

    async def _on_await(self, sender: str, message: AwaitOutcome) -> RecordPieces:
        record = self._table.find(message.account, message.request_id)
        if record is None:
            return RecordPieces(False)
        try:
            async with asyncio.timeout(message.wait_s):
                outcome = await record.wait_outcome()
        except TimeoutError:
            return RecordPieces(True, record.holder)
        except RecordMoved as moved:
            return RecordPieces(False, moved.holder)
        return RecordPieces(True, record.holder, outcome=outcome)

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()
