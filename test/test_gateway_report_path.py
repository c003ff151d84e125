"""Daemons hear one another over real datagrams, however much their callers make them report."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import msgspec
import pytest

from godwitpath.gateway.peer_messages import PeerReport, ZoneSummary
from godwitpath.gateway.peer_view import REPORT_TIMEOUT_S
from test.gateway_fleet import Daemon, fleet
from test.prompt_senders import ENTRY, keep_sending

MAX_DATAGRAM_BYTES = 1_400


def hearing(daemons: list[Daemon]) -> Iterator[tuple[str, int]]:
    for daemon in daemons:
        yield daemon.name, len(daemon.peers.view.reporting())


@pytest.mark.parametrize(("prompts", "parts"), [(12, 1_000), (64, 400)])
async def test_daemons_with_prompts_of_many_parts_hear_one_another(
    prompts: int, parts: int
) -> None:
    async with fleet(6, "abc") as daemons:
        for daemon in daemons:
            daemon.ctx.engines.put(ENTRY)
        await asyncio.sleep(2.5)
        await keep_sending(daemons, prompts, parts, REPORT_TIMEOUT_S + 1.0)
        assert dict(hearing(daemons)) == {each.name: 5 for each in daemons}
        assert all(not each.peers.counts["datagram_errors"] for each in daemons)
        assert (
            max(each.ctx.instruments.datagram_bytes.bind().largest for each in daemons)
            <= MAX_DATAGRAM_BYTES
        )


async def test_a_burst_in_a_zone_of_14_daemons_does_not_silence_the_zone() -> None:
    async with fleet(17, "aaaaaaaaaaaaaabbb") as daemons:
        await asyncio.sleep(2.5)
        await keep_sending(daemons[:14], 64, 3, REPORT_TIMEOUT_S + 1.0)
        assert dict(hearing(daemons)) == {each.name: 16 for each in daemons}
        assert (
            max(each.ctx.instruments.datagram_bytes.bind().largest for each in daemons)
            <= MAX_DATAGRAM_BYTES
        )


async def test_usage_and_quota_of_many_accounts_reach_all_daemons_in_pieces() -> None:
    accounts = [f"account-{number:04d}" for number in range(300)]
    async with fleet(3, "abc") as daemons:
        await asyncio.sleep(2.5)
        sender, *others = daemons
        for number, account in enumerate(accounts):
            sender.ctx.usage.note_started(account)
            sender.ctx.quota.used[account] = float(number)
        await asyncio.sleep(4.0)
        key = (sender.name, sender.peers._incarnation)
        for other in others:
            state = other.peers.view.states[key]
            counted = {name for counts in state.usage.values() for name in counts}
            assert counted == set(accounts)
            assert other.peers.view.zone_quota_used == {
                account: number for number, account in enumerate(accounts) if number
            }
        assert sender.peers.sender.reports.left_out["usage"] > 0
        assert sender.ctx.instruments.datagram_bytes.bind().largest <= MAX_DATAGRAM_BYTES


def as_older_build(daemon: Daemon) -> None:
    """Make a daemon state as little as the builds before."""
    build_report, build_summary = daemon.peers._build_report, daemon.peers._build_summary
    daemon.peers._build_report = lambda *parts: msgspec.structs.replace(  # type: ignore[method-assign]
        build_report(*parts), hears=None
    )
    daemon.peers._build_summary = lambda *parts: msgspec.structs.replace(  # type: ignore[method-assign]
        build_summary(*parts), hears=None, takes_pieces=False
    )


def record_received(daemon: Daemon) -> list[PeerReport | ZoneSummary]:
    """Return a list to which each message that the daemon receives is added."""
    received: list[PeerReport | ZoneSummary] = []
    apply_report, apply_summary = daemon.peers.view.apply_report, daemon.peers.view.apply_summary

    def record_report(report: PeerReport) -> bool:
        received.append(report)
        return apply_report(report)

    def record_summary(summary: ZoneSummary) -> bool:
        received.append(summary)
        return apply_summary(summary)

    daemon.peers.view.apply_report = record_report  # type: ignore[method-assign]
    daemon.peers.view.apply_summary = record_summary  # type: ignore[method-assign]
    return received


@pytest.mark.parametrize(("count", "zones"), [(4, "ab"), (18, "abc")])
async def test_an_older_build_gets_whole_messages_only(count: int, zones: str) -> None:
    async with fleet(count, zones) as daemons:
        older = daemons[3]
        as_older_build(older)
        received = record_received(older)
        newer = next(each for each in daemons if each is not older and each.zone == older.zone)
        received_by_newer = record_received(newer)
        for daemon in daemons:
            daemon.ctx.quota.used = {f"account-{number:04d}": 5.0 for number in range(200)}
        await asyncio.sleep(5.0)
        assert dict(hearing(daemons)) == {each.name: count - 1 for each in daemons}
        assert {each.spread_over for each in received} == {0}
        assert {each.piece for each in received} == {0}
        assert {len(each.quota_used) for each in received if isinstance(each, PeerReport)} == {200}
        assert max(each.piece for each in received_by_newer) > 0
