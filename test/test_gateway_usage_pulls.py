"""Usage counts of daemons whose reports do not arrive."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from godwitpath.gateway.holder import DutyHolder
from godwitpath.gateway.members import MemberEntry
from godwitpath.gateway.usage_duty import UsageDuty
from godwitpath.gateway.usage_pulls import UsagePuller, unheard_daemons
from godwitpath_standin.gateway.cloud import FakeCloud
from test.gateway_fleet import Daemon, fleet
from test.test_gateway_usage_calm import send_requests


def start_duties(daemon: Daemon, cloud: FakeCloud, holds: bool) -> list[asyncio.Task[None]]:
    """Let a daemon answer pulls of usage, and contend for the duties.

    :param holds: whether it contends
    """
    bounds, view = daemon.ctx.settings.bounds, daemon.peers.view
    holder = DutyHolder(
        daemon.store, daemon.members, daemon.name, bounds, daemon.ctx.rng, view.report_age_s
    )
    puller = UsagePuller(daemon.ctx, daemon.members, view, daemon.peers.puller, holder)
    duty = UsageDuty(daemon.store, cloud, holder, daemon.ctx.usage, bounds, puller.counts)
    jobs = [holder.run(), duty.run(), puller.run()] if holds else []
    return [asyncio.create_task(job) for job in jobs]


def drop_datagrams(daemon: Daemon, ports: set[int]) -> None:
    """Let a daemon receive no datagrams from these ports."""
    receive = daemon.peers.datagram_received

    def receive_others(data: bytes, addr: tuple[str, int]) -> None:
        if addr[1] not in ports:
            receive(data, addr)

    daemon.peers.datagram_received = receive_others  # type: ignore[method-assign]


async def run_unheard(unheard: int) -> tuple[dict[int, Counter[str]], FakeCloud]:
    """Return what four daemons started in each window, and the cloud that got their reports.

    :param unheard: number of daemons whose datagrams do not arrive
    """
    cloud = FakeCloud()
    async with fleet(4, "ab", {"usageWindowS": 2}) as daemons:
        for each in daemons:
            drop_datagrams(each, {other.port for other in daemons[:unheard]})
        tasks = [
            task
            for index, each in enumerate(daemons)
            for task in start_duties(each, cloud, holds=index >= unheard)
        ]
        started = await send_requests(daemons, 16.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return started, cloud


@pytest.mark.parametrize("unheard", [1, 3])
async def test_a_window_misses_no_daemon_whose_reports_do_not_arrive(unheard: int) -> None:
    started, cloud = await run_unheard(unheard)
    windows = sorted(cloud.usage)
    assert len(windows) >= 4
    # The first window had begun before the daemons started to count.
    expected = {window: [dict(started[window])] for window in windows[1:]}
    assert {window: cloud.usage[window] for window in windows[1:]} == expected


def test_daemons_are_unheard_that_sent_no_report_since_a_window_ended() -> None:
    members = {name: MemberEntry("h", 1, "a", 7) for name in ("early", "late", "new", "never")}
    ages_s = {("early", 7): 4.0, ("late", 7): 0.4, ("new", 6): 0.1}
    assert unheard_daemons(members, ages_s, ended_s=1.5) == ["early", "never", "new"]
