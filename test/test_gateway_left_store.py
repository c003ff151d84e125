"""Tests of the store's copy of the entries that only a restore of the store brought back."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import msgspec
import pytest
from hypothesis import given

from godwitpath.decoding import MAX_WHOLE, Unreadable
from godwitpath.gateway.catalogue import LOAD_CONDITION_S, Catalogue
from godwitpath.gateway.engines import EngineRegistry, EngineState
from godwitpath.gateway.in_force import ConfigurationInForce
from godwitpath.gateway.left_engines import RESTORE_SETTLE_S, RestoredEntry
from godwitpath.gateway.left_store import (
    LEFT_KEY,
    LeftStore,
    StoredLeft,
    decode_left,
    encode_restored,
    lacking,
    restored_entries,
)
from godwitpath.gateway.members import KEY_PREFIX, MemberEntry, Members
from godwitpath.gateway.store import MAX_ERA, Item, Listing, era_of, with_era
from godwitpath.gateway.wire_fields import EngineResponseFields
from godwitpath.platform.adapter import PlatformAdapter
from godwitpath.platform.settings import decode_settings
from godwitpath_standin.gateway.documents import configuration_document, settings_document
from godwitpath_standin.gateway.engine import EngineStandin
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore
from test.gateway_parts import json_bytes
from test.mutations import values_of_others

DRAIN_S = 2.5
"""Time within which a daemon has to know of an engine that leaves."""


def entry(engine_id: str, **fields: object) -> bytes:
    return EngineStandin(engine_id).entry("lm", address="127.0.0.1:1", **fields)


class Daemon:
    """The components of a daemon that know the engines; it hears nothing from peers."""

    def __init__(self, core: StoreCore, name: str) -> None:
        self.store = FakeStore(core)
        rng = Random(name)
        self.engines = EngineRegistry()
        adapter = PlatformAdapter(decode_settings(json_bytes(settings_document())))
        self.catalogue = Catalogue(
            self.store, adapter, ConfigurationInForce(), self.engines, rng, DRAIN_S
        )
        self.members = Members(self.store, name, MemberEntry("127.0.0.1", 1, "a", 1), rng)
        self.left_store = LeftStore(self.store, self.members, self.catalogue, rng)
        self.catalogue.load_conditions.append(self.left_store.applied)
        self.sent: list[float] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        jobs = (
            self.members.run(),
            self.catalogue.run(),
            self.left_store.run(),
            self._send("e1"),
        )
        self._tasks = [asyncio.create_task(job) for job in jobs]

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send(self, engine_id: str) -> None:
        """Note the times at which the daemon would send requests to an engine."""
        while True:
            if self.catalogue.is_loaded and engine_id in self.usable_ids():
                self.sent.append(asyncio.get_running_loop().time())
            await asyncio.sleep(0.01)

    def usable_ids(self) -> list[str]:
        return sorted(each.entry.engine_id for each in self.engines.usable("lm", 0.0))

    def hear_leaving(self, engine_id: str) -> None:
        """Note a response in which an engine says that it leaves."""
        engine = self.engines.get(engine_id)
        assert engine is not None
        fields = EngineResponseFields(
            matches_request=True,
            not_run=False,
            wrong_engine=False,
            from_engine=True,
            retry_after_s=None,
            leaving=True,
        )
        self.engines.notices.note_response(engine.entry.incarnation, fields, 200)


@asynccontextmanager
async def running(core: StoreCore, *names: str) -> AsyncIterator[list[Daemon]]:
    """Run daemons for two seconds, and until the end."""
    core.put("op/config", json_bytes(configuration_document()))
    daemons = [Daemon(core, name) for name in names]
    for daemon in daemons:
        await daemon.start()
    await asyncio.sleep(2.0)
    yield daemons
    for daemon in daemons:
        await daemon.stop()


async def lose_statement(core: StoreCore, after_s: float) -> None:
    """Let an engine say that it leaves, and restore the store to its state before."""
    snapshot = core.snapshot()
    core.put("servers/e1", entry("e1", state="draining"))
    await asyncio.sleep(after_s)
    core.restore(snapshot)


@asynccontextmanager
async def starting(core: StoreCore, name: str = "late") -> AsyncIterator[Daemon]:
    """Run a daemon that starts now."""
    daemon = Daemon(core, name)
    await daemon.start()
    yield daemon
    await daemon.stop()


@pytest.mark.looptime
class TestRestores:
    @pytest.mark.parametrize("way", ["entry", "removal", "response"])
    @pytest.mark.parametrize("late_s", [1.0, 9.0, 60.0])
    async def test_a_daemon_that_starts_after_a_restore_sends_nothing_to_an_engine_that_left(
        self, way: str, late_s: float
    ) -> None:
        core = StoreCore()
        core.put("servers/e1", entry("e1"))
        async with running(core, "d1", "d2") as [first, _]:
            snapshot = core.snapshot()
            if way == "response":
                first.hear_leaving("e1")
            else:
                core.put("servers/e1", entry("e1", state="draining"))
            if way == "removal":
                await asyncio.sleep(0.5)
                core.remove("servers/e1")
            await asyncio.sleep(30.0)
            core.restore(snapshot)
            await asyncio.sleep(late_s)
            async with starting(core) as late:
                await asyncio.sleep(30.0)
                assert late.catalogue.is_loaded
                assert late.sent == []
                core.put("servers/e1", entry("e1", sequence=9))
                await asyncio.sleep(1.0)
                # A response's notice binds the daemon that heard it, an entry's until the next.
                assert late.usable_ids() == ["e1"]

    @pytest.mark.parametrize("after_s", [0.0, 0.1, 0.3])
    async def test_a_daemon_that_starts_beside_the_restore_learns_it_in_time(
        self, after_s: float
    ) -> None:
        core = StoreCore()
        core.put("servers/e1", entry("e1"))
        async with running(core, "d1", "d2"):
            await lose_statement(core, 5.0)
            restored_at_s = asyncio.get_running_loop().time()
            await asyncio.sleep(after_s)
            async with starting(core) as late:
                await asyncio.sleep(30.0)
                assert max(late.sent, default=0.0) < restored_at_s + DRAIN_S
                engine = late.engines.get("e1")
                assert engine is not None
                assert engine.entry.state is EngineState.DRAINING

    async def test_a_daemon_is_ready_only_once_it_has_read_what_the_others_found(self) -> None:
        core = StoreCore()
        core.put("servers/e1", entry("e1"))
        async with running(core, "d1"):
            await lose_statement(core, 1.0)
            await asyncio.sleep(2.0)
            late = Daemon(core, "late")
            list_items = late.store.list_items

            async def list_slowly(prefix: str) -> Listing:
                await asyncio.sleep(0.5 if prefix == KEY_PREFIX else 0.0)
                return await list_items(prefix)

            late.store.list_items = list_slowly  # type: ignore[method-assign]
            await late.start()
            await asyncio.sleep(5.0)
            assert late.catalogue.is_loaded
            assert late.sent == []
            await late.stop()

    async def test_what_a_daemon_read_goes_back_to_the_store_after_another_restore(self) -> None:
        core = StoreCore()
        core.put("servers/e1", entry("e1"))
        snapshot = core.snapshot()
        async with running(core, "d1"):
            core.put("servers/e1", entry("e1", state="draining"))
            await asyncio.sleep(1.0)
            core.restore(snapshot)
            core.put("op/config", json_bytes(configuration_document()))
            await asyncio.sleep(2.0)
            second = Daemon(core, "d2")
            await second.start()
            await asyncio.sleep(2.0)
        core.restore(snapshot)
        core.put("op/config", json_bytes(configuration_document()))
        await asyncio.sleep(2.0)
        async with starting(core) as late:
            await asyncio.sleep(20.0)
            assert late.catalogue.is_loaded
            assert (second.sent, late.sent) == ([], [])
        await second.stop()

    async def test_what_an_engine_wrote_since_counts_for_a_daemon_that_starts(self) -> None:
        core = StoreCore()
        core.put("servers/e1", entry("e1"))
        async with running(core, "d1"):
            snapshot = core.snapshot()
            core.remove("servers/e1")
            await asyncio.sleep(1.0)
            core.restore(snapshot)
            await asyncio.sleep(2.0)
            assert LEFT_KEY in core.items
            core.put("servers/e1", entry("e1"))
            async with starting(core) as late:
                await asyncio.sleep(1.0)
                assert late.usable_ids() == ["e1"]

    async def test_an_entry_is_not_stated_again_once_the_engine_wrote_another(self) -> None:
        core = StoreCore()
        core.put("servers/e1", entry("e1"))
        async with running(core, "d1"):
            await lose_statement(core, 1.0)
            await asyncio.sleep(2.0)
            core.put("servers/e1", entry("e1", sequence=9))
            await asyncio.sleep(0.5)
            core.remove(LEFT_KEY)
            await asyncio.sleep(5.0)
            assert LEFT_KEY not in core.items

    async def test_an_engine_that_came_back_before_the_restore_is_not_stated(self) -> None:
        core = StoreCore()
        core.put("servers/e1", entry("e1"))
        async with running(core, "d1") as [first]:
            core.put("servers/e1", entry("e1", state="draining"))
            await asyncio.sleep(1.0)
            core.put("servers/e1", entry("e1", sequence=2))
            await asyncio.sleep(1.0)
            snapshot = core.snapshot()
            core.put("p/other", b"")
            await asyncio.sleep(1.0)
            core.restore(snapshot)
            await asyncio.sleep(2.0)
            assert LEFT_KEY not in core.items
            async with starting(core) as late:
                await asyncio.sleep(1.0)
                assert (first.usable_ids(), late.usable_ids()) == (["e1"], ["e1"])

    async def test_a_copy_of_an_earlier_era_says_nothing(self) -> None:
        """The numbers of its entries may have been given out again."""
        core = StoreCore()
        core.put("op/config", json_bytes(configuration_document()))
        core.put("servers/e1", entry("e1", born=7))
        number = core.revision
        core.put(LEFT_KEY, encode_restored({"e1": RestoredEntry(7, with_era(1, number))}, 1))
        core.restore(core.snapshot())
        async with starting(core, "d0") as daemon:
            await asyncio.sleep(1.0)
            assert "e1" not in daemon.usable_ids()
        core.restore(core.snapshot())
        async with running(core, "d1") as [daemon]:
            assert daemon.usable_ids() == ["e1"]

    async def test_the_copy_costs_no_calls_once_it_is_written(self) -> None:
        core = StoreCore()
        core.put("servers/e1", entry("e1"))
        async with running(core, "d1", "d2", "d3"):
            await lose_statement(core, 1.0)
            await asyncio.sleep(2.0)
            revision = core.items[LEFT_KEY].revision
            await asyncio.sleep(60.0)
            assert core.items[LEFT_KEY].revision == revision

    async def test_a_copy_that_cannot_be_read_is_replaced(self) -> None:
        core = StoreCore()
        core.put("servers/e1", entry("e1"))
        core.put(LEFT_KEY, b"[")
        async with running(core, "d1") as [daemon]:
            assert daemon.usable_ids() == ["e1"]
            await lose_statement(core, 1.0)
            await asyncio.sleep(2.0)
            assert daemon.left_store.unreadable.counts == {"left_unreadable": 1}
            async with starting(core) as late:
                await asyncio.sleep(5.0)
                assert late.sent == []

    async def test_a_daemon_that_pulls_from_one_that_does_not_know_sends_nothing_either(
        self,
    ) -> None:
        core = StoreCore()
        core.put("servers/e1", entry("e1"))
        async with running(core, "d1"):
            await lose_statement(core, 1.0)
            await asyncio.sleep(2.0)
            async with starting(core) as late:
                await asyncio.sleep(0.5)
                view = {"servers/e1": entry("e1")}
                revision = late.catalogue.seen_revision
                late.catalogue.apply_peer_entries(view, revision + 5, "peer d3")
                await asyncio.sleep(0.5)
                assert late.sent == []
                # By then the engine has written its entry again.
                await asyncio.sleep(RESTORE_SETTLE_S)
                late.catalogue.apply_peer_entries(view, revision + 6, "peer d3")
                assert late.usable_ids() == ["e1"]


@pytest.mark.looptime
async def test_a_daemon_whose_registrations_cannot_be_listed_is_ready_all_the_same() -> None:
    core = StoreCore()
    core.put("op/config", json_bytes(configuration_document()))
    daemon = Daemon(core, "d1")
    list_items = daemon.store.list_items

    async def list_or_wait(prefix: str) -> Listing:
        if prefix == KEY_PREFIX:
            await asyncio.Event().wait()
        return await list_items(prefix)

    daemon.store.list_items = list_or_wait  # type: ignore[method-assign]
    await daemon.start()
    await asyncio.sleep(LOAD_CONDITION_S / 2)
    assert not daemon.catalogue.is_loaded
    await asyncio.sleep(LOAD_CONDITION_S)
    assert daemon.catalogue.is_loaded
    await daemon.stop()


def test_of_two_restored_entries_of_an_engine_the_earlier_one_counts() -> None:
    earlier, later = RestoredEntry(7, 5), RestoredEntry(7, 9)
    assert lacking({}, {"e1": later}) == {"e1": later}
    assert lacking({"e1": later}, {"e1": earlier}) == {"e1": earlier}
    assert lacking({"e1": earlier}, {"e1": later}) == {}
    assert lacking({"e1": earlier}, {"e1": earlier}) == {}


@given(values_of_others(msgspec.to_builtins(StoredLeft(1, {"e1": (7, 5)}))))
def test_any_stored_copy_is_within_bounds_or_unreadable(value: bytes) -> None:
    try:
        stored = decode_left(Item(LEFT_KEY, value, 1, 1))
    except Unreadable:
        return
    for restored in restored_entries(stored, stored.era).values():
        assert 0 <= restored.started_at_ms <= MAX_WHOLE
        assert era_of(restored.revision) in (0, stored.era)
        assert stored.era <= MAX_ERA
