"""The engine stand-in: batching, cache, continuation and cancel on the paused clock."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from godwitpath.adapters.engine_wire import CallExtension
from godwitpath.ports.engine import EngineOrder
from godwitpath_standin.engine_core import EngineCore, EngineParameters, EngineQueueFull, Sequence
from godwitpath_standin.engine_orders import EngineOrders, LoadedModel, StaleFencingToken
from godwitpath_standin.prefix_cache import PrefixCache, block_digests
from godwitpath_standin.text import expected_text

pytestmark = pytest.mark.looptime

LONG_PROMPT = "word " * 4000


def core(**changes: Any) -> EngineCore:
    return EngineCore(EngineParameters(**changes), random.Random(1))


def body(prompt: str, tokens: int = 10) -> dict[str, Any]:
    return {"model": "m", "prompt": prompt, "max_tokens": tokens}


def start(engine: EngineCore, given: dict[str, Any], priority: int = 0) -> Sequence:
    return engine.start(given, False, CallExtension("a", priority=priority))


async def end_of(sequence: Sequence) -> float:
    while not sequence.finish_reason:
        await sequence.changed.wait()
    return asyncio.get_running_loop().time()


async def test_the_time_of_a_token_grows_with_the_batch() -> None:
    loop = asyncio.get_running_loop()
    durations: list[float] = []
    for batch in (1, 40):
        engine = core()
        began_s = loop.time()
        sequences = [start(engine, body(f"{n}")) for n in range(batch)]
        durations.append(max([await end_of(sequence) for sequence in sequences]) - began_s)
    assert durations[1] > 1.5 * durations[0]


async def test_a_prompt_read_again_is_taken_from_the_cache() -> None:
    loop = asyncio.get_running_loop()
    engine = core()
    durations: list[float] = []
    for _ in range(2):
        began_s = loop.time()
        await end_of(start(engine, body(LONG_PROMPT, 1)))
        durations.append(loop.time() - began_s)
    assert durations[1] < durations[0] / 5
    assert engine.counts.cached > 4900


async def test_a_continuation_gives_the_same_text_and_counts_what_it_reads_again() -> None:
    given = body(LONG_PROMPT, 10)
    whole = expected_text(given)
    delivered = expected_text(given, 4)
    engine = core()
    sequence = engine.start(
        given, False, CallExtension("b", delivered_text=delivered, delivered_tokens=4)
    )
    await end_of(sequence)
    assert delivered + sequence.text_after(4) == whole
    assert engine.counts.recomputed > 5000
    assert engine.counts.generated == 6
    assert engine.counts.wrong_continuations == 0
    engine.start(given, False, CallExtension("c", delivered_text="other", delivered_tokens=1))
    assert engine.counts.wrong_continuations == 1


async def test_answers_differ_by_request() -> None:
    assert expected_text(body("one")) != expected_text(body("two"))
    assert expected_text(body("one"), model="n") != expected_text(body("one"))


async def test_interactive_work_overtakes_what_waits() -> None:
    engine = core(max_batch=1)
    first, batch = start(engine, body("1"), 2), start(engine, body("2"), 2)
    await asyncio.sleep(0.05)
    quick = start(engine, body("3"), 0)
    ends = [await end_of(sequence) for sequence in (first, quick, batch)]
    assert ends == sorted(ends)


async def test_a_full_queue_refuses_and_a_cancelled_sequence_makes_room() -> None:
    engine = core(max_batch=1, max_waiting=1)
    running = start(engine, body("1", 1000))
    await asyncio.sleep(0.1)
    start(engine, body("2"))
    with pytest.raises(EngineQueueFull):
        start(engine, body("3"))
    engine.cancel(running.stream_id)
    await asyncio.sleep(1.0)
    assert engine.running() == 0
    assert (engine.counts.cancelled, engine.counts.finished) == (1, 1)


async def test_load_reports_lag() -> None:
    engine = core(load_lag_s=2.0)
    await asyncio.sleep(3.0)
    start(engine, body("1", 1000))
    await asyncio.sleep(1.0)
    assert engine.load_report().running == 0
    await asyncio.sleep(2.0)
    assert engine.load_report().running == 1


async def test_the_cache_is_bounded_and_its_events_are_late_and_gappy() -> None:
    cache = PrefixCache(160, random.Random(1), event_lag_s=1.0, event_gap_ratio=0.3)
    digests = block_digests("x" * 64 * 20)
    cache.add(digests, 0.0)
    assert cache.free_tokens == 0
    assert cache.cached_tokens(digests) == 0
    assert cache.published(0, 0.5) == []
    sequences = [event.sequence for event in cache.published(0, 1.0)]
    assert 0 < len(sequences) < 30


@pytest.mark.parametrize("checks", [True, False])
async def test_old_fencing_numbers_are_refused_or_followed(checks: bool) -> None:
    orders = EngineOrders(LoadedModel("s", "m", "1"), random.Random(1), checks, "")
    orders.apply(EngineOrder(5, "s", "m", "2"), "")
    assert orders.status().state == "loading"
    await asyncio.sleep(2.0)
    assert (orders.status().state, orders.status().version) == ("serving", "2")
    if checks:
        with pytest.raises(StaleFencingToken):
            orders.apply(EngineOrder(4, "s", "m", "3"), "")
    else:
        orders.apply(EngineOrder(4, "s", "m", "3"), "3")
        await asyncio.sleep(2.0)
        assert orders.status().state == "failed"
