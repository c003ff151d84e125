"""Reads a record's text and outcome wherever it is held, across changes of the holder."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from typing import TypeVar

from godwitpath.errors import GodwitpathError
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

P = TypeVar("P", FollowRecord, AwaitOutcome)


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

    def __init__(
        self, calls: PeerCalls, table: RecordTable, finder: RecordFinder, rng: random.Random
    ) -> None:
        self._calls = calls
        self._table = table
        self._finder = finder
        # Numbers start at random, so that answers to an earlier process are not taken.
        self._next_poll_id = rng.getrandbits(62)
        self._polls: dict[int, asyncio.Future[RecordPieces]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        calls.transport.handle(RecordPieces, self._on_pieces)
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
                pass
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
                message = AwaitOutcome(0, ref.account, ref.request_id, POLL_S)
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
            message = FollowRecord(0, ref.account, ref.request_id, after_tokens, seen, POLL_S)
            reply = await self._poll(search, message)
            if reply.offset_unknown:
                raise OffsetUnknown("the answer cannot be continued from the offset")
            if reply.pieces:
                yield reply.pieces
                after_tokens = reply.pieces[-1].offset + reply.pieces[-1].tokens
                seen = seen.extended(reply.pieces) if seen is not None else None
            elif reply.outcome is not None:
                return

    async def _poll(self, search: _Search, message: FollowRecord | AwaitOutcome) -> RecordPieces:
        ref = search.ref
        message.poll_id = self._next_poll_id = self._next_poll_id + 1
        future: asyncio.Future[RecordPieces] = asyncio.get_running_loop().create_future()
        self._polls[message.poll_id] = future
        try:
            await self._calls.transport.send(ref.holder, message)
            async with asyncio.timeout(POLL_S + POLL_MARGIN_S):
                reply = await future
        except TimeoutError:
            raise RecordMoved(ref.request_id, "") from None
        finally:
            del self._polls[message.poll_id]
        if not reply.held:
            raise RecordMoved(ref.request_id, reply.holder)
        search.heard_at_s = self._now_s()
        return reply

    def close(self) -> None:
        """End the polls that peers wait for."""
        for task in self._tasks:
            task.cancel()

    async def _search_again(self, search: _Search) -> None:
        if self._now_s() - search.heard_at_s > GIVE_UP_S:
            raise RecordLost(f"no entry holds request {search.ref.request_id}")
        found = await self._finder.find(search.ref.account, search.ref.request_id)
        if found is not None and found.epoch >= search.ref.epoch:
            search.ref = found
        await asyncio.sleep(RETRY_INTERVAL_S)

    async def _on_pieces(self, sender: str, message: RecordPieces) -> None:
        future = self._polls.get(message.poll_id)
        if future is not None and not future.done():
            future.set_result(message)

    async def _on_follow(self, sender: str, message: FollowRecord) -> None:
        self._answer_later(sender, message, self._pieces_of)

    async def _on_await(self, sender: str, message: AwaitOutcome) -> None:
        self._answer_later(sender, message, self._outcome_of)

    def _answer_later(
        self, sender: str, message: P, answer: Callable[[RequestRecord, P], Awaitable[RecordPieces]]
    ) -> None:
        task = asyncio.get_running_loop().create_task(self._answer(sender, message, answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(
        self, sender: str, message: P, answer: Callable[[RequestRecord, P], Awaitable[RecordPieces]]
    ) -> None:
        record = self._table.find(message.account, message.request_id)
        if record is None:
            reply = RecordPieces(message.poll_id, False)
        else:
            reply = await self._answered(record, message, answer)
        await self._calls.transport.send(sender, reply)

    async def _answered(
        self,
        record: RequestRecord,
        message: P,
        answer: Callable[[RequestRecord, P], Awaitable[RecordPieces]],
    ) -> RecordPieces:
        try:
            async with asyncio.timeout(message.wait_s):
                return await answer(record, message)
        except TimeoutError:
            return RecordPieces(message.poll_id, True, record.holder)
        except RecordMoved as moved:
            return RecordPieces(message.poll_id, False, moved.holder)
        except OffsetUnknown:
            return RecordPieces(message.poll_id, True, record.holder, offset_unknown=True)

    async def _pieces_of(self, record: RequestRecord, message: FollowRecord) -> RecordPieces:
        batches = record.follow(message.after_tokens, message.seen)
        async with aclosing(batches):  # type: ignore[type-var]
            async for batch in batches:
                return RecordPieces(message.poll_id, True, record.holder, batch)
        return RecordPieces(message.poll_id, True, record.holder, outcome=record.outcome)

    async def _outcome_of(self, record: RequestRecord, message: AwaitOutcome) -> RecordPieces:
        outcome = await record.wait_outcome()
        return RecordPieces(message.poll_id, True, record.holder, outcome=outcome)

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()
