"""The journal of decisions: kept, found from any entry, copied, bounded, private."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.config.submit import submit
from godwitpath.explain.batch import DamagedBatch, decode_part, decode_records, index_lists
from godwitpath.explain.journal import INTERVAL_S, LEASE_SPAN_S, Journal
from godwitpath.explain.pending import MAX_CLOSED_BYTES, MAX_RECORD_BYTES
from godwitpath.explain.record import DecisionRecord
from godwitpath.ports.kv import KeyValueStore
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core

pytestmark = pytest.mark.looptime

START_S = 1_700_000_000.0


def wall() -> float:
    return START_S + asyncio.get_running_loop().time()


def journal(store: KeyValueStore, entry_id: str = "e1", keep_s: float = 86_400.0) -> Journal:
    return Journal(store, entry_id, "i1", random.Random(1), keep_s, wall_clock=wall)


def record(subject_id: str, account: str = "ann", chosen: str = "accepted") -> DecisionRecord:
    return DecisionRecord(subject_id, account, "request", wall(), chosen, {"queue": 3}, ["refuse"])


async def test_a_kept_story_is_found_from_another_entry() -> None:
    core = loop_core()
    one, other = (journal(FakeKeyValueStore(core), name) for name in ("e1", "e2"))
    one.note(record("r1"))
    one.note(record("r2", chosen="refused"))
    assert await one.flush()
    story = await other.find("r2")
    assert [(item.chosen, item.entry_id) for item in story.records] == [("refused", "e1")]
    assert story.complete
    assert (await other.find("r3")).records == []


async def test_the_decisions_of_several_entries_make_one_story_in_order() -> None:
    core = loop_core()
    journals = [journal(FakeKeyValueStore(core), f"e{number}") for number in range(3)]
    for number, each in enumerate(journals):
        each.note(record("r1", chosen=f"step {number}"))
        await each.flush()
        await asyncio.sleep(40)
    story = await journals[0].find("r1")
    assert [item.chosen for item in story.records] == ["step 0", "step 1", "step 2"]


async def test_a_configuration_change_is_told_from_its_history() -> None:
    store = FakeKeyValueStore()
    for timeout_s in (10, 20):
        text = f'{{"services": {{"a": {{"kind": "plain", "request_timeout_s": {timeout_s}}}}}}}'
        await submit(store, text, "ann", f"{timeout_s} s")
    one = journal(store)
    [told] = (await one.find("configuration/2")).records
    assert told.known["author"] == "ann"
    assert told.known["difference 1"] == "~ /services/a/request_timeout_s: 10.0 -> 20.0"
    assert not (await one.find("configuration/2", "ann")).records
    assert not (await one.find("configuration/9")).records


async def test_an_account_sees_its_own_records_only() -> None:
    one = journal(FakeKeyValueStore())
    one.note(record("r1", "ann"))
    one.note(record("configuration/4", ""))
    await one.flush()
    assert (await one.find("r1", "ann")).records
    assert not (await one.find("r1", "ben")).records
    assert not (await one.find("configuration/4", "")).records
    assert (await one.find("configuration/4")).records


async def test_each_half_minute_costs_two_writes() -> None:
    store = FakeKeyValueStore()
    one = journal(store)
    task = asyncio.create_task(one.run())
    for second in range(600):
        one.note(record(f"r{second}"))
        await asyncio.sleep(1)
    task.cancel()
    # Two a batch, and the lease of the hour.
    assert store.counts.writes <= 2 * 600 / INTERVAL_S + 1
    assert store.counts.reads == 0


async def test_an_old_story_is_found_with_and_without_its_time() -> None:
    core = loop_core()
    one = journal(FakeKeyValueStore(core), keep_s=10 * 86_400)
    one.note(record("r1"))
    await one.flush()
    at_s = wall()
    await asyncio.sleep(3 * 86_400)
    reader = FakeKeyValueStore(core)
    two = journal(reader, "e2")
    assert (await two.find("r1", around_s=at_s)).records
    assert reader.counts.reads <= 4
    assert (await two.find("r1")).records


async def test_kept_records_go_when_their_time_is_over() -> None:
    core = loop_core()
    one = journal(FakeKeyValueStore(core), keep_s=1000)
    one.note(record("r1"))
    await one.flush()
    await asyncio.sleep(900)
    assert (await one.find("r1")).records
    await asyncio.sleep(LEASE_SPAN_S + 200)
    assert not (await one.find("r1")).records
    assert await FakeKeyValueStore(core).scan("explain/") == []


async def test_a_batch_not_yet_kept_survives_its_entry() -> None:
    core = loop_core()
    lost, holder = (journal(FakeKeyValueStore(core), name) for name in ("e1", "e2"))
    for number in range(3):
        lost.note(record(f"r{number}"))
        holder.adopt(lost.unsent())
    assert lost.unsent() == b""
    assert holder.not_yet_kept("r1")
    holder.peer_gone("e1")
    await holder.flush()
    reader = journal(FakeKeyValueStore(core), "e3")
    for number in range(3):
        [found] = (await reader.find(f"r{number}")).records
        assert found.entry_id == "e1"


async def test_a_silent_peer_is_taken_for_gone_and_a_kept_batch_is_not_written_again() -> None:
    core = loop_core()
    store = FakeKeyValueStore(core)
    one, holder = journal(FakeKeyValueStore(core)), journal(store, "e2")
    one.note(record("r1"))
    holder.adopt(one.unsent())
    await one.flush()
    holder.adopt(one.unsent())
    await asyncio.sleep(3 * INTERVAL_S)
    await holder.flush()
    assert store.counts.writes == 0
    one.note(record("r2"))
    holder.adopt(one.unsent())
    await asyncio.sleep(3 * INTERVAL_S)
    await holder.flush()
    assert (await journal(store, "e3").find("r2")).records


async def test_holder_and_paused_entry_write_the_same_batch_without_loss() -> None:
    core = loop_core()
    paused, holder = (journal(FakeKeyValueStore(core), name) for name in ("e1", "e2"))
    paused.note(record("r1"))
    holder.adopt(paused.unsent())
    paused.note(record("r2"))
    holder.peer_gone("e1")
    await holder.flush()
    await paused.flush()
    reader = journal(FakeKeyValueStore(core), "e3")
    assert len((await reader.find("r1")).records) == 1
    assert len((await reader.find("r2")).records) == 1


async def test_outage_keeps_records_within_bounds_and_says_what_is_missing() -> None:
    store = FakeKeyValueStore()
    one = journal(store)
    store.outage = True
    for number in range(12_000):
        one.note(DecisionRecord(f"r{number}", "ann", "request", wall(), "x" * 1000))
    assert not await one.flush()
    assert one.dropped_records > 0
    assert sum(batch.size_bytes for batch in one._pending.batches()) <= MAX_CLOSED_BYTES
    story = await one.find("r11999")
    assert story.records
    assert not story.complete
    assert "key-value service" in story.note
    store.outage = False
    assert await one.flush()
    assert (await journal(store, "e2").find("r11999")).records


async def test_lost_answers_and_a_lapsed_lease_lose_nothing() -> None:
    store = FakeKeyValueStore()
    one = journal(store)
    one.note(record("r1"))
    store.lose_next_answers(2)
    # Each flush meets one lost answer: of the lease, then of the batch.
    assert [await one.flush() for _ in range(3)] == [False, False, True]
    await store.revoke_lease(one._lease_id)
    one.note(record("r2"))
    assert await one.flush()
    assert (await journal(store, "e2").find("r2")).records


async def test_records_are_small_and_without_secrets() -> None:
    one = journal(FakeKeyValueStore())
    known = {"key": "s3cret", "text": "y" * MAX_RECORD_BYTES}
    one.note(DecisionRecord("r1", "ann", "request", wall(), "x" * 9000, known))
    one.note(DecisionRecord("r2", "ann", "request", wall(), "x", {"key": "s3cret"}))
    assert one._pending.oldest_closed() is None
    assert all(len(item) <= MAX_RECORD_BYTES for b in one._pending.batches() for item in b.records)
    assert "s3cret" not in str((await one.find("r2")).records)


def test_index_lists_only_whole_digests() -> None:
    assert index_lists(b"abcdefgh", b"efgh")
    assert not index_lists(b"abcdefgh", b"cdef")


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_a_batch_or_damaged(data: bytes) -> None:
    for decode in (decode_part, decode_records):
        with pytest.raises(DamagedBatch):
            decode(data)


def test_a_claimed_size_is_not_allocated() -> None:
    claimed = bytes.fromhex("28b52ffde0ffffffffffffff7f0100")
    with pytest.raises(DamagedBatch):
        decode_part(claimed)
