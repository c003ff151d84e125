"""The configuration in force at this entry, which only ever moves to a greater revision.

A few entries of each region watch the store. What is new goes through the region by a tree; the
revision rides on every ping, and an entry that is behind asks the one that it heard it from. An
entry that starts takes the greatest of what the store and its peers have.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from godwitpath.config.envelope import (
    CURRENT_KEY,
    ConfigEnvelope,
    decode_envelope,
    encode_envelope,
    text_digest,
)
from godwitpath.config.model import Configuration
from godwitpath.config_sync.messages import ConfigPull, ConfigPush, ConfigReply, pack, unpack
from godwitpath.config_sync.repair import repaired
from godwitpath.config_sync.tree import pushes_to
from godwitpath.errors import GodwitpathError
from godwitpath.listeners import Listeners
from godwitpath.membership.followers import follows
from godwitpath.membership.swim import Membership
from godwitpath.ports.kv import KeyValue, KeyValueStore
from godwitpath.ports.peers import PeerTransport, PeerUnreachable
from godwitpath.streams import until_silent

REREAD_INTERVAL_S = 3.0
"""Time between two reads of a watcher, which find what a silent watch does not tell."""

WATCH_RENEW_S = 30.0
"""A watch that brought nothing for so long is opened anew."""

READ_TIMEOUT_S = 2.0
"""Longest time that a read of the store may take."""

PULL_TIMEOUT_S = 2.0
"""Longest time that a peer may take to send a configuration."""

START_PEERS = 5
"""Entries that are asked at the start."""

START_MEETING_S = 1.0
"""Longest time that an entry which starts waits to hear of another one."""

START_RETRY_S = 0.5
START_LONGEST_RETRY_S = 2.0
"""Time between two rounds while there is no configuration at all, first and at most."""

Callback = Callable[[ConfigEnvelope, Configuration], None]


class ConfigInForce:
    """The configuration in force.

    :ivar current: the typed configuration, None until there is one
    :ivar envelope: the text with its revision and origin, None until there is one
    :ivar counts: events by name
    """

    def __init__(
        self,
        store: KeyValueStore | None,
        transport: PeerTransport,
        membership: Membership,
        parse: Callable[[str], Configuration],
        rng: Random,
    ) -> None:
        self.current: Configuration | None = None
        self.envelope: ConfigEnvelope | None = None
        self.counts: Counter[str] = Counter()
        self._store = store
        self._transport = transport
        self._membership = membership
        self._parse = parse
        self._rng = rng
        self._ready = asyncio.Event()
        self._listeners: Listeners[[ConfigEnvelope, Configuration]] = Listeners(self.counts)
        self._behind: dict[str, int] = {}
        self._behind_heard = asyncio.Event()
        self._to_push: bool | None = None
        self._push_wanted = asyncio.Event()
        self._store_revision = 0
        transport.handle(ConfigPush, self._on_push)
        transport.handle(ConfigPull, self._on_pull)
        membership.on_revision(self._on_revision)

    @property
    def revision(self) -> int:
        """Revision in force, 0 for none."""
        return self.envelope.revision if self.envelope else 0

    @property
    def ready(self) -> bool:
        """Whether there is a configuration in force."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Wait until there is a configuration in force."""
        await self._ready.wait()

    def on_change(self, callback: Callback) -> None:
        """Call back with each envelope that comes into force and its typed configuration."""
        self._listeners.add(callback)

    def offer(self, envelope: ConfigEnvelope, from_tree: bool = False) -> bool:
        """Put a configuration in force if its revision is greater; returns whether it is now.

        :param from_tree: whether a peer pushed it, so that others of the region get it too
        """
        if envelope.revision <= self.revision:
            self._count_refused(envelope)
            return False
        if text_digest(envelope.text) != envelope.digest:
            self.counts["wrong_digests"] += 1
            return False
        try:
            configuration = self._parse(envelope.text)
        except Exception:
            # Accepted by a newer version of the program; this one keeps what it understands.
            self.counts["unreadable_texts"] += 1
            return False
        self.envelope = envelope
        self.current = configuration
        self._membership.local.config_revision = envelope.revision
        self._ready.set()
        self.counts["changes"] += 1
        self._want_push(is_source=not from_tree)
        self._listeners.notify(envelope, configuration)
        return True

    def _count_refused(self, offered: ConfigEnvelope) -> None:
        if offered.revision < self.revision:
            self.counts["older_offers"] += 1
        elif self.envelope and offered.digest != self.envelope.digest:
            # Two texts with one revision: the store was restored and written again.
            self.counts["conflicting_offers"] += 1

    async def run(self) -> None:
        """Follow the store and the peers until cancelled."""
        await self._start()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._push_forever())
            group.create_task(self._pull_forever())
            if self._store is not None:
                group.create_task(self._watch_forever(self._store))
                group.create_task(self._reread_forever(self._store))

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        envelope = self.envelope
        return {
            "ready": self.ready,
            "revision": self.revision,
            "digest": envelope.digest if envelope else "",
            "submission_id": envelope.submission_id if envelope else "",
            "watcher": self._watcher(),
            "store_revision": self._store_revision,
            "counts": dict(self.counts),
        }

    # Start.

    async def _start(self) -> None:
        wait_s = START_RETRY_S
        while True:
            # The peers are asked although the store answers: it may have been restored late.
            value, heard = await asyncio.gather(self._read(), self._ask_some_peers())
            self._offer_all(self._stored(value), *heard)
            if self.ready:
                return
            await asyncio.sleep(wait_s * self._rng.uniform(0.8, 1.2))
            wait_s = min(START_LONGEST_RETRY_S, 2 * wait_s)

    async def _ask_some_peers(self) -> list[ConfigEnvelope | None]:
        await self._membership.wait_for_others(START_MEETING_S)
        others = self._membership.live()[1:]
        asked = self._rng.sample(others, min(START_PEERS, len(others)))
        return await asyncio.gather(*(self._pull(member.entry_id) for member in asked))

    # Store.

    def _watcher(self) -> bool:
        return follows("config", self._membership.local, self._membership.live())

    async def _read(self) -> KeyValue | None:
        if self._store is None:
            return None
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._store.get(CURRENT_KEY)
        except (GodwitpathError, TimeoutError):
            self.counts["read_failures"] += 1
            return None

    def _stored(self, value: KeyValue | None) -> ConfigEnvelope | None:
        if value is None:
            return None
        try:
            envelope = decode_envelope(value.value)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.counts["garbage_in_store"] += 1
            return None
        self._store_revision = envelope.revision
        if envelope.revision < self.revision:
            self.counts["store_behind"] += 1
        return envelope

    def _offer_all(self, *found: ConfigEnvelope | None) -> None:
        # The greatest goes first, so that none comes into force for a moment only.
        envelopes = [envelope for envelope in found if envelope is not None]
        for envelope in sorted(envelopes, key=lambda one: one.revision, reverse=True):
            self.offer(envelope)

    async def _watch_forever(self, store: KeyValueStore) -> None:
        while True:
            if self._watcher():
                await self._watch(store)
            await asyncio.sleep(REREAD_INTERVAL_S * self._rng.uniform(0.2, 0.4))

    async def _watch(self, store: KeyValueStore) -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                value = await store.get(CURRENT_KEY)
            self._offer_all(self._stored(value))
            events = store.watch(CURRENT_KEY, value.revision if value else 0)
            async for event in until_silent(events, WATCH_RENEW_S):
                if event.key == CURRENT_KEY and event.value is not None:
                    self._offer_all(self._stored(KeyValue(event.key, event.value, event.revision)))
        except (GodwitpathError, TimeoutError):
            self.counts["watches_ended"] += 1

    async def _reread_forever(self, store: KeyValueStore) -> None:
        while True:
            await asyncio.sleep(REREAD_INTERVAL_S * self._rng.uniform(0.8, 1.0))
            if self._watcher():
                value = await self._read()
                stored = self._stored(value)
                self._offer_all(stored)
                if value is not None and stored is not None:
                    await self._repair(store, value, stored)

    async def _repair(self, store: KeyValueStore, value: KeyValue, stored: ConfigEnvelope) -> None:
        wanted = repaired(self.envelope, stored) if self.envelope else None
        if wanted is None:
            return
        self.counts["repairs"] += 1
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await store.put(CURRENT_KEY, encode_envelope(wanted), value.revision)
        except (GodwitpathError, TimeoutError):
            # The next read shows what became of the write.
            return
        self.offer(wanted)

    # Peers.

    def _want_push(self, is_source: bool) -> None:
        self._to_push = is_source
        self._push_wanted.set()

    async def _push_forever(self) -> None:
        while True:
            await self._push_wanted.wait()
            self._push_wanted.clear()
            if self.envelope is None or self._to_push is None:
                continue
            is_source, self._to_push = self._to_push, None
            message = ConfigPush(pack(self.envelope))
            local = self._membership.local
            live = self._membership.live()
            for member in pushes_to(local, live, self.envelope.revision, is_source):
                await self._transport.send(member.entry_id, message)

    async def _on_push(self, sender: str, message: ConfigPush) -> None:
        envelope = unpack(message.packed)
        if envelope is None:
            self.counts["garbage_pushes"] += 1
            return
        self.offer(envelope, from_tree=True)

    async def _on_pull(self, sender: str, message: ConfigPull) -> ConfigReply:
        if self.envelope is None or self.revision <= message.revision:
            return ConfigReply(b"")
        return ConfigReply(pack(self.envelope))

    def _on_revision(self, sender: str, revision: int) -> None:
        if revision > self.revision:
            self._behind[sender] = revision
            self._behind_heard.set()

    async def _pull_forever(self) -> None:
        while True:
            await self._behind_heard.wait()
            self._behind_heard.clear()
            while self._behind:
                sender = max(self._behind, key=lambda name: self._behind[name])
                revision = self._behind.pop(sender)
                if revision > self.revision:
                    self._offer_all(await self._pull(sender))

    async def _pull(self, entry_id: str) -> ConfigEnvelope | None:
        self.counts["pulls"] += 1
        try:
            message = ConfigPull(self.revision)
            reply = await self._transport.request(entry_id, message, PULL_TIMEOUT_S)
        except PeerUnreachable:
            self.counts["failed_pulls"] += 1
            return None
        if not isinstance(reply, ConfigReply) or not reply.packed:
            return None
        return unpack(reply.packed)
