"""Decodes the items in responses of the store, where one that cannot be read costs only itself."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Annotated, Generic, TypeVar

import msgspec

from godwitpath.decoding import Identifier, Unreadable, decode
from godwitpath.gateway.store import ERA_BITS
from godwitpath.platform.json_parts import split_array, split_object

P = TypeVar("P", bound="ItemsResponse")

MAX_KEY_LENGTH = 200
"""Maximum length of a key of the store."""

MAX_ITEMS = 20_000
"""Maximum number of items of a response, and of a whole listing, many times those of the largest
fleets: a short item takes several times as much memory as it has bytes."""

Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << ERA_BITS) - 1)]
"""The store's own number of a revision."""

_Key = Annotated[str, msgspec.Meta(max_length=MAX_KEY_LENGTH)]


class RawItem(msgspec.Struct, rename="camel"):
    """An item, or the removal of a key, as the store sends it."""

    key: _Key
    revision: Number
    # Value in standard base64.
    value: str = ""
    # Revision of the write that created the key.
    create_revision: Number = 0
    lease: Identifier = 0
    removed: bool = False


class ItemsResponse(msgspec.Struct, rename="camel"):
    """A response with items, in a field that each subclass declares."""


class ListPage(ItemsResponse):
    """A page of a listing."""

    current_rev: Number
    entries: list[RawItem] = []
    has_more: bool = False


class WatchResult(ItemsResponse):
    """Changes of a prefix."""

    current_rev: Number
    events: list[RawItem] = []


class TxnConflictItems(ItemsResponse):
    """Existing keys among those of the preconditions."""

    entries: list[RawItem] = []


@dataclass(slots=True, frozen=True)
class UnreadableItem:
    """An item that cannot be read.

    :ivar label: what is known of its key, for the log
    :ivar key: its key, None if that cannot be read either
    :ivar any_key: whether it has no key at all, so that it may be the item of any key
    :ivar removed: whether it states the removal of its key
    """

    label: str
    reason: str
    key: str | None = None
    any_key: bool = False
    removed: bool = False


class TooManyItems(Unreadable):
    """A response or a listing has too many items.

    :ivar amount: number of items, at least as far as they were counted
    """

    def __init__(self, amount: int) -> None:
        super().__init__(f"more than {MAX_ITEMS} items: {amount}")
        self.amount = amount


class ItemsDecoder(Generic[P]):
    """Decodes a type of response that has items in one of its fields.

    :param response_type: type of the response
    :param items_field: the field that contains its items
    """

    def __init__(self, response_type: type[P], items_field: str) -> None:
        self._decoder = msgspec.json.Decoder(response_type)
        self._items_field = items_field

    def decode(self, body: bytes, prefix: str = "") -> tuple[P, list[UnreadableItem]]:
        """Return a response with the items that can be read, and the others.

        :param prefix: prefix of the keys that the response is about
        :raises TooManyItems: the response has more items than :data:`MAX_ITEMS`
        :raises Unreadable: the response cannot be read, apart from its items
        """
        # Before objects are made of them. An item is an object, and so is the response.
        brackets = body.count(b"{") - 1
        if brackets > MAX_ITEMS:
            raise TooManyItems(brackets)
        unreadable: list[UnreadableItem] = []
        try:
            response = decode(self._decoder, body)
        except Unreadable:
            response, unreadable = self._decode_parts(body)
        items: list[RawItem] = getattr(response, self._items_field)
        others = [item for item in items if not item.key.startswith(prefix)]
        if others:
            items[:] = [item for item in items if item.key.startswith(prefix)]
            unreadable += [
                UnreadableItem(item.key, f"not under {prefix}", removed=item.removed)
                for item in others
            ]
        return response, unreadable

    def _decode_parts(self, body: bytes) -> tuple[P, list[UnreadableItem]]:
        fields = split_object(body)
        texts = split_array(fields.pop(self._items_field, b"[]"))
        if len(texts) > MAX_ITEMS:
            raise TooManyItems(len(texts))
        rest = b",".join(msgspec.json.encode(name) + b":" + fields[name] for name in fields)
        response = decode(self._decoder, b"{" + rest + b"}")
        items = getattr(response, self._items_field)
        unreadable = []
        for text in texts:
            try:
                items.append(decode(_item_decoder, text))
            except Unreadable as error:
                unreadable.append(_describe(text, str(error)))
        return response, unreadable


def remove_future_changes(result: WatchResult) -> list[UnreadableItem]:
    """Remove the changes that state a later revision than the store's, and return them."""
    later = [event for event in result.events if event.revision > result.current_rev]
    if later:
        result.events = [event for event in result.events if event.revision <= result.current_rev]
    return [
        UnreadableItem(
            event.key, "a later revision than the store's", event.key, removed=event.removed
        )
        for event in later
    ]


def read_revision(text: bytes) -> tuple[int, bool]:
    """Read what replaces an item that cannot be read as a whole.

    :returns: the store's own number of its revision, 0 if unknown, and whether it may be kept under
        a lease
    """
    try:
        fields = split_object(text)
        number = decode(_number_decoder, fields.get("revision", b"0"))
    except Unreadable:
        return 0, True
    return number, fields.get("lease", b"0") != b"0"


def _describe(text: bytes, reason: str) -> UnreadableItem:
    """Return what is known of an item that cannot be read."""
    checksum = f"{zlib.crc32(text):08x}"
    try:
        fields = split_object(text)
    except Unreadable:
        fields = {}
    key_text = fields.get("key", b"")
    if not key_text.startswith(b'"'):
        return UnreadableItem(f"item without a key, checksum {checksum}", reason, any_key=True)
    removed = fields.get("removed") == b"true"
    try:
        key = decode(_key_decoder, key_text)
    except Unreadable:
        label = key_text[1:-1].decode(errors="backslashreplace")
        if len(label) > MAX_KEY_LENGTH:
            label = f"{label[:MAX_KEY_LENGTH]}..., checksum {zlib.crc32(key_text):08x}"
        return UnreadableItem(label, reason, removed=removed)
    return UnreadableItem(key, reason, key, removed=removed)


_item_decoder = msgspec.json.Decoder(RawItem)
_number_decoder: msgspec.json.Decoder[int] = msgspec.json.Decoder(Number)
_key_decoder = msgspec.json.Decoder(_Key)
