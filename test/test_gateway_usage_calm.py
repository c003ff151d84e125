"""Usage reports of a whole deployment over real datagrams, while nothing fails."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

import pytest

from godwitpath.gateway.holder import DutyHolder
from godwitpath.gateway.usage_duty import UsageDuty
from godwitpath_standin.gateway.cloud import FakeCloud
from test.gateway_fleet import Daemon, fleet
from test.prompt_senders import ENTRY, keep_sending

ACCOUNTS = ("hule", "fida")
REQUESTS_PER_S = 40.0
"""Requests of the whole deployment."""


def start_duties(daemon: Daemon, cloud: FakeCloud) -> list[asyncio.Task[None]]:
    """Let a daemon contend for the duties, and report usage while it holds them."""
    bounds = daemon.ctx.settings.bounds
    view = daemon.peers.view
    holder = DutyHolder(
        daemon.store, daemon.members, daemon.name, bounds, daemon.ctx.rng, view.report_age_s
    )
    duty = UsageDuty(daemon.store, cloud, holder, daemon.ctx.usage, bounds, view.usage_counts)
    return [asyncio.create_task(holder.run()), asyncio.create_task(duty.run())]


async def send_requests(daemons: list[Daemon], for_s: float) -> dict[int, Counter[str]]:
    """Let random daemons start requests; returns their number by window and account."""
    rng = Random(len(daemons))
    started: dict[int, Counter[str]] = {}
    loop = asyncio.get_running_loop()
    end_s = loop.time() + for_s
    while loop.time() < end_s:
        usage, account = rng.choice(daemons).ctx.usage, rng.choice(ACCOUNTS)
        usage.note_started(account)
        window = usage.window_at(usage.clock.now_s())
        started.setdefault(window, Counter())[account] += 1
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    return started


async def run_calm(
    count: int, zones: str, parts: int = 0
) -> tuple[dict[int, Counter[str]], FakeCloud]:
    """Return what a deployment started in each window, and the cloud that got its reports.

    :param parts: number of parts of the prompts that each daemon sends, 0 for no prompts
    """
    cloud = FakeCloud()
    async with fleet(count, zones, {"usageWindowS": 2}) as daemons:
        tasks = [task for each in daemons for task in start_duties(each, cloud)]
        if parts:
            for daemon in daemons:
                daemon.ctx.engines.put(ENTRY)
            tasks.append(asyncio.create_task(keep_sending(daemons, 4, parts, 16.0)))
        started = await send_requests(daemons, 16.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return started, cloud


@pytest.mark.parametrize(("count", "zones"), [(7, "abc"), (18, "abcdef")])
async def test_every_window_is_reported_once_with_the_right_counts(count: int, zones: str) -> None:
    assert_each_window_once(*await run_calm(count, zones))


@pytest.mark.parametrize(("count", "zones"), [(6, "abc"), (30, "abcdef")])
async def test_prompts_of_many_parts_keep_no_daemon_out_of_a_report(count: int, zones: str) -> None:
    assert_each_window_once(*await run_calm(count, zones, parts=1_000))


def assert_each_window_once(started: dict[int, Counter[str]], cloud: FakeCloud) -> None:
    """Check that each window was reported once, with what began in it."""
    windows = sorted(cloud.usage)
    assert len(windows) >= 4
    assert windows == list(range(windows[0], windows[-1] + 1))
    # The first window had begun before the daemons started to count.
    expected = {window: [dict(started[window])] for window in windows[1:]}
    assert {window: cloud.usage[window] for window in windows[1:]} == expected
