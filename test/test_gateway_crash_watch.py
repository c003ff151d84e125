"""Tests of how a daemon finds out that an engine crashed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from godwitpath.gateway import crash_watch
from godwitpath.gateway.crash_watch import CONFIRM_WAITS_S, STABLE_AFTER_S, CrashWatch
from godwitpath.gateway.engines import Engine, EngineEntry, EngineRegistry, EngineState
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedCrash, ReportedVerdict
from godwitpath.http1.messages import NotSent
from godwitpath.ports.engine import Address
from test.raw_server import Exchange, raw_server

CRASHING_PARTS = ("first", "crashing")


class Watch:
    """The crash watch of a daemon, and an engine at an address."""

    def __init__(self, address: Address, state: EngineState = EngineState.READY) -> None:
        self.registry = EngineRegistry()
        self.registry.put(EngineEntry("e1", "lm", address, "a", state, 4, 1))
        self.watch = CrashWatch(self.registry)
        engine = self.registry.get("e1")
        assert engine is not None
        self.engine: Engine = engine

    async def break_stream(self, began_ago_s: float | None = None) -> None:
        """Break a stream at the engine, and wait until it is clear whether that crashed."""
        now_s = asyncio.get_running_loop().time()
        first_event_at_s = now_s - began_ago_s if began_ago_s is not None else 0.0
        self.watch.note_broken(self.engine, CRASHING_PARTS, first_event_at_s)
        await asyncio.sleep(sum(CONFIRM_WAITS_S) + 0.2)

    @property
    def crashes(self) -> list[ReportedCrash]:
        """The crashes that are reported."""
        return self.watch.quarantine.report(asyncio.get_running_loop().time()).crashes


@asynccontextmanager
async def listening() -> AsyncIterator[Address]:
    async def handle(exchange: Exchange) -> None:
        exchange.respond(b"ok")

    async with raw_server(handle) as server:
        yield server.address


async def closed_address() -> Address:
    async with listening() as address:
        return address


class TestCrash:
    async def test_an_engine_that_refuses_connections_has_crashed(self) -> None:
        watch = Watch(await closed_address())
        await watch.break_stream()
        [crash] = watch.crashes
        assert (crash.engine_id, crash.started_at_ms, crash.requests) == ("e1", 1, [CRASHING_PARTS])

    async def test_streams_that_broke_together_are_one_crash(self) -> None:
        watch = Watch(await closed_address())
        for part in ("a", "b", "a"):
            watch.watch.note_broken(watch.engine, (part,), 0.0)
        await asyncio.sleep(0.1)
        [crash] = watch.crashes
        assert crash.requests == [("a",), ("b",)]
        assert watch.watch.counts["crash"] == 1

    async def test_a_crash_that_another_daemon_found_confirms_an_unclear_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def time_out(*_: object) -> None:
            raise NotSent("timed out") from TimeoutError()

        watch = Watch(Address("127.0.0.1", 9))
        with monkeypatch.context() as patch:
            patch.setattr(crash_watch, "connect", time_out)
            await watch.break_stream()
        assert watch.crashes == []
        heard = QuarantineReport(crashes=[ReportedCrash("e1", 1, 0.5, [("other",)])])
        watch.watch.apply_report("d2", heard)
        [crash] = watch.crashes
        assert crash.requests == [CRASHING_PARTS]

    async def test_an_engine_that_did_not_respond_is_looked_at_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def time_out(*_: object) -> None:
            raise NotSent("timed out") from TimeoutError()

        watch = Watch(await closed_address())
        with monkeypatch.context() as patch:
            patch.setattr(crash_watch, "connect", time_out)
            await watch.break_stream()
        assert watch.crashes == []
        await watch.break_stream()
        assert len(watch.crashes) == 1

    async def test_a_verdict_that_becomes_narrower_is_not_logged_as_lifted(self) -> None:
        watch = Watch(await closed_address()).watch
        both, one = (
            ReportedVerdict(parts, 4, 9.0, 0.0) for parts in (CRASHING_PARTS, CRASHING_PARTS[1:])
        )
        watch.apply_report("d2", QuarantineReport(verdicts=[both]))
        watch.apply_report("d2", QuarantineReport(verdicts=[one]))
        assert watch.counts["lifted"] == 0
        watch.apply_report("d2", QuarantineReport(successes={"crashing": 1.0}))
        assert watch.counts["lifted"] == 1

    async def test_an_engine_that_only_broke_a_stream_before_is_looked_at_again(self) -> None:
        async with listening() as address:
            watch = Watch(address)
            watch.watch.note_broken(watch.engine, ("before",), 0.0)
            await asyncio.sleep(sum(CONFIRM_WAITS_S) + 0.2)
        await watch.break_stream()
        [crash] = watch.crashes
        assert crash.requests == [CRASHING_PARTS]


class TestNoCrash:
    async def test_an_engine_that_still_listens_has_not_crashed(self) -> None:
        async with listening() as address:
            watch = Watch(address)
            await watch.break_stream()
            assert watch.crashes == []
            assert watch.watch.counts["not_crashed"] == 1

    async def test_an_engine_that_leaves_has_not_crashed(self) -> None:
        watch = Watch(await closed_address(), EngineState.DRAINING)
        await watch.break_stream()
        assert watch.crashes == []

    async def test_an_engine_that_was_removed_has_not_crashed(self) -> None:
        watch = Watch(await closed_address())
        watch.registry.remove("e1")
        await watch.break_stream()
        assert watch.crashes == []

    async def test_a_response_that_had_gone_on_is_no_evidence(self) -> None:
        watch = Watch(await closed_address())
        await watch.break_stream(began_ago_s=STABLE_AFTER_S + 0.1)
        assert watch.crashes == []
        await watch.break_stream(began_ago_s=STABLE_AFTER_S - 0.1)
        assert len(watch.crashes) == 1
