"""Experiment on retries: a zone of engines is lost at the peak and comes back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import typer

from godwitpath.ports.engine import EngineLost, EngineRefused
from godwitpath.retries.backoff import backoff_s
from godwitpath.retries.budget import RetryBudget
from godwitpath.retries.policy import may_retry
from godwitpath.routing.choose import NoUpstream, RouteQuery, choose
from godwitpath_bench.engine_model import EngineModel, EngineSpec
from godwitpath_bench.fleet import Attempt, Entry, Fleet, Outcome
from godwitpath_bench.policies import placed, prefix_cost
from godwitpath_bench.report import SEEDS, Table, in_parallel
from godwitpath_bench.routing import RATES, met
from godwitpath_bench.work import REGIONS, Call, Workload

ENGINES = 6
"""Engines, two in each zone."""

LOAD = 1.2
"""Multiple of the ordinary work at the peak, which the engines that are left cannot carry."""

FIRST_TOKEN_TIMEOUT_S = 3.0
"""Silence before the first token after which an attempt is given up, if another may be made."""

UNLIMITED_PAUSE_S = 0.5
"""Wait before each attempt of the unlimited way."""

POLL_S = 0.1
"""Time between two looks at a spent budget."""

LOST_AT_S = 40.0
"""When the zone is lost."""

BACK_AT_S = 70.0
"""When it comes back, with empty caches."""

DURATION_S = 140.0
"""Length of the work."""

DETECT_S = 0.3
"""Time until a call on a lost engine is known to be lost."""

REFUSE_WAITING = 100
"""Calls that wait at an engine from which on it refuses more."""

WINDOW_S = 5.0
"""Windows in which the way back to the target is looked for."""


Again = Callable[["Retrying", Entry, Outcome, Exception], float | None]
"""Returns the wait before another attempt, None for no other now."""


@dataclass
class Retrying(Fleet):
    """A fleet that loses a zone; a failed call is tried again as `again` says."""

    again: Again = lambda *_: None
    waits_for_budget: bool = False
    sent_at: list[float] = field(default_factory=list)
    received_at: list[float] = field(default_factory=list)
    on_engine: dict[str, dict[int, Attempt]] = field(default_factory=dict)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    tried: dict[int, set[str]] = field(default_factory=dict)

    def lose(self, zone: str) -> None:
        """Lose every engine of a zone."""
        for engine in self._in_zone(zone):
            engine.kill()
            for attempt in list(self.on_engine.get(engine.spec.upstream_id, {}).values()):
                self._fail_later(attempt, EngineLost("the engine is gone"))

    def recover(self, zone: str) -> None:
        """Let the zone come back."""
        for engine in self._in_zone(zone):
            engine.restart()

    def take(self, entry: Entry, outcome: Outcome) -> None:
        """Handle a fresh call."""
        self.received_at.append(self.clock.now_s)
        self._budget(entry).note_fresh(self.clock.now_s)
        self.attempt(entry, outcome)

    def attempt(self, entry: Entry, outcome: Outcome) -> None:
        """Send a call to an engine that has not failed it."""
        call = outcome.call
        query = RouteQuery(
            service="service",
            region=entry.region,
            blocks=call.blocks,
            key_block=entry.book.key_block(call.blocks),
            home_hit_ratio=entry.book.hit_ratios(),
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.output_tokens,
            priority=call.priority,
            excluded=frozenset(self.tried.get(call.number, ())),
        )
        try:
            choice = choose(query, self.views(entry), self.clock.now_s)
        except NoUpstream:
            self.tried.pop(call.number, None)
            outcome.state = "failed"
            return
        self.sent_at.append(self.clock.now_s)
        self.dispatch(entry, outcome, placed(choice))

    def submit(self, attempt: Attempt) -> None:
        """Bring a call to its engine, which may be gone or full."""
        engine = self.engines[attempt.upstream_id]
        if not engine.alive:
            self._fail_later(attempt, EngineLost("no connection"))
            return
        if engine.report(self.clock.now_s).waiting >= REFUSE_WAITING:
            self._fail(attempt, EngineRefused("full"))
            return
        number = attempt.outcome.call.number
        self.on_engine.setdefault(attempt.upstream_id, {})[number] = attempt
        super().submit(attempt)

        self.clock.at(self.clock.now_s + FIRST_TOKEN_TIMEOUT_S, lambda: self._silent(attempt))

    def first(self, attempt: Attempt, cached_tokens: int) -> None:
        """Bring the first token, unless the attempt was given up."""
        if not attempt.ticket.ended:
            super().first(attempt, cached_tokens)

    def end(self, attempt: Attempt) -> None:
        """Bring the last token, unless the attempt was given up."""
        if attempt.ticket.ended:
            return
        self.on_engine[attempt.upstream_id].pop(attempt.outcome.call.number, None)
        super().end(attempt)

    def _fail_later(self, attempt: Attempt, error: Exception) -> None:
        self.clock.at(self.clock.now_s + DETECT_S, lambda: self._fail(attempt, error))

    def _silent(self, attempt: Attempt) -> None:
        if attempt.first_at_s or attempt.ticket.ended:
            return
        # The engine goes on with what was given up: its cancel may be lost.
        wait_s = self.again(self, attempt.entry, attempt.outcome, EngineLost("silent"))
        if wait_s is not None:
            attempt.entry.book.cancelled(attempt.ticket, self.clock.now_s)
            outcome, entry = attempt.outcome, attempt.entry
            self.clock.at(self.clock.now_s + wait_s, lambda: self.attempt(entry, outcome))

    def _fail(self, attempt: Attempt, error: Exception) -> None:
        if attempt.ticket.ended:
            return
        outcome, entry = attempt.outcome, attempt.entry
        self.on_engine.get(attempt.upstream_id, {}).pop(outcome.call.number, None)
        entry.book.failed(attempt.ticket, self.clock.now_s)
        self.tried.setdefault(outcome.call.number, set()).add(attempt.upstream_id)
        outcome.first_s = 0.0
        self._try_again(entry, outcome, error)

    def _try_again(self, entry: Entry, outcome: Outcome, error: Exception) -> None:
        wait_s = self.again(self, entry, outcome, error)
        late = self.clock.now_s > outcome.call.at_s + outcome.call.deadline_s
        if wait_s is None and (late or not self.waits_for_budget):
            outcome.state = "failed"
            return
        if wait_s is None:
            # An accepted call is not dropped for the budget; it waits until there is some.
            later_s = self.clock.now_s + POLL_S
            self.clock.at(later_s, lambda: self._try_again(entry, outcome, error))
            return
        self.clock.at(self.clock.now_s + wait_s, lambda: self.attempt(entry, outcome))

    def _in_zone(self, zone: str) -> list[EngineModel]:
        return [e for e in self.engines.values() if e.spec.availability_zone == zone]

    def _budget(self, entry: Entry) -> RetryBudget:
        return self.budgets.setdefault(entry.name, RetryBudget())

    def budget_of(self, entry: Entry) -> RetryBudget:
        """Return an entry's budget."""
        return self._budget(entry)


def with_budget(fleet: Retrying, entry: Entry, outcome: Outcome, error: Exception) -> float | None:
    """Try again as the product does."""
    now_s = fleet.clock.now_s
    left_s = outcome.call.at_s + outcome.call.deadline_s - now_s
    decision = may_retry(error, True, True, fleet.budget_of(entry), left_s, now_s, outcome.attempts)
    return backoff_s(outcome.attempts, entry.rng) if decision.retry else None


def first_free(fleet: Retrying, entry: Entry, outcome: Outcome, error: Exception) -> float | None:
    """Try again as the product does, but do not count the first time after a lost engine."""
    if outcome.attempts == 1 and str(error) != "silent":
        return backoff_s(outcome.attempts, entry.rng)
    return with_budget(fleet, entry, outcome, error)


def unlimited(fleet: Retrying, entry: Entry, outcome: Outcome, error: Exception) -> float | None:
    """Try again soon, anywhere, until the deadline."""
    fleet.tried.pop(outcome.call.number, None)
    late = fleet.clock.now_s > outcome.call.at_s + outcome.call.deadline_s
    return None if late else UNLIMITED_PAUSE_S


def never(fleet: Retrying, entry: Entry, outcome: Outcome, error: Exception) -> float | None:
    """Fail."""
    return None


WAYS: dict[str, Again] = {
    "godwitpath": with_budget,
    "first retry free": first_free,
    "unlimited": unlimited,
    "none": never,
}
"""Ways of trying again by name, the product's first."""


def specs() -> list[EngineSpec]:
    """Return engines of one region in three zones."""
    region = REGIONS["ramdin"][0]
    return [EngineSpec(f"engine-{n}", region, f"{region}-{n % 3}") for n in range(ENGINES)]


def run_seed(seed: int) -> dict[str, dict[str, float]]:
    """Play one seed's work under every way."""
    figures = {}
    for name, again in WAYS.items():
        calls = Workload("ramdin", seed, DURATION_S, 1, RATES["ramdin"] * LOAD).calls()
        figures[name] = play(calls, seed, again)
    return figures


def play(calls: list[Call], seed: int, again: Again) -> dict[str, float]:
    """Play the work, the loss and the return under one way of trying again."""
    paced = again in (with_budget, first_free)
    fleet = Retrying(specs(), prefix_cost, seed, 6, again=again, waits_for_budget=paced)
    zone = specs()[0].availability_zone
    fleet.clock.at(LOST_AT_S, lambda: fleet.lose(zone))
    fleet.clock.at(BACK_AT_S, lambda: fleet.recover(zone))
    return _figures(fleet, fleet.run(calls, 30.0))


def _figures(fleet: Retrying, outcomes: list[Outcome]) -> dict[str, float]:
    during = [o for o in outcomes if LOST_AT_S <= o.call.at_s < BACK_AT_S]
    after = [o for o in outcomes if o.call.at_s >= BACK_AT_S]
    hit = [o for o in outcomes if o.attempts > 1]
    return {
        "sent_per_received_after_loss": _amplification(fleet, LOST_AT_S, DURATION_S),
        "sent_per_received_worst_10_s": max(
            _amplification(fleet, at_s, at_s + 10.0)
            for at_s in range(int(LOST_AT_S), int(DURATION_S) - 10, 5)
        ),
        "failed": float(sum(o.state != "finished" for o in outcomes)),
        "tried_again": float(len(hit)),
        "met_target_while_lost": sum(map(met, during)) / len(during),
        "met_target_after_return": sum(map(met, after)) / len(after),
        "back_to_target_after_loss_s": _back_after_s(outcomes, LOST_AT_S),
        "back_to_target_after_return_s": _back_after_s(outcomes, BACK_AT_S),
    }


def _amplification(fleet: Retrying, start_s: float, end_s: float) -> float:
    sent = sum(start_s <= at_s < end_s for at_s in fleet.sent_at)
    received = sum(start_s <= at_s < end_s for at_s in fleet.received_at)
    return sent / max(1, received)


def _back_after_s(outcomes: list[Outcome], since_s: float) -> float:
    """Return the time until a window from which on every window meets the target."""
    back_s = since_s
    at_s = since_s
    while at_s + WINDOW_S <= DURATION_S:
        window = [o for o in outcomes if at_s <= o.call.at_s < at_s + WINDOW_S]
        at_s += WINDOW_S
        if sum(map(met, window)) < 0.95 * len(window):
            back_s = at_s
    return back_s - since_s


def retries(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare the retry budget with unlimited retries and with none."""
    table = Table(f"ramdin, {ENGINES} engines in 3 zones, one zone lost for 30 s at the peak")
    for figures in in_parallel(run_seed, range(seed, seed + seeds)):
        for name, values in figures.items():
            table.add(name, **values)
    table.show()


def register(app: typer.Typer) -> None:
    """Add the experiment's command."""
    app.command()(retries)
