"""Decision on how a generation leaves a reclaimed engine."""

from __future__ import annotations

from dataclasses import replace

import pytest

from godwitpath.config.model import TrafficPrices
from godwitpath.recovery.move import MoveQuery, plan_move

CROSS_REGION = MoveQuery(
    notice_left_s=30.0,
    remaining_s=60.0,
    context_tokens=10_000,
    cached_tokens=0,
    same_region=False,
    prices=TrafficPrices(cross_region_per_gb=0.08, recomputed_per_million_tokens=0.4),
)


@pytest.mark.parametrize(
    ("query", "kind"),
    [
        (replace(CROSS_REGION, remaining_s=27.0), "finish"),
        (replace(CROSS_REGION, remaining_s=29.0), "export"),
        (CROSS_REGION, "export"),
        (replace(CROSS_REGION, prices=TrafficPrices(cross_region_per_gb=0.4)), "continue"),
        (replace(CROSS_REGION, cached_tokens=9_000), "continue"),
        (replace(CROSS_REGION, same_region=True, cached_tokens=9_000), "export"),
        (replace(CROSS_REGION, cache_bytes_per_token=200_000), "continue"),
        (replace(CROSS_REGION, notice_left_s=2.5), "continue"),
    ],
)
def test_the_cheapest_option_within_the_notice_is_chosen(query: MoveQuery, kind: str) -> None:
    """Guards against moves that cost more than needed or that lose the generation.

    A generation is lost when its move takes longer than the notice of the reclaim.
    """
    assert plan_move(query).kind == kind
