"""Daemons over real datagrams: all know of all work, also in a large fleet."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import msgspec
import pytest

from godwitpath.gateway.accounts import QuotaBook
from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.engines import EngineBook, EngineEntry, EngineState
from godwitpath.gateway.holder import HOLDER_KEY, HolderEntry
from godwitpath.gateway.in_force import ConfigurationInForce
from godwitpath.gateway.members import LEASE_S, MemberEntry, Members
from godwitpath.gateway.model import AccountSpec
from godwitpath.gateway.peer_view import REPORT_TIMEOUT_S
from godwitpath.gateway.peers import Peers
from godwitpath.gateway.placing import Placer
from godwitpath.gateway.retry_budget import RepeatBudget
from godwitpath.gateway.usage import UsageBook
from godwitpath.platform.settings import decode_settings
from godwitpath.platform.wire import PlatformWire
from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.documents import configuration_document, settings_document
from godwitpath_standin.gateway.engine import EngineStandin
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore
from godwitpath_standin.ports import ReservedPorts
from test.gateway_parts import json_bytes

SPEC = AccountSpec("hule", (), rate_per_s=1000, burst=1000, counts_tokens=True)


class Daemon:
    """The parts of a daemon that the links between daemons need."""

    def __init__(self, core: StoreCore, name: str, zone: str, port: int) -> None:
        self.name, self.zone = name, zone
        document = settings_document(nodeName=name, zone=zone, portRange=[port, port])
        settings = decode_settings(json_bytes(document))
        wire = PlatformWire(settings)
        self.store = FakeStore(core)
        rng = Random(port)
        self.ctx = GatewayContext(
            settings=settings,
            wire=wire,
            in_force=ConfigurationInForce(),
            engines=EngineBook(),
            placer=Placer(zone, "r", {}, Random(1)),
            quota=QuotaBook(rng, 8.0),
            repeats=RepeatBudget(0.2, 10.0, 50.0),
            usage=UsageBook(5.0),
            pool=None,  # type: ignore[arg-type]
            rng=rng,
        )
        for number in range(3):
            address = Address("h", number)
            entry = EngineEntry(f"e{number}", "lm", address, zone, EngineState.READY, 64, 1)
            self.ctx.engines.put(entry)
        self.members = Members(self.store, name, MemberEntry("127.0.0.1", port, zone, port), rng)
        self.catalogue = Catalogue(self.store, wire, self.ctx.in_force, EngineBook(), rng, 3.0)
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

    def at(self, engine_id: str) -> int:
        """Return the requests that this daemon knows of at an engine."""
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
async def test_all_know_of_all_work_and_all_use(count: int, zones: str) -> None:
    async with fleet(count, zones) as daemons:
        await asyncio.sleep(2.5)
        for index, daemon in enumerate(daemons):
            engine = daemon.ctx.engines.get(f"e{index % 3}")
            assert engine is not None
            engine.running = 1 + index
            daemon.ctx.quota.take(SPEC, 30, 1.0, asyncio.get_running_loop().time())
        await asyncio.sleep(2.0)
        for engine in range(3):
            true = sum(1 + index for index in range(count) if index % 3 == engine)
            assert {daemon.at(f"e{engine}") for daemon in daemons} == {true}
        assert {daemon.peers.view.quota_share() for daemon in daemons} == {1.0}
        assert {daemon.ctx.repeats.daemons for daemon in daemons} == {max(8, count)}
        # All use of the others has been taken from each daemon's bucket, and its own.
        for daemon in daemons:
            bucket = daemon.ctx.quota._buckets["hule"]
            assert bucket.level <= 1000 - 30 * (count - 1) + 1000 * 2.0
            assert daemon.ctx.quota.used == {"hule": 30}


async def test_a_large_fleet_sends_no_more_than_its_zones_need() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(2.0)
        sent: list[str] = []
        for daemon in daemons:
            original = daemon.peers._send

            def count(data, names, original=original) -> None:  # type: ignore[no-untyped-def]
                names = list(names)
                sent.extend(names)
                original(data, names)

            daemon.peers._send = count  # type: ignore[method-assign]
        await asyncio.sleep(2.0)
        mesh = 18 * 17 * 5
        assert len(sent) < mesh * 0.5


async def test_a_zone_whose_speaker_is_gone_is_heard_again() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(2.5)
        first = min((each for each in daemons if each.zone == "b"), key=lambda each: each.name)
        await first.stop()
        await asyncio.sleep(4.5)
        other = next(each for each in daemons if each.zone == "a")
        assert other.peers.view.zones["b"].aggregator[0] != first.name
        assert first.name not in other.peers.view.reporting()
        assert other.peers.view.report_age_s(first.name, first.peers._incarnation) > 1.0
        alive = next(each for each in daemons if each.zone == "c")
        assert other.peers.view.report_age_s(alive.name, alive.peers._incarnation) < 1.0


async def test_one_that_the_store_turns_away_hears_of_changes_from_the_others() -> None:
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


async def test_in_a_large_fleet_two_of_a_zone_watch_and_the_others_hear_in_time() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(3.0)
        watching = Counter(each.zone for each in daemons if each.catalogue.watching)
        assert watching == {"a": 2, "b": 2, "c": 2}
        core = daemons[0].store._core
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1"))
        await asyncio.sleep(1.5)
        assert all(each.catalogue.raw_entries for each in daemons)
        # The store turns the watchers of a zone away: others of it take their place.
        for each in daemons:
            each.store.faults.down = each.zone == "a" and each.catalogue.watching
        await asyncio.sleep(1.0)
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1", state="draining"))
        await asyncio.sleep(2.5)
        for each in daemons:
            engine = each.catalogue._engines.get("e1")
            assert engine is not None
            assert engine.entry.state is EngineState.DRAINING


async def test_one_whose_lease_has_ended_is_told_of_changes_while_it_is_heard() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(2.0)
        core = daemons[0].store._core
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1"))
        await asyncio.sleep(1.0)
        cut = next(each for each in reversed(daemons) if not each.catalogue.watching)
        cut.store.faults.down = True
        await asyncio.sleep(LEASE_S + 1.0)
        assert f"gateway/daemons/{cut.name}" not in core.items
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1", state="draining"))
        await asyncio.sleep(1.5)
        engine = cut.catalogue._engines.get("e1")
        assert engine is not None
        assert engine.entry.state is EngineState.DRAINING
        # One that is gone is taken off the list, by whoever was told of it.
        await cut.stop()
        await asyncio.sleep(REPORT_TIMEOUT_S + 1.0)
        assert not any(cut.name in each.members.entries for each in daemons if each is not cut)


async def test_what_a_daemon_heard_from_another_is_not_undone_by_the_store() -> None:
    async with fleet(4, "ab") as daemons:
        await asyncio.sleep(2.0)
        core = daemons[0].store._core
        first = daemons[0]
        first.store.faults.down = True
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1"))
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="h:1", state="draining"))
        await asyncio.sleep(2.0)
        states = []
        engine = first.catalogue._engines.get("e1")
        assert engine is not None
        assert engine.entry.state is EngineState.DRAINING
        put = first.catalogue._engines.put
        first.catalogue._engines.put = lambda entry: (  # type: ignore[method-assign]
            states.append(entry.state),
            put(entry),
        )[1]
        first.store.faults.down = False
        await asyncio.sleep(2.0)
        assert EngineState.READY not in states


async def test_usage_reaches_a_new_holder_also_from_one_that_the_store_turns_away() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(2.5)
        away = next(each for each in daemons if each.zone == "a" and each.name != "d00")
        away.store.faults.down = True
        holder = next(each for each in daemons if each.zone == "c")
        entry = HolderEntry(holder.name, holder.peers._incarnation, 1)
        daemons[0].store._core.put(HOLDER_KEY, msgspec.json.encode(entry))
        away.ctx.usage.note_started("hule")
        await asyncio.sleep(3.0)
        counts = holder.peers.view.usage_counts()
        start = f"{away.name}/{away.peers._incarnation}"
        assert sum(sum(each.values()) for each in counts[start].values()) == 1
