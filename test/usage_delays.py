"""Model of a deployment whose platform does not answer some calls, and carries them out late.

It measures which usage windows are accepted by the time at which their reports are due.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from random import Random

import test.usage_model as usage_model
from godwitpath.gateway.cloud import CloudUncertain, FencedOff, FencingToken
from godwitpath.gateway.store import Precondition, Put
from godwitpath.ports.kv import StoreUncertain
from godwitpath_standin.gateway.cloud import NO_RESPONSE_S, FakeCloud
from test.usage_model import ModelDaemon, UsageModel
from test.usage_model_parts import LateCloud, RawStore

STORE_NO_RESPONSE_S = 1.5
"""Time after which a write to the store without a response fails."""


class SilentCloud(LateCloud):
    """Cloud API some of whose calls get no response and are carried out 2 to 12 s later."""

    async def report_usage(
        self, fencing_token: FencingToken, window: int, requests: Mapping[str, int]
    ) -> None:
        self.holders[fencing_token.number].add(fencing_token.holder)
        if self._rng.random() >= self.late_share:
            await FakeCloud.report_usage(self, fencing_token, window, requests)
            self.prompt_calls.append(self.calls[-1])
            return
        late = asyncio.create_task(self._report_late(fencing_token, window, dict(requests)))
        self._late.add(late)
        late.add_done_callback(self._late.discard)
        await asyncio.sleep(NO_RESPONSE_S)
        raise CloudUncertain("no answer")

    async def _report_late(
        self, fencing_token: FencingToken, window: int, requests: Mapping[str, int]
    ) -> None:
        await asyncio.sleep(self._rng.uniform(2.0, 12.0))
        try:
            await FakeCloud.report_usage(self, fencing_token, window, requests)
        except FencedOff:
            return


class SilentStore(RawStore):
    """Store some of whose writes get no response and take effect 1 to 6 s later."""

    silent_share = 0.0

    async def transact(
        self,
        conditions: Sequence[Precondition],
        puts: Sequence[Put] = (),
        removals: Sequence[str] = (),
    ) -> int:
        if self.rng.random() >= self.silent_share:
            return await super().transact(conditions, puts, removals)
        raw = [Precondition(each.key, each.revision) for each in conditions]
        loop = asyncio.get_running_loop()
        loop.call_later(self.rng.uniform(1.0, 6.0), self._write_late, raw, puts, removals)
        await asyncio.sleep(STORE_NO_RESPONSE_S)
        raise StoreUncertain("no answer")


class SilentDaemon(ModelDaemon):
    """A daemon before the silent store."""

    def __init__(self, model: UsageModel, index: int) -> None:
        super().__init__(model, index)
        self.store.__class__ = SilentStore


class SilentModel(UsageModel):
    """A deployment that is not restored, before a platform that is partly silent.

    :param calls: share of the calls to the cloud API without a response
    :param writes: share of the writes to the store without a response
    """

    def __init__(self, seed: int, daemons: int, calls: float, writes: float) -> None:
        super().__init__(seed, 0, restoring=False)
        self.cloud = SilentCloud(Random(seed + 1))
        self.calls, self.writes = calls, writes
        self.daemons = [SilentDaemon(self, index) for index in range(daemons)]

    async def play(self, for_s: float, holder_faults: bool = False) -> tuple[list[int], list[int]]:
        """Play a deployment under the silent platform.

        :param holder_faults: whether holders are killed, frozen and cut off from the store in turn
        :returns: the windows whose reports came due, and those of them that were accepted in time
        """
        background = [asyncio.create_task(self._hear())]
        await asyncio.sleep(15.0)
        started_at_s = self._loop.time()
        self.cloud.late_share = self.calls
        for each in self.daemons:
            assert isinstance(each.store, SilentStore)
            each.store.silent_share = self.writes
        if holder_faults:
            background.append(asyncio.create_task(self._harm_holders()))
        await asyncio.sleep(for_s)
        ended_at_s = self._loop.time()
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        for each in self.daemons:
            await each.kill()
        return self._judge(started_at_s, ended_at_s)

    async def _harm_holders(self) -> None:
        while True:
            for fault in (self._kill_holder, self._freeze, self._cut_holder):
                await asyncio.sleep(self.rng.uniform(2.0, 6.0))
                self.events.append((round(self._loop.time(), 3), fault.__name__))
                await fault()

    async def _kill_holder(self) -> None:
        await super()._kill_holder()
        for each in self.daemons:
            assert isinstance(each.store, SilentStore)
            each.store.silent_share = self.writes

    async def _cut_holder(self) -> None:
        holders = [each for each in self.daemons if each.holder.fencing_token() is not None]
        daemon = self.rng.choice(holders or self.daemons)
        daemon.store.faults.down = True
        await asyncio.sleep(self.rng.uniform(2.0, 5.0))
        daemon.store.faults.down = False

    def _judge(self, started_at_s: float, ended_at_s: float) -> tuple[list[int], list[int]]:
        window_s, late_s = usage_model.WINDOW_S, self.bounds.usage_late_s
        accepted_at_s: dict[int, float] = {}
        for report in self.cloud.reports:
            accepted_at_s.setdefault(report.window, report.call.at_s)
        first = int((1000.0 + started_at_s) // window_s)
        last = int((1000.0 + ended_at_s - late_s) // window_s) - 1
        due = list(range(first, last + 1))
        in_time = [
            window
            for window in due
            if window in accepted_at_s
            and accepted_at_s[window] <= (window + 1) * window_s + late_s - 1000.0
        ]
        return due, in_time
