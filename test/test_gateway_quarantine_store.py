"""Tests of the store's copy of the quarantined prompts, and of the commands on it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import given
from typer.testing import CliRunner

from godwitpath.commands import app, quarantine
from godwitpath.decoding import MAX_WHOLE, Unreadable
from godwitpath.gateway.crash_watch import CrashWatch
from godwitpath.gateway.engines import EngineRegistry
from godwitpath.gateway.members import MemberEntry, Members
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedVerdict
from godwitpath.gateway.quarantine_store import (
    MAX_STORED_BYTES,
    QUARANTINE_KEY,
    QuarantineStore,
    StoredQuarantine,
    StoredVerdict,
    decode_quarantine,
    lift,
)
from godwitpath.gateway.store import Item
from godwitpath.gateway.verdicts import PROMPT_QUARANTINE_S
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore
from test.mutations import DEEP, values_of_others

CRASHING_PARTS = ("doc", "crashing")

pytestmark = pytest.mark.looptime


class Daemon:
    """The components of a daemon that keep the store's copy of the verdicts."""

    def __init__(self, core: StoreCore, name: str) -> None:
        self.store = store = FakeStore(core)
        rng = Random(name)
        self.crashes = CrashWatch(EngineRegistry())
        self.members = Members(store, name, MemberEntry("127.0.0.1", 1, "a", 1), rng)
        clock = asyncio.get_running_loop().time
        self.copy = QuarantineStore(store, self.members, self.crashes, lambda: 1e9 + clock(), rng)

    def crash(self, count: int = 4) -> None:
        """Note crashes under a part, 2 s apart, the last one now."""
        now_s = asyncio.get_running_loop().time()
        for number in range(count):
            at_s = now_s - 2.0 * (count - 1 - number)
            self.crashes.quarantine.note_crash(
                (f"e{now_s + number}", 1), at_s, [CRASHING_PARTS], now_s
            )
        self.crashes.verdict_added.set()

    @property
    def refuses(self) -> bool:
        """Whether a request with the part is refused."""
        return self.crashes.verdict(CRASHING_PARTS) is not None


@asynccontextmanager
async def running(core: StoreCore, *names: str) -> AsyncIterator[list[Daemon]]:
    """Run daemons that started 100 s ago."""
    daemons = [Daemon(core, name) for name in names]
    jobs = [job for each in daemons for job in (each.members.run(), each.copy.run())]
    tasks = [asyncio.create_task(job) for job in jobs]
    await asyncio.sleep(100.0)
    yield daemons
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def stored(core: StoreCore) -> StoredQuarantine:
    item = core.items.get(QUARANTINE_KEY)
    return decode_quarantine(item)


class TestStore:
    async def test_a_fleet_that_was_restarted_knows_the_verdicts(self) -> None:
        core = StoreCore()
        async with running(core, "d1", "d2") as [first, second]:
            first.crash()
            assert first.refuses
            await asyncio.sleep(2.0)
            assert second.refuses
        async with running(core, "d3") as [started]:
            assert started.refuses

    async def test_verdicts_cost_no_calls_once_they_are_written(self) -> None:
        core = StoreCore()
        async with running(core, "d1", "d2", "d3") as daemons:
            for daemon in daemons:
                daemon.crash()
            await asyncio.sleep(2.0)
            revision = core.items[QUARANTINE_KEY].revision
            await asyncio.sleep(60.0)
            assert core.items[QUARANTINE_KEY].revision == revision

    async def test_the_time_of_the_last_request_is_kept_up(self) -> None:
        core = StoreCore()
        async with running(core, "d1") as [daemon]:
            daemon.crash()
            await asyncio.sleep(PROMPT_QUARANTINE_S / 2)
            assert daemon.refuses
            await asyncio.sleep(PROMPT_QUARANTINE_S * 0.8)
        async with running(core, "d2") as [started]:
            assert started.refuses

    async def test_a_refuted_verdict_is_removed(self) -> None:
        core = StoreCore()
        async with running(core, "d1") as [daemon]:
            daemon.crash()
            await asyncio.sleep(2.0)
            assert stored(core).verdicts
            daemon.crashes.note_success(CRASHING_PARTS)
            await asyncio.sleep(10.0)
            assert not stored(core).verdicts
            assert not daemon.refuses

    @pytest.mark.parametrize("copy_has_verdict", [True, False])
    async def test_a_lift_that_a_restore_lost_reaches_a_daemon_that_had_not_heard_of_it(
        self, copy_has_verdict: bool
    ) -> None:
        core = StoreCore()
        async with running(core, "d1", "d2") as [first, second]:
            copy = core.snapshot()
            first.crash()
            await asyncio.sleep(2.0)
            copy = core.snapshot() if copy_has_verdict else copy
            second.store.faults.down = True
            lifted = lift(stored(core), "crashing", 1e9 + asyncio.get_running_loop().time())
            core.put(QUARANTINE_KEY, msgspec.json.encode(lifted))
            await asyncio.sleep(2.0)
            assert (first.refuses, second.refuses) == (False, True)
            core.restore(copy)
            await asyncio.sleep(2.0)
            second.store.faults.down = False
            await asyncio.sleep(30.0)
            assert (first.refuses, second.refuses) == (False, False)
            assert not stored(core).verdicts
            revision = core.items[QUARANTINE_KEY].revision
            await asyncio.sleep(60.0)
            assert core.items[QUARANTINE_KEY].revision == revision
        async with running(core, "d3") as [started]:
            assert not started.refuses

    async def test_verdicts_of_many_parts_neither_fill_the_store_nor_are_written_again(
        self,
    ) -> None:
        core = StoreCore()
        async with running(core, "d1") as [daemon]:
            wide = [
                ReportedVerdict(tuple(f"{number:02}-{n:06}" for n in range(1_000)), 9, 1.0, 0.0)
                for number in range(20)
            ]
            daemon.crashes.apply_report("d2", QuarantineReport(verdicts=wide))
            daemon.crash()
            await asyncio.sleep(20.0)
            item = core.items[QUARANTINE_KEY]
            assert len(item.value) <= MAX_STORED_BYTES + 1_000
            sizes = [len(each.subjects) for each in stored(core).verdicts]
            assert sizes[0] == len(CRASHING_PARTS)
            assert len(sizes) > 2
            await asyncio.sleep(60.0)
            assert core.items[QUARANTINE_KEY].revision == item.revision

    async def test_a_copy_that_cannot_be_read_is_replaced(self) -> None:
        core = StoreCore()
        core.put(QUARANTINE_KEY, b"{")
        async with running(core, "d1") as [daemon]:
            daemon.crash()
            await asyncio.sleep(10.0)
            assert stored(core).verdicts


class TestCommands:
    def test_verdicts_are_listed_and_lifted(
        self, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
    ) -> None:
        core = StoreCore()
        monkeypatch.setattr(quarantine, "open_platform_store", lambda _: FakeStore(core, 0.0))
        verdict = StoredVerdict(("crashing",), 4, time.time() - 60.0, time.time())

        async def quarantine_part() -> None:
            core.put(QUARANTINE_KEY, msgspec.json.encode(StoredQuarantine([verdict])))

        asyncio.run(quarantine_part())
        settings = ["--settings", str(tmp_path)]
        outputs = [
            (result.exit_code, result.output)
            for command in (["list"], ["lift", "crashing"], ["list"])
            if (result := CliRunner().invoke(app, ["quarantine", *command, *settings]))
        ]
        assert outputs == [
            (0, "crashing: 4 crashes, the first 60 s ago\n"),
            (0, "crashing: lifted\n"),
            (0, "nothing is quarantined\n"),
        ]
        again = CliRunner().invoke(app, ["quarantine", "lift", "crashing", *settings])
        assert again.exit_code == 6

    async def test_a_lifted_part_is_sent_again(self) -> None:
        core = StoreCore()
        async with running(core, "d1") as [daemon]:
            daemon.crash()
            await asyncio.sleep(2.0)
            now_s = 1e9 + asyncio.get_running_loop().time()
            await quarantine.lift_in_store(FakeStore(core), "crashing", now_s)
            await asyncio.sleep(1.0)
            assert not daemon.refuses
            await asyncio.sleep(20.0)
            assert not stored(core).verdicts


VALID = StoredQuarantine([StoredVerdict(CRASHING_PARTS, 4, 1e9, 1e9)], {"doc": 1e9})


@given(values_of_others(msgspec.to_builtins(VALID)))
def test_any_stored_copy_is_within_bounds_or_unreadable(value: bytes) -> None:
    try:
        stored = decode_quarantine(Item(QUARANTINE_KEY, value, 1, 1))
    except Unreadable:
        return
    for verdict in stored.verdicts:
        assert 0 <= verdict.crashes <= MAX_WHOLE
        assert abs(verdict.since_s) + abs(verdict.asked_at_s) <= 2 * MAX_WHOLE
    assert all(abs(at_s) <= MAX_WHOLE for at_s in stored.lifted.values())


@pytest.mark.parametrize(
    "value",
    [
        b'{"notes":' + b"[" * DEEP + b"]" * DEEP + b"}",
        b'{"verdicts":[{"parts":["doc"],"crashes":1%s,"since_s":0,"asked_at_s":1e300}]}'
        % (b"0" * 30),
    ],
)
async def test_an_unreadable_copy_is_replaced_by_the_known_verdicts(value: bytes) -> None:
    core = StoreCore()
    async with running(core, "d1") as [daemon]:
        core.put(QUARANTINE_KEY, value)
        await asyncio.sleep(30.0)
        assert daemon.copy.unreadable.counts == {"quarantine_unreadable": 1}
        daemon.crash()
        await asyncio.sleep(20.0)
        assert daemon.refuses
        stored = decode_quarantine(core.items[QUARANTINE_KEY])
        assert [set(verdict.subjects) for verdict in stored.verdicts] == [set(CRASHING_PARTS)]
