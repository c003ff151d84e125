"""Tells the other daemons of own work, and asks them for what the store does not tell.

Reports go by datagram: each replaces the one before it, so a lost one costs half a second. They
make the daemons well informed; what must agree lies in the store. Up to a dozen daemons report to
one another. Beyond that they report within their availability zone, one of each zone speaks for it
to the others', and the holder of the duties hears of everybody's usage.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from typing import cast

import msgspec

from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.holder import known_holder
from godwitpath.gateway.members import Members
from godwitpath.gateway.peer_messages import (
    CatalogueView,
    PeerMessage,
    PeerReport,
    ZoneDigest,
    seal,
    unseal,
)
from godwitpath.gateway.peer_view import HEARD_S, PeerView, sum_loads
from godwitpath.http1.messages import NotSent, Request, ResponseLost, write_request
from godwitpath.http1.pool import ConnectionPool
from godwitpath.http1.server import Responder, ServerConnection, ServerPolicy, listen
from godwitpath.telemetry.decisions import decision

REPORT_S = 0.4
"""Time between two reports."""

URGENT_S = 0.1
"""Shortest time between two reports, where an account nears its quota."""

TOLD_S = 2 * REPORT_S
"""Time for which prompts are told again: each comes in two reports, since one may be lost."""

SPOKEN_TO = 3
"""Daemons of a zone that are spoken to while its own speaker is not known."""

PULL_AFTER_S = 0.5
"""Time for which the store may be silent before a peer is asked in its place."""

PULL_S = 0.2
"""Time between two looks whether another daemon knows more."""

PULL_TIMEOUT_S = 0.8
REPORTED_WINDOWS = 3
"""Usage windows in a report: the present one and those whose report may not have gone out."""

PULL_TARGET = b"/catalogue"


class Peers(asyncio.DatagramProtocol):
    """The links to the other daemons.

    :ivar view: what is known of them
    :ivar counts: events by name
    """

    def __init__(
        self, ctx: GatewayContext, catalogue: Catalogue, members: Members, incarnation: int
    ) -> None:
        self.view = PeerView(ctx, members, incarnation)
        self.counts: Counter[str] = Counter()
        self._ctx = ctx
        self._catalogue = catalogue
        self._members = members
        members.is_heard = lambda name: name in self.view.heard()
        self._incarnation = incarnation
        self._number = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()
        self._pool = ConnectionPool()
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Listen for reports and for questions."""
        settings = self._ctx.settings
        port = settings.peer_ports[0]
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(settings.host, port))
        policy = ServerPolicy(self._answer)
        self._server = await listen(settings.host, port, policy, self._connections)

    async def run(self) -> None:
        """Report and ask until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._report())
            group.create_task(self._pull())

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        self._pool.close()

    def now_s(self) -> float:
        """Return the loop's time, also for other threads."""
        return self._loop.time()

    # Reports.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        self.counts["datagram_errors"] += 1

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        secret = self._members.secret
        payload = unseal(secret, data) if secret else None
        if payload is None:
            self.counts["datagrams_refused"] += 1
            return
        try:
            message = msgspec.msgpack.decode(payload, type=PeerMessage)
        except msgspec.DecodeError:
            self.counts["datagrams_unreadable"] += 1
            return
        if isinstance(message, PeerReport):
            if message.name != self._ctx.settings.name:
                self.view.take_report(message)
        elif self.view.take_digest(message):
            speaker = self._members.entries.get(message.speaker)
            if speaker is not None and (speaker.host, speaker.port) == addr:
                # It came from the other zone: the own zone hears of it from here.
                self._send(data, self._of_zone(self._ctx.settings.zone))

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(URGENT_S)
            pause_s = REPORT_S * (0.9 + 0.2 * self._ctx.rng.random()) - URGENT_S
            try:
                async with asyncio.timeout(pause_s):
                    await self._ctx.quota.urgent.wait()
            except TimeoutError:
                pass
            self._catalogue.followed = self.view.should_watch()
            self._ctx.repeats.note_daemons(1 + len(self._members.entries))
            self.view.forget_silent()
            self._members.forget_silent()
            self.view.correct_clock()
            if self._members.secret and self._transport is not None:
                self._ctx.quota.told()
                self._number += 1
                self._tell()

    def _tell(self) -> None:
        """Tell those who are to hear of it."""
        report = self._own_report()
        if self.view.meshed:
            self._send(self._seal(report), self._members.entries)
            return
        zone = self._ctx.settings.zone
        near = set(self._of_zone(zone))
        # One that the store turns away learns from the others who holds the duties now.
        holder, _ = max(report.holder, self.view.holder, key=lambda known: known[1])
        told = self._seal(report)
        self._send(told, near | ({holder} & self._members.entries.keys()))
        if self.view.speaker() == self._ctx.settings.name:
            digest = self._seal(self._digest(report))
            for other in {entry.zone for entry in self._members.entries.values()} - {zone}:
                self._send(digest, self._listeners(other))

    def _send(self, data: bytes, names: Iterable[str]) -> None:
        if self._transport is None:
            return
        for name in names:
            entry = self._members.entries.get(name)
            if entry is not None:
                self._transport.sendto(data, (entry.host, entry.port))

    def _seal(self, message: PeerMessage) -> bytes:
        return seal(self._members.secret, msgspec.msgpack.encode(message))

    def _of_zone(self, zone: str) -> list[str]:
        return [name for name, entry in self._members.entries.items() if entry.zone == zone]

    def _listeners(self, zone: str) -> list[str]:
        """Return whom to speak to in another zone: its speaker, or some while that is unknown."""
        state = self.view.zones.get(zone)
        if state is not None and self._loop.time() - state.heard_at_s < HEARD_S:
            return [state.speaker[0]]
        names = sorted(self._of_zone(zone))
        return self._ctx.rng.sample(names, min(SPOKEN_TO, len(names)))

    def _own_report(self) -> PeerReport:
        ctx = self._ctx
        loads = {
            engine.entry.engine_id: (engine.running, engine.prompt_tokens)
            for engine in ctx.engines.all()
            if engine.running
        }
        return PeerReport(
            name=ctx.settings.name,
            incarnation=self._incarnation,
            number=self._number,
            configuration=ctx.in_force.revision,
            clock_s=ctx.usage.clock.now_s(),
            quota_used={name: int(used) for name, used in ctx.quota.used.items()},
            usage={key: dict(value) for key, value in ctx.usage.recent(REPORTED_WINDOWS).items()},
            loads=loads,
            read_tokens=dict(ctx.placer.read_tokens),
            prompts=[
                (engine_id, [(part.part_id, part.tokens) for part in parts])
                for engine_id, parts in ctx.placer.sent_since(self._loop.time() - TOLD_S)
            ],
            fresh=self._catalogue.fresh,
            engines=self._catalogue.engines_revision,
            holder=known_holder(self._members),
        )

    def _digest(self, own: PeerReport) -> ZoneDigest:
        """Return what is said for the own zone."""
        view = self.view
        since_s = self._loop.time() - HEARD_S
        near = [
            (key, state)
            for key, state in view.states.items()
            if state.heard_at_s >= since_s and view.near(key[0])
        ]
        return ZoneDigest(
            zone=self._ctx.settings.zone,
            speaker=own.name,
            incarnation=own.incarnation,
            number=own.number,
            members=[(own.name, own.incarnation), *(key for key, _ in near)],
            configuration=max([own.configuration, *(state.configuration for _, state in near)]),
            quota_used=dict(Counter(own.quota_used) + view.zone_used),
            loads=sum_loads([own.loads, *(state.loads for _, state in near)]),
            read_tokens=dict(Counter(own.read_tokens) + view.zone_read),
            prompts=[*own.prompts, *(told for _, state in near for told in state.prompts)],
        )

    # Views.

    async def _answer(self, request: Request, responder: Responder) -> None:
        secret = self._members.secret
        payload = unseal(secret, request.body) if secret else None
        if payload is None or request.target != PULL_TARGET:
            responder.respond(403, [], b"")
            return
        known = msgspec.msgpack.decode(payload, type=int)
        in_force = self._ctx.in_force
        view = CatalogueView(
            fresh=self._catalogue.fresh,
            configuration=in_force.revision,
            value=in_force.value if in_force.revision > known else b"",
            entries=dict(self._catalogue.raw_entries),
            engines=self._catalogue.engines_revision,
        )
        responder.respond(200, [], seal(secret, msgspec.msgpack.encode(view)))

    async def _pull(self) -> None:
        while True:
            await asyncio.sleep(PULL_S)
            peer = self._whom_to_ask()
            if peer is None:
                continue
            try:
                async with asyncio.timeout(PULL_TIMEOUT_S):
                    view = await self._ask(peer)
            except (NotSent, ResponseLost, TimeoutError, msgspec.DecodeError) as error:
                self.counts["pulls_failed"] += 1
                decision("pull_failed", peer=peer, reason=str(error) or repr(error))
                continue
            self._take_view(peer, view)

    def _whom_to_ask(self) -> str | None:
        """Return a daemon that may know more, where there is reason to ask."""
        direct = self.view.heard_directly()
        revisions = {name: state.configuration for name, state in direct.items()}
        now_s = self._loop.time()
        for zone in self.view.zones.values():
            if now_s - zone.heard_at_s < HEARD_S:
                revisions[zone.speaker[0]] = zone.configuration
        if not revisions or not self._members.secret:
            return None
        newest = max(revisions, key=lambda name: revisions[name])
        if revisions[newest] > self._ctx.in_force.revision:
            return newest
        for name in [] if self._catalogue.fresh else self.view.watchers():
            if direct[name].engines > self._catalogue.engines_revision:
                return name
        lost_at_s = self._catalogue.entries.lost_at_s
        if lost_at_s is not None and now_s - lost_at_s >= PULL_AFTER_S:
            return self._ctx.rng.choice(sorted(revisions))
        return None

    async def _ask(self, peer: str) -> CatalogueView:
        entry = self._members.entries.get(peer)
        if entry is None:
            raise NotSent(f"address of {peer} is not known")
        body = seal(self._members.secret, msgspec.msgpack.encode(self._ctx.in_force.revision))
        headers = [
            (b"host", entry.host.encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        connection = await self._pool.take(entry.host, entry.port, PULL_TIMEOUT_S, fresh=True)
        try:
            connection.send("POST", write_request("POST", PULL_TARGET, headers) + body)
            await connection.head()
            answer = await connection.read_whole()
        finally:
            connection.close()
        payload = unseal(self._members.secret, answer)
        if payload is None:
            raise ResponseLost("the answer is not a daemon's")
        return msgspec.msgpack.decode(payload, type=CatalogueView)

    def _take_view(self, peer: str, view: CatalogueView) -> None:
        self.counts["pulls"] += 1
        if view.value:
            self._catalogue.take_configuration(view.value, view.configuration, f"peer {peer}")
        newer = view.engines > self._catalogue.engines_revision
        if view.fresh and newer and not self._catalogue.fresh:
            self._catalogue.take_peer_entries(view.entries, view.engines, f"peer {peer}")
