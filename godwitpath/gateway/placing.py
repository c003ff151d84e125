"""Chooses the engine of a request.

A generation goes where its first token is expected soonest: behind the prompt tokens that wait at
an engine, after reading what the engine does not hold of its prompt. Every daemon ranks engines
for a prompt alike, so without a word between them a session's prompts meet at one engine, and
move on only when reading the prompt again elsewhere is quicker than the wait. This answers loads
of long prompts that share much: there the tokens read again decide how many engines are needed.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from godwitpath.gateway.calls import PromptPart
from godwitpath.gateway.engines import Engine, EngineEntry
from godwitpath.ranking import score

READ_TOKENS_PER_S = 38_700.0
"""Prompt tokens that an engine reads a second, until measured: the platform's sheet."""

STEP_S = 0.0055
"""Time of an engine's step with few requests: the platform's sheet."""

OTHER_ZONE_S = 0.002
"""Round trip to another availability zone of the region."""

OTHER_REGION_S = 0.04
"""Round trip to another region."""

FOREIGN_REGION_COST_S = 0.05
"""What a request to another region costs beside its time: bytes between regions are paid for."""

READ_WEIGHT = 8.0
"""Weight of the time to read a prompt against the time it waits: under load, reading again delays
about so many others that come after. Where one document is much asked for, a second engine reads it
once the first keeps requests waiting for seven times the reading."""

CROWDING_S = 0.1
"""What a full batch counts as beside the wait: its steps, and the pauses of its streams, are
longer by about that much."""

NEAR_S = 0.1
"""Difference within which places count as equally good, and one is taken at random: reports are
some tenths of a second old, and all daemons would send what comes meanwhile to the same engine."""

HOME_BONUS = 0.5
"""Part of a prompt's shared tokens that its home engine is taken to hold when nothing is known."""

TOLD_PROMPTS = 64
"""Most prompts of the last moment that other daemons are told of: a daemon's share of a burst."""

REMEMBERED_PARTS = 4096
"""Prompt parts remembered for each engine."""


@dataclass(slots=True)
class PrefixMemory:
    """Which prompt parts an engine has lately read for this daemon.

    :ivar capacity_tokens: tokens that the engine can hold
    """

    capacity_tokens: int
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    held_tokens: int = 0

    def note(self, parts: Iterable[PromptPart]) -> None:
        """Remember the parts of a prompt that was sent."""
        for part in parts:
            old = self.parts.pop(part.part_id, 0)
            self.parts[part.part_id] = part.tokens
            self.held_tokens += part.tokens - old
        while self.parts and (
            self.held_tokens > self.capacity_tokens or len(self.parts) > REMEMBERED_PARTS
        ):
            _, tokens = self.parts.popitem(last=False)
            self.held_tokens -= tokens

    def held(self, parts: Iterable[PromptPart]) -> int:
        """Return how many leading tokens of a prompt the engine holds."""
        tokens = 0
        for part in parts:
            if part.part_id not in self.parts:
                break
            tokens += part.tokens
        return tokens


@dataclass(slots=True, frozen=True)
class Prompt:
    """What placing needs to know of a generation.

    :ivar tokens: prompt tokens
    :ivar output_tokens: tokens expected to be generated
    """

    tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests have too."""
        return self.parts[:-1]

    @property
    def home_key(self) -> str:
        """What the requests of one session or document have in common."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""


@dataclass(slots=True, frozen=True)
class Place:
    """An engine with what is expected there.

    :ivar read_tokens: prompt tokens that it has to read
    :ivar first_token_s: time until the first token
    """

    engine: Engine
    read_tokens: int
    first_token_s: float
    weight: float


class Placer:
    """Chooses engines for one daemon.

    :ivar read_tokens: prompt tokens given to engines to read since the start, by service
    """

    def __init__(self, zone: str, region: str, region_of: dict[str, str], rng: Random) -> None:
        self._zone = zone
        self._region = region
        self._region_of = region_of
        self._rng = rng
        self._memories: dict[tuple[str, int], PrefixMemory] = {}
        self.read_tokens: dict[str, int] = {}
        self._told: deque[tuple[float, str, tuple[PromptPart, ...]]] = deque(maxlen=TOLD_PROMPTS)

    def place_generation(
        self, prompt: Prompt, engines: Sequence[Engine], cache_tokens: int
    ) -> list[Place]:
        """Return the engines for a generation, the best first."""
        home = ""
        if prompt.home_key and engines:
            best = max(engines, key=lambda each: score(prompt.home_key, each.entry.engine_id))
            home = best.entry.engine_id
        places = [self._expect(prompt, engine, home, cache_tokens) for engine in engines]
        places.sort(key=lambda place: place.weight)
        near = [place for place in places if place.weight <= places[0].weight + NEAR_S]
        if len(near) > 1:
            chosen = self._rng.choice(near)
            places.remove(chosen)
            places.insert(0, chosen)
        return places

    def place_call(self, engines: Sequence[Engine]) -> list[Engine]:
        """Return the engines for a call of a plain service, the best first."""

        def weight(engine: Engine) -> float:
            slots = max(1, engine.entry.slots)
            queue = engine.all_running / slots
            return self.distance_s(engine) + max(0.0, queue - 0.5) + 0.01 * engine.all_running

        return sorted(engines, key=weight)

    def note_sent(
        self, prompt: Prompt, engine: Engine, read_tokens: int, cache_tokens: int
    ) -> None:
        """Remember that an engine reads a prompt."""
        service = engine.entry.service
        self.read_tokens[service] = self.read_tokens.get(service, 0) + read_tokens
        self._memory(engine, cache_tokens).note(prompt.parts)
        if prompt.shared:
            now_s = asyncio.get_running_loop().time()
            self._told.append((now_s, engine.entry.engine_id, prompt.shared))

    def sent_since(self, since_s: float) -> list[tuple[str, tuple[PromptPart, ...]]]:
        """Return engines with the shared prompt parts that they were given since a loop time."""
        return [(engine_id, parts) for at_s, engine_id, parts in self._told if at_s >= since_s]

    def note_peer_prompt(
        self, engine: Engine, parts: Iterable[PromptPart], cache_tokens: int
    ) -> None:
        """Remember that an engine read a prompt for another daemon."""
        self._memory(engine, cache_tokens).note(parts)

    def forget(self, entry: EngineEntry) -> None:
        """Drop what was remembered of an engine that is gone."""
        self._memories.pop(_key(entry), None)

    def distance_s(self, engine: Engine) -> float:
        """Return the time to an engine and back, with what its bytes cost."""
        if engine.entry.zone == self._zone:
            return 0.0
        if self._region_of.get(engine.entry.zone, "") == self._region:
            return OTHER_ZONE_S
        return OTHER_REGION_S

    def _expect(self, prompt: Prompt, engine: Engine, home: str, cache_tokens: int) -> Place:
        held = self._memory(engine, cache_tokens).held(prompt.parts)
        shared = sum(part.tokens for part in prompt.shared)
        if not held and engine.entry.engine_id == home:
            held = int(shared * HOME_BONUS)
        read_tokens = max(0, prompt.tokens - held)
        pace = max(0.5, engine.pace)
        slots = max(1, engine.entry.slots)
        running = engine.all_running
        over = max(0, running + 1 - slots)
        # Beyond its slots an engine lets a request wait for one that ends.
        wait_s = engine.all_prompt_tokens / READ_TOKENS_PER_S + over * STEP_S * 20
        first_s = (wait_s + read_tokens / READ_TOKENS_PER_S + STEP_S) * pace
        distance_s = self.distance_s(engine)
        first_s += distance_s * 2
        burden_s = (READ_WEIGHT - 1) * read_tokens / READ_TOKENS_PER_S * pace
        # Reading a prompt also delays the tokens of the streams that run beside it.
        crowding = running / slots
        weight = first_s + burden_s + CROWDING_S * crowding
        if distance_s >= OTHER_REGION_S:
            weight += FOREIGN_REGION_COST_S
        return Place(engine, read_tokens, first_s, weight)

    def _memory(self, engine: Engine, cache_tokens: int) -> PrefixMemory:
        key = _key(engine.entry)
        memory = self._memories.get(key)
        if memory is None:
            memory = self._memories[key] = PrefixMemory(cache_tokens)
        return memory


def _key(entry: EngineEntry) -> tuple[str, int]:
    return entry.engine_id, entry.started_at_ms
