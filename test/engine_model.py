"""Simulation of a deployment's engines and of the daemons that place requests on them.

An engine works in steps, as the users' specification describes: each step generates one token of
every running request and prefills a chunk of the waiting prompts. Daemons know the load of other
daemons only from reports, so their view of an engine is outdated.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Container, Iterator, Sequence
from dataclasses import dataclass, field
from random import Random

from godwitpath.gateway.engines import Engine, EngineEntry, EngineRegistry, EngineState, PeerLoad
from godwitpath.gateway.placement import Placer, PrefixCacheIndex, Prompt
from godwitpath.gateway.wire_fields import PromptPart
from godwitpath.ports.engine import Address

# Engine parameters from the users' specification.
DECODE_STEP_S = 0.00547
DECODE_STEP_PER_REQUEST_S = 0.0000121
DECODE_STEP_PER_CONTEXT_TOKEN_S = 0.000000023
PREFILL_TOKENS_PER_S = 38_700.0
PREFILL_CHUNK_TOKENS = 2048
CACHE_TOKENS = 232_000
TOKENS_PER_EVENT = 4
# Interval at which daemons report their load, and one-way network delay from daemon to engine.
REPORT_INTERVAL_S = 0.4
NETWORK_DELAY_S = 0.02


class ModelClock:
    """Replaces `asyncio` by a simulated clock, in modules that only need the time of the loop."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def get_running_loop(self) -> ModelClock:
        """Return the clock itself in place of a loop."""
        return self

    def time(self) -> float:
        """Return the simulated time."""
        return self.now_s


@dataclass(slots=True, frozen=True)
class RequestProfile:
    """A kind of request, with its rate, prompt, response and times.

    :ivar per_s: requests of this kind per second
    :ivar shared_parts: number of tokens and number of variants of each prompt part that requests
        of this kind share
    :ivar own_tokens: approximate mean number of prompt tokens that a request shares with no other
    :ivar events: number of events of the response stream
    :ivar target_s: target time from the send to the first event
    :ivar deadline_s: time from the send after which an engine stops the request
    """

    name: str
    per_s: float
    shared_parts: tuple[tuple[int, int], ...]
    own_tokens: int
    events: int
    target_s: float
    deadline_s: float


LARGE_DEPLOYMENT_KINDS = (
    RequestProfile("letter", 62.6, ((2520, 4), (3780, 480)), 2890, 13, 1.035, 6.212),
    RequestProfile("report", 45.9, ((341, 4), (227, 800)), 1800, 6, 0.819, 4.095),
    RequestProfile("question", 57.2, ((103, 7), (69, 440)), 543, 69, 0.615, 15.373),
)
"""The streaming request kinds of the large deployment with 30 engines."""


@dataclass(slots=True)
class Job:
    """A request in the simulation.

    :ivar daemon: index of the daemon that sent the request
    :ivar prefill_tokens_left: prompt tokens left to prefill
    :ivar output_tokens_left: output tokens left to generate
    :ivar context_tokens: tokens of the prompt and the output so far
    :ivar first_event_at_s: time of the first event of the response, None before that time
    :ivar ended_at_s: time of the last event of the response, None before that time
    """

    kind: RequestProfile
    prompt: Prompt
    daemon: int
    sent_at_s: float
    engine_id: str = ""
    prefill_tokens_left: int = 0
    output_tokens_left: int = 0
    context_tokens: int = 0
    first_event_at_s: float | None = None
    ended_at_s: float | None = None


@dataclass(slots=True)
class ModelEngine:
    """A simulated engine.

    :ivar slots: maximum number of jobs that run at once
    :ivar slowdown: factor on the duration of every step
    :ivar waiting_jobs: jobs that wait for a slot
    :ivar running_jobs: jobs in prefill or decoding
    :ivar prefilled_tokens_total: number of prompt tokens that the engine has prefilled
    :ivar is_idle: whether no step of the engine is scheduled
    """

    engine_id: str
    slots: int
    slowdown: float = 1.0
    waiting_jobs: deque[Job] = field(default_factory=deque)
    running_jobs: list[Job] = field(default_factory=list)
    kv_cache: PrefixCacheIndex = field(default_factory=lambda: PrefixCacheIndex(CACHE_TOKENS))
    prefilled_tokens_total: int = 0
    is_idle: bool = True

    def step(self, now_s: float) -> tuple[float, list[Job], list[Job]]:
        """Run one step.

        :returns: duration of the step, the jobs that generated their first token in it, and the
            jobs that completed or reached their deadline in it
        """
        while self.waiting_jobs and len(self.running_jobs) < self.slots:
            job = self.waiting_jobs.popleft()
            job.prefill_tokens_left = max(
                1, job.prompt.tokens - self.kv_cache.cached_tokens(job.prompt.parts)
            )
            job.output_tokens_left = job.kind.events * TOKENS_PER_EVENT
            job.context_tokens = job.prompt.tokens
            self.running_jobs.append(job)
        chunk_left = PREFILL_CHUNK_TOKENS
        decoding = 0
        context_tokens = 0
        started: list[Job] = []
        for job in self.running_jobs:
            if job.prefill_tokens_left:
                chunk_tokens = min(chunk_left, job.prefill_tokens_left)
                chunk_left -= chunk_tokens
                job.prefill_tokens_left -= chunk_tokens
                if not job.prefill_tokens_left:
                    self.kv_cache.add(job.prompt.parts)
                continue
            decoding += 1
            context_tokens += job.context_tokens
            job.output_tokens_left -= 1
            job.context_tokens += 1
            if (
                job.first_event_at_s is None
                and job.kind.events * TOKENS_PER_EVENT - job.output_tokens_left >= 1
            ):
                started.append(job)
        prefilled_tokens = PREFILL_CHUNK_TOKENS - chunk_left
        self.prefilled_tokens_total += prefilled_tokens
        took_s = prefilled_tokens / PREFILL_TOKENS_PER_S
        took_s += (
            DECODE_STEP_S
            + decoding * DECODE_STEP_PER_REQUEST_S
            + context_tokens * DECODE_STEP_PER_CONTEXT_TOKEN_S
        )
        took_s *= self.slowdown
        end_s = now_s + took_s
        for job in started:
            job.first_event_at_s = end_s
        ended = [
            job
            for job in self.running_jobs
            if not job.prefill_tokens_left and job.output_tokens_left <= 0
        ]
        for job in ended:
            job.ended_at_s = end_s
        expired = [
            job
            for job in self.running_jobs
            if job.ended_at_s is None and end_s > job.sent_at_s + job.kind.deadline_s
        ]
        finished_ids = {id(job) for job in (*ended, *expired)}
        self.running_jobs = [job for job in self.running_jobs if id(job) not in finished_ids]
        return took_s, started, [*ended, *expired]


class ModelDaemon:
    """A simulated daemon, which places requests by the engine loads that it knows."""

    def __init__(
        self, zone: str, entries: Sequence[EngineEntry], regions: dict[str, str], rng: Random
    ) -> None:
        self.known_engines = EngineRegistry()
        self.placer = Placer(zone, regions[zone], regions, rng)
        for entry in entries:
            self.known_engines.put(entry)

    def engine(self, engine_id: str) -> Engine:
        """Return an engine with its load as this daemon knows it."""
        engine_view = self.known_engines.get(engine_id)
        assert engine_view is not None
        return engine_view


class ModelFleet:
    """Simulated engines and daemons under a load.

    :param slots: maximum number of requests that an engine runs at once
    :param zones: name of each zone, one letter each
    :param load: factor on the request rate of every kind
    :param joining: number of engines that are added later, without cached prefixes
    :param joining_at_s: time at which these engines are added
    :param popular_share: share of the requests of the first kind that use the same document
    :ivar jobs: all requests that were sent so far
    """

    def __init__(
        self,
        engines: int,
        daemons: int,
        slots: int = 64,
        zones: str = "abcdef",
        seed: int = 1,
        load: float = 1.0,
        kinds: Sequence[RequestProfile] = LARGE_DEPLOYMENT_KINDS,
        popular_share: float = 0.0,
        joining: int = 0,
        joining_at_s: float = 0.0,
    ) -> None:
        self.jobs: list[Job] = []
        self._rng = Random(seed)
        self._kinds = kinds
        self._load = load
        self._popular_share = popular_share
        regions = {zone: str(index // 2) for index, zone in enumerate(zones)}
        entries = [
            EngineEntry(
                f"e{number}",
                "lm",
                Address("h", number),
                zones[number % len(zones)],
                EngineState.READY,
                slots,
                1,
            )
            for number in range(engines + joining)
        ]
        self.engines = {each.engine_id: ModelEngine(each.engine_id, slots) for each in entries}
        self.daemons = [
            ModelDaemon(zones[number % len(zones)], entries[:engines], regions, Random(number))
            for number in range(daemons)
        ]
        self._joining = entries[engines:]
        self._joining_at_s = joining_at_s
        # Engine and prompt tokens left to prefill, by identity of the job.
        self._prefill_by_job: dict[int, tuple[Engine, int]] = {}
        self._events: list[tuple[float, int, str, object]] = []
        self._number = 0

    def simulate(self, duration_s: float, clock: ModelClock) -> None:
        """Simulate the load for a time, and then until all requests have ended.

        :param clock: clock that the placers use
        """
        for kind in self._kinds:
            self._push(self._interarrival_s(kind), "arrive", kind)
        self._push(REPORT_INTERVAL_S, "report", None)
        self._push(self._joining_at_s, "join", None)
        while self._events:
            now_s, _, event, payload = heapq.heappop(self._events)
            if now_s > duration_s and event in ("arrive", "report"):
                continue
            clock.now_s = now_s
            if event == "arrive":
                assert isinstance(payload, RequestProfile)
                self._send_request(payload, now_s)
                self._push(now_s + self._interarrival_s(payload), "arrive", payload)
            elif event == "report":
                self._report(now_s)
                self._push(now_s + REPORT_INTERVAL_S, "report", None)
            elif event == "join":
                for daemon in self.daemons:
                    for entry in self._joining:
                        daemon.known_engines.put(entry)
            elif event == "reach":
                assert isinstance(payload, tuple)
                engine, job = payload
                engine.waiting_jobs.append(job)
                if engine.is_idle:
                    engine.is_idle = False
                    self._push(now_s, "step", engine)
            else:
                assert isinstance(payload, ModelEngine)
                self._step(payload, now_s)

    def share_on_time(self, name: str = "") -> float:
        """Return the share of requests that completed and had their first event by the target time.

        :param name: kind of the requests to count, empty for all kinds
        """
        matching_jobs = [job for job in self.jobs if not name or job.kind.name == name]
        return sum(map(_is_on_time, matching_jobs)) / max(1, len(matching_jobs))

    def share_completed(self, name: str = "") -> float:
        """Return the share of requests that completed before their deadline.

        :param name: kind of the requests to count, empty for all kinds
        """
        matching_jobs = [job for job in self.jobs if not name or job.kind.name == name]
        return sum(job.ended_at_s is not None for job in matching_jobs) / max(1, len(matching_jobs))

    def share_placed(self, engine_ids: Container[str], since_s: float, until_s: float) -> float:
        """Return the share of the requests sent in a time range that went to the given engines."""
        matching_jobs = [job for job in self.jobs if since_s <= job.sent_at_s < until_s]
        return sum(job.engine_id in engine_ids for job in matching_jobs) / max(
            1, len(matching_jobs)
        )

    def prefilled_tokens_total(self) -> int:
        """Return the number of prompt tokens that all engines together have prefilled."""
        return sum(engine.prefilled_tokens_total for engine in self.engines.values())

    def _interarrival_s(self, kind: RequestProfile) -> float:
        return self._rng.expovariate(kind.per_s * self._load)

    def _push(self, at_s: float, event: str, payload: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, event, payload))

    def _prompt(self, kind: RequestProfile) -> Prompt:
        self._number += 1
        popular = kind is self._kinds[0] and self._rng.random() < self._popular_share
        names = [
            0 if popular else int(variants * self._rng.random() ** 1.3)
            for _, variants in kind.shared_parts
        ]
        parts = [
            PromptPart(f"{kind.name}{level}-{name}", tokens)
            for level, (name, (tokens, _)) in enumerate(zip(names, kind.shared_parts, strict=True))
        ]
        own_tokens = max(20, int(kind.own_tokens * self._rng.lognormvariate(-0.2, 0.6)))
        parts.append(PromptPart(f"own{self._number}", own_tokens))
        tokens = sum(part.tokens for part in parts)
        return Prompt(tokens, kind.events * TOKENS_PER_EVENT, tuple(parts))

    def _send_request(self, kind: RequestProfile, now_s: float) -> None:
        number = self._rng.randrange(len(self.daemons))
        daemon = self.daemons[number]
        job = Job(kind, self._prompt(kind), number, now_s)
        self.jobs.append(job)
        usable = daemon.known_engines.usable("lm", now_s)
        candidate = daemon.placer.rank_for_generation(job.prompt, usable, CACHE_TOKENS)[0]
        engine_view = candidate.engine
        job.engine_id = engine_view.entry.engine_id
        daemon.placer.note_sent(job.prompt, engine_view, candidate.prefill_tokens, CACHE_TOKENS)
        engine_view.running_requests += 1
        engine_view.prompt_tokens += candidate.prefill_tokens
        self._prefill_by_job[id(job)] = (engine_view, candidate.prefill_tokens)
        engine = self.engines[engine_view.entry.engine_id]
        self._push(now_s + NETWORK_DELAY_S, "reach", (engine, job))

    def _step(self, engine: ModelEngine, now_s: float) -> None:
        if not engine.running_jobs and not engine.waiting_jobs:
            engine.is_idle = True
            return
        took_s, started, finished = engine.step(now_s)
        for job in started:
            self._finish_prefill(job)
        for job in finished:
            self._finish_prefill(job)
            self._prefill_by_job[id(job)][0].running_requests -= 1
        self._push(now_s + took_s, "step", engine)

    def _finish_prefill(self, job: Job) -> None:
        engine_view, tokens = self._prefill_by_job[id(job)]
        engine_view.prompt_tokens -= tokens
        self._prefill_by_job[id(job)] = (engine_view, 0)

    def _report(self, now_s: float) -> None:
        """Report every daemon's load and recently sent prompts to all daemons."""
        for engine_id in [each.entry.engine_id for each in self.daemons[0].known_engines.all()]:
            engine_views = [daemon.engine(engine_id) for daemon in self.daemons]
            running_requests = sum(engine_view.running_requests for engine_view in engine_views)
            tokens = sum(engine_view.prompt_tokens for engine_view in engine_views)
            for engine_view in engine_views:
                others = PeerLoad(
                    running_requests - engine_view.running_requests,
                    tokens - engine_view.prompt_tokens,
                )
                engine_view.peer_loads = {"others": others}
        prompts = list(self._recent_prompts(now_s - REPORT_INTERVAL_S))
        for daemon in self.daemons:
            for engine_id, parts in prompts:
                daemon.placer.note_peer_prompt(daemon.engine(engine_id), parts, CACHE_TOKENS)

    def _recent_prompts(self, since_s: float) -> Iterator[tuple[str, tuple[PromptPart, ...]]]:
        for daemon in self.daemons:
            yield from daemon.placer.sent_since(since_s)


def _is_on_time(job: Job) -> bool:
    if job.first_event_at_s is None or job.ended_at_s is None:
        return False
    return job.first_event_at_s + NETWORK_DELAY_S - job.sent_at_s <= job.kind.target_s
