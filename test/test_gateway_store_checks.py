"""Tests of how daemons keep their state confirmed without asking the store more than needed."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

import pytest

from godwitpath.gateway.members import KEY_PREFIX
from godwitpath.gateway.store import Change, Item
from godwitpath.gateway.store_checks import CHECK_SHARE, CHECK_SPREAD
from godwitpath.gateway.store_watch import StoreWatcher
from godwitpath.ports.kv import StoreRefused
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore
from test.gateway_fleet import GROWN_BOUNDS, Daemon, fleet
from test.test_gateway_freshness import SETTLED_S

CHANGE_S = 4.0
"""Time within which changes must be known (grown deployments)."""

COUNTED_S = 8.0


def count_watch_requests(daemons: list[Daemon]) -> Counter[str]:
    """Return a counter of the watch requests for urgent changes, by daemon, from now on."""
    counts: Counter[str] = Counter()

    def counted(daemon: Daemon) -> None:
        changes = daemon.store.changes

        async def count(prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
            counts[daemon.name] += prefix != KEY_PREFIX
            return await changes(prefix, after, wait_s)

        daemon.store.changes = count  # type: ignore[method-assign]

    for daemon in daemons:
        counted(daemon)
    return counts


@pytest.mark.parametrize("count", [6, 18, 30])
async def test_a_fleet_without_changes_asks_the_store_about_once_for_each_zone_and_age(
    count: int,
) -> None:
    async with fleet(count, "abc", GROWN_BOUNDS) as daemons:
        await asyncio.sleep(SETTLED_S)
        counts = count_watch_requests(daemons)
        await asyncio.sleep(COUNTED_S)
        # Each of three zones asks for two prefixes whenever the shortest age has passed; a request
        # that waits and is answered in that time is followed by another one.
        asked = 3 * 2 * COUNTED_S / (CHANGE_S * CHECK_SHARE)
        waiting = 2 * 2 * min(count, 6)
        assert sum(counts.values()) <= asked + waiting
        longest_s = CHANGE_S * (CHECK_SHARE + 2 * CHECK_SPREAD) + 1.0
        ages_s = [daemon.catalogue.ages().oldest_s for daemon in daemons]
        assert max(ages_s) <= longest_s
        assert all(daemon.catalogue.ages().oldest_s < CHANGE_S / 2 for daemon in daemons)


async def test_a_store_that_refuses_is_not_asked_in_a_loop() -> None:
    async with fleet(3, "a", GROWN_BOUNDS) as daemons:
        await asyncio.sleep(1.0)
        for daemon in daemons:

            async def refuse(prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
                raise StoreRefused("watch: refused with 503")

            daemon.store.changes = refuse  # type: ignore[method-assign]
        counts = count_watch_requests(daemons)
        await asyncio.sleep(12.0)
        # The longest pause between two retries is 0.8 s, shortened by a quarter at most.
        assert max(counts.values()) <= 2 * (12.0 / 0.6 + 6)


@pytest.mark.looptime
class TestConfirmation:
    async def test_it_finds_what_a_silent_watch_request_does_not_bring(self) -> None:
        core = StoreCore()
        core.put("servers/a", b"1")
        store = FakeStore(core)
        items: list[Item] = []
        watcher = StoreWatcher(
            store, "servers/", items.append, lambda key, revision: None, Random(1), 60.0
        )
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(1.0)
        changes = store.changes

        async def brief_only(prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
            if wait_s > 1.0:
                await asyncio.sleep(3600)
            return await changes(prefix, after, wait_s)

        store.changes = brief_only  # type: ignore[method-assign]
        core.put("servers/a", b"2")
        await asyncio.sleep(0.2)
        core.put("servers/a", b"3")
        await asyncio.sleep(0.2)
        assert [item.value for item in items] == [b"1", b"2"]
        assert await watcher.confirm()
        assert [item.value for item in items] == [b"1", b"2", b"3"]
        assert watcher.since_response_s(asyncio.get_running_loop().time()) == 0.0
        task.cancel()

    async def test_a_store_that_does_not_respond_ends_the_wait_for_changes(self) -> None:
        core = StoreCore()
        store = FakeStore(core)
        watcher = StoreWatcher(
            store, "servers/", lambda item: None, lambda key, revision: None, Random(1), 60.0
        )
        core.put("servers/a", b"1")
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(1.0)
        assert watcher.waits_for_changes

        async def refuse(prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
            raise StoreRefused("watch: refused with 503")

        store.changes = refuse  # type: ignore[method-assign]
        assert not await watcher.confirm()
        await asyncio.sleep(0.01)
        assert watcher.outage_since_s is not None
        assert not watcher.waits_for_changes
        task.cancel()
