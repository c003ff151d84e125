"""Experiment on admission: goodput, refusals and promised times at twice the capacity."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import typer

from godwitpath.admission.decide import Admission, AdmissionQuery, Admit, Prediction, Queue
from godwitpath.admission.queue import WaitingLine
from godwitpath_bench.fleet import Entry, Fleet, Outcome
from godwitpath_bench.policies import placed, prefix_cost, route
from godwitpath_bench.report import SEEDS, Table, in_parallel, percentile
from godwitpath_bench.routing import RATES, met, specs
from godwitpath_bench.work import Workload

ENGINES = 5
"""Engines of the service."""

DURATION_S = 90.0
"""Length of the work."""

WARM_UP_S = 30.0
"""First part of the work, which is not counted."""

LOADS = (1.2, 1.4, 1.6, 1.8)
"""Multiples of the ordinary work among which the best goodput is sought."""

OVERLOAD = 2.0
"""Multiple of the load with the best goodput that is then offered."""

PEER_DELAY_S = 0.2
"""Time until the other entries hear of a promise."""

MAX_RETURNS = 3
"""How often a refused caller comes back."""

FIXED_QUEUE = 100
"""Calls that wait in the fixed queue of an entry."""

FIXED_RUNNING = 40
"""Calls in progress that the fixed queue lets an entry have."""


@dataclass
class Admitting(Fleet):
    """A fleet whose entries decide on admission; this one admits everything."""

    returned: int = 0
    returned_admitted: int = 0
    returns: dict[int, int] = field(default_factory=dict)

    def refuse(self, outcome: Outcome, retry_after_s: float) -> None:
        """Refuse a call; its caller comes back when told."""
        call = outcome.call
        outcome.state = "refused"
        outcome.refused_after_s = self.clock.now_s - outcome.began_s
        count = self.returns.get(call.number, 0)
        if count >= MAX_RETURNS:
            return
        self.returns[call.number] = count + 1
        self.clock.at(self.clock.now_s + retry_after_s, lambda: self.come_back(outcome))

    def come_back(self, refused: Outcome) -> None:
        """Bring a refused call again, as a new one with the same content."""
        outcome = Outcome(refused.call, began_s=self.clock.now_s)
        self.outcomes.append(outcome)
        self.returned += 1
        self.arrive(outcome)
        self.returned_admitted += outcome.state != "refused"


@dataclass
class FixedQueue(Admitting):
    """Each entry has a fixed number of calls in progress and a first-come queue."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.running = dict.fromkeys((entry.name for entry in self.entries), 0)
        self.waiting: dict[str, deque[Outcome]] = {entry.name: deque() for entry in self.entries}

    def take(self, entry: Entry, outcome: Outcome) -> None:
        """Send, queue or refuse by count."""
        if self.running[entry.name] < FIXED_RUNNING:
            self.running[entry.name] += 1
            super().take(entry, outcome)
        elif len(self.waiting[entry.name]) < FIXED_QUEUE:
            self.waiting[entry.name].append(outcome)
        else:
            self.refuse(outcome, 1.0)

    def ended(self, entry: Entry) -> None:
        """Let the next one go."""
        self.running[entry.name] -= 1
        if self.waiting[entry.name]:
            self.running[entry.name] += 1
            super().take(entry, self.waiting[entry.name].popleft())


@dataclass
class Predicting(Admitting):
    """The product's admission."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.admissions = {entry.name: Admission() for entry in self.entries}
        self.lines = {entry.name: WaitingLine() for entry in self.entries}

    def take(self, entry: Entry, outcome: Outcome) -> None:
        """Decide from the prediction."""
        call = outcome.call
        now_s = self.clock.now_s
        choice = route(entry, call, self.views(entry), now_s)
        admission, line = self.admissions[entry.name], self.lines[entry.name]
        state = line.state(call.priority, now_s)
        decision = admission.decide(_query(outcome), Prediction.of(choice), state, now_s)
        self.tell(entry)
        if isinstance(decision, Admit):
            self.dispatch(entry, outcome, placed(choice))
        elif isinstance(decision, Queue):
            line.add(call.priority, decision.max_wait_s, now_s, outcome)
        else:
            self.refuse(outcome, decision.retry_after_s)

    def tell(self, entry: Entry) -> None:
        """Tell the other entries of new promises."""
        news = self.admissions[entry.name].promises.take_news()
        others = [self.admissions[other.name] for other in self.entries if other is not entry]

        def learn() -> None:
            for admission in others:
                admission.promises.hear(news)

        if news:
            self.clock.at(self.clock.now_s + PEER_DELAY_S, learn)

    def ended(self, entry: Entry) -> None:
        """Let a waiting call go when there is room."""
        now_s = self.clock.now_s
        self.admissions[entry.name].finished(now_s)
        self.wake(entry)

    def reported(self) -> None:
        """Let waiting calls go when the load of others fell."""
        for entry in self.entries:
            self.wake(entry)

    def wake(self, entry: Entry) -> None:
        """Let the first waiting call go if it fits."""
        now_s = self.clock.now_s
        line = self.lines[entry.name]
        for waiting in line.expired(now_s):
            late = route(entry, waiting.call.call, self.views(entry), now_s)
            self.dispatch(entry, waiting.call, placed(late))
        first = line.first()
        if first is None:
            return
        choice = route(entry, first.call.call, self.views(entry), now_s)
        fits = self.admissions[entry.name].fits
        if fits(_query(first.call), Prediction.of(choice), False, now_s):
            line.pop(now_s)
            self.dispatch(entry, first.call, placed(choice))


KINDS: dict[str, type[Admitting]] = {
    "godwitpath": Predicting,
    "fixed queue": FixedQueue,
    "no admission": Admitting,
}
"""Ways of admission by name, the product's first."""


def _query(outcome: Outcome) -> AdmissionQuery:
    call = outcome.call
    return AdmissionQuery(
        service="service",
        account=call.account,
        digest=f"{call.number}",
        priority=call.priority,
        time_left_s=call.deadline_s,
        expected_tokens=call.output_tokens,
    )


def play(kind: str, seed: int, load: float) -> Admitting:
    """Play one load under a way of admission."""
    rate = RATES["ramdin"] * load
    calls = Workload("ramdin", seed, DURATION_S, 1, rate).calls()
    fleet = KINDS[kind](specs("ramdin", ENGINES), prefix_cost, seed)
    fleet.run(calls, drain_s=60.0)
    return fleet


def goodput_per_s(fleet: Admitting) -> float:
    """Return the calls answered within the target, per second of the counted time."""
    counted = [o for o in fleet.outcomes if WARM_UP_S <= o.began_s < DURATION_S]
    return sum(map(met, counted)) / (DURATION_S - WARM_UP_S)


def answered_tokens_per_s(fleet: Admitting) -> float:
    """Return the tokens of answers within the target, per second of the counted time."""
    counted = [o for o in fleet.outcomes if WARM_UP_S <= o.began_s < DURATION_S]
    tokens = sum(o.call.output_tokens for o in counted if met(o))
    return tokens / (DURATION_S - WARM_UP_S)


def run_seed(seed: int) -> dict[str, dict[str, float]]:
    """Find the best goodput of any way, then offer twice that load."""
    below = [
        (play(kind, seed, load), load) for kind in ("godwitpath", "no admission") for load in LOADS
    ]
    best, at = max((goodput_per_s(fleet), load) for fleet, load in below)
    best_tokens = max(answered_tokens_per_s(fleet) for fleet, _ in below)
    figures = {}
    for kind in KINDS:
        fleet = play(kind, seed, at * OVERLOAD)
        tokens = answered_tokens_per_s(fleet)
        figures[kind] = {
            "best_goodput_per_s": best,
            "best_at_load": at,
            **_figures(fleet, best),
            "best_answered_tokens_per_s": best_tokens,
            "answered_tokens_over_best": tokens / best_tokens,
        }
    return figures


def _figures(fleet: Admitting, best: float) -> dict[str, float]:
    counted = [o for o in fleet.outcomes if WARM_UP_S <= o.began_s < DURATION_S]
    refused = [o for o in counted if o.state == "refused"]
    sent = [o for o in counted if o.attempts]
    goodput = goodput_per_s(fleet)
    figures = {
        "goodput_per_s": goodput,
        "goodput_over_best": goodput / best,
        "met_target_of_admitted": sum(map(met, sent)) / max(1, len(sent)),
    }
    for kind, name in enumerate(("interactive", "plan", "batch")):
        mine = [o for o in sent if o.call.priority == kind]
        asked = [o for o in counted if o.call.priority == kind]
        figures[f"met_target_{name}"] = sum(map(met, mine)) / max(1, len(mine))
        figures[f"admitted_{name}"] = len(mine) / max(1, len(asked))
    figures["refusal_p100_s"] = percentile((o.refused_after_s for o in refused), 1.0)
    figures["refused_within_50_ms"] = sum(o.refused_after_s <= 0.05 for o in refused) / max(
        1, len(refused)
    )
    figures["came_back"] = float(fleet.returned)
    figures["admitted_when_back"] = fleet.returned_admitted / max(1, fleet.returned)
    return figures


def overload(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare admission by prediction with a fixed queue and with none."""
    table = Table(f"ramdin, {ENGINES} engines, {OVERLOAD:g} times the load of the best goodput")
    for figures in in_parallel(run_seed, range(seed, seed + seeds)):
        for kind, values in figures.items():
            table.add(kind, **values)
    table.show()


def register(app: typer.Typer) -> None:
    """Add the experiment's command."""
    app.command()(overload)
