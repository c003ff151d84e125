"""Runs accepted generations to their end, over as many upstreams as it takes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import msgspec

from godwitpath.config.model import PRIORITY_LEVELS, Service
from godwitpath.entry.context import EntryContext, now_s
from godwitpath.ports.engine import (
    EngineError,
    EngineLost,
    EngineRefused,
    GenerationCall,
    GenerationChunk,
)
from godwitpath.records.record import Outcome, Piece, RecordMoved, RequestRecord
from godwitpath.retries.backoff import backoff_s
from godwitpath.routing.book import Outstanding
from godwitpath.routing.choose import NoUpstream, RouteChoice, RouteQuery, choose
from godwitpath.routing.prefix import estimate_tokens, prefix_blocks, prompt_text
from godwitpath.upstreams.table import Upstream

NO_UPSTREAM_PAUSE_S = 0.25
"""Time between two looks for an upstream while none can be had."""

FREE_RETRIES = 1
"""Attempts after a failure that the retry budget does not count."""

BUDGET_PAUSE_S = 0.1
"""Time between two looks at an exhausted retry budget."""

DEADLINE_RETRY_S = 1.0
"""When to come back after a deadline that could not be met."""

RESUME_ATTEMPTS = 2
"""Times that a broken stream is taken up again at the same engine."""


class AttemptMoved(EngineError):
    """The attempt was broken off because its upstream is leaving."""


@dataclass(slots=True)
class Generation:
    """A generation in progress at this entry.

    :ivar record: the request record
    :ivar service: the service as configured at acceptance
    :ivar deadline_s: loop time at which the caller's deadline passes
    :ivar tried: upstreams that failed it, asked again only when there is no other
    :ivar attempt: the running attempt, None between two
    """

    record: RequestRecord
    service: Service
    blocks: list[str]
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    tried: set[str] = field(default_factory=set)
    choice: RouteChoice | None = None
    attempt: asyncio.Task[None] | None = None
    upstream_id: str = ""
    prompt_tokens_seen: int = 0
    cached_tokens: int = 0
    cancelled: bool = False


class GenerationRunner:
    """Runs generations and knows those in progress."""

    __slots__ = ("_context", "_running", "on_end")

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self.on_end: Callable[[Generation], None] | None = None
        self._running: dict[str, Generation] = {}

    @property
    def in_progress(self) -> int:
        """Number of generations in progress."""
        return len(self._running)

    def prepare(self, record: RequestRecord, max_tokens: int, service: Service) -> Generation:
        """Return the generation of a record, not yet started."""
        body = msgspec.json.decode(record.body)
        prompt = prompt_text(body, record.kind == "chat")
        return Generation(
            record=record,
            service=service,
            blocks=prefix_blocks(prompt),
            prompt_tokens=estimate_tokens(prompt),
            max_tokens=max_tokens,
            deadline_s=now_s() + record.timeout_s,
        )

    def query(self, generation: Generation) -> RouteQuery:
        """Return what the choice of an upstream needs to know of a generation."""
        record = generation.record
        return RouteQuery(
            service=record.service,
            account=record.account,
            region=self._context.settings.region,
            blocks=generation.blocks,
            prompt_tokens=generation.prompt_tokens,
            max_tokens=max(1, generation.max_tokens - record.tokens),
            priority=record.priority,
            latency=generation.service.latency,
            prices=self._context.configuration().prices,
            excluded=frozenset(generation.tried),
            key_block=self._context.book.key_block(generation.blocks),
            home_hit_ratio=self._context.book.hit_ratios(),
        )

    def choose(self, generation: Generation, avoid: str = "") -> RouteChoice:
        """Choose an upstream for a generation.

        :param avoid: upstream that goes, beside those that leave
        :raises NoUpstream: none serves
        """
        serving = [
            upstream
            for upstream in self._context.upstreams.serving(generation.record.service)
            if upstream.upstream_id != avoid
        ]
        views = self._context.book.views(serving, now_s())
        try:
            return choose(self.query(generation), views, now_s())
        except NoUpstream:
            if not generation.tried:
                raise
        # Every upstream failed it once; the deadline still allows another round.
        generation.tried.clear()
        return choose(self.query(generation), views, now_s())

    def start(self, generation: Generation, choice: RouteChoice | None = None) -> None:
        """Run a generation in the background until it has an outcome.

        :param choice: choice for the first attempt, where one was made already
        """
        generation.choice = choice
        self._context.budget(generation.record.service).note_fresh(now_s())
        self._running[generation.record.request_id] = generation
        self._context.spawn(asyncio.create_task(self._run(generation)))

    async def adopt(self, record: RequestRecord) -> None:
        """Go on with a generation that another entry had."""
        self._context.story.adopted(record)
        service = self._context.configuration().services[record.service]
        body = msgspec.json.decode(record.body)
        max_tokens = body.get("max_completion_tokens") or body.get("max_tokens") or 256
        self.start(self.prepare(record, max_tokens, service))

    def cancel(self, request_id: str) -> None:
        """Stop a generation that nobody will ask for."""
        generation = self._running.get(request_id)
        if generation is None:
            return
        generation.cancelled = True
        if generation.attempt is not None:
            generation.attempt.cancel()

    def fenced(self, request_id: str) -> None:
        """Stop a generation that another entry took over."""
        generation = self._running.get(request_id)
        if generation is not None and generation.attempt is not None:
            generation.attempt.cancel()

    def of_upstream(self, upstream_id: str) -> list[Generation]:
        """Return the generations whose running attempt is at an upstream."""
        return [
            generation
            for generation in self._running.values()
            if generation.upstream_id == upstream_id and generation.attempt is not None
        ]

    async def _run(self, generation: Generation) -> None:
        record = generation.record
        failures = 0
        try:
            while record.outcome is None:
                try:
                    await self._attempt_anywhere(generation)
                except NoUpstream:
                    await self._pause(generation, NO_UPSTREAM_PAUSE_S)
                except EngineRefused as error:
                    failures += 1
                    self._context.story.attempt_failed(record, error)
                    await self._pause_for_retry(generation, failures, error.retry_after_s)
                except AttemptMoved:
                    self._context.metrics.moved.add(1, service=record.service)
                except EngineError as error:
                    failures += 1
                    self._context.story.attempt_failed(record, error)
                    await self._pause_for_retry(generation, failures, 0.0)
                except RecordMoved:
                    # Another entry goes on with it; what ran here is left to that entry.
                    return
        finally:
            self._running.pop(record.request_id, None)
            if record.outcome is not None:
                self._context.story.ended(record, record.outcome)
            if self.on_end is not None:
                self.on_end(generation)

    async def _pause_for_retry(
        self, generation: Generation, failures: int, at_least_s: float
    ) -> None:
        """Wait before an attempt that follows a failure, for the service's budget too.

        The first is free: accepted work that lost its upstream must go on at another one.
        """
        record = generation.record
        await self._pause(generation, max(at_least_s, backoff_s(failures, self._context.rng)))
        if failures <= FREE_RETRIES:
            return
        budget = self._context.budget(record.service)
        while record.outcome is None and not budget.spend(now_s()):
            await self._pause(generation, BUDGET_PAUSE_S)

    async def _pause(self, generation: Generation, pause_s: float) -> None:
        """Wait before the next attempt, or give up at once when the deadline would pass."""
        if generation.cancelled:
            self._finish_cancelled(generation)
        elif now_s() + pause_s >= generation.deadline_s:
            self._give_up(generation)
        else:
            await asyncio.sleep(pause_s)

    async def _attempt_anywhere(self, generation: Generation) -> None:
        choice = generation.choice or self.choose(generation)
        generation.choice = None
        self._context.story.dispatched(generation.record, choice)
        upstream = self._context.upstreams.get(choice.upstream_id)
        if upstream is None:
            generation.tried.add(choice.upstream_id)
            return
        generation.upstream_id = choice.upstream_id
        attempt = asyncio.create_task(self._attempt(generation, upstream, choice.rank))
        generation.attempt = attempt
        try:
            await asyncio.wait({attempt}, timeout=max(0.0, generation.deadline_s - now_s()))
            self._conclude(generation, attempt)
        finally:
            attempt.cancel()
            generation.attempt = None
            generation.upstream_id = ""

    def _conclude(self, generation: Generation, attempt: asyncio.Task[None]) -> None:
        """Raise what an attempt ended with; returns when there is nothing left to try."""
        if not attempt.done():
            self._give_up(generation)
        elif not attempt.cancelled():
            error = attempt.exception()
            if error is not None:
                generation.tried.add(generation.upstream_id)
                raise error
        elif generation.cancelled:
            self._finish_cancelled(generation)
        else:
            generation.tried.add(generation.upstream_id)
            raise AttemptMoved(f"{generation.upstream_id} is leaving")

    def _give_up(self, generation: Generation) -> None:
        """End a generation whose deadline cannot be met any more."""
        record = generation.record
        outcome = Outcome(
            status=504,
            ran="unknown" if record.attempt_id else "no",
            reason="deadline_exceeded",
            retry_after_s=DEADLINE_RETRY_S,
        )
        self._context.records.finish(record, outcome)

    def _finish_cancelled(self, generation: Generation) -> None:
        outcome = Outcome(status=499, ran="yes", reason="cancelled")
        self._context.records.finish(generation.record, outcome)
        self._context.metrics.cancelled.add(1)

    async def _attempt(self, generation: Generation, upstream: Upstream, rank: int) -> None:
        """Run one attempt at one upstream, taking the stream up again when it breaks."""
        context, record = self._context, generation.record
        attempt_id = context.new_id()
        if not context.records.begin_attempt(record, attempt_id, upstream.upstream_id):
            raise RecordMoved(record.request_id, record.holder)
        work = context.book.started(
            upstream.upstream_id,
            generation.prompt_tokens + record.tokens,
            now_s(),
            priority=record.priority,
            blocks=generation.blocks,
            rank=rank,
        )
        context.metrics.attempts.add(1, service=record.service)
        call = self._call(generation, attempt_id)
        resumes = 0
        stream = context.engine.generate(upstream.address, call)
        try:
            while True:
                try:
                    await self._consume(generation, work, stream, attempt_id)
                    break
                except EngineLost:
                    resumes += 1
                    if resumes > RESUME_ATTEMPTS or not record.stream_id:
                        raise
                    stream = context.engine.resume(
                        upstream.address, record.stream_id, attempt_id, record.tokens
                    )
        except asyncio.CancelledError:
            context.book.cancelled(work, now_s())
            await self._cancel_at_engine(upstream, record.stream_id)
            raise
        except EngineError:
            context.book.failed(work, now_s())
            raise
        context.book.finished(work, now_s(), record.tokens)

    def _call(self, generation: Generation, attempt_id: str) -> GenerationCall:
        record = generation.record
        model = generation.service.model
        body = msgspec.json.decode(record.body)
        body.pop("stream", None)
        adapter = body.pop("adapter", "")
        return GenerationCall(
            request_id=record.request_id,
            attempt_id=attempt_id,
            account=record.account,
            model=model.name if model else record.service,
            body=body,
            chat=record.kind == "chat",
            priority=record.priority,
            timeout_s=max(0.0, generation.deadline_s - now_s()),
            adapter=adapter if isinstance(adapter, str) else "",
            delivered_text=record.text,
            delivered_tokens=record.tokens,
        )

    async def _consume(
        self,
        generation: Generation,
        work: Outstanding,
        stream: AsyncIterator[GenerationChunk],
        attempt_id: str,
    ) -> None:
        """Copy the chunks of a stream into the record until its last one."""
        context, record = self._context, generation.record
        async for chunk in stream:
            if chunk.attempt_id != attempt_id or record.attempt_id != attempt_id:
                context.metrics.foreign_chunks.add(1)
                continue
            if chunk.stream_id and chunk.stream_id != record.stream_id:
                context.records.set_stream(record, chunk.stream_id)
                self._first_chunk(generation, work, chunk)
            self._append(record, chunk)
            if chunk.finish_reason:
                generation.prompt_tokens_seen = chunk.prompt_tokens
                self._finish(generation, chunk)
                return
        raise EngineLost("the stream ended before its last chunk")

    def _first_chunk(
        self, generation: Generation, work: Outstanding, chunk: GenerationChunk
    ) -> None:
        record, metrics = generation.record, self._context.metrics
        generation.cached_tokens = chunk.cached_tokens
        self._context.book.first_token(work, chunk.cached_tokens, now_s())
        if record.pieces:
            # What an earlier attempt had computed is computed again here, but for cached tokens.
            again = generation.prompt_tokens + record.tokens - chunk.cached_tokens
            metrics.recomputed_tokens.add(max(0, again), service=record.service)
        elif record.since_s:
            metrics.first_token_s.record(now_s() - record.since_s, service=record.service)

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
        computed = chunk.prompt_tokens - generation.cached_tokens
        region = self._context.settings.region
        self._context.meter.note(record.service, region, max(0, computed), record.tokens)
        self._context.records.finish(record, outcome)

    async def _cancel_at_engine(self, upstream: Upstream, stream_id: str) -> None:
        if not stream_id:
            return
        try:
            await self._context.engine.cancel(upstream.address, stream_id)
        except EngineError:
            # The engine is gone, and the generation with it.
            self._context.metrics.attempts_lost.add(1)


def priority_level(account_priority: str, asked: str) -> int:
    """Return the level a request runs at: a caller may lower its priority, not raise it."""
    own = PRIORITY_LEVELS[account_priority]
    return max(own, PRIORITY_LEVELS.get(asked, own))
