"""Client of the platform's key-value store over HTTP."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable, Iterable, Sequence
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from godwitpath.decoding import Identifier, Unreadable, decode, parse_whole
from godwitpath.gateway.store import (
    MAX_ERA,
    Change,
    HistoryLost,
    Item,
    ItemUnreadable,
    Listing,
    Precondition,
    Put,
    TxnConflict,
    era_of,
    with_era,
    without_era,
)
from godwitpath.gateway.unreadable import UnreadableValues
from godwitpath.http1.messages import NotSent, ResponseHead, ResponseLost
from godwitpath.http1.transfers import MAX_TRANSFER_BYTES
from godwitpath.platform.http_api import MAX_ANSWER_BYTES, HttpApiClient
from godwitpath.platform.store_items import (
    MAX_ITEMS,
    ItemsDecoder,
    ItemsResponse,
    ListPage,
    Number,
    RawItem,
    TooManyItems,
    TxnConflictItems,
    UnreadableItem,
    WatchResult,
    read_revision,
    remove_future_changes,
)
from godwitpath.ports.engine import Address
from godwitpath.ports.kv import LeaseLapsed, StoreRefused, StoreUncertain
from godwitpath.telemetry.decisions import decision

T = TypeVar("T")
P = TypeVar("P", bound=ItemsResponse)

CALL_TIMEOUT_S = 1.5
"""Maximum wait for a response: a response takes 4 ms, with a slow store up to 100 times as long."""

WATCH_TIMEOUT_MARGIN_S = 0.8
"""Time between the end of a watch request's wait and the timeout of the request."""

ERA_HEADER = b"store-era"
"""Header field that states the store's era."""

MAX_LIST_PAGES = 1000
"""Maximum number of pages that are read for one listing, so that no listing is endless."""

MAX_LISTING_S = 60.0
"""Maximum time of a listing. That of 1,100 engines takes 33 s if each of its 22 pages begins at the
end of :data:`CALL_TIMEOUT_S`, and 20 s more on a share of 80 kB a second."""


class _TxnResult(msgspec.Struct):
    revision: Number


class _LeaseGrant(msgspec.Struct, rename="camel"):
    lease: Identifier


_item_decoder = msgspec.json.Decoder(RawItem)
_list_decoder = ItemsDecoder(ListPage, "entries")
_watch_decoder = ItemsDecoder(WatchResult, "events")
_conflict_decoder = ItemsDecoder(TxnConflictItems, "entries")


class PlatformStore:
    """Client of the platform's store.

    :ivar calls: number of calls to the store by kind and outcome
    :ivar unreadable: items in listings and changes that cannot be read
    """

    def __init__(self, address: Address) -> None:
        self._api = HttpApiClient(address)
        self._address = address
        self.calls = self._api.calls
        self.unreadable = UnreadableValues("store_item_unreadable")
        # Newest era of a response, None before the first one.
        self._era: int | None = None
        self._restored_listeners: list[Callable[[int], None]] = []

    def on_restored(self, listener: Callable[[int], None]) -> None:
        self._restored_listeners.append(listener)

    async def get(self, key: str) -> Item | None:
        status, body, era = await self._read("get", f"/kv-key?{urlencode({'key': key})}")
        if status == 404:
            return None
        try:
            return _to_item(decode(_item_decoder, body), era)
        except Unreadable as error:
            number, leased = read_revision(body)
            reason = f"item of {key} cannot be read: {error}"
            raise ItemUnreadable(reason, with_era(era, number), leased) from error

    async def list_items(self, prefix: str) -> Listing:
        try:
            async with asyncio.timeout(MAX_LISTING_S):
                return await self._list_pages(prefix)
        except TimeoutError as error:
            raise self._limit_exceeded("list", "listing seconds", int(MAX_LISTING_S)) from error

    async def changes(self, prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
        number = without_era(after)
        if self._era not in (None, era_of(after)):
            raise HistoryLost(f"the store was restored after revision {number} of {prefix}")
        query = {"prefix": prefix, "after": number, "waitMs": int(wait_s * 1000)}
        status, body, era = await self._read(
            "watch", f"/kv-watch?{urlencode(query)}", timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S
        )
        if status == 410:
            raise HistoryLost(f"the history of {prefix} after revision {number} was removed")
        if era != era_of(after):
            raise HistoryLost(f"the store was restored after revision {number} of {prefix}")
        try:
            response, unreadable = _decode_items(body, _watch_decoder, prefix)
        except TooManyItems as error:
            # A listing may have fewer items than the history.
            refused = self._limit_exceeded("watch", "items", error.amount)
            raise HistoryLost(str(refused)) from error
        unreadable += remove_future_changes(response)
        self._note_unreadable(prefix, unreadable)
        if any(each.any_key for each in unreadable):
            raise HistoryLost(f"a change of {prefix} after revision {number} has no key")
        changes = [_to_change(event, era) for event in response.events]
        for change in changes:
            self.unreadable.forget(change.key)
        revision = with_era(era, response.current_rev)
        changes += [
            Change(each.key, revision, None, readable=False)
            for each in unreadable
            if each.key is not None
        ]
        return changes, revision

    async def transact(
        self,
        conditions: Sequence[Precondition],
        puts: Sequence[Put] = (),
        removals: Sequence[str] = (),
    ) -> int:
        era_before = self._era
        for condition in conditions:
            if condition.revision and era_before not in (None, era_of(condition.revision)):
                raise StoreRefused(f"txn: the store was restored since {condition.key} was read")
        body = {
            "expectedRevision": [
                {"key": condition.key, "revision": without_era(condition.revision)}
                for condition in conditions
            ],
            "puts": [_encode_put(put) for put in puts],
            "remove": list(removals),
        }
        status, response, era = await self._write("txn", "POST", "/kv-txn", body)
        if status == 412:
            try:
                current, _ = _decode_items(response, _conflict_decoder)
            except TooManyItems as error:
                refused = self._limit_exceeded("txn", "items", error.amount)
                raise StoreUncertain(str(refused)) from error
            raise TxnConflict([_to_item(entry, era) for entry in current.entries])
        if status == 404:
            raise LeaseLapsed("the lease of a put has ended")
        if conditions and era_before not in (None, era):
            raise StoreUncertain("txn: its conditions may have matched revisions given out again")
        return with_era(era, _decode(response, _TxnResult).revision)

    async def grant(self, ttl_s: float) -> int:
        _, response, _ = await self._write(
            "grant", "POST", "/kv-lease", {"ttlMs": int(ttl_s * 1000)}
        )
        return _decode(response, _LeaseGrant).lease

    async def renew(self, lease_id: int) -> None:
        status, _, _ = await self._write("renew", "POST", f"/kv-keep/{lease_id}", None)
        if status == 404:
            raise LeaseLapsed(f"lease {lease_id} has ended")

    async def end_lease(self, lease_id: int) -> None:
        await self._write("end_lease", "DELETE", f"/kv-lease-end/{lease_id}", None)

    def close(self) -> None:
        """Close every connection."""
        self._api.close()

    async def _list_pages(self, prefix: str) -> Listing:
        items: list[Item] = []
        unreadable: list[UnreadableItem] = []
        revision = 0
        first_era = 0
        after = ""
        total_bytes = 0
        for page_number in range(MAX_LIST_PAGES):
            query = {"prefix": prefix} | ({"after": after} if after else {})
            _, body, era = await self._read("list", f"/kv-range?{urlencode(query)}")
            total_bytes += len(body)
            if total_bytes > MAX_TRANSFER_BYTES:
                raise self._limit_exceeded("list", "listing bytes", total_bytes)
            try:
                page, unreadable_of_page = _decode_items(body, _list_decoder, prefix)
            except TooManyItems as error:
                raise self._limit_exceeded("list", "items", error.amount) from error
            if page_number == 0:
                revision, first_era = with_era(era, page.current_rev), era
            elif era != first_era:
                raise StoreRefused("list: the store was restored between two pages")
            items.extend(_to_item(entry, era) for entry in page.entries)
            unreadable.extend(unreadable_of_page)
            if len(items) + len(unreadable) > MAX_ITEMS:
                raise self._limit_exceeded("list", "items", len(items) + len(unreadable))
            if not page.has_more:
                break
            last_key = page.entries[-1].key if page.entries else ""
            if last_key <= after:
                raise StoreRefused("list: a page has no key that the next one begins after")
            after = last_key
        else:
            raise StoreRefused(f"list: more than {MAX_LIST_PAGES} pages")
        self._note_unreadable(prefix, unreadable)
        for item in items:
            self.unreadable.forget(item.key)
        return Listing(
            items,
            revision,
            frozenset(each.key for each in unreadable if each.key is not None),
            any(each.any_key for each in unreadable),
        )

    async def _read(
        self, kind: str, target: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> tuple[int, bytes, int]:
        try:
            return await self._call(kind, "GET", target, None, timeout_s, MAX_TRANSFER_BYTES)
        except StoreUncertain as error:
            raise StoreRefused(str(error)) from error

    async def _write(
        self, kind: str, method: str, target: str, body: Any
    ) -> tuple[int, bytes, int]:
        # The response to a transaction whose conditions do not hold contains the current values.
        max_bytes = MAX_TRANSFER_BYTES if kind == "txn" else MAX_ANSWER_BYTES
        return await self._call(kind, method, target, body, CALL_TIMEOUT_S, max_bytes)

    async def _call(
        self,
        kind: str,
        method: str,
        target: str,
        body: Any,
        timeout_s: float,
        max_body_bytes: int,
    ) -> tuple[int, bytes, int]:
        """Make a call; returns status and body of the response, and the store's era.

        :raises StoreUncertain: no response, or one from before the store was restored
        """
        try:
            response = await self._api.call(
                kind, method, target, body, timeout_s=timeout_s, max_body_bytes=max_body_bytes
            )
        except NotSent as error:
            raise StoreRefused(f"{kind}: {error}") from error
        except ResponseLost as error:
            raise StoreUncertain(f"{kind}: {error}") from error
        return response.status, response.body, self._note_era(kind, response.head)

    def _limit_exceeded(self, kind: str, limit: str, amount: int) -> StoreRefused:
        """Count and log a response that would cost too much, and return the error."""
        self.calls[(kind, "limit_exceeded")] += 1
        decision(
            "platform_response_limit",
            address=str(self._address),
            call=kind,
            limit=limit,
            amount=amount,
        )
        return StoreRefused(f"{kind}: the response exceeds the limit of {limit}: {amount}")

    def _note_unreadable(self, prefix: str, items: Iterable[UnreadableItem]) -> None:
        for item in items:
            if item.removed:
                self.unreadable.forget(item.label)
            else:
                self.unreadable.note(item.label, item.reason, prefix=prefix)

    def _note_era(self, kind: str, head: ResponseHead) -> int:
        """Return the era that a response states, 0 if it states none."""
        value = head.header(ERA_HEADER)
        era = parse_whole(value or b"0")
        if era is None or era > MAX_ERA:
            decision("store_era_unreadable", call=kind, value=value[:40].decode("latin-1"))
            raise StoreUncertain(f"{kind}: the store's era cannot be read")
        era_before = self._era
        if era_before is not None and era < era_before:
            raise StoreUncertain(f"{kind}: response of era {era}, after one of era {era_before}")
        self._era = era
        if era_before is not None and era > era_before:
            decision("store_restored", era=era, before=era_before)
            self.calls[("restored", "")] += 1
            for listener in self._restored_listeners:
                listener(era)
        return era


def _decode(body: bytes, response_type: type[T]) -> T:
    try:
        return decode(msgspec.json.Decoder(response_type), body)
    except Unreadable as error:
        raise StoreUncertain(f"response of the store cannot be decoded: {error}") from error


def _decode_items(
    body: bytes, decoder: ItemsDecoder[P], prefix: str = ""
) -> tuple[P, list[UnreadableItem]]:
    try:
        return decoder.decode(body, prefix)
    except TooManyItems:
        raise
    except Unreadable as error:
        raise StoreUncertain(f"response of the store cannot be decoded: {error}") from error


def _to_item(raw: RawItem, era: int) -> Item:
    try:
        value = base64.b64decode(raw.value, validate=True)
    except ValueError:
        # Not valid base64, written by another client. Decoders reject the empty value.
        value = b""
    revision, created_revision = with_era(era, raw.revision), with_era(era, raw.create_revision)
    return Item(raw.key, value, revision, created_revision, raw.lease)


def _to_change(raw: RawItem, era: int) -> Change:
    item = None if raw.removed else _to_item(raw, era)
    return Change(raw.key, with_era(era, raw.revision), item)


def _encode_put(put: Put) -> dict[str, Any]:
    value = base64.b64encode(put.value).decode()
    encoded: dict[str, Any] = {"key": put.key, "value": value}
    if put.lease_id:
        encoded["lease"] = put.lease_id
    return encoded
