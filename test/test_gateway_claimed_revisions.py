"""What a daemon tells its peers while a listing is applied only in part."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.gateway.catalogue import REAPPEAR_GRACE_S
from godwitpath.gateway.store import Item
from test.test_gateway_parts import WatchedCatalogue


@pytest.mark.looptime
async def test_a_listing_claims_no_removal_before_its_missing_keys_were_looked_up() -> None:
    """A nameless item makes the watcher read each key that the listing lacks by itself."""
    watched, puller = WatchedCatalogue(), WatchedCatalogue()
    puller.store._core = watched.core
    watched.add_engine("i1", address="127.0.0.1:1")
    watched.add_engine("i2", address="127.0.0.1:2")
    await asyncio.sleep(0.5)
    look_up = watched.store.get
    looked_up = asyncio.Event()

    async def slow_get(key: str) -> Item | None:
        looked_up.set()
        await asyncio.sleep(0.7)
        return await look_up(key)

    watched.store.get = slow_get  # type: ignore[method-assign]
    puller.catalogue.watching = False
    await asyncio.sleep(13.0)
    watched.core.remove("servers/i1")
    removal_revision = watched.core.revision
    watched.core.put("servers/i2", b"")
    watched.add_engine("i3", address="127.0.0.1:3")
    watched.core.drop_history()
    watched.store.faults.unreadable_keys = {"servers/i2"}
    watched.store.faults.nameless = True
    async with asyncio.timeout(20):
        await looked_up.wait()
    claimed = watched.catalogue.engines_revision
    stale = "i1" in watched.engine_ids()
    if claimed > puller.catalogue.seen_revision:
        entries = dict(watched.catalogue.raw_entries)
        puller.catalogue.apply_peer_entries(entries, claimed, "peer")
    puller.catalogue.watching = True
    await asyncio.sleep(REAPPEAR_GRACE_S + 15.0)
    left = puller.engine_ids()
    await watched.stop()
    await puller.stop()
    assert not stale or claimed < removal_revision
    assert "i1" not in left
