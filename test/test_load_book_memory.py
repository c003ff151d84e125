"""Memory of the load book does not grow with the fleet."""

from __future__ import annotations

from godwitpath.routing.book import ALL_MEMORY_BLOCKS, LoadBook

ENGINES = 1100
CALLS = 12
BLOCKS = 64


def test_blocks_of_all_engines_together_are_bounded() -> None:
    book = LoadBook()
    book.views([], 0.0)
    calls = [
        book.started(f"engine-{n % ENGINES}", 100, 0.0, blocks=[f"{n}-{b}" for b in range(BLOCKS)])
        for n in range(ENGINES * CALLS)
    ]
    for call in calls:
        book.first_token(call, 0, 1.0)
    held = sum(engine["held_blocks"] for engine in book.dump()["engines"].values())
    assert ENGINES * CALLS * BLOCKS > ALL_MEMORY_BLOCKS
    assert held <= ALL_MEMORY_BLOCKS
