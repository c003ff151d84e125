"""Topics of facts that are disseminated between the entries and repaired by anti-entropy.

Anti-entropy delivers the facts that were lost with a message: two entries exchange hashes of their
facts, one for each bucket of fact names, and then the facts of the buckets that differ.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import xxhash

from godwitpath.membership.messages import TopicDigest, TopicFacts

BUCKET_COUNT = 16
"""Number of buckets in the digest of a topic."""


class Topic(Protocol):
    """Interface that the holder of the facts of a topic implements."""

    def comparable_states(self) -> Iterable[tuple[str, str]]:
        """Yield the name and state of each compared fact; equal states must be equal texts."""

    def names(self) -> Iterable[str]:
        """Return the names of all facts, including those that are not compared."""

    def payload(self, name: str) -> bytes:
        """Return the encoded fact of a name."""

    def receive(self, sender: str, payload: bytes) -> None:
        """Apply a received fact."""


def digest_topic(name: str, topic: Topic) -> TopicDigest:
    """Return the hashes of the facts of a topic, one for each bucket."""
    buckets = [0] * BUCKET_COUNT
    for key, text in topic.comparable_states():
        # XOR makes the hash of a bucket independent of the order of the facts.
        buckets[_bucket(key)] ^= xxhash.xxh3_64_intdigest(f"{key}\x00{text}".encode())
    return TopicDigest(name, buckets)


def differing_facts(topic: Topic, own: TopicDigest, other: TopicDigest) -> TopicFacts | None:
    """Return the facts of the buckets that differ, None if all buckets are equal."""
    pairs = zip(own.buckets, other.buckets, strict=False)
    differing = {
        bucket
        for bucket, (own_bucket, other_bucket) in enumerate(pairs)
        if own_bucket != other_bucket
    }
    if not differing:
        return None
    payloads = [topic.payload(name) for name in topic.names() if _bucket(name) in differing]
    return TopicFacts(own.topic, payloads)


def _bucket(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKET_COUNT
