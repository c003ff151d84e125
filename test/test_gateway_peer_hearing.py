"""Real daemons of which some do not hear others, by datagrams that are not sent."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from typing import Any

import msgspec
import pytest

from godwitpath.gateway.engines import EngineEntry, EngineState
from godwitpath.gateway.peer_hearing import SETTLE_S
from godwitpath.gateway.peer_messages import DIGEST_BYTES
from godwitpath.gateway.wire_fields import EngineResponseFields
from godwitpath.ports.engine import Address
from test.gateway_fleet import Daemon, fleet

CONTACT_S = 4.0
"""The bound `contactMs` of the fleets of these tests."""

REPORTS = ("report", "zone")
"""Kinds of messages that state whom their sender hears."""


class SilencedTransport:
    """Sends datagrams, except those of some kinds to some ports."""

    def __init__(self, transport: Any, kinds: Collection[str], ports: Collection[int]) -> None:
        self._transport = transport
        self._kinds = kinds
        self._ports = ports

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        """Send a datagram, unless it is silenced."""
        kind = msgspec.msgpack.decode(data[DIGEST_BYTES:])[0]
        if kind not in self._kinds or addr[1] not in self._ports:
            self._transport.sendto(data, addr)

    def close(self) -> None:
        """Close the transport."""
        self._transport.close()


def silence(
    daemon: Daemon, others: list[Daemon], kinds: Collection[str] = REPORTS
) -> Callable[[], None]:
    """Send nothing of some kinds from a daemon to others; returns what ends that."""
    transport = daemon.peers.sender.transport
    ports = {each.port for each in others}
    daemon.peers.sender.transport = SilencedTransport(  # type: ignore[assignment]
        transport, kinds, ports
    )

    def end() -> None:
        daemon.peers.sender.transport = transport

    return end


def others_than(daemon: Daemon, daemons: list[Daemon]) -> list[Daemon]:
    return [each for each in daemons if each is not daemon]


def log_of(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Collect the log lines about hearing."""
    lines: list[dict[str, Any]] = []

    def note(kind: str, **fields: Any) -> None:
        lines.append({"kind": kind} | fields)

    monkeypatch.setattr("godwitpath.gateway.peer_hearing.decision", note)
    return lines


@pytest.mark.parametrize(("count", "zones"), [(4, "abc"), (18, "abc")])
async def test_a_daemon_that_is_not_heard_knows_it_within_the_contact_time(
    count: int, zones: str
) -> None:
    async with fleet(count, zones) as daemons:
        await asyncio.sleep(3.0)
        unheard = daemons[0]
        others = others_than(unheard, daemons)
        names = {each.name for each in others}
        end = silence(unheard, others)
        await asyncio.sleep(CONTACT_S)
        assert unheard.peers.view.hearing.not_hearing() == names
        assert unheard.peers.view.reporting() == names
        assert all(unheard.name not in each.peers.view.reporting() for each in others)
        end()
        await asyncio.sleep(CONTACT_S)
        assert unheard.peers.view.hearing.not_hearing() == set()


@pytest.mark.parametrize(("count", "zones"), [(4, "abc"), (18, "abc")])
async def test_a_daemon_that_is_not_heard_uses_its_own_part_of_a_quota_only(
    count: int, zones: str
) -> None:
    async with fleet(count, zones) as daemons:
        await asyncio.sleep(3.0)
        unheard = daemons[0]
        others = others_than(unheard, daemons)
        end = silence(unheard, others)
        await asyncio.sleep(CONTACT_S)
        assert unheard.peers.view.quota_share() == 1 / count
        assert {each.peers.view.quota_share() for each in others} == {(count - 1) / count}
        end()
        await asyncio.sleep(CONTACT_S)
        assert {each.peers.view.quota_share() for each in daemons} == {1.0}


@pytest.mark.parametrize(("count", "zones"), [(4, "abc"), (18, "abc")])
async def test_both_ends_log_that_a_daemon_is_not_heard_and_that_it_is_again(
    count: int, zones: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with fleet(count, zones) as daemons:
        await asyncio.sleep(3.0)
        lines = log_of(monkeypatch)
        unheard = daemons[0]
        others = others_than(unheard, daemons)
        end = silence(unheard, others)
        await asyncio.sleep(CONTACT_S + SETTLE_S)
        own_line = next(line for line in lines if line["daemons_not_hearing"] == count - 1)
        assert set(own_line["not_heard_by"]) <= {each.name for each in others}
        assert sum(line["not_heard"] == [unheard.name] for line in lines) == count - 1
        lines.clear()
        end()
        await asyncio.sleep(CONTACT_S + SETTLE_S)
        sound = [line["daemons_not_hearing"] == line["daemons_not_heard"] == 0 for line in lines]
        assert sound.count(True) == count


@pytest.mark.parametrize(("count", "zones"), [(4, "abc"), (18, "abc")])
async def test_daemons_of_a_build_that_states_nothing_count_as_hearing_all(
    count: int, zones: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with fleet(count, zones) as daemons:
        for each in daemons[::2]:
            monkeypatch.setattr(each.peers.view.hearing, "hears", lambda: None)
            monkeypatch.setattr(each.peers.view.hearing, "hears_zones", lambda: None)
        await asyncio.sleep(5.0)
        assert all(not each.peers.view.hearing.not_hearing() for each in daemons)
        assert {each.peers.view.quota_share() for each in daemons} == {1.0}
        entry = EngineEntry("limited", "lm", Address("h", 9), "a", EngineState.READY, 64, 1)
        [grantor] = {each.ctx.permits._grantors.grantor(entry) for each in daemons}
        granting = {each.name for each in daemons if each.ctx.permits._grantors.may_grant(entry)}
        assert granting == {grantor}


@pytest.mark.parametrize(("count", "zones"), [(4, "abc"), (18, "abc")])
async def test_a_grantor_that_is_not_heard_grants_nothing_beside_its_successor(
    count: int, zones: str
) -> None:
    async with fleet(count, zones) as daemons:
        await asyncio.sleep(3.0)
        entry = EngineEntry("limited", "lm", Address("h", 9), "a", EngineState.READY, 64, 1)
        for daemon in daemons:
            daemon.ctx.engines.put(entry)
        stated = EngineResponseFields(True, False, False, True, None, limit_per_s=5.0)
        daemons[-1].ctx.limits.note_response(entry, stated, 200, 0.0)
        await asyncio.sleep(2.0)
        [grantor] = {each.ctx.permits._grantors.grantor(entry) for each in daemons}
        unheard = next(each for each in daemons if each.name == grantor)
        silence(unheard, others_than(unheard, daemons))
        granted: list[tuple[float, str]] = []
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        while loop.time() < started_at_s + 12.0:
            for daemon in daemons:
                engine = daemon.ctx.engines.get("limited")
                assert engine is not None
                if await daemon.ctx.permits.acquire(engine, 1, "r") is not None:
                    granted.append((loop.time() - started_at_s, daemon.name))
            await asyncio.sleep(0.05)
        for since_s in range(8):
            in_window = [at_s for at_s, _ in granted if since_s <= at_s < since_s + 4.0]
            assert len(in_window) <= 1.5 * 5.0 * 4.0 + 5
        late = Counter(name for at_s, name in granted if at_s >= 6.0)
        # The limit during that time, and what the bucket keeps.
        assert 0.7 * 5.0 * 6.0 <= late.total() <= 5.0 * 6.0 + 5
        assert {each.ctx.permits._grantors.grantor(entry) for each in daemons}.isdisjoint(
            {unheard.name, None}
        )


async def test_an_aggregator_that_its_zone_does_not_hear_is_replaced_for_the_other_zones() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(3.0)
        zone = [each for each in daemons if each.zone == "a"]
        unheard, successor, *_ = zone
        assert {each.peers.view.aggregator() for each in zone} == {unheard.name}
        silence(unheard, zone[1:])
        await asyncio.sleep(CONTACT_S)
        assert {each.peers.view.aggregator() for each in zone} == {successor.name}
        elsewhere = [each for each in daemons if each.zone != "a"]
        speakers = {each.peers.view.zones["a"].aggregator[0] for each in elsewhere}
        assert speakers == {successor.name}


async def test_zones_that_hear_one_way_only_do_not_use_one_quota_twice() -> None:
    async with fleet(18, "abc") as daemons:
        await asyncio.sleep(3.0)
        zone_a = [each for each in daemons if each.zone == "a"]
        zone_b = [each for each in daemons if each.zone == "b"]
        for each in zone_b:
            silence(each, zone_a)
        # Zone c hears both and does not forward summaries between them.
        await asyncio.sleep(CONTACT_S)
        names = {each.name for each in zone_a}
        assert all(each.peers.view.hearing.not_hearing() == names for each in zone_b)
        assert {each.peers.view.quota_share() for each in (*zone_a, *zone_b)} == {12 / 18}


async def test_two_daemons_that_one_hears_and_that_are_not_heard_do_not_replace_each_other() -> (
    None
):
    async with fleet(3, "abc") as daemons:
        await asyncio.sleep(2.5)
        first, second, heard = daemons
        for each in (first, second):
            silence(each, others_than(each, daemons))
        await asyncio.sleep(CONTACT_S)
        assert first.peers.view.reporting() == {heard.name}
        assert first.peers.view.report_age_s(second.name, second.port) == 0.0
        assert second.peers.view.report_age_s(first.name, first.port) == 0.0


@pytest.mark.parametrize(("count", "zones"), [(4, "abc"), (18, "abc")])
async def test_a_holder_that_one_daemon_does_not_hear_and_others_do_counts_as_reporting(
    count: int, zones: str
) -> None:
    async with fleet(count, zones) as daemons:
        await asyncio.sleep(2.5)
        deaf, holder = daemons[0], daemons[3]
        silence(holder, [deaf])
        await asyncio.sleep(CONTACT_S)
        assert holder.name not in deaf.peers.view.reporting()
        age_s = deaf.peers.view.report_age_s(holder.name, holder.port)
        assert age_s is not None
        assert age_s < 1.0
        await holder.stop()
        await asyncio.sleep(2.0)
        age_s = deaf.peers.view.report_age_s(holder.name, holder.port)
        assert age_s is not None
        assert age_s >= 1.0


async def test_a_holder_that_hears_nobody_counts_as_silent_while_the_others_hear_it() -> None:
    async with fleet(4, "abc") as daemons:
        await asyncio.sleep(3.0)
        holder, *others = daemons
        assert all(each.peers.view.report_age_s(holder.name, holder.port) < 1.0 for each in others)
        for each in others:
            silence(each, [holder])
        await asyncio.sleep(CONTACT_S)
        assert all(holder.name in each.peers.view.reporting() for each in others)
        ages_s = {each.peers.view.report_age_s(holder.name, holder.port) for each in others}
        assert ages_s == {float("inf")}
        assert holder.peers.view.report_age_s(others[0].name, others[0].port) == 0.0
