"""The product's routing policy and the baselines that it is compared with."""

from __future__ import annotations

from godwitpath.routing.choose import RouteChoice, RouteQuery, choose
from godwitpath.routing.views import EngineView
from godwitpath_bench.fleet import Entry, Placement, RoutingPolicy
from godwitpath_bench.workload import Call


def round_robin(entry: Entry, call: Call, views: list[EngineView], now_s: float) -> Placement:
    """Choose the engines in a fixed rotation."""
    entry.round_robin_index += 1
    return Placement(views[entry.round_robin_index % len(views)].upstream_id)


def least_outstanding(entry: Entry, call: Call, views: list[EngineView], now_s: float) -> Placement:
    """Choose the engine with the fewest calls of this entry, at random among equal ones."""
    fewest = min(view.own_running for view in views)
    return Placement(entry.rng.choice([v.upstream_id for v in views if v.own_running == fewest]))


def least_outstanding_local_first(
    entry: Entry, call: Call, views: list[EngineView], now_s: float
) -> Placement:
    """Choose the engine of the entry's region with the fewest calls of this entry."""
    local_views = [view for view in views if view.region == entry.region]
    return least_outstanding(entry, call, local_views or views, now_s)


def route(entry: Entry, call: Call, views: list[EngineView], now_s: float) -> RouteChoice:
    """Return the choice of the product's policy with its predictions."""
    query = RouteQuery(
        service="service",
        account=call.account,
        region=entry.region,
        blocks=call.blocks,
        affinity_block=entry.load_tracker.affinity_block(call.blocks),
        rank_hit_ratios=entry.load_tracker.hit_ratios(),
        prompt_tokens=call.prompt_tokens,
        max_tokens=call.output_tokens,
        priority=call.priority,
    )
    return choose(query, views, now_s)


def product_policy(entry: Entry, call: Call, views: list[EngineView], now_s: float) -> Placement:
    """Choose as the product does."""
    return placement_of(route(entry, call, views, now_s))


def placement_of(choice: RouteChoice) -> Placement:
    """Return the placement that a choice describes."""
    return Placement(choice.upstream_id, choice.rank, choice.predicted_cached_tokens)


POLICIES: dict[str, RoutingPolicy] = {
    "godwitpath": product_policy,
    "least outstanding": least_outstanding,
    "least outstanding at home": least_outstanding_local_first,
    "round robin": round_robin,
}
"""Routing policies by row label, the product's first."""
