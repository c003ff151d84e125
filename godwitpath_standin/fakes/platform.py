"""Fakes of the cloud API, the instance list and the weight store over one core."""

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
    """Return a core on the running loop's clock."""
    return PlatformCore(lambda: asyncio.get_running_loop().time(), list_lag_s)


class FakePlatform(Cloud, InstanceList, WeightStore):
    """One entry's view of the platform; several fakes may share a core.

    :ivar outage: whether calls fail
    :ivar latency_s: time of each call
    """

    def __init__(self, core: PlatformCore | None = None, latency_s: float = 0.0) -> None:
        self.core = core or loop_platform()
        self.outage = False
        self.latency_s = latency_s

    async def offers(self) -> list[Offer]:
        await self._reach()
        return self.core.offers()

    async def acquire(self, offer: Offer, purpose: str, request_token: str) -> Instance:
        await self._reach()
        return self.core.acquire(offer, purpose, request_token)

    async def release(self, instance_id: str) -> None:
        await self._reach()
        self.core.release(instance_id)

    async def notices(self) -> AsyncIterator[ReclaimNotice]:
        await self._reach()
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
        await self._reach()
        return self.core.instances()

    async def versions(self, model: str) -> list[WeightVersion]:
        await self._reach()
        return self.core.versions(model)

    async def _reach(self) -> None:
        await asyncio.sleep(self.latency_s)
        if self.outage:
            raise PlatformUnavailable("the platform is down")
