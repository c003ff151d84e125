"""Tells the other daemons of own work, and asks them for what the store does not tell.

Reports go by datagram: each replaces the one before it, so a lost one costs half a second. They
make the daemons well informed; what must agree lies in the store.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import cast

import msgspec

from godwitpath.gateway.calls import PromptPart
from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.engines import PeerLoad
from godwitpath.gateway.members import Members
from godwitpath.gateway.peer_messages import CatalogueView, PeerReport, seal, unseal
from godwitpath.gateway.usage_duty import CountsByStart
from godwitpath.http1.messages import NotSent, Request, ResponseLost, write_request
from godwitpath.http1.pool import ConnectionPool
from godwitpath.http1.server import (
    CallerLimits,
    Responder,
    ServerConnection,
    ServerPolicy,
    listen,
)
from godwitpath.telemetry.decisions import decision

REPORT_S = 0.4
"""Time between two reports."""

URGENT_S = 0.1
"""Shortest time between two reports, where an account nears its quota."""

HEARD_S = 1.6
"""Time after which a daemon that sent no report counts as not heard: four reports."""

TOLD_S = 2 * REPORT_S
"""Time for which prompts are told again: each comes in two reports, since one may be lost."""

FORGET_S = 30.0
"""Time after which the counts of a silent daemon are dropped; its usage has been reported then."""

PULL_AFTER_S = 0.5
"""Time for which the store may be silent before a peer is asked in its place."""

PULL_S = 0.5
PULL_TIMEOUT_S = 0.8
REPORTED_WINDOWS = 3
"""Usage windows in a report: the present one and those whose report may not have gone out."""

CLOCK_TOLERANCE_S = 0.5
"""Difference to the daemons' median beyond which an own clock is wrong."""

PULL_TARGET = b"/catalogue"


@dataclass(slots=True)
class PeerState:
    """What is known of another daemon.

    :ivar heard_at_s: loop time of its last report
    """

    incarnation: int
    number: int = -1
    heard_at_s: float = 0.0
    configuration: int = 0
    clock_offset_s: float = 0.0
    quota_used: Mapping[str, int] = field(default_factory=dict)
    usage: dict[int, dict[str, int]] = field(default_factory=dict)
    read_tokens: Mapping[str, int] = field(default_factory=dict)
    loads: Mapping[str, tuple[int, int]] = field(default_factory=dict)


class Peers(asyncio.DatagramProtocol):
    """The links to the other daemons.

    :ivar states: the daemons that were heard, by name and incarnation
    :ivar counts: events by name
    """

    def __init__(
        self, ctx: GatewayContext, catalogue: Catalogue, members: Members, incarnation: int
    ) -> None:
        self.states: dict[tuple[str, int], PeerState] = {}
        self.counts: Counter[str] = Counter()
        self._ctx = ctx
        self._catalogue = catalogue
        self._members = members
        self._incarnation = incarnation
        self._number = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()
        self._pool = ConnectionPool()
        self._loop = asyncio.get_running_loop()
        self._started_at_s = self._loop.time()

    async def start(self) -> None:
        """Listen for reports and for questions."""
        settings = self._ctx.settings
        port = settings.peer_ports[0]
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(settings.host, port))
        limits = CallerLimits()
        policy = ServerPolicy(self._answer, lambda: limits, lambda: True)
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

    def heard(self) -> set[str]:
        """Return the daemons that were heard lately."""
        since_s = self._loop.time() - HEARD_S
        return {name for (name, _), state in self.states.items() if state.heard_at_s >= since_s}

    def silence_s(self, name: str, incarnation: int) -> float:
        """Return for how long a start of a daemon has sent no report.

        Zero where this daemon itself seems to be the one that is cut off: it hears less than half
        of the others.
        """
        if name == self._ctx.settings.name:
            return 0.0 if incarnation == self._incarnation else math.inf
        others = self._members.entries.keys() - {name}
        if 2 * len(self.heard() & others) < len(others):
            return 0.0
        now_s = self._loop.time()
        state = self.states.get((name, incarnation))
        return now_s - (state.heard_at_s if state is not None else self._started_at_s)

    def quota_share(self) -> float:
        """Return the part of each quota that the daemons which hear one another may use."""
        registered = self._members.entries.keys()
        known = 1 + len(registered | self.heard())
        return (1 + len(self.heard())) / known

    def usage_counts(self) -> CountsByStart:
        """Return the usage of each start of a daemon, this one included."""
        counts = {f"{name}/{start}": state.usage for (name, start), state in self.states.items()}
        counts[f"{self._ctx.settings.name}/{self._incarnation}"] = self._ctx.usage.own
        return counts

    def load(self, service: str) -> tuple[int, int]:
        """Return prompt tokens read and streams that run at a service, of all daemons."""
        read_tokens = self._ctx.placer.read_tokens.get(service, 0)
        read_tokens += sum(state.read_tokens.get(service, 0) for state in self.states.values())
        engines = self._ctx.engines.all()
        running = sum(each.all_running for each in engines if each.entry.service == service)
        return read_tokens, running

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
            report = msgspec.msgpack.decode(payload, type=PeerReport)
        except msgspec.DecodeError:
            self.counts["datagrams_unreadable"] += 1
            return
        if report.name != self._ctx.settings.name:
            self._take(report)

    def _take(self, report: PeerReport) -> None:
        now_s = self._loop.time()
        key = (report.name, report.incarnation)
        state = self.states.get(key)
        if state is None:
            state = self.states[key] = PeerState(report.incarnation)
            decision("peer_heard", peer=report.name, incarnation=report.incarnation)
            state.quota_used = report.quota_used
        if report.number <= state.number:
            return
        state.number = report.number
        state.heard_at_s = now_s
        state.configuration = report.configuration
        state.clock_offset_s = report.clock_s - self._ctx.usage.clock.now_s()
        for account, used in report.quota_used.items():
            fresh = used - state.quota_used.get(account, 0)
            if fresh:
                self._ctx.quota.note_peer_use(account, fresh)
        state.quota_used = report.quota_used
        state.usage.update(report.usage)
        state.read_tokens = report.read_tokens
        self._take_loads(report, state)
        self._take_prompts(report)

    def _take_prompts(self, report: PeerReport) -> None:
        for engine_id, parts in report.prompts:
            engine = self._ctx.engines.get(engine_id)
            if engine is None:
                continue
            service = self._ctx.in_force.service(engine.entry.service)
            if service is not None and service.engine is not None:
                told = [PromptPart(part_id, tokens) for part_id, tokens in parts]
                self._ctx.placer.note_peer_prompt(engine, told, service.engine.cache_tokens)

    def _take_loads(self, report: PeerReport, state: PeerState) -> None:
        for engine_id in state.loads.keys() - report.loads.keys():
            engine = self._ctx.engines.get(engine_id)
            if engine is not None:
                engine.peers.pop(report.name, None)
        for engine_id, (running, prompt_tokens) in report.loads.items():
            engine = self._ctx.engines.get(engine_id)
            if engine is not None:
                engine.peers[report.name] = PeerLoad(running, prompt_tokens)
        state.loads = report.loads

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(URGENT_S)
            pause_s = REPORT_S * (0.9 + 0.2 * self._ctx.rng.random()) - URGENT_S
            try:
                async with asyncio.timeout(pause_s):
                    await self._ctx.quota.urgent.wait()
            except TimeoutError:
                pass
            self._forget_silent()
            self._correct_clock()
            secret = self._members.secret
            if not secret or self._transport is None:
                continue
            self._ctx.quota.told()
            self._number += 1
            data = seal(secret, msgspec.msgpack.encode(self._own_report()))
            for entry in self._members.entries.values():
                self._transport.sendto(data, (entry.host, entry.port))

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
        )

    def _forget_silent(self) -> None:
        now_s = self._loop.time()
        for key, state in list(self.states.items()):
            silent_s = now_s - state.heard_at_s
            if silent_s >= HEARD_S and state.loads:
                decision("peer_silent", peer=key[0], silent_s=round(silent_s, 2))
                state.loads = {}
                self._ctx.engines.drop_peer(key[0])
            if silent_s >= FORGET_S:
                del self.states[key]

    def _correct_clock(self) -> None:
        """Take the median of the daemons' clocks where an own one is off."""
        since_s = self._loop.time() - HEARD_S
        offsets = sorted(
            [state.clock_offset_s for state in self.states.values() if state.heard_at_s >= since_s]
        )
        if len(offsets) < 2:
            return
        median_s = offsets[len(offsets) // 2]
        if abs(median_s) > CLOCK_TOLERANCE_S and self._ctx.usage.clock.correct(median_s):
            decision("clock_corrected", by_s=round(median_s, 3), peers=len(offsets))

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
            fresh=self._catalogue.entries.lost_at_s is None,
            configuration=in_force.revision,
            value=in_force.value if in_force.revision > known else b"",
            entries=dict(self._catalogue.raw_entries),
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
        heard = {name: state for (name, _), state in self.states.items() if name in self.heard()}
        if not heard or not self._members.secret:
            return None
        newest = max(heard, key=lambda name: heard[name].configuration)
        if heard[newest].configuration > self._ctx.in_force.revision:
            return newest
        now_s = self._loop.time()
        lost_at_s = self._catalogue.entries.lost_at_s
        if lost_at_s is not None and now_s - lost_at_s >= PULL_AFTER_S:
            return self._ctx.rng.choice(sorted(heard))
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
            pieces = []
            while piece := await connection.read():
                pieces.append(piece)
        finally:
            connection.close()
        payload = unseal(self._members.secret, b"".join(pieces))
        if payload is None:
            raise ResponseLost("the answer is not a daemon's")
        return msgspec.msgpack.decode(payload, type=CatalogueView)

    def _take_view(self, peer: str, view: CatalogueView) -> None:
        self.counts["pulls"] += 1
        if view.value:
            self._catalogue.take_configuration(view.value, view.configuration, f"peer {peer}")
        if view.fresh and self._catalogue.entries.lost_at_s is not None:
            self._catalogue.take_peer_entries(view.entries, f"peer {peer}")
