"""Sends reports to the other daemons and receives theirs.

Reports are sent as datagrams of at most a packet each: a lost one delays what it says by half a
second, or by a few reports where the sections of a report take turns. They are best effort; state
that requires agreement is kept in the store.
Up to a dozen daemons report to one another in a full mesh. In a larger fleet daemons report within
their availability zone, the zone's aggregator sends summaries of the zone to the other zones, and
every daemon also reports to the duty holder (the daemon that does the deployment-wide tasks under a
lease), which needs the usage of all daemons.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Collection, Iterable
from functools import singledispatchmethod
from typing import cast

from godwitpath.decoding import Unreadable, decode
from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.grantors import Grantors
from godwitpath.gateway.holder import boot_time_s
from godwitpath.gateway.holder_entry import known_holder
from godwitpath.gateway.members import Members
from godwitpath.gateway.peer_messages import (
    PeerMessage,
    PeerReport,
    PermitReply,
    PermitRequest,
    ZoneSummary,
    message_decoder,
    unseal,
    with_eras,
    without_eras,
)
from godwitpath.gateway.peer_view import REPORT_TIMEOUT_S, PeerView
from godwitpath.gateway.permits import SendPermits
from godwitpath.gateway.port_limits import SERVICE_PORT_LIMITS
from godwitpath.gateway.pulls import CataloguePuller
from godwitpath.gateway.quarantine_report import QuarantineReport
from godwitpath.gateway.report_budget import quarantine_bytes
from godwitpath.gateway.report_sender import Outgoing, ReportSender
from godwitpath.gateway.store import era_of
from godwitpath.gateway.unreadable import UnreadableValues
from godwitpath.gateway.zone_summary import build_summary
from godwitpath.http1.listener import listen
from godwitpath.http1.server import ServerConnection
from godwitpath.http1.server_policy import ServerPolicy
from godwitpath.telemetry.decisions import decision

REPORT_S = 0.4
"""Interval between two reports of a daemon."""

URGENT_REPORT_S = 0.1
"""Shortest interval between two reports of a daemon, used while an account nears its quota, and
when an engine's limit is learned."""

PROMPT_REPEAT_S = 2 * REPORT_S
"""Time for which a sent prompt is included in reports: in two of them, because one may be lost."""

STALE_SHARE = 0.5
"""Age of a daemon's state, as a share of the time within which changes must be known, from which
the daemon watches the store itself."""

STALE_SPREAD = 0.25
"""Largest part by which this age is greater at some daemons."""

FALLBACK_RECIPIENTS = 3
"""Number of daemons of another zone that receive a summary while the aggregator there is
unknown."""

REPORTED_WINDOWS = 3
"""Number of usage windows in a report: the current window and those that may not have been reported
yet."""


class Peers(asyncio.DatagramProtocol):
    """Exchanges reports and zone summaries with the other daemons.

    :ivar view: state of the other daemons
    :ivar puller: pulls changes that the store does not provide
    :ivar permits: requests and grants permits for sends to limited engines
    :ivar counts: number of events by name, such as refused datagrams
    :ivar sender: packs and sends datagrams
    :ivar unreadable: addresses that sent a datagram which is signed but cannot be decoded
    """

    def __init__(
        self, ctx: GatewayContext, catalogue: Catalogue, members: Members, incarnation: int
    ) -> None:
        self.view = PeerView(ctx, members, incarnation)
        self.puller = CataloguePuller(ctx, catalogue, members, self.view)
        settings = ctx.settings
        grantors = Grantors(settings.name, settings.zone, members, self.view, boot_time_s)
        self.permits = SendPermits(
            settings.name, ctx.engines, ctx.limits, grantors, boot_time_s, ctx.rng.random
        )
        self.permits.send = self._send_permit_request
        self.counts: Counter[str] = Counter()
        self.sender = ReportSender(members, self.counts, ctx.instruments)
        self.unreadable = UnreadableValues("datagram_unreadable")
        self._ctx = ctx
        self._catalogue = catalogue
        self._members = members
        ctx.retry_budget.count_daemons = members.count
        members.has_reported = lambda name: name in self.view.reporting()
        # Differs between daemons, so that those of a zone do not all turn to the store at once.
        spread = 1.0 + STALE_SPREAD * ctx.rng.random()
        self._stale_s = ctx.settings.bounds.change_s * STALE_SHARE * spread
        self._incarnation = incarnation
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Listen for reports and for pull requests."""
        settings = self._ctx.settings
        port = settings.peer_ports[0]
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(settings.host, port))
        policy = ServerPolicy(
            self.puller.handle, lambda: SERVICE_PORT_LIMITS, open_connections=self._ctx.ports.peers
        )
        self._server = await listen(settings.host, port, policy, self._connections)

    async def run(self) -> None:
        """Send reports and pull changes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._report_loop())
            group.create_task(self.puller.run())

    def close(self) -> None:
        """Stop listening, and close the idle connections to peers."""
        if self.sender.transport is not None:
            self.sender.transport.close()
        if self._server is not None:
            self._server.close()
        self.puller.close()

    def now_s(self) -> float:
        """Return the loop time; callable from other threads."""
        return self._loop.time()

    # Reports.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.sender.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        self.sender.note_error(exc)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        secret = self._members.secret
        payload = unseal(secret, data) if secret else None
        if payload is None:
            self.counts["datagrams_refused"] += 1
            return
        try:
            message = decode(message_decoder, payload)
        except Unreadable as error:
            self.counts["datagrams_unreadable"] += 1
            self.unreadable.note(f"{addr[0]}:{addr[1]}", str(error))
            return
        self._apply(message, addr, data)

    @singledispatchmethod
    def _apply(self, message: PeerMessage, addr: tuple[str, int], data: bytes) -> None:
        """Apply a message of another daemon.

        :param addr: address of the sender
        :param data: the message as it was received
        """
        raise TypeError(f"unknown message: {message}")

    @_apply.register
    def _(self, message: PeerReport, addr: tuple[str, int], data: bytes) -> None:
        if message.name != self._ctx.settings.name:
            message = with_eras(message, era_of(self._catalogue.seen_revision))
            if not self.view.apply_report(message):
                self.counts["datagrams_stale"] += 1
            self._confirm(message)
            self._ctx.limits.apply_report(message.name, message.limits)
            self._ctx.engines.notices.apply_report(message.name, message.leaving)
            self._ctx.crashes.apply_report(message.name, message.quarantine)

    @_apply.register
    def _(self, message: ZoneSummary, addr: tuple[str, int], data: bytes) -> None:
        message = with_eras(message, era_of(self._catalogue.seen_revision))
        if not self.view.apply_summary(message):
            self.counts["datagrams_stale"] += 1
            return
        self._catalogue.confirm_engines(
            message.engines_revision, message.engines_age_s, self._loop.time()
        )
        self._ctx.limits.apply_report(message.aggregator, message.limits)
        self._ctx.engines.notices.apply_report(message.aggregator, message.leaving)
        self._ctx.crashes.apply_report(message.aggregator, message.quarantine)
        aggregator = self._members.entries.get(message.aggregator)
        if aggregator is not None and (aggregator.host, aggregator.port) == addr:
            # The summary came directly from the other zone, so forward it in the local zone.
            zone_peers = self._daemons_in(self._ctx.settings.zone)
            if message.piece or message.spread_over:
                zone_peers = [each for each in zone_peers if self.view.takes_pieces(each)]
            self._send(data, zone_peers)

    @_apply.register
    def _(self, message: PermitRequest, addr: tuple[str, int], data: bytes) -> None:
        self.sender.send_to(self.sender.seal(self.permits.handle_request(message)), addr)

    @_apply.register
    def _(self, message: PermitReply, addr: tuple[str, int], data: bytes) -> None:
        self.permits.handle_reply(f"{addr[0]}:{addr[1]}", message)

    def _confirm(self, report: PeerReport) -> None:
        """Note how recently a peer knew its state to be the newest."""
        now_s = self._loop.time()
        self._catalogue.confirm_configuration(
            report.configuration_revision,
            report.configuration_version,
            report.configuration_age_s,
            now_s,
        )
        self._catalogue.confirm_engines(report.engines_revision, report.engines_age_s, now_s)

    async def _report_loop(self) -> None:
        while True:
            await asyncio.sleep(URGENT_REPORT_S)
            pause_s = REPORT_S * (0.9 + 0.2 * self._ctx.rng.random()) - URGENT_REPORT_S
            try:
                async with asyncio.timeout(pause_s):
                    await self._ctx.quota.urgent.wait()
            except TimeoutError:
                pass
            self.permits.refresh()
            self._ctx.limits.drop_removed(self._ctx.engines)
            self._ctx.engines.notices.drop_expired(self._ctx.engines.knows)
            self._ctx.crashes.review()
            self._decide_watching()
            self._ctx.retry_budget.note_daemons(self._members.count())
            self.view.drop_expired()
            self._members.drop_expired()
            self.view.correct_clock()
            if self._members.secret and self.sender.transport is not None:
                self._ctx.quota.mark_reported()
                self._sequence += 1
                self._send_reports()

    def _decide_watching(self) -> None:
        """Watch the store if this daemon has to, or if its peers do not keep it current."""
        behind = self.puller.behind
        ages = self._catalogue.ages()
        stale = ages.oldest_s > self._stale_s
        watching = self.view.should_watch() or behind or stale
        if watching != self._catalogue.watching:
            decision(
                "store_watching",
                watching=watching,
                behind=behind,
                configuration_age_s=round(ages.configuration_s, 3),
                engines_age_s=round(ages.engines_s, 3),
            )
        self._catalogue.watching = watching

    def _send_reports(self) -> None:
        """Send the report, and the zone summary if this daemon is the zone's aggregator."""
        self.sender.begin_report()
        holder = known_holder(self._members)
        recipients = self._report_recipients(holder)
        report = self._build_report(holder, self._quarantine_report(len(recipients)))
        packed = self.sender.pack(without_eras(report), self.sender.reports, len(recipients))
        takers = {each for each in recipients if self.view.takes_pieces(each)}
        self._send_packed(packed, takers, recipients - takers)
        if not self.view.full_mesh and self.view.aggregator() == self._ctx.settings.name:
            self._send_summary(report)

    def _quarantine_report(self, copies: int, *, relayed: bool = False) -> QuarantineReport:
        """Return what to report of crashes and quarantine.

        :param copies: number of datagrams that one daemon sends or forwards for each piece
        :param relayed: whether to report also what other daemons reported
        """
        max_bytes = quarantine_bytes(self.sender.pieces_allowed(copies))
        quarantine = self._ctx.crashes.quarantine
        return quarantine.report(self._loop.time(), relayed=relayed, max_bytes=max_bytes)

    def _report_recipients(self, known: tuple[str, int]) -> set[str]:
        """Return the names of the daemons that this daemon's report is sent to.

        :param known: name and fencing token of the duty holder that this daemon knows of
        """
        registered = self._members.entries.keys()
        if self.view.full_mesh:
            return set(registered)
        # A daemon that cannot reach the store learns the current duty holder from its peers.
        holder, _ = max(known, self.view.reported_holder, key=lambda each: each[1])
        return set(self._daemons_in(self._ctx.settings.zone)) | ({holder} & registered)

    def _send_summary(self, report: PeerReport) -> None:
        """Send the summary of the local zone to the other zones, which forward it.

        :param report: this daemon's report
        """
        own_zone = self._ctx.settings.zone
        sizes = Counter(entry.zone for entry in self._members.entries.values())
        del sizes[own_zone]
        copies = len(sizes) * max(sizes.values(), default=0)
        quarantine = self._quarantine_report(copies, relayed=True)
        summary = without_eras(self._build_summary(report, quarantine))
        packed = self.sender.pack(summary, self.sender.summaries, copies)
        for zone in sizes:
            recipients = self._summary_recipients(zone)
            state = self.view.zones.get(zone)
            takes_pieces = len(recipients) == 1 and state is not None and state.takes_pieces
            self._send_packed(
                packed, recipients if takes_pieces else (), () if takes_pieces else recipients
            )

    def _send_packed(
        self, packed: Outgoing, takers: Iterable[str], others: Collection[str]
    ) -> None:
        """Send a message in pieces to the daemons that take these, and whole to the others."""
        for piece in packed.pieces:
            self._send(piece, takers)
        if others:
            self._send(packed.whole(), others)

    def _send(self, data: bytes, names: Iterable[str]) -> None:
        self.sender.send(data, names)

    def _send_permit_request(self, request: PermitRequest, grantor: str) -> None:
        self._send(self.sender.seal(request), (grantor,))

    def _daemons_in(self, zone: str) -> list[str]:
        return [name for name, entry in self._members.entries.items() if entry.zone == zone]

    def _summary_recipients(self, zone: str) -> list[str]:
        """Return the names of the daemons in another zone that a summary is sent to.

        These are that zone's aggregator, or a few random daemons while the aggregator is unknown.
        """
        state = self.view.zones.get(zone)
        if state is not None and self._loop.time() - state.received_at_s < REPORT_TIMEOUT_S:
            return [state.aggregator[0]]
        names = sorted(self._daemons_in(zone))
        return self._ctx.rng.sample(names, min(FALLBACK_RECIPIENTS, len(names)))

    def _build_report(self, holder: tuple[str, int], quarantine: QuarantineReport) -> PeerReport:
        ctx = self._ctx
        ages = self._catalogue.ages()
        loads = {
            engine.entry.engine_id: (engine.running_requests, engine.prompt_tokens)
            for engine in ctx.engines.all()
            if engine.running_requests
        }
        return PeerReport(
            name=ctx.settings.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            configuration_revision=ctx.in_force.revision,
            configuration_version=ctx.in_force.version,
            clock_s=ctx.usage.clock.now_s(),
            quota_used={name: int(used) for name, used in ctx.quota.used.items()},
            usage={key: dict(value) for key, value in ctx.usage.recent(REPORTED_WINDOWS).items()},
            loads=loads,
            prefill_tokens=dict(ctx.placer.prefill_tokens),
            prompts=[
                (engine_id, [(part.part_id, part.tokens) for part in parts])
                for engine_id, parts in ctx.placer.sent_since(self._loop.time() - PROMPT_REPEAT_S)
            ],
            fresh=self._catalogue.fresh,
            engines_revision=self._catalogue.engines_revision,
            holder=holder,
            limits=ctx.limits.reported(),
            quota_levels=ctx.quota.levels(),
            configuration_age_s=ages.configuration_s,
            engines_age_s=ages.engines_s,
            leaving=ctx.engines.notices.reported(),
            read_speeds=self.view.own_read_speeds(),
            quarantine=quarantine,
            hears=self.view.hearing.hears(),
        )

    def _build_summary(self, report: PeerReport, quarantine: QuarantineReport) -> ZoneSummary:
        return build_summary(self.view, self._ctx.settings.zone, report, quarantine)
