"""Facts that ride on messages, each a number of times that grows with the logarithm of the fleet.

A newer fact of the same topic and key replaces the older one. Each message carries a bounded
number of bytes, the facts that were sent least first.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass

from godwitpath.membership.messages import Item

RETRANSMIT_FACTOR = 3
"""Times a fact is sent for each decimal order of the fleet's size, and once more."""

ITEMS_LIMIT_BYTES = 1200
"""Most bytes of facts on one message, so that it fits a packet."""

ITEM_OVERHEAD_BYTES = 4
"""Bytes of framing around a fact, beside its topic."""


@dataclass(slots=True)
class _Queued:
    item: Item
    sent: int
    order: int


class PiggybackQueue:
    """The facts that still have to be sent."""

    def __init__(self, limit_bytes: int = ITEMS_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._queued: dict[tuple[str, str], _Queued] = {}
        self._order = 0

    def __len__(self) -> int:
        return len(self._queued)

    def put(self, topic: str, key: str, payload: bytes) -> None:
        """Queue a fact in place of an older one of the same topic and key."""
        self._order += 1
        self._queued[topic, key] = _Queued(Item(topic, payload), 0, self._order)

    def drop(self, topic: str, key: str) -> None:
        """Stop sending a fact."""
        self._queued.pop((topic, key), None)

    def take(self, member_count: int) -> list[Item]:
        """Return the facts for one message and count them as sent once."""
        if not self._queued:
            return []
        limit = transmissions(member_count)
        left_bytes = self._limit_bytes
        taken: list[Item] = []
        ordered = heapq.nsmallest(len(self._queued), self._queued.items(), key=_least_sent)
        for name, queued in ordered:
            size_bytes = len(queued.item.payload) + len(queued.item.topic) + ITEM_OVERHEAD_BYTES
            if size_bytes > left_bytes:
                continue
            left_bytes -= size_bytes
            taken.append(queued.item)
            queued.sent += 1
            if queued.sent >= limit:
                del self._queued[name]
        return taken


def transmissions(member_count: int) -> int:
    """Return how often a fact is sent by each entry."""
    return RETRANSMIT_FACTOR * math.ceil(math.log10(member_count + 1)) + 1


def _least_sent(entry: tuple[tuple[str, str], _Queued]) -> tuple[int, int]:
    return entry[1].sent, -entry[1].order
