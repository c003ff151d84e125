"""Runs accepted generations until they have an outcome, retrying at other upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from godwitpath.config.model import PRIORITY_LEVELS, Service
from godwitpath.entry.attempt import AttemptRunner
from godwitpath.entry.caller_body import max_tokens_of
from godwitpath.entry.context import EntryContext, now_s
from godwitpath.entry.generation import Generation
from godwitpath.ports.engine import (
    EngineError,
    EngineRefused,
)
from godwitpath.records.record import Outcome, RecordMoved, RequestRecord
from godwitpath.retries.backoff import backoff_s
from godwitpath.routing.choose import NoUpstream, RouteChoice, RouteQuery, choose
from godwitpath.routing.prefix import estimate_tokens, prefix_blocks, prompt_text
from godwitpath.upstreams.table import Upstream

NO_UPSTREAM_PAUSE_S = 0.25
"""Interval between checks for an upstream while none is available."""

FREE_RETRIES = 1
"""Number of retries of a generation that are not charged to the retry budget."""

BUDGET_PAUSE_S = 0.1
"""Interval between checks of an exhausted retry budget."""

DEADLINE_RETRY_S = 1.0
"""Retry-after of a generation that missed its deadline."""


class AttemptMoved(EngineError):
    """The attempt was cancelled because its upstream is leaving."""


class GenerationRunner:
    """Runs generations and keeps track of those in progress."""

    __slots__ = ("_attempts", "_context", "_generation_by_id", "on_end")

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._attempts = AttemptRunner(context)
        self.on_end: Callable[[Generation], None] | None = None
        self._generation_by_id: dict[str, Generation] = {}

    @property
    def in_progress(self) -> int:
        """Number of generations in progress."""
        return len(self._generation_by_id)

    def prepare(self, record: RequestRecord, body: dict[str, Any], service: Service) -> Generation:
        """Return a generation for a record without starting it.

        :param body: the decoded body of the record
        """
        prompt = prompt_text(body, record.kind == "chat")
        return Generation(
            record=record,
            service=service,
            body=body,
            blocks=prefix_blocks(prompt),
            prompt_tokens=estimate_tokens(prompt),
            max_tokens=max_tokens_of(body),
            deadline_s=now_s() + record.timeout_s,
        )

    def query(self, generation: Generation) -> RouteQuery:
        """Return the routing query for the next attempt of a generation."""
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
            affinity_block=self._context.load_tracker.affinity_block(generation.blocks),
            rank_hit_ratios=self._context.load_tracker.hit_ratios(),
        )

    def choose(
        self, generation: Generation, excluded_id: str = "", remote_only: bool = False
    ) -> RouteChoice:
        """Choose an upstream for a generation.

        :param excluded_id: id of an upstream to exclude, in addition to leaving ones
        :param remote_only: whether only upstreams of remote regions are considered
        :raises NoUpstream: no upstream is serving
        """
        serving = [
            upstream
            for upstream in self._context.upstreams.serving(generation.record.service)
            if upstream.upstream_id != excluded_id
            and not (remote_only and upstream.region == self._context.settings.region)
        ]
        views = self._context.load_tracker.views(serving, now_s())
        try:
            return choose(self.query(generation), views, now_s())
        except NoUpstream:
            if not generation.tried:
                raise
        # Every upstream has failed once. They are retried until the deadline passes.
        generation.tried.clear()
        return choose(self.query(generation), views, now_s())

    def start(self, generation: Generation, choice: RouteChoice | None = None) -> None:
        """Run a generation in the background until it has an outcome.

        :param choice: upstream choice for the first attempt, None to choose now
        """
        generation.choice = choice
        self._context.budget(generation.record.service).record_first_attempt(now_s())
        self._generation_by_id[generation.record.request_id] = generation
        self._context.spawn(asyncio.create_task(self._run(generation)))

    async def adopt(self, record: RequestRecord) -> None:
        """Continue a generation of another entry, in its engine stream if that still runs."""
        self._context.decisions.adopted(record)
        services = self._context.configuration().services
        service = services.get(record.service) or Service(kind="generation")
        generation = self.prepare(record, msgspec.json.decode(record.body), service)
        generation.resumable = bool(record.stream_id)
        self.start(generation)

    def cancel(self, request_id: str) -> None:
        """Stop a generation that no caller will request again."""
        generation = self._generation_by_id.get(request_id)
        if generation is None:
            return
        generation.cancelled = True
        if generation.attempt is not None:
            generation.attempt.cancel()

    def stop_taken_over(self, request_id: str) -> None:
        """Stop a generation that another entry has taken over."""
        generation = self._generation_by_id.get(request_id)
        if generation is not None and generation.attempt is not None:
            generation.attempt.cancel()

    def at_upstream(self, upstream_id: str) -> list[Generation]:
        """Return the generations that have an attempt running at an upstream."""
        return [
            generation
            for generation in self._generation_by_id.values()
            if generation.upstream_id == upstream_id and generation.attempt is not None
        ]

    async def _run(self, generation: Generation) -> None:
        record = generation.record
        failures = 0
        try:
            while record.outcome is None:
                try:
                    await self._run_next_attempt(generation)
                except NoUpstream:
                    await self._pause(generation, NO_UPSTREAM_PAUSE_S)
                except EngineRefused as error:
                    failures += 1
                    self._context.decisions.attempt_failed(record, error)
                    await self._pause_for_retry(generation, failures, error.retry_after_s)
                except AttemptMoved:
                    self._context.metrics.moved.add(1, service=record.service)
                except EngineError as error:
                    failures += 1
                    self._context.decisions.attempt_failed(record, error)
                    await self._pause_for_retry(generation, failures, 0.0)
                except RecordMoved:
                    # Another entry continues the generation, including its engine stream.
                    return
        finally:
            self._generation_by_id.pop(record.request_id, None)
            if record.outcome is not None:
                self._context.decisions.ended(record, record.outcome)
            if self.on_end is not None:
                self.on_end(generation)

    async def _pause_for_retry(
        self, generation: Generation, failures: int, min_pause_s: float
    ) -> None:
        """Back off before a retry, and wait for the retry budget of the service.

        The first retry is free: accepted work must continue when it loses its upstream.
        """
        record = generation.record
        await self._pause(generation, max(min_pause_s, backoff_s(failures, self._context.rng)))
        if failures <= FREE_RETRIES:
            return
        budget = self._context.budget(record.service)
        while record.outcome is None and not budget.spend(now_s()):
            await self._pause(generation, BUDGET_PAUSE_S)

    async def _pause(self, generation: Generation, pause_s: float) -> None:
        """Wait before the next attempt, or give up at once if the deadline would pass."""
        if generation.cancelled:
            self._finish_cancelled(generation)
        elif now_s() + pause_s >= generation.deadline_s:
            self._give_up(generation)
        else:
            await asyncio.sleep(pause_s)

    async def _run_next_attempt(self, generation: Generation) -> None:
        upstream = self._take_resumable_upstream(generation)
        if upstream is not None:
            self._context.decisions.resumed(generation.record, upstream.upstream_id)
            await self._attempt(generation, upstream, self._attempts.resume(generation, upstream))
            return
        choice = generation.choice or self.choose(generation)
        generation.choice = None
        self._context.decisions.dispatched(generation.record, choice)
        upstream = self._context.upstreams.get(choice.upstream_id)
        if upstream is None:
            generation.tried.add(choice.upstream_id)
            return
        await self._attempt(
            generation, upstream, self._attempts.run(generation, upstream, choice.rank)
        )

    def _take_resumable_upstream(self, generation: Generation) -> Upstream | None:
        """Return the upstream at which an adopted generation may resume its stream.

        :returns: None if the upstream is gone, and from the second call for a generation on
        """
        if not generation.resumable:
            return None
        generation.resumable = False
        upstream = self._context.upstreams.get(generation.record.upstream_id)
        return upstream if upstream is not None and upstream.state != "gone" else None

    async def _attempt(
        self, generation: Generation, upstream: Upstream, attempt_run: Coroutine[Any, Any, None]
    ) -> None:
        generation.upstream_id = upstream.upstream_id
        attempt = asyncio.create_task(attempt_run)
        generation.attempt = attempt
        try:
            await asyncio.wait({attempt}, timeout=max(0.0, generation.deadline_s - now_s()))
            self._handle_result(generation, attempt)
        finally:
            attempt.cancel()
            generation.attempt = None
            generation.upstream_id = ""

    def _handle_result(self, generation: Generation, attempt: asyncio.Task[None]) -> None:
        """Raise the error of an attempt; return if the generation needs no further attempt."""
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
        """Finish a generation that cannot meet its deadline."""
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


def priority_level(account_priority: str, requested: str) -> int:
    """Return the priority level of a request: callers may lower it but not raise it.

    :returns: a value of `PRIORITY_LEVELS`; 0 is the highest priority
    """
    account_level = PRIORITY_LEVELS[account_priority]
    return max(account_level, PRIORITY_LEVELS.get(requested, account_level))
