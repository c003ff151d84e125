"""Configuration in force at this entry; its revision only increases.

A few entries of each region, the watchers, watch the store. An entry that gets a new configuration
pushes it through the region along a distribution tree. The revision in force is piggybacked on
every ping, and an entry with a lower revision pulls the configuration from the sender of the ping.
A starting entry uses the greatest revision found in the store and at its peers.
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
from godwitpath.config_sync.repair import corrected_envelope
from godwitpath.config_sync.tree import push_targets
from godwitpath.errors import GodwitpathError
from godwitpath.listeners import Listeners
from godwitpath.membership.pollers import is_source_poller
from godwitpath.membership.swim import Membership
from godwitpath.ports.kv import KeyValue, KeyValueStore
from godwitpath.ports.peers import PeerTransport, PeerUnreachable
from godwitpath.streams import until_idle

POLL_INTERVAL_S = 3.0
"""Interval at which a watcher reads the store, to find changes that a stalled watch missed."""

FIRST_POLL_BACKOFF_S = 0.25
"""Backoff after a poll that failed; it doubles with each further failure."""

WATCH_IDLE_TIMEOUT_S = 30.0
"""Time without an event after which a watch is reopened."""

STORE_TIMEOUT_S = 2.0
"""Timeout of a read or write of the store."""

MAX_READ_TIMEOUT_S = 16.0
"""Longest timeout of a read. The timeout follows the time that reads take, because a large text
over a slow link takes as long as its bytes do."""

PULL_TIMEOUT_S = 2.0
"""Timeout of a pull from a peer."""

START_PULL_PEERS = 5
"""Maximum number of peers from which a starting entry pulls in one round."""

START_DISCOVERY_TIMEOUT_S = 1.0
"""Timeout for a starting entry to discover another entry before it pulls."""

START_FIRST_BACKOFF_S = 0.5
"""Backoff after the first round of reads and pulls that finds no configuration."""

START_MAX_BACKOFF_S = 2.0
"""Maximum backoff between rounds of reads and pulls while there is no configuration."""

ChangeListener = Callable[[ConfigEnvelope, Configuration], None]


def poll_interval_s(failed_polls: int) -> float:
    """Return the longest time until the next poll.

    It is short after a failure, since the connection may have been lost and the next read opens
    another one.

    :param failed_polls: consecutive polls that failed
    """
    if not failed_polls:
        return POLL_INTERVAL_S
    return min(POLL_INTERVAL_S, FIRST_POLL_BACKOFF_S * 2.0 ** min(failed_polls - 1, 16))


class ConfigInForce:
    """The configuration in force at this entry and its synchronization with store and peers.

    :ivar current: parsed configuration, None before the first configuration is in force
    :ivar envelope: text of the configuration with its revision and origin, None before the first
        configuration is in force
    :ivar counts: number of changes, pulls, repairs, failures and rejected texts, by event name
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
        self._newer_revision_by_sender: dict[str, int] = {}
        self._newer_revision_received = asyncio.Event()
        self._push_is_source: bool | None = None
        self._push_requested = asyncio.Event()
        self._stored_config_revision = 0
        self._read_timeout_s = STORE_TIMEOUT_S
        transport.register_handler(ConfigPush, self._on_push)
        transport.register_handler(ConfigPull, self._on_pull)
        membership.on_revision(self._on_revision)

    @property
    def revision(self) -> int:
        """Configuration revision in force, 0 if no configuration is in force."""
        return self.envelope.revision if self.envelope else 0

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Wait until a configuration is in force."""
        await self._ready.wait()

    def on_change(self, listener: ChangeListener) -> None:
        """Register a listener for each new envelope in force and its parsed configuration."""
        self._listeners.add(listener)

    def offer(self, envelope: ConfigEnvelope, from_tree: bool = False) -> bool:
        """Put a valid configuration in force if its revision is greater than the current one.

        :param from_tree: whether the configuration was received as a push of a peer; otherwise this
            entry is a source and also pushes it to the root of the distribution tree
        :returns: whether the configuration was put in force
        """
        if envelope.revision <= self.revision:
            self._count_rejected(envelope)
            return False
        if text_digest(envelope.text) != envelope.digest:
            self.counts["wrong_digests"] += 1
            return False
        try:
            configuration = self._parse(envelope.text)
        except Exception:
            # The text was accepted by a newer program version, and this version cannot parse it.
            # This entry keeps its current configuration.
            self.counts["unreadable_texts"] += 1
            return False
        self.envelope = envelope
        self.current = configuration
        self._membership.local.config_revision = envelope.revision
        self._ready.set()
        self.counts["changes"] += 1
        self._request_push(is_source=not from_tree)
        self._listeners.notify(envelope, configuration)
        return True

    def _count_rejected(self, offered: ConfigEnvelope) -> None:
        if offered.revision < self.revision:
            self.counts["older_offers"] += 1
        elif self.envelope and offered.digest != self.envelope.digest:
            # Two texts share a revision after the store was restored from a backup and rewritten.
            self.counts["conflicting_offers"] += 1

    async def run(self) -> None:
        """Synchronize with the store and the peers until cancelled."""
        await self._start()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._push_forever())
            group.create_task(self._pull_forever())
            if self._store is not None:
                group.create_task(self._watch_forever(self._store))
                group.create_task(self._poll_forever(self._store))

    def dump(self) -> dict[str, Any]:
        """Return the state for operators as plain data."""
        envelope = self.envelope
        return {
            "ready": self.ready,
            "revision": self.revision,
            "digest": envelope.digest if envelope else "",
            "submission_id": envelope.submission_id if envelope else "",
            "watcher": self._is_watcher(),
            "store_revision": self._stored_config_revision,
            "counts": dict(self.counts),
        }

    # Startup

    async def _start(self) -> None:
        backoff_s = START_FIRST_BACKOFF_S
        while True:
            # Peers are asked even if the store responds: it may have been restored from an old
            # backup.
            value, pulled_envelopes = await asyncio.gather(
                self._read_store(), self._pull_from_some_peers()
            )
            self._offer_all(self._decode_stored(value), *pulled_envelopes)
            if self.ready:
                return
            await asyncio.sleep(backoff_s * self._rng.uniform(0.8, 1.2))
            backoff_s = min(START_MAX_BACKOFF_S, 2 * backoff_s)

    async def _pull_from_some_peers(self) -> list[ConfigEnvelope | None]:
        await self._membership.wait_for_others(START_DISCOVERY_TIMEOUT_S)
        others = self._membership.live()[1:]
        sampled_members = self._rng.sample(others, min(START_PULL_PEERS, len(others)))
        return await asyncio.gather(*(self._pull(member.entry_id) for member in sampled_members))

    # Store

    def _is_watcher(self) -> bool:
        return is_source_poller("config", self._membership.local, self._membership.live())

    async def _read_store(self) -> KeyValue | None:
        if self._store is None:
            return None
        try:
            return await self._read(self._store)
        except (GodwitpathError, TimeoutError):
            self.counts["read_failures"] += 1
            return None

    async def _read(self, store: KeyValueStore) -> KeyValue | None:
        """Read the configuration; the timeout is twice the time that the last read took."""
        started_at_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(self._read_timeout_s):
                return await store.get(CURRENT_KEY)
        finally:
            took_s = asyncio.get_running_loop().time() - started_at_s
            self._read_timeout_s = min(MAX_READ_TIMEOUT_S, max(STORE_TIMEOUT_S, 2 * took_s))

    def _decode_stored(self, value: KeyValue | None) -> ConfigEnvelope | None:
        if value is None:
            return None
        try:
            envelope = decode_envelope(value.value)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.counts["garbage_in_store"] += 1
            return None
        self._stored_config_revision = envelope.revision
        if envelope.revision < self.revision:
            self.counts["store_behind"] += 1
        return envelope

    def _offer_all(self, *candidates: ConfigEnvelope | None) -> None:
        # Highest revision first, so that no lower revision is in force for a moment.
        envelopes = [envelope for envelope in candidates if envelope is not None]
        for envelope in sorted(envelopes, key=lambda candidate: candidate.revision, reverse=True):
            self.offer(envelope)

    async def _watch_forever(self, store: KeyValueStore) -> None:
        while True:
            if self._is_watcher():
                await self._watch(store)
            await asyncio.sleep(POLL_INTERVAL_S * self._rng.uniform(0.2, 0.4))

    async def _watch(self, store: KeyValueStore) -> None:
        try:
            value = await self._read(store)
            self._offer_all(self._decode_stored(value))
            events = store.watch(CURRENT_KEY, value.revision if value else 0)
            async for event in until_idle(events, WATCH_IDLE_TIMEOUT_S):
                if event.key == CURRENT_KEY and event.value is not None:
                    self._offer_all(
                        self._decode_stored(KeyValue(event.key, event.value, event.revision))
                    )
        except (GodwitpathError, TimeoutError):
            self.counts["watches_ended"] += 1

    async def _poll_forever(self, store: KeyValueStore) -> None:
        failed_polls = 0
        while True:
            interval_s = poll_interval_s(failed_polls)
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.0))
            failed = self._is_watcher() and not await self._poll(store)
            failed_polls = failed_polls + 1 if failed else 0

    async def _poll(self, store: KeyValueStore) -> bool:
        """Read the configuration and correct the store; returns whether the store responded."""
        try:
            value = await self._read(store)
        except (GodwitpathError, TimeoutError):
            self.counts["read_failures"] += 1
            return False
        stored = self._decode_stored(value)
        self._offer_all(stored)
        if value is not None and stored is not None:
            await self._repair(store, value, stored)
        return True

    async def _repair(self, store: KeyValueStore, value: KeyValue, stored: ConfigEnvelope) -> None:
        replacement = corrected_envelope(self.envelope, stored) if self.envelope else None
        if replacement is None:
            return
        self.counts["repairs"] += 1
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                await store.put(CURRENT_KEY, encode_envelope(replacement), value.revision)
        except (GodwitpathError, TimeoutError):
            # The next read of the store shows whether the write took effect.
            return
        self.offer(replacement)

    # Peers

    def _request_push(self, is_source: bool) -> None:
        self._push_is_source = is_source
        self._push_requested.set()

    async def _push_forever(self) -> None:
        while True:
            await self._push_requested.wait()
            self._push_requested.clear()
            if self.envelope is None or self._push_is_source is None:
                continue
            is_source, self._push_is_source = self._push_is_source, None
            message = ConfigPush(pack(self.envelope))
            local = self._membership.local
            live = self._membership.live()
            for member in push_targets(local, live, self.envelope.revision, is_source):
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
            self._newer_revision_by_sender[sender] = revision
            self._newer_revision_received.set()

    async def _pull_forever(self) -> None:
        while True:
            await self._newer_revision_received.wait()
            self._newer_revision_received.clear()
            while self._newer_revision_by_sender:
                sender = max(
                    self._newer_revision_by_sender,
                    key=lambda name: self._newer_revision_by_sender[name],
                )
                revision = self._newer_revision_by_sender.pop(sender)
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
