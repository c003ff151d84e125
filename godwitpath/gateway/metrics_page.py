"""Serves the daemon's metrics in the Prometheus text format, and its state as JSON.

The duty holder is the daemon that does the tasks of the whole deployment under a lease.

The metrics library is imported in a thread on the first request for the page, so that it neither
delays a restart nor takes memory in a daemon that is not scraped.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING

import msgspec

from godwitpath import __version__
from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.holder import DutyHolder
from godwitpath.gateway.peers import Peers
from godwitpath.gateway.port_limits import SERVICE_PORT_LIMITS
from godwitpath.gateway.state_dump import StateDump
from godwitpath.gateway.unreadable import UnreadableValues
from godwitpath.http1.listener import listen
from godwitpath.http1.messages import Request
from godwitpath.http1.open_connections import OpenConnections
from godwitpath.http1.responder import Responder
from godwitpath.http1.server import ServerConnection
from godwitpath.http1.server_policy import ServerPolicy
from godwitpath.platform.adapter import PlatformAdapter
from godwitpath.ports.engine import Address
from godwitpath.telemetry.decisions import decision

if TYPE_CHECKING:
    from godwitpath.telemetry.metrics import Metrics

METRICS_PATH = "/metrics"
STATE_PATH = "/admin/state"
STATUS_PATH = "/admin/status"

Samples = Iterable[tuple[float, dict[str, str]]]


class MetricsPage:
    """HTTP endpoint for the metrics and the state of one daemon."""

    def __init__(
        self,
        ctx: GatewayContext,
        adapter: PlatformAdapter,
        catalogue: Catalogue,
        peers: Peers,
        holder: DutyHolder,
        dump: StateDump,
        unreadable: Sequence[UnreadableValues],
    ) -> None:
        self._ctx = ctx
        self._adapter = adapter
        self._catalogue = catalogue
        self._peers = peers
        self._holder = holder
        self._dump = dump
        self._unreadable_values = unreadable
        self._metrics: Metrics | None = None
        self._connections: set[ServerConnection] = set()

    async def listen(self, address: Address, connections: OpenConnections) -> asyncio.Server | None:
        """Listen on an address.

        :param connections: bounds the open connections
        :returns: the server, None if the address is in use; the daemon then serves no metrics
        """
        policy = ServerPolicy(
            self._handle, lambda: SERVICE_PORT_LIMITS, open_connections=connections
        )
        try:
            return await listen(address.host, address.port, policy, self._connections)
        except OSError as error:
            decision("metrics_not_served", address=str(address), reason=str(error))
            return None

    async def _handle(self, request: Request, responder: Responder) -> None:
        if request.path == METRICS_PATH:
            text, content_type = await asyncio.to_thread(self._render)
            responder.respond(200, [(b"content-type", content_type.encode())], text)
        elif request.path in (STATE_PATH, STATUS_PATH):
            body = self._dump.state() if request.path == STATE_PATH else self._dump.status()
            headers = [(b"content-type", b"application/json")]
            responder.respond(200, headers, msgspec.json.encode(body))
        else:
            responder.respond(404, [], b"")

    def _render(self) -> tuple[bytes, str]:
        from godwitpath.telemetry.metrics import Metrics

        if self._metrics is None:
            metrics = Metrics(self._ctx.settings.name, __version__)
            self._register(metrics)
            self._metrics = metrics
        return self._metrics.render()

    def _register(self, metrics: Metrics) -> None:
        instruments = self._ctx.instruments
        for histogram in (
            instruments.request_s,
            instruments.first_event_s,
            instruments.connect_s,
            instruments.loop_delay_s,
            instruments.datagram_bytes,
        ):
            metrics.register_histogram(histogram)
        counters = (
            ("answers", "{answer}", "Answers to callers: who gave them, and why?", self._responses),
            ("sends", "{send}", "Sends to engines by outcome: which service fails?", self._sends),
            ("platform.calls", "{call}", "Calls to the platform: does it answer?", self._calls),
            ("peers.events", "{event}", "Pulls, and datagrams refused.", self._peer_events),
            ("peers.left_out", "{item}", "Items not in a report to peers.", self._left_out),
            (
                "connections.ended",
                "{connection}",
                "Connections beyond a port's limit.",
                self._ended,
            ),
            ("unreadable", "{value}", "Values of other writers not read.", self._unreadable),
            ("read.tokens", "{token}", "Prompt tokens given to engines to read.", self._tokens),
            ("permits", "{permit}", "Permits for sends to limited engines.", self._permits),
            ("notices", "{notice}", "Engines that leave or want a pause.", self._notices),
            ("crashes", "{event}", "Crashes, and what became of prompts.", self._crashes),
        )
        for name, unit, description, read in counters:
            metrics.observable_counter(f"godwitpath.gateway.{name}", unit, description, read)
        gauges: tuple[tuple[str, str, str, Callable[[], float | Samples]], ...] = (
            ("engines", "{engine}", "Engines by service, state and kind.", self._engines),
            ("engines.limited", "{engine}", "Engines with a limit, by service.", self._limited),
            ("engines.limit", "{request}/s", "Sum of engines' limits.", self._limit_per_s),
            ("connections", "{connection}", "Open connections by port.", self._open),
            ("running", "{request}", "Own requests at engines, by service.", self._running),
            ("configuration.revision", "{revision}", "Store revision in force.", self._revision),
            ("store.silent", "s", "Time since the store last answered.", self._store_response_age),
            ("state.age", "s", "Time since the state was known to be the newest.", self._ages),
            ("duty.fence", "{token}", "Fencing token of the duties, 0 for none.", self._fence),
            ("peers.heard", "{daemon}", "Other daemons heard of lately.", self._reporting_peers),
            ("peers.not_hearing", "{daemon}", "Of these, not hearing this one.", self._not_hearing),
        )
        for name, unit, description, observe in gauges:
            metrics.gauge(f"godwitpath.gateway.{name}", unit, description, observe)

    def _responses(self) -> Samples:
        for (route, by, reason), count in list(self._ctx.instruments.responses.items()):
            yield count, {"route": route, "by": by, "reason": reason}

    def _sends(self) -> Samples:
        for (service, outcome), count in list(self._ctx.instruments.sends.items()):
            yield count, {"service": service, "outcome": outcome}

    def _calls(self) -> Samples:
        clients = [("store", self._adapter.store.calls)]
        if self._adapter.cloud is not None:
            clients.append(("cloud", self._adapter.cloud.calls))
        for client, calls in clients:
            for (kind, outcome), count in list(calls.items()):
                yield count, {"client": client, "kind": kind, "outcome": outcome}

    def _peer_events(self) -> Samples:
        for counts in (self._peers.counts, self._peers.puller.counts):
            for name, count in list(counts.items()):
                yield count, {"event": name}

    def _left_out(self) -> Samples:
        sender = self._peers.sender
        for message, packer in (("report", sender.reports), ("zone", sender.summaries)):
            for section, count in list(packer.left_out.items()):
                yield count, {"message": message, "section": section}

    def _ended(self) -> Samples:
        for connections in self._ctx.ports.all():
            for phase, count in list(connections.ended.items()):
                yield count, {"port": connections.port, "phase": phase}

    def _open(self) -> Samples:
        for connections in self._ctx.ports.all():
            yield len(connections), {"port": connections.port}

    def _unreadable(self) -> Samples:
        for values in self._unreadable_values:
            for kind, count in list(values.counts.items()):
                yield count, {"kind": kind}

    def _tokens(self) -> Samples:
        for service, tokens in list(self._ctx.placer.prefill_tokens.items()):
            yield tokens, {"service": service}

    def _engines(self) -> Samples:
        counts: dict[tuple[str, str, str], int] = {}
        for engine in list(self._ctx.engines.all()):
            entry = engine.entry
            kind = "reclaimable" if entry.reclaimable else "lasting"
            key = (entry.service, entry.state.value, kind)
            counts[key] = counts.get(key, 0) + 1
        for (service, state, kind), count in counts.items():
            yield count, {"service": service, "state": state, "kind": kind}

    def _permits(self) -> Samples:
        for (service, outcome), count in list(self._peers.permits.outcomes.items()):
            yield count, {"service": service, "outcome": outcome}

    def _notices(self) -> Samples:
        for kind, count in list(self._ctx.engines.notices.counts.items()):
            yield count, {"kind": kind}

    def _crashes(self) -> Samples:
        for kind, count in list(self._ctx.crashes.counts.items()):
            yield count, {"kind": kind}

    def _limits_by_service(self) -> dict[str, list[float]]:
        """Return the limits of the engines that have one, by service."""
        limits: dict[str, list[float]] = {}
        for engine in list(self._ctx.engines.all()):
            limit_per_s = self._peers.permits.limit_per_s(engine)
            if limit_per_s is not None:
                limits.setdefault(engine.entry.service, []).append(limit_per_s)
        return limits

    def _limited(self) -> Samples:
        for service, limits in self._limits_by_service().items():
            yield len(limits), {"service": service}

    def _limit_per_s(self) -> Samples:
        for service, limits in self._limits_by_service().items():
            yield sum(limits), {"service": service}

    def _running(self) -> Samples:
        counts: dict[str, int] = {}
        for engine in list(self._ctx.engines.all()):
            service = engine.entry.service
            counts[service] = counts.get(service, 0) + engine.running_requests
        for service, count in counts.items():
            yield count, {"service": service}

    def _revision(self) -> float:
        return self._ctx.in_force.revision

    def _store_response_age(self) -> Samples:
        now_s = self._peers.now_s()
        for name, watcher in (
            ("configuration", self._catalogue.configuration_watcher),
            ("engines", self._catalogue.entries_watcher),
        ):
            since_response_s = watcher.since_response_s(now_s)
            if since_response_s is not None:
                yield since_response_s, {"keys": name}

    def _ages(self) -> Samples:
        ages = self._catalogue.ages_at(self._peers.now_s())
        for name, age_s in (("configuration", ages.configuration_s), ("engines", ages.engines_s)):
            if not math.isinf(age_s):
                yield age_s, {"keys": name}

    def _fence(self) -> float:
        fencing_token = self._holder.fencing_token()
        return fencing_token.number if fencing_token is not None else 0

    def _reporting_peers(self) -> float:
        return len(self._peers.view.reporting())

    def _not_hearing(self) -> float:
        return len(self._peers.view.hearing.not_hearing())
