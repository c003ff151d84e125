"""Tests of the reports between daemons over real datagrams, in a full mesh and a large fleet."""

from __future__ import annotations

import asyncio
from collections import Counter

import msgspec
import pytest

from godwitpath.gateway.engine_limits import EngineLimit
from godwitpath.gateway.engines import EngineEntry, EngineState
from godwitpath.gateway.holder_entry import HOLDER_KEY, HolderEntry
from godwitpath.gateway.members import LEASE_S
from godwitpath.gateway.model import AccountSpec
from godwitpath.gateway.peer_view import REPORT_TIMEOUT_S
from godwitpath.gateway.placement import Prompt
from godwitpath.gateway.wire_fields import EngineResponseFields
from godwitpath.platform.headers import decode_caller
from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.engine import EngineStandin
from test.gateway_fleet import fleet

ACCOUNT = AccountSpec("hule", (), rate_per_s=1000, burst=1000, counts_tokens=True)


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


async def test_a_daemon_with_a_lapsed_lease_gets_changes_while_it_reports() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(2.0)
        core = daemons[0].store._core
        core.put("servers/e1", EngineStandin("e1").entry("lm", address="127.0.0.1:1"))
        await asyncio.sleep(1.0)
        cut_off = next(each for each in reversed(daemons) if not each.catalogue.watching)
        cut_off.store.faults.down = True
        await asyncio.sleep(LEASE_S + 1.0)
        assert f"gateway/daemons/{cut_off.name}" not in core.items
        core.put(
            "servers/e1", EngineStandin("e1").entry("lm", address="127.0.0.1:1", state="draining")
        )
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


@pytest.mark.parametrize(("count", "zones"), [(4, "abc"), (18, "abc")])
async def test_one_daemon_tells_a_limit_and_all_share_its_permits(count: int, zones: str) -> None:
    async with fleet(count, zones) as daemons:
        await asyncio.sleep(3.0)
        entry = EngineEntry("limited", "lm", Address("h", 9), "a", EngineState.READY, 64, 1)
        for daemon in daemons:
            daemon.ctx.engines.put(entry)
        stated = EngineResponseFields(True, False, False, True, None, limit_per_s=4.0)
        daemons[-1].ctx.limits.note_response(entry, stated, 200, 0.0)
        await asyncio.sleep(2.0)
        limits = {daemon.ctx.limits.limit(entry) for daemon in daemons}
        assert limits == {EngineLimit(4.0, 1)}
        granted, started_at_s = 0, asyncio.get_running_loop().time()
        for _ in range(40):
            for daemon in daemons:
                engine = daemon.ctx.engines.get("limited")
                assert engine is not None
                granted += await daemon.ctx.permits.acquire(engine, 1, "r") is not None
            await asyncio.sleep(0.1)
        outcomes = sum((daemon.ctx.permits.outcomes for daemon in daemons), Counter())
        assert granted == outcomes[("lm", "granted")]
        took_s = asyncio.get_running_loop().time() - started_at_s
        # The limit during that time, and what the bucket keeps.
        assert 0.7 * 4 * 4.0 <= granted <= took_s * 4.0 + 5


async def test_a_prompt_part_with_a_number_too_large_does_not_silence_a_daemon() -> None:
    async with fleet(2, "ab") as daemons:
        await asyncio.sleep(2.0)
        sender, other = daemons
        parts = decode_caller([(b"x-prompt-prefix", b"5c:" + b"9" * 30 + b",91:4")]).prompt_parts
        engine = sender.ctx.engines.get("e0")
        assert engine is not None
        sender.ctx.placer.note_sent(Prompt(4, 1, parts), engine, 4, 1_000)
        await asyncio.sleep(REPORT_TIMEOUT_S + 1.0)
        assert sender.name in other.peers.view.reporting()
