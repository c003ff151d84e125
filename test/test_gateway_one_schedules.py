"""Whether one daemon decides at a time where daemons hear different others and clocks are set anew.

A model of the duties on the paused clock, with faults that the other models of usage reports lack:
zones are cut from one another pair by pair, clocks of machines jump and are corrected by the peers,
the store is restored from before the first window or while every daemon starts, the platform's
answers come after the lease, and a holder is cut off from the store or from the cloud API alone.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Mapping
from itertools import combinations
from random import Random

import pytest

import test.usage_model as usage_model
from godwitpath.gateway.cloud import CloudRefused, CloudUncertain, FencingToken
from godwitpath.gateway.settings import Bounds
from godwitpath.gateway.usage import agreed_correction_s
from test.test_gateway_duties import boot_clock
from test.test_gateway_usage_wide import KeptCopies, ReusingCore, WideCloud
from test.usage_model import ModelDaemon, UsageModel
from test.usage_model_parts import LoopWallClock

__all__ = ["boot_clock"]


class SlowCloud(WideCloud):
    """Cloud API that some daemons cannot reach, or whose answers reach them seconds later.

    :ivar unreachable: names of the daemons whose calls do not arrive
    :ivar answer_delays_s: time until the answers arrive, by name of the daemon
    """

    def __init__(self, rng: Random, fencing_checked: bool) -> None:
        super().__init__(rng, fencing_checked)
        self.unreachable: set[str] = set()
        self.answer_delays_s: dict[str, float] = {}

    async def report_usage(
        self, fencing_token: FencingToken, window: int, requests: Mapping[str, int]
    ) -> None:
        name, _, _ = fencing_token.holder.partition("/")
        if name in self.unreachable:
            await asyncio.sleep(self._rng.choice([0.0, 2.0]))
            raise CloudRefused("cut off")
        await super().report_usage(fencing_token, window, requests)
        if name in self.answer_delays_s:
            await asyncio.sleep(self.answer_delays_s[name])
            if self._rng.random() < 0.5:
                raise CloudUncertain("answer lost")


class PartedDaemon(ModelDaemon):
    """A daemon that hears what the cuts between its zone and the others let through.

    :ivar zone: number of its availability zone
    """

    def __init__(self, model: PartedModel, index: int) -> None:
        super().__init__(model, index)
        self.zone = index % model.zones
        self.clock = LoopWallClock(model.machine_offsets_s[index])
        self._usage.clock = self.clock  # type: ignore[assignment]
        self._model = model
        self.holder._report_age_s = self._report_age_s
        model.cloud.thawed[self.name] = self.store.thawed

    def _report_age_s(self, name: str, incarnation: int) -> float | None:
        """As :meth:`PeerView.report_age_s`, from what the daemon's zone hears."""
        now_s = asyncio.get_running_loop().time()
        if name == self.name:
            return 0.0 if incarnation == self.incarnation else float("inf")
        entry = self.members.entries.get(name)
        if entry is not None and entry.incarnation != incarnation:
            return float("inf")
        heard = self._model.heard_s[self.zone]
        others = [each for key, each in self.members.entries.items() if key != name]
        reporting = sum(heard.get(each.incarnation, -9.0) >= now_s - 1.0 for each in others)
        if 2 * reporting < len(others):
            return 0.0
        heard_at_s = heard.get(incarnation)
        return None if heard_at_s is None else now_s - heard_at_s


class PartedModel(UsageModel):
    """A deployment of several zones under these faults beside those of the wide model.

    :param zones: number of availability zones
    :param offset_s: largest difference to the true time to which a machine's clock jumps; the
        processes that run ignore the jump
    :ivar heard_s: time at which each incarnation was last heard, by the zone that heard it
    """

    cloud: SlowCloud

    def __init__(
        self,
        seed: int,
        daemons: int,
        zones: int,
        offset_s: float = 0.0,
        fencing_checked: bool = True,
        restoring: bool = True,
    ) -> None:
        super().__init__(seed, 0, fencing_checked, wide=True, overlapping=True, restoring=restoring)
        self.zones = zones
        self.core = ReusingCore()
        self.core.reuses_leases = bool(seed % 2)
        self.bounds = Bounds(fencing_checked=fencing_checked, usage_window_s=usage_model.WINDOW_S)
        self.cloud = SlowCloud(Random(seed + 1), fencing_checked)
        self.cut_zones: set[tuple[int, int]] = set()
        self.heard_s: dict[int, dict[int, float]] = defaultdict(dict)
        self.offset_s = offset_s
        self.machine_offsets_s = [self.rng.uniform(-0.3, 0.3) for _ in range(daemons)]
        self._copies = KeptCopies(maxlen=24)
        self._first_copy = self.core.snapshot()
        # Held while daemons are killed and started, so that none runs on outside of the list.
        self._starting = asyncio.Lock()
        self.daemons = [PartedDaemon(self, index) for index in range(daemons)]

    async def _hear(self) -> None:
        while True:
            now_s = self._loop.time()
            for each in self.daemons:
                assert isinstance(each, PartedDaemon)
                if each.muted_until_s > now_s:
                    continue
                for zone in range(self.zones):
                    if (min(zone, each.zone), max(zone, each.zone)) not in self.cut_zones:
                        self.heard_s[zone][each.incarnation] = now_s
            self._correct_clocks()
            await asyncio.sleep(0.4)

    def _correct_clocks(self) -> None:
        """Correct each clock as its daemon does: by its zone, and at the holder by all it hears."""
        now_s = self._loop.time()
        for each in self.daemons:
            assert isinstance(each, PartedDaemon)
            if not each.store.thawed.is_set():
                continue
            heard = self.heard_s[each.zone]
            holds = each.holder.fencing_token() is not None
            offsets_s = [
                other.clock.offset_s - each.clock.offset_s
                for other in self.daemons
                if other is not each
                and isinstance(other, PartedDaemon)
                and (holds or other.zone == each.zone)
                and heard.get(other.incarnation, -9.0) >= now_s - 1.0
            ]
            correction_s = agreed_correction_s(offsets_s)
            if abs(correction_s) > 0.5:
                each.clock.offset_s += correction_s

    def _wide_faults(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            *super()._wide_faults(),
            self._part_zones,
            self._part_zones,
            self._cut_holder_from_store,
            self._cut_holder_from_cloud,
            self._delay_answers,
            self._jump_clock,
            self._restore_from_before_the_first_window,
            self._restore_while_all_start,
        ]

    def _holder(self) -> ModelDaemon:
        holders = [each for each in self.daemons if each.holder.fencing_token() is not None]
        return self.rng.choice(holders or self.daemons)

    async def _part_zones(self) -> None:
        pairs = list(combinations(range(self.zones), 2))
        cut = set(self.rng.sample(pairs, self.rng.randint(1, len(pairs)))) if pairs else set()
        self.cut_zones |= cut
        await asyncio.sleep(self.rng.uniform(1.5, 9.0))
        self.cut_zones -= cut

    async def _cut_holder_from_store(self) -> None:
        holder = self._holder()
        holder.store.faults.down = True
        await asyncio.sleep(self.rng.uniform(2.0, 10.0))
        holder.store.faults.down = False

    async def _cut_holder_from_cloud(self) -> None:
        name = self._holder().name
        self.cloud.unreachable.add(name)
        await asyncio.sleep(self.rng.uniform(2.0, 15.0))
        self.cloud.unreachable.discard(name)

    async def _delay_answers(self) -> None:
        """Let the answers to the holder arrive around or after the end of its lease."""
        name = self._holder().name
        self.cloud.answer_delays_s[name] = self.rng.uniform(2.0, 12.0)
        await asyncio.sleep(self.rng.uniform(3.0, 12.0))
        self.cloud.answer_delays_s.pop(name, None)

    async def _jump_clock(self) -> None:
        """Set one machine's clock anew, and back later; its next process starts on it."""
        index = self.rng.randrange(len(self.daemons))
        before_s = self.machine_offsets_s[index]
        self.machine_offsets_s[index] = self.rng.uniform(-self.offset_s, self.offset_s)
        if self.rng.random() < 0.5:
            await self._replace(self.daemons[index])
        await asyncio.sleep(self.rng.uniform(2.0, 20.0))
        self.machine_offsets_s[index] = before_s

    async def _restore_from_before_the_first_window(self) -> None:
        self.core.restore(self._first_copy)
        self.restores += 1

    async def _replace(self, daemon: ModelDaemon) -> None:
        async with self._starting:
            await super()._replace(self.daemons[daemon.index])

    async def _kill_all_and_restore(self) -> None:
        async with self._starting:
            await super()._kill_all_and_restore()

    async def _restore_while_all_start(self) -> None:
        async with self._starting:
            for each in list(self.daemons):
                await each.kill()
            self.daemons = [PartedDaemon(self, each.index) for each in self.daemons]
        await asyncio.sleep(self.rng.choice([0.0, 0.05, 0.2, 0.6, 1.5]))
        self.core.restore(self.rng.choice([*self._copies, self._first_copy]))
        self.restores += 1

    def overdue_windows(self) -> int:
        """Return how many windows have ended since the last one that was reported."""
        now_window = int((1000.0 + self._loop.time()) // usage_model.WINDOW_S)
        return now_window - 1 - max(self.cloud.usage, default=0)


@pytest.mark.looptime
@pytest.mark.usefixtures("boot_clock")
@pytest.mark.parametrize(
    ("daemons", "fencing_checked", "seed"),
    [(4, True, 0), (4, False, 1), (12, True, 2)],
)
async def test_no_window_is_reported_twice_where_daemons_hear_different_others(
    daemons: int, fencing_checked: bool, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(usage_model, "ModelDaemon", PartedDaemon)
    model = PartedModel(seed, daemons, min(6, daemons // 2), 1.2, fencing_checked)
    await model.run(length_s=50.0, mean_gap_s=2.5)
    assert not model.violations(), model.events
    # A report is due 10 s after the window's end.
    assert model.overdue_windows() <= 3, model.events
    assert model.restores, model.events
