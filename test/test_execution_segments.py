"""Guards against a key that concurrent writers grant twice, also after lost responses."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from godwitpath.execution.record import ExecutionExists, ExecutionRecord
from godwitpath.execution.segments import SegmentLog
from godwitpath.ports.kv import StoreError
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core

pytestmark = pytest.mark.looptime


def make_record(attempt_id: str, state: str = "sent") -> ExecutionRecord:
    return ExecutionRecord(state, "a", "d", attempt_id, "e1", "i", "r", 0.0)  # type: ignore[arg-type]


async def try_claim(log: SegmentLog, key: str, attempt_id: str) -> bool:
    try:
        await log.claim(key, make_record(attempt_id))
    except (ExecutionExists, StoreError):
        return False
    return True


@pytest.mark.parametrize("seed", range(6))
async def test_concurrent_writers_grant_each_key_once(seed: int) -> None:
    core, rng = loop_core(), random.Random(seed)
    stores = [FakeKeyValueStore(core, 0.003) for _ in range(3)]
    logs = [SegmentLog(store, 1, random.Random(index)) for index, store in enumerate(stores)]
    writers = [asyncio.create_task(log.run()) for log in logs]
    grants: Counter[str] = Counter()

    async def call(number: int) -> None:
        await asyncio.sleep(rng.random() * 5)
        key, position = f"k{number % 30}", rng.randrange(3)
        if rng.random() < 0.2:
            stores[position].lose_next_responses(1)
        grants[key] += await try_claim(logs[position], key, f"attempt-{number}")

    await asyncio.gather(*(call(number) for number in range(120)))
    assert max(grants.values()) == 1
    assert sum(grants.values()) >= 25
    for writer in writers:
        writer.cancel()


async def test_new_writer_loads_the_granted_claims() -> None:
    core = loop_core()
    first = SegmentLog(FakeKeyValueStore(core), 1, random.Random(1))
    writer = asyncio.create_task(first.run())
    for number in range(10):
        await first.claim(f"k{number}", make_record(f"a{number}"))
    await first.change("k3", make_record("a3", "released"))
    writer.cancel()
    second = SegmentLog(FakeKeyValueStore(core), 1, random.Random(2))
    await second.load()
    writer = asyncio.create_task(second.run())
    results = [await try_claim(second, f"k{number}", "b") for number in range(11)]
    assert [number for number, claimed in enumerate(results) if claimed] == [3, 10]
    writer.cancel()
