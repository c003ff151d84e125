"""Moves streams with their KV cache away from engines that are about to be removed.

A leaving engine continues to serve for a while, and most streams end in that time. The others are
moved shortly before its removal: the engine stops the run and copies the run's KV cache to another
engine, where the same request resumes after the last event that the caller received. It counts as
the same run, so non-idempotent streams survive a reclaim too.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from godwitpath.errors import GodwitpathError
from godwitpath.gateway.engines import Engine, EngineEntry
from godwitpath.gateway.permits import Permit
from godwitpath.gateway.wire_fields import EngineResponseFields, KvCacheSource
from godwitpath.http1.timeouts import socket_timeout
from godwitpath.telemetry.decisions import decision

if TYPE_CHECKING:
    from godwitpath.gateway.call import Call
    from godwitpath.gateway.context import GatewayContext
    from godwitpath.ports.engine import Address

EVACUATE_AFTER_S = 1.3
"""Time from an engine's leave notice to the move of the streams that still run on it: an engine
stays for at least two seconds after its notice, and a move takes a few tenths of a second."""

EVACUATE_BEFORE_LEAVING_S = 0.8
"""Time before an engine's stated removal at which the streams on it are moved."""

MOVE_TIMEOUT_S = 0.6
"""Maximum wait for the move of a stream: copying the KV cache of a long prompt between zones takes
50 ms, and a few copies may queue."""


@dataclass(slots=True, frozen=True)
class MovedRun:
    """A stopped run and the location of its KV cache.

    :ivar handle: identifies the KV cache at the engine that executed the run
    :ivar copied: whether the target engine has a copy of the KV cache
    :ivar response: what the head of the engine's response states
    """

    handle: str
    copied: bool
    response: EngineResponseFields | None = None


class MoveFailed(GodwitpathError):
    """The run was not stopped, or its state is unknown.

    :ivar response: what the head of the engine's response states, None without one
    :ivar not_stopped: whether the engine states that it did not stop the run
    """

    def __init__(
        self,
        message: str,
        response: EngineResponseFields | None = None,
        not_stopped: bool = False,
    ) -> None:
        super().__init__(message)
        self.response = response
        self.not_stopped = not_stopped


class RunMover(Protocol):
    """Interface of the engines' call that moves a run."""

    async def move_run(self, source: Address, request_id: str, target: Address) -> MovedRun:
        """Stop a run and copy its KV cache to another engine.

        :raises MoveFailed: the engine has no such run, or sent no response
        """


@dataclass(slots=True, frozen=True)
class Continuation:
    """The engine at which a moved stream resumes, and where it gets the stream's KV cache.

    :ivar permit: permission for the send that resumes the stream
    """

    engine: Engine
    kv_cache: KvCacheSource
    permit: Permit


class StreamRun:
    """A stream that runs at an engine.

    :ivar events: number of events that the caller received
    :ivar may_be_stopped: whether a move may have stopped the run
    """

    def __init__(self, call: Call, engine: Engine) -> None:
        self.call = call
        self.engine = engine
        self.events = 0
        self.may_be_stopped = False
        self._move_task: asyncio.Task[Continuation | None] | None = None

    def set_move_task(self, move_task: asyncio.Task[Continuation | None]) -> None:
        """Record that a task has started to move the stream."""
        self._move_task = move_task

    @property
    def moving(self) -> bool:
        """Whether a move was started."""
        return self._move_task is not None

    async def continuation(self) -> Continuation | None:
        """Wait for the move to end and return the continuation, None if not moved."""
        return await self._move_task if self._move_task is not None else None

    async def stopped_by_move(self) -> bool:
        """Wait for the move to end and return whether it may have stopped the run."""
        await self.continuation()
        return self.may_be_stopped


class Evacuator:
    """Tracks the streams that run at each engine and moves them when the engine leaves.

    :ivar move_counts: number of attempted moves of streams by outcome
    """

    def __init__(self, ctx: GatewayContext, mover: RunMover) -> None:
        self.move_counts: Counter[str] = Counter()
        self._ctx = ctx
        self._mover = mover
        self._runs_by_engine: dict[str, set[StreamRun]] = {}

    def add_run(self, run: StreamRun) -> None:
        """Track a stream that has started to run at an engine."""
        self._runs_by_engine.setdefault(run.engine.entry.engine_id, set()).add(run)

    def remove_run(self, run: StreamRun) -> None:
        """Stop tracking a stream that has ended or left its engine."""
        engine_id = run.engine.entry.engine_id
        runs = self._runs_by_engine.get(engine_id, set())
        runs.discard(run)
        if not runs:
            self._runs_by_engine.pop(engine_id, None)

    def schedule_evacuation(self, entry: EngineEntry) -> None:
        """Schedule the evacuation of an engine that has announced its removal."""
        delay_s = EVACUATE_AFTER_S
        if entry.leaves_in_s is not None:
            delay_s = max(0.0, entry.leaves_in_s - EVACUATE_BEFORE_LEAVING_S)
        asyncio.get_running_loop().call_later(delay_s, self._evacuate, entry.engine_id)

    def _evacuate(self, engine_id: str) -> None:
        for run in list(self._runs_by_engine.get(engine_id, ())):
            spec = run.call.service.engine
            # A run without events may not have started, so there may be no KV cache to move.
            if run.events and not run.moving and spec is not None and spec.moves:
                run.set_move_task(asyncio.ensure_future(self._move(run)))

    async def _move(self, run: StreamRun) -> Continuation | None:
        if self._ctx.crashes.verdict(run.call.subjects) is not None:
            # It would be stopped here and not continue elsewhere.
            self.move_counts["quarantined"] += 1
            return None
        target = self._choose_target(run)
        if target is None:
            self.move_counts["no_target"] += 1
            return None
        source = run.engine.entry
        request_id = run.call.request_id
        permit = await self._ctx.permits.acquire(target, run.call.priority, request_id)
        if permit is None:
            self.move_counts["no_permit"] += 1
            return None
        run.may_be_stopped = True
        try:
            async with socket_timeout(MOVE_TIMEOUT_S):
                moved_run = await self._mover.move_run(
                    source.address, request_id, target.entry.address
                )
        except (MoveFailed, TimeoutError) as error:
            if isinstance(error, MoveFailed):
                run.may_be_stopped = not error.not_stopped
                self._note_move_response(source, error.response, request_id)
            self.move_counts["failed"] += 1
            decision(
                "stream_not_moved",
                request=request_id,
                engine=source.engine_id,
                reason=str(error) or repr(error),
            )
            return None
        self._note_move_response(source, moved_run.response, request_id)
        self.move_counts["moved" if moved_run.copied else "stopped"] += 1
        engine = target if moved_run.copied else run.engine
        decision(
            "stream_moved",
            request=request_id,
            engine=source.engine_id,
            to=engine.entry.engine_id,
            events=run.events,
            copied=moved_run.copied,
        )
        if engine is not target:
            permit = await self._ctx.permits.acquire(engine, run.call.priority, request_id)
            if permit is None:
                self.move_counts["no_permit"] += 1
                return None
        return Continuation(engine, KvCacheSource(source.address, moved_run.handle), permit)

    def _note_move_response(
        self, source: EngineEntry, response: EngineResponseFields | None, request_id: str
    ) -> None:
        """Learn whether the engine leaves; a refused move is no refusal of a request."""
        if response is not None:
            self._ctx.engines.notices.note_response(source.incarnation, response, 0, request_id)

    def _choose_target(self, run: StreamRun) -> Engine | None:
        ctx, call = self._ctx, run.call
        now_s = asyncio.get_running_loop().time()
        usable = [
            engine
            for engine in ctx.engines.usable(call.service.name, now_s)
            if engine is not run.engine
            and not ctx.engines.notices.is_paused(engine.entry.incarnation, now_s)
        ]
        if call.prompt is None or not usable:
            return None
        usable = [each for each in usable if ctx.permits.limit_per_s(each) is None] or usable
        cache_tokens = call.service.engine.cache_tokens if call.service.engine else 0
        return ctx.placer.rank_for_generation(call.prompt, usable, cache_tokens)[0].engine
