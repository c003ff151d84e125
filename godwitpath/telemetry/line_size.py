"""Shortens log messages that would be too long for one line."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

import msgspec

ITEM_LIMITS = (64, 16, 4)
"""Numbers of items to which collections are shortened, each tried when the one before is too many.
Texts may have `CHARACTERS_PER_ITEM` characters for each."""

CHARACTERS_PER_ITEM = 16

MAX_FIELD_BYTES = 64
"""Largest field of a message that no number of items makes short enough."""


def encode_message(message: dict[str, Any], max_bytes: int) -> bytes:
    """Return a message as JSON, with `shortened` and less of its long values if it is too long.

    :param max_bytes: size up to which the message is encoded as it is
    """
    encoded = _encode(message)
    if len(encoded) <= max_bytes:
        return encoded
    for limit in ITEM_LIMITS:
        fields = {name: _shorten(value, limit) for name, value in message.items()}
        encoded = _encode(fields | {"shortened": True})
        if len(encoded) <= max_bytes:
            return encoded
    short = {name: v for name, v in message.items() if len(_encode(v)) <= MAX_FIELD_BYTES}
    return _encode(short | {"shortened": True})


def _encode(value: Any) -> bytes:
    return msgspec.json.encode(value, enc_hook=str)


@singledispatch
def _shorten(value: Any, limit: int) -> Any:
    """Return a value with at most `limit` items in each of its collections."""
    return value


@_shorten.register
def _(value: str, limit: int) -> str:
    characters = CHARACTERS_PER_ITEM * limit
    return value if len(value) <= characters else f"{value[:characters]}..."


@_shorten.register(list)
@_shorten.register(tuple)
def _(value: list[Any] | tuple[Any, ...], limit: int) -> list[Any]:
    items = [_shorten(item, limit) for item in value[:limit]]
    return items if len(value) <= limit else [*items, f"{len(value) - limit} more"]


@_shorten.register
def _(value: dict, limit: int) -> dict[Any, Any]:
    names = list(value)
    fields = {name: _shorten(value[name], limit) for name in names[:limit]}
    return fields if len(names) <= limit else fields | {"more": len(names) - limit}
