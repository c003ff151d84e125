"""Responses of the store with odd values: each one is a result or an error of the store."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.gateway.store import HistoryLost, ItemUnreadable, Listing, TxnConflict
from godwitpath.http1.messages import ResponseHead
from godwitpath.platform import store as platform_store
from godwitpath.platform.http_api import ApiResponse
from godwitpath.platform.store import CALL_TIMEOUT_S, MAX_LISTING_S, PlatformStore
from godwitpath.platform.store_items import read_revision
from godwitpath.ports.engine import Address
from godwitpath.ports.kv import StoreError, StoreRefused
from test.mutations import DEEP, ODD_VALUES, mutated, values_of_others

ITEM = {
    "key": "servers/i-1",
    "value": base64.b64encode(b"v").decode(),
    "revision": 5,
    "createRevision": 4,
    "lease": 3,
}
RANGE = {"currentRev": 7, "entries": [ITEM], "hasMore": False}
WATCH = {"currentRev": 7, "events": [ITEM, {"key": "k", "revision": 6, "removed": True}]}

MAX_REVISION = 2**53


class AnsweringApi:
    """Answers each call with the same response."""

    def __init__(self, body: bytes, era: bytes, status: int = 200) -> None:
        self.response = ApiResponse(status, body, ResponseHead(status, b"", [(b"store-era", era)]))

    async def call(self, *args: object, **options: object) -> ApiResponse:
        return self.response


def answered(body: bytes, era: bytes = b"", status: int = 200) -> PlatformStore:
    store = PlatformStore(Address("127.0.0.1", 1))
    store._api = AnsweringApi(body, era, status)  # type: ignore[assignment]
    return store


def item(key: str, **fields: Any) -> bytes:
    return json.dumps(ITEM | {"key": key} | fields).encode()


def with_items(field: str, *items: bytes) -> bytes:
    """Return a response with JSON texts in place of items."""
    return b'{"currentRev":7,"%b":[%b]}' % (field.encode(), b",".join(items))


def listed(*items: bytes) -> Listing:
    return asyncio.run(answered(with_items("entries", *items)).list_items("servers/"))


BETWEEN_OTHERS = [item("servers/a"), item("servers/z")]

ODD_ITEMS = st.one_of(
    mutated(ITEM, ODD_VALUES).map(lambda each: json.dumps(each).encode()),
    st.text(st.characters(categories=["Cs", "Cc", "Lu"])).map(lambda text: item("servers/" + text)),
    st.sampled_from(
        (
            b"[" * DEEP + b"]" * DEEP,
            b'{"key":"servers/b","notes":' + b'{"a":[' * DEEP + b"]}" * DEEP + b"}",
            item("servers/#").replace(b"#", b"\xff"),
            item("servers/#").replace(b"#", b"\0"),
            item("servers/#").replace(b"#", b'\\udc00\\"'),
            b"null",
            b"1" * 5_000,
            b"nonsense",
        )
    ),
)
"""JSON texts in place of an item, whose strings end and whose brackets match."""


@given(values_of_others(ITEM))
def test_any_item_is_within_bounds_or_an_error_of_the_store(body: bytes) -> None:
    try:
        item = asyncio.run(answered(body).get("k"))
    except StoreError:
        return
    assert item is not None
    assert 0 <= item.created_revision <= MAX_REVISION
    assert 0 <= item.revision <= MAX_REVISION


@given(values_of_others(RANGE))
def test_any_listing_is_within_bounds_or_an_error_of_the_store(body: bytes) -> None:
    try:
        listing = asyncio.run(answered(body).list_items("servers/"))
    except StoreError:
        return
    assert all(0 <= item.revision <= MAX_REVISION for item in listing.items)
    assert 0 <= listing.revision <= MAX_REVISION


@given(values_of_others(WATCH))
def test_any_watch_is_within_bounds_or_an_error_of_the_store(body: bytes) -> None:
    try:
        changes, revision = asyncio.run(answered(body).changes("servers/", 5, 0.1))
    except StoreError:
        return
    assert all(0 <= change.revision <= MAX_REVISION for change in changes)
    assert 0 <= revision <= MAX_REVISION


@given(values_of_others({"revision": 5, "lease": 7}))
def test_any_result_of_a_write_is_within_bounds_or_an_error(body: bytes) -> None:
    for call in (lambda store: store.transact([]), lambda store: store.grant(1.0)):
        try:
            number = asyncio.run(call(answered(body)))
        except StoreError:
            continue
        assert 0 <= number <= MAX_REVISION


@given(ODD_ITEMS)
def test_an_item_that_cannot_be_read_costs_no_other_item_of_a_listing(odd: bytes) -> None:
    keys = [each.key for each in listed(BETWEEN_OTHERS[0], odd, BETWEEN_OTHERS[1]).items]
    assert keys[0] == "servers/a"
    assert keys[-1] == "servers/z"


@given(ODD_ITEMS)
def test_an_item_that_cannot_be_read_costs_no_other_change(odd: bytes) -> None:
    body = with_items("events", BETWEEN_OTHERS[0], odd, BETWEEN_OTHERS[1])
    if listed(odd).any_key_missing:
        # The prefix is listed again, since the change may be that of any key.
        with pytest.raises(HistoryLost, match="has no key"):
            asyncio.run(answered(body).changes("servers/", 5, 0.1))
        return
    changes, revision = asyncio.run(answered(body).changes("servers/", 5, 0.1))
    assert revision == 7
    assert {"servers/a", "servers/z"} <= {change.key for change in changes if change.readable}


@pytest.mark.parametrize(
    ("odd", "unreadable_keys", "any_key_missing"),
    [
        (item("servers/b", revision=-1), {"servers/b"}, False),
        (item("servers/b", value=7), {"servers/b"}, False),
        (item("servers/b", lease=2**63), {"servers/b"}, False),
        (item("servers/b", value="\ud800"), {"servers/b"}, False),
        (b'{"key":"servers/b","notes":' + b"[" * DEEP + b"]" * DEEP + b"}", {"servers/b"}, False),
        (item("servers/b\ud800"), set(), False),
        (item("servers/" + "b" * 200), set(), False),
        (item("elsewhere/b"), set(), False),
        (b'{"revision":5}', set(), True),
        (b'{"key":7,"revision":5}', set(), True),
        (b"7", set(), True),
    ],
)
def test_a_listing_states_which_keys_it_does_not_say_anything_of(
    odd: bytes, unreadable_keys: set[str], any_key_missing: bool
) -> None:
    listing = listed(*BETWEEN_OTHERS, odd)
    assert [each.key for each in listing.items] == ["servers/a", "servers/z"]
    assert listing.unreadable_keys == unreadable_keys
    assert listing.any_key_missing is any_key_missing


def test_an_odd_item_is_counted_once_until_it_changes_or_is_removed() -> None:
    odd = item("servers/b\ud800")
    store = answered(with_items("entries", odd))
    counts = store.unreadable.counts
    for _ in range(3):
        asyncio.run(store.list_items("servers/"))
    assert counts == {"store_item_unreadable": 1}
    changes = [odd, item("servers/b\ud800", removed=True), odd]
    store._api = AnsweringApi(with_items("events", *changes), b"")  # type: ignore[assignment]
    assert asyncio.run(store.changes("servers/", 5, 0.1)) == ([], 7)
    assert counts == {"store_item_unreadable": 2}


def test_a_change_with_a_revision_after_the_stores_own_costs_no_other_change() -> None:
    odd = item("servers/b", revision=2**40 - 1)
    store = answered(with_items("events", BETWEEN_OTHERS[0], odd, BETWEEN_OTHERS[1]))
    changes, revision = asyncio.run(store.changes("servers/", 5, 0.1))
    assert revision == 7
    assert all(change.revision <= revision for change in changes)
    assert {change.key: change.readable for change in changes} == {
        "servers/a": True,
        "servers/b": False,
        "servers/z": True,
    }
    assert store.unreadable.counts == {"store_item_unreadable": 1}


@pytest.mark.parametrize("items", [(item("servers/b\ud800"),), ()])
def test_a_page_after_which_no_other_can_be_read_is_no_whole_listing(
    items: tuple[bytes, ...],
) -> None:
    body = with_items("entries", *items)[:-1] + b',"hasMore":true}'
    with pytest.raises(StoreError):
        asyncio.run(answered(body).list_items("servers/"))


@pytest.mark.parametrize(
    "body",
    [
        with_items("entries", item("servers/a"), item("servers/b\ud800"))[:-1],
        with_items("entries", item("servers/b\ud800"), b""),
        with_items("entries", item("servers/b\ud800")) + b"}",
        with_items("entries", item("servers/b\ud800") + b"]"),
        with_items("entries", item("servers/b\ud800")).replace(b"7,", b"-7,", 1),
        b'{"currentRev":7,"entries":' + item("servers/b\ud800") + b"}",
    ],
)
def test_a_page_that_is_damaged_itself_is_an_error_of_the_store(body: bytes) -> None:
    with pytest.raises(StoreError):
        asyncio.run(answered(body).list_items("servers/"))


def test_an_unreadable_item_beside_a_conflict_leaves_it_a_conflict() -> None:
    store = answered(with_items("entries", item("gateway/holder", revision=-1)), status=412)
    with pytest.raises(TxnConflict):
        asyncio.run(store.transact([]))


def test_an_item_that_cannot_be_read_by_itself_is_not_taken_for_absent() -> None:
    with pytest.raises(ItemUnreadable):
        asyncio.run(answered(item("gateway/holder", revision=-1)).get("gateway/holder"))


@pytest.mark.parametrize(
    ("odd", "revision", "leased"),
    [
        (item("gateway/holder", value=7, lease=0), 5, False),
        (item("gateway/holder", value="\ud800"), 5, True),
        (
            item("gateway/holder", notes="#", lease=0).replace(b'"#"', b"[" * DEEP + b"]" * DEEP),
            5,
            False,
        ),
        (item("gateway/holder", createRevision=2**40, lease=0), 5, False),
        (item("gateway/holder", lease=2**63), 5, True),
        (item("gateway/holder", lease=None, value=7), 5, True),
        (item("gateway/holder", revision=-1), 0, True),
        (item("gateway/holder", revision=10**30), 0, True),
        (b'{"key":"gateway/holder","value":7}', 0, False),
        (b"7", 0, True),
    ],
)
def test_an_item_that_cannot_be_read_by_itself_states_what_replaces_it(
    odd: bytes, revision: int, leased: bool
) -> None:
    with pytest.raises(ItemUnreadable) as raised:
        asyncio.run(answered(odd).get("gateway/holder"))
    assert (raised.value.revision, raised.value.leased) == (revision, leased)


@given(ODD_ITEMS)
def test_any_item_has_a_revision_within_the_protocol_or_none(odd: bytes) -> None:
    number, _ = read_revision(odd)
    assert 0 <= number <= MAX_REVISION


@pytest.mark.parametrize("era", [b"9" * 5_000, b"8192", b"-1", b"\xb2", b"1e3"])
def test_an_era_that_is_no_era_is_an_error_of_the_store(era: bytes) -> None:
    with pytest.raises(StoreError):
        asyncio.run(answered(json.dumps(ITEM).encode(), era).get("k"))


def test_a_response_of_a_later_era_tells_of_a_restore_once() -> None:
    async def hear_eras() -> list[int]:
        eras: list[int] = []
        store = answered(json.dumps(ITEM).encode(), b"1")
        store.on_restored(eras.append)
        for era in (b"1", b"2", b"2", b"4"):
            store._api = AnsweringApi(json.dumps(ITEM).encode(), era)  # type: ignore[assignment]
            await store.get("k")
        return eras

    assert asyncio.run(hear_eras()) == [2, 4]


class SlowPagesApi:
    """Lists items in pages, each of which takes some time.

    :param item_count: number of items, None for pages without end
    """

    def __init__(self, item_count: int | None, page_items: int, page_s: float) -> None:
        self._item_count = item_count
        self._page_items = page_items
        self._page_s = page_s
        self._listed = 0

    async def call(self, *args: object, **options: object) -> ApiResponse:
        await asyncio.sleep(self._page_s)
        first, self._listed = self._listed, self._listed + self._page_items
        numbers = range(first, min(self._listed, self._item_count or self._listed))
        entries = b",".join(item(f"servers/{number:06}") for number in numbers)
        has_more = b"false" if self._listed == self._item_count else b"true"
        body = b'{"currentRev":7,"entries":[' + entries + b'],"hasMore":' + has_more + b"}"
        return ApiResponse(200, body, ResponseHead(200, b"", []))


def listing_slowly(item_count: int | None, page_items: int, page_s: float) -> PlatformStore:
    store = answered(b"")
    store._api = SlowPagesApi(item_count, page_items, page_s)  # type: ignore[assignment]
    return store


@pytest.mark.looptime
async def test_a_listing_in_many_slow_pages_is_given_up_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limits: list[str] = []
    monkeypatch.setattr(
        platform_store, "decision", lambda kind, **fields: limits.append(fields["limit"])
    )
    store = listing_slowly(None, page_items=1, page_s=1.4)
    started_at_s = asyncio.get_running_loop().time()
    with pytest.raises(StoreRefused, match="listing seconds"):
        await store.list_items("servers/")
    assert asyncio.get_running_loop().time() - started_at_s == pytest.approx(MAX_LISTING_S)
    assert store.calls[("list", "limit_exceeded")] == 1
    assert limits == ["listing seconds"]


@pytest.mark.looptime
async def test_the_listing_of_the_largest_fleet_is_read_from_the_slowest_store() -> None:
    store = listing_slowly(1_100, page_items=50, page_s=CALL_TIMEOUT_S)
    assert len((await store.list_items("servers/")).items) == 1_100
