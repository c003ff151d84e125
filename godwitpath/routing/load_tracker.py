"""Load of the engines as one entry knows it.

The load is known from the calls that the entry sent (own calls), from the load reports of the
engines and from rates learned from responses.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from godwitpath.ports.engine import LoadReport
from godwitpath.routing import outliers
from godwitpath.routing.batch_limit import BatchLimit
from godwitpath.routing.choose import PRIORITY_WAIT_FACTORS, SLOW_START_S
from godwitpath.routing.estimators import (
    CachedPrefixEstimate,
    DecayingAverage,
    LinearFit,
    MovingAverage,
)
from godwitpath.routing.outliers import OutlierState
from godwitpath.routing.prefix import BLOCK_TOKENS
from godwitpath.routing.views import (
    DEFAULT_BETWEEN_TOKENS_S,
    DEFAULT_PREFILL_TOKENS_PER_S,
    EngineView,
    UpstreamFacts,
)

MAX_ENGINE_BLOCKS = 4096
"""Most prefix blocks remembered for one engine."""

MAX_TOTAL_BLOCKS = 200_000
"""Most prefix blocks remembered for all engines, so that memory does not grow with the fleet."""

MAX_COUNTED_BLOCKS = 2048
"""Most prefix blocks for which the calls that use them are counted."""

COMMON_BLOCK_FRACTION = 0.15
"""Largest fraction of the calls that may share a block for it to identify a prefix."""

COUNT_DECAY_CALLS = 512
"""Number of counted calls at which the use counts of all blocks are halved."""

STARTUP_WINDOW_S = 3.0
"""Time after the first use of a tracker in which new engines skip the slow start.

These engines are assumed to have been running before the entry started.
"""

MIN_PREFILL_SAMPLE_TOKENS = 512
"""Fewest computed prompt tokens of a call from which the prefill rate is learned."""

DEFAULT_BETWEEN_PER_CALL_S = 0.0005
"""Growth of an engine's time between tokens with each further call, until it is learned."""


@dataclass(slots=True)
class OutstandingCall:
    """A call in progress, as returned by :meth:`LoadTracker.started`.

    :ivar tokens: prompt tokens, cached ones included
    :ivar uncached_tokens: prompt tokens that the engine is expected to compute
    :ivar sent_at_s: time at which the call was sent
    :ivar predicted_first_token_s: time to first token predicted from the engine's load, without the
        recent lateness of the engine
    :ivar priority: 0 interactive, 1 plan, 2 batch
    :ivar blocks: hashes of the prompt's leading blocks
    :ivar rank: rank of the engine in the prefix's ranking, -1 outside it
    :ivar first_token_at_s: time of the first token, 0 until it arrives
    :ivar running_at_first_token: calls in progress at the engine at the first token
    :ivar ended: whether the call finished, failed or was cancelled
    """

    upstream_id: str
    tokens: int
    uncached_tokens: int
    sent_at_s: float
    predicted_first_token_s: float
    priority: int = 0
    blocks: Sequence[str] = ()
    rank: int = -1
    first_token_at_s: float = 0.0
    running_at_first_token: float = 0.0
    ended: bool = False


@dataclass(slots=True)
class LoadTrackerCounters:
    """Numbers of calls, reports, ejections and tokens since the start of the process.

    :ivar started: calls sent
    :ivar finished: calls that ended with a complete response
    :ivar failed: calls that failed at their engine
    :ivar reports: load reports received
    :ivar ejections: ejections of engines
    :ivar prompt_tokens: prompt tokens of the calls that had a first token
    :ivar cached_tokens: part of these tokens that engines found in their caches
    """

    started: int = 0
    finished: int = 0
    failed: int = 0
    reports: int = 0
    ejections: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(slots=True)
class _EngineState:
    first_seen_at_s: float
    own_tokens: int = 0
    own_running: int = 0
    report: LoadReport | None = None
    other_tokens: MovingAverage = field(default_factory=lambda: MovingAverage(0.0, 0.5))
    other_running: MovingAverage = field(default_factory=lambda: MovingAverage(0.0, 0.5))
    prefill_rate: MovingAverage = field(
        default_factory=lambda: MovingAverage(DEFAULT_PREFILL_TOKENS_PER_S)
    )
    between_tokens: LinearFit = field(
        default_factory=lambda: LinearFit(1.0, DEFAULT_BETWEEN_TOKENS_S, DEFAULT_BETWEEN_PER_CALL_S)
    )
    batch_limit: BatchLimit = field(default_factory=BatchLimit)
    batch_time_s: MovingAverage = field(default_factory=lambda: MovingAverage(5.0))
    lateness: list[DecayingAverage] = field(
        default_factory=lambda: [DecayingAverage() for _ in PRIORITY_WAIT_FACTORS]
    )
    cached_prefixes: CachedPrefixEstimate = field(
        default_factory=lambda: CachedPrefixEstimate(MAX_ENGINE_BLOCKS)
    )
    outlier: OutlierState = field(default_factory=OutlierState)


class LoadTracker:
    """Tracks, for each engine, the calls in progress and the rates learned from responses.

    Memory grows with the number of known engines, so :meth:`forget` must drop removed engines.
    """

    def __init__(self) -> None:
        self.counters = LoadTrackerCounters()
        self._engines: dict[str, _EngineState] = {}
        self._rank_hit_ratios = [MovingAverage(0.5, 0.05), MovingAverage(0.1, 0.05)]
        self._block_counts: OrderedDict[str, int] = OrderedDict()
        self._counted_calls = 0
        self._first_use_at_s: float | None = None

    def started(
        self,
        upstream_id: str,
        tokens: int,
        now_s: float,
        priority: int = 0,
        blocks: Sequence[str] = (),
        rank: int = -1,
        predicted_cached_tokens: int = 0,
    ) -> OutstandingCall:
        """Record that a call was sent.

        :param tokens: prompt tokens, cached ones included
        :param rank: rank of the engine in the prefix's ranking, for which the hit ratio is learned
        :param predicted_cached_tokens: prompt tokens that are expected in the engine's cache
        :returns: the call, to be passed to the other methods
        """
        state = self._state(upstream_id, now_s)
        state.own_running += 1
        self.counters.started += 1
        self._count_blocks(blocks)
        uncached_tokens = max(1, tokens - predicted_cached_tokens)
        state.own_tokens += uncached_tokens
        waiting_tokens = state.own_tokens + state.other_tokens.value
        running_calls = state.own_running + state.other_running.value
        predicted_first_token_s = (
            waiting_tokens / state.prefill_rate.value + state.between_tokens.at(running_calls)
        )
        return OutstandingCall(
            upstream_id,
            tokens,
            uncached_tokens,
            now_s,
            predicted_first_token_s,
            priority,
            blocks,
            rank,
        )

    def first_token(self, call: OutstandingCall, cached_tokens: int, now_s: float) -> None:
        """Record the first token of a call.

        :param cached_tokens: prompt tokens that the engine found in its cache
        """
        if call.first_token_at_s or call.ended:
            return
        call.first_token_at_s = now_s
        state = self._state(call.upstream_id, now_s)
        call.running_at_first_token = state.own_running + state.other_running.value
        self.counters.prompt_tokens += call.tokens
        self.counters.cached_tokens += cached_tokens
        self._learn_prefill(state, call, cached_tokens, now_s)
        self._learn_cache(state, call, cached_tokens)
        cache_miss_tokens = max(0, call.tokens - cached_tokens - call.uncached_tokens)
        late_by_s = (
            now_s
            - call.sent_at_s
            - call.predicted_first_token_s
            - cache_miss_tokens / state.prefill_rate.value
        )
        state.lateness[min(call.priority, len(PRIORITY_WAIT_FACTORS) - 1)].add(
            max(0.0, late_by_s), now_s
        )
        state.own_tokens = max(0, state.own_tokens - call.uncached_tokens)

    def finished(self, call: OutstandingCall, now_s: float, tokens: int = 0) -> None:
        """Record the end of a complete response.

        :param tokens: tokens of the response
        """
        if call.ended:
            return
        state = self._end_call(call, now_s)
        state.outlier.succeeded()
        self.counters.finished += 1
        if call.first_token_at_s:
            state.batch_time_s.add(now_s - call.first_token_at_s)
        if call.first_token_at_s and tokens > 1:
            between_s = (now_s - call.first_token_at_s) / (tokens - 1)
            running_calls = state.own_running + 1 + state.other_running.value
            state.between_tokens.add((call.running_at_first_token + running_calls) / 2, between_s)

    def failed(self, call: OutstandingCall, now_s: float) -> None:
        """Record that a call failed at its engine."""
        if call.ended:
            return
        state = self._end_call(call, now_s)
        self.counters.failed += 1
        self.counters.ejections += state.outlier.failed(now_s)

    def cancelled(self, call: OutstandingCall, now_s: float) -> None:
        """Record the end of a call that neither succeeded nor failed at its engine."""
        if not call.ended:
            self._end_call(call, now_s)

    def report(self, upstream_id: str, report: LoadReport, now_s: float) -> None:
        """Record a load report of an engine.

        The reported load, less that of this entry's own calls, is the load of other entries.
        """
        state = self._state(upstream_id, now_s)
        state.batch_limit.add(report)
        state.report = report
        state.other_tokens.add(max(0.0, report.waiting_tokens - state.own_tokens))
        total_running = report.running + report.waiting
        state.other_running.add(max(0.0, total_running - state.own_running))
        self.counters.reports += 1

    def affinity_block(self, blocks: Sequence[str]) -> int:
        """Return the index of the first block that only a small part of the calls share.

        If a template that begins most prompts were used instead, all of them would be routed to
        one engine.

        :returns: the index, -1 when most calls share every block or there is no block
        """
        common_count = COMMON_BLOCK_FRACTION * max(self._counted_calls, 20)
        for index, block in enumerate(blocks):
            if self._block_counts.get(block, 0) <= common_count:
                return index
        return -1

    def hit_ratios(self) -> list[float]:
        """Return the fraction of a prefix that engines had cached, by their rank for the prefix."""
        return [average.value for average in self._rank_hit_ratios]

    def views(self, upstreams: Iterable[UpstreamFacts], now_s: float) -> list[EngineView]:
        """Return a view of each upstream."""
        all_facts = list(upstreams)
        states = {facts.upstream_id: self._state(facts.upstream_id, now_s) for facts in all_facts}
        outlier_states = {name: state.outlier for name, state in states.items()}
        ejected_ids = outliers.ejected(outlier_states, now_s)
        return [
            self._view(facts, states[facts.upstream_id], ejected_ids, now_s) for facts in all_facts
        ]

    def forget(self, upstream_id: str) -> None:
        """Drop the state of a removed upstream."""
        self._engines.pop(upstream_id, None)

    def dump(self) -> dict[str, Any]:
        """Return the content for the state dump."""
        engines = {
            upstream_id: {
                "own_tokens": state.own_tokens,
                "own_running": state.own_running,
                "other_tokens": round(state.other_tokens.value),
                "other_running": round(state.other_running.value, 1),
                "prefill_tokens_per_s": round(state.prefill_rate.value),
                "between_tokens_s": round(state.between_tokens.mean_y, 4),
                "held_blocks": len(state.cached_prefixes),
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
            state = self._engines[upstream_id] = _EngineState(self._assumed_first_seen_s(now_s))
        return state

    def _assumed_first_seen_s(self, now_s: float) -> float:
        if self._first_use_at_s is None:
            self._first_use_at_s = now_s
        # Engines seen shortly after the entry started were probably running before it.
        at_startup = now_s - self._first_use_at_s < STARTUP_WINDOW_S
        return now_s - SLOW_START_S if at_startup else now_s

    def _view(
        self, facts: UpstreamFacts, state: _EngineState, ejected_ids: set[str], now_s: float
    ) -> EngineView:
        running_calls = state.own_running + state.other_running.value
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
            first_seen_at_s=state.first_seen_at_s,
            ejected=facts.upstream_id in ejected_ids,
            prefill_tokens_per_s=state.prefill_rate.value,
            between_tokens_s=state.between_tokens.at(running_calls),
            between_per_call_s=state.between_tokens.slope,
            batch_limit=state.batch_limit.limit,
            batch_time_s=state.batch_time_s.value,
            lateness_s=[average.at(now_s) for average in state.lateness],
            cached_prefixes=state.cached_prefixes,
        )

    def _end_call(self, call: OutstandingCall, now_s: float) -> _EngineState:
        call.ended = True
        state = self._state(call.upstream_id, now_s)
        state.own_running = max(0, state.own_running - 1)
        if not call.first_token_at_s:
            state.own_tokens = max(0, state.own_tokens - call.uncached_tokens)
        return state

    def _learn_prefill(
        self, state: _EngineState, call: OutstandingCall, cached_tokens: int, now_s: float
    ) -> None:
        computed_tokens = call.tokens - cached_tokens
        is_alone = (
            state.own_tokens <= call.uncached_tokens
            and state.other_tokens.value < computed_tokens / 4
        )
        if computed_tokens < MIN_PREFILL_SAMPLE_TOKENS or not is_alone:
            return
        prefill_s = max(1e-3, now_s - call.sent_at_s - state.between_tokens.mean_y)
        state.prefill_rate.add(computed_tokens / prefill_s)

    def _learn_cache(self, state: _EngineState, call: OutstandingCall, cached_tokens: int) -> None:
        cached_blocks = cached_tokens // BLOCK_TOKENS
        state.cached_prefixes.forget(call.blocks[cached_blocks:])
        state.cached_prefixes.capacity = min(
            MAX_ENGINE_BLOCKS, MAX_TOTAL_BLOCKS // len(self._engines)
        )
        state.cached_prefixes.add(call.blocks)
        if call.blocks and 0 <= call.rank < len(self._rank_hit_ratios):
            self._rank_hit_ratios[call.rank].add(min(1.0, cached_blocks / len(call.blocks)))

    def _count_blocks(self, blocks: Sequence[str]) -> None:
        if not blocks:
            return
        self._counted_calls += 1
        for block in blocks:
            self._block_counts[block] = self._block_counts.pop(block, 0) + 1
        while len(self._block_counts) > MAX_COUNTED_BLOCKS:
            self._block_counts.popitem(last=False)
        if self._counted_calls >= COUNT_DECAY_CALLS:
            self._counted_calls //= 2
            halved = ((block, count // 2) for block, count in self._block_counts.items())
            self._block_counts = OrderedDict((block, count) for block, count in halved if count)
