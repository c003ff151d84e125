"""Older copies of the store of a soak, and its restores from them."""

from __future__ import annotations

import asyncio
from collections import deque

from godwitpath_standin.gateway.store_core import StoreCore, StoreSnapshot

COPY_INTERVAL_S = 0.5
"""Time between two copies of the store."""

KEPT_S = 12.0
"""Time for which copies are kept."""


class StoreCopies:
    """Copies of the store's last seconds.

    A copy from before a restore stays, so that a second restore may bring back what the first one
    lost.
    """

    __slots__ = ("_copies", "_core")

    def __init__(self, core: StoreCore) -> None:
        self._core = core
        self._copies: deque[tuple[float, StoreSnapshot]] = deque()

    async def run(self) -> None:
        """Copy the store again and again until cancelled."""
        while True:
            self.take()
            await asyncio.sleep(COPY_INTERVAL_S)

    def take(self) -> None:
        """Copy the store, and drop the copies that are too old."""
        now_s = asyncio.get_running_loop().time()
        self._copies.append((now_s, self._core.snapshot()))
        while self._copies[0][0] < now_s - KEPT_S:
            self._copies.popleft()

    def of_age(self, age_s: float) -> StoreSnapshot:
        """Return the newest copy of at least an age, or else the oldest one."""
        now_s = asyncio.get_running_loop().time()
        _, found = self._copies[0]
        for at_s, snapshot in self._copies:
            if at_s > now_s - age_s:
                break
            found = snapshot
        return found
