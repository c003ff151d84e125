"""Retry experiment: the engines of one zone fail at the peak and restart later."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import typer

from godwitpath.ports.engine import EngineLost, EngineRefused
from godwitpath.retries.backoff import backoff_s
from godwitpath.retries.budget import RetryBudget
from godwitpath.retries.policy import decide_retry
from godwitpath.routing.choose import NoUpstream, RouteQuery, choose
from godwitpath_bench.engine_model import EngineModel, EngineSpec
from godwitpath_bench.fleet import Attempt, Entry, Fleet, Outcome
from godwitpath_bench.policies import placement_of, product_policy
from godwitpath_bench.report import SEEDS, Table, in_parallel
from godwitpath_bench.routing import RATE_FACTORS, met_target
from godwitpath_bench.workload import REGIONS, Call, Workload

ENGINES = 6
"""Number of engines, two of them in each zone."""

LOAD_FACTOR = 1.2
"""Load as a multiple of the nominal load; the engines of two zones cannot serve it."""

FIRST_TOKEN_TIMEOUT_S = 3.0
"""Timeout of the first token; the attempt is then abandoned if a retry is allowed."""

UNLIMITED_RETRY_DELAY_S = 0.5
"""Delay before each retry of the unlimited policy."""

BUDGET_POLL_INTERVAL_S = 0.1
"""Interval at which a call that waits for the retry budget checks the budget."""

ZONE_LOST_AT_S = 40.0
"""Time at which the zone fails."""

ZONE_RECOVERED_AT_S = 70.0
"""Time at which the engines of the zone restart, with empty caches."""

DURATION_S = 140.0
"""Duration of the workload."""

FAILURE_DETECTION_S = 0.3
"""Delay until an entry detects that the engine of a call has failed."""

MAX_WAITING_CALLS = 100
"""Number of waiting calls at which an engine refuses further calls."""

WINDOW_S = 5.0
"""Length of the windows over which the recovery to the target is measured."""


RetryPolicy = Callable[["RetryFleet", Entry, Outcome, Exception], float | None]
"""Returns the delay before a retry, or None when no retry is allowed now."""


@dataclass
class RetryFleet(Fleet):
    """A fleet in which a zone can fail; `retry_policy` decides on retries of failed calls.

    :ivar waits_for_budget: whether a call without retry budget waits for budget until its deadline
    :ivar sent_at_s: times of all attempts
    :ivar received_at_s: times of all received calls
    :ivar attempts_by_engine: attempts in progress, by engine and call number
    :ivar failed_engines: engines that failed a call, by call number
    """

    retry_policy: RetryPolicy = lambda *_: None
    waits_for_budget: bool = False
    sent_at_s: list[float] = field(default_factory=list)
    received_at_s: list[float] = field(default_factory=list)
    attempts_by_engine: dict[str, dict[int, Attempt]] = field(default_factory=dict)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    failed_engines: dict[int, set[str]] = field(default_factory=dict)

    def fail_zone(self, zone: str) -> None:
        """Stop every engine of a zone and fail the calls on them."""
        for engine in self._engines_in_zone(zone):
            engine.fail()
            for attempt in list(self.attempts_by_engine.get(engine.spec.upstream_id, {}).values()):
                self._schedule_failure(attempt, EngineLost("the engine has failed"))

    def recover_zone(self, zone: str) -> None:
        """Restart the engines of a zone."""
        for engine in self._engines_in_zone(zone):
            engine.restart()

    def handle(self, entry: Entry, outcome: Outcome) -> None:
        """Handle the first attempt of a call."""
        self.received_at_s.append(self.clock.now_s)
        self._budget(entry).record_first_attempt(self.clock.now_s)
        self.send_attempt(entry, outcome)

    def send_attempt(self, entry: Entry, outcome: Outcome) -> None:
        """Send a call to an engine on which it has not failed yet."""
        call = outcome.call
        query = RouteQuery(
            service="service",
            region=entry.region,
            blocks=call.blocks,
            affinity_block=entry.load_tracker.affinity_block(call.blocks),
            rank_hit_ratios=entry.load_tracker.hit_ratios(),
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.output_tokens,
            priority=call.priority,
            excluded=frozenset(self.failed_engines.get(call.number, ())),
        )
        try:
            choice = choose(query, self.views(entry), self.clock.now_s)
        except NoUpstream:
            self.failed_engines.pop(call.number, None)
            outcome.state = "failed"
            return
        self.sent_at_s.append(self.clock.now_s)
        self.dispatch(entry, outcome, placement_of(choice))

    def submit(self, attempt: Attempt) -> None:
        """Submit a call to its engine, which may have failed or may be full."""
        engine = self.engines[attempt.upstream_id]
        if not engine.live:
            self._schedule_failure(attempt, EngineLost("no connection"))
            return
        if engine.report(self.clock.now_s).waiting >= MAX_WAITING_CALLS:
            self._fail(attempt, EngineRefused("full"))
            return
        call_number = attempt.outcome.call.number
        self.attempts_by_engine.setdefault(attempt.upstream_id, {})[call_number] = attempt
        super().submit(attempt)

        self.clock.schedule(
            self.clock.now_s + FIRST_TOKEN_TIMEOUT_S, lambda: self._on_first_token_timeout(attempt)
        )

    def deliver_first_token(self, attempt: Attempt, cached_tokens: int) -> None:
        """Record the first token, unless the attempt was abandoned."""
        if not attempt.outstanding.ended:
            super().deliver_first_token(attempt, cached_tokens)

    def deliver_last_token(self, attempt: Attempt) -> None:
        """Record the last token, unless the attempt was abandoned."""
        if attempt.outstanding.ended:
            return
        self.attempts_by_engine[attempt.upstream_id].pop(attempt.outcome.call.number, None)
        super().deliver_last_token(attempt)

    def _schedule_failure(self, attempt: Attempt, error: Exception) -> None:
        self.clock.schedule(
            self.clock.now_s + FAILURE_DETECTION_S, lambda: self._fail(attempt, error)
        )

    def _on_first_token_timeout(self, attempt: Attempt) -> None:
        if attempt.first_token_at_s or attempt.outstanding.ended:
            return
        # The attempt is not cancelled at the simulated engine, because in reality the cancellation
        # may be lost. The engine continues to run it.
        wait_s = self.retry_policy(self, attempt.entry, attempt.outcome, EngineLost("silent"))
        if wait_s is not None:
            attempt.entry.load_tracker.cancelled(attempt.outstanding, self.clock.now_s)
            outcome, entry = attempt.outcome, attempt.entry
            self.clock.schedule(
                self.clock.now_s + wait_s, lambda: self.send_attempt(entry, outcome)
            )

    def _fail(self, attempt: Attempt, error: Exception) -> None:
        if attempt.outstanding.ended:
            return
        outcome, entry = attempt.outcome, attempt.entry
        self.attempts_by_engine.get(attempt.upstream_id, {}).pop(outcome.call.number, None)
        entry.load_tracker.failed(attempt.outstanding, self.clock.now_s)
        self.failed_engines.setdefault(outcome.call.number, set()).add(attempt.upstream_id)
        outcome.first_token_s = 0.0
        self._retry(entry, outcome, error)

    def _retry(self, entry: Entry, outcome: Outcome, error: Exception) -> None:
        wait_s = self.retry_policy(self, entry, outcome, error)
        past_deadline = self.clock.now_s > outcome.call.at_s + outcome.call.deadline_s
        if wait_s is None and (past_deadline or not self.waits_for_budget):
            outcome.state = "failed"
            return
        if wait_s is None:
            # An accepted call is not dropped for lack of budget; it waits for the budget.
            next_poll_s = self.clock.now_s + BUDGET_POLL_INTERVAL_S
            self.clock.schedule(next_poll_s, lambda: self._retry(entry, outcome, error))
            return
        self.clock.schedule(self.clock.now_s + wait_s, lambda: self.send_attempt(entry, outcome))

    def _engines_in_zone(self, zone: str) -> list[EngineModel]:
        return [e for e in self.engines.values() if e.spec.availability_zone == zone]

    def _budget(self, entry: Entry) -> RetryBudget:
        return self.budgets.setdefault(entry.name, RetryBudget())

    def budget_of(self, entry: Entry) -> RetryBudget:
        """Return the retry budget of an entry."""
        return self._budget(entry)


def with_budget(
    fleet: RetryFleet, entry: Entry, outcome: Outcome, error: Exception
) -> float | None:
    """Retry as the product does, within the retry budget."""
    now_s = fleet.clock.now_s
    remaining_s = outcome.call.at_s + outcome.call.deadline_s - now_s
    decision = decide_retry(
        error, True, True, fleet.budget_of(entry), remaining_s, now_s, outcome.attempts
    )
    return backoff_s(outcome.attempts, entry.rng) if decision.retry else None


def first_retry_free(
    fleet: RetryFleet, entry: Entry, outcome: Outcome, error: Exception
) -> float | None:
    """Retry as the product does; the first retry is free unless the first token was late."""
    if outcome.attempts == 1 and str(error) != "silent":
        return backoff_s(outcome.attempts, entry.rng)
    return with_budget(fleet, entry, outcome, error)


def unlimited(fleet: RetryFleet, entry: Entry, outcome: Outcome, error: Exception) -> float | None:
    """Retry after a short delay, on any engine, until the deadline."""
    fleet.failed_engines.pop(outcome.call.number, None)
    past_deadline = fleet.clock.now_s > outcome.call.at_s + outcome.call.deadline_s
    return None if past_deadline else UNLIMITED_RETRY_DELAY_S


def never(fleet: RetryFleet, entry: Entry, outcome: Outcome, error: Exception) -> float | None:
    """Fail the call without a retry."""
    return None


RETRY_POLICIES: dict[str, RetryPolicy] = {
    "godwitpath": with_budget,
    "first retry free": first_retry_free,
    "unlimited": unlimited,
    "none": never,
}
"""Retry policies by row label, the product's first."""


def engine_specs() -> list[EngineSpec]:
    """Return the engines: one region, three zones."""
    region = REGIONS["ramdin"][0]
    return [EngineSpec(f"engine-{n}", region, f"{region}-{n % 3}") for n in range(ENGINES)]


def run_seed(seed: int) -> dict[str, dict[str, float]]:
    """Simulate the workload of a seed under every retry policy."""
    figures = {}
    for name, retry_policy in RETRY_POLICIES.items():
        calls = Workload(
            "ramdin", seed, DURATION_S, 1, RATE_FACTORS["ramdin"] * LOAD_FACTOR
        ).calls()
        figures[name] = simulate(calls, seed, retry_policy)
    return figures


def simulate(calls: list[Call], seed: int, retry_policy: RetryPolicy) -> dict[str, float]:
    """Simulate the workload, the failure and the recovery under one retry policy."""
    uses_budget = retry_policy in (with_budget, first_retry_free)
    fleet = RetryFleet(
        engine_specs(),
        product_policy,
        seed,
        6,
        retry_policy=retry_policy,
        waits_for_budget=uses_budget,
    )
    zone = engine_specs()[0].availability_zone
    fleet.clock.schedule(ZONE_LOST_AT_S, lambda: fleet.fail_zone(zone))
    fleet.clock.schedule(ZONE_RECOVERED_AT_S, lambda: fleet.recover_zone(zone))
    return _figures(fleet, fleet.run(calls, 30.0))


def _figures(fleet: RetryFleet, outcomes: list[Outcome]) -> dict[str, float]:
    during = [o for o in outcomes if ZONE_LOST_AT_S <= o.call.at_s < ZONE_RECOVERED_AT_S]
    after = [o for o in outcomes if o.call.at_s >= ZONE_RECOVERED_AT_S]
    retried = [o for o in outcomes if o.attempts > 1]
    return {
        "sent_per_received_after_loss": _amplification(fleet, ZONE_LOST_AT_S, DURATION_S),
        "sent_per_received_worst_10_s": max(
            _amplification(fleet, at_s, at_s + 10.0)
            for at_s in range(int(ZONE_LOST_AT_S), int(DURATION_S) - 10, 5)
        ),
        "failed": float(sum(o.state != "finished" for o in outcomes)),
        "tried_again": float(len(retried)),
        "met_target_while_lost": sum(map(met_target, during)) / len(during),
        "met_target_after_return": sum(map(met_target, after)) / len(after),
        "back_to_target_after_loss_s": _recovery_time_s(outcomes, ZONE_LOST_AT_S),
        "back_to_target_after_return_s": _recovery_time_s(outcomes, ZONE_RECOVERED_AT_S),
    }


def _amplification(fleet: RetryFleet, start_s: float, end_s: float) -> float:
    sent = sum(start_s <= at_s < end_s for at_s in fleet.sent_at_s)
    received = sum(start_s <= at_s < end_s for at_s in fleet.received_at_s)
    return sent / max(1, received)


def _recovery_time_s(outcomes: list[Outcome], since_s: float) -> float:
    """Return the time until the end of the last window that misses the target."""
    recovered_at_s = since_s
    window_start_s = since_s
    while window_start_s + WINDOW_S <= DURATION_S:
        window = [o for o in outcomes if window_start_s <= o.call.at_s < window_start_s + WINDOW_S]
        window_start_s += WINDOW_S
        if sum(map(met_target, window)) < 0.95 * len(window):
            recovered_at_s = window_start_s
    return recovered_at_s - since_s


def retries(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare the retry budget with unlimited retries and with no retries."""
    table = Table(f"ramdin, {ENGINES} engines in 3 zones, one zone lost for 30 s at the peak")
    for figures in in_parallel(run_seed, range(seed, seed + seeds)):
        for name, values in figures.items():
            table.add(name, **values)
    table.show()


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""
    app.command()(retries)
