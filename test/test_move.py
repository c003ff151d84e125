"""How a generation leaves an engine that is reclaimed."""

from __future__ import annotations

from dataclasses import replace

import pytest

from godwitpath.config.model import TrafficPrices
from godwitpath.recovery.move import MoveQuery, plan_move

AWAY = MoveQuery(
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
        (replace(AWAY, remaining_s=27.0), "finish"),
        (replace(AWAY, remaining_s=29.0), "export"),
        (AWAY, "export"),
        (replace(AWAY, prices=TrafficPrices(cross_region_per_gb=0.4)), "continue"),
        (replace(AWAY, cached_tokens=9_000), "continue"),
        (replace(AWAY, same_region=True, cached_tokens=9_000), "export"),
        (replace(AWAY, cache_bytes_per_token=200_000), "continue"),
        (replace(AWAY, notice_left_s=2.5), "continue"),
    ],
)
def test_the_cheaper_way_that_fits_into_the_notice(query: MoveQuery, kind: str) -> None:
    assert plan_move(query).kind == kind
