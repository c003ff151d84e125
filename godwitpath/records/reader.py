"""Reads a record's text and outcome from its holder, across changes of the holder.

The holder of a record is the entry that works on the request. The epoch of a record rises whenever
its holder or backup changes.
"""

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

POLL_WAIT_S = 1.0
"""Time for which a holder keeps a long poll open while there is nothing new."""

POLL_REPLY_MARGIN_S = 0.5
"""Time that the reply to a long poll may take beyond ``POLL_WAIT_S``."""

RETRY_INTERVAL_S = 0.1
"""Pause after a search for the new holder of a record."""

HOLDER_SEARCH_TIMEOUT_S = 20.0
"""Time without a reply from any holder after which a record counts as lost."""

FAILED_HOLDER_SEARCH_TIMEOUT_S = 5.0
"""Time for which no entry knows a record of a failed holder, after which it counts as lost."""

P = TypeVar("P", FollowRecord, AwaitOutcome)


class RecordLost(GodwitpathError):
    """No reachable entry holds the record."""


class _HolderSearch:
    """The last known holder of a record, and the time of the last reply from any holder.

    :ivar known_at_s: time at which the holder was last live, or another entry knew the record
    """

    __slots__ = ("known_at_s", "last_reply_at_s", "ref")

    def __init__(self, ref: RecordRef, now_s: float) -> None:
        self.ref = ref
        self.last_reply_at_s = now_s
        self.known_at_s = now_s

    def found(self, now_s: float) -> None:
        """Note that a holder was there until now."""
        self.last_reply_at_s = self.known_at_s = now_s

    def timed_out(self, now_s: float) -> bool:
        """Return whether the record counts as lost."""
        return (
            now_s - self.last_reply_at_s > HOLDER_SEARCH_TIMEOUT_S
            or now_s - self.known_at_s > FAILED_HOLDER_SEARCH_TIMEOUT_S
        )


class RecordReader:
    """Follows records by long polls and serves long polls from peers."""

    def __init__(
        self, calls: PeerCalls, table: RecordTable, finder: RecordFinder, rng: random.Random
    ) -> None:
        self._calls = calls
        self._table = table
        self._finder = finder
        # The first poll number is random, so that a late reply to a poll of an earlier incarnation
        # matches no poll of this incarnation.
        self._next_poll_id = rng.getrandbits(62)
        self._reply_futures: dict[int, asyncio.Future[RecordPieces]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        calls.transport.register_handler(RecordPieces, self._on_pieces)
        calls.transport.register_handler(FollowRecord, self._on_follow)
        calls.transport.register_handler(AwaitOutcome, self._on_await)

    async def follow(
        self, ref: RecordRef, after_tokens: int, seen: TextSeen | None = None
    ) -> AsyncIterator[list[Piece]]:
        """Yield the pieces after an offset until the outcome, from any holder of the record.

        :param after_tokens: offset in tokens
        :param seen: text that the reader already has
        :raises OffsetUnknown: the text cannot be continued from the offset
        :raises RecordLost: no holder was found within ``HOLDER_SEARCH_TIMEOUT_S``, or no entry
            knew the record of a failed holder for ``FAILED_HOLDER_SEARCH_TIMEOUT_S``
        """
        search = _HolderSearch(ref, self._now_s())
        if seen is None and after_tokens == 0:
            seen = TextSeen()
        while True:
            record = self._local_record(ref)
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
            if record is not None:
                search.found(self._now_s())
            await self._find_holder(search)

    async def outcome(self, ref: RecordRef) -> Outcome:
        """Wait for the outcome from any holder of the record.

        :raises RecordLost: no holder was found within ``HOLDER_SEARCH_TIMEOUT_S``, or no entry
            knew the record of a failed holder for ``FAILED_HOLDER_SEARCH_TIMEOUT_S``
        """
        search = _HolderSearch(ref, self._now_s())
        while True:
            record = self._local_record(ref)
            try:
                if record is not None:
                    return await record.wait_outcome()
                message = AwaitOutcome(0, ref.account, ref.request_id, POLL_WAIT_S)
                reply = await self._poll(search, message)
                if reply.outcome is not None:
                    return reply.outcome
            except RecordMoved:
                if record is not None:
                    search.found(self._now_s())
                await self._find_holder(search)

    def _local_record(self, ref: RecordRef) -> RequestRecord | None:
        record = self._table.find(ref.account, ref.request_id)
        return record if record is not None and (record.held or record.finished) else None

    async def _poll_pieces(
        self, search: _HolderSearch, after_tokens: int, seen: TextSeen | None
    ) -> AsyncIterator[list[Piece]]:
        ref = search.ref
        while True:
            message = FollowRecord(0, ref.account, ref.request_id, after_tokens, seen, POLL_WAIT_S)
            reply = await self._poll(search, message)
            if reply.offset_unknown:
                raise OffsetUnknown("the text cannot be continued from the offset")
            if reply.pieces:
                yield reply.pieces
                # The caller may have left them unread for long, while no holder was searched.
                search.found(self._now_s())
                after_tokens = reply.pieces[-1].offset + reply.pieces[-1].tokens
                seen = seen.extended(reply.pieces) if seen is not None else None
            elif reply.outcome is not None:
                return

    async def _poll(
        self, search: _HolderSearch, message: FollowRecord | AwaitOutcome
    ) -> RecordPieces:
        ref = search.ref
        message.poll_id = self._next_poll_id = self._next_poll_id + 1
        future: asyncio.Future[RecordPieces] = asyncio.get_running_loop().create_future()
        self._reply_futures[message.poll_id] = future
        try:
            await self._calls.transport.send(ref.holder, message)
            async with asyncio.timeout(POLL_WAIT_S + POLL_REPLY_MARGIN_S):
                reply = await future
        except TimeoutError:
            raise RecordMoved(ref.request_id, "") from None
        finally:
            del self._reply_futures[message.poll_id]
        if not reply.held:
            raise RecordMoved(ref.request_id, reply.holder)
        search.found(self._now_s())
        return reply

    def close(self) -> None:
        """Cancel the replies to pending polls from peers."""
        for task in self._tasks:
            task.cancel()

    async def _find_holder(self, search: _HolderSearch) -> None:
        found = await self._finder.find(search.ref.account, search.ref.request_id)
        if found is not None or self._calls.is_live(search.ref.holder):
            search.known_at_s = self._now_s()
        if search.timed_out(self._now_s()):
            raise RecordLost(f"no entry holds request {search.ref.request_id}")
        if found is not None and found.epoch >= search.ref.epoch:
            search.ref = found
        await asyncio.sleep(RETRY_INTERVAL_S)

    async def _on_pieces(self, sender: str, message: RecordPieces) -> None:
        future = self._reply_futures.get(message.poll_id)
        if future is not None and not future.done():
            future.set_result(message)

    async def _on_follow(self, sender: str, message: FollowRecord) -> None:
        self._start_reply(sender, message, self._read_pieces)

    async def _on_await(self, sender: str, message: AwaitOutcome) -> None:
        self._start_reply(sender, message, self._read_outcome)

    def _start_reply(
        self, sender: str, message: P, read: Callable[[RequestRecord, P], Awaitable[RecordPieces]]
    ) -> None:
        task = asyncio.get_running_loop().create_task(self._send_reply(sender, message, read))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_reply(
        self, sender: str, message: P, read: Callable[[RequestRecord, P], Awaitable[RecordPieces]]
    ) -> None:
        record = self._table.find(message.account, message.request_id)
        if record is None:
            reply = RecordPieces(message.poll_id, False)
        else:
            reply = await self._build_reply(record, message, read)
        await self._calls.transport.send(sender, reply)

    async def _build_reply(
        self,
        record: RequestRecord,
        message: P,
        read: Callable[[RequestRecord, P], Awaitable[RecordPieces]],
    ) -> RecordPieces:
        try:
            async with asyncio.timeout(message.wait_s):
                return await read(record, message)
        except TimeoutError:
            return RecordPieces(message.poll_id, True, record.holder)
        except RecordMoved as moved:
            return RecordPieces(message.poll_id, False, moved.holder)
        except OffsetUnknown:
            return RecordPieces(message.poll_id, True, record.holder, offset_unknown=True)

    async def _read_pieces(self, record: RequestRecord, message: FollowRecord) -> RecordPieces:
        batches = record.follow(message.after_tokens, message.seen)
        async with aclosing(batches):  # type: ignore[type-var]
            async for batch in batches:
                return RecordPieces(message.poll_id, True, record.holder, batch)
        return RecordPieces(message.poll_id, True, record.holder, outcome=record.outcome)

    async def _read_outcome(self, record: RequestRecord, message: AwaitOutcome) -> RecordPieces:
        outcome = await record.wait_outcome()
        return RecordPieces(message.poll_id, True, record.holder, outcome=outcome)

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()
