"""Guards against unbounded memory for remembered prefix blocks when there are many engines."""

from __future__ import annotations

from godwitpath.routing.load_tracker import MAX_TOTAL_BLOCKS, LoadTracker

ENGINES = 1100
CALLS = 12
BLOCKS = 64


def test_remembered_blocks_of_all_engines_are_bounded() -> None:
    tracker = LoadTracker()
    tracker.views([], 0.0)
    calls = [
        tracker.started(
            f"engine-{n % ENGINES}", 100, 0.0, blocks=[f"{n}-{b}" for b in range(BLOCKS)]
        )
        for n in range(ENGINES * CALLS)
    ]
    for call in calls:
        tracker.first_token(call, 0, 1.0)
    remembered_blocks = sum(engine["held_blocks"] for engine in tracker.dump()["engines"].values())
    assert ENGINES * CALLS * BLOCKS > MAX_TOTAL_BLOCKS
    assert remembered_blocks <= MAX_TOTAL_BLOCKS
