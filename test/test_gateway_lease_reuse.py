"""A restored store that gives out lease identifiers again, as it does revisions."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

import test.test_gateway_duties as duties
from godwitpath.gateway.holder_entry import HOLDER_KEY, HolderEntry
from godwitpath.gateway.settings import Bounds
from godwitpath.gateway.store import Precondition, Put
from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.gateway.store_core import StoreCore
from test.test_gateway_duties import Daemon, boot_clock
from test.test_gateway_restore_schedules import until
from test.test_gateway_usage_restore import UsageDaemon

__all__ = ["boot_clock"]


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
@pytest.mark.parametrize("ids_given_out_again", [False, True])
async def test_a_dead_holders_lease_ends_although_its_identifier_was_another_daemons(
    monkeypatch: pytest.MonkeyPatch, ids_given_out_again: bool
) -> None:
    """The platform does not check fencing tokens, so that the holder's lease alone decides."""
    monkeypatch.setattr(duties, "BOUNDS", Bounds(fencing_checked=False))
    core, cloud, stale = StoreCore(), FakeCloud(), set[int]()
    copy = core.snapshot()
    first_id = core._last_lease_id
    # d1's registration has the first lease, d0 the duties.
    d1 = UsageDaemon(core, cloud, 1, stale)
    d1.daemon.holder._released = True
    await asyncio.sleep(0.1)
    d0 = UsageDaemon(core, cloud, 0, stale)
    await until(lambda: d0.daemon.holder.fencing_token() is not None)
    d1.daemon.holder._released = False
    await asyncio.sleep(5.0)
    core.restore(copy)
    if ids_given_out_again:
        core._last_lease_id = first_id
    await asyncio.sleep(4.0)
    assert d0.daemon.holder.fencing_token() is not None
    await d0.kill()
    stale.add(0)
    await asyncio.sleep(30.0)
    taken = d1.daemon.holder.fencing_token() is not None
    await d1.kill()
    assert taken


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
async def test_a_dead_holders_lease_ends_although_a_registration_began_before_the_restore(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """d1 gets a lease, the store is restored and gives its identifier to the holder d0, and d1
    writes its registration under it. The platform does not check fencing tokens.
    """
    monkeypatch.setattr(duties, "BOUNDS", Bounds(fencing_checked=False))
    core, cloud, stale = StoreCore(), FakeCloud(), set[int]()
    d0 = UsageDaemon(core, cloud, 0, stale)
    await until(lambda: d0.daemon.holder.fencing_token() is not None)
    await asyncio.sleep(1.0)
    copy, last_id = core.snapshot(), core._last_lease_id
    d1 = UsageDaemon(core, cloud, 1, stale)
    store = d1.daemon.store
    grant = store.grant
    granted: list[int] = []

    async def grant_before_a_restore(ttl_s: float) -> int:
        lease_id = await grant(ttl_s)
        if not granted:
            granted.append(lease_id)
            core.restore(copy)
            core._last_lease_id = last_id
            await until(lambda: d0.daemon.holder._lease_id == lease_id)
        return lease_id

    store.grant = grant_before_a_restore  # type: ignore[method-assign]
    await asyncio.sleep(10.0)
    assert d0.daemon.holder._lease_id == granted[0]
    await d0.kill()
    stale.add(0)
    await asyncio.sleep(30.0)
    taken = d1.daemon.holder.fencing_token() is not None
    await d1.kill()
    assert taken


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
async def test_a_dead_daemons_late_acquisition_under_anothers_lease_leaves_no_duties_undone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store carries the write out after a restore, and has given the lease's identifier to the
    registration of d1. The platform does not check fencing tokens.
    """
    monkeypatch.setattr(duties, "BOUNDS", Bounds(fencing_checked=False))
    core, stale = StoreCore(), {0}
    d1 = Daemon(core, 1, stale)
    await until(lambda: "gateway/daemons/d1" in core.items)
    lease_id = core.items["gateway/daemons/d1"].lease_id
    value = msgspec.json.encode(HolderEntry("d0", 0, 5))
    core.write([Precondition(HOLDER_KEY, 0)], [Put(HOLDER_KEY, value, lease_id)])
    await asyncio.sleep(30.0)
    taken = d1.holder.fencing_token() is not None
    await d1.stop()
    assert taken
