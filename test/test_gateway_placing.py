"""Which engine gets a request, under which load."""

from __future__ import annotations

from random import Random

import pytest

from godwitpath.gateway.calls import PromptPart
from godwitpath.gateway.engines import EngineBook, EngineEntry, EngineState
from godwitpath.gateway.placing import Placer, PrefixMemory, Prompt
from godwitpath.ports.engine import Address


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
            placer = Placer("a", "r", {"a": "r"})
            place = placer.place_generation(prompt(7), book.usable("lm", 0.0), 232_000)[0]
            chosen.add(place.engine.entry.engine_id)
        assert len(chosen) == 1

    async def test_a_busy_home_is_left_when_reading_again_is_quicker(self) -> None:
        book = EngineBook()
        for entry in engines(3, "a"):
            book.put(entry)
        placer = Placer("a", "r", {"a": "r"})
        home = placer.place_generation(prompt(7), book.usable("lm", 0.0), 232_000)[0].engine
        placer.note_sent(prompt(7), home, 8000, 232_000)
        home.prompt_tokens = 3000
        assert placer.place_generation(prompt(7), book.usable("lm", 0.0), 232_000)[0].engine is home
        home.prompt_tokens = 30_000
        other = placer.place_generation(prompt(7), book.usable("lm", 0.0), 232_000)[0]
        assert other.engine is not home

    async def test_a_new_and_empty_engine_is_used_at_once(self) -> None:
        book = EngineBook()
        for entry in engines(2, "a"):
            book.put(entry)
        for engine in book.all():
            engine.prompt_tokens = 20_000
        placer = Placer("a", "r", {"a": "r"})
        new = EngineEntry("new", "lm", Address("h", 9), "a", EngineState.READY, 64, 2)
        book.put(new)
        places = placer.place_generation(prompt(3), book.usable("lm", 0.0), 232_000)
        assert places[0].engine.entry is new

    async def test_tokens_read_again_under_the_heaviest_load(self) -> None:
        """35 prompts a second of 160 documents, five engines: affinity against least work."""

        def read_tokens(affinity: bool) -> int:
            rng, total = Random(11), 0
            book = EngineBook()
            for entry in engines(5, "a"):
                book.put(entry)
            placers = [Placer("a", "r", {"a": "r"}) for _ in range(6)]
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
        placer = Placer("a", "r", {"a": "r", "b": "r", "c": "far"})
        usable = book.usable("lm", 0.0)
        assert placer.place_call(usable)[0].entry.zone == "a"
        usable[0].running = 8
        assert placer.place_call(usable)[0].entry.zone == "b"
