"""Whether two daemons of a modelled deployment hold the duties at once beside restores.

The platform does not check fencing tokens here, so nobody refuses the calls of one of them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from test.test_gateway_duties import boot_clock
from test.usage_model import UsageModel

__all__ = ["boot_clock"]


class StartingModel(UsageModel):
    """A deployment in which daemons also start after a restore, beside a holder that is cut off."""

    def _wide_faults(self) -> list[Callable[[], Awaitable[None]]]:
        return [*super()._wide_faults(), *[self._restore_beside_a_cut_holder] * 6]

    async def _restore_beside_a_cut_holder(self) -> None:
        """Restore the oldest copy, and start all daemons anew but the holder, which is cut off."""
        holders = [each for each in self.daemons if each.holder.fencing_token() is not None]
        for each in holders:
            each.store.faults.down = True
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.core.restore(self._copies[0])
        self.restores += 1
        for each in [each for each in self.daemons if each not in holders]:
            await self._replace(each)
        await asyncio.sleep(self.rng.uniform(2.0, 8.0))
        for each in holders:
            each.store.faults.down = False


async def watch_holders(model: UsageModel, found: list[tuple[float, list[str]]]) -> None:
    """Note each time at which more than one daemon holds the duties."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(0.02)
        names = [each.name for each in model.daemons if each.holder.fencing_token() is not None]
        if len(names) > 1:
            found.append((round(loop.time(), 2), names))


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
@pytest.mark.parametrize("wide", [False, True])
@pytest.mark.parametrize("seed", range(3))
async def test_no_two_daemons_hold_the_duties_at_once_beside_restores(
    seed: int, wide: bool
) -> None:
    model = StartingModel(seed, 3, fencing_checked=False, wide=wide, overlapping=True)
    found: list[tuple[float, list[str]]] = []
    watching = asyncio.create_task(watch_holders(model, found))
    await asyncio.sleep(8.0)
    await model.run(length_s=60.0, mean_gap_s=2.0)
    watching.cancel()
    both_s = len(found) * 0.02
    assert not found, (both_s, found[0], found[-1], model.events)
