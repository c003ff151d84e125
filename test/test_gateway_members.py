"""Registrations of daemons that another writer left: the others hold, and reports go on."""

from __future__ import annotations

import asyncio
import json
from random import Random

import msgspec
import pytest
from hypothesis import given

from godwitpath.decoding import Unreadable, is_ip_address
from godwitpath.gateway.holder_entry import HOLDER_KEY, HolderEntry, known_holder
from godwitpath.gateway.members import (
    MEMBERS_PREFIX,
    RENEW_S,
    SECRET_BYTES,
    SECRET_KEY,
    MemberEntry,
    Members,
    decode_member,
)
from godwitpath.gateway.peer_view import REPORT_TIMEOUT_S
from godwitpath.gateway.peers import REPORT_S
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore
from test.gateway_fleet import fleet
from test.mutations import DEEP, values_of_others

VALID = {"host": "10.0.0.1", "port": 7600, "zone": "a", "incarnation": 2**63 - 1}

ODD_MEMBERS = {
    "nested": json.dumps(VALID).encode()[:-1] + b',"notes":' + b"[" * DEEP + b"]" * DEEP + b"}",
    "port too large": json.dumps(VALID | {"port": 99_999}).encode(),
    "port below 0": json.dumps(VALID | {"port": -1}).encode(),
    "host with a null byte": json.dumps(VALID | {"host": "127.0.0.1\0"}).encode(),
    "long host": json.dumps(VALID | {"host": "h" * 300}).encode(),
    "bytes that are no text": b"\xff",
}


@given(values_of_others(VALID))
def test_any_registration_has_an_address_or_is_unreadable(value: bytes) -> None:
    try:
        entry = decode_member(value)
    except Unreadable:
        return
    assert is_ip_address(entry.host)
    assert 0 <= entry.port <= 65535
    msgspec.msgpack.encode(entry)


@pytest.mark.parametrize("kind", ODD_MEMBERS)
async def test_an_odd_registration_neither_stops_reports_nor_hides_others(kind: str) -> None:
    async with fleet(3, "a") as daemons:
        first, second, late = daemons
        await asyncio.sleep(2.0)
        await late.stop()
        core = first.store._core
        late_key = MEMBERS_PREFIX + late.name
        registration = core.items[late_key].value
        core.remove(late_key)
        core.put(MEMBERS_PREFIX + "d00-odd", ODD_MEMBERS[kind])
        await asyncio.sleep(REPORT_TIMEOUT_S + 0.5)
        core.put(late_key, registration)
        await asyncio.sleep(0.5)
        for each, other in ((first, second), (second, first)):
            assert other.name in each.peers.view.reporting()
            assert late.name in each.members.entries
            assert "d00-odd" not in each.members.entries
            assert not any(task.done() for task in each.tasks)


@pytest.mark.parametrize("odd", [b"", b"k" * 65], ids=["empty", "too long"])
async def test_a_secret_that_cannot_be_used_neither_stops_reports_nor_stays(odd: bytes) -> None:
    async with fleet(3, "a") as daemons:
        await asyncio.sleep(2.0)
        first = daemons[0]
        core, secret = first.store._core, first.members.secret
        # A value that is no base64 is read as an empty one.
        core.put(SECRET_KEY, odd)
        await asyncio.sleep(REPORT_TIMEOUT_S + RENEW_S + 1.0)
        assert core.items[SECRET_KEY].value == secret
        for each in daemons:
            assert each.members.secret == secret
            others = {other.name for other in daemons if other is not each}
            assert others <= set(each.peers.view.reporting())
            assert each.members.unreadable.counts["member_unreadable"] == 1
            assert not any(task.done() for task in each.tasks)


@pytest.mark.parametrize("odd", [b"", b"k" * 65], ids=["empty", "too long"])
async def test_daemons_that_start_beside_a_secret_that_cannot_be_used_replace_it(
    odd: bytes,
) -> None:
    async with fleet(1, "a") as [daemon]:
        core = daemon.store._core
        core.put(SECRET_KEY, odd)
        await asyncio.sleep(RENEW_S + 1.0)
        assert len(core.items[SECRET_KEY].value) == SECRET_BYTES
        assert daemon.members.secret == core.items[SECRET_KEY].value


CONTACT_S = 4.0
"""The bound `contactMs` of these deployments."""


@pytest.mark.looptime
async def test_a_silent_watch_does_not_hide_what_peers_know_of_longer_than_the_contact_time() -> (
    None
):
    core = StoreCore()
    store = FakeStore(core)
    members = Members(store, "d0", MemberEntry("10.0.0.1", 7600, "a", 1), Random(0))
    task = asyncio.create_task(members.run())
    await asyncio.sleep(3.0)
    store.faults.watches_silent = True
    core.put(MEMBERS_PREFIX + "d1", json.dumps(VALID).encode())
    core.put(HOLDER_KEY, msgspec.json.encode(HolderEntry("d1", 2**63 - 1, 5)))
    token = core.items[HOLDER_KEY].revision
    await asyncio.sleep(0.5)
    store.faults.watches_silent = False
    calls_before = core.calls["watch"]
    for _ in range(round(CONTACT_S / REPORT_S)):
        news = {"d1", token} - members.entries.keys() - {known_holder(members)[1]}
        members.note_unknown(news)
        await asyncio.sleep(REPORT_S)
    assert "d1" in members.entries
    assert known_holder(members) == ("d1", token)
    assert core.calls["watch"] - calls_before <= 4
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@pytest.mark.looptime
async def test_what_the_store_does_not_have_makes_a_daemon_ask_it_once() -> None:
    core = StoreCore()
    members = Members(FakeStore(core), "d0", MemberEntry("10.0.0.1", 7600, "a", 1), Random(0))
    task = asyncio.create_task(members.run())
    await asyncio.sleep(3.0)
    calls_before = core.calls["watch"]
    for _ in range(30):
        members.note_unknown(["gone"])
        await asyncio.sleep(REPORT_S)
    assert core.calls["watch"] - calls_before <= 3
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_a_daemon_whose_watch_fell_silent_knows_a_new_holder_within_the_contact_time() -> (
    None
):
    async with fleet(3, "a") as daemons:
        await asyncio.sleep(2.5)
        silent, holder, _ = daemons
        silent.store.faults.watches_silent = True
        core = silent.store._core
        core.put(
            HOLDER_KEY, msgspec.json.encode(HolderEntry(holder.name, holder.members.incarnation, 5))
        )
        token = core.items[HOLDER_KEY].revision
        await asyncio.sleep(1.0)
        silent.store.faults.watches_silent = False
        await asyncio.sleep(CONTACT_S - 1.0)
        assert {known_holder(each.members) for each in daemons} == {(holder.name, token)}
