"""Choice of the engine for a call, by a cost of cached prefix, load, region and price."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from godwitpath.config.model import LatencyTarget, TrafficPrices
from godwitpath.errors import GodwitpathError
from godwitpath.routing.prefix import BLOCK_TOKENS, CHARS_PER_TOKEN
from godwitpath.routing.subset import ranking
from godwitpath.routing.views import EngineView

CROSS_REGION_ROUND_TRIP_S = 0.04
"""Network time that a call to another region adds to its time to first token."""

SLOW_START_S = 10.0
"""Time over which the assumed prefill rate of a new engine rises to the learned rate."""

SLOW_START_MIN_FACTOR = 0.1
"""Fraction of the learned prefill rate that a new engine is assumed to have at first."""

MAX_PREFERRED_ENGINES = 2
"""Number of first-ranked engines that are expected to have a prefix cached.

The engines are ranked for each prefix by rendezvous hashing.
"""

LATE_PRICE_PER_S = 0.02
"""Cost of each second by which a call is late for its latency target, in units of price."""

STALL_PRICE_PER_S = 0.03
"""Cost of delaying one call in progress by a second, in units of price."""

TARGET_FRACTION = 0.7
"""Fraction of a latency target that a prediction may use.

The rest covers errors from outdated load reports.
"""

PRIORITY_WAIT_FACTORS = (1.0, 8.0, 30.0)
"""Multiple of the first-token target that a call may wait, by priority level."""

MAX_ALTERNATIVES = 3
"""Most engines returned as alternatives to the chosen engine."""


class NoUpstream(GodwitpathError):
    """No engine can take the call."""


@dataclass(slots=True)
class RouteQuery:
    """A call that needs an engine.

    :ivar region: region of the entry that handles the call
    :ivar blocks: hashes of the prompt's leading blocks
    :ivar prompt_tokens: tokens of the prompt
    :ivar max_tokens: most tokens of the response
    :ivar priority: 0 interactive, 1 plan, 2 batch
    :ivar excluded: ids of the engines that were already tried for the call
    :ivar affinity_block: index in `blocks` of the block that is ranked for prefix affinity; from
        :meth:`godwitpath.routing.load_tracker.LoadTracker.affinity_block`, -1 for none
    :ivar rank_hit_ratios: by rank in the prefix's ranking, the fraction of the prefix that engines
        of this rank had cached
    """

    service: str
    account: str = ""
    region: str = ""
    blocks: Sequence[str] = ()
    prompt_tokens: int = 1
    max_tokens: int = 256
    priority: int = 0
    latency: LatencyTarget = field(default_factory=LatencyTarget)
    prices: TrafficPrices = field(default_factory=TrafficPrices)
    excluded: frozenset[str] = frozenset()
    affinity_block: int = -1
    rank_hit_ratios: Sequence[float] = (0.5, 0.1)


@dataclass(slots=True, frozen=True)
class Alternative:
    """An engine that was considered, with its predictions.

    :ivar cost: cost of the call at the engine, lateness included, in units of price
    :ivar rank: rank of the engine in the prefix's ranking, -1 outside it
    """

    upstream_id: str
    cost: float
    predicted_first_token_s: float
    predicted_cached_tokens: int
    rank: int


@dataclass(slots=True, frozen=True)
class RouteChoice:
    """The chosen engine, with the predictions behind the choice.

    :ivar reason: short reason for operators
    :ivar alternatives: the next best engines, cheapest first
    :ivar rank: rank of the engine in the prefix's ranking, -1 outside it
    :ivar first_token_per_call_s: growth of the time to first token with one more call at any engine
    :ivar between_per_call_s: growth of the time between tokens with one more call at any engine
    :ivar batch_share: fraction of the engine's batch in use with the call, 0 while unknown
    """

    upstream_id: str
    reason: str
    alternatives: list[Alternative]
    predicted_first_token_s: float
    predicted_between_tokens_s: float
    predicted_cached_tokens: int
    rank: int
    first_token_per_call_s: float = 0.0
    between_per_call_s: float = 0.0
    batch_share: float = 0.0


def choose(query: RouteQuery, views: Sequence[EngineView], now_s: float) -> RouteChoice:
    """Choose the engine with the lowest cost for a call.

    Engines of other regions are considered only when no engine of the local region is predicted to
    meet the target.

    :raises NoUpstream: there is no engine, or all engines are excluded
    """
    eligible = [view for view in views if view.upstream_id not in query.excluded]
    if not eligible:
        raise NoUpstream(f"no engine of {query.service} can take the call")
    considered = [view for view in eligible if not view.ejected] or eligible
    ranks = preferred_ranks(query, considered)
    local = [view for view in considered if view.region == query.region]
    candidates = _evaluate(query, local, ranks, now_s)
    if not candidates or _misses_target(query, *candidates[0]):
        remote = [view for view in considered if view.region != query.region]
        candidates = sorted(candidates + _evaluate(query, remote, ranks, now_s), key=_sort_key)
    best, view = candidates[0]
    return RouteChoice(
        upstream_id=best.upstream_id,
        reason=_reason(query, best, view),
        alternatives=[other for other, _ in candidates[1 : 1 + MAX_ALTERNATIVES]],
        predicted_first_token_s=best.predicted_first_token_s,
        predicted_between_tokens_s=view.between_tokens_s + view.between_per_call_s,
        predicted_cached_tokens=best.predicted_cached_tokens,
        rank=best.rank,
        first_token_per_call_s=query.prompt_tokens / view.prefill_tokens_per_s / len(considered),
        between_per_call_s=view.between_per_call_s / len(considered),
        batch_share=view.batch_share,
    )


def preferred_ranks(query: RouteQuery, views: Sequence[EngineView]) -> dict[str, int]:
    """Return the rank of each engine that is expected to have the prefix cached, by engine id."""
    if not 0 <= query.affinity_block < len(query.blocks):
        return {}
    key = query.blocks[query.affinity_block]
    local_ids = [view.upstream_id for view in views if view.region == query.region]
    preferred_ids = ranking(key, local_ids, MAX_PREFERRED_ENGINES)
    return {upstream_id: rank for rank, upstream_id in enumerate(preferred_ids)}


def slow_start_factor(view: EngineView, now_s: float) -> float:
    """Return the fraction of the learned prefill rate to assume for an engine of this age."""
    age_s = now_s - view.first_seen_at_s
    return min(1.0, max(SLOW_START_MIN_FACTOR, age_s / SLOW_START_S))


def _evaluate(
    query: RouteQuery, views: Sequence[EngineView], ranks: dict[str, int], now_s: float
) -> list[tuple[Alternative, EngineView]]:
    candidates = [(_alternative(query, view, ranks, now_s), view) for view in views]
    return sorted(candidates, key=_sort_key)


def _sort_key(candidate: tuple[Alternative, EngineView]) -> tuple[float, str]:
    return candidate[0].cost, candidate[0].upstream_id


def _alternative(
    query: RouteQuery, view: EngineView, ranks: dict[str, int], now_s: float
) -> Alternative:
    rank = ranks.get(view.upstream_id, -1)
    cached_tokens = _cached_tokens(query, view, rank)
    prefill_tokens_per_s = view.prefill_tokens_per_s * slow_start_factor(view, now_s)
    prefill_s = (query.prompt_tokens - cached_tokens) / prefill_tokens_per_s
    is_remote = view.region != query.region
    first_token_s = (
        view.waiting_tokens / prefill_tokens_per_s
        + prefill_s
        + view.between_tokens_s
        + view.batch_wait_s
        + view.lateness_s[min(query.priority, len(view.lateness_s) - 1)]
        + is_remote * CROSS_REGION_ROUND_TRIP_S
    )
    return Alternative(
        upstream_id=view.upstream_id,
        cost=sum(_costs(query, view, prefill_s, first_token_s)),
        predicted_first_token_s=first_token_s,
        predicted_cached_tokens=cached_tokens,
        rank=rank,
    )


def _costs(
    query: RouteQuery, view: EngineView, prefill_s: float, first_token_s: float
) -> Iterator[float]:
    # Prefill uses the whole engine, decoding shares the engine with the batch.
    decode_s = query.max_tokens * view.between_tokens_s / (view.running + 1.0)
    engine_price_per_s = view.price_per_h / 3600.0
    yield engine_price_per_s * (prefill_s + decode_s)
    # Prefill delays every call in progress.
    yield STALL_PRICE_PER_S * prefill_s * view.running
    if view.region != query.region:
        sent_bytes = (query.prompt_tokens + query.max_tokens) * CHARS_PER_TOKEN
        yield query.prices.cross_region_per_gb * sent_bytes / 1e9
    yield LATE_PRICE_PER_S * max(0.0, first_token_s - _first_token_allowance_s(query))
    between_s = view.between_tokens_s + view.between_per_call_s
    excess_between_s = max(0.0, between_s - TARGET_FRACTION * query.latency.between_tokens_s)
    yield LATE_PRICE_PER_S * excess_between_s * query.max_tokens


def _first_token_allowance_s(query: RouteQuery) -> float:
    level = min(query.priority, len(PRIORITY_WAIT_FACTORS) - 1)
    return TARGET_FRACTION * query.latency.first_token_s * PRIORITY_WAIT_FACTORS[level]


def _misses_target(query: RouteQuery, candidate: Alternative, view: EngineView) -> bool:
    between_s = view.between_tokens_s + view.between_per_call_s
    too_slow = between_s > TARGET_FRACTION * query.latency.between_tokens_s
    return too_slow or candidate.predicted_first_token_s > _first_token_allowance_s(query)


def _cached_tokens(query: RouteQuery, view: EngineView, rank: int) -> int:
    cached_blocks = (
        view.cached_prefixes.count_cached(query.blocks) if view.cached_prefixes is not None else 0
    )
    tokens = cached_blocks * BLOCK_TOKENS
    if 0 <= rank < len(query.rank_hit_ratios):
        expected_tokens = query.rank_hit_ratios[rank] * len(query.blocks) * BLOCK_TOKENS
        tokens = max(tokens, int(expected_tokens))
    return min(tokens, query.prompt_tokens - 1)


def _reason(query: RouteQuery, best: Alternative, view: EngineView) -> str:
    if view.region != query.region:
        return "no engine at home meets the target"
    if best.rank == 0:
        return "holds the prefix"
    if best.rank > 0:
        return "the first engine of the prefix is full"
    if best.predicted_cached_tokens:
        return "known to hold the prefix"
    return "least cost"
