"""Moves streams away from engines that leave, with what the engines have read and generated.

An engine that leaves serves on for a while, and most streams end in that time. Those that do not
are moved shortly before it goes: the engine stops the run, copies its memory to another engine,
and the same request goes on there after the last event that the caller got. It counts as the same
run, so that also a stream which may not be repeated survives a reclaim.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from godwitpath.errors import GodwitpathError
from godwitpath.gateway.calls import MemorySource
from godwitpath.gateway.engines import Engine, EngineEntry
from godwitpath.telemetry.decisions import decision

if TYPE_CHECKING:
    from godwitpath.gateway.call import Call
    from godwitpath.gateway.context import GatewayContext
    from godwitpath.ports.engine import Address

EVACUATE_AFTER_S = 1.3
"""Time after a notice at which the streams that still run are moved: engines are given two seconds
and more, and a move takes a few tenths."""

BEFORE_LEAVING_S = 0.8
"""Time before an engine's stated end at which its streams are moved."""

MOVE_TIMEOUT_S = 0.6
"""Longest wait for a move: a long prompt's memory takes 50 ms between zones, a few may queue."""


@dataclass(slots=True, frozen=True)
class MovedRun:
    """A run that was stopped, and where its memory lies.

    :ivar handle: names the memory at the engine that ran it
    :ivar copied: whether the other engine holds it now
    """

    handle: str
    copied: bool


class MoveFailed(GodwitpathError):
    """The run was not stopped, or nothing is known of it."""


class RunMover(Protocol):
    """The engines' call that moves a run."""

    async def move_run(self, source: Address, request_id: str, target: Address) -> MovedRun:
        """Stop a run and copy its memory to another engine.

        :raises MoveFailed: there is no such run, or no answer
        """


@dataclass(slots=True, frozen=True)
class Continuation:
    """Where a moved stream goes on."""

    engine: Engine
    memory: MemorySource


class StreamRun:
    """A stream that runs at an engine.

    :ivar events: events that the caller got
    """

    def __init__(self, call: Call, engine: Engine) -> None:
        self.call = call
        self.engine = engine
        self.events = 0
        self._moving: asyncio.Task[Continuation | None] | None = None

    def start_move(self, move: asyncio.Task[Continuation | None]) -> None:
        """Note that the stream is being moved."""
        self._moving = move

    @property
    def moving(self) -> bool:
        """Whether a move was begun."""
        return self._moving is not None

    async def continuation(self) -> Continuation | None:
        """Return where the stream goes on, None when it was not moved."""
        return await self._moving if self._moving is not None else None


class Evacuator:
    """Knows the streams that run at each engine, and moves them when it leaves.

    :ivar counts: moves by outcome
    """

    def __init__(self, ctx: GatewayContext, mover: RunMover) -> None:
        self.counts: Counter[str] = Counter()
        self._ctx = ctx
        self._mover = mover
        self._runs: dict[str, set[StreamRun]] = {}

    def begin(self, run: StreamRun) -> None:
        """Note that a stream runs."""
        self._runs.setdefault(run.engine.entry.engine_id, set()).add(run)

    def end(self, run: StreamRun) -> None:
        """Note that it does not any more."""
        engine_id = run.engine.entry.engine_id
        runs = self._runs.get(engine_id, set())
        runs.discard(run)
        if not runs:
            self._runs.pop(engine_id, None)

    def engine_leaves(self, entry: EngineEntry) -> None:
        """Plan the evacuation of an engine that has said that it leaves."""
        after_s = EVACUATE_AFTER_S
        if entry.leaves_in_s is not None:
            after_s = max(0.0, entry.leaves_in_s - BEFORE_LEAVING_S)
        asyncio.get_running_loop().call_later(after_s, self._evacuate, entry.engine_id)

    def _evacuate(self, engine_id: str) -> None:
        for run in list(self._runs.get(engine_id, ())):
            spec = run.call.service.engine
            # A run of which nothing is known yet may not have begun: there is nothing to move.
            if run.events and not run.moving and spec is not None and spec.moves:
                run.start_move(asyncio.ensure_future(self._move(run)))

    async def _move(self, run: StreamRun) -> Continuation | None:
        target = self._target(run)
        if target is None:
            self.counts["no_target"] += 1
            return None
        source = run.engine.entry
        request_id = run.call.request_id
        try:
            async with asyncio.timeout(MOVE_TIMEOUT_S):
                moved = await self._mover.move_run(source.address, request_id, target.entry.address)
        except (MoveFailed, TimeoutError) as error:
            self.counts["failed"] += 1
            decision(
                "stream_not_moved",
                request=request_id,
                engine=source.engine_id,
                reason=str(error) or repr(error),
            )
            return None
        self.counts["moved" if moved.copied else "stopped"] += 1
        engine = target if moved.copied else run.engine
        decision(
            "stream_moved",
            request=request_id,
            engine=source.engine_id,
            to=engine.entry.engine_id,
            events=run.events,
            copied=moved.copied,
        )
        return Continuation(engine, MemorySource(source.address, moved.handle))

    def _target(self, run: StreamRun) -> Engine | None:
        ctx, call = self._ctx, run.call
        now_s = asyncio.get_running_loop().time()
        usable = [
            engine
            for engine in ctx.engines.usable(call.service.name, now_s)
            if engine is not run.engine
        ]
        if call.prompt is None or not usable:
            return None
        cache_tokens = call.service.engine.cache_tokens if call.service.engine else 0
        return ctx.placer.place_generation(call.prompt, usable, cache_tokens)[0].engine
