"""A model engine in the experiments' own time: continuous batching and a bounded prefix cache.

Each step gives every running sequence a token and computes a chunk of the waiting prompts. Steps
without prompts to compute are taken together, so that an hour of work costs seconds.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from godwitpath.ports.engine import LoadReport
from godwitpath.routing.learning import PrefixMemory
from godwitpath.routing.prefix import BLOCK_TOKENS
from godwitpath_bench.work import Call

STEP_S = 0.015
"""Time of a step with an empty batch."""

STEP_PER_SEQUENCE_S = 0.0005
"""Growth of a step with each sequence in the batch."""

CHUNK_TOKENS = 512
"""Most prompt tokens computed in a step."""

MAX_BATCH = 96
"""Most sequences in the batch."""


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """An engine of the fleet.

    :ivar prefill_tokens_per_s: prompt tokens computed in a second
    :ivar cache_blocks: prefix blocks that its cache holds
    """

    upstream_id: str
    region: str
    availability_zone: str
    price_per_h: float = 2.0
    prefill_tokens_per_s: float = 16_000.0
    cache_blocks: int = 640


@dataclass(slots=True)
class Sequence:
    """A call at an engine, with the callbacks of its entry."""

    call: Call
    on_first: Callable[[int, float], None]
    on_end: Callable[[float], None]
    left_tokens: float = 0.0
    cached_tokens: int = 0
    cancelled: bool = False


Schedule = Callable[[float, Callable[[], None]], None]
"""Runs a function at a time."""


@dataclass(slots=True)
class EngineModel:
    """One engine; `schedule` is the experiment's own event list."""

    spec: EngineSpec
    schedule: Schedule
    computed_tokens: int = 0
    known_tokens: int = 0
    busy_s: float = 0.0
    alive: bool = True
    _waiting: list[tuple[int, int, Sequence]] = field(default_factory=list)
    _running: list[tuple[int, int, Sequence]] = field(default_factory=list)
    _numbers: itertools.count[int] = field(default_factory=itertools.count)
    _steps: int = 0
    _span_start_s: float = 0.0
    _span_steps: int = 0
    _step_s: float = 0.0
    _chunk: list[Sequence] = field(default_factory=list)
    _version: int = 0
    _seen: set[str] = field(default_factory=set)
    cache: PrefixMemory = field(default_factory=lambda: PrefixMemory(0))

    def __post_init__(self) -> None:
        self.cache.capacity = self.spec.cache_blocks

    def submit(self, sequence: Sequence, now_s: float) -> None:
        """Take a call."""
        call = sequence.call
        sequence.left_tokens = call.prompt_tokens - self._cached(call)
        heapq.heappush(self._waiting, (call.priority, next(self._numbers), sequence))
        if not self._span_steps:
            self._begin(now_s)
        elif not self._chunk and len(self._running) < MAX_BATCH:
            self._cut(now_s)

    def report(self, now_s: float) -> LoadReport:
        """Return the load as it is now; the experiment delays it."""
        waiting_tokens = int(sum(sequence.left_tokens for _, _, sequence in self._waiting))
        free = (self.cache.capacity - len(self.cache)) * BLOCK_TOKENS
        return LoadReport(len(self._running), len(self._waiting), waiting_tokens, free, now_s)

    def kill(self) -> list[Sequence]:
        """Lose the engine; returns the calls that were on it."""
        lost = [entry[2] for entry in (*self._waiting, *self._running)]
        lost += [sequence for sequence in self._chunk if sequence.left_tokens <= 0]
        self._waiting, self._running, self._chunk = [], [], []
        self._version += 1
        self._span_steps = 0
        self.alive = False
        return lost

    def restart(self) -> None:
        """Come back with an empty cache."""
        self.alive = True
        self.cache = PrefixMemory(self.spec.cache_blocks)

    def _cached(self, call: Call) -> int:
        depth = self.cache.depth(call.blocks)
        return min(depth * BLOCK_TOKENS, call.prompt_tokens - 1)

    def _begin(self, now_s: float) -> None:
        while self._waiting and self._waiting[0][2].cancelled:
            heapq.heappop(self._waiting)
        self._chunk = []
        chunk_tokens = self._fill_chunk()
        if not self._running and not self._chunk:
            self._span_steps = 0
            return
        chunk_s = chunk_tokens / self.spec.prefill_tokens_per_s
        self._step_s = STEP_S + STEP_PER_SEQUENCE_S * len(self._running) + chunk_s
        first_end = self._running[0][0] - self._steps if self._running else 1
        self._span_steps = 1 if self._chunk else max(1, first_end)
        self._span_start_s = now_s
        self._version += 1
        self._arm()

    def _fill_chunk(self) -> float:
        room = float(CHUNK_TOKENS)
        filled = 0.0
        while self._waiting and room > 0 and len(self._running) + len(self._chunk) < MAX_BATCH:
            _, _, sequence = self._waiting[0]
            self._admit(sequence)
            part = min(room, sequence.left_tokens)
            sequence.left_tokens -= part
            room -= part
            filled += part
            if sequence.left_tokens > 0:
                # A token marks that the chunk is in work, although no prompt ends in it.
                if not self._chunk:
                    self._chunk = [sequence]
                return filled
            heapq.heappop(self._waiting)
            self._chunk.append(sequence)
        return filled

    def _admit(self, sequence: Sequence) -> None:
        if sequence.cached_tokens or sequence.call.prompt_tokens <= 0:
            return
        call = sequence.call
        # The cache may have changed since the call came.
        sequence.cached_tokens = max(1, self._cached(call))
        sequence.left_tokens = float(call.prompt_tokens - self._cached(call))
        self.computed_tokens += int(sequence.left_tokens)
        self.cache.add(call.blocks)

    def _arm(self) -> None:
        version = self._version
        end_s = self._span_start_s + self._span_steps * self._step_s
        self.schedule(end_s, lambda: self._end(version, end_s))

    def _cut(self, now_s: float) -> None:
        done = math.ceil((now_s - self._span_start_s) / self._step_s - 1e-9)
        if max(1, done) < self._span_steps:
            self._span_steps = max(1, done)
            self._version += 1
            self._arm()

    def _end(self, version: int, now_s: float) -> None:
        if version != self._version:
            return
        self.busy_s += self._span_steps * self._step_s
        self._steps += self._span_steps
        for sequence in self._chunk:
            if sequence.left_tokens <= 0:
                self._first(sequence, now_s)
        while self._running and self._running[0][0] <= self._steps:
            _, _, sequence = heapq.heappop(self._running)
            sequence.on_end(now_s)
        self._begin(now_s)

    def _first(self, sequence: Sequence, now_s: float) -> None:
        call = sequence.call
        sequence.on_first(sequence.cached_tokens, now_s)
        end = self._steps + max(1, call.output_tokens - 1)
        heapq.heappush(self._running, (end, next(self._numbers), sequence))
