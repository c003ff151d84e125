"""Whether one daemon decides at a time where holders stand still and zones hear one way only.

A model of the duties on the paused clock, beside the faults of the parted model: the holder stands
still for 8 to 28 s before or after a write or a report, or is not heard, again and again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence

import pytest

import test.usage_model as usage_model
from godwitpath.gateway.cloud import CloudRefused, FencingToken
from godwitpath.gateway.store import Precondition, Put
from godwitpath.gateway.usage_store import OPEN_KEY, PIN_KEY, TERM_KEY
from test.test_gateway_duties import boot_clock
from test.test_gateway_one_schedules import PartedDaemon, PartedModel, SlowCloud
from test.usage_model import UsageModel

__all__ = ["boot_clock"]

STEPS = ("before pin", "after pin", "before statement", "before counts", "before report", "after")
"""Steps of a holder at which it may stand still."""


class StandingDaemon(PartedDaemon):
    """A daemon that stands still at a step of a pin or a report.

    :ivar stands_at: the step at which it will, None for none
    """

    def __init__(self, model: UsageModel, index: int) -> None:
        super().__init__(model, index)
        self.stands_at: str | None = None
        transact = self.store.transact

        async def transact_standing(
            conditions: Sequence[Precondition],
            puts: Sequence[Put] = (),
            removals: Sequence[str] = (),
        ) -> int:
            keys = {put.key for put in puts}
            pins = PIN_KEY in keys
            step = "before pin" if pins else "before counts" if OPEN_KEY in keys else ""
            await self.stand("before statement" if keys == {TERM_KEY} else step)
            revision = await transact(conditions, puts, removals)
            await self.stand("after pin" if pins else "")
            return revision

        self.store.transact = transact_standing  # type: ignore[method-assign]

    async def stand(self, step: str) -> None:
        """Stand still if it has to at this step, and wait while it does."""
        if step and step == self.stands_at:
            self.stands_at = None
            for_s = self._model.rng.uniform(8.0, 28.0)
            loop = asyncio.get_running_loop()
            self.muted_until_s = loop.time() + for_s
            self.store.thawed.clear()
            loop.call_later(for_s, self.store.thawed.set)
        await self.store.thawed.wait()


class StandingCloud(SlowCloud):
    """Cloud API that gets the calls of a daemon that stands still once it goes on."""

    daemons: dict[str, StandingDaemon]

    async def report_usage(
        self, fencing_token: FencingToken, window: int, requests: Mapping[str, int]
    ) -> None:
        name, _, _ = fencing_token.holder.partition("/")
        await self.daemons[name].stand("before report")
        if not fencing_token.is_valid():
            # As the client of the platform's cloud API, which checks just before it sends.
            raise CloudRefused("the permission for the call ended before it was sent")
        await super().report_usage(fencing_token, window, requests)
        await self.daemons[name].stand("after")


class StandingModel(PartedModel):
    """A deployment in which holders stand still, change in series, or are heard one way only.

    :ivar deaf: zones that do not hear a zone: pairs of the zone that sends and the one that should
        hear it
    """

    cloud: StandingCloud

    def __init__(self, seed: int, daemons: int, fencing_checked: bool, restoring: bool) -> None:
        self.deaf: set[tuple[int, int]] = set()
        super().__init__(seed, daemons, daemons // 2, 1.2, fencing_checked, restoring)
        self.cloud.__class__ = StandingCloud
        self._name_daemons()

    def _name_daemons(self) -> None:
        self.cloud.daemons = {
            each.name: each for each in self.daemons if isinstance(each, StandingDaemon)
        }

    async def _hear(self) -> None:
        while True:
            self._name_daemons()
            now_s = self._loop.time()
            for each in self.daemons:
                assert isinstance(each, StandingDaemon)
                for zone in range(self.zones):
                    cut = (min(zone, each.zone), max(zone, each.zone)) in self.cut_zones
                    if (
                        not cut
                        and (each.zone, zone) not in self.deaf
                        and now_s > each.muted_until_s
                    ):
                        self.heard_s[zone][each.incarnation] = now_s
            self._correct_clocks()
            await asyncio.sleep(0.1)

    def _wide_faults(self) -> list[Callable[[], Awaitable[None]]]:
        own = [self._stand_still, self._stand_still, self._hear_one_way, self._change_in_series]
        return [*super()._wide_faults(), *own, *own]

    async def _stand_still(self) -> None:
        holder = self._holder()
        assert isinstance(holder, StandingDaemon)
        holder.stands_at = self.rng.choice(STEPS)

    async def _hear_one_way(self) -> None:
        """Let no zone, or a single one, hear the holder's zone, which hears all."""
        holder = self._holder()
        assert isinstance(holder, StandingDaemon)
        pairs = {(holder.zone, zone) for zone in range(self.zones) if zone != holder.zone}
        if self.rng.random() < 0.5:
            pairs.pop()
        self.deaf |= pairs
        await asyncio.sleep(self.rng.uniform(2.0, 28.0))
        self.deaf -= pairs

    async def _change_in_series(self) -> None:
        for _ in range(self.rng.randint(2, 5)):
            holder = self._holder()
            holder.muted_until_s = self._loop.time() + self.rng.uniform(1.0, 6.0)
            await asyncio.sleep(self.rng.uniform(0.5, 5.0))


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
@pytest.mark.parametrize(
    ("daemons", "fencing_checked", "restoring", "seed"),
    [(4, True, True, 0), (4, False, True, 1), (6, True, False, 2), (6, False, False, 3)],
)
async def test_no_window_is_reported_twice_where_holders_stand_still_in_series(
    daemons: int,
    fencing_checked: bool,
    restoring: bool,
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(usage_model, "ModelDaemon", StandingDaemon)
    monkeypatch.setattr("test.test_gateway_one_schedules.PartedDaemon", StandingDaemon)
    monkeypatch.setattr("test.test_gateway_one_schedules.SlowCloud", StandingCloud)
    model = StandingModel(seed, daemons, fencing_checked, restoring)
    await model.run(length_s=60.0, mean_gap_s=2.0)
    assert model.cloud.usage, model.events
    assert not model.violations(), model.events
