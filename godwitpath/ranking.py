"""Rendezvous ranking: every process that knows the same names ranks them alike for a key."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

T = TypeVar("T")


def score(key: str, name: str) -> int:
    """Return the rendezvous score of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode())


def rank(key: str, items: Iterable[T], name: Callable[[T], str]) -> list[T]:
    """Return the items with the highest score for the key first."""
    return sorted(items, key=lambda item: score(key, name(item)), reverse=True)
