"""Decision on a generation whose engine is being reclaimed: finish, move its cache, or continue.

Moving the KV cache is billed by bytes where it crosses regions and takes time of the notice.
Continuing from the delivered text computes the prompt and that text again, but for what the new
engine has cached.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from godwitpath.config.model import TrafficPrices

CACHE_BYTES_PER_TOKEN = 2_048
"""Size of an exported KV cache by token, until exports have shown another one."""

LINK_BYTES_PER_S = 100e6
"""Rate at which caches travel between engines."""

CROSS_REGION_LINK_BYTES_PER_S = 10e6
"""Rate at which caches travel between regions."""

BYTES_PER_GB = 1e9
TOKENS_PER_MILLION = 1e6

MARGIN_S = 2.0
"""Time of the notice that is kept free."""

MoveKind = Literal["finish", "export", "continue"]


@dataclass(slots=True, frozen=True)
class MoveQuery:
    """A generation whose engine goes, and the engine that would take it.

    :ivar notice_left_s: time until the engine is gone
    :ivar remaining_s: time that the generation still needs where it is
    :ivar context_tokens: prompt and delivered tokens
    :ivar cached_tokens: part of them that the new engine probably has
    :ivar cache_bytes_per_token: size of an exported cache by token
    :ivar same_region: whether the new engine is in the region of the old one
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
    """What to do, with what was weighed.

    :ivar export_cost: price of moving the cache
    :ivar recompute_cost: price of computing the context again
    """

    kind: MoveKind
    export_cost: float
    recompute_cost: float
    why: str


def plan_move(query: MoveQuery) -> MovePlan:
    """Decide how a generation leaves its engine."""
    size_bytes = query.context_tokens * query.cache_bytes_per_token
    recomputed = max(0, query.context_tokens - query.cached_tokens)
    recompute_cost = recomputed * query.prices.recomputed_per_million_tokens / TOKENS_PER_MILLION
    billed_bytes = 0.0 if query.same_region else size_bytes
    export_cost = billed_bytes * query.prices.cross_region_per_gb / BYTES_PER_GB
    usable_s = query.notice_left_s - MARGIN_S
    if query.remaining_s <= usable_s:
        return MovePlan("finish", export_cost, recompute_cost, "it ends within the notice")
    rate = LINK_BYTES_PER_S if query.same_region else CROSS_REGION_LINK_BYTES_PER_S
    if size_bytes / rate > usable_s:
        return MovePlan("continue", export_cost, recompute_cost, "the cache is too large to move")
    if export_cost < recompute_cost:
        return MovePlan("export", export_cost, recompute_cost, "moving costs less")
    return MovePlan("continue", export_cost, recompute_cost, "computing again costs less")
