"""Topics whose facts are spread between the entries and compared from time to time.

What a message loses, the comparison brings: two entries exchange digests of what they know, cut
into buckets of names, and then the facts of the buckets that differ.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import xxhash

from godwitpath.membership.messages import TopicDigest, TopicFacts

BUCKETS = 16
"""Parts in which a topic is compared."""


class Topic(Protocol):
    """What the owner of a topic gives."""

    def statements(self) -> Iterable[tuple[str, str]]:
        """Yield a name and a text that is the same wherever the same is known, to be compared."""

    def names(self) -> Iterable[str]:
        """Yield the name of every fact, those that are not compared included."""

    def payload(self, name: str) -> bytes:
        """Return the fact of a name in its spread form."""

    def receive(self, sender: str, payload: bytes) -> None:
        """Take in a fact."""


def digest_topic(name: str, topic: Topic) -> TopicDigest:
    """Return the digests of what is known."""
    buckets = [0] * BUCKETS
    for key, text in topic.statements():
        # The sum does not depend on the order of the facts.
        buckets[_bucket(key)] ^= xxhash.xxh3_64_intdigest(f"{key}\x00{text}".encode())
    return TopicDigest(name, buckets)


def differing_facts(topic: Topic, own: TopicDigest, other: TopicDigest) -> TopicFacts | None:
    """Return the facts of the buckets that differ, None when all are alike."""
    pairs = zip(own.buckets, other.buckets, strict=False)
    differing = {index for index, (one, two) in enumerate(pairs) if one != two}
    if not differing:
        return None
    payloads = [topic.payload(name) for name in topic.names() if _bucket(name) in differing]
    return TopicFacts(own.topic, payloads)


def _bucket(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS
