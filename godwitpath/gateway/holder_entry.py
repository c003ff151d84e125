"""The item of the store that names the duty holder."""

from __future__ import annotations

import msgspec

from godwitpath.decoding import Unreadable, decode
from godwitpath.gateway.members import KEY_PREFIX, Members
from godwitpath.gateway.store import Item

HOLDER_KEY = KEY_PREFIX + "holder"


class HolderEntry(msgspec.Struct, frozen=True):
    """Value of the store key that names the duty holder.

    :ivar name: name of the duty holder's daemon
    :ivar incarnation: incarnation of that daemon
    :ivar nonce: random number that distinguishes the terms of one incarnation
    """

    name: str
    incarnation: int
    nonce: int


_ENTRY = msgspec.json.Decoder(HolderEntry)


def known_holder(members: Members) -> tuple[str, int]:
    """Return the duty holder's name and fencing token, ("", 0) if no daemon holds the duties."""
    item = members.items.get(HOLDER_KEY)
    entry = decode_holder(item) if item is not None else None
    return (entry.name, item.revision) if item is not None and entry is not None else ("", 0)


def decode_holder(item: Item) -> HolderEntry | None:
    """Return who an item names as the duty holder, None if it cannot be decoded."""
    try:
        return decode(_ENTRY, item.value)
    except Unreadable:
        return None
