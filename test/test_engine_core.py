"""Guards against a simulated engine that batches, caches, continues or cancels unlike a real one.

Tests of the product rely on this behaviour. The tests run on simulated time.
"""

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


def new_engine(**parameters: Any) -> EngineCore:
    return EngineCore(EngineParameters(**parameters), random.Random(1))


def request_body(prompt: str, max_tokens: int = 10) -> dict[str, Any]:
    return {"model": "m", "prompt": prompt, "max_tokens": max_tokens}


def start(engine: EngineCore, body: dict[str, Any], priority: int = 0) -> Sequence:
    return engine.start(body, False, CallExtension("a", priority=priority))


async def wait_for_end(sequence: Sequence) -> float:
    while not sequence.finish_reason:
        await sequence.changed.wait()
    return asyncio.get_running_loop().time()


async def test_decoding_step_takes_longer_with_larger_batch() -> None:
    loop = asyncio.get_running_loop()
    durations: list[float] = []
    for batch_size in (1, 40):
        engine = new_engine()
        started_s = loop.time()
        sequences = [start(engine, request_body(f"{number}")) for number in range(batch_size)]
        durations.append(max([await wait_for_end(sequence) for sequence in sequences]) - started_s)
    assert durations[1] > 1.5 * durations[0]


async def test_repeated_prompt_is_served_from_prefix_cache() -> None:
    loop = asyncio.get_running_loop()
    engine = new_engine()
    durations: list[float] = []
    for _ in range(2):
        started_s = loop.time()
        await wait_for_end(start(engine, request_body(LONG_PROMPT, 1)))
        durations.append(loop.time() - started_s)
    assert durations[1] < durations[0] / 5
    assert engine.counts.cached > 4900


async def test_continuation_completes_text_and_counts_recomputed_tokens() -> None:
    body = request_body(LONG_PROMPT, 10)
    whole = expected_text(body)
    delivered = expected_text(body, 4)
    engine = new_engine()
    sequence = engine.start(
        body, False, CallExtension("b", delivered_text=delivered, delivered_tokens=4)
    )
    await wait_for_end(sequence)
    assert delivered + sequence.text_after(4) == whole
    assert engine.counts.recomputed > 5000
    assert engine.counts.generated == 6
    assert engine.counts.wrong_continuations == 0
    engine.start(body, False, CallExtension("c", delivered_text="other", delivered_tokens=1))
    assert engine.counts.wrong_continuations == 1


async def test_response_text_depends_on_prompt_and_model() -> None:
    assert expected_text(request_body("one")) != expected_text(request_body("two"))
    assert expected_text(request_body("one"), model="n") != expected_text(request_body("one"))


async def test_higher_priority_sequence_overtakes_waiting_one() -> None:
    engine = new_engine(max_batch=1)
    first, batch = start(engine, request_body("1"), 2), start(engine, request_body("2"), 2)
    await asyncio.sleep(0.05)
    quick = start(engine, request_body("3"), 0)
    ends = [await wait_for_end(sequence) for sequence in (first, quick, batch)]
    assert ends == sorted(ends)


async def test_full_queue_refuses_and_cancelled_sequence_frees_slot() -> None:
    engine = new_engine(max_batch=1, max_waiting=1)
    running = start(engine, request_body("1", 1000))
    await asyncio.sleep(0.1)
    start(engine, request_body("2"))
    with pytest.raises(EngineQueueFull):
        start(engine, request_body("3"))
    engine.cancel(running.stream_id)
    await asyncio.sleep(1.0)
    assert engine.running() == 0
    assert (engine.counts.cancelled, engine.counts.finished) == (1, 1)


async def test_load_reports_lag() -> None:
    engine = new_engine(load_lag_s=2.0)
    await asyncio.sleep(3.0)
    start(engine, request_body("1", 1000))
    await asyncio.sleep(1.0)
    assert engine.load_report().running == 0
    await asyncio.sleep(2.0)
    assert engine.load_report().running == 1


async def test_prefix_cache_is_bounded_and_its_events_are_delayed_and_incomplete() -> None:
    cache = PrefixCache(160, random.Random(1), event_lag_s=1.0, event_gap_ratio=0.3)
    digests = block_digests("x" * 64 * 20)
    cache.add(digests, 0.0)
    assert cache.free_tokens == 0
    assert cache.cached_tokens(digests) == 0
    assert cache.published(0, 0.5) == []
    sequences = [event.sequence for event in cache.published(0, 1.0)]
    assert 0 < len(sequences) < 30


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_stale_fencing_token_is_refused_only_when_checked(checks_fencing: bool) -> None:
    orders = EngineOrders(LoadedModel("s", "m", "1"), random.Random(1), checks_fencing, "")
    orders.apply(EngineOrder(5, "s", "m", "2"), "")
    assert orders.status().state == "loading"
    await asyncio.sleep(2.0)
    assert (orders.status().state, orders.status().version) == ("serving", "2")
    if checks_fencing:
        with pytest.raises(StaleFencingToken):
            orders.apply(EngineOrder(4, "s", "m", "3"), "")
    else:
        orders.apply(EngineOrder(4, "s", "m", "3"), "3")
        await asyncio.sleep(2.0)
        assert orders.status().state == "failed"
