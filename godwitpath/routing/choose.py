"""Choice of the engine for one call: cached prefix, load, region and price weighed as cost."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from godwitpath.config.model import LatencyTarget, TrafficPrices
from godwitpath.errors import GodwitpathError
from godwitpath.routing.prefix import BLOCK_TOKENS, CHARS_PER_TOKEN
from godwitpath.routing.subset import ranking
from godwitpath.routing.views import EngineView

CROSS_REGION_ROUND_TRIP_S = 0.04
"""Time that a call to another region and its first answer spend on the way."""

SLOW_START_S = 10.0
"""Time over which a new engine is given its full part of the work."""

SLOW_START_FLOOR = 0.1
"""Part of its rate that a new engine is trusted with at first."""

HOME_RANKS = 2
"""Engines of the rendezvous ranking that a prefix is presumed at."""

LATE_PRICE_PER_S = 0.02
"""Cost of a second past the latency target, in units of price."""

HELD_UP_PRICE_PER_S = 0.03
"""Cost of holding up one call in progress for a second, in units of price."""

TARGET_MARGIN = 0.7
"""Part of the target that a prediction may use; the rest covers lagging knowledge."""

PATIENCE = (1.0, 8.0, 30.0)
"""Multiple of the first-token target that each priority level can wait."""

ALTERNATIVES_KEPT = 3
"""Engines reported beside the chosen one."""


class NoUpstream(GodwitpathError):
    """No engine may take the call."""


@dataclass(slots=True)
class RouteQuery:
    """A call that needs an engine.

    :ivar region: region of the entry
    :ivar blocks: digests of the prompt's leading blocks
    :ivar key_block: index of the block that says where the prefix lives; from
        :meth:`godwitpath.routing.book.LoadBook.key_block`, -1 for none
    :ivar home_hit_ratio: how often a prefix was found at each rank of its ranking
    :ivar priority: 0 interactive, 1 plan, 2 batch
    :ivar excluded: engines already tried
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
    key_block: int = -1
    home_hit_ratio: Sequence[float] = (0.5, 0.1)


@dataclass(slots=True, frozen=True)
class Alternative:
    """An engine that was weighed.

    :ivar cost: what the call would cost there, lateness included
    """

    upstream_id: str
    cost: float
    predicted_first_token_s: float
    predicted_cached_tokens: int
    rank: int


@dataclass(slots=True, frozen=True)
class RouteChoice:
    """The engine for a call, with what was known.

    :ivar why: short reason for people
    :ivar alternatives: the next best engines
    :ivar rank: place of the engine in the prefix's ranking, -1 outside it
    :ivar first_token_per_call_s: growth of the time to first token with one more call anywhere
    :ivar between_per_call_s: growth of the time between tokens with one more call anywhere
    :ivar batch_share: part of the engine's batch that is then taken, 0 when not known
    """

    upstream_id: str
    why: str
    alternatives: list[Alternative]
    predicted_first_token_s: float
    predicted_between_tokens_s: float
    predicted_cached_tokens: int
    rank: int
    first_token_per_call_s: float = 0.0
    between_per_call_s: float = 0.0
    batch_share: float = 0.0


def choose(query: RouteQuery, views: Sequence[EngineView], now_s: float) -> RouteChoice:
    """Choose the engine where a call costs least.

    Engines of other regions are weighed only when none at home is predicted to meet the target.

    :raises NoUpstream: every engine is excluded, or there is none
    """
    usable = [view for view in views if view.upstream_id not in query.excluded]
    if not usable:
        raise NoUpstream(f"no engine of {query.service} can take the call")
    sound = [view for view in usable if not view.ejected] or usable
    ranks = home_ranks(query, sound)
    home = [view for view in sound if view.region == query.region]
    weighed = _weigh(query, home, ranks, now_s)
    if not weighed or _misses_target(query, *weighed[0]):
        away = [view for view in sound if view.region != query.region]
        weighed = sorted(weighed + _weigh(query, away, ranks, now_s), key=_cost)
    best, view = weighed[0]
    return RouteChoice(
        upstream_id=best.upstream_id,
        why=_why(query, best, view),
        alternatives=[other for other, _ in weighed[1 : 1 + ALTERNATIVES_KEPT]],
        predicted_first_token_s=best.predicted_first_token_s,
        predicted_between_tokens_s=view.between_tokens_s + view.between_per_call_s,
        predicted_cached_tokens=best.predicted_cached_tokens,
        rank=best.rank,
        first_token_per_call_s=query.prompt_tokens / view.prefill_tokens_per_s / len(sound),
        between_per_call_s=view.between_per_call_s / len(sound),
        batch_share=view.batch_share,
    )


def home_ranks(query: RouteQuery, views: Sequence[EngineView]) -> dict[str, int]:
    """Return the first engines of the prefix's rendezvous ranking, with their rank."""
    if not 0 <= query.key_block < len(query.blocks):
        return {}
    key = query.blocks[query.key_block]
    at_home = [view.upstream_id for view in views if view.region == query.region]
    first = ranking(key, at_home, HOME_RANKS)
    return {upstream_id: rank for rank, upstream_id in enumerate(first)}


def slow_start(view: EngineView, now_s: float) -> float:
    """Return the part of its rate that an engine is trusted with, from its age."""
    age_s = now_s - view.started_at_s
    return min(1.0, max(SLOW_START_FLOOR, age_s / SLOW_START_S))


def _weigh(
    query: RouteQuery, views: Sequence[EngineView], ranks: dict[str, int], now_s: float
) -> list[tuple[Alternative, EngineView]]:
    weighed = [(_alternative(query, view, ranks, now_s), view) for view in views]
    return sorted(weighed, key=_cost)


def _cost(weighed: tuple[Alternative, EngineView]) -> tuple[float, str]:
    return weighed[0].cost, weighed[0].upstream_id


def _alternative(
    query: RouteQuery, view: EngineView, ranks: dict[str, int], now_s: float
) -> Alternative:
    rank = ranks.get(view.upstream_id, -1)
    cached = _cached_tokens(query, view, rank)
    rate = view.prefill_tokens_per_s * slow_start(view, now_s)
    prefill_s = (query.prompt_tokens - cached) / rate
    away = view.region != query.region
    first_token_s = (
        view.waiting_tokens / rate
        + prefill_s
        + view.between_tokens_s
        + view.batch_wait_s
        + view.excess_s[min(query.priority, len(view.excess_s) - 1)]
        + away * CROSS_REGION_ROUND_TRIP_S
    )
    return Alternative(
        upstream_id=view.upstream_id,
        cost=sum(_costs(query, view, prefill_s, first_token_s)),
        predicted_first_token_s=first_token_s,
        predicted_cached_tokens=cached,
        rank=rank,
    )


def _costs(
    query: RouteQuery, view: EngineView, prefill_s: float, first_token_s: float
) -> Iterator[float]:
    # The engine's time: the prompt has it alone, the answer shares it with the batch.
    decode_s = query.max_tokens * view.between_tokens_s / (view.running + 1.0)
    engine_price_per_s = view.price_per_h / 3600.0
    yield engine_price_per_s * (prefill_s + decode_s)
    # Every call in progress waits while the prompt is computed.
    yield HELD_UP_PRICE_PER_S * prefill_s * view.running
    if view.region != query.region:
        sent_bytes = (query.prompt_tokens + query.max_tokens) * CHARS_PER_TOKEN
        yield query.prices.cross_region_per_gb * sent_bytes / 1e9
    yield LATE_PRICE_PER_S * max(0.0, first_token_s - _allowance_s(query))
    between_s = view.between_tokens_s + view.between_per_call_s
    slow_s = max(0.0, between_s - TARGET_MARGIN * query.latency.between_tokens_s)
    yield LATE_PRICE_PER_S * slow_s * query.max_tokens


def _allowance_s(query: RouteQuery) -> float:
    level = min(query.priority, len(PATIENCE) - 1)
    return TARGET_MARGIN * query.latency.first_token_s * PATIENCE[level]


def _misses_target(query: RouteQuery, option: Alternative, view: EngineView) -> bool:
    between_s = view.between_tokens_s + view.between_per_call_s
    slow = between_s > TARGET_MARGIN * query.latency.between_tokens_s
    return slow or option.predicted_first_token_s > _allowance_s(query)


def _cached_tokens(query: RouteQuery, view: EngineView, rank: int) -> int:
    known = view.held.depth(query.blocks) if view.held is not None else 0
    tokens = known * BLOCK_TOKENS
    if 0 <= rank < len(query.home_hit_ratio):
        presumed = query.home_hit_ratio[rank] * len(query.blocks) * BLOCK_TOKENS
        tokens = max(tokens, int(presumed))
    return min(tokens, query.prompt_tokens - 1)


def _why(query: RouteQuery, best: Alternative, view: EngineView) -> str:
    if view.region != query.region:
        return "no engine at home meets the target"
    if best.rank == 0:
        return "holds the prefix"
    if best.rank > 0:
        return "the first engine of the prefix is full"
    if best.predicted_cached_tokens:
        return "known to hold the prefix"
    return "least cost"
