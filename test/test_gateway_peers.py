"""Tests of the messages between daemons over real datagrams, in a full mesh and a large fleet."""

from __future__ import annotations

import asyncio
import zlib
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random

import msgspec
import pytest

from godwitpath.gateway.accounts import QuotaTracker
from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.engines import EngineEntry, EngineRegistry, EngineState
from godwitpath.gateway.holder import HOLDER_KEY, HolderEntry
from godwitpath.gateway.in_force import ConfigurationInForce
from godwitpath.gateway.members import LEASE_S, MemberEntry, Members
from godwitpath.gateway.model import AccountSpec
from godwitpath.gateway.peer_messages import CatalogueView, seal, unseal
from godwitpath.gateway.peer_view import REPORT_TIMEOUT_S
from godwitpath.gateway.peers import Peers
from godwitpath.gateway.placement import Placer
from godwitpath.gateway.pulls import (
    MAX_VIEW_BYTES,
    PULL_POLL_S,
    PULL_TIMEOUT_S,
    decompress_view,
)
from godwitpath.gateway.retry_budget import RetryBudget
from godwitpath.gateway.usage import UsageCounter
from godwitpath.http1.client import connect
from godwitpath.http1.messages import ResponseLost, encode_request_head
from godwitpath.platform.adapter import PlatformAdapter
from godwitpath.platform.settings import decode_settings
from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.documents import (
    configuration_document,
    route,
    settings_document,
)
from godwitpath_standin.gateway.engine import EngineStandin
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore
from godwitpath_standin.ports import ReservedPorts
from test.gateway_parts import json_bytes
from test.slow_link import SlowLink

CONFIG_APPLY_S = 4.0
"""Time within which a change of the configuration must be in force (grown deployments)."""

DRAIN_S = 4.0
"""Time within which an engine's announcement that it leaves must be known (grown deployments)."""

STORE_WAIT_S = 3.0
"""Longest wait of a watch request of the store."""

ACCOUNT = AccountSpec("hule", (), rate_per_s=1000, burst=1000, counts_tokens=True)


class Daemon:
    """The components of a daemon that take part in the exchange of messages with other daemons."""

    def __init__(self, core: StoreCore, name: str, zone: str, port: int) -> None:
        self.name, self.zone = name, zone
        document = settings_document(nodeName=name, zone=zone, portRange=[port, port])
        settings = decode_settings(json_bytes(document))
        adapter = PlatformAdapter(settings)
        self.store = FakeStore(core)
        rng = Random(port)
        self.ctx = GatewayContext(
            settings=settings,
            header_codec=adapter,
            in_force=ConfigurationInForce(),
            engines=EngineRegistry(),
            placer=Placer(zone, "r", {}, Random(1)),
            quota=QuotaTracker(rng, 8.0),
            retry_budget=RetryBudget(0.2, 10.0, 50.0),
            usage=UsageCounter(5.0),
            pool=None,  # type: ignore[arg-type]
            rng=rng,
        )
        for number in range(3):
            address = Address("h", number)
            entry = EngineEntry(f"e{number}", "lm", address, zone, EngineState.READY, 64, 1)
            self.ctx.engines.put(entry)
        self.members = Members(self.store, name, MemberEntry("127.0.0.1", port, zone, port), rng)
        self.catalogue = Catalogue(
            self.store, adapter, self.ctx.in_force, EngineRegistry(), rng, STORE_WAIT_S
        )
        self.peers = Peers(self.ctx, self.catalogue, self.members, port)
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        await self.peers.start()
        jobs = (self.members.run(), self.peers.run(), self.catalogue.run())
        self.tasks = [asyncio.create_task(job) for job in jobs]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.peers.close()

    def running_at(self, engine_id: str) -> int:
        """Return the running requests of all daemons at an engine, as known to this daemon."""
        engine = self.ctx.engines.get(engine_id)
        assert engine is not None
        return engine.all_running


@asynccontextmanager
async def fleet(count: int, zones: str) -> AsyncIterator[list[Daemon]]:
    core = StoreCore()
    core.put("op/config", json_bytes(configuration_document()))
    reserved = ReservedPorts(count)
    ports = reserved.ports
    daemons = [
        Daemon(core, f"d{index:02d}", zones[index % len(zones)], ports[index])
        for index in range(count)
    ]
    for daemon in daemons:
        await daemon.start()
    try:
        yield daemons
    finally:
        for daemon in daemons:
            await daemon.stop()
        reserved.release()


@pytest.mark.parametrize(("count", "zones"), [(4, "abc"), (18, "abc")])
async def test_loads_and_quota_use_reach_all_daemons(count: int, zones: str) -> None:
    async with fleet(count, zones) as daemons:
        await asyncio.sleep(2.5)
        for index, daemon in enumerate(daemons):
            engine = daemon.ctx.engines.get(f"e{index % 3}")
            assert engine is not None
            engine.running_requests = 1 + index
            daemon.ctx.quota.take(ACCOUNT, 30, 1.0, asyncio.get_running_loop().time())
        await asyncio.sleep(2.0)
        for engine in range(3):
            expected = sum(1 + index for index in range(count) if index % 3 == engine)
            assert {daemon.running_at(f"e{engine}") for daemon in daemons} == {expected}
        assert {daemon.peers.view.quota_share() for daemon in daemons} == {1.0}
        assert {daemon.ctx.retry_budget.daemons for daemon in daemons} == {max(8, count)}
        # Each daemon's bucket was reduced by the units that all daemons admitted.
        for daemon in daemons:
            bucket = daemon.ctx.quota._buckets["hule"]
            assert bucket.level <= 1000 - 30 * (count - 1) + 1000 * 2.0
            assert daemon.ctx.quota.used == {"hule": 30}


async def test_a_large_fleet_sends_fewer_datagrams_than_a_full_mesh() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(2.0)
        recipients: list[str] = []
        for daemon in daemons:
            original = daemon.peers._send

            def record(data, names, original=original) -> None:  # type: ignore[no-untyped-def]
                names = list(names)
                recipients.extend(names)
                original(data, names)

            daemon.peers._send = record  # type: ignore[method-assign]
        await asyncio.sleep(2.0)
        full_mesh_datagrams = 18 * 17 * 5
        assert len(recipients) < full_mesh_datagrams * 0.5


async def test_a_failed_zone_aggregator_is_replaced() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(2.5)
        failed = min((each for each in daemons if each.zone == "b"), key=lambda each: each.name)
        await failed.stop()
        await asyncio.sleep(4.5)
        observer = next(each for each in daemons if each.zone == "a")
        assert observer.peers.view.zones["b"].aggregator[0] != failed.name
        assert failed.name not in observer.peers.view.reporting()
        assert observer.peers.view.report_age_s(failed.name, failed.peers._incarnation) > 1.0
        live = next(each for each in daemons if each.zone == "c")
        assert observer.peers.view.report_age_s(live.name, live.peers._incarnation) < 1.0


async def test_a_daemon_without_the_store_pulls_changes_from_peers() -> None:
    async with fleet(4, "ab") as daemons:
        await asyncio.sleep(2.0)
        daemons[0].store.faults.down = True
        await asyncio.sleep(1.0)
        revision = daemons[1].store._core.put(
            "op/config", json_bytes(configuration_document(version=99))
        )
        await asyncio.sleep(2.5)
        current = daemons[0].ctx.in_force.current
        assert current is not None
        assert (current.version, current.revision) == (99, revision)


async def test_in_a_large_fleet_two_daemons_of_a_zone_watch_and_the_others_pull() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(3.0)
        watching = Counter(each.zone for each in daemons if each.catalogue.watching)
        assert watching == {"a": 2, "b": 2, "c": 2}
        core = daemons[0].store._core
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1"))
        await asyncio.sleep(1.5)
        assert all(each.catalogue.raw_entries for each in daemons)
        # When the watchers of a zone lose the store, other daemons of the zone replace them.
        for each in daemons:
            each.store.faults.down = each.zone == "a" and each.catalogue.watching
        await asyncio.sleep(1.0)
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1", state="draining"))
        await asyncio.sleep(2.5)
        for each in daemons:
            engine = each.catalogue._engines.get("e1")
            assert engine is not None
            assert engine.entry.state is EngineState.DRAINING


async def test_a_daemon_with_a_lapsed_lease_gets_changes_while_it_reports() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(2.0)
        core = daemons[0].store._core
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1"))
        await asyncio.sleep(1.0)
        cut_off = next(each for each in reversed(daemons) if not each.catalogue.watching)
        cut_off.store.faults.down = True
        await asyncio.sleep(LEASE_S + 1.0)
        assert f"gateway/daemons/{cut_off.name}" not in core.items
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1", state="draining"))
        await asyncio.sleep(1.5)
        engine = cut_off.catalogue._engines.get("e1")
        assert engine is not None
        assert engine.entry.state is EngineState.DRAINING
        # Every daemon drops a stopped daemon whose lease has lapsed.
        await cut_off.stop()
        await asyncio.sleep(REPORT_TIMEOUT_S + 1.0)
        assert not any(
            cut_off.name in each.members.entries for each in daemons if each is not cut_off
        )


async def test_older_changes_from_the_store_do_not_undo_pulled_ones() -> None:
    async with fleet(4, "ab") as daemons:
        await asyncio.sleep(2.0)
        core = daemons[0].store._core
        cut_off = daemons[0]
        cut_off.store.faults.down = True
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1"))
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1", state="draining"))
        await asyncio.sleep(2.0)
        applied_states = []
        engine = cut_off.catalogue._engines.get("e1")
        assert engine is not None
        assert engine.entry.state is EngineState.DRAINING
        put = cut_off.catalogue._engines.put
        cut_off.catalogue._engines.put = lambda entry: (  # type: ignore[method-assign]
            applied_states.append(entry.state),
            put(entry),
        )[1]
        cut_off.store.faults.down = False
        await asyncio.sleep(2.0)
        assert EngineState.READY not in applied_states


async def test_usage_of_a_daemon_without_the_store_reaches_a_new_duty_holder() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(2.5)
        cut_off = next(each for each in daemons if each.zone == "a" and each.name != "d00")
        cut_off.store.faults.down = True
        holder = next(each for each in daemons if each.zone == "c")
        entry = HolderEntry(holder.name, holder.peers._incarnation, 1)
        daemons[0].store._core.put(HOLDER_KEY, msgspec.json.encode(entry))
        cut_off.ctx.usage.note_started("hule")
        await asyncio.sleep(3.0)
        counts = holder.peers.view.usage_counts()
        incarnation_key = f"{cut_off.name}/{cut_off.peers._incarnation}"
        assert sum(sum(each.values()) for each in counts[incarnation_key].values()) == 1


def large_configuration(version: int, routes: int = 1400) -> bytes:
    """Return a configuration with many routes, encoded."""
    rng = Random(version)
    more = [
        route(f"r-{rng.getrandbits(32):x}", f"/{rng.getrandbits(48):x}/", "idempotent")
        for _ in range(routes)
    ]
    return json_bytes(configuration_document(version=version, routes=more))


def reach_over(link: SlowLink, daemon: Daemon, source: Daemon) -> None:
    """Make a daemon reach another one over a slow link."""
    entry = daemon.members.entries[source.name]
    daemon.members.entries[source.name] = msgspec.structs.replace(entry, port=link.port)


def reported_revisions(daemon: Daemon) -> set[int]:
    """Return the configuration revisions that the other daemons report to a daemon."""
    states = daemon.peers.view.reporting_directly().values()
    return {state.configuration_revision for state in states}


async def until(condition: Callable[[], bool], timeout_s: float = CONFIG_APPLY_S) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: it did not hold in time
    """
    end_s = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        if asyncio.get_running_loop().time() > end_s:
            raise TimeoutError
        await asyncio.sleep(0.01)


async def test_a_large_configuration_over_a_slow_link_is_in_force_in_time() -> None:
    async with fleet(2, "a") as (source, daemon):
        await asyncio.sleep(2.0)
        daemon.store.faults.down = True
        async with SlowLink(source.members._entry.port, rate_bytes_per_s=12_000) as link:
            reach_over(link, daemon, source)
            source.store._core.put("op/config", large_configuration(99))
            await asyncio.sleep(CONFIG_APPLY_S)
            current = daemon.ctx.in_force.current
            assert current is not None
            assert current.version == 99


async def test_a_leaving_engine_is_known_while_a_configuration_is_not_pulled() -> None:
    async with fleet(2, "a") as (source, daemon):
        core = source.store._core
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1"))
        await asyncio.sleep(2.0)
        daemon.store.faults.down = True
        async with SlowLink(source.members._entry.port, rate_bytes_per_s=2_000) as link:
            reach_over(link, daemon, source)
            core.put("op/config", large_configuration(99))
            await asyncio.sleep(1.0)
            core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1", state="draining"))
            await asyncio.sleep(DRAIN_S)
            engine = daemon.catalogue._engines.get("e1")
            assert engine is not None
            assert engine.entry.state is EngineState.DRAINING


async def test_a_daemon_does_not_repeat_a_failed_pull_from_the_same_source_only() -> None:
    async with fleet(3, "a") as (*sources, daemon):
        await asyncio.sleep(2.0)
        daemon.store.faults.down = True
        daemon.peers.view.should_watch = lambda: False  # type: ignore[method-assign]
        await until(lambda: daemon.catalogue.entries_watcher.outage_since_s is None)
        first, second = (SlowLink(each.members._entry.port, 0) for each in sources)
        async with first, second:
            reach_over(first, daemon, sources[0])
            reach_over(second, daemon, sources[1])
            revision = sources[0].store._core.put("op/config", large_configuration(99))
            await until(lambda: reported_revisions(daemon) == {revision})
            # A pull that was begun before both reported has ended.
            await asyncio.sleep(PULL_TIMEOUT_S + 2 * PULL_POLL_S)
            asked_before = (first.connections, second.connections)
            await until(lambda: (first.connections, second.connections) != asked_before)
            # Only the source that was not asked last responds.
            answering = second if first.connections > asked_before[0] else first
            answering.rate_bytes_per_s = 10_000_000
            await asyncio.sleep(CONFIG_APPLY_S)
            current = daemon.ctx.in_force.current
            assert current is not None
            assert current.version == 99


async def test_a_daemon_whose_pulls_fail_watches_the_store_itself() -> None:
    async with fleet(18, "abc") as daemons:
        core = daemons[0].store._core
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1"))
        # The watch requests of those that no longer watch have ended.
        await asyncio.sleep(2.5 + STORE_WAIT_S)
        daemon = next(each for each in reversed(daemons) if not each.catalogue.watching)
        async with SlowLink(daemon.members._entry.port, rate_bytes_per_s=0) as link:
            for other in daemons:
                if other is not daemon:
                    reach_over(link, daemon, other)
            core.put("op/config", json_bytes(configuration_document(version=99)))
            core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1", state="draining"))
            await asyncio.sleep(min(CONFIG_APPLY_S, DRAIN_S))
        current, engine = daemon.ctx.in_force.current, daemon.catalogue._engines.get("e1")
        assert current is not None
        assert current.version == 99
        assert engine is not None
        assert engine.entry.state is EngineState.DRAINING
        await asyncio.sleep(1.0)
        assert not daemon.catalogue.watching


async def test_a_pull_of_an_older_build_gets_a_view_without_compression() -> None:
    async with fleet(2, "a") as (source, _):
        await asyncio.sleep(2.0)
        source.store._core.put("op/config", large_configuration(99))
        await until(lambda: source.ctx.in_force.revision > 2)
        secret, port = source.members.secret, source.members._entry.port
        body = seal(secret, msgspec.msgpack.encode(0))
        connection = await connect("127.0.0.1", port, 1.0)
        headers = [(b"host", b"h"), (b"content-length", b"%d" % len(body))]
        connection.send("POST", encode_request_head("POST", b"/catalogue", headers) + body)
        await connection.head()
        payload = unseal(secret, await connection.read_whole())
        connection.close()
        assert payload is not None
        view = msgspec.msgpack.decode(payload, type=CatalogueView)
        assert view.value == source.ctx.in_force.value


def test_a_damaged_or_oversized_view_is_refused() -> None:
    assert decompress_view(zlib.compress(b"view")) == b"view"
    for data in (b"view", zlib.compress(b"view")[:-1], zlib.compress(bytes(MAX_VIEW_BYTES + 1))):
        with pytest.raises(ResponseLost):
            decompress_view(data)
