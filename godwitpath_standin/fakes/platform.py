"""In-process fake of the cloud API, the instance list and the weight store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from godwitpath.ports.platform import (
    Cloud,
    Instance,
    InstanceList,
    Offer,
    PlatformUnavailable,
    ReclaimNotice,
    WeightStore,
    WeightVersion,
)
from godwitpath_standin.platform_core import PlatformCore


def loop_platform(list_lag_s: float = 1.0) -> PlatformCore:
    """Return a core on the clock of the running loop.

    :param list_lag_s: delay of changes in the instance list
    """
    return PlatformCore(lambda: asyncio.get_running_loop().time(), list_lag_s)


class FakePlatform(Cloud, InstanceList, WeightStore):
    """A client of the platform; several fakes may share a core.

    :ivar outage: whether calls fail
    :ivar latency_s: duration of each call
    """

    def __init__(self, core: PlatformCore | None = None, latency_s: float = 0.0) -> None:
        self.core = core or loop_platform()
        self.outage = False
        self.latency_s = latency_s

    async def offers(self) -> list[Offer]:
        await self._begin_call()
        return self.core.offers()

    async def acquire(self, offer: Offer, purpose: str, request_token: str) -> Instance:
        await self._begin_call()
        return self.core.acquire(offer, purpose, request_token)

    async def release(self, instance_id: str) -> None:
        await self._begin_call()
        self.core.release(instance_id)

    async def notices(self) -> AsyncIterator[ReclaimNotice]:
        await self._begin_call()
        queue: asyncio.Queue[ReclaimNotice] = asyncio.Queue()
        for notice in self.core.pending_notices():
            queue.put_nowait(notice)
        listener = queue.put_nowait
        self.core.listen(listener)
        try:
            while True:
                yield await queue.get()
        finally:
            self.core.unlisten(listener)

    async def instances(self) -> list[Instance]:
        await self._begin_call()
        return self.core.instances()

    async def versions(self, model: str) -> list[WeightVersion]:
        await self._begin_call()
        return self.core.versions(model)

    async def _begin_call(self) -> None:
        await asyncio.sleep(self.latency_s)
        if self.outage:
            raise PlatformUnavailable("the platform is down")
