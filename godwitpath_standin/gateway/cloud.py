"""In-memory cloud API of the platform: records accepted calls and checks fencing tokens."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from godwitpath.gateway.cloud import CloudRefused, CloudUncertain, FencedOff, FencingToken

NO_RESPONSE_S = 2.0
"""Time after which a call without a response fails."""


@dataclass(slots=True)
class FakeCloud:
    """Cloud API with switchable faults.

    :ivar usage: distinct accepted reports of request counts, by usage window
    :ivar orders: accepted orders of engines, each with service, zone, reclaimable and count
    :ivar calls: duty holder and fencing token of each call that passed the fencing check
    :ivar zones_without_reclaimable: availability zones without reclaimable engines
    :ivar zones_without_response: availability zones for which orders get no response
    :ivar down: whether calls are refused
    :ivar responses_to_lose: number of next calls that take effect and get no response
    :ivar on_order: called with each accepted order
    """

    usage: dict[int, list[dict[str, int]]] = field(default_factory=dict)
    orders: list[tuple[str, str, bool, int]] = field(default_factory=list)
    calls: list[FencingToken] = field(default_factory=list)
    zones_without_reclaimable: set[str] = field(default_factory=set)
    zones_without_response: set[str] = field(default_factory=set)
    down: bool = False
    responses_to_lose: int = 0
    on_order: Callable[[str, str, bool, int], None] | None = None
    _highest_token: int = 0

    async def report_usage(
        self, fencing_token: FencingToken, window: int, requests: Mapping[str, int]
    ) -> None:
        await self._call(fencing_token)
        reports = self.usage.setdefault(window, [])
        if dict(requests) not in reports:
            reports.append(dict(requests))
        self._lose_response()

    async def order_engines(
        self, fencing_token: FencingToken, service: str, zone: str, count: int, reclaimable: bool
    ) -> bool:
        await self._call(fencing_token)
        if zone in self.zones_without_response:
            await asyncio.sleep(NO_RESPONSE_S)
            raise CloudUncertain("no answer")
        if reclaimable and zone in self.zones_without_reclaimable:
            return False
        self.orders.append((service, zone, reclaimable, count))
        if self.on_order is not None:
            self.on_order(service, zone, reclaimable, count)
        self._lose_response()
        return True

    async def _call(self, fencing_token: FencingToken) -> None:
        await asyncio.sleep(0.005)
        if self.down:
            raise CloudRefused("down")
        if fencing_token.number < self._highest_token:
            raise FencedOff("older token")
        self._highest_token = fencing_token.number
        self.calls.append(fencing_token)

    def _lose_response(self) -> None:
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise CloudUncertain("answer lost")
