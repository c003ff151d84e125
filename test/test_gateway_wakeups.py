"""Tests of waiting for one of several events."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.gateway.wakeups import wait_for_any

pytestmark = pytest.mark.looptime


@pytest.mark.parametrize(("set_after_s", "took_s"), [(0.5, 0.5), (3.0, 2.0)])
async def test_the_wait_ends_with_the_first_event_or_its_time(
    set_after_s: float, took_s: float
) -> None:
    loop, events = asyncio.get_running_loop(), (asyncio.Event(), asyncio.Event())
    # An event that was set before has been reacted to.
    events[0].set()
    started_at_s = loop.time()
    loop.call_later(set_after_s, events[1].set)
    await wait_for_any(events, 2.0)
    assert loop.time() - started_at_s == pytest.approx(took_s)
    # The tasks that waited for the events are gone.
    await asyncio.sleep(0)
    assert len(asyncio.all_tasks()) == 1
