"""Quotas of accounts over restarts of daemons."""

from __future__ import annotations

from random import Random

import pytest

from godwitpath.gateway.accounts import QuotaTracker
from godwitpath.gateway.model import AccountSpec
from test.test_gateway_parts import QuotaSimulation

WINDOW_S = 8.0
OVERAGE = 0.1
SLACK = 110_000.0


def restarted(number: int, at_s: float) -> QuotaTracker:
    """Return the quotas of a daemon that starts."""
    return QuotaTracker(Random(number), WINDOW_S, OVERAGE, SLACK, at_s)


@pytest.mark.parametrize("daemons", [1, 6, 89])
@pytest.mark.parametrize(("rate_per_s", "burst"), [(60_000, 70_000), (20_000, 900_000)])
def test_a_restart_of_all_daemons_keeps_the_quota(
    daemons: int, rate_per_s: float, burst: float
) -> None:
    spec = AccountSpec("a", (), rate_per_s=rate_per_s, burst=burst, counts_tokens=True)
    simulation = QuotaSimulation(daemons, spec)
    simulation.quotas = [restarted(number, -burst / rate_per_s) for number in range(daemons)]
    restart_at_s, step_s = 2.0, 0.05
    asked_per_step = 6 * max(rate_per_s, burst / WINDOW_S) * step_s / daemons / 1_000.0
    rng = Random(7)
    for step in range(int(WINDOW_S / step_s)):
        now_s = step * step_s
        if step == int(restart_at_s / step_s):
            simulation.quotas = [restarted(number, now_s) for number in range(daemons)]
            simulation.reported = [0.0] * daemons
        # Until the first reports each daemon has its share of the rate only.
        share = 1.0 if now_s < restart_at_s or now_s > restart_at_s + 1.0 else 1.0 / daemons
        for quota in simulation.quotas:
            for _ in range(int(asked_per_step + rng.random())):
                if not quota.take(spec, 1_000.0, share, now_s):
                    simulation.admitted.append((now_s, 1_000.0))
        if step % 8 == 0:
            simulation.exchange_reports(now_s)
    allowed = (rate_per_s * WINDOW_S + burst) * (1 + OVERAGE) + SLACK
    assert simulation.max_units_in_window(WINDOW_S) <= allowed


def test_a_burst_that_the_allowed_excess_holds_is_granted_from_the_start() -> None:
    spec = AccountSpec("a", (), rate_per_s=60_000, burst=70_000, counts_tokens=True)
    quota = restarted(1, 100.0)
    admitted = sum(quota.take(spec, 1_000.0, 1.0, 100.0) == 0.0 for _ in range(100))
    assert admitted == 70


class TestLargeBurst:
    spec = AccountSpec("a", (), rate_per_s=10_000, burst=900_000, counts_tokens=True)
    start_units = 0.5 * (OVERAGE * (10_000 * WINDOW_S + 900_000) + SLACK)

    def test_the_level_that_another_daemon_reports_replaces_the_one_of_the_start(self) -> None:
        quota = restarted(1, 100.0)
        assert quota.take(self.spec, 1_000.0, 1.0, 100.0) == 0.0
        assert quota.levels() == {"a": int(self.start_units - 1_000)}
        assert "a" not in quota
        quota.note_peer_level(self.spec, 800_000, 1.0, 100.0)
        assert quota.levels() == {"a": 799_000}
        quota.note_peer_level(self.spec, 900_000, 1.0, 100.0)
        assert quota.levels() == {"a": 799_000}

    def test_a_daemon_that_has_run_for_long_grants_the_whole_burst(self) -> None:
        quota = restarted(1, 0.0)
        quota.take(self.spec, 1_000.0, 1.0, 90.0)
        assert quota.levels() == {"a": 899_000}
