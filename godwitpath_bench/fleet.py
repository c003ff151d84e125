"""Discrete-event simulation of entries that route calls to engines."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from godwitpath.ports.engine import LoadReport
from godwitpath.routing.load_tracker import LoadTracker, OutstandingCall
from godwitpath.routing.views import EngineView
from godwitpath_bench.engine_model import EngineModel, EngineSpec, Sequence
from godwitpath_bench.workload import Call

REPORT_INTERVAL_S = 1.0
"""Interval of the load reports of an engine."""

REPORT_DELAY_S = 1.0
"""Delay until an entry receives a load report."""

INTRA_REGION_DELAY_S = 0.001
"""One-way delay within a region."""

CROSS_REGION_DELAY_S = 0.02
"""One-way delay between regions."""


@dataclass(slots=True)
class Outcome:
    """Outcome of one call.

    :ivar requested_at_s: time of the request, later than `call.at_s` for a repeated request
    :ivar first_token_s: time from the request to the first token, 0 without a token
    :ivar between_tokens_s: mean time between tokens
    :ivar ended_at_s: time of the last token
    :ivar state: `finished`, `refused`, `failed` or `open`
    :ivar refused_after_s: time from the request to the refusal
    :ivar remote_region: whether the engine of the last attempt is in another region than the entry
    """

    call: Call
    first_token_s: float = 0.0
    between_tokens_s: float = 0.0
    ended_at_s: float = 0.0
    attempts: int = 0
    cached_tokens: int = 0
    state: str = "open"
    refused_after_s: float = 0.0
    remote_region: bool = False
    requested_at_s: float = -1.0

    def __post_init__(self) -> None:
        if self.requested_at_s < 0:
            self.requested_at_s = self.call.at_s


class SimulationClock:
    """Event queue and clock of a discrete-event simulation.

    :ivar now_s: simulated time
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def schedule(self, at_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a simulated time."""
        heapq.heappush(self._events, (at_s, next(self._sequence_numbers), callback))

    def run(self, until_s: float) -> None:
        """Run the events up to a time, that time included."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()


@dataclass(slots=True)
class Placement:
    """Engine to which a policy sends a call.

    :ivar rank: rank of the engine for the call's prefix, -1 when unknown
    :ivar cached_tokens: predicted cached prompt tokens
    """

    upstream_id: str
    rank: int = -1
    cached_tokens: int = 0


class Entry:
    """An entry with its own estimate of the load of each engine."""

    def __init__(self, name: str, region: str, rng: Random) -> None:
        self.name = name
        self.region = region
        self.rng = rng
        self.load_tracker = LoadTracker()
        self.round_robin_index = rng.randrange(1000)


RoutingPolicy = Callable[[Entry, Call, list[EngineView], float], Placement]
"""Chooses the engine for a call, given the entry's view of the engines and the time."""


@dataclass(slots=True)
class Attempt:
    """One attempt of a call at an engine.

    :ivar first_token_at_s: time at which the entry received the first token, 0 before
    """

    outcome: Outcome
    entry: Entry
    upstream_id: str
    outstanding: OutstandingCall
    first_token_at_s: float = 0.0


@dataclass
class Fleet:
    """The engines of one service and the entries that route calls to them."""

    specs: list[EngineSpec]
    policy: RoutingPolicy
    seed: int = 0
    entries_per_region: int = 2
    clock: SimulationClock = field(default_factory=SimulationClock)
    outcomes: list[Outcome] = field(default_factory=list)

    def __post_init__(self) -> None:
        rng = Random(self.seed)
        self.rng = rng
        self.engines = {
            spec.upstream_id: EngineModel(spec, self.clock.schedule) for spec in self.specs
        }
        self.specs_by_id = {spec.upstream_id: spec for spec in self.specs}
        regions = sorted({spec.region for spec in self.specs})
        self.entries = [
            Entry(f"entry-{region}-{number}", region, Random(rng.random()))
            for region in regions
            for number in range(self.entries_per_region)
        ]
        self.entries_by_region = {
            region: [entry for entry in self.entries if entry.region == region]
            for region in regions
        }

    def run(self, calls: Iterable[Call], drain_s: float = 90.0) -> list[Outcome]:
        """Simulate the calls.

        :param drain_s: time simulated after the last call
        :returns: the outcome of each request
        """
        last_s = 0.0
        for call in calls:
            outcome = Outcome(call)
            self.outcomes.append(outcome)
            self.clock.schedule(call.at_s, lambda outcome=outcome: self.arrive(outcome))  # type: ignore[misc]
            last_s = call.at_s
        for number, upstream_id in enumerate(self.engines):
            first_report_s = REPORT_INTERVAL_S * (number + 1) / len(self.engines)
            self._schedule_report(upstream_id, first_report_s, last_s + drain_s)
        self.clock.run(last_s + drain_s)
        return self.outcomes

    def arrive(self, outcome: Outcome) -> None:
        """Deliver a call to a random entry of its region, as a load balancer does."""
        entries = self.entries_by_region.get(outcome.call.region) or self.entries
        self.handle(self.rng.choice(entries), outcome)

    def handle(self, entry: Entry, outcome: Outcome) -> None:
        """Route a call at an entry and send it."""
        views = self.views(entry)
        placement = self.policy(entry, outcome.call, views, self.clock.now_s)
        self.dispatch(entry, outcome, placement)

    def views(self, entry: Entry) -> list[EngineView]:
        """Return an entry's view of the engines."""
        return entry.load_tracker.views(self.specs, self.clock.now_s)

    def dispatch(self, entry: Entry, outcome: Outcome, placement: Placement) -> None:
        """Send a call to an engine."""
        call = outcome.call
        outstanding = entry.load_tracker.started(
            placement.upstream_id,
            call.prompt_tokens,
            self.clock.now_s,
            call.priority,
            call.blocks,
            placement.rank,
            placement.cached_tokens,
        )
        outcome.attempts += 1
        outcome.remote_region = self.specs_by_id[placement.upstream_id].region != entry.region
        attempt = Attempt(outcome, entry, placement.upstream_id, outstanding)
        arrives_at_s = self.clock.now_s + self._delay_s(attempt)
        self.clock.schedule(arrives_at_s, lambda: self.submit(attempt))

    def submit(self, attempt: Attempt) -> None:
        """Submit a call to its engine."""
        delay_s = self._delay_s(attempt)

        def on_first_token(cached_tokens: int, now_s: float) -> None:
            self.clock.schedule(
                now_s + delay_s, lambda: self.deliver_first_token(attempt, cached_tokens)
            )

        def on_finished(now_s: float) -> None:
            self.clock.schedule(now_s + delay_s, lambda: self.deliver_last_token(attempt))

        sequence = Sequence(attempt.outcome.call, on_first_token, on_finished)
        self.engines[attempt.upstream_id].submit(sequence, self.clock.now_s)

    def deliver_first_token(self, attempt: Attempt, cached_tokens: int) -> None:
        """Record the first token at the entry."""
        now_s = self.clock.now_s
        attempt.first_token_at_s = now_s
        attempt.entry.load_tracker.first_token(attempt.outstanding, cached_tokens, now_s)
        if not attempt.outcome.first_token_s:
            attempt.outcome.first_token_s = now_s - attempt.outcome.requested_at_s
            attempt.outcome.cached_tokens = cached_tokens

    def deliver_last_token(self, attempt: Attempt) -> None:
        """Record the last token at the entry."""
        now_s = self.clock.now_s
        outcome = attempt.outcome
        tokens = outcome.call.output_tokens
        attempt.entry.load_tracker.finished(attempt.outstanding, now_s, tokens)
        outcome.between_tokens_s = (now_s - attempt.first_token_at_s) / max(1, tokens - 1)
        outcome.ended_at_s = now_s
        outcome.state = "finished"
        self.on_call_ended(attempt.entry)

    def on_call_ended(self, entry: Entry) -> None:
        """React to the end of a call at an entry; subclasses override this hook."""

    def on_load_report(self) -> None:
        """React to a new load report; subclasses override this hook."""

    def _delay_s(self, attempt: Attempt) -> float:
        same_region = self.specs_by_id[attempt.upstream_id].region == attempt.entry.region
        return INTRA_REGION_DELAY_S if same_region else CROSS_REGION_DELAY_S

    def _schedule_report(self, upstream_id: str, at_s: float, until_s: float) -> None:
        if at_s < until_s:
            self.clock.schedule(at_s, lambda: self._report(upstream_id, at_s, until_s))

    def _report(self, upstream_id: str, at_s: float, until_s: float) -> None:
        engine = self.engines[upstream_id]
        if engine.live:
            report = engine.report(at_s)
            self.clock.schedule(
                at_s + REPORT_DELAY_S, lambda: self._deliver_report(upstream_id, report)
            )
        self._schedule_report(upstream_id, at_s + REPORT_INTERVAL_S, until_s)

    def _deliver_report(self, upstream_id: str, report: LoadReport) -> None:
        for entry in self.entries:
            entry.load_tracker.report(upstream_id, report, self.clock.now_s)
        self.on_load_report()
