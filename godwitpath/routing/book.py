"""What one entry knows of its engines: own calls in progress, load reports and learned rates."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from godwitpath.ports.engine import LoadReport
from godwitpath.routing import outliers
from godwitpath.routing.batch_limit import BatchLimit
from godwitpath.routing.choose import PATIENCE, SLOW_START_S
from godwitpath.routing.learning import FadingAverage, Line, MovingAverage, PrefixMemory
from godwitpath.routing.outliers import OutlierState
from godwitpath.routing.prefix import BLOCK_TOKENS
from godwitpath.routing.views import (
    BETWEEN_TOKENS_S,
    PREFILL_TOKENS_PER_S,
    EngineView,
    UpstreamFacts,
)

MEMORY_BLOCKS = 4096
"""Prefix blocks remembered for an engine."""

ALL_MEMORY_BLOCKS = 200_000
"""Prefix blocks remembered for all engines together, so that memory does not grow with them."""

COUNTED_BLOCKS = 2048
"""Leading blocks whose frequency is counted."""

COMMON_SHARE = 0.15
"""Part of the calls from which on a block is too common to say where a prefix lives."""

COUNT_DECAY_CALLS = 512
"""Calls after which the counts of blocks are halved."""

OPENING_S = 3.0
"""Time after the first call in which the engines seen are taken as running already."""

MIN_SAMPLE_TOKENS = 512
"""Uncached tokens from which on a first token says something about the prefill rate."""

BETWEEN_PER_CALL_S = 0.0005
"""Growth of the time between tokens with one more call, until it is learned."""


@dataclass(slots=True)
class Outstanding:
    """A call in progress, as :meth:`LoadBook.started` returns it.

    :ivar tokens: prompt tokens
    :ivar to_compute: those of them that are expected to be computed
    :ivar sent_at_s: when it was sent
    :ivar predicted_s: time to first token as the load alone predicted it
    :ivar first_at_s: when its first token came, 0 before
    :ivar running_then: calls that the engine had when the first token came
    """

    upstream_id: str
    tokens: int
    to_compute: int
    sent_at_s: float
    predicted_s: float
    priority: int = 0
    blocks: Sequence[str] = ()
    rank: int = -1
    first_at_s: float = 0.0
    running_then: float = 0.0
    ended: bool = False


@dataclass(slots=True)
class BookCounters:
    """Counts since the start."""

    started: int = 0
    finished: int = 0
    failed: int = 0
    reports: int = 0
    ejections: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(slots=True)
class _EngineState:
    started_at_s: float
    own_tokens: int = 0
    own_running: int = 0
    report: LoadReport | None = None
    other_tokens: MovingAverage = field(default_factory=lambda: MovingAverage(0.0, 0.5))
    other_running: MovingAverage = field(default_factory=lambda: MovingAverage(0.0, 0.5))
    prefill: MovingAverage = field(default_factory=lambda: MovingAverage(PREFILL_TOKENS_PER_S))
    between: Line = field(default_factory=lambda: Line(1.0, BETWEEN_TOKENS_S, BETWEEN_PER_CALL_S))
    batch: BatchLimit = field(default_factory=BatchLimit)
    call_s: MovingAverage = field(default_factory=lambda: MovingAverage(5.0))
    excess: list[FadingAverage] = field(default_factory=lambda: [FadingAverage() for _ in PATIENCE])
    held: PrefixMemory = field(default_factory=lambda: PrefixMemory(MEMORY_BLOCKS))
    outlier: OutlierState = field(default_factory=OutlierState)


class LoadBook:
    """Own outstanding work and what was learned from answers, engine by engine.

    Memory is bounded by the engines known; :meth:`forget` drops one that is gone.
    """

    def __init__(self) -> None:
        self.counters = BookCounters()
        self._engines: dict[str, _EngineState] = {}
        self._rank_hits = [MovingAverage(0.5, 0.05), MovingAverage(0.1, 0.05)]
        self._counts: OrderedDict[str, int] = OrderedDict()
        self._counted_calls = 0
        self._opened_at_s: float | None = None

    def started(
        self,
        upstream_id: str,
        tokens: int,
        now_s: float,
        priority: int = 0,
        blocks: Sequence[str] = (),
        rank: int = -1,
        predicted_cached_tokens: int = 0,
    ) -> Outstanding:
        """Note that a call was sent; the result goes to the other methods.

        :param tokens: prompt tokens, cached ones included
        :param rank: rank of the choice, for learning how often prefixes are found
        :param predicted_cached_tokens: prompt tokens that the choice expects in the cache
        """
        state = self._state(upstream_id, now_s)
        state.own_running += 1
        self.counters.started += 1
        self._count(blocks)
        to_compute = max(1, tokens - predicted_cached_tokens)
        state.own_tokens += to_compute
        waiting_tokens = state.own_tokens + state.other_tokens.value
        running = state.own_running + state.other_running.value
        predicted_s = waiting_tokens / state.prefill.value + state.between.at(running)
        return Outstanding(
            upstream_id, tokens, to_compute, now_s, predicted_s, priority, blocks, rank
        )

    def first_token(self, call: Outstanding, cached_tokens: int, now_s: float) -> None:
        """Note the first token, with the prompt tokens that came from the engine's cache."""
        if call.first_at_s or call.ended:
            return
        call.first_at_s = now_s
        state = self._state(call.upstream_id, now_s)
        call.running_then = state.own_running + state.other_running.value
        self.counters.prompt_tokens += call.tokens
        self.counters.cached_tokens += cached_tokens
        self._learn_prefill(state, call, cached_tokens, now_s)
        self._learn_cache(state, call, cached_tokens)
        missed_tokens = max(0, call.tokens - cached_tokens - call.to_compute)
        late_s = now_s - call.sent_at_s - call.predicted_s - missed_tokens / state.prefill.value
        state.excess[min(call.priority, len(PATIENCE) - 1)].add(max(0.0, late_s), now_s)
        state.own_tokens = max(0, state.own_tokens - call.to_compute)

    def finished(self, call: Outstanding, now_s: float, tokens: int = 0) -> None:
        """Note the end of an answer.

        :param tokens: tokens of the answer
        """
        if call.ended:
            return
        state = self._end(call, now_s)
        state.outlier.succeeded()
        self.counters.finished += 1
        if call.first_at_s:
            state.call_s.add(now_s - call.first_at_s)
        if call.first_at_s and tokens > 1:
            between_s = (now_s - call.first_at_s) / (tokens - 1)
            running_now = state.own_running + 1 + state.other_running.value
            state.between.add((call.running_then + running_now) / 2, between_s)

    def failed(self, call: Outstanding, now_s: float) -> None:
        """Note that a call failed at its engine."""
        if call.ended:
            return
        state = self._end(call, now_s)
        self.counters.failed += 1
        self.counters.ejections += state.outlier.failed(now_s)

    def cancelled(self, call: Outstanding, now_s: float) -> None:
        """Note that a call ended without saying anything about its engine."""
        if not call.ended:
            self._end(call, now_s)

    def report(self, upstream_id: str, report: LoadReport, now_s: float) -> None:
        """Take in a load report; own work in it is told from that of others."""
        state = self._state(upstream_id, now_s)
        state.batch.add(report)
        state.report = report
        state.other_tokens.add(max(0.0, report.waiting_tokens - state.own_tokens))
        total = report.running + report.waiting
        state.other_running.add(max(0.0, total - state.own_running))
        self.counters.reports += 1

    def key_block(self, blocks: Sequence[str]) -> int:
        """Return the first block that is not common to a large part of the calls.

        Templates that begin most prompts would otherwise send all of them to one engine.

        :returns: its index, -1 when every block is common or there is none
        """
        common = COMMON_SHARE * max(self._counted_calls, 20)
        for index, block in enumerate(blocks):
            if self._counts.get(block, 0) <= common:
                return index
        return -1

    def hit_ratios(self) -> list[float]:
        """Return how much of a prefix was found, for each rank of its ranking."""
        return [average.value for average in self._rank_hits]

    def views(self, upstreams: Iterable[UpstreamFacts], now_s: float) -> list[EngineView]:
        """Return a view of each upstream."""
        known = list(upstreams)
        states = {facts.upstream_id: self._state(facts.upstream_id, now_s) for facts in known}
        outlier_states = {name: state.outlier for name, state in states.items()}
        out = outliers.ejected(outlier_states, now_s)
        return [self._view(facts, states[facts.upstream_id], out, now_s) for facts in known]

    def forget(self, upstream_id: str) -> None:
        """Drop an upstream that is gone."""
        self._engines.pop(upstream_id, None)

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        engines = {
            upstream_id: {
                "own_tokens": state.own_tokens,
                "own_running": state.own_running,
                "other_tokens": round(state.other_tokens.value),
                "other_running": round(state.other_running.value, 1),
                "prefill_tokens_per_s": round(state.prefill.value),
                "between_tokens_s": round(state.between.mean_y, 4),
                "held_blocks": len(state.held),
                "ejected_until_s": state.outlier.ejected_until_s,
            }
            for upstream_id, state in sorted(self._engines.items())
        }
        return {
            "counters": asdict(self.counters),
            "hit_ratios": [round(ratio, 3) for ratio in self.hit_ratios()],
            "engines": engines,
        }

    def _state(self, upstream_id: str, now_s: float) -> _EngineState:
        state = self._engines.get(upstream_id)
        if state is None:
            state = self._engines[upstream_id] = _EngineState(self._start_of_new(now_s))
        return state

    def _start_of_new(self, now_s: float) -> float:
        if self._opened_at_s is None:
            self._opened_at_s = now_s
        # Engines that an entry finds when it starts were there before it.
        found = now_s - self._opened_at_s < OPENING_S
        return now_s - SLOW_START_S if found else now_s

    def _view(
        self, facts: UpstreamFacts, state: _EngineState, out: set[str], now_s: float
    ) -> EngineView:
        running = state.own_running + state.other_running.value
        return EngineView(
            upstream_id=facts.upstream_id,
            region=facts.region,
            availability_zone=facts.availability_zone,
            price_per_h=facts.price_per_h,
            load=state.report,
            own_tokens=state.own_tokens,
            own_running=state.own_running,
            other_tokens=state.other_tokens.value,
            other_running=state.other_running.value,
            started_at_s=state.started_at_s,
            ejected=facts.upstream_id in out,
            prefill_tokens_per_s=state.prefill.value,
            between_tokens_s=state.between.at(running),
            between_per_call_s=state.between.slope,
            batch_limit=state.batch.limit,
            call_s=state.call_s.value,
            excess_s=[average.at(now_s) for average in state.excess],
            held=state.held,
        )

    def _end(self, call: Outstanding, now_s: float) -> _EngineState:
        call.ended = True
        state = self._state(call.upstream_id, now_s)
        state.own_running = max(0, state.own_running - 1)
        if not call.first_at_s:
            state.own_tokens = max(0, state.own_tokens - call.to_compute)
        return state

    def _learn_prefill(
        self, state: _EngineState, call: Outstanding, cached_tokens: int, now_s: float
    ) -> None:
        computed = call.tokens - cached_tokens
        alone = state.own_tokens <= call.to_compute and state.other_tokens.value < computed / 4
        if computed < MIN_SAMPLE_TOKENS or not alone:
            return
        spent_s = max(1e-3, now_s - call.sent_at_s - state.between.mean_y)
        state.prefill.add(computed / spent_s)

    def _learn_cache(self, state: _EngineState, call: Outstanding, cached_tokens: int) -> None:
        cached_blocks = cached_tokens // BLOCK_TOKENS
        state.held.forget(call.blocks[cached_blocks:])
        state.held.capacity = min(MEMORY_BLOCKS, ALL_MEMORY_BLOCKS // len(self._engines))
        state.held.add(call.blocks)
        if call.blocks and 0 <= call.rank < len(self._rank_hits):
            self._rank_hits[call.rank].add(min(1.0, cached_blocks / len(call.blocks)))

    def _count(self, blocks: Sequence[str]) -> None:
        if not blocks:
            return
        self._counted_calls += 1
        for block in blocks:
            self._counts[block] = self._counts.pop(block, 0) + 1
        while len(self._counts) > COUNTED_BLOCKS:
            self._counts.popitem(last=False)
        if self._counted_calls >= COUNT_DECAY_CALLS:
            self._counted_calls //= 2
            halved = ((block, count // 2) for block, count in self._counts.items())
            self._counts = OrderedDict((block, count) for block, count in halved if count)
