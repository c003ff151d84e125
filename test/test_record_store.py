"""Tests of the record store: copies, look-up, adoption, fencing and hand-over."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.ports.peers import Peer
from godwitpath.records.ids import placement_key
from godwitpath.records.messages import local_ref
from godwitpath.records.placement import key_arbiters
from godwitpath.records.reader import HOLDER_SEARCH_TIMEOUT_S, RecordLost
from godwitpath.records.record import (
    OffsetUnknown,
    Outcome,
    Piece,
    RecordRef,
    RequestRecord,
    TextSeen,
    pieces_after,
)
from godwitpath.records.table import RecordCounters, RecordTable
from test.record_fleet import (
    DETECTION_S,
    TOKENS,
    Reader,
    RecordFleet,
    complete_text,
    token_text,
)

pytestmark = pytest.mark.looptime

GENERATION_S = 3.0
"""Time within which a generation is complete."""

SETTLED_S = 12.0


async def read(fleet: RecordFleet, record: RequestRecord, entry_id: str) -> Reader:
    reader = Reader(fleet, record)
    await asyncio.wait_for(reader.read(entry_id), 60)
    return reader


def holders(fleet: RecordFleet, record: RequestRecord) -> list[str]:
    found = [
        name
        for name, node in fleet.nodes.items()
        if any(each.request_id == record.request_id for each in node.store.records())
    ]
    return sorted(found)


async def test_the_backup_is_in_another_zone_and_receives_updates() -> None:
    fleet = RecordFleet()
    node = fleet.nodes["e0"]
    for _ in range(10):
        record = await node.accept()
        backup = fleet.nodes[record.backup].member
        assert backup.region == node.member.region
        assert backup.availability_zone != node.member.availability_zone
    await asyncio.sleep(GENERATION_S)
    ref = await fleet.nodes[record.backup].store.find("a", record.request_id)
    assert ref is not None
    assert ref.record is not None
    assert (ref.record.text, ref.state) == (complete_text(record), "finished")
    assert node.store.counters.cross_region_bytes == 0
    await fleet.stop()


async def test_bytes_to_another_region_are_counted() -> None:
    fleet = RecordFleet(size=2, zones=4)
    fleet.all_nodes["e1"].member.region = "r1"
    record = await fleet.nodes["e0"].accept()
    assert record.backup == "e1"
    await asyncio.sleep(GENERATION_S)
    counters = fleet.nodes["e0"].store.counters
    assert counters.cross_region_bytes == counters.copy_bytes + counters.update_bytes > 0
    await fleet.stop()


async def test_a_record_without_a_live_backup_is_copied_later() -> None:
    fleet = RecordFleet(size=2)
    fleet.network.cut("e0", "e1")
    record = fleet.nodes["e0"].record()
    assert not await fleet.nodes["e0"].store.accept(record)
    assert fleet.nodes["e0"].store.counters.degraded == 1
    fleet.network.heal()
    await asyncio.sleep(3)
    assert record.backup == "e1"
    await fleet.stop()


async def test_any_entry_finds_a_record_by_id_and_by_key_and_only_for_its_account() -> None:
    fleet = RecordFleet(size=8)
    record = fleet.nodes["e3"].record("a", "k1")
    assert await fleet.nodes["e3"].store.claim_key("a", "k1", "d", record.request_id) is None
    await fleet.nodes["e3"].store.accept(record)
    for node in fleet.nodes.values():
        by_id = await node.store.find("a", record.request_id)
        by_key = await node.store.find("a", idempotency_key="k1")
        assert by_id is not None
        assert by_key is not None
        assert by_id.holder == by_key.holder == "e3"
        assert await node.store.find("b", record.request_id) is None
        assert await node.store.find("b", idempotency_key="k1") is None
        assert await node.store.find("a", "req-unknown") is None
    await fleet.stop()


async def test_a_key_claimed_concurrently_at_three_entries_runs_once() -> None:
    fleet = RecordFleet()
    stores = [fleet.nodes[name].store for name in ("e0", "e2", "e5")]
    request_ids = [store.new_request_id("a", "k") for store in stores]
    claims = (
        store.claim_key("a", "k", "d", request_id)
        for store, request_id in zip(stores, request_ids, strict=True)
    )
    refs = await asyncio.gather(*claims)
    winners = [request_id for request_id, ref in zip(request_ids, refs, strict=True) if ref is None]
    assert len(winners) == 1
    assert {ref.request_id for ref in refs if ref is not None} == set(winners)
    for store in stores:
        await store.release_key("a", "k", winners[0])
    await asyncio.sleep(0.1)
    assert await stores[1].claim_key("a", "k", "d", request_ids[1]) is None
    await fleet.stop()


async def test_a_key_whose_claimant_failed_before_it_accepted_is_granted_on_detection() -> None:
    fleet = RecordFleet()
    claimant, other = fleet.nodes["e0"].store, fleet.nodes["e4"].store
    assert await claimant.claim_key("a", "k", "d", claimant.new_request_id("a", "k")) is None
    await fleet.kill("e0")
    # The caller lost its connection and retries at another entry at once.
    async with asyncio.timeout(DETECTION_S + 1.0):
        assert await other.claim_key("a", "k", "d", other.new_request_id("a", "k")) is None
    await fleet.stop()


async def test_a_key_of_a_failed_claimant_is_granted_to_another_body_after_detection() -> None:
    fleet = RecordFleet()
    claimant, other = fleet.nodes["e0"].store, fleet.nodes["e4"].store
    assert await claimant.claim_key("a", "k", "d", claimant.new_request_id("a", "k")) is None
    await fleet.kill("e0")
    await asyncio.sleep(DETECTION_S + 1.0)
    assert await other.claim_key("a", "k", "other", other.new_request_id("a", "k")) is None
    await fleet.stop()


async def test_a_claim_waits_for_the_record_of_the_claimant() -> None:
    fleet = RecordFleet()
    claimant, other = fleet.nodes["e0"], fleet.nodes["e4"]
    record = claimant.record(key="k")
    assert await claimant.store.claim_key("a", "k", "d", record.request_id) is None
    request_id = other.store.new_request_id("a", "k")
    claim = asyncio.create_task(other.store.claim_key("a", "k", "d", request_id))
    await asyncio.sleep(1.0)
    await claimant.store.accept(record)
    found = await asyncio.wait_for(claim, 1.0)
    assert found is not None
    assert (found.request_id, found.holder, found.epoch > 0) == (record.request_id, "e0", True)
    await fleet.stop()


async def test_a_claim_that_waits_keeps_the_claimant_while_no_arbiter_responds() -> None:
    fleet = RecordFleet()
    claimant, other = fleet.nodes["e0"], fleet.nodes["e4"]
    key = next(
        f"k{number}"
        for number in range(100)
        if other.member not in key_arbiters(placement_key("a", f"k{number}"), other.live())[:2]
    )
    record = claimant.record(key=key)
    assert await claimant.store.claim_key("a", key, "d", record.request_id) is None
    request_id = other.store.new_request_id("a", key)
    claim = asyncio.create_task(other.store.claim_key("a", key, "d", request_id))
    await asyncio.sleep(0.5)
    fleet.network.cut_groups(["e4"], [name for name in fleet.nodes if name != "e4"])
    await asyncio.sleep(1.0)
    fleet.network.heal()
    await claimant.store.accept(record)
    found = await asyncio.wait_for(claim, 1.5)
    assert found is not None
    assert (found.request_id, found.holder) == (record.request_id, "e0")
    await fleet.stop()


async def test_a_record_that_only_a_failed_entry_had_is_soon_known_to_be_lost() -> None:
    fleet = RecordFleet()
    lost = fleet.nodes["e0"].record()
    ref = RecordRef("a", lost.request_id, "e0", epoch=1)
    await fleet.kill("e0")
    reader = fleet.nodes["e4"].store
    # A caller that waits for it has time left for another request.
    async with asyncio.timeout(DETECTION_S + 8.0):
        with pytest.raises(RecordLost):
            await reader.outcome(ref)
    with pytest.raises(RecordLost):
        await asyncio.wait_for(anext(reader.follow(ref, 0)), 8.0)
    await fleet.stop()


async def test_a_reader_goes_on_when_a_record_moves_that_was_here_for_long() -> None:
    fleet = RecordFleet()
    node = fleet.nodes["e0"]
    record = node.record()
    await node.store.accept(record)
    ref = local_ref(record)
    pieces: list[Piece] = []

    async def follow() -> None:
        async for batch in node.store.follow(ref, 0):
            pieces.extend(batch)

    followers = asyncio.gather(follow(), node.store.outcome(ref))
    await asyncio.sleep(2 * HOLDER_SEARCH_TIMEOUT_S)
    assert await node.store.hand_over() == 1
    await asyncio.wait_for(followers, SETTLED_S)
    assert "".join(piece.text for piece in pieces) == complete_text(record)
    await fleet.stop()


async def test_a_reader_that_pauses_for_long_goes_on_when_the_record_has_moved() -> None:
    fleet = RecordFleet()
    node = fleet.nodes["e0"]
    record = node.record()
    await node.store.accept(record)
    node.store.begin_attempt(record, "attempt", "engine-1")
    assert node.store.append(record, Piece(0, token_text(record, 0), 1))
    batches = fleet.nodes["e4"].store.follow(local_ref(record), 0)
    pieces = await anext(batches)
    # Its caller leaves what was sent unread.
    await asyncio.sleep(2 * HOLDER_SEARCH_TIMEOUT_S)
    assert await node.store.hand_over() == 1
    async with asyncio.timeout(SETTLED_S):
        async for batch in batches:
            pieces += batch
    assert "".join(piece.text for piece in pieces) == complete_text(record)
    await fleet.stop()


async def test_text_is_complete_after_the_holder_fails() -> None:
    fleet = RecordFleet()
    record = await fleet.nodes["e0"].accept()
    reader = asyncio.create_task(read(fleet, record, "e0"))
    await asyncio.sleep(0.73)
    await fleet.kill("e0")
    assert (await reader).text == complete_text(record)
    assert holders(fleet, record) == [record.backup]
    await fleet.stop()


async def test_text_is_complete_after_a_zone_fails() -> None:
    fleet = RecordFleet(size=8)
    record = await fleet.nodes["e0"].accept()
    readers = [asyncio.create_task(read(fleet, record, name)) for name in ("e0", "e4", "e3")]
    await asyncio.sleep(0.5)
    await fleet.kill(*fleet.zone_entries("e0"))
    assert {(await each).text for each in readers} == {complete_text(record)}
    await fleet.stop()


async def test_text_is_complete_after_backup_and_holder_fail_in_turn() -> None:
    fleet = RecordFleet(size=8)
    record = await fleet.nodes["e0"].accept()
    reader = asyncio.create_task(read(fleet, record, "e2"))
    backup = record.backup
    await asyncio.sleep(0.2)
    await fleet.kill(backup)
    await asyncio.sleep(DETECTION_S + 0.5)
    await fleet.kill("e0")
    await asyncio.sleep(DETECTION_S + 0.5)
    await fleet.kill(holders(fleet, record)[0])
    assert (await reader).text == complete_text(record)
    await fleet.stop()


async def test_a_resumed_holder_is_fenced_and_its_readers_continue() -> None:
    fleet = RecordFleet()
    record = await fleet.nodes["e0"].accept()
    reader = asyncio.create_task(read(fleet, record, "e0"))
    await asyncio.sleep(0.3)
    fleet.network.pause("e0")
    fleet.nodes["e0"].work_tasks[record.request_id].cancel()
    fleet.announce_state(fleet.nodes["e0"].member, "gone")
    await asyncio.sleep(1.0)
    fleet.network.resume("e0")
    assert (await reader).text == complete_text(record)
    assert holders(fleet, record) != ["e0"]
    assert len(holders(fleet, record)) == 1
    assert fleet.nodes["e0"].store.counters.fenced == 1
    assert not fleet.nodes["e0"].store.append(record, Piece(0, "late", 1))
    await fleet.stop()


async def test_the_outcome_of_a_plain_call_reaches_the_entry_that_adopted_it() -> None:
    fleet = RecordFleet()
    store = fleet.nodes["e0"].store
    records = [fleet.nodes["e0"].record("a", f"k{index}", "plain") for index in range(2)]
    for record in records:
        await store.accept(record)
    for node in fleet.nodes.values():
        node.store.on_adopt = None
    fleet.network.pause("e0")
    # The first outcome arrives while the entry is disconnected, the second after it was fenced.
    store.finish(records[0], Outcome(201, body=b"booked"))
    fleet.announce_state(fleet.nodes["e0"].member, "gone")
    await asyncio.sleep(2)
    adopters = [fleet.nodes[holders(fleet, record)[-1]].store for record in records]
    for adopter, record in zip(adopters, records, strict=True):
        (adopted,) = [each for each in adopter.records() if each.request_id == record.request_id]
        adopter.finish(adopted, Outcome(504, ran="unknown", reason="outcome_unknown"))
    fleet.network.resume("e0")
    fleet.announce_state(fleet.nodes["e0"].member, "alive")
    await asyncio.sleep(2)
    assert not store.finish(records[1], Outcome(201, body=b"booked too"))
    await asyncio.sleep(2)
    for record, body in zip(records, (b"booked", b"booked too"), strict=True):
        holder = fleet.nodes[holders(fleet, record)[0]]
        (adopted,) = [
            each for each in holder.store.records() if each.request_id == record.request_id
        ]
        for name in (adopted.holder, adopted.backup, "e3"):
            ref = await fleet.nodes[name].store.find("a", record.request_id)
            assert ref is not None
            outcome = await asyncio.wait_for(fleet.nodes[name].store.outcome(ref), 5)
            assert outcome.body == body
    await fleet.stop()


async def test_the_backup_adopts_records_that_a_restarted_holder_lost() -> None:
    fleet = RecordFleet()
    record = await fleet.nodes["e0"].accept()
    node = fleet.nodes["e0"]
    await node.stop()
    fleet.nodes["e0"] = fleet.all_nodes["e0"] = type(node)(fleet, node.member, 99)
    for other in fleet.nodes:
        fleet.nodes["e0"].transport.add_peer(Peer(other, node.member.address))
    reader = await read(fleet, record, "e3")
    assert reader.text == complete_text(record)
    await fleet.stop()


async def test_a_hand_over_moves_every_unfinished_record() -> None:
    fleet = RecordFleet()
    records = [await fleet.nodes["e0"].accept() for _ in range(20)]
    readers = [asyncio.create_task(read(fleet, record, "e0")) for record in records]
    await asyncio.sleep(0.3)
    assert await fleet.nodes["e0"].store.hand_over() == 20
    await asyncio.sleep(0.5)
    assert fleet.nodes["e0"].store.dump()["held_unfinished"] == 0
    await fleet.kill("e0")
    texts = [(await reader).text for reader in readers]
    assert texts == [complete_text(record) for record in records]
    await fleet.stop()


async def test_divergent_text_is_never_appended_to_delivered_text() -> None:
    record = RequestRecord("r", "a", "s", "chat")
    record.pieces = [Piece(0, "one ", 1), Piece(1, "two ", 1), Piece(2, "three four ", 2)]
    seen = TextSeen().extended([Piece(0, "one two three ", 3)])
    assert pieces_after(record.pieces, 3, seen) == [Piece(3, "four ", 1)]
    assert pieces_after(record.pieces, 2) == record.pieces[2:]
    with pytest.raises(OffsetUnknown):
        pieces_after(record.pieces, 3)
    divergent = TextSeen().extended([Piece(0, "one TWO three ", 3)])
    with pytest.raises(OffsetUnknown):
        await anext(record.follow(3, divergent))


async def test_a_reader_ahead_of_an_adopted_record_waits_for_it() -> None:
    record = RequestRecord("r", "a", "s", "chat", pieces=[Piece(0, "a ", 1)])
    next_batch = asyncio.create_task(anext(record.follow(2)))
    await asyncio.sleep(1)
    record.pieces.append(Piece(1, "b ", 1))
    record.wake()
    await asyncio.sleep(1)
    assert not next_batch.done()
    record.pieces.append(Piece(2, "c ", 1))
    record.wake()
    assert await next_batch == [Piece(2, "c ", 1)]


async def test_finished_records_are_removed_on_expiry_and_above_the_memory_bound() -> None:
    counters = RecordCounters()
    table = RecordTable(counters, max_bytes=300_000)
    for index in range(40):
        record = RequestRecord(f"r{index}", "a", "s", "chat", body=bytes(20_000))
        if index % 2:
            record.outcome = Outcome(200)
            record.finished_at_s = float(index)
        table.add(record)
    table.expire(100.0)
    assert counters.dropped_for_memory == 20
    assert [record.request_id for record in table] == [f"r{index}" for index in range(0, 40, 2)]
    for record in table:
        record.outcome = Outcome(200)
        record.finished_at_s = 100.0
    table.expire(400.0)
    assert (len(table), table.size_bytes, counters.expired) == (0, 0, 20)


async def test_a_body_too_long_for_a_peer_message_does_not_stop_the_copies() -> None:
    fleet = RecordFleet()
    node = fleet.nodes["e0"]
    large = node.record(kind="plain")
    await node.store.accept(large)
    node.store.finish(large, Outcome(200, body=node.rng.randbytes(5_000_000)))
    small = await node.accept()
    await asyncio.sleep(GENERATION_S)
    assert large.outcome is not None
    assert len(large.outcome.body) == 5_000_000
    assert small.copied_pieces == len(small.pieces) > 0
    assert small.tokens == TOKENS
    await fleet.stop()
