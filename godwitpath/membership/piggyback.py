"""Queue of facts to piggyback on pings and acks.

A fact is the latest state of one member or upstream.

The number of times that a fact is sent grows with the logarithm of the fleet size. A newer fact of
the same topic and key replaces the older one. Each message carries a bounded number of bytes; the
facts that were sent least often go first.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass

from godwitpath.membership.messages import GossipFact

RETRANSMIT_FACTOR = 3
"""Transmissions of a fact by each entry per power of ten of the fleet size, plus one."""

MAX_ITEMS_BYTES = 1200
"""Maximum size of the facts in one message, so that the message fits one packet."""

ITEM_OVERHEAD_BYTES = 4
"""Framing bytes of a fact, without its topic."""


@dataclass(slots=True)
class _QueuedFact:
    item: GossipFact
    send_count: int
    sequence_number: int


class PiggybackQueue:
    """Holds the facts that this entry must send again, with the number of times each was sent."""

    def __init__(self, max_items_bytes: int = MAX_ITEMS_BYTES) -> None:
        self._max_items_bytes = max_items_bytes
        self._queued: dict[tuple[str, str], _QueuedFact] = {}
        self._last_sequence_number = 0

    def __len__(self) -> int:
        return len(self._queued)

    def put(self, topic: str, key: str, payload: bytes) -> None:
        """Queue a fact; it replaces an older fact of the same topic and key."""
        self._last_sequence_number += 1
        self._queued[topic, key] = _QueuedFact(
            GossipFact(topic, payload), 0, self._last_sequence_number
        )

    def drop(self, topic: str, key: str) -> None:
        """Remove a fact from the queue."""
        self._queued.pop((topic, key), None)

    def take(self, member_count: int) -> list[GossipFact]:
        """Return the facts for one message and count one transmission for each."""
        if not self._queued:
            return []
        max_sends = transmission_limit(member_count)
        remaining_bytes = self._max_items_bytes
        items: list[GossipFact] = []
        candidates = heapq.nsmallest(len(self._queued), self._queued.items(), key=_send_order)
        for key, queued in candidates:
            size_bytes = len(queued.item.payload) + len(queued.item.topic) + ITEM_OVERHEAD_BYTES
            if size_bytes > remaining_bytes:
                continue
            remaining_bytes -= size_bytes
            items.append(queued.item)
            queued.send_count += 1
            if queued.send_count >= max_sends:
                del self._queued[key]
        return items


def transmission_limit(member_count: int) -> int:
    """Return how many times each entry sends a fact."""
    return RETRANSMIT_FACTOR * math.ceil(math.log10(member_count + 1)) + 1


def _send_order(queue_item: tuple[tuple[str, str], _QueuedFact]) -> tuple[int, int]:
    return queue_item[1].send_count, -queue_item[1].sequence_number
