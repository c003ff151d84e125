"""What a daemon tells its peers of an engine whose entry vanished while the store was away.

The daemon keeps the engine for some seconds, as it may register again.
"""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.gateway.catalogue import REAPPEAR_GRACE_S
from test.test_gateway_parts import WatchedCatalogue


async def lose_store_and_removal(watched: WatchedCatalogue) -> int:
    """Let a store outage hide the removal of i1, of which the history is lost, and later writes.

    :returns: the store revision of the removal
    """
    watched.store.faults.down = True
    await asyncio.sleep(1.0)
    watched.core.remove("servers/i1")
    removal_revision = watched.core.revision
    watched.add_engine("i2", address="127.0.0.1:2")
    watched.core.drop_history()
    watched.core.put("p/other", b"")
    watched.store.faults.down = False
    await asyncio.sleep(1.0)
    return removal_revision


def pull(puller: WatchedCatalogue, peer: WatchedCatalogue) -> None:
    """Apply the peer's view if it is newer, as a pull does."""
    revision = peer.catalogue.engines_revision
    if revision > puller.catalogue.seen_revision:
        puller.catalogue.apply_peer_entries(dict(peer.catalogue.raw_entries), revision, "peer")


@pytest.mark.looptime
class TestPendingRemovals:
    async def test_a_daemon_that_found_a_removal_by_listing_does_not_claim_to_have_applied_it(
        self,
    ) -> None:
        watched = WatchedCatalogue()
        watched.add_engine("i1", address="127.0.0.1:1")
        await asyncio.sleep(0.5)
        removal_revision = await lose_store_and_removal(watched)
        assert watched.engine_ids() == ["i1", "i2"]
        assert watched.catalogue.engines_revision < removal_revision
        await asyncio.sleep(REAPPEAR_GRACE_S)
        assert watched.engine_ids() == ["i2"]
        assert watched.catalogue.engines_revision >= watched.core.items["servers/i2"].revision
        await watched.stop()

    async def test_a_daemon_that_pulls_beside_a_pending_removal_loses_the_engine_with_its_peer(
        self,
    ) -> None:
        """The puller's own watch is paused, and goes on after the pull."""
        peer, puller = WatchedCatalogue(), WatchedCatalogue()
        puller.store._core = peer.core
        peer.add_engine("i1", address="127.0.0.1:1")
        await asyncio.sleep(0.5)
        puller.catalogue.watching = False
        await asyncio.sleep(4.0)
        await lose_store_and_removal(peer)
        pull(puller, peer)
        puller.catalogue.watching = True
        await asyncio.sleep(0.5)
        peer.add_engine("i3", address="127.0.0.1:3")
        await asyncio.sleep(REAPPEAR_GRACE_S)
        pull(puller, peer)
        await asyncio.sleep(REAPPEAR_GRACE_S)
        assert (peer.engine_ids(), puller.engine_ids()) == (["i2", "i3"], ["i2", "i3"])
        await peer.stop()
        await puller.stop()

    async def test_a_daemon_that_pulls_before_it_has_listed_drops_what_its_listing_lacks(
        self,
    ) -> None:
        peer = WatchedCatalogue()
        peer.add_engine("i1", address="127.0.0.1:1")
        await asyncio.sleep(0.5)
        starter = WatchedCatalogue()
        starter.store._core = peer.core
        starter.store.faults.down = True
        await asyncio.sleep(0.5)
        pull(starter, peer)
        assert starter.engine_ids() == ["i1"]
        peer.core.remove("servers/i1")
        peer.core.drop_history()
        starter.store.faults.down = False
        await asyncio.sleep(REAPPEAR_GRACE_S + 1.5)
        assert (peer.engine_ids(), starter.engine_ids()) == ([], [])
        await peer.stop()
        await starter.stop()
