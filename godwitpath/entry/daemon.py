"""Wires the components of the entry daemon together and runs them."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from godwitpath import __version__
from godwitpath.adapters.engine_http import HttpEngine
from godwitpath.adapters.kv_http import HttpKeyValueStore
from godwitpath.adapters.platform_http import HttpCloud, HttpInstanceList
from godwitpath.adapters.service_http import HttpPlainService
from godwitpath.admission.reservation_exchange import ReservationExchange
from godwitpath.capacity.meter import DemandMeter
from godwitpath.config.check import parse_configuration
from godwitpath.config.envelope import ConfigEnvelope
from godwitpath.config.model import Configuration
from godwitpath.config_sync.in_force import ConfigInForce
from godwitpath.entry.accept import Acceptance
from godwitpath.entry.admission_control import AdmissionController
from godwitpath.entry.caller_app import CallerApp
from godwitpath.entry.context import EntryContext, now_s
from godwitpath.entry.counters import EntryMetrics
from godwitpath.entry.decision_recorder import DecisionRecorder
from godwitpath.entry.disconnects import DisconnectTracker
from godwitpath.entry.drain import Drain
from godwitpath.entry.duty_work import DutyWork
from godwitpath.entry.evacuate import Evacuation
from godwitpath.entry.forward import Forwarder
from godwitpath.entry.generate import GenerationRunner
from godwitpath.entry.journal_link import JournalLink
from godwitpath.entry.load_poll import LoadPoll
from godwitpath.entry.operator_app import operator_app
from godwitpath.entry.server import HttpServer
from godwitpath.entry.status_lookup import StatusLookup
from godwitpath.entry.stop_notices import StopNotices
from godwitpath.execution.guard import ExecutionGuard
from godwitpath.explain.journal import Journal
from godwitpath.limits.limiter import AccountLimiter
from godwitpath.membership.member import Member
from godwitpath.membership.registration import Registrar
from godwitpath.membership.swim import Membership
from godwitpath.peers.zmq_transport import ZmqPeerTransport
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import Peer
from godwitpath.records.record import RequestRecord
from godwitpath.records.store import RecordStore
from godwitpath.recovery.mover import CacheMover
from godwitpath.routing.load_tracker import LoadTracker
from godwitpath.security.keys import AccountIndex
from godwitpath.settings import ProcessSettings
from godwitpath.telemetry.logs import start_logging, state_change
from godwitpath.telemetry.metrics import Metrics
from godwitpath.upstreams.feed import UpstreamFeed
from godwitpath.upstreams.table import Upstream, UpstreamTable


class Daemon:
    """One incarnation of the entry daemon, from startup to the end of its drain."""

    def __init__(self, settings: ProcessSettings) -> None:
        self._settings = settings
        # Incarnations must differ even with a fixed seed: a restarted daemon that generated the
        # identifiers of its predecessor would treat the predecessor's work as its own.
        self._incarnation = time.time_ns() // 1_000_000
        self._rng = random.Random(f"{settings.seed} {self._incarnation}" if settings.seed else None)
        platform = settings.platform
        self._store = HttpKeyValueStore(platform.key_value_url, platform.timeout_s)
        self._instances = HttpInstanceList(platform.instance_list_url, platform.timeout_s)
        self._cloud = HttpCloud(platform.cloud_url, platform.timeout_s)
        self._transport = ZmqPeerTransport(settings.entry_id, settings.peer, self._incarnation)
        self._engine = HttpEngine()
        self._plain = HttpPlainService()
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Serve until a stop is requested, then drain."""
        start_logging(sys.stderr, entry_id=self._settings.entry_id)
        address = await self._transport.start()
        context = self._create_context(address)
        runner, forwarder, controller = self._wire_serving(context)
        disconnects = DisconnectTracker(context, runner)
        caller_app = CallerApp(
            context, Acceptance(context, runner, controller), forwarder, disconnects
        )
        settings = self._settings
        caller_server = HttpServer(
            caller_app.application(),
            settings.caller,
            settings.caller.header_timeout_s,
            settings.caller.tls,
            settings.caller.max_connections,
        )
        operator_server = HttpServer(
            operator_app(context), settings.operator, settings.caller.header_timeout_s
        )
        drain = Drain(context, lambda: runner.in_progress + forwarder.in_progress)
        StopNotices(drain, self._feed, context.membership, self._transport)
        self._add_signal_handlers(drain)
        self._start_tasks(context)
        await operator_server.start()
        await caller_server.start()
        self._print_addresses(caller_server.address, operator_server.address, address)
        await drain.stop_requested.wait()
        await self._duty_work.keeper.leave()
        await drain.leave()
        await drain.finish()
        await caller_server.stop()
        await self._registrar.withdraw()
        await context.membership.announce_termination()
        await operator_server.stop()
        await self._close(context)

    def _create_context(self, address: Address) -> EntryContext:
        settings = self._settings
        local = Member(
            entry_id=settings.entry_id,
            region=settings.region,
            availability_zone=settings.availability_zone,
            address=address,
            public_key=settings.peer.public_key,
            incarnation=self._incarnation,
        )
        membership = Membership(local, self._transport, settings.membership, self._rng)
        for seed in settings.seeds:
            peer = Peer(seed.entry_id, Address(seed.host, seed.port), seed.public_key)
            membership.add_seed(peer)
        table = UpstreamTable()
        self._feed = UpstreamFeed(
            table, membership, self._rng, self._instances, self._cloud, self._store
        )
        self._registrar = Registrar(self._store, membership, self._rng)
        config = ConfigInForce(
            self._store, self._transport, membership, _parse_configuration, self._rng
        )
        metrics = EntryMetrics(Metrics(settings.entry_id, __version__))
        journal = Journal(self._store, settings.entry_id, str(self._incarnation), self._rng)
        self._journal_link = JournalLink(journal, membership, self._transport)
        context = EntryContext(
            settings=settings,
            config=config,
            membership=membership,
            upstreams=table,
            records=RecordStore(local, self._transport, membership.live, self._rng),
            guard=ExecutionGuard(self._store, settings.entry_id, str(self._incarnation), self._rng),
            engine=self._engine,
            plain=self._plain,
            load_tracker=LoadTracker(),
            limiter=AccountLimiter(settings.entry_id, self._rng),
            mover=CacheMover(self._engine),
            meter=DemandMeter(),
            journal=journal,
            metrics=metrics,
            decisions=DecisionRecorder(journal, metrics),
            rng=self._rng,
        )

        def apply_configuration(envelope: ConfigEnvelope, configuration: Configuration) -> None:
            _apply_configuration(context, envelope, configuration)

        config.on_change(apply_configuration)
        self._duty_work = DutyWork(
            context, self._store, self._cloud, self._instances, self._transport, self._rng
        )
        context.upstreams_received = lambda: self._feed.upstreams_received
        context.held_duties = self._duty_work.held
        membership.on_change(context.records.member_changed)
        membership.on_change(lambda _: context.limiter.observe_members(len(membership.live())))
        return context

    def _wire_serving(
        self, context: EntryContext
    ) -> tuple[GenerationRunner, Forwarder, AdmissionController]:
        runner = GenerationRunner(context)
        forwarder = Forwarder(context, StatusLookup(context, self._store))
        controller = AdmissionController(context, runner)
        self._reservation_exchange = ReservationExchange(
            controller.admissions, controller.admission
        )
        evacuation = Evacuation(context, runner)
        runner.on_end = controller.finished

        async def adopt(record: RequestRecord) -> None:
            await (forwarder if record.kind == "plain" else runner).adopt(record)

        def upstream_changed(upstream: Upstream) -> None:
            state_change("upstream", "", upstream.state, upstream_id=upstream.upstream_id)
            evacuation.upstream_changed(upstream)
            if upstream.state == "gone":
                context.load_tracker.forget(upstream.upstream_id)

        context.records.on_adopt = adopt
        context.records.on_fenced = lambda record: runner.stop_taken_over(record.request_id)
        context.upstreams.on_change(upstream_changed)
        context.dumps.update(
            admission=controller.dump,
            config=context.config.dump,
            duties=self._duty_work.dump,
            limits=context.limiter.dump,
            membership=context.membership.dump,
            registration=self._registrar.dump,
            recovery=context.mover.dump,
            execution=context.guard.dump,
            feed=self._feed.dump,
            peers=self._transport.dump,
            records=context.records.dump,
            retries=lambda: {name: budget.dump() for name, budget in context.budgets.items()},
            routing=context.load_tracker.dump,
        )
        return runner, forwarder, controller

    def _add_signal_handlers(self, drain: Drain) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, drain.stop, signal.Signals(number).name)

    def _start_tasks(self, context: EntryContext) -> None:
        def live_entry_ids() -> list[str]:
            return [member.entry_id for member in context.membership.live()]

        self._tasks = [
            asyncio.create_task(_run_with_restarts(name, work))
            for name, work in {
                "membership": context.membership.run,
                "registration": self._registrar.run,
                "configuration": context.config.run,
                "upstreams": self._feed.run,
                "records": context.records.run,
                "execution": context.guard.run,
                "journal": context.journal.run,
                "journal copies": self._journal_link.run,
                "limits": lambda: context.limiter.run(self._transport, live_entry_ids),
                "promises": lambda: self._reservation_exchange.run(self._transport, live_entry_ids),
                "load": LoadPoll(context).run,
                **self._duty_work.background_work(),
            }.items()
        ]

    def _print_addresses(self, callers: Address, operators: Address, peers: Address) -> None:
        """Write the listening addresses as one JSON line to standard output."""
        addresses = {
            "entry_id": self._settings.entry_id,
            "caller": str(callers),
            "operator": str(operators),
            "peer": str(peers),
        }
        sys.stdout.write(msgspec.json.encode(addresses).decode() + "\n")
        sys.stdout.flush()

    async def _close(self, context: EntryContext) -> None:
        for task in [*self._tasks, *context.tasks]:
            task.cancel()
        await asyncio.gather(*self._tasks, *context.tasks, return_exceptions=True)
        await self._transport.close()
        await self._engine.close()
        await self._plain.close()
        await self._store.close()
        await self._instances.close()
        await self._cloud.close()


async def run_daemon(settings: ProcessSettings) -> None:
    """Run an entry daemon until it has drained after a stop request."""
    await Daemon(settings).run()


async def _run_with_restarts(name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a component forever: log each failure, and restart the component after a delay."""
    while True:
        try:
            await work()
        except Exception as error:
            # One failed component must not stop the daemon from serving.
            state_change("part", "running", "broken", part=name, error=repr(error))
        await asyncio.sleep(PART_RESTART_DELAY_S)


PART_RESTART_DELAY_S = 0.5
"""Delay before a failed component is restarted."""


def _parse_configuration(text: str) -> Configuration:
    return parse_configuration("configuration", text)


def _apply_configuration(
    context: EntryContext, envelope: ConfigEnvelope, configuration: Configuration
) -> None:
    context.journal.retention_s = configuration.explanation_keep_s
    context.accounts = AccountIndex(configuration)
    context.budgets.clear()
    revision = str(envelope.revision)
    state_change("configuration", "", "in force", revision=revision, at_s=round(now_s(), 3))
