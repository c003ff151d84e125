"""A bounded prefix cache of token blocks, and the cache events that an engine publishes."""

from __future__ import annotations

import random
from collections import OrderedDict, deque

import xxhash

from godwitpath.ports.engine import CacheEvent
from godwitpath_standin.text import CHARACTERS_PER_TOKEN

BLOCK_TOKENS = 16
BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
MAX_KEPT_EVENTS = 4096


def block_digests(text: str) -> list[str]:
    """Return a digest for each complete block of a text, over the text up to the block's end."""
    digests: list[str] = []
    hasher = xxhash.xxh3_64()
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        hasher.update(text[start : start + BLOCK_CHARACTERS].encode())
        digests.append(hasher.hexdigest())
    return digests


class PrefixCache:
    """Prefix cache that evicts the least recently used block.

    :param capacity_tokens: capacity, rounded down to whole blocks but at least one
    :param rng: selects the events that are lost
    :param event_lag_s: delay until an event is published
    :param event_gap_ratio: fraction of the events that are never published
    """

    def __init__(
        self,
        capacity_tokens: int,
        rng: random.Random,
        event_lag_s: float = 0.5,
        event_gap_ratio: float = 0.05,
    ) -> None:
        self._capacity_blocks = max(1, capacity_tokens // BLOCK_TOKENS)
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._rng = rng
        self._event_lag_s = event_lag_s
        self._event_gap_ratio = event_gap_ratio
        self._sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_KEPT_EVENTS)

    @property
    def free_tokens(self) -> int:
        """Free capacity in tokens."""
        return (self._capacity_blocks - len(self._blocks)) * BLOCK_TOKENS

    def cached_tokens(self, digests: list[str]) -> int:
        """Return the length of the longest cached prefix in tokens, and mark its blocks as used."""
        cached_blocks = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            self._blocks.move_to_end(digest)
            cached_blocks += 1
        return cached_blocks * BLOCK_TOKENS

    def add(self, digests: list[str], now_s: float) -> int:
        """Add blocks to the cache.

        :returns: number of blocks that were not cached before
        """
        added = 0
        for digest in digests:
            if digest in self._blocks:
                self._blocks.move_to_end(digest)
                continue
            added += 1
            self._blocks[digest] = None
            self._record_event(digest, True, now_s)
            if len(self._blocks) > self._capacity_blocks:
                evicted_digest, _ = self._blocks.popitem(last=False)
                self._record_event(evicted_digest, False, now_s)
        return added

    def published(self, after_sequence: int, now_s: float) -> list[CacheEvent]:
        """Return the events after a sequence number that have been published by `now_s`."""
        due_events = ((at_s, event) for at_s, event in self._events if at_s <= now_s)
        return [event for _, event in due_events if event.sequence > after_sequence]

    def _record_event(self, digest: str, present: bool, now_s: float) -> None:
        self._sequence += 1
        if self._rng.random() < self._event_gap_ratio:
            return
        event = CacheEvent(self._sequence, digest, present)
        self._events.append((now_s + self._event_lag_s, event))
