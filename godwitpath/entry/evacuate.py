"""Moves generations off upstreams that are being reclaimed."""

from __future__ import annotations

import asyncio

from godwitpath.entry.context import EntryContext, now_s
from godwitpath.entry.generate import GenerationRunner
from godwitpath.entry.generation import Generation
from godwitpath.recovery.move import NOTICE_MARGIN_S, MoveQuery, plan_move
from godwitpath.routing.choose import NoUpstream, RouteChoice
from godwitpath.upstreams.table import Upstream


class Evacuation:
    """Moves the generations of a leaving upstream within its notice period."""

    __slots__ = ("_context", "_runner")

    def __init__(self, context: EntryContext, runner: GenerationRunner) -> None:
        self._context = context
        self._runner = runner

    def upstream_changed(self, upstream: Upstream) -> None:
        """Move the generations of an upstream that is leaving or gone to other upstreams."""
        if upstream.state == "serving" or (
            upstream.state == "leaving" and not upstream.leaving_deadline_s
        ):
            # A planned stop waits for the requests in progress.
            return
        for generation in self._runner.at_upstream(upstream.upstream_id):
            if upstream.state == "gone" and generation.attempt is not None:
                generation.attempt.cancel()
            else:
                self._context.spawn(asyncio.create_task(self._move(generation, upstream)))

    async def _move(self, generation: Generation, upstream: Upstream) -> None:
        """Move a generation off a reclaimed engine within the notice period."""
        attempt = generation.attempt
        try:
            choice = self._runner.choose(generation, excluded_id=upstream.upstream_id)
        except NoUpstream:
            await asyncio.sleep(max(0.0, upstream.leaving_deadline_s - now_s() - NOTICE_MARGIN_S))
            choice = None
        if choice is not None:
            plan = plan_move(self._move_query(generation, upstream, choice))
            self._context.decisions.moved(generation.record, choice.upstream_id, plan)
            if plan.kind == "finish":
                await asyncio.sleep(
                    max(0.0, upstream.leaving_deadline_s - now_s() - NOTICE_MARGIN_S)
                )
            elif plan.kind == "export":
                await self._move_cache(generation, upstream, choice)
        if attempt is not None and generation.attempt is attempt and not attempt.done():
            generation.choice = choice
            attempt.cancel()

    def _move_query(
        self, generation: Generation, upstream: Upstream, choice: RouteChoice
    ) -> MoveQuery:
        record = generation.record
        target = self._context.upstreams.get(choice.upstream_id)
        tokens_left = max(0, generation.max_tokens - record.tokens)
        return MoveQuery(
            notice_left_s=upstream.leaving_deadline_s - now_s(),
            remaining_s=tokens_left * choice.predicted_between_tokens_s,
            context_tokens=generation.prompt_tokens + record.tokens,
            cached_tokens=choice.predicted_cached_tokens,
            same_region=target is not None and target.region == upstream.region,
            prices=self._context.configuration().prices,
            cache_bytes_per_token=self._context.mover.bytes_per_token,
        )

    async def _move_cache(
        self, generation: Generation, upstream: Upstream, choice: RouteChoice
    ) -> None:
        target = self._context.upstreams.get(choice.upstream_id)
        if target is None or not generation.record.stream_id:
            return
        await self._context.mover.move(
            upstream.address,
            target.address,
            generation.record.stream_id,
            generation.prompt_tokens + generation.record.tokens,
            billed=target.region != upstream.region,
        )
