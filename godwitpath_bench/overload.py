"""Admission experiment: goodput, refusals and retries at reserved times at twice the capacity."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import typer

from godwitpath.admission.decide import AdmissionPolicy, AdmissionQuery, Admit, Prediction, Queue
from godwitpath.admission.queue import CallQueue
from godwitpath_bench.fleet import Entry, Fleet, Outcome
from godwitpath_bench.policies import placement_of, product_policy, route
from godwitpath_bench.report import SEEDS, Table, in_parallel, percentile
from godwitpath_bench.routing import RATE_FACTORS, engine_specs, met_target
from godwitpath_bench.workload import Workload

ENGINES = 5
"""Number of engines of the service."""

DURATION_S = 90.0
"""Duration of the workload."""

WARM_UP_S = 30.0
"""Time at the start of the workload that is excluded from the figures."""

LOAD_FACTORS = (1.2, 1.4, 1.6, 1.8)
"""Multiples of the nominal load that are searched for the best goodput."""

OVERLOAD_FACTOR = 2.0
"""Load offered in the comparison, as a multiple of the load with the best goodput."""

PUBLISH_DELAY_S = 0.2
"""Delay until the other entries receive a reservation of capacity for a refused call."""

MAX_RETRIES = 3
"""Maximum number of times that a caller repeats a refused call."""

FIXED_QUEUE_CALLS = 100
"""Maximum number of calls that wait in the fixed queue of an entry."""

FIXED_RUNNING_CALLS = 40
"""Maximum number of calls in progress at an entry with the fixed queue."""


@dataclass
class AdmissionFleet(Fleet):
    """Base of the fleets with admission control; this class admits every call.

    :ivar retried: refused calls that their callers repeated
    :ivar retried_admitted: repeated calls that were not refused at once
    :ivar retry_counts: number of repetitions, by call number
    """

    retried: int = 0
    retried_admitted: int = 0
    retry_counts: dict[int, int] = field(default_factory=dict)

    def refuse(self, outcome: Outcome, retry_after_s: float) -> None:
        """Refuse a call; its caller repeats it after `retry_after_s`."""
        call = outcome.call
        outcome.state = "refused"
        outcome.refused_after_s = self.clock.now_s - outcome.requested_at_s
        count = self.retry_counts.get(call.number, 0)
        if count >= MAX_RETRIES:
            return
        self.retry_counts[call.number] = count + 1
        self.clock.schedule(self.clock.now_s + retry_after_s, lambda: self.retry(outcome))

    def retry(self, refused: Outcome) -> None:
        """Repeat a refused call as a new request with the same content."""
        outcome = Outcome(refused.call, requested_at_s=self.clock.now_s)
        self.outcomes.append(outcome)
        self.retried += 1
        self.arrive(outcome)
        self.retried_admitted += outcome.state != "refused"


@dataclass
class FixedQueueFleet(AdmissionFleet):
    """Baseline with a limit of calls in progress and a bounded FIFO queue at each entry."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.running = dict.fromkeys((entry.name for entry in self.entries), 0)
        self.waiting: dict[str, deque[Outcome]] = {entry.name: deque() for entry in self.entries}

    def handle(self, entry: Entry, outcome: Outcome) -> None:
        """Send, queue or refuse a call according to the two limits."""
        if self.running[entry.name] < FIXED_RUNNING_CALLS:
            self.running[entry.name] += 1
            super().handle(entry, outcome)
        elif len(self.waiting[entry.name]) < FIXED_QUEUE_CALLS:
            self.waiting[entry.name].append(outcome)
        else:
            self.refuse(outcome, 1.0)

    def on_call_ended(self, entry: Entry) -> None:
        """Send the first waiting call."""
        self.running[entry.name] -= 1
        if self.waiting[entry.name]:
            self.running[entry.name] += 1
            super().handle(entry, self.waiting[entry.name].popleft())


@dataclass
class PredictingFleet(AdmissionFleet):
    """The product's admission control, which decides by predicted latency."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.admissions = {entry.name: AdmissionPolicy() for entry in self.entries}
        self.queues = {entry.name: CallQueue() for entry in self.entries}

    def handle(self, entry: Entry, outcome: Outcome) -> None:
        """Send, queue or refuse a call according to the prediction."""
        call = outcome.call
        now_s = self.clock.now_s
        choice = route(entry, call, self.views(entry), now_s)
        admission, queue = self.admissions[entry.name], self.queues[entry.name]
        state = queue.state(call.priority, now_s)
        decision = admission.decide(_query(outcome), Prediction.of(choice), state, now_s)
        self.publish_reservations(entry)
        if isinstance(decision, Admit):
            self.dispatch(entry, outcome, placement_of(choice))
        elif isinstance(decision, Queue):
            queue.add(call.priority, decision.max_wait_s, now_s, outcome)
        else:
            self.refuse(outcome, decision.retry_after_s)

    def publish_reservations(self, entry: Entry) -> None:
        """Send new reservations to the other entries."""
        updates = self.admissions[entry.name].reservations.take_updates()
        others = [self.admissions[other.name] for other in self.entries if other is not entry]

        def apply_updates() -> None:
            for admission in others:
                admission.reservations.apply_updates(updates)

        if updates:
            self.clock.schedule(self.clock.now_s + PUBLISH_DELAY_S, apply_updates)

    def on_call_ended(self, entry: Entry) -> None:
        """Record the end of a call and send a waiting call if one fits."""
        now_s = self.clock.now_s
        self.admissions[entry.name].finished(now_s)
        self.dispatch_waiting(entry)

    def on_load_report(self) -> None:
        """Send waiting calls that fit the newly reported load."""
        for entry in self.entries:
            self.dispatch_waiting(entry)

    def dispatch_waiting(self, entry: Entry) -> None:
        """Send the calls that waited too long, and the first of the others if it fits."""
        now_s = self.clock.now_s
        queue = self.queues[entry.name]
        for waiting in queue.expired(now_s):
            late_choice = route(entry, waiting.call.call, self.views(entry), now_s)
            self.dispatch(entry, waiting.call, placement_of(late_choice))
        first = queue.first()
        if first is None:
            return
        choice = route(entry, first.call.call, self.views(entry), now_s)
        fits = self.admissions[entry.name].fits
        if fits(_query(first.call), Prediction.of(choice), False, now_s):
            queue.pop(now_s)
            self.dispatch(entry, first.call, placement_of(choice))


FLEET_TYPES: dict[str, type[AdmissionFleet]] = {
    "godwitpath": PredictingFleet,
    "fixed queue": FixedQueueFleet,
    "no admission": AdmissionFleet,
}
"""Fleet types by row label, the product's first."""


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


def simulate(fleet_type: str, seed: int, load_factor: float) -> AdmissionFleet:
    """Simulate one load under a type of admission control."""
    rate = RATE_FACTORS["ramdin"] * load_factor
    calls = Workload("ramdin", seed, DURATION_S, 1, rate).calls()
    fleet = FLEET_TYPES[fleet_type](engine_specs("ramdin", ENGINES), product_policy, seed)
    fleet.run(calls, drain_s=60.0)
    return fleet


def goodput_per_s(fleet: AdmissionFleet) -> float:
    """Return the calls that met the latency target, per measured second."""
    measured = [o for o in fleet.outcomes if WARM_UP_S <= o.requested_at_s < DURATION_S]
    return sum(map(met_target, measured)) / (DURATION_S - WARM_UP_S)


def answered_tokens_per_s(fleet: AdmissionFleet) -> float:
    """Return the output tokens of the calls that met the target, per measured second."""
    measured = [o for o in fleet.outcomes if WARM_UP_S <= o.requested_at_s < DURATION_S]
    tokens = sum(o.call.output_tokens for o in measured if met_target(o))
    return tokens / (DURATION_S - WARM_UP_S)


def run_seed(seed: int) -> dict[str, dict[str, float]]:
    """Find the load with the best goodput, then compare all types at twice that load."""
    runs = [
        (simulate(fleet_type, seed, load_factor), load_factor)
        for fleet_type in ("godwitpath", "no admission")
        for load_factor in LOAD_FACTORS
    ]
    best_goodput, best_load = max(
        (goodput_per_s(fleet), load_factor) for fleet, load_factor in runs
    )
    best_tokens = max(answered_tokens_per_s(fleet) for fleet, _ in runs)
    figures = {}
    for fleet_type in FLEET_TYPES:
        fleet = simulate(fleet_type, seed, best_load * OVERLOAD_FACTOR)
        tokens = answered_tokens_per_s(fleet)
        figures[fleet_type] = {
            "best_goodput_per_s": best_goodput,
            "best_at_load": best_load,
            **_figures(fleet, best_goodput),
            "best_answered_tokens_per_s": best_tokens,
            "answered_tokens_over_best": tokens / best_tokens,
        }
    return figures


def _figures(fleet: AdmissionFleet, best_goodput: float) -> dict[str, float]:
    measured = [o for o in fleet.outcomes if WARM_UP_S <= o.requested_at_s < DURATION_S]
    refused = [o for o in measured if o.state == "refused"]
    dispatched = [o for o in measured if o.attempts]
    goodput = goodput_per_s(fleet)
    figures = {
        "goodput_per_s": goodput,
        "goodput_over_best": goodput / best_goodput,
        "met_target_of_admitted": sum(map(met_target, dispatched)) / max(1, len(dispatched)),
    }
    for priority, name in enumerate(("interactive", "plan", "batch")):
        admitted = [o for o in dispatched if o.call.priority == priority]
        offered = [o for o in measured if o.call.priority == priority]
        figures[f"met_target_{name}"] = sum(map(met_target, admitted)) / max(1, len(admitted))
        figures[f"admitted_{name}"] = len(admitted) / max(1, len(offered))
    figures["refusal_p100_s"] = percentile((o.refused_after_s for o in refused), 1.0)
    figures["refused_within_50_ms"] = sum(o.refused_after_s <= 0.05 for o in refused) / max(
        1, len(refused)
    )
    figures["came_back"] = float(fleet.retried)
    figures["admitted_when_back"] = fleet.retried_admitted / max(1, fleet.retried)
    return figures


def overload(seed: int = 1, seeds: int = SEEDS) -> None:
    """Compare predictive admission control with a fixed queue and with no admission control."""
    table = Table(
        f"ramdin, {ENGINES} engines, {OVERLOAD_FACTOR:g} times the load of the best goodput"
    )
    for figures in in_parallel(run_seed, range(seed, seed + seeds)):
        for fleet_type, values in figures.items():
            table.add(fleet_type, **values)
    table.show()


def register(app: typer.Typer) -> None:
    """Register the command of the experiment."""
    app.command()(overload)
