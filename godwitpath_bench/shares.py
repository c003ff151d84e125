"""Experiment on account limits: error and unused share when calls are spread unevenly."""

from __future__ import annotations

from random import Random

import typer

from godwitpath.config.model import Account
from godwitpath.limits.limiter import EXCHANGE_INTERVAL_S, AccountLimiter
from godwitpath_bench.report import SEEDS, Table, in_parallel

ENTRIES = 8
"""Entries that the account's calls reach."""

LIMIT = Account(keys=[], requests_per_s=40.0, tokens_per_s=1e9, burst_s=2.0)
"""The written limit."""

OFFERED = 1.5
"""Calls offered, as a multiple of the limit."""

WEIGHTS = (30, 15, 5, 3, 2, 1, 1, 1)
"""How the balancer spreads the account's calls over the entries."""

DURATION_S = 120.0
"""Length of a run."""

BURST_DUE = (15.0 * 0.2 + 5.0 + LIMIT.burst_s) / 20.0
"""Calls that the written limit lets pass in bursts, as a multiple of its rate."""

WARM_UP_S = 20.0
"""Time that is not counted."""


def run_shares(seed: int, kind: str, situation: str) -> float:
    """Return the calls passed in the counted time, as a multiple of the limit."""
    rng = Random(f"{seed}/{situation}")
    names = [f"entry-{number}" for number in range(ENTRIES)]
    limiters = {name: AccountLimiter(name, Random(rng.random())) for name in names}
    dead: set[str] = set()
    for limiter in limiters.values():
        heard = 1 if kind == "local" else ENTRIES
        limiter.observe_members(heard, heard)
    passed = offered = 0
    now_s, round_s = 0.0, EXCHANGE_INTERVAL_S
    burst = situation == "burst"
    while now_s < DURATION_S:
        now_s += rng.expovariate(LIMIT.requests_per_s * _offered(now_s, burst))
        while now_s >= round_s:
            _events(situation, round_s, limiters, dead)
            if kind == "godwitpath":
                _exchange(situation, round_s, limiters, dead)
            round_s += EXCHANGE_INTERVAL_S
        name = rng.choices(names, WEIGHTS)[0]
        if name in dead:
            name = rng.choice([other for other in names if other not in dead])
        went = limiters[name].take("account", LIMIT, 1, now_s) is None
        if now_s >= _counted_from_s(situation):
            passed += went
            offered += 1
    counted_s = DURATION_S - _counted_from_s(situation)
    due = min(LIMIT.requests_per_s * counted_s, offered)
    return passed / (LIMIT.requests_per_s * counted_s * BURST_DUE) if burst else passed / due


def _offered(now_s: float, burst: bool) -> float:
    # Within a burst the account offers four times its limit, and almost nothing before.
    if burst:
        return 4.0 if now_s % 20.0 > 15.0 else 0.2
    return OFFERED


def _counted_from_s(situation: str) -> float:
    return 60.0 if situation in ("entries die", "cut off") else WARM_UP_S


def _events(
    situation: str, now_s: float, limiters: dict[str, AccountLimiter], dead: set[str]
) -> None:
    if situation == "entries die" and now_s >= 60.0 and not dead:
        dead.update(list(limiters)[1:3])
        for limiter in limiters.values():
            if limiter.members.known > 1:
                limiter.observe_members(ENTRIES - len(dead))
    if situation == "cut off" and now_s == 60.0:
        for limiter in limiters.values():
            limiter.observe_members(1)


def _exchange(
    situation: str, now_s: float, limiters: dict[str, AccountLimiter], dead: set[str]
) -> None:
    if situation == "cut off" and now_s >= 60.0:
        return
    live = [name for name in limiters if name not in dead]
    for name in live:
        limiter = limiters[name]
        for request in limiter.wanted(now_s):
            lacking = request.share
            for peer in limiter.peers_to_ask(request.account, live, now_s):
                asked = limiter.request(peer, request.account, lacking, now_s)
                grant = limiters[peer].lend(name, asked, now_s)
                limiter.borrow(peer, grant, now_s, now_s)
                lacking -= max(0.0, grant.share - (asked.share - lacking))
                if lacking <= 0.0:
                    break


SITUATIONS = ("steady", "burst", "entries die", "cut off")
"""What happens."""

KINDS = ("godwitpath", "fixed 1/N", "local")
"""Ways of limiting, the product's first."""


def run_seed(seed: int) -> dict[str, dict[str, float]]:
    """Run every way in every situation."""
    return {
        kind: {
            f"passed_over_limit_{situation}": run_shares(seed, kind, situation)
            for situation in SITUATIONS
        }
        for kind in KINDS
    }


def shares(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare lent shares with fixed parts and with a limit of each entry's own."""
    table = Table(f"one account, {ENTRIES} entries, uneven balancer, {OFFERED:g} times the limit")
    for figures in in_parallel(run_seed, range(seed, seed + seeds)):
        for kind, values in figures.items():
            table.add(kind, **values)
    table.show()


def register(app: typer.Typer) -> None:
    """Add the experiment's command."""
    app.command()(shares)
