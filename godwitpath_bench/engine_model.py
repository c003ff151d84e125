"""Discrete-event model of an engine with continuous batching and a bounded prefix cache.

Each step generates one token for every running sequence and prefills a chunk of the waiting
prompts. Consecutive steps without prefill are simulated as one event (a span), so that an hour of
load takes seconds to simulate.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from godwitpath.ports.engine import LoadReport
from godwitpath.routing.estimators import CachedPrefixEstimate
from godwitpath.routing.prefix import BLOCK_TOKENS
from godwitpath_bench.workload import Call

STEP_S = 0.015
"""Duration of a step with an empty batch."""

STEP_PER_SEQUENCE_S = 0.0005
"""Time that each sequence in the batch adds to a step."""

CHUNK_TOKENS = 512
"""Maximum number of prompt tokens prefilled in a step."""

MAX_BATCH = 96
"""Maximum number of sequences in the batch."""


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Properties of an engine.

    :ivar prefill_tokens_per_s: prompt tokens prefilled per second
    :ivar cache_blocks: capacity of the prefix cache in blocks
    """

    upstream_id: str
    region: str
    availability_zone: str
    price_per_h: float = 2.0
    prefill_tokens_per_s: float = 16_000.0
    cache_blocks: int = 640


@dataclass(slots=True)
class Sequence:
    """A call at an engine, with the callbacks of its entry.

    :ivar on_first_token: called with the number of cached prompt tokens and the time of the first
        token
    :ivar on_finished: called with the time of the last token
    :ivar remaining_prompt_tokens: number of prompt tokens that are not prefilled yet
    """

    call: Call
    on_first_token: Callable[[int, float], None]
    on_finished: Callable[[float], None]
    remaining_prompt_tokens: float = 0.0
    cached_tokens: int = 0
    cancelled: bool = False


Schedule = Callable[[float, Callable[[], None]], None]
"""Schedules a callback at a simulated time in seconds."""


@dataclass(slots=True)
class EngineModel:
    """A simulated engine.

    :ivar schedule: adds an event to the event queue of the experiment
    :ivar computed_tokens: prompt tokens prefilled so far
    :ivar busy_s: total duration of the steps so far
    """

    spec: EngineSpec
    schedule: Schedule
    computed_tokens: int = 0
    known_tokens: int = 0
    busy_s: float = 0.0
    live: bool = True
    _waiting: list[tuple[int, int, Sequence]] = field(default_factory=list)
    _running: list[tuple[int, int, Sequence]] = field(default_factory=list)
    _tie_breakers: itertools.count[int] = field(default_factory=itertools.count)
    _steps: int = 0
    _span_start_s: float = 0.0
    _span_steps: int = 0
    _step_s: float = 0.0
    _chunk: list[Sequence] = field(default_factory=list)
    _span_version: int = 0
    _seen: set[str] = field(default_factory=set)
    cache: CachedPrefixEstimate = field(default_factory=lambda: CachedPrefixEstimate(0))

    def __post_init__(self) -> None:
        self.cache.capacity = self.spec.cache_blocks

    def submit(self, sequence: Sequence, now_s: float) -> None:
        """Add a call to the waiting queue."""
        call = sequence.call
        sequence.remaining_prompt_tokens = call.prompt_tokens - self._cached_tokens(call)
        heapq.heappush(self._waiting, (call.priority, next(self._tie_breakers), sequence))
        if not self._span_steps:
            self._begin_span(now_s)
        elif not self._chunk and len(self._running) < MAX_BATCH:
            self._shorten_span(now_s)

    def report(self, now_s: float) -> LoadReport:
        """Return the current load; the caller adds the delay of the report."""
        waiting_prompt_tokens = int(
            sum(sequence.remaining_prompt_tokens for _, _, sequence in self._waiting)
        )
        free_cache_tokens = (self.cache.capacity - len(self.cache)) * BLOCK_TOKENS
        return LoadReport(
            len(self._running), len(self._waiting), waiting_prompt_tokens, free_cache_tokens, now_s
        )

    def fail(self) -> list[Sequence]:
        """Stop the engine.

        :returns: the calls that were waiting or running on it
        """
        lost = [queued[2] for queued in (*self._waiting, *self._running)]
        lost += [sequence for sequence in self._chunk if sequence.remaining_prompt_tokens <= 0]
        self._waiting, self._running, self._chunk = [], [], []
        self._span_version += 1
        self._span_steps = 0
        self.live = False
        return lost

    def restart(self) -> None:
        """Restart the engine with an empty cache."""
        self.live = True
        self.cache = CachedPrefixEstimate(self.spec.cache_blocks)

    def _cached_tokens(self, call: Call) -> int:
        cached_blocks = self.cache.count_cached(call.blocks)
        return min(cached_blocks * BLOCK_TOKENS, call.prompt_tokens - 1)

    def _begin_span(self, now_s: float) -> None:
        while self._waiting and self._waiting[0][2].cancelled:
            heapq.heappop(self._waiting)
        self._chunk = []
        chunk_tokens = self._fill_chunk()
        if not self._running and not self._chunk:
            self._span_steps = 0
            return
        chunk_s = chunk_tokens / self.spec.prefill_tokens_per_s
        self._step_s = STEP_S + STEP_PER_SEQUENCE_S * len(self._running) + chunk_s
        steps_to_first_end = self._running[0][0] - self._steps if self._running else 1
        self._span_steps = 1 if self._chunk else max(1, steps_to_first_end)
        self._span_start_s = now_s
        self._span_version += 1
        self._schedule_span_end()

    def _fill_chunk(self) -> float:
        budget_tokens = float(CHUNK_TOKENS)
        filled = 0.0
        while (
            self._waiting
            and budget_tokens > 0
            and len(self._running) + len(self._chunk) < MAX_BATCH
        ):
            _, _, sequence = self._waiting[0]
            self._admit(sequence)
            step_tokens = min(budget_tokens, sequence.remaining_prompt_tokens)
            sequence.remaining_prompt_tokens -= step_tokens
            budget_tokens -= step_tokens
            filled += step_tokens
            if sequence.remaining_prompt_tokens > 0:
                # A non-empty chunk marks the step as a prefill step, although no prompt ends in it.
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
        # The cache may have changed since the call was submitted.
        sequence.cached_tokens = max(1, self._cached_tokens(call))
        sequence.remaining_prompt_tokens = float(call.prompt_tokens - self._cached_tokens(call))
        self.computed_tokens += int(sequence.remaining_prompt_tokens)
        self.cache.add(call.blocks)

    def _schedule_span_end(self) -> None:
        span_version = self._span_version
        end_s = self._span_start_s + self._span_steps * self._step_s
        self.schedule(end_s, lambda: self._end_span(span_version, end_s))

    def _shorten_span(self, now_s: float) -> None:
        completed_steps = math.ceil((now_s - self._span_start_s) / self._step_s - 1e-9)
        if max(1, completed_steps) < self._span_steps:
            self._span_steps = max(1, completed_steps)
            self._span_version += 1
            self._schedule_span_end()

    def _end_span(self, span_version: int, now_s: float) -> None:
        if span_version != self._span_version:
            return
        self.busy_s += self._span_steps * self._step_s
        self._steps += self._span_steps
        for sequence in self._chunk:
            if sequence.remaining_prompt_tokens <= 0:
                self._start_decoding(sequence, now_s)
        while self._running and self._running[0][0] <= self._steps:
            _, _, sequence = heapq.heappop(self._running)
            sequence.on_finished(now_s)
        self._begin_span(now_s)

    def _start_decoding(self, sequence: Sequence, now_s: float) -> None:
        call = sequence.call
        sequence.on_first_token(sequence.cached_tokens, now_s)
        end_step = self._steps + max(1, call.output_tokens - 1)
        heapq.heappush(self._running, (end_step, next(self._tie_breakers), sequence))
