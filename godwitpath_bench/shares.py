"""Shares experiment: accuracy of an account's limit when a balancer distributes calls unevenly."""

from __future__ import annotations

from random import Random

import typer

from godwitpath.config.model import Account
from godwitpath.limits.limiter import EXCHANGE_INTERVAL_S, AccountLimiter
from godwitpath_bench.report import SEEDS, Table, in_parallel

ENTRIES = 8
"""Number of entries that receive calls of the account."""

LIMIT = Account(keys=[], requests_per_s=40.0, tokens_per_s=1e9, burst_s=2.0)
"""The configured limit of the account."""

OFFERED_FACTOR = 1.5
"""Rate of the offered calls, as a multiple of the limit."""

ENTRY_WEIGHTS = (30, 15, 5, 3, 2, 1, 1, 1)
"""Relative number of the account's calls that the balancer sends to each entry."""

DURATION_S = 120.0
"""Duration of a run."""

BURST_ALLOWANCE = (15.0 * 0.2 + 5.0 + LIMIT.burst_s) / 20.0
"""Calls that the limit admits in the burst situation, as a multiple of the limited rate."""

WARM_UP_S = 20.0
"""Time at the start of a run that is excluded from the result."""


def run_shares(seed: int, method: str, situation: str) -> float:
    """Return the admitted calls as a multiple of those that the limit allows.

    :param method: method of limiting, see `LIMIT_METHODS`
    :param situation: see `SITUATIONS`
    """
    rng = Random(f"{seed}/{situation}")
    names = [f"entry-{number}" for number in range(ENTRIES)]
    limiters = {name: AccountLimiter(name, Random(rng.random())) for name in names}
    failed: set[str] = set()
    for limiter in limiters.values():
        member_count = 1 if method == "local" else ENTRIES
        limiter.observe_members(member_count, member_count)
    admitted_calls = offered_calls = 0
    now_s, next_exchange_s = 0.0, EXCHANGE_INTERVAL_S
    burst = situation == "burst"
    while now_s < DURATION_S:
        now_s += rng.expovariate(LIMIT.requests_per_s * _offered_factor(now_s, burst))
        while now_s >= next_exchange_s:
            _apply_events(situation, next_exchange_s, limiters, failed)
            if method == "godwitpath":
                _exchange(situation, next_exchange_s, limiters, failed)
            next_exchange_s += EXCHANGE_INTERVAL_S
        name = rng.choices(names, ENTRY_WEIGHTS)[0]
        if name in failed:
            name = rng.choice([other for other in names if other not in failed])
        admitted = limiters[name].take("account", LIMIT, 1, now_s) is None
        if now_s >= _measured_from_s(situation):
            admitted_calls += admitted
            offered_calls += 1
    measured_s = DURATION_S - _measured_from_s(situation)
    entitled_calls = min(LIMIT.requests_per_s * measured_s, offered_calls)
    return (
        admitted_calls / (LIMIT.requests_per_s * measured_s * BURST_ALLOWANCE)
        if burst
        else admitted_calls / entitled_calls
    )


def _offered_factor(now_s: float, burst: bool) -> float:
    # Every 20 s, a burst of 5 s offers four times the limit; between bursts it is a fifth.
    if burst:
        return 4.0 if now_s % 20.0 > 15.0 else 0.2
    return OFFERED_FACTOR


def _measured_from_s(situation: str) -> float:
    return 60.0 if situation in ("entries die", "cut off") else WARM_UP_S


def _apply_events(
    situation: str, now_s: float, limiters: dict[str, AccountLimiter], failed: set[str]
) -> None:
    if situation == "entries die" and now_s >= 60.0 and not failed:
        failed.update(list(limiters)[1:3])
        for limiter in limiters.values():
            if limiter.members.known > 1:
                limiter.observe_members(ENTRIES - len(failed))
    if situation == "cut off" and now_s == 60.0:
        for limiter in limiters.values():
            limiter.observe_members(1)


def _exchange(
    situation: str, now_s: float, limiters: dict[str, AccountLimiter], failed: set[str]
) -> None:
    if situation == "cut off" and now_s >= 60.0:
        return
    live = [name for name in limiters if name not in failed]
    for name in live:
        limiter = limiters[name]
        for shortfall in limiter.share_shortfalls(now_s):
            missing_share = shortfall.share
            for peer in limiter.peers_to_ask(shortfall.account, live, now_s):
                share_request = limiter.request(peer, shortfall.account, missing_share, now_s)
                grant = limiters[peer].grant(name, share_request, now_s)
                limiter.apply_grant(peer, grant, now_s, now_s)
                missing_share -= max(0.0, grant.share - (share_request.share - missing_share))
                if missing_share <= 0.0:
                    break


SITUATIONS = ("steady", "burst", "entries die", "cut off")
"""Situations that are simulated."""

LIMIT_METHODS = ("godwitpath", "fixed 1/N", "local")
"""Methods of limiting, the product's first."""


def run_seed(seed: int) -> dict[str, dict[str, float]]:
    """Simulate every method in every situation."""
    return {
        method: {
            f"passed_over_limit_{situation}": run_shares(seed, method, situation)
            for situation in SITUATIONS
        }
        for method in LIMIT_METHODS
    }


def shares(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare granted shares with fixed shares and with a separate limit per entry."""
    table = Table(
        f"one account, {ENTRIES} entries, uneven balancer, {OFFERED_FACTOR:g} times the limit"
    )
    for figures in in_parallel(run_seed, range(seed, seed + seeds)):
        for method, values in figures.items():
            table.add(method, **values)
    table.show()


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""
    app.command()(shares)
