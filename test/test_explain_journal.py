"""Guards against decision records that are lost, duplicated, unbounded or shown to others."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.config.submit import submit
from godwitpath.explain.batch import DamagedBatch, decode_part, decode_records, index_contains
from godwitpath.explain.journal import FLUSH_INTERVAL_S, LEASE_ROTATION_S, Journal
from godwitpath.explain.pending import MAX_CLOSED_BYTES, MAX_RECORD_BYTES
from godwitpath.explain.record import DecisionRecord
from godwitpath.ports.kv import KeyValueStore
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core

pytestmark = pytest.mark.looptime

START_S = 1_700_000_000.0
"""Wall-clock time at the start of a test's event loop."""


def wall_time_s() -> float:
    return START_S + asyncio.get_running_loop().time()


def make_journal(
    store: KeyValueStore, entry_id: str = "e1", retention_s: float = 86_400.0
) -> Journal:
    return Journal(store, entry_id, "i1", random.Random(1), retention_s, wall_clock=wall_time_s)


def make_record(subject_id: str, account: str = "ann", chosen: str = "accepted") -> DecisionRecord:
    return DecisionRecord(
        subject_id, account, "request", wall_time_s(), chosen, {"queue": 3}, ["refuse"]
    )


async def test_stored_records_are_found_from_another_entry() -> None:
    """Guards against records that only the entry that stored them can find."""
    core = loop_core()
    writer, reading_journal = (make_journal(FakeKeyValueStore(core), name) for name in ("e1", "e2"))
    writer.add(make_record("r1"))
    writer.add(make_record("r2", chosen="refused"))
    assert await writer.flush()
    trace = await reading_journal.find("r2")
    assert [(item.chosen, item.entry_id) for item in trace.records] == [("refused", "e1")]
    assert trace.complete
    assert (await reading_journal.find("r3")).records == []


async def test_trace_merges_records_of_several_entries_in_order() -> None:
    """Guards against missing or unordered records when several entries decide on one request."""
    core = loop_core()
    journals = [make_journal(FakeKeyValueStore(core), f"e{number}") for number in range(3)]
    for number, writer in enumerate(journals):
        writer.add(make_record("r1", chosen=f"step {number}"))
        await writer.flush()
        await asyncio.sleep(40)
    trace = await journals[0].find("r1")
    assert [item.chosen for item in trace.records] == ["step 0", "step 1", "step 2"]


async def test_configuration_change_is_explained_from_the_stored_history() -> None:
    """Guards against an explanation without author and differences, or one shown to an account."""
    store = FakeKeyValueStore()
    for timeout_s in (10, 20):
        text = f'{{"services": {{"a": {{"kind": "plain", "request_timeout_s": {timeout_s}}}}}}}'
        await submit(store, text, "ann", f"{timeout_s} s")
    writer = make_journal(store)
    [change] = (await writer.find("configuration/2")).records
    assert change.known["author"] == "ann"
    assert change.known["difference 1"] == "~ /services/a/request_timeout_s: 10.0 -> 20.0"
    assert not (await writer.find("configuration/2", "ann")).records
    assert not (await writer.find("configuration/9")).records


async def test_account_sees_only_its_own_records() -> None:
    """Guards against a leak to other accounts, also to an account with an empty name."""
    writer = make_journal(FakeKeyValueStore())
    writer.add(make_record("r1", "ann"))
    writer.add(make_record("configuration/4", ""))
    await writer.flush()
    assert (await writer.find("r1", "ann")).records
    assert not (await writer.find("r1", "ben")).records
    assert not (await writer.find("configuration/4", "")).records
    assert (await writer.find("configuration/4")).records


async def test_each_flush_costs_two_writes() -> None:
    """Guards against store writes that grow with the number of decision records."""
    store = FakeKeyValueStore()
    writer = make_journal(store)
    task = asyncio.create_task(writer.run())
    for second in range(600):
        writer.add(make_record(f"r{second}"))
        await asyncio.sleep(1)
    task.cancel()
    # Two writes for each batch, and one for the lease of the hour.
    assert store.counts.writes <= 2 * 600 / FLUSH_INTERVAL_S + 1
    assert store.counts.reads == 0


async def test_old_records_are_found_with_and_without_a_time() -> None:
    """Guards against lost old records, and against a full scan although the time is given."""
    core = loop_core()
    writer = make_journal(FakeKeyValueStore(core), retention_s=10 * 86_400)
    writer.add(make_record("r1"))
    await writer.flush()
    at_s = wall_time_s()
    await asyncio.sleep(3 * 86_400)
    reader_store = FakeKeyValueStore(core)
    reading_journal = make_journal(reader_store, "e2")
    assert (await reading_journal.find("r1", around_s=at_s)).records
    assert reader_store.counts.reads <= 4
    assert (await reading_journal.find("r1")).records


async def test_records_expire_after_the_retention_time() -> None:
    """Guards against records that fill the store because their lease does not expire."""
    core = loop_core()
    writer = make_journal(FakeKeyValueStore(core), retention_s=1000)
    writer.add(make_record("r1"))
    await writer.flush()
    await asyncio.sleep(900)
    assert (await writer.find("r1")).records
    await asyncio.sleep(LEASE_ROTATION_S + 200)
    assert not (await writer.find("r1")).records
    assert await FakeKeyValueStore(core).scan("explain/") == []


async def test_unstored_batch_survives_the_failure_of_its_entry() -> None:
    """Guards against the loss of records when an entry fails before the flush."""
    core = loop_core()
    failed, backup = (make_journal(FakeKeyValueStore(core), name) for name in ("e1", "e2"))
    for number in range(3):
        failed.add(make_record(f"r{number}"))
        backup.accept_part(failed.next_part())
    assert failed.next_part() == b""
    assert backup.unstored_records("r1")
    backup.mark_peer_removed("e1")
    await backup.flush()
    reading_journal = make_journal(FakeKeyValueStore(core), "e3")
    for number in range(3):
        [found] = (await reading_journal.find(f"r{number}")).records
        assert found.entry_id == "e1"


async def test_batch_of_a_peer_without_reports_is_stored_unless_the_peer_stored_it() -> None:
    """Guards against lost batches of a peer that stops sending parts, and against second writes."""
    core = loop_core()
    store = FakeKeyValueStore(core)
    writer, backup = make_journal(FakeKeyValueStore(core)), make_journal(store, "e2")
    writer.add(make_record("r1"))
    backup.accept_part(writer.next_part())
    await writer.flush()
    backup.accept_part(writer.next_part())
    await asyncio.sleep(3 * FLUSH_INTERVAL_S)
    await backup.flush()
    assert store.counts.writes == 0
    writer.add(make_record("r2"))
    backup.accept_part(writer.next_part())
    await asyncio.sleep(3 * FLUSH_INTERVAL_S)
    await backup.flush()
    assert (await make_journal(store, "e3").find("r2")).records


async def test_backup_and_paused_entry_write_the_same_batch_without_loss() -> None:
    """Guards against overwritten records when an entry resumes after its backup stored a batch."""
    core = loop_core()
    paused, backup = (make_journal(FakeKeyValueStore(core), name) for name in ("e1", "e2"))
    paused.add(make_record("r1"))
    backup.accept_part(paused.next_part())
    paused.add(make_record("r2"))
    backup.mark_peer_removed("e1")
    await backup.flush()
    await paused.flush()
    reading_journal = make_journal(FakeKeyValueStore(core), "e3")
    assert len((await reading_journal.find("r1")).records) == 1
    assert len((await reading_journal.find("r2")).records) == 1


async def test_store_outage_drops_the_oldest_records_and_marks_the_trace_incomplete() -> None:
    """Guards against unbounded memory in a store outage, and against gaps that go unreported."""
    store = FakeKeyValueStore()
    writer = make_journal(store)
    store.outage = True
    for number in range(12_000):
        writer.add(DecisionRecord(f"r{number}", "ann", "request", wall_time_s(), "x" * 1000))
    assert not await writer.flush()
    assert writer.dropped_records > 0
    assert sum(batch.size_bytes for batch in writer._pending.batches()) <= MAX_CLOSED_BYTES
    trace = await writer.find("r11999")
    assert trace.records
    assert not trace.complete
    assert "key-value service" in trace.note
    store.outage = False
    assert await writer.flush()
    assert (await make_journal(store, "e2").find("r11999")).records


async def test_lost_responses_and_an_expired_lease_lose_no_records() -> None:
    """Guards against records lost when a write's outcome is unknown or its lease has expired."""
    store = FakeKeyValueStore()
    writer = make_journal(store)
    writer.add(make_record("r1"))
    store.lose_next_responses(2)
    # The first flush loses the response to the lease request, the second that to the batch.
    assert [await writer.flush() for _ in range(3)] == [False, False, True]
    await store.revoke_lease(writer._lease_id)
    writer.add(make_record("r2"))
    assert await writer.flush()
    assert (await make_journal(store, "e2").find("r2")).records


async def test_records_are_bounded_and_redacted() -> None:
    """Guards against oversized records and against secrets in the store."""
    writer = make_journal(FakeKeyValueStore())
    known = {"key": "s3cret", "text": "y" * MAX_RECORD_BYTES}
    writer.add(DecisionRecord("r1", "ann", "request", wall_time_s(), "x" * 9000, known))
    writer.add(DecisionRecord("r2", "ann", "request", wall_time_s(), "x", {"key": "s3cret"}))
    assert writer._pending.oldest_closed_batch() is None
    assert all(
        len(item) <= MAX_RECORD_BYTES
        for batch in writer._pending.batches()
        for item in batch.records
    )
    assert "s3cret" not in str((await writer.find("r2")).records)


def test_index_matches_only_aligned_digests() -> None:
    """Guards against a match that spans two adjacent digests."""
    assert index_contains(b"abcdefgh", b"efgh")
    assert not index_contains(b"abcdefgh", b"cdef")


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200))
def test_malformed_bytes_raise_damaged_batch(data: bytes) -> None:
    """Guards against other exceptions when stored or received bytes are malformed."""
    for decode in (decode_part, decode_records):
        with pytest.raises(DamagedBatch):
            decode(data)


def test_frame_size_in_the_header_is_not_allocated() -> None:
    """Guards against memory exhaustion by a frame header with a huge content size."""
    frame = bytes.fromhex("28b52ffde0ffffffffffffff7f0100")
    with pytest.raises(DamagedBatch):
        decode_part(frame)
