"""Decides how a generation leaves a reclaimed engine: finish, move the KV cache, or continue.

The notice is the time from the announcement of a reclaim to the removal of the engine. Moving the
KV cache takes part of this time, and the bytes of the cache are billed across regions.
Continuing from the delivered text recomputes the prompt and that text on the new engine, except
for its cached prefix.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from godwitpath.config.model import TrafficPrices

CACHE_BYTES_PER_TOKEN = 2_048
"""Initial estimate of the size of an exported KV cache per token."""

LINK_BYTES_PER_S = 100e6
"""Throughput of a cache transfer between engines of one region."""

CROSS_REGION_LINK_BYTES_PER_S = 10e6
"""Throughput of a cache transfer between regions."""

BYTES_PER_GB = 1e9
TOKENS_PER_MILLION = 1e6

NOTICE_MARGIN_S = 2.0
"""Part of the notice that neither a move nor the end of a generation may use."""

MoveKind = Literal["finish", "export", "continue"]


@dataclass(slots=True, frozen=True)
class MoveQuery:
    """A generation on a reclaimed engine, and the engine that it could be moved to.

    :ivar notice_left_s: time until the old engine is removed
    :ivar remaining_s: time that the generation still needs on the old engine
    :ivar context_tokens: number of prompt tokens and delivered tokens
    :ivar cached_tokens: context tokens that the new engine probably has in its KV cache
    :ivar same_region: whether both engines are in one region
    :ivar prices: prices of traffic and recomputation
    :ivar cache_bytes_per_token: size of an exported KV cache per token
    """

    notice_left_s: float
    remaining_s: float
    context_tokens: int
    cached_tokens: int
    same_region: bool
    prices: TrafficPrices
    cache_bytes_per_token: float = CACHE_BYTES_PER_TOKEN


@dataclass(slots=True, frozen=True)
class MovePlan:
    """How a generation leaves its engine, with the compared costs.

    :ivar kind: finish on the old engine, export the KV cache, or continue from the text
    :ivar export_cost: cost of moving the KV cache
    :ivar recompute_cost: cost of recomputing the context
    :ivar reason: short reason, kept in the decision record
    """

    kind: MoveKind
    export_cost: float
    recompute_cost: float
    reason: str


def plan_move(query: MoveQuery) -> MovePlan:
    """Return how a generation leaves its engine."""
    cache_bytes = query.context_tokens * query.cache_bytes_per_token
    recomputed_tokens = max(0, query.context_tokens - query.cached_tokens)
    recompute_cost = (
        recomputed_tokens * query.prices.recomputed_per_million_tokens / TOKENS_PER_MILLION
    )
    billed_bytes = 0.0 if query.same_region else cache_bytes
    export_cost = billed_bytes * query.prices.cross_region_per_gb / BYTES_PER_GB
    usable_s = query.notice_left_s - NOTICE_MARGIN_S
    if query.remaining_s <= usable_s:
        return MovePlan("finish", export_cost, recompute_cost, "it ends within the notice")
    throughput_bytes_per_s = (
        LINK_BYTES_PER_S if query.same_region else CROSS_REGION_LINK_BYTES_PER_S
    )
    if cache_bytes / throughput_bytes_per_s > usable_s:
        return MovePlan("continue", export_cost, recompute_cost, "the cache is too large to move")
    if export_cost < recompute_cost:
        return MovePlan("export", export_cost, recompute_cost, "moving costs less")
    return MovePlan("continue", export_cost, recompute_cost, "computing again costs less")
