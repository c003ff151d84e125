"""Rendezvous hashing: for a key, all processes rank the same set of names in the same order."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

T = TypeVar("T")


def score(key: str, name: str) -> int:
    """Return the 64-bit rendezvous hash of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode())


def rank(key: str, items: Iterable[T], name: Callable[[T], str]) -> list[T]:
    """Return the items in descending order of their score for the key.

    :param name: returns the name of an item
    """
    return sorted(items, key=lambda item: score(key, name(item)), reverse=True)
