"""Disseminates facts between the entries: piggybacked on pings, pushed, and by anti-entropy.

A fact is the latest state of one member or upstream; facts of the same kind form a topic.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from godwitpath.membership.member import Member
from godwitpath.membership.messages import (
    GossipFact,
    SpreadNow,
    Sync,
    SyncPush,
    SyncReply,
    TopicDigest,
    TopicFacts,
)
from godwitpath.membership.piggyback import PiggybackQueue
from godwitpath.membership.topics import Topic, differing_facts, digest_topic
from godwitpath.ports.peers import PeerTransport, PeerUnreachable

SYNC_TIMEOUT_S = 1.0
"""Timeout of an anti-entropy exchange."""


class Exchange:
    """Holds the topics of an entry and the queue of facts to piggyback on messages.

    :ivar counts: number of exchanges and of dropped facts, by event name
    """

    def __init__(self, transport: PeerTransport, list_others: Callable[[], list[Member]]) -> None:
        self.counts: Counter[str] = Counter()
        self._transport = transport
        self._list_others = list_others
        self._topics: dict[str, Topic] = {}
        self._queue = PiggybackQueue()
        transport.register_handler(SpreadNow, self._on_spread_now)
        transport.register_handler(Sync, self._on_sync)
        transport.register_handler(SyncPush, self._on_sync_push)

    def add_topic(self, name: str, topic: Topic) -> None:
        """Register a topic, so that its facts are received and compared."""
        self._topics[name] = topic

    def put(self, topic: str, key: str, payload: bytes) -> None:
        """Queue a fact for piggybacking; it replaces an older fact of the same topic and key."""
        self._queue.put(topic, key, payload)

    def take(self) -> list[GossipFact]:
        """Return the facts to piggyback on one message."""
        return self._queue.take(len(self._list_others()) + 1)

    def receive(self, sender: str, items: Iterable[GossipFact]) -> None:
        """Pass received facts to their topics."""
        for item in items:
            topic = self._topics.get(item.topic)
            if topic is None:
                self.counts["dropped_unknown_topic"] += 1
            else:
                topic.receive(sender, item.payload)

    async def send_now(self, topic: str, payloads: list[bytes], receivers: list[Member]) -> None:
        """Send facts to the given entries without waiting for a ping."""
        message = SpreadNow([GossipFact(topic, payload) for payload in payloads])
        for member in receivers:
            await self._transport.send(member.entry_id, message)

    async def sync(self, entry_id: str) -> bool:
        """Run an anti-entropy exchange with an entry.

        :returns: whether the entry replied in time
        """
        self.counts["syncs"] += 1
        try:
            reply = await self._transport.request(entry_id, Sync(self._digests()), SYNC_TIMEOUT_S)
        except PeerUnreachable:
            return False
        if not isinstance(reply, SyncReply):
            return False
        pushed = self._differing_facts(reply.digests)
        self._receive_facts(entry_id, reply.facts)
        if pushed:
            await self._transport.send(entry_id, SyncPush(pushed))
        return True

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {"queued_facts": len(self._queue), "counts": dict(self.counts)}

    def _digests(self) -> list[TopicDigest]:
        return [digest_topic(name, topic) for name, topic in self._topics.items()]

    def _differing_facts(self, digests: list[TopicDigest]) -> list[TopicFacts]:
        own_digests = {digest.topic: digest for digest in self._digests()}
        pairs = (
            (own_digests[peer_digest.topic], peer_digest)
            for peer_digest in digests
            if peer_digest.topic in own_digests
        )
        facts = (
            differing_facts(self._topics[own_digest.topic], own_digest, peer_digest)
            for own_digest, peer_digest in pairs
        )
        return [topic_facts for topic_facts in facts if topic_facts is not None]

    def _receive_facts(self, sender: str, facts: list[TopicFacts]) -> None:
        for topic_facts in facts:
            self.receive(
                sender,
                (GossipFact(topic_facts.topic, payload) for payload in topic_facts.payloads),
            )

    async def _on_spread_now(self, sender: str, message: SpreadNow) -> None:
        self.receive(sender, message.items)

    async def _on_sync(self, sender: str, message: Sync) -> SyncReply:
        return SyncReply(self._differing_facts(message.digests), self._digests())

    async def _on_sync_push(self, sender: str, message: SyncPush) -> None:
        self._receive_facts(sender, message.facts)
