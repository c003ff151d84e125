"""The routing policy and its plain baselines, as the experiments call them."""

from __future__ import annotations

from godwitpath.routing.choose import RouteChoice, RouteQuery, choose
from godwitpath.routing.views import EngineView
from godwitpath_bench.fleet import Entry, Placed, Policy
from godwitpath_bench.work import Call


def round_robin(entry: Entry, call: Call, views: list[EngineView], now_s: float) -> Placed:
    """Take the engines in turn."""
    entry.turn += 1
    return Placed(views[entry.turn % len(views)].upstream_id)


def least_outstanding(entry: Entry, call: Call, views: list[EngineView], now_s: float) -> Placed:
    """Take the engine with the fewest own calls, any of them when several have as few."""
    fewest = min(view.own_running for view in views)
    return Placed(entry.rng.choice([v.upstream_id for v in views if v.own_running == fewest]))


def least_at_home(entry: Entry, call: Call, views: list[EngineView], now_s: float) -> Placed:
    """Take the engine of the entry's region with the fewest own calls."""
    home = [view for view in views if view.region == entry.region]
    return least_outstanding(entry, call, home or views, now_s)


def route(entry: Entry, call: Call, views: list[EngineView], now_s: float) -> RouteChoice:
    """Return the product's choice with its predictions."""
    query = RouteQuery(
        service="service",
        account=call.account,
        region=entry.region,
        blocks=call.blocks,
        key_block=entry.book.key_block(call.blocks),
        home_hit_ratio=entry.book.hit_ratios(),
        prompt_tokens=call.prompt_tokens,
        max_tokens=call.output_tokens,
        priority=call.priority,
    )
    return choose(query, views, now_s)


def prefix_cost(entry: Entry, call: Call, views: list[EngineView], now_s: float) -> Placed:
    """Take the product's choice."""
    return placed(route(entry, call, views, now_s))


def placed(choice: RouteChoice) -> Placed:
    """Return where a choice sends its call."""
    return Placed(choice.upstream_id, choice.rank, choice.predicted_cached_tokens)


POLICIES: dict[str, Policy] = {
    "godwitpath": prefix_cost,
    "least outstanding": least_outstanding,
    "least outstanding at home": least_at_home,
    "round robin": round_robin,
}
"""Routing policies by name, the product's first."""
