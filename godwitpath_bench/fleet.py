"""Entries and engines on one event list: who is called when, and what came of it."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from godwitpath.ports.engine import LoadReport
from godwitpath.routing.book import LoadBook, Outstanding
from godwitpath.routing.views import EngineView
from godwitpath_bench.engine_model import EngineModel, EngineSpec, Sequence
from godwitpath_bench.work import Call

REPORT_INTERVAL_S = 1.0
"""Time between two load reports of an engine."""

REPORT_LAG_S = 1.0
"""Age of a load report when it comes to an entry."""

NEAR_S = 0.001
"""One-way delay within a region."""

FAR_S = 0.02
"""One-way delay between regions."""


@dataclass(slots=True)
class Outcome:
    """What came of one call.

    :ivar began_s: when the caller asked, later than the call's time for one who came back
    :ivar first_s: time to the first token, 0 when there was none
    :ivar between_s: mean time between tokens
    :ivar state: `finished`, `refused`, `failed` or `open`
    """

    call: Call
    first_s: float = 0.0
    between_s: float = 0.0
    end_s: float = 0.0
    attempts: int = 0
    cached_tokens: int = 0
    state: str = "open"
    refused_after_s: float = 0.0
    far: bool = False
    began_s: float = -1.0

    def __post_init__(self) -> None:
        if self.began_s < 0:
            self.began_s = self.call.at_s


class Clock:
    """The event list."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, at_s: float, function: Callable[[], None]) -> None:
        """Run a function at a time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), function))

    def run(self, until_s: float) -> None:
        """Run everything up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, function = heapq.heappop(self._events)
            function()


@dataclass(slots=True)
class Placed:
    """Where a policy sends a call."""

    upstream_id: str
    rank: int = -1
    cached_tokens: int = 0


class Entry:
    """An entry with its own knowledge."""

    def __init__(self, name: str, region: str, rng: Random) -> None:
        self.name = name
        self.region = region
        self.rng = rng
        self.book = LoadBook()
        self.turn = rng.randrange(1000)


Policy = Callable[[Entry, Call, list[EngineView], float], Placed]
"""Chooses the engine for a call from the entry's knowledge."""


@dataclass(slots=True)
class Attempt:
    """One call on its way at one engine."""

    outcome: Outcome
    entry: Entry
    upstream_id: str
    ticket: Outstanding
    first_at_s: float = 0.0


@dataclass
class Fleet:
    """The engines of one service and the entries before them."""

    specs: list[EngineSpec]
    policy: Policy
    seed: int = 0
    entries_per_region: int = 2
    clock: Clock = field(default_factory=Clock)
    outcomes: list[Outcome] = field(default_factory=list)

    def __post_init__(self) -> None:
        rng = Random(self.seed)
        self.rng = rng
        self.engines = {spec.upstream_id: EngineModel(spec, self.clock.at) for spec in self.specs}
        self.spec_of = {spec.upstream_id: spec for spec in self.specs}
        regions = sorted({spec.region for spec in self.specs})
        self.entries = [
            Entry(f"entry-{region}-{number}", region, Random(rng.random()))
            for region in regions
            for number in range(self.entries_per_region)
        ]
        self.by_region = {
            region: [entry for entry in self.entries if entry.region == region]
            for region in regions
        }

    def run(self, calls: Iterable[Call], drain_s: float = 90.0) -> list[Outcome]:
        """Play the calls and return what came of each."""
        last_s = 0.0
        for call in calls:
            outcome = Outcome(call)
            self.outcomes.append(outcome)
            self.clock.at(call.at_s, lambda outcome=outcome: self.arrive(outcome))  # type: ignore[misc]
            last_s = call.at_s
        for number, upstream_id in enumerate(self.engines):
            first_s = REPORT_INTERVAL_S * (number + 1) / len(self.engines)
            self._arm_report(upstream_id, first_s, last_s + drain_s)
        self.clock.run(last_s + drain_s)
        return self.outcomes

    def arrive(self, outcome: Outcome) -> None:
        """Bring a call to an entry that the balancer picks."""
        entries = self.by_region.get(outcome.call.region) or self.entries
        self.take(self.rng.choice(entries), outcome)

    def take(self, entry: Entry, outcome: Outcome) -> None:
        """Let an entry handle a call."""
        views = self.views(entry)
        placed = self.policy(entry, outcome.call, views, self.clock.now_s)
        self.dispatch(entry, outcome, placed)

    def views(self, entry: Entry) -> list[EngineView]:
        """Return the engines as an entry sees them."""
        return entry.book.views(self.specs, self.clock.now_s)

    def dispatch(self, entry: Entry, outcome: Outcome, placed: Placed) -> None:
        """Send a call to an engine."""
        call = outcome.call
        ticket = entry.book.started(
            placed.upstream_id,
            call.prompt_tokens,
            self.clock.now_s,
            call.priority,
            call.blocks,
            placed.rank,
            placed.cached_tokens,
        )
        outcome.attempts += 1
        outcome.far = self.spec_of[placed.upstream_id].region != entry.region
        attempt = Attempt(outcome, entry, placed.upstream_id, ticket)
        sent_s = self.clock.now_s + self._delay_s(attempt)
        self.clock.at(sent_s, lambda: self.submit(attempt))

    def submit(self, attempt: Attempt) -> None:
        """Bring a call to its engine."""
        delay_s = self._delay_s(attempt)

        def first(cached_tokens: int, now_s: float) -> None:
            self.clock.at(now_s + delay_s, lambda: self.first(attempt, cached_tokens))

        def end(now_s: float) -> None:
            self.clock.at(now_s + delay_s, lambda: self.end(attempt))

        sequence = Sequence(attempt.outcome.call, first, end)
        self.engines[attempt.upstream_id].submit(sequence, self.clock.now_s)

    def first(self, attempt: Attempt, cached_tokens: int) -> None:
        """Bring the first token to the entry."""
        now_s = self.clock.now_s
        attempt.first_at_s = now_s
        attempt.entry.book.first_token(attempt.ticket, cached_tokens, now_s)
        if not attempt.outcome.first_s:
            attempt.outcome.first_s = now_s - attempt.outcome.began_s
            attempt.outcome.cached_tokens = cached_tokens

    def end(self, attempt: Attempt) -> None:
        """Bring the last token to the entry."""
        now_s = self.clock.now_s
        outcome = attempt.outcome
        tokens = outcome.call.output_tokens
        attempt.entry.book.finished(attempt.ticket, now_s, tokens)
        outcome.between_s = (now_s - attempt.first_at_s) / max(1, tokens - 1)
        outcome.end_s = now_s
        outcome.state = "finished"
        self.ended(attempt.entry)

    def ended(self, entry: Entry) -> None:
        """Do what an entry does at the end of a call; nothing here."""

    def reported(self) -> None:
        """Do what entries do when a load report came; nothing here."""

    def _delay_s(self, attempt: Attempt) -> float:
        near = self.spec_of[attempt.upstream_id].region == attempt.entry.region
        return NEAR_S if near else FAR_S

    def _arm_report(self, upstream_id: str, at_s: float, until_s: float) -> None:
        if at_s < until_s:
            self.clock.at(at_s, lambda: self._report(upstream_id, at_s, until_s))

    def _report(self, upstream_id: str, at_s: float, until_s: float) -> None:
        engine = self.engines[upstream_id]
        if engine.alive:
            report = engine.report(at_s)
            self.clock.at(at_s + REPORT_LAG_S, lambda: self._tell(upstream_id, report))
        self._arm_report(upstream_id, at_s + REPORT_INTERVAL_S, until_s)

    def _tell(self, upstream_id: str, report: LoadReport) -> None:
        for entry in self.entries:
            entry.book.report(upstream_id, report, self.clock.now_s)
        self.reported()
