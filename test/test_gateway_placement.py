"""Placement of requests on engines, under different loads."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import pytest

from godwitpath.gateway.engines import Engine, EngineEntry, EngineRegistry, EngineState
from godwitpath.gateway.placement import Candidate, Placer, PrefixCacheIndex, Prompt
from godwitpath.gateway.wire_fields import PromptPart
from godwitpath.ports.engine import Address
from test.engine_model import ModelClock, ModelFleet


def engines(count: int, zones: str = "abc", slots: int = 64) -> list[EngineEntry]:
    return [
        EngineEntry(
            f"e{n}", "lm", Address("h", n), zones[n % len(zones)], EngineState.READY, slots, 1
        )
        for n in range(count)
    ]


def prompt(document: int, own: int = 2000) -> Prompt:
    parts = (
        PromptPart(f"common{document % 4}", 2500),
        PromptPart(f"document{document}", 3800),
        PromptPart(f"own{own}{document}", own),
    )
    return Prompt(2500 + 3800 + own, 50, parts)


@pytest.mark.looptime
class TestPlacement:
    async def test_daemons_choose_the_same_engine_without_coordination(self) -> None:
        """Guards against prefill of one document at several engines that the daemons chose."""
        registry = EngineRegistry()
        for entry in engines(5, "a"):
            registry.put(entry)
        chosen = set()
        for _ in range(6):
            placer = Placer("a", "r", {"a": "r"}, Random(1))
            candidate = placer.rank_for_generation(prompt(7), registry.usable("lm", 0.0), 232_000)[
                0
            ]
            chosen.add(candidate.engine.entry.engine_id)
        assert len(chosen) == 1

    async def test_overloaded_preferred_engine_is_avoided(self) -> None:
        """Guards against requests that queue at a busy preferred engine, or leave it too early.

        Recomputing the prompt at another engine also delays later requests there, which here
        counts as 1.7 s.
        """
        registry = EngineRegistry()
        for entry in engines(3, "a"):
            registry.put(entry)
        placer = Placer("a", "r", {"a": "r"}, Random(1))
        preferred = placer.rank_for_generation(prompt(7), registry.usable("lm", 0.0), 232_000)[
            0
        ].engine
        placer.note_sent(prompt(7), preferred, 8000, 232_000)
        preferred.prompt_tokens = 3000
        assert (
            placer.rank_for_generation(prompt(7), registry.usable("lm", 0.0), 232_000)[0].engine
            is preferred
        )
        preferred.prompt_tokens = 30_000
        assert (
            placer.rank_for_generation(prompt(7), registry.usable("lm", 0.0), 232_000)[0].engine
            is preferred
        )
        preferred.prompt_tokens = 80_000
        other = placer.rank_for_generation(prompt(7), registry.usable("lm", 0.0), 232_000)[0]
        assert other.engine is not preferred

    async def test_new_idle_engine_is_used_at_once(self) -> None:
        """Guards against a new engine that stays idle, because it has no cached prefixes."""
        registry = EngineRegistry()
        for entry in engines(2, "a"):
            registry.put(entry)
        for engine in registry.all():
            engine.prompt_tokens = 20_000
        placer = Placer("a", "r", {"a": "r"}, Random(1))
        new = EngineEntry("new", "lm", Address("h", 9), "a", EngineState.READY, 64, 2)
        registry.put(new)
        usable = registry.usable("lm", 0.0)
        unshared_prompt = Prompt(8300, 50, (PromptPart("alone", 8300),))
        assert placer.rank_for_generation(unshared_prompt, usable, 232_000)[0].engine.entry is new
        # A prompt goes to its preferred engine only while the wait there costs less time than
        # recomputing the prompt at another engine.
        for engine in registry.all():
            engine.prompt_tokens = 0 if engine.entry is new else 40_000
        assert placer.rank_for_generation(prompt(3), usable, 232_000)[0].engine.entry is new

    async def test_prefix_affinity_reduces_recomputed_tokens_under_the_heaviest_load(self) -> None:
        """Guards against recomputing shared prefixes at every engine, as placement by load does.

        Compares placement by prefix affinity with placement at the engine with the least load, for
        35 prompts per second from 160 documents at five engines.
        """

        def total_prefilled(affinity: bool) -> int:
            rng, total = Random(11), 0
            registry = EngineRegistry()
            for entry in engines(5, "a"):
                registry.put(entry)
            placers = [Placer("a", "r", {"a": "r"}, Random(1)) for _ in range(6)]
            kv_caches = {
                entry.entry.engine_id: PrefixCacheIndex(180_000) for entry in registry.all()
            }
            for number in range(2000):
                for engine in registry.all():
                    engine.prompt_tokens = max(0, engine.prompt_tokens - 38_700 // 35)
                next_prompt = prompt(int(160 * rng.random() ** 1.3), 1000 + number)
                placer = rng.choice(placers)
                usable = registry.usable("lm", 0.0)
                if affinity:
                    chosen = placer.rank_for_generation(next_prompt, usable, 232_000)[0].engine
                    for each in placers:
                        each.note_peer_prompt(chosen, next_prompt.shared_parts, 232_000)
                else:
                    chosen = min(usable, key=lambda each: each.prompt_tokens)
                kv_cache = kv_caches[chosen.entry.engine_id]
                prefilled = next_prompt.tokens - kv_cache.cached_tokens(next_prompt.parts)
                kv_cache.add(next_prompt.parts)
                chosen.prompt_tokens += prefilled
                total += prefilled
            return total

        assert total_prefilled(affinity=True) < 0.75 * total_prefilled(affinity=False)

    async def test_plain_request_leaves_its_zone_only_when_the_zone_is_busy(self) -> None:
        """Guards against plain requests that leave their zone needlessly or overload it."""
        registry = EngineRegistry()
        for entry in engines(3, slots=6):
            registry.put(entry)
        placer = Placer("a", "r", {"a": "r", "b": "r", "c": "far"}, Random(1))
        usable = registry.usable("lm", 0.0)
        assert placer.rank_for_call(usable)[0].entry.zone == "a"
        usable[0].running_requests = 8
        assert placer.rank_for_call(usable)[0].entry.zone == "b"


RANK_BY_PREFIX_AND_LOAD = Placer.rank_for_generation
SHUFFLE_RNG = Random(5)


RankFunction = Callable[[Placer, Prompt, Sequence[Engine], int], list[Candidate]]


def rank_by_load(load: Callable[[Engine], int]) -> RankFunction:
    """Return a baseline placement that ranks engines by one load figure only."""

    def rank(
        placer: Placer, prompt: Prompt, engines: Sequence[Engine], cache_tokens: int
    ) -> list[Candidate]:
        candidates = RANK_BY_PREFIX_AND_LOAD(placer, prompt, engines, cache_tokens)
        SHUFFLE_RNG.shuffle(candidates)
        return sorted(candidates, key=lambda candidate: load(candidate.engine))

    return rank


RANK_BY_WAITING_TOKENS = rank_by_load(lambda engine: engine.all_prompt_tokens)
RANK_BY_RUNNING_REQUESTS = rank_by_load(lambda engine: engine.all_running)


def simulate_fleet(
    monkeypatch: pytest.MonkeyPatch, fleet: ModelFleet, rank: RankFunction = RANK_BY_PREFIX_AND_LOAD
) -> ModelFleet:
    """Simulate a fleet for eight seconds and return it."""
    clock = ModelClock()
    monkeypatch.setattr("godwitpath.gateway.placement.asyncio", clock)
    monkeypatch.setattr(Placer, "rank_for_generation", rank)
    fleet.simulate(8.0, clock)
    return fleet


class TestHeaviestLoad:
    """Load of the large deployments on the engine model, whose daemons report every 0.4 s."""

    @pytest.mark.parametrize(
        ("engines", "daemons", "slots", "load"),
        [
            pytest.param(16, 30, 64, 1.0, id="half of 30 engines reclaimed"),
            pytest.param(30, 84, 32, 1.6, id="a third of 45 engines reclaimed"),
        ],
    )
    def test_more_responses_in_time_and_fewer_recomputed_tokens_than_the_baselines(
        self, monkeypatch: pytest.MonkeyPatch, engines: int, daemons: int, slots: int, load: float
    ) -> None:
        """Guards against a placement that wastes prefill capacity, which is scarce after a reclaim.

        The baselines rank engines by waiting prompt tokens or by running requests alone.
        """
        prefix_aware, waiting, outstanding = (
            simulate_fleet(monkeypatch, ModelFleet(engines, daemons, slots=slots, load=load), rank)
            for rank in (RANK_BY_PREFIX_AND_LOAD, RANK_BY_WAITING_TOKENS, RANK_BY_RUNNING_REQUESTS)
        )
        assert prefix_aware.share_on_time() >= waiting.share_on_time()
        assert prefix_aware.share_on_time() >= 1.5 * outstanding.share_on_time()
        assert prefix_aware.share_completed() >= 0.99
        assert prefix_aware.prefilled_tokens_total() < 0.95 * waiting.prefilled_tokens_total()

    def test_95_percent_in_time_with_enough_engines(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against daemons that all choose the same engines from the same outdated reports.

        The fleet has 45 engines and 84 daemons.
        """
        fleet = simulate_fleet(monkeypatch, ModelFleet(45, 84, slots=32, load=1.6))
        assert fleet.share_on_time() >= 0.95

    def test_new_engines_get_their_share_of_the_load_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against new engines that stay idle, because they have no cached prefixes."""
        fleet = simulate_fleet(monkeypatch, ModelFleet(14, 30, joining=7, joining_at_s=4.0))
        new = {f"e{number}" for number in range(14, 21)}
        assert fleet.share_placed(new, 3.0, 4.0) == 0.0
        assert fleet.share_placed(new, 4.0, 4.5) >= 7 / 21
        assert fleet.share_placed(new, 4.5, 8.0) >= 0.8 * 7 / 21
