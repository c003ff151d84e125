"""Failure detection and membership of the entries, based on SWIM with the Lifeguard extensions.

A fact is the latest state of one member or upstream.

Each entry pings one other entry at a time. If the target does not reply, the entry asks others to
ping the target. If they get no reply either, it suspects the target and marks it as gone unless the
target refutes with a higher incarnation. Facts are piggybacked on pings and acks. Gone entries and
configured or discovered entries that have never replied (seeds) are retried, so that regions
reconnect after a network partition.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from godwitpath.listeners import Listeners
from godwitpath.membership.exchange import Exchange
from godwitpath.membership.member import Member, MemberState
from godwitpath.membership.messages import (
    Ack,
    GossipFact,
    IndirectAck,
    Ping,
    PingRequest,
)
from godwitpath.membership.roster import MemberCallback, Roster
from godwitpath.ports.peers import Peer, PeerTransport, PeerUnreachable
from godwitpath.settings import MembershipSettings

MEMBERS_TOPIC = "members"

INDIRECT_HELPERS = 3
"""Number of other entries that are asked to ping a target that did not reply."""

MAX_HELPER_PINGS = 32
"""Maximum number of concurrent pings that this entry sends on behalf of others."""

RETRY_INTERVAL_S = 4.0
"""Mean interval between retries of gone entries and of seeds that have never replied."""

FIRST_SYNC_INTERVAL_S = 0.5
MAX_SYNC_INTERVAL_S = 10.0
"""Interval of anti-entropy with a random entry; it doubles from the first to the maximum value."""

GONE_RETENTION_S = 900.0
"""Time for which a gone entry is kept and retried."""

RevisionCallback = Callable[[str, int], None]


class Membership:
    """Detects failures of entries and holds the known members.

    :ivar local: this entry
    :ivar exchange: disseminates the members and the facts of other topics
    :ivar counts: number of probes, pauses of this entry and refused ping requests
    """

    def __init__(
        self,
        local: Member,
        transport: PeerTransport,
        settings: MembershipSettings,
        rng: Random,
    ) -> None:
        self.local = local
        self.counts: Counter[str] = Counter()
        self._transport = transport
        self._settings = settings
        self._rng = rng
        self._roster = Roster(local, settings.suspicion_s, self._queue_fact, self._send_fact)
        self._roster.on_change(self._connect)
        self._seeds: dict[str, Peer] = {}
        self._discovered_seeds: dict[str, Peer] = {}
        self._probe_queue: list[str] = []
        self._probe_number = 0
        self._pending_helper_count = 0
        self._active_helper_pings = 0
        self._indirect_probes: dict[int, asyncio.Future[bool]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._revision_listeners: Listeners[[str, int]] = Listeners(self.counts)
        self.exchange = Exchange(transport, self._roster.others)
        self.exchange.add_topic(MEMBERS_TOPIC, self._roster)
        transport.register_handler(Ping, self._on_ping)
        transport.register_handler(PingRequest, self._on_ping_request)
        transport.register_handler(IndirectAck, self._on_indirect_ack)

    def members(self) -> list[Member]:
        """Return every known entry, including this one and gone entries."""
        return self._roster.members()

    def live(self) -> list[Member]:
        """Return this entry, followed by the other entries that are alive or suspected."""
        others = [member for member in self._roster.others() if member.live]
        return [self.local, *others]

    def get(self, entry_id: str) -> Member | None:
        """Return an entry by its name, None if it is unknown."""
        return self._roster.get(entry_id)

    def on_change(self, callback: MemberCallback) -> None:
        """Register a callback for entries with a changed state, address or incarnation."""
        self._roster.on_change(callback)

    def on_revision(self, callback: RevisionCallback) -> None:
        """Register a callback for each ping and ack: its sender and configuration revision."""
        self._revision_listeners.add(callback)

    def add_seed(self, peer: Peer) -> None:
        """Add a configured seed, which is contacted until it replies."""
        if peer.entry_id != self.local.entry_id:
            self._seeds[peer.entry_id] = peer

    def set_discovered_seeds(self, peers: list[Peer]) -> None:
        """Replace the seeds that were discovered in the key-value service."""
        others = (peer for peer in peers if peer.entry_id != self.local.entry_id)
        self._discovered_seeds = {peer.entry_id: peer for peer in others}

    async def wait_for_others(self, timeout_s: float) -> None:
        """Wait until another entry is known or the timeout ends; do not wait without seeds."""
        if not self._seeds and not self._discovered_seeds:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._roster.peer_known.wait()
        except TimeoutError:
            return

    async def announce_leaving(self) -> None:
        """Announce to the other entries that this entry accepts no new work."""
        await self._send_own_state("leaving")

    async def announce_termination(self) -> None:
        """Announce to the other entries that this entry terminates now."""
        await self._send_own_state("gone")

    async def run(self) -> None:
        """Run probes, anti-entropy and retries of unreachable entries until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._probe_forever())
                group.create_task(self._sync_forever())
                group.create_task(self._retry_forever())
        finally:
            for task in self._tasks:
                task.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            **self._roster.dump(),
            "seeds": sorted({**self._seeds, **self._discovered_seeds}),
            "counts": {**self.counts, **self._roster.counts},
            "exchange": self.exchange.dump(),
        }

    async def _send_own_state(self, state: MemberState) -> None:
        payload = self._roster.set_own_state(state)
        await self.exchange.send_now(MEMBERS_TOPIC, [payload], self._roster.others())

    def _queue_fact(self, name: str, payload: bytes) -> None:
        self.exchange.put(MEMBERS_TOPIC, name, payload)

    def _send_fact(self, member: Member, payload: bytes) -> None:
        self._start(self.exchange.send_now(MEMBERS_TOPIC, [payload], [member]))

    def _connect(self, member: Member) -> None:
        if member is not self.local:
            self._transport.add_peer(_peer(member))

    # Probes.

    async def _probe_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            interval_s = self._settings.probe_interval_s * self._roster.health.multiplier
            started_at_s = loop.time()
            target = self._next_target()
            if target is not None:
                await self._probe(target, interval_s)
            remaining_s = started_at_s + interval_s - loop.time()
            await asyncio.sleep(max(0.0, remaining_s))
            self._compensate_pause(loop.time() - started_at_s - interval_s)
            self._roster.expire_suspicions()

    def _compensate_pause(self, late_s: float) -> None:
        # A paused entry received no messages, so their absence is no evidence of a failure.
        if late_s < self._settings.probe_interval_s:
            return
        self.counts["pauses"] += 1
        self._roster.health.degrade(2)
        self._roster.extend_suspicions(late_s)

    async def _probe(self, target: Member, interval_s: float) -> None:
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        timeout_s = min(self._settings.probe_timeout_s * self._roster.health.multiplier, interval_s)
        self.counts["probes"] += 1
        if await self._ping(target.entry_id, timeout_s):
            self._roster.health.improve()
            return
        remaining_s = started_at_s + interval_s - loop.time()
        if remaining_s <= -self._settings.probe_interval_s:
            return
        missing_replies = await self._ping_indirectly(target, max(remaining_s, timeout_s))
        if missing_replies is None:
            self._roster.health.improve()
            return
        self._roster.health.degrade(missing_replies)
        late_s = loop.time() - started_at_s - interval_s - timeout_s
        if late_s < self._settings.probe_interval_s:
            self._roster.suspect(target, self.local.entry_id, target.incarnation)

    async def _ping(self, entry_id: str, timeout_s: float) -> bool:
        items = self.exchange.take()
        member = self._roster.get(entry_id)
        if member is not None and self._roster.suspected(entry_id):
            # Inform the suspected entry of the suspicion, so that it can refute.
            items.append(self._suspicion_item(member))
        ping = Ping(self.local.incarnation, self.local.config_revision, items)
        try:
            ack = await self._transport.request(entry_id, ping, timeout_s)
        except PeerUnreachable:
            return False
        if not isinstance(ack, Ack):
            return False
        self._record_heartbeat(entry_id, ack.member_incarnation, ack.config_revision)
        self.exchange.receive(entry_id, ack.items)
        if ack.sender_unknown:
            self._start(self.exchange.sync(entry_id))
        return True

    def _suspicion_item(self, member: Member) -> GossipFact:
        return GossipFact(MEMBERS_TOPIC, self._roster.suspicion_payload(member))

    async def _ping_indirectly(self, target: Member, timeout_s: float) -> int | None:
        """Return None if a helper reached the target, else how many helpers did not reply."""
        others = [m for m in self.live()[1:] if m.entry_id != target.entry_id]
        helpers = self._rng.sample(others, min(INDIRECT_HELPERS, len(others)))
        if not helpers:
            return 0
        self._probe_number += 1
        probe_number = self._probe_number
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._indirect_probes[probe_number] = future
        self._pending_helper_count = len(helpers)
        for helper in helpers:
            await self._transport.send(helper.entry_id, PingRequest(probe_number, target.entry_id))
        try:
            async with asyncio.timeout(timeout_s):
                await future
            return None
        except TimeoutError:
            return self._pending_helper_count
        finally:
            del self._indirect_probes[probe_number]

    def _next_target(self) -> Member | None:
        while self._probe_queue:
            member = self._roster.get(self._probe_queue.pop())
            if member is not None and member.state != "gone":
                return member
        self._probe_queue = [member.entry_id for member in self._roster.others()]
        self._rng.shuffle(self._probe_queue)
        return self._roster.get(self._probe_queue.pop()) if self._probe_queue else None

    # Handlers.

    async def _on_ping(self, sender: str, ping: Ping) -> Ack:
        self._record_heartbeat(sender, ping.member_incarnation, ping.config_revision)
        self.exchange.receive(sender, ping.items)
        items = self.exchange.take()
        known = self._roster.get(sender)
        if known is not None and (self._roster.suspected(sender) or known.state == "gone"):
            items.append(self._suspicion_item(known))
        sender_unknown = known is None
        return Ack(self.local.incarnation, self.local.config_revision, items, sender_unknown)

    async def _on_ping_request(self, sender: str, request: PingRequest) -> None:
        if self._active_helper_pings >= MAX_HELPER_PINGS:
            self.counts["refused_ping_requests"] += 1
            return
        self._active_helper_pings += 1
        self._start(self._ping_on_behalf(sender, request))

    async def _ping_on_behalf(self, sender: str, request: PingRequest) -> None:
        try:
            answered = await self._ping(request.target, self._settings.probe_timeout_s)
            await self._transport.send(sender, IndirectAck(request.probe_number, answered))
        finally:
            self._active_helper_pings -= 1

    async def _on_indirect_ack(self, sender: str, ack: IndirectAck) -> None:
        future = self._indirect_probes.get(ack.probe_number)
        if future is None or future.done():
            return
        if ack.answered:
            future.set_result(True)
        else:
            self._pending_helper_count -= 1

    def _record_heartbeat(self, sender: str, incarnation: int, config_revision: int) -> None:
        member = self._roster.get(sender)
        if member is not None and incarnation >= member.incarnation:
            member.config_revision = config_revision
        self._revision_listeners.notify(sender, config_revision)

    # Anti-entropy and retries of unreachable entries.

    async def _sync_forever(self) -> None:
        interval_s = FIRST_SYNC_INTERVAL_S
        while True:
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))
            # Frequent exchanges after the start let entries that start together find one another.
            interval_s = min(MAX_SYNC_INTERVAL_S, 2 * interval_s)
            others = self.live()[1:]
            if others:
                await self.exchange.sync(self._rng.choice(others).entry_id)

    async def _retry_forever(self) -> None:
        while True:
            self._forget_expired()
            unreachable = self._unreachable_names()
            has_no_peers = len(self._roster.members()) == 1
            if has_no_peers:
                # No peer is known: contact all seeds concurrently.
                await asyncio.gather(*(self.exchange.sync(name) for name in unreachable))
            elif unreachable:
                await self.exchange.sync(self._rng.choice(unreachable))
            wait_s = self._settings.probe_interval_s if has_no_peers else RETRY_INTERVAL_S
            await asyncio.sleep(wait_s * self._rng.uniform(0.8, 1.2))

    def _unreachable_names(self) -> list[str]:
        seeds = {**self._seeds, **self._discovered_seeds}
        unknown_seeds = [name for name in seeds if self._roster.get(name) is None]
        for name in unknown_seeds:
            self._transport.add_peer(seeds[name])
        return unknown_seeds + list(self._roster.gone_at_s)

    def _forget_expired(self) -> None:
        cutoff_s = asyncio.get_running_loop().time() - GONE_RETENTION_S
        for entry_id, gone_at_s in list(self._roster.gone_at_s.items()):
            if gone_at_s < cutoff_s:
                self._roster.forget(entry_id)
                self._transport.remove_peer(entry_id)

    def _start(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _peer(member: Member) -> Peer:
    return Peer(member.entry_id, member.address, member.public_key)
