"""Whether a renewal that is answered after a restore of the store lets a cut-off holder act on.

The platform does not check fencing tokens here, so nobody refuses the calls of one of two holders.
"""

from __future__ import annotations

import asyncio

import pytest

from godwitpath_standin.gateway.store_core import StoreCore
from test.test_gateway_duties import Daemon, boot_clock
from test.test_gateway_restore_schedules import until
from test.test_gateway_two_holders import (
    fencing_not_checked,
    restore_and_give_lease_away,
    watch_holders,
)

__all__ = ["boot_clock", "fencing_not_checked"]


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock", "fencing_not_checked")
class TestLateRenewals:
    @pytest.mark.parametrize("renewed_after_s", [0.1, 0.6, 1.1])
    async def test_a_renewal_after_a_restore_does_not_let_a_cut_off_holder_act_beside_the_next(
        self, renewed_after_s: float
    ) -> None:
        """The restored store gives the identifier of the holder's lease to another client."""
        core, stale = StoreCore(), set[int]()
        copy, last_id = core.snapshot(), core._last_lease_id
        d0 = Daemon(core, 0, stale)
        await until(lambda: d0.holder.fencing_token() is not None)
        d1 = Daemon(core, 1, stale)
        await asyncio.sleep(3.0)
        renewals = core.calls["renew"]
        await until(lambda: core.calls["renew"] > renewals)
        # Until the watch hears of the restore by the response to the renewal.
        d0.store.faults.watches_silent = True
        await asyncio.sleep(1.2 - renewed_after_s)
        restore_and_give_lease_away(core, copy, last_id, d0.holder._lease_id)
        valid_until_s = d0.holder._valid_until_s
        await until(lambda: d0.holder._valid_until_s != valid_until_s or not d0.holder._token)
        d0.store.faults.down = True
        assert await watch_holders([d0, d1]) == (0.0, [1])
