"""Which engine gets a request, under which load."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import pytest

from godwitpath.gateway.calls import PromptPart
from godwitpath.gateway.engines import Engine, EngineBook, EngineEntry, EngineState
from godwitpath.gateway.placing import Place, Placer, PrefixMemory, Prompt
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
class TestPlacing:
    async def test_daemons_send_a_document_to_one_engine_without_talking(self) -> None:
        book = EngineBook()
        for entry in engines(5, "a"):
            book.put(entry)
        chosen = set()
        for _ in range(6):
            placer = Placer("a", "r", {"a": "r"}, Random(1))
            place = placer.place_generation(prompt(7), book.usable("lm", 0.0), 232_000)[0]
            chosen.add(place.engine.entry.engine_id)
        assert len(chosen) == 1

    async def test_a_busy_home_is_left_when_the_wait_is_worse_than_reading_again(self) -> None:
        """Reading again delays those that come after as well: here it counts for 1.7 s."""
        book = EngineBook()
        for entry in engines(3, "a"):
            book.put(entry)
        placer = Placer("a", "r", {"a": "r"}, Random(1))
        home = placer.place_generation(prompt(7), book.usable("lm", 0.0), 232_000)[0].engine
        placer.note_sent(prompt(7), home, 8000, 232_000)
        home.prompt_tokens = 3000
        assert placer.place_generation(prompt(7), book.usable("lm", 0.0), 232_000)[0].engine is home
        home.prompt_tokens = 30_000
        assert placer.place_generation(prompt(7), book.usable("lm", 0.0), 232_000)[0].engine is home
        home.prompt_tokens = 80_000
        other = placer.place_generation(prompt(7), book.usable("lm", 0.0), 232_000)[0]
        assert other.engine is not home

    async def test_a_new_and_empty_engine_is_used_at_once(self) -> None:
        book = EngineBook()
        for entry in engines(2, "a"):
            book.put(entry)
        for engine in book.all():
            engine.prompt_tokens = 20_000
        placer = Placer("a", "r", {"a": "r"}, Random(1))
        new = EngineEntry("new", "lm", Address("h", 9), "a", EngineState.READY, 64, 2)
        book.put(new)
        usable = book.usable("lm", 0.0)
        alone = Prompt(8300, 50, (PromptPart("alone", 8300),))
        assert placer.place_generation(alone, usable, 232_000)[0].engine.entry is new
        # A document whose home may hold it waits there for less than reading it again costs.
        for engine in book.all():
            engine.prompt_tokens = 0 if engine.entry is new else 40_000
        assert placer.place_generation(prompt(3), usable, 232_000)[0].engine.entry is new

    async def test_tokens_read_again_under_the_heaviest_load(self) -> None:
        """35 prompts a second of 160 documents, five engines: affinity against least work."""

        def read_tokens(affinity: bool) -> int:
            rng, total = Random(11), 0
            book = EngineBook()
            for entry in engines(5, "a"):
                book.put(entry)
            placers = [Placer("a", "r", {"a": "r"}, Random(1)) for _ in range(6)]
            held = {entry.entry.engine_id: PrefixMemory(180_000) for entry in book.all()}
            for number in range(2000):
                for engine in book.all():
                    engine.prompt_tokens = max(0, engine.prompt_tokens - 38_700 // 35)
                one = prompt(int(160 * rng.random() ** 1.3), 1000 + number)
                placer = rng.choice(placers)
                usable = book.usable("lm", 0.0)
                if affinity:
                    chosen = placer.place_generation(one, usable, 232_000)[0].engine
                    for each in placers:
                        each.note_peer_prompt(chosen, one.shared, 232_000)
                else:
                    chosen = min(usable, key=lambda each: each.prompt_tokens)
                memory = held[chosen.entry.engine_id]
                read = one.tokens - memory.held(one.parts)
                memory.note(one.parts)
                chosen.prompt_tokens += read
                total += read
            return total

        assert read_tokens(affinity=True) < 0.75 * read_tokens(affinity=False)

    async def test_a_plain_call_stays_in_its_zone_until_that_is_busy(self) -> None:
        book = EngineBook()
        for entry in engines(3, slots=6):
            book.put(entry)
        placer = Placer("a", "r", {"a": "r", "b": "r", "c": "far"}, Random(1))
        usable = book.usable("lm", 0.0)
        assert placer.place_call(usable)[0].entry.zone == "a"
        usable[0].running = 8
        assert placer.place_call(usable)[0].entry.zone == "b"


PLACE = Placer.place_generation
RNG = Random(5)


PlaceFunction = Callable[[Placer, Prompt, Sequence[Engine], int], list[Place]]


def least(load: Callable[[Engine], int]) -> PlaceFunction:
    """Return a placing by one figure of each engine alone, the baseline."""

    def place(
        placer: Placer, prompt: Prompt, engines: Sequence[Engine], cache_tokens: int
    ) -> list[Place]:
        places = PLACE(placer, prompt, engines, cache_tokens)
        RNG.shuffle(places)
        return sorted(places, key=lambda place: load(place.engine))

    return place


LEAST_WAITING = least(lambda engine: engine.all_prompt_tokens)
LEAST_OUTSTANDING = least(lambda engine: engine.all_running)


def played(
    monkeypatch: pytest.MonkeyPatch, fleet: ModelFleet, place: PlaceFunction = PLACE
) -> ModelFleet:
    """Play a fleet for eight seconds."""
    clock = ModelClock()
    monkeypatch.setattr("godwitpath.gateway.placing.asyncio", clock)
    monkeypatch.setattr(Placer, "place_generation", place)
    fleet.play(8.0, clock)
    return fleet


class TestHeaviestLoad:
    """The grown deployments' load on the model of its engines, with reports that are 0.4 s old."""

    @pytest.mark.parametrize(
        ("engines", "daemons", "slots", "load"),
        [
            pytest.param(16, 30, 64, 1.0, id="half of 30 engines reclaimed"),
            pytest.param(30, 84, 32, 1.6, id="a third of 45 engines reclaimed"),
        ],
    )
    def test_more_are_answered_in_time_and_less_is_read_again(
        self, monkeypatch: pytest.MonkeyPatch, engines: int, daemons: int, slots: int, load: float
    ) -> None:
        ours, waiting, outstanding = (
            played(monkeypatch, ModelFleet(engines, daemons, slots=slots, load=load), place)
            for place in (PLACE, LEAST_WAITING, LEAST_OUTSTANDING)
        )
        assert ours.share_in_aim() >= waiting.share_in_aim()
        assert ours.share_in_aim() >= 1.5 * outstanding.share_in_aim()
        assert ours.share_ended() >= 0.99
        assert ours.read_tokens() < 0.95 * waiting.read_tokens()

    def test_with_engines_enough_95_in_100_are_in_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """45 engines behind 84 daemons, which all hear the same old news of them."""
        fleet = played(monkeypatch, ModelFleet(45, 84, slots=32, load=1.6))
        assert fleet.share_in_aim() >= 0.95

    def test_engines_that_join_have_their_share_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        fleet = played(monkeypatch, ModelFleet(14, 30, joining=7, joins_s=4.0))
        new = {f"e{number}" for number in range(14, 21)}
        assert fleet.share_placed(new, 3.0, 4.0) == 0.0
        assert fleet.share_placed(new, 4.0, 4.5) >= 7 / 21
        assert fleet.share_placed(new, 4.5, 8.0) >= 0.8 * 7 / 21
