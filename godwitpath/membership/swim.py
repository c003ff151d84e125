"""Failure detection and the list of entries, in the manner of SWIM with the Lifeguard additions.

Each entry pings one other at a time, asks others to ping one that does not answer, suspects it,
and counts it as gone unless it refutes with a higher incarnation. Facts ride on the pings.
Entries that are gone and seeds that were never heard are tried again, so that regions which lost
each other find together.
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
    IndirectAck,
    Item,
    Ping,
    PingRequest,
)
from godwitpath.membership.roster import Callback, Roster
from godwitpath.ports.peers import Peer, PeerTransport, PeerUnreachable
from godwitpath.settings import MembershipSettings

MEMBERS_TOPIC = "members"

INDIRECT_HELPERS = 3
"""Entries that are asked to ping one that did not answer."""

HELPER_LIMIT = 32
"""Most pings on behalf of others at a time."""

RETRY_INTERVAL_S = 4.0
"""Time between two tries to reach an entry that is gone or a seed that was never heard."""

FIRST_SYNC_S = 0.5
SYNC_INTERVAL_S = 10.0
"""Time between two comparisons with a random entry, first and at most."""

GONE_KEEP_S = 900.0
"""How long an entry that is gone is remembered and tried."""

RevisionCallback = Callable[[str, int], None]


class Membership:
    """The entries as this one knows them.

    :ivar local: this entry
    :ivar exchange: spreads facts of other topics along with the members
    :ivar counts: events by name
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
        self._roster = Roster(local, settings.suspicion_s, self._spread, self._tell)
        self._roster.on_change(self._connect)
        self._seeds: dict[str, Peer] = {}
        self._found_seeds: dict[str, Peer] = {}
        self._turn: list[str] = []
        self._probe_number = 0
        self._silent_helpers = 0
        self._helping = 0
        self._indirect: dict[int, asyncio.Future[bool]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._revision_listeners: Listeners[[str, int]] = Listeners(self.counts)
        self.exchange = Exchange(transport, self._roster.others)
        self.exchange.add_topic(MEMBERS_TOPIC, self._roster)
        transport.handle(Ping, self._on_ping)
        transport.handle(PingRequest, self._on_ping_request)
        transport.handle(IndirectAck, self._on_indirect_ack)

    def members(self) -> list[Member]:
        """Return every entry that is known, this one included."""
        return self._roster.members()

    def live(self) -> list[Member]:
        """Return the entries that can be asked, this one first."""
        others = [member for member in self._roster.others() if member.live]
        return [self.local, *others]

    def get(self, entry_id: str) -> Member | None:
        """Return an entry by its name."""
        return self._roster.get(entry_id)

    def on_change(self, callback: Callback) -> None:
        """Call back with each entry whose state, address or incarnation changed."""
        self._roster.on_change(callback)

    def on_revision(self, callback: RevisionCallback) -> None:
        """Call back with the sender and the configuration revision of each ping and answer."""
        self._revision_listeners.add(callback)

    def add_seed(self, peer: Peer) -> None:
        """Make an entry known by its address, to be asked until it answers."""
        if peer.entry_id != self.local.entry_id:
            self._seeds[peer.entry_id] = peer

    def set_found_seeds(self, peers: list[Peer]) -> None:
        """Ask these entries too, in place of those that were found before."""
        others = (peer for peer in peers if peer.entry_id != self.local.entry_id)
        self._found_seeds = {peer.entry_id: peer for peer in others}

    async def wait_for_others(self, timeout_s: float) -> None:
        """Wait until another entry was heard of, at most for a time; not without seeds."""
        if not self._seeds and not self._found_seeds:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._roster.met.wait()
        except TimeoutError:
            return

    async def leave(self) -> None:
        """Tell the other entries that this one stops taking new work."""
        await self._tell_own_state("leaving")

    async def depart(self) -> None:
        """Tell the other entries that this one ends now."""
        await self._tell_own_state("gone")

    async def run(self) -> None:
        """Probe, compare and try lost entries until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._probe_forever())
                group.create_task(self._sync_forever())
                group.create_task(self._retry_forever())
        finally:
            for task in self._tasks:
                task.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            **self._roster.dump(),
            "seeds": sorted({**self._seeds, **self._found_seeds}),
            "counts": {**self.counts, **self._roster.counts},
            "exchange": self.exchange.dump(),
        }

    async def _tell_own_state(self, state: MemberState) -> None:
        payload = self._roster.set_own_state(state)
        await self.exchange.send_now(MEMBERS_TOPIC, [payload], self._roster.others())

    def _spread(self, name: str, payload: bytes) -> None:
        self.exchange.put(MEMBERS_TOPIC, name, payload)

    def _tell(self, member: Member, payload: bytes) -> None:
        self._start(self.exchange.send_now(MEMBERS_TOPIC, [payload], [member]))

    def _connect(self, member: Member) -> None:
        if member is not self.local:
            self._transport.connect(_peer(member))

    # Probes.

    async def _probe_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            interval_s = self._settings.probe_interval_s * self._roster.health.multiplier
            started_at_s = loop.time()
            target = self._next_target()
            if target is not None:
                await self._probe(target, interval_s)
            left_s = started_at_s + interval_s - loop.time()
            await asyncio.sleep(max(0.0, left_s))
            self._excuse_pause(loop.time() - started_at_s - interval_s)
            self._roster.end_suspicions()

    def _excuse_pause(self, late_s: float) -> None:
        # An entry that was paused has heard nothing meanwhile and must not judge by that.
        if late_s < self._settings.probe_interval_s:
            return
        self.counts["pauses"] += 1
        self._roster.health.worse(2)
        self._roster.excuse(late_s)

    async def _probe(self, target: Member, interval_s: float) -> None:
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        timeout_s = min(self._settings.probe_timeout_s * self._roster.health.multiplier, interval_s)
        self.counts["probes"] += 1
        if await self._ping(target.entry_id, timeout_s):
            self._roster.health.better()
            return
        left_s = started_at_s + interval_s - loop.time()
        if left_s <= -self._settings.probe_interval_s:
            return
        missing = await self._ping_indirectly(target, max(left_s, timeout_s))
        if missing is None:
            self._roster.health.better()
            return
        self._roster.health.worse(missing)
        late_s = loop.time() - started_at_s - interval_s - timeout_s
        if late_s < self._settings.probe_interval_s:
            self._roster.suspect(target, self.local.entry_id, target.incarnation)

    async def _ping(self, entry_id: str, timeout_s: float) -> bool:
        items = self.exchange.take()
        suspect = self._roster.get(entry_id)
        if suspect is not None and self._roster.suspected(entry_id):
            # The suspected entry hears of it first, so that it can refute.
            items.append(self._accusation(suspect))
        ping = Ping(self.local.incarnation, self.local.config_revision, items)
        try:
            ack = await self._transport.request(entry_id, ping, timeout_s)
        except PeerUnreachable:
            return False
        if not isinstance(ack, Ack):
            return False
        self._hear_heartbeat(entry_id, ack.member_incarnation, ack.config_revision)
        self.exchange.receive(entry_id, ack.items)
        if ack.stranger:
            self._start(self.exchange.sync(entry_id))
        return True

    def _accusation(self, member: Member) -> Item:
        return Item(MEMBERS_TOPIC, self._roster.accusation(member))

    async def _ping_indirectly(self, target: Member, timeout_s: float) -> int | None:
        """Return None when a helper reached the target, else the number of silent helpers."""
        others = [m for m in self.live()[1:] if m.entry_id != target.entry_id]
        helpers = self._rng.sample(others, min(INDIRECT_HELPERS, len(others)))
        if not helpers:
            return 0
        self._probe_number += 1
        number = self._probe_number
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._indirect[number] = future
        self._silent_helpers = len(helpers)
        for helper in helpers:
            await self._transport.send(helper.entry_id, PingRequest(number, target.entry_id))
        try:
            async with asyncio.timeout(timeout_s):
                await future
            return None
        except TimeoutError:
            return self._silent_helpers
        finally:
            del self._indirect[number]

    def _next_target(self) -> Member | None:
        while self._turn:
            member = self._roster.get(self._turn.pop())
            if member is not None and member.state != "gone":
                return member
        self._turn = [member.entry_id for member in self._roster.others()]
        self._rng.shuffle(self._turn)
        return self._roster.get(self._turn.pop()) if self._turn else None

    # Handlers.

    async def _on_ping(self, sender: str, ping: Ping) -> Ack:
        self._hear_heartbeat(sender, ping.member_incarnation, ping.config_revision)
        self.exchange.receive(sender, ping.items)
        items = self.exchange.take()
        known = self._roster.get(sender)
        if known is not None and (self._roster.suspected(sender) or known.state == "gone"):
            items.append(self._accusation(known))
        stranger = known is None
        return Ack(self.local.incarnation, self.local.config_revision, items, stranger)

    async def _on_ping_request(self, sender: str, request: PingRequest) -> None:
        if self._helping >= HELPER_LIMIT:
            self.counts["refused_ping_requests"] += 1
            return
        self._helping += 1
        self._start(self._help(sender, request))

    async def _help(self, sender: str, request: PingRequest) -> None:
        try:
            answered = await self._ping(request.target, self._settings.probe_timeout_s)
            await self._transport.send(sender, IndirectAck(request.number, answered))
        finally:
            self._helping -= 1

    async def _on_indirect_ack(self, sender: str, ack: IndirectAck) -> None:
        future = self._indirect.get(ack.number)
        if future is None or future.done():
            return
        if ack.answered:
            future.set_result(True)
        else:
            self._silent_helpers -= 1

    def _hear_heartbeat(self, sender: str, incarnation: int, config_revision: int) -> None:
        member = self._roster.get(sender)
        if member is not None and incarnation >= member.incarnation:
            member.config_revision = config_revision
        self._revision_listeners.notify(sender, config_revision)

    # Entries that are gone, and comparisons.

    async def _sync_forever(self) -> None:
        interval_s = FIRST_SYNC_S
        while True:
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))
            # An entry that starts while many others do finds them by comparing more often.
            interval_s = min(SYNC_INTERVAL_S, 2 * interval_s)
            others = self.live()[1:]
            if others:
                await self.exchange.sync(self._rng.choice(others).entry_id)

    async def _retry_forever(self) -> None:
        while True:
            self._forget_long_gone()
            lost = self._lost()
            alone = len(self._roster.members()) == 1
            if alone:
                # Nobody is known yet: ask every seed at once.
                await asyncio.gather(*(self.exchange.sync(name) for name in lost))
            elif lost:
                await self.exchange.sync(self._rng.choice(lost))
            wait_s = self._settings.probe_interval_s if alone else RETRY_INTERVAL_S
            await asyncio.sleep(wait_s * self._rng.uniform(0.8, 1.2))

    def _lost(self) -> list[str]:
        seeds = {**self._seeds, **self._found_seeds}
        unheard = [name for name in seeds if self._roster.get(name) is None]
        for name in unheard:
            self._transport.connect(seeds[name])
        return unheard + list(self._roster.gone_at_s)

    def _forget_long_gone(self) -> None:
        forgotten_s = asyncio.get_running_loop().time() - GONE_KEEP_S
        for entry_id, gone_at_s in list(self._roster.gone_at_s.items()):
            if gone_at_s < forgotten_s:
                self._roster.forget(entry_id)
                self._transport.forget(entry_id)

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _peer(member: Member) -> Peer:
    return Peer(member.entry_id, member.address, member.public_key)
