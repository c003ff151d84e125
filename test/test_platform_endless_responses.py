"""Responses of the store, the cloud and engines that do not end: the call does, in bounded time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from godwitpath.gateway.cloud import CloudUncertain, FencingToken
from godwitpath.gateway.evacuate import MoveFailed
from godwitpath.gateway.store import HistoryLost
from godwitpath.platform import store_items
from godwitpath.platform.cloud import PlatformCloud
from godwitpath.platform.http_api import MAX_ANSWER_BYTES
from godwitpath.platform.run_mover import PlatformRunMover
from godwitpath.platform.store import PlatformStore
from godwitpath.ports.engine import Address
from godwitpath.ports.kv import StoreError, StoreRefused, StoreUncertain
from test.raw_server import Exchange, raw_server

TOKEN = FencingToken("d1", 7, lambda: True)

ANSWERED_WITHIN_S = 3.0

Call = Callable[[Address, Counter[tuple[str, str]]], Awaitable[object]]


async def watch(address: Address, calls: Counter[tuple[str, str]]) -> None:
    store = PlatformStore(address)
    try:
        await store.changes("k/", 1, 0.2)
    finally:
        calls.update(store.calls)
        store.close()


async def renew(address: Address, calls: Counter[tuple[str, str]]) -> None:
    store = PlatformStore(address)
    try:
        await store.renew(1)
    finally:
        calls.update(store.calls)
        store.close()


async def report(address: Address, calls: Counter[tuple[str, str]]) -> None:
    cloud = PlatformCloud(address)
    try:
        await cloud.report_usage(TOKEN, 1, {"a": 1})
    finally:
        calls.update(cloud.calls)
        cloud.close()


async def order(address: Address, calls: Counter[tuple[str, str]]) -> None:
    cloud = PlatformCloud(address)
    try:
        await cloud.order_engines(TOKEN, "s", "a", 1, False)
    finally:
        calls.update(cloud.calls)
        cloud.close()


async def move(address: Address, calls: Counter[tuple[str, str]]) -> None:
    await PlatformRunMover().move_run(address, "r1", address)


async def send_slowly(exchange: Exchange) -> None:
    exchange.start_chunks()
    with suppress(OSError):
        while True:
            exchange.chunk(b" ")
            await exchange.writer.drain()
            await asyncio.sleep(0.2)


async def send_fast(exchange: Exchange) -> None:
    exchange.start_chunks()
    with suppress(OSError):
        while True:
            exchange.chunk(b" " * 60_000)
            await exchange.writer.drain()


@pytest.mark.parametrize(
    ("call", "failure"),
    [
        (watch, StoreRefused),
        (renew, StoreUncertain),
        (report, CloudUncertain),
        (order, CloudUncertain),
        (move, MoveFailed),
    ],
)
async def test_a_call_ends_although_its_response_goes_on_slowly_without_end(
    call: Call, failure: type[Exception]
) -> None:
    calls: Counter[tuple[str, str]] = Counter()
    async with raw_server(send_slowly) as server:
        async with asyncio.timeout(ANSWERED_WITHIN_S):
            with pytest.raises(failure, match="timed out after"):
                await call(server.address, calls)
    assert all(outcome == "lost" for _, outcome in calls)


@pytest.mark.parametrize(
    ("call", "failure", "kind"),
    [
        (renew, StoreUncertain, "renew"),
        (report, CloudUncertain, "usage"),
        (order, CloudUncertain, "scale"),
        (move, MoveFailed, ""),
    ],
)
async def test_a_response_without_values_is_not_kept_beyond_its_bound(
    call: Call, failure: type[Exception], kind: str
) -> None:
    calls: Counter[tuple[str, str]] = Counter()
    async with raw_server(send_fast) as server:
        async with asyncio.timeout(ANSWERED_WITHIN_S):
            with pytest.raises(failure, match="limit of body bytes") as raised:
                await call(server.address, calls)
    amount = int(str(raised.value).split()[-1])
    assert MAX_ANSWER_BYTES < amount < 4 * MAX_ANSWER_BYTES
    assert calls == (Counter({(kind, "limit_exceeded"): 1}) if kind else Counter())


async def test_a_large_body_without_a_stated_length_is_read() -> None:
    async def send(exchange: Exchange) -> None:
        exchange.start_chunks()
        exchange.chunk(b'{"currentRev":7,"events":[')
        for _ in range(40):
            exchange.chunk(b" " * 60_000)
            await exchange.writer.drain()
            await asyncio.sleep(0.02)
        exchange.chunk(b"]}")
        exchange.chunk(b"")

    async with raw_server(send) as server:
        store = PlatformStore(server.address)
        try:
            assert await store.changes("k/", 1, 0.2) == ([], 7)
        finally:
            store.close()


INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100
FIELDS = b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 1_000
TRAILERS = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n" + b"a: b\r\n" * 1_000


@pytest.mark.parametrize(
    ("data", "limit"),
    [(INTERIM, "interim responses"), (FIELDS, "fields"), (TRAILERS, "fields")],
    ids=["interim responses", "fields", "trailers"],
)
@pytest.mark.parametrize(("call", "failure"), [(watch, StoreRefused), (report, CloudUncertain)])
async def test_heads_and_trailers_of_the_platform_are_bounded(
    call: Call, failure: type[Exception], data: bytes, limit: str
) -> None:
    async def send(exchange: Exchange) -> None:
        exchange.writer.write(data)
        await exchange.writer.drain()

    calls: Counter[tuple[str, str]] = Counter()
    async with raw_server(send) as server, asyncio.timeout(ANSWERED_WITHIN_S):
        with pytest.raises(failure, match=f"limit of {limit}"):
            await call(server.address, calls)
    assert [outcome for _, outcome in calls] == ["limit_exceeded"]


MANY = 30_000


def listed(entries: bytes, has_more: bool = False) -> bytes:
    more = b"true" if has_more else b"false"
    return b'{"currentRev":7,"entries":[' + entries + b'],"hasMore":' + more + b"}"


def tiny_items() -> bytes:
    return b",".join(b'{"key":"k/%d","revision":1}' % number for number in range(MANY))


async def list_all(address: Address) -> tuple[Counter[tuple[str, str]], str]:
    """List a prefix, which fails; returns the counted calls and why it failed."""
    store = PlatformStore(address)
    try:
        with pytest.raises(StoreError) as raised:
            await store.list_items("k/")
        return store.calls, str(raised.value)
    finally:
        store.close()


@pytest.mark.parametrize(
    ("entries", "outcomes"),
    [
        (tiny_items(), {"200", "limit_exceeded"}),
        (b"1," * MANY + b"1", {"200", "limit_exceeded"}),
        (b"[" + b"1," * 400_000 + b"1]", {"200"}),
    ],
    ids=["tiny items", "no objects", "one long array"],
)
async def test_a_page_of_very_many_items_is_refused_before_objects_are_made_of_them(
    entries: bytes, outcomes: set[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    made = Counter[str]()
    describe = store_items._describe

    def count(text: bytes, reason: str) -> store_items.UnreadableItem:
        made["item"] += 1
        return describe(text, reason)

    monkeypatch.setattr(store_items, "_describe", count)
    async with raw_server(lambda exchange: respond(exchange, listed(entries))) as server:
        calls, reason = await list_all(server.address)
    assert "items" in reason or "tokens" in reason
    assert {outcome for _, outcome in calls} == outcomes
    assert not made


@pytest.mark.parametrize(("items", "value_bytes"), [(900, 0), (1, 3_000_000)])
async def test_pages_without_end_are_refused_in_bounded_memory(
    items: int, value_bytes: int
) -> None:
    async def serve(exchange: Exchange) -> None:
        first = exchange.number * items
        entries = b",".join(
            b'{"key":"k/%09d","revision":1,"value":"%b"}' % (number, b"A" * value_bytes)
            for number in range(first, first + items)
        )
        await respond(exchange, listed(entries, has_more=True))

    async with raw_server(serve) as server:
        calls, reason = await list_all(server.address)
    assert "items" in reason or "listing bytes" in reason
    assert calls[("list", "limit_exceeded")] == 1
    assert calls[("list", "200")] < 25


async def test_a_watch_of_very_many_changes_is_followed_by_a_listing() -> None:
    body = b'{"currentRev":7,"events":[' + tiny_items() + b"]}"
    async with raw_server(lambda exchange: respond(exchange, body)) as server:
        store = PlatformStore(server.address)
        with pytest.raises(HistoryLost, match="limit of items"):
            await store.changes("k/", 1, 0.2)
        store.close()
    assert store.calls[("watch", "limit_exceeded")] == 1


async def respond(exchange: Exchange, body: bytes) -> None:
    exchange.respond(body)
    await exchange.writer.drain()
