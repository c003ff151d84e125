"""In-memory cloud API of the platform: records calls and checks fencing tokens."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from godwitpath.gateway.cloud import CloudRefused, CloudUncertain, FencedOff, FencingToken

NO_RESPONSE_S = 2.0
"""Time after which a call without a response fails."""

USAGE_SUBJECT = "usage"
"""Subject of the reports of all usage windows."""


@dataclass(slots=True, frozen=True)
class DutyCall:
    """A call of a duty holder.

    :ivar subject: what the call is about: the usage, or the engines of a service in a zone
    :ivar holder: name of the duty holder
    :ivar token: number of the fencing token
    :ivar at_s: loop time at which the call arrived, or was accepted
    """

    subject: str
    holder: str
    token: int
    at_s: float


@dataclass(slots=True, frozen=True)
class UsageReport:
    """An accepted report of a usage window.

    :ivar counts: number of requests by account
    :ivar call: the call that reported it, with the time at which it was accepted
    """

    window: int
    counts: dict[str, int]
    call: DutyCall

    def __str__(self) -> str:
        return f"{self.counts} by {self.call.holder} with token {self.call.token}"


@dataclass(slots=True)
class FakeCloud:
    """Cloud API with switchable faults.

    :ivar usage: distinct accepted reports of request counts, by usage window
    :ivar reports: all accepted reports of usage in the order in which they were accepted
    :ivar orders: accepted orders of engines, each with service, zone, reclaimable and count
    :ivar arrivals: all calls in the order in which they arrived
    :ivar calls: the calls that passed the fencing check, in the order in which they did
    :ivar zones_without_reclaimable: availability zones without reclaimable engines
    :ivar zones_without_response: availability zones for which orders get no response
    :ivar down: whether calls are refused
    :ivar responses_to_lose: number of next calls that take effect and get no response
    :ivar delays_s: for each of the next calls, which get no response, the time after which it is
        carried out
    :ivar on_order: called with each accepted order
    """

    usage: dict[int, list[dict[str, int]]] = field(default_factory=dict)
    reports: list[UsageReport] = field(default_factory=list)
    orders: list[tuple[str, str, bool, int]] = field(default_factory=list)
    arrivals: list[DutyCall] = field(default_factory=list)
    calls: list[DutyCall] = field(default_factory=list)
    zones_without_reclaimable: set[str] = field(default_factory=set)
    zones_without_response: set[str] = field(default_factory=set)
    down: bool = False
    responses_to_lose: int = 0
    delays_s: deque[float] = field(default_factory=deque)
    on_order: Callable[[str, str, bool, int], None] | None = None
    _highest_tokens: dict[str, int] = field(default_factory=dict)

    async def report_usage(
        self, fencing_token: FencingToken, window: int, requests: Mapping[str, int]
    ) -> None:
        counts = dict(requests)

        def accept(call: DutyCall) -> None:
            self.reports.append(UsageReport(window, counts, call))
            distinct = self.usage.setdefault(window, [])
            if counts not in distinct:
                distinct.append(counts)

        await self._call(USAGE_SUBJECT, fencing_token, accept)
        self._lose_response()

    async def order_engines(
        self, fencing_token: FencingToken, service: str, zone: str, count: int, reclaimable: bool
    ) -> bool:
        available = not reclaimable or zone not in self.zones_without_reclaimable
        responds = zone not in self.zones_without_response

        def accept(_call: DutyCall) -> None:
            if not (available and responds):
                return
            self.orders.append((service, zone, reclaimable, count))
            if self.on_order is not None:
                self.on_order(service, zone, reclaimable, count)

        await self._call(f"engines of {service} in {zone}", fencing_token, accept)
        if not responds:
            await asyncio.sleep(NO_RESPONSE_S)
            raise CloudUncertain("no answer")
        if available:
            self._lose_response()
        return available

    async def _call(
        self, subject: str, fencing_token: FencingToken, accept: Callable[[DutyCall], None]
    ) -> None:
        await asyncio.sleep(0.005)
        loop = asyncio.get_running_loop()
        holder, token = fencing_token.holder, fencing_token.number
        self.arrivals.append(DutyCall(subject, holder, token, loop.time()))
        if self.down:
            raise CloudRefused("down")
        if self.delays_s:
            loop.call_later(self.delays_s.popleft(), self._carry_out, self.arrivals[-1], accept)
            raise CloudUncertain("answer lost, carried out later")
        if not self._carry_out(self.arrivals[-1], accept):
            raise FencedOff("older token")

    def _carry_out(self, arrived: DutyCall, accept: Callable[[DutyCall], None]) -> bool:
        """Carry out a call unless a higher token of its subject was seen."""
        if arrived.token < self._highest_tokens.get(arrived.subject, 0):
            return False
        self._highest_tokens[arrived.subject] = arrived.token
        now_s = asyncio.get_running_loop().time()
        call = DutyCall(arrived.subject, arrived.holder, arrived.token, now_s)
        self.calls.append(call)
        accept(call)
        return True

    def _lose_response(self) -> None:
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise CloudUncertain("answer lost")
