"""A model of the deployment's engines and of many daemons that place requests on them.

An engine works in steps, as the users' sheet describes: each step makes one token of every request
that runs, and reads a chunk of the prompts that wait. Daemons know of one another's work from
reports, so what they know of an engine is old.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Container, Iterator, Sequence
from dataclasses import dataclass, field
from random import Random

from godwitpath.gateway.calls import PromptPart
from godwitpath.gateway.engines import Engine, EngineBook, EngineEntry, EngineState, PeerLoad
from godwitpath.gateway.placing import Placer, PrefixMemory, Prompt
from godwitpath.ports.engine import Address

# The engines of the users' sheet.
STEP_S = 0.00547
STEP_PER_REQUEST_S = 0.0000121
STEP_PER_CONTEXT_TOKEN_S = 0.000000023
READ_TOKENS_PER_S = 38_700.0
CHUNK_TOKENS = 2048
CACHE_TOKENS = 232_000
TOKENS_IN_EVENT = 4
# The daemons' reports, and the way to an engine.
REPORT_S = 0.4
NETWORK_S = 0.02


class ModelClock:
    """Stands in for `asyncio` where a module only asks the running loop for its time."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def get_running_loop(self) -> ModelClock:
        """Return what tells the time."""
        return self

    def time(self) -> float:
        """Return the model's time."""
        return self.now_s


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request.

    :ivar shared: tokens and number of different ones of each shared part
    :ivar own_tokens: prompt tokens that no other request has
    """

    name: str
    per_s: float
    shared: tuple[tuple[int, int], ...]
    own_tokens: int
    events: int
    aim_s: float
    deadline_s: float


GROWN_KINDS = (
    Kind("letter", 62.6, ((2520, 4), (3780, 480)), 2890, 13, 1.035, 6.212),
    Kind("report", 45.9, ((341, 4), (227, 800)), 1800, 6, 0.819, 4.095),
    Kind("question", 57.2, ((103, 7), (69, 440)), 543, 69, 0.615, 15.373),
)
"""The streaming kinds of the grown deployment with 30 engines."""


@dataclass(slots=True)
class Job:
    """A request on its way.

    :ivar first_s: when its first event was made, None before
    :ivar ended_s: when its last was
    """

    kind: Kind
    prompt: Prompt
    daemon: int
    sent_s: float
    engine_id: str = ""
    to_read: int = 0
    to_make: int = 0
    context: int = 0
    first_s: float | None = None
    ended_s: float | None = None


@dataclass(slots=True)
class ModelEngine:
    """An engine.

    :ivar read_tokens: prompt tokens read so far
    """

    engine_id: str
    slots: int
    speed: float = 1.0
    waiting: deque[Job] = field(default_factory=deque)
    running: list[Job] = field(default_factory=list)
    memory: PrefixMemory = field(default_factory=lambda: PrefixMemory(CACHE_TOKENS))
    read_tokens: int = 0
    idle: bool = True

    def step(self, now_s: float) -> tuple[float, list[Job], list[Job]]:
        """Work one step; returns its time, the jobs that began in it and those that ended."""
        while self.waiting and len(self.running) < self.slots:
            job = self.waiting.popleft()
            job.to_read = max(1, job.prompt.tokens - self.memory.held(job.prompt.parts))
            job.to_make = job.kind.events * TOKENS_IN_EVENT
            job.context = job.prompt.tokens
            self.running.append(job)
        chunk = CHUNK_TOKENS
        making = 0
        context = 0
        began: list[Job] = []
        for job in self.running:
            if job.to_read:
                taken = min(chunk, job.to_read)
                chunk -= taken
                job.to_read -= taken
                if not job.to_read:
                    self.memory.note(job.prompt.parts)
                continue
            making += 1
            context += job.context
            job.to_make -= 1
            job.context += 1
            if job.first_s is None and job.kind.events * TOKENS_IN_EVENT - job.to_make >= 1:
                began.append(job)
        read = CHUNK_TOKENS - chunk
        self.read_tokens += read
        took_s = read / READ_TOKENS_PER_S
        took_s += STEP_S + making * STEP_PER_REQUEST_S + context * STEP_PER_CONTEXT_TOKEN_S
        took_s *= self.speed
        end_s = now_s + took_s
        for job in began:
            job.first_s = end_s
        ended = [job for job in self.running if not job.to_read and job.to_make <= 0]
        for job in ended:
            job.ended_s = end_s
        late = [
            job
            for job in self.running
            if job.ended_s is None and end_s > job.sent_s + job.kind.deadline_s
        ]
        gone = {id(job) for job in (*ended, *late)}
        self.running = [job for job in self.running if id(job) not in gone]
        return took_s, began, [*ended, *late]


class ModelDaemon:
    """A daemon that places requests by what it knows."""

    def __init__(
        self, zone: str, entries: Sequence[EngineEntry], regions: dict[str, str], rng: Random
    ) -> None:
        self.book = EngineBook()
        self.placer = Placer(zone, regions[zone], regions, rng)
        for entry in entries:
            self.book.put(entry)

    def engine(self, engine_id: str) -> Engine:
        """Return what the daemon knows of an engine."""
        found = self.book.get(engine_id)
        assert found is not None
        return found


class ModelFleet:
    """Engines and daemons under a load.

    :param joining: engines that come later, empty
    :param joins_s: when they come
    :param hot_share: part of the first kind's requests that ask for one document
    :ivar jobs: every request
    """

    def __init__(
        self,
        engines: int,
        daemons: int,
        slots: int = 64,
        zones: str = "abcdef",
        seed: int = 1,
        load: float = 1.0,
        kinds: Sequence[Kind] = GROWN_KINDS,
        hot_share: float = 0.0,
        joining: int = 0,
        joins_s: float = 0.0,
    ) -> None:
        self.jobs: list[Job] = []
        self._rng = Random(seed)
        self._kinds = kinds
        self._load = load
        self._hot_share = hot_share
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
        self._joins_s = joins_s
        self._reads: dict[int, tuple[Engine, int]] = {}
        self._events: list[tuple[float, int, str, object]] = []
        self._number = 0

    def play(self, duration_s: float, clock: ModelClock) -> None:
        """Play the load for a time and let what was sent end.

        :param clock: the clock that the placers go by
        """
        for kind in self._kinds:
            self._push(self._gap(kind), "arrive", kind)
        self._push(REPORT_S, "report", None)
        self._push(self._joins_s, "join", None)
        while self._events:
            now_s, _, what, subject = heapq.heappop(self._events)
            if now_s > duration_s and what in ("arrive", "report"):
                continue
            clock.now_s = now_s
            if what == "arrive":
                assert isinstance(subject, Kind)
                self._arrive(subject, now_s)
                self._push(now_s + self._gap(subject), "arrive", subject)
            elif what == "report":
                self._report(now_s)
                self._push(now_s + REPORT_S, "report", None)
            elif what == "join":
                for daemon in self.daemons:
                    for entry in self._joining:
                        daemon.book.put(entry)
            elif what == "reach":
                assert isinstance(subject, tuple)
                engine, job = subject
                engine.waiting.append(job)
                if engine.idle:
                    engine.idle = False
                    self._push(now_s, "step", engine)
            else:
                assert isinstance(subject, ModelEngine)
                self._step(subject, now_s)

    def share_in_aim(self, name: str = "") -> float:
        """Return the part of the requests, of a kind or of all, that were answered in time."""
        found = [job for job in self.jobs if not name or job.kind.name == name]
        return sum(map(_in_aim, found)) / max(1, len(found))

    def share_ended(self, name: str = "") -> float:
        """Return the part of the requests that were answered before their deadline."""
        found = [job for job in self.jobs if not name or job.kind.name == name]
        return sum(job.ended_s is not None for job in found) / max(1, len(found))

    def share_placed(self, engine_ids: Container[str], since_s: float, until_s: float) -> float:
        """Return the part of the requests sent in a time that went to some engines."""
        found = [job for job in self.jobs if since_s <= job.sent_s < until_s]
        return sum(job.engine_id in engine_ids for job in found) / max(1, len(found))

    def read_tokens(self) -> int:
        """Return the prompt tokens that engines have read."""
        return sum(engine.read_tokens for engine in self.engines.values())

    def _gap(self, kind: Kind) -> float:
        return self._rng.expovariate(kind.per_s * self._load)

    def _push(self, at_s: float, what: str, subject: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, what, subject))

    def _prompt(self, kind: Kind) -> Prompt:
        self._number += 1
        hot = kind is self._kinds[0] and self._rng.random() < self._hot_share
        names = [0 if hot else int(things * self._rng.random() ** 1.3) for _, things in kind.shared]
        parts = [
            PromptPart(f"{kind.name}{level}-{name}", tokens)
            for level, (name, (tokens, _)) in enumerate(zip(names, kind.shared, strict=True))
        ]
        own = max(20, int(kind.own_tokens * self._rng.lognormvariate(-0.2, 0.6)))
        parts.append(PromptPart(f"own{self._number}", own))
        tokens = sum(part.tokens for part in parts)
        return Prompt(tokens, kind.events * TOKENS_IN_EVENT, tuple(parts))

    def _arrive(self, kind: Kind, now_s: float) -> None:
        number = self._rng.randrange(len(self.daemons))
        daemon = self.daemons[number]
        job = Job(kind, self._prompt(kind), number, now_s)
        self.jobs.append(job)
        usable = daemon.book.usable("lm", now_s)
        place = daemon.placer.place_generation(job.prompt, usable, CACHE_TOKENS)[0]
        known = place.engine
        job.engine_id = known.entry.engine_id
        daemon.placer.note_sent(job.prompt, known, place.read_tokens, CACHE_TOKENS)
        known.running += 1
        known.prompt_tokens += place.read_tokens
        self._reads[id(job)] = (known, place.read_tokens)
        engine = self.engines[known.entry.engine_id]
        self._push(now_s + NETWORK_S, "reach", (engine, job))

    def _step(self, engine: ModelEngine, now_s: float) -> None:
        if not engine.running and not engine.waiting:
            engine.idle = True
            return
        took_s, began, left = engine.step(now_s)
        for job in began:
            self._has_begun(job)
        for job in left:
            self._has_begun(job)
            self._reads[id(job)][0].running -= 1
        self._push(now_s + took_s, "step", engine)

    def _has_begun(self, job: Job) -> None:
        known, tokens = self._reads[id(job)]
        known.prompt_tokens -= tokens
        self._reads[id(job)] = (known, 0)

    def _report(self, now_s: float) -> None:
        """Let every daemon hear of the others' work and prompts."""
        for engine_id in [each.entry.engine_id for each in self.daemons[0].book.all()]:
            views = [daemon.engine(engine_id) for daemon in self.daemons]
            running = sum(view.running for view in views)
            tokens = sum(view.prompt_tokens for view in views)
            for view in views:
                others = PeerLoad(running - view.running, tokens - view.prompt_tokens)
                view.peers = {"others": others}
        told = list(self._told(now_s - REPORT_S))
        for daemon in self.daemons:
            for engine_id, parts in told:
                daemon.placer.note_peer_prompt(daemon.engine(engine_id), parts, CACHE_TOKENS)

    def _told(self, since_s: float) -> Iterator[tuple[str, tuple[PromptPart, ...]]]:
        for daemon in self.daemons:
            yield from daemon.placer.sent_since(since_s)


def _in_aim(job: Job) -> bool:
    if job.first_s is None or job.ended_s is None:
        return False
    return job.first_s + NETWORK_S - job.sent_s <= job.kind.aim_s
