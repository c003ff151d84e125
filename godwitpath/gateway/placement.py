"""Chooses the engine of a request.

A generation goes to the engine with the shortest expected time to the first token: the time to
prefill the prompt tokens that wait there, plus the time to prefill the part of the prompt that is
not in the engine's KV cache. All daemons choose the same preferred engine for a prompt by
rendezvous hashing, so the prompts of a session go to one engine without coordination, and to
another one only when recomputing the prompt there is quicker than waiting. This suits loads of long
prompts with large shared prefixes, where the number of recomputed prompt tokens determines how many
engines are needed. A plain service has no prompts: its requests go to a near engine with few
running requests.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from godwitpath.gateway.engines import Engine, EngineEntry
from godwitpath.gateway.wire_fields import PromptPart
from godwitpath.ranking import score

PREFILL_TOKENS_PER_S = 38_700.0
"""Number of prompt tokens per second that an engine at nominal speed prefills, as the platform's
specification states it."""

DECODE_STEP_S = 0.0055
"""Duration of one decode step of an engine with few running requests, as the platform's
specification states it."""

ZONE_ROUND_TRIP_S = 0.002
"""Round-trip time to another availability zone of the region."""

REGION_ROUND_TRIP_S = 0.04
"""Round-trip time to another region."""

REGION_TRAFFIC_COST_S = 0.05
"""Cost in seconds that a request to another region has besides its round trips: traffic between
regions is billed."""

PREFILL_WEIGHT = 8.0
"""Weight of prefill time relative to waiting time: under load, recomputing a prompt delays about
this many later requests. A second engine prefills a popular document once the wait at the first one
exceeds seven times the prefill time."""

FULL_BATCH_COST_S = 0.1
"""Cost in seconds of a full batch besides the wait for a slot: a full batch lengthens its decode
steps, and the gaps between the events of its streams, by about this time."""

TIE_MARGIN_S = 0.1
"""Cost difference in seconds within which candidates count as equal, so that one is chosen at
random. Load reports are some tenths of a second old, and without this choice all daemons would send
their next requests to the same engine."""

PREFERRED_CACHED_SHARE = 0.5
"""Share of a prompt's shared tokens that its preferred engine is assumed to have cached when
no part of the prompt is known to be cached there."""

MAX_RECENT_PROMPTS = 64
"""Maximum number of recently sent prompts that a daemon reports to the others: the prompts that one
daemon sends in a burst."""

MAX_REPORTED_PARTS = 8
"""Number of leading parts of a prompt that a daemon reports to the others: placement needs the
prefix of a prompt, and prompts share the document and the session before their own parts."""

MAX_PARTS_PER_ENGINE = 4096
"""Maximum number of prompt parts that are tracked in the cache of one engine."""


@dataclass(slots=True)
class PrefixCacheIndex:
    """Estimate of the prompt parts in an engine's KV cache, with eviction in LRU order.

    :ivar capacity_tokens: size of the engine's KV cache in tokens
    :ivar parts: number of tokens by part id, least recently used first
    :ivar total_tokens: number of tokens of all parts together
    """

    capacity_tokens: int
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    total_tokens: int = 0

    def add(self, parts: Iterable[PromptPart]) -> None:
        """Add the parts of a prompt that was sent to the engine, and evict old parts."""
        for part in parts:
            previous_tokens = self.parts.pop(part.part_id, 0)
            self.parts[part.part_id] = part.tokens
            self.total_tokens += part.tokens - previous_tokens
        while self.parts and (
            self.total_tokens > self.capacity_tokens or len(self.parts) > MAX_PARTS_PER_ENGINE
        ):
            _, tokens = self.parts.popitem(last=False)
            self.total_tokens -= tokens

    def cached_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Return the number of leading tokens of a prompt that the engine has cached."""
        tokens = 0
        for part in parts:
            if part.part_id not in self.parts:
                break
            tokens += part.tokens
        return tokens


@dataclass(slots=True, frozen=True)
class Prompt:
    """Properties of a generation that its placement depends on.

    :ivar tokens: number of prompt tokens
    :ivar output_tokens: expected number of generated tokens
    :ivar parts: parts of the prompt in order; the last part belongs to this request only
    """

    tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share."""
        return tuple(part.part_id for part in self.shared_parts)

    @property
    def own_tokens(self) -> int:
        """Number of tokens that no other request shares."""
        return self.parts[-1].tokens if self.parts else 0

    @property
    def affinity_key(self) -> str:
        """Key for prefix affinity, the same for all requests of a session or document."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""


@dataclass(slots=True, frozen=True)
class Candidate:
    """A candidate engine for a generation.

    :ivar prefill_tokens: prompt tokens that the engine has to prefill
    :ivar first_token_s: expected time until the first token
    :ivar cost: cost in seconds by which candidates are ranked, the lowest first
    """

    engine: Engine
    prefill_tokens: int
    first_token_s: float
    cost: float


class Placer:
    """Ranks engines for the requests of one daemon.

    :param zone: availability zone of the daemon
    :param region: region of the daemon
    :param region_of: region by availability zone
    :ivar prefill_tokens: prompt tokens that this daemon has sent to engines for prefill since its
        start, by service
    """

    def __init__(self, zone: str, region: str, region_of: dict[str, str], rng: Random) -> None:
        self._zone = zone
        self._region = region
        self._region_of = region_of
        self._rng = rng
        self._prefix_caches: dict[tuple[str, int], PrefixCacheIndex] = {}
        self.prefill_tokens: dict[str, int] = {}
        self._recent_prompts: deque[tuple[float, str, tuple[PromptPart, ...]]] = deque(
            maxlen=MAX_RECENT_PROMPTS
        )

    def rank_for_generation(
        self, prompt: Prompt, engines: Sequence[Engine], cache_tokens: int
    ) -> list[Candidate]:
        """Return the candidate engines for a generation, the best first.

        :param cache_tokens: size of the KV cache of each engine in tokens
        """
        preferred_id = ""
        if prompt.affinity_key and engines:
            preferred = max(
                engines, key=lambda each: score(prompt.affinity_key, each.entry.engine_id)
            )
            preferred_id = preferred.entry.engine_id
        candidates = [
            self._evaluate(prompt, engine, preferred_id, cache_tokens) for engine in engines
        ]
        candidates.sort(key=lambda candidate: candidate.cost)
        tied = [
            candidate
            for candidate in candidates
            if candidate.cost <= candidates[0].cost + TIE_MARGIN_S
        ]
        if len(tied) > 1:
            chosen = self._rng.choice(tied)
            candidates.remove(chosen)
            candidates.insert(0, chosen)
        return candidates

    def rank_for_call(self, engines: Sequence[Engine]) -> list[Engine]:
        """Return the engines for a request of a plain service, the best first."""

        def cost(engine: Engine) -> float:
            slots = max(1, engine.entry.slots)
            slot_use = engine.all_running / slots
            return self.distance_s(engine) + max(0.0, slot_use - 0.5) + 0.01 * engine.all_running

        return sorted(engines, key=cost)

    def note_sent(
        self, prompt: Prompt, engine: Engine, prefill_tokens: int, cache_tokens: int
    ) -> None:
        """Record that this daemon sent a prompt to an engine."""
        service = engine.entry.service
        self.prefill_tokens[service] = self.prefill_tokens.get(service, 0) + prefill_tokens
        self._prefix_cache(engine, cache_tokens).add(prompt.parts)
        if prompt.shared_parts:
            now_s = asyncio.get_running_loop().time()
            self._recent_prompts.append((now_s, engine.entry.engine_id, prompt.shared_parts))

    def sent_since(self, since_at_s: float) -> list[tuple[str, tuple[PromptPart, ...]]]:
        """Return the engine id and the leading shared parts of each generation sent since a time.

        :param since_at_s: loop time
        :returns: at most :data:`MAX_REPORTED_PARTS` parts of each
        """
        return [
            (engine_id, parts[:MAX_REPORTED_PARTS])
            for at_s, engine_id, parts in self._recent_prompts
            if at_s >= since_at_s
        ]

    def note_peer_prompt(
        self, engine: Engine, parts: Iterable[PromptPart], cache_tokens: int
    ) -> None:
        """Record a prompt that another daemon sent to an engine."""
        self._prefix_cache(engine, cache_tokens).add(parts)

    def forget(self, entry: EngineEntry) -> None:
        """Drop the estimated KV cache of a removed engine."""
        self._prefix_caches.pop(_key(entry), None)

    def distance_s(self, engine: Engine) -> float:
        """Return the round-trip time to an engine in seconds, 0 within the zone."""
        if engine.entry.zone == self._zone:
            return 0.0
        if self._region_of.get(engine.entry.zone, "") == self._region:
            return ZONE_ROUND_TRIP_S
        return REGION_ROUND_TRIP_S

    def _evaluate(
        self, prompt: Prompt, engine: Engine, preferred_id: str, cache_tokens: int
    ) -> Candidate:
        cached_tokens = self._prefix_cache(engine, cache_tokens).cached_tokens(prompt.parts)
        shared_tokens = sum(part.tokens for part in prompt.shared_parts)
        if not cached_tokens and engine.entry.engine_id == preferred_id:
            cached_tokens = int(shared_tokens * PREFERRED_CACHED_SHARE)
        prefill_tokens = max(0, prompt.tokens - cached_tokens)
        slowdown = max(0.5, engine.slowdown)
        slots = max(1, engine.entry.slots)
        running_requests = engine.all_running
        queued_requests = max(0, running_requests + 1 - slots)
        # An engine without a free batch slot queues a request until a running request ends.
        wait_s = (
            engine.all_prompt_tokens / PREFILL_TOKENS_PER_S + queued_requests * DECODE_STEP_S * 20
        )
        first_token_s = (wait_s + prefill_tokens / PREFILL_TOKENS_PER_S + DECODE_STEP_S) * slowdown
        distance_s = self.distance_s(engine)
        first_token_s += distance_s * 2
        prefill_cost_s = (PREFILL_WEIGHT - 1) * prefill_tokens / PREFILL_TOKENS_PER_S * slowdown
        # A prefill also delays the tokens of the streams that run in the same batch.
        batch_fill = running_requests / slots
        cost = first_token_s + prefill_cost_s + FULL_BATCH_COST_S * batch_fill
        if distance_s >= REGION_ROUND_TRIP_S:
            cost += REGION_TRAFFIC_COST_S
        return Candidate(engine, prefill_tokens, first_token_s, cost)

    def _prefix_cache(self, engine: Engine, cache_tokens: int) -> PrefixCacheIndex:
        key = _key(engine.entry)
        prefix_cache = self._prefix_caches.get(key)
        if prefix_cache is None:
            prefix_cache = self._prefix_caches[key] = PrefixCacheIndex(cache_tokens)
        return prefix_cache


def _key(entry: EngineEntry) -> tuple[str, int]:
    return entry.engine_id, entry.started_at_ms
