"""Runs one attempt at a generation and copies its stream into the request record."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from godwitpath.entry.context import EntryContext, now_s
from godwitpath.entry.generation import Generation
from godwitpath.ports.engine import EngineError, EngineLost, GenerationCall, GenerationChunk
from godwitpath.records.record import Outcome, Piece, RecordMoved, RequestRecord
from godwitpath.routing.load_tracker import OutstandingCall
from godwitpath.upstreams.table import Upstream

RESUME_ATTEMPTS = 2
"""Number of times that a broken stream is resumed at the same engine."""

NON_BODY_MEMBERS = frozenset({"stream", "adapter"})
"""Members of the caller's body that are not part of the body sent to the engine."""

UNRANKED = -1
"""Rank of the upstream of a resumed stream, which was not chosen by rank."""


class AttemptRunner:
    """Runs attempts for the generations of one entry."""

    __slots__ = ("_context",)

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def run(self, generation: Generation, upstream: Upstream, rank: int) -> None:
        """Run one attempt at one upstream and resume its stream when it breaks.

        :param rank: position of the upstream in the rendezvous ranking of the prefix
        :raises RecordMoved: another entry holds the record
        :raises EngineError: the attempt failed
        """
        context, record = self._context, generation.record
        attempt_id = context.new_id()
        if not context.records.begin_attempt(record, attempt_id, upstream.upstream_id):
            raise RecordMoved(record.request_id, record.holder)
        context.metrics.attempts.add(1, service=record.service)
        stream = context.engine.generate(
            upstream.address, self._engine_call(generation, attempt_id)
        )
        await self._run_stream(generation, upstream, stream, rank)

    async def resume(self, generation: Generation, upstream: Upstream) -> None:
        """Resume the stream named in the record, after the last token of the record."""
        record = generation.record
        stream = self._context.engine.resume(
            upstream.address, record.stream_id, record.attempt_id, record.tokens
        )
        await self._run_stream(generation, upstream, stream, UNRANKED)

    async def _run_stream(
        self,
        generation: Generation,
        upstream: Upstream,
        stream: AsyncIterator[GenerationChunk],
        rank: int,
    ) -> None:
        context, record = self._context, generation.record
        tokens_before = record.tokens
        outstanding = context.load_tracker.started(
            upstream.upstream_id,
            generation.prompt_tokens + record.tokens,
            now_s(),
            priority=record.priority,
            blocks=generation.blocks,
            rank=rank,
        )
        try:
            await self._copy_chunks_with_resumes(generation, upstream, outstanding, stream)
        except asyncio.CancelledError:
            context.load_tracker.cancelled(outstanding, now_s())
            self._cancel_at_engine(upstream, record)
            raise
        except EngineError:
            context.load_tracker.failed(outstanding, now_s())
            self._cancel_at_engine(upstream, record)
            raise
        # Tokens of earlier attempts say nothing about the speed of this engine.
        tokens = record.tokens - tokens_before
        context.load_tracker.finished(outstanding, now_s(), tokens)
        if outstanding.first_token_at_s and tokens > 1:
            mean_interval_s = (now_s() - outstanding.first_token_at_s) / (tokens - 1)
            context.metrics.between_tokens_s.record(mean_interval_s, service=record.service)

    async def _copy_chunks_with_resumes(
        self,
        generation: Generation,
        upstream: Upstream,
        outstanding: OutstandingCall,
        stream: AsyncIterator[GenerationChunk],
    ) -> None:
        record = generation.record
        for resumes_left in range(RESUME_ATTEMPTS, -1, -1):
            try:
                await self._copy_chunks(generation, outstanding, stream)
                return
            except EngineLost:
                if not resumes_left or not record.stream_id:
                    raise
            stream = self._context.engine.resume(
                upstream.address, record.stream_id, record.attempt_id, record.tokens
            )

    def _engine_call(self, generation: Generation, attempt_id: str) -> GenerationCall:
        record = generation.record
        model = generation.service.model
        body = {k: v for k, v in generation.body.items() if k not in NON_BODY_MEMBERS}
        adapter = generation.body.get("adapter", "")
        return GenerationCall(
            request_id=record.request_id,
            attempt_id=attempt_id,
            account=record.account,
            model=model.name if model else record.service,
            body=body,
            is_chat=record.kind == "chat",
            priority=record.priority,
            timeout_s=max(0.0, generation.deadline_s - now_s()),
            adapter=adapter if isinstance(adapter, str) else "",
            delivered_text=record.text,
            delivered_tokens=record.tokens,
        )

    async def _copy_chunks(
        self,
        generation: Generation,
        outstanding: OutstandingCall,
        stream: AsyncIterator[GenerationChunk],
    ) -> None:
        """Copy the chunks of a stream into the record until the final chunk."""
        context, record = self._context, generation.record
        attempt_id = record.attempt_id
        async for chunk in stream:
            if chunk.attempt_id != attempt_id or record.attempt_id != attempt_id:
                context.metrics.foreign_chunks.add(1)
                continue
            if chunk.stream_id and chunk.stream_id != record.stream_id:
                context.records.set_stream(record, chunk.stream_id)
                self._record_first_chunk(generation, outstanding, chunk)
            self._append(record, chunk)
            if chunk.finish_reason:
                self._finish(generation, chunk)
                return
        raise EngineLost("the stream ended before its last chunk")

    def _record_first_chunk(
        self, generation: Generation, outstanding: OutstandingCall, chunk: GenerationChunk
    ) -> None:
        record, metrics = generation.record, self._context.metrics
        generation.cached_tokens = chunk.cached_tokens
        self._context.load_tracker.first_token(outstanding, chunk.cached_tokens, now_s())
        if record.pieces:
            # This engine recomputes the context of the earlier attempt, except cached tokens.
            recomputed_tokens = generation.prompt_tokens + record.tokens - chunk.cached_tokens
            metrics.recomputed_tokens.add(max(0, recomputed_tokens), service=record.service)
        elif record.created_at_s:
            metrics.first_token_s.record(now_s() - record.created_at_s, service=record.service)

    def _append(self, record: RequestRecord, chunk: GenerationChunk) -> None:
        if not chunk.tokens:
            return
        if chunk.offset != record.tokens:
            raise EngineLost(f"the stream went on at token {chunk.offset}, not {record.tokens}")
        self._context.records.append(record, Piece(chunk.offset, chunk.text, chunk.tokens))
        self._context.metrics.tokens.add(chunk.tokens, service=record.service)

    def _finish(self, generation: Generation, chunk: GenerationChunk) -> None:
        outcome = Outcome(
            status=200,
            ran="yes",
            finish_reason=chunk.finish_reason,
            prompt_tokens=chunk.prompt_tokens,
            cached_tokens=generation.cached_tokens,
        )
        record = generation.record
        computed_tokens = chunk.prompt_tokens - generation.cached_tokens
        region = self._context.settings.region
        metrics = self._context.metrics
        metrics.prompt_tokens.add(chunk.prompt_tokens, service=record.service)
        metrics.cached_tokens.add(generation.cached_tokens, service=record.service)
        self._context.meter.record(record.service, region, max(0, computed_tokens), record.tokens)
        self._context.records.finish(record, outcome)

    def _cancel_at_engine(self, upstream: Upstream, record: RequestRecord) -> None:
        """Cancel the stream at the engine, unless another entry has taken over the record."""
        if record.stream_id and record.held:
            cancellation = self._send_cancel(upstream, record.stream_id)
            self._context.spawn(asyncio.create_task(cancellation))

    async def _send_cancel(self, upstream: Upstream, stream_id: str) -> None:
        try:
            await self._context.engine.cancel(upstream.address, stream_id)
        except EngineError:
            # The engine has failed, and its stream with it.
            self._context.metrics.attempts_lost.add(1)
