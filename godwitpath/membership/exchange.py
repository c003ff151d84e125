"""Spreads facts of several topics between the entries: on pings, at once, and by comparison."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from godwitpath.membership.member import Member
from godwitpath.membership.messages import (
    Item,
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
"""Time that a comparison may take."""


class Exchange:
    """The topics of an entry and the facts on their way to others.

    :ivar counts: events by name
    """

    def __init__(self, transport: PeerTransport, others: Callable[[], list[Member]]) -> None:
        self.counts: Counter[str] = Counter()
        self._transport = transport
        self._others = others
        self._topics: dict[str, Topic] = {}
        self._queue = PiggybackQueue()
        transport.handle(SpreadNow, self._on_spread)
        transport.handle(Sync, self._on_sync)
        transport.handle(SyncPush, self._on_push)

    def add_topic(self, name: str, topic: Topic) -> None:
        """Take a topic in; its facts are received and compared from now on."""
        self._topics[name] = topic

    def put(self, topic: str, key: str, payload: bytes) -> None:
        """Let a fact ride on the next messages, in place of an older one of its key."""
        self._queue.put(topic, key, payload)

    def take(self) -> list[Item]:
        """Return the facts for one message."""
        return self._queue.take(len(self._others()) + 1)

    def receive(self, sender: str, items: Iterable[Item]) -> None:
        """Pass facts to their topics."""
        for item in items:
            topic = self._topics.get(item.topic)
            if topic is None:
                self.counts["dropped_unknown_topic"] += 1
            else:
                topic.receive(sender, item.payload)

    async def send_now(self, topic: str, payloads: list[bytes], receivers: list[Member]) -> None:
        """Send facts to some entries at once."""
        message = SpreadNow([Item(topic, payload) for payload in payloads])
        for member in receivers:
            await self._transport.send(member.entry_id, message)

    async def sync(self, entry_id: str) -> bool:
        """Compare what is known with an entry; returns whether it answered."""
        self.counts["syncs"] += 1
        try:
            reply = await self._transport.request(entry_id, Sync(self._digests()), SYNC_TIMEOUT_S)
        except PeerUnreachable:
            return False
        if not isinstance(reply, SyncReply):
            return False
        pushed = self._facts_against(reply.digests)
        self._receive_facts(entry_id, reply.facts)
        if pushed:
            await self._transport.send(entry_id, SyncPush(pushed))
        return True

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {"queued_facts": len(self._queue), "counts": dict(self.counts)}

    def _digests(self) -> list[TopicDigest]:
        return [digest_topic(name, topic) for name, topic in self._topics.items()]

    def _facts_against(self, digests: list[TopicDigest]) -> list[TopicFacts]:
        own = {digest.topic: digest for digest in self._digests()}
        pairs = ((own[other.topic], other) for other in digests if other.topic in own)
        facts = (differing_facts(self._topics[mine.topic], mine, other) for mine, other in pairs)
        return [fact for fact in facts if fact is not None]

    def _receive_facts(self, sender: str, facts: list[TopicFacts]) -> None:
        for fact in facts:
            self.receive(sender, (Item(fact.topic, payload) for payload in fact.payloads))

    async def _on_spread(self, sender: str, message: SpreadNow) -> None:
        self.receive(sender, message.items)

    async def _on_sync(self, sender: str, message: Sync) -> SyncReply:
        return SyncReply(self._facts_against(message.digests), self._digests())

    async def _on_push(self, sender: str, message: SyncPush) -> None:
        self._receive_facts(sender, message.facts)
