"""Whether two daemons hold the duties at once when the store comes back from an older copy.

The platform does not check fencing tokens here, so nobody refuses the calls of one of them.
"""

from __future__ import annotations

import asyncio

import pytest

import test.test_gateway_duties as duties
from godwitpath.gateway.settings import Bounds
from godwitpath_standin.gateway.store_core import StoreCore, StoreSnapshot
from test.test_gateway_duties import Daemon, boot_clock, holder_indexes
from test.test_gateway_restore_schedules import until

__all__ = ["boot_clock"]


@pytest.fixture
def fencing_not_checked(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the daemons of a test run where the platform does not check fencing tokens."""
    monkeypatch.setattr(duties, "BOUNDS", Bounds(fencing_checked=False))


def restore_and_give_lease_away(
    core: StoreCore, copy: StoreSnapshot, last_lease_id: int, lease_id: int
) -> None:
    """Restore the store, which then gives the identifier of a lease to another client.

    :param last_lease_id: identifier that the store gave out last before the copy
    """
    core.restore(copy)
    core._last_lease_id = last_lease_id
    while core._last_lease_id < lease_id:
        core.grant(60.0)


async def watch_holders(daemons: list[Daemon]) -> tuple[float, list[int]]:
    """Watch two daemons for 25 s, then stop them.

    :returns: for how many seconds both held the duties, and who holds them in the end
    """
    both_s = 0.0
    for _ in range(2500):
        await asyncio.sleep(0.01)
        if len(holder_indexes(daemons)) == 2:
            both_s += 0.01
    holders = holder_indexes(daemons)
    for each in daemons:
        await each.stop()
    return both_s, holders


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock", "fencing_not_checked")
class TestTwoHolders:
    @pytest.mark.parametrize("cut_off", [False, True])
    async def test_a_holder_whose_key_a_restore_lost_has_no_successor_while_it_may_act(
        self, cut_off: bool
    ) -> None:
        core, stale = StoreCore(), set[int]()
        copy = core.snapshot()
        d0 = Daemon(core, 0, stale)
        await until(lambda: d0.holder.fencing_token() is not None)
        d1 = Daemon(core, 1, stale)
        await asyncio.sleep(3.0)
        d0.store.faults.down = cut_off
        core.restore(copy)
        assert await watch_holders([d0, d1]) == (0.0, [1 if cut_off else 0])

    async def test_a_holder_whose_lease_ended_does_not_retake_the_duties_from_a_lost_successor(
        self,
    ) -> None:
        """d0 is cut off, d1 succeeds it and is cut off when a restore brings d0's key back."""
        core, stale = StoreCore(), set[int]()
        d0 = Daemon(core, 0, stale)
        await until(lambda: d0.holder.fencing_token() is not None)
        d1 = Daemon(core, 1, stale)
        await asyncio.sleep(3.0)
        copy = core.snapshot()
        d0.store.faults.down = True
        await until(lambda: d1.holder.fencing_token() is not None)
        await asyncio.sleep(1.0)
        d1.store.faults.down = True
        core.restore(copy)
        d0.store.faults.down = False
        assert await watch_holders([d0, d1]) == (0.0, [0])

    async def test_a_daemon_that_starts_after_a_restore_holds_nothing_beside_a_cut_off_holder(
        self,
    ) -> None:
        core, stale = StoreCore(), set[int]()
        copy = core.snapshot()
        d0 = Daemon(core, 0, stale)
        await until(lambda: d0.holder.fencing_token() is not None)
        await asyncio.sleep(3.0)
        d0.store.faults.down = True
        core.restore(copy)
        assert await watch_holders([d0, Daemon(core, 1, stale)]) == (0.0, [1])

    async def test_a_daemon_that_saw_no_holder_before_a_restore_takes_no_duties_in_the_later_era(
        self,
    ) -> None:
        """Its own write is the first to reach the restored store, since its watch is silent."""
        core, stale = StoreCore(), set[int]()
        copy = core.snapshot()
        d1 = Daemon(core, 1, stale)
        await until(lambda: d1.holder.store_era is not None)
        d1.store.faults.watches_silent = True
        core.put("other", b"")
        d0 = Daemon(core, 0, stale)
        await d1.holder.release()
        d1.holder._released = False
        await until(lambda: d0.holder.fencing_token() is not None)
        assert d1.holder.fencing_token() is None
        await asyncio.sleep(8.0)
        assert holder_indexes([d0, d1]) == [0]
        d0.store.faults.down = True
        core.restore(copy)
        assert await watch_holders([d0, d1]) == (0.0, [1])

    async def test_a_holder_whose_watch_fell_silent_does_not_go_on_under_anothers_lease(
        self,
    ) -> None:
        """A restored store gives the identifier of the holder's lease to another client."""
        core, stale = StoreCore(), set[int]()
        copy, last_id = core.snapshot(), core._last_lease_id
        d0 = Daemon(core, 0, stale)
        await until(lambda: d0.holder.fencing_token() is not None)
        d1 = Daemon(core, 1, stale)
        await asyncio.sleep(3.0)
        d0.store.faults.watches_silent = True
        await asyncio.sleep(0.2)
        restore_and_give_lease_away(core, copy, last_id, d0.holder._lease_id)
        d0.store.faults.watches_silent = False
        assert await watch_holders([d0, d1]) == (0.0, [0])
