"""The bounded queue of admitted calls that wait for room at an engine."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from godwitpath.admission.decide import QueueState
from godwitpath.admission.rate import RateMeter
from godwitpath.errors import GodwitpathError

LEVEL_WAIT_S = (0.0, 4.0, 20.0)
"""How much longer than an interactive call one of each priority level waits at most."""

CAPACITY = 256
"""Most calls that wait."""


class QueueExpired(GodwitpathError):
    """A call waited as long as its deadline allows."""


@dataclass(slots=True, order=True)
class Waiting:
    """A call that waits, ordered by when it is to go.

    :ivar turn_s: arrival plus the extra wait of its level, or its latest start if that is earlier
    :ivar latest_start_s: last moment at which it can start and meet its deadline
    """

    turn_s: float
    number: int
    latest_start_s: float = field(compare=False)
    priority: int = field(compare=False)
    call: Any = field(compare=False, default=None)


class WaitingLine:
    """The order of the queue: interactive, plan, batch, and none of them starves.

    A call of a lower level goes before later arrivals of higher ones once it has waited the
    levels' difference.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self.capacity = capacity
        self._heap: list[Waiting] = []
        self._numbers = itertools.count()
        self._released = RateMeter()

    def __len__(self) -> int:
        return len(self._heap)

    def state(self, priority: int, now_s: float) -> QueueState:
        """Return the queue as a call that arrives now sees it."""
        self._released.roll(now_s)
        turn_s = _turn_s(priority, now_s, float("inf"))
        ahead = sum(1 for waiting in self._heap if waiting.turn_s <= turn_s)
        return QueueState(len(self._heap), ahead, self.capacity, self._released.per_s)

    def add(self, priority: int, max_wait_s: float, now_s: float, call: Any = None) -> Waiting:
        """Add a call; the caller has checked that there is room."""
        latest_s = now_s + max_wait_s
        turn_s = _turn_s(priority, now_s, latest_s)
        waiting = Waiting(turn_s, next(self._numbers), latest_s, priority, call)
        heapq.heappush(self._heap, waiting)
        return waiting

    def first(self) -> Waiting | None:
        """Return the call that goes next."""
        return self._heap[0] if self._heap else None

    def pop(self, now_s: float) -> Waiting:
        """Remove and return the call that goes next, as there is room for it."""
        self._released.add(now_s)
        return heapq.heappop(self._heap)

    def remove(self, waiting: Waiting) -> None:
        """Remove a call that no longer waits."""
        if waiting in self._heap:
            self._heap.remove(waiting)
            heapq.heapify(self._heap)

    def expired(self, now_s: float) -> list[Waiting]:
        """Remove and return the calls that can no longer start in time."""
        gone = [waiting for waiting in self._heap if waiting.latest_start_s < now_s]
        for waiting in gone:
            self.remove(waiting)
        return gone


class AdmissionQueue:
    """The queue of one service at one entry, awaited by the callers' tasks."""

    def __init__(self, capacity: int = CAPACITY) -> None:
        self.line = WaitingLine(capacity)
        self.released = 0
        self.expired = 0

    def state(self, priority: int) -> QueueState:
        """Return the queue as a call that arrives now sees it."""
        return self.line.state(priority, asyncio.get_running_loop().time())

    async def wait(self, priority: int, max_wait_s: float) -> None:
        """Wait for room.

        :raises QueueExpired: there was none in time
        """
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        waiting = self.line.add(priority, max_wait_s, loop.time(), turn)
        try:
            async with asyncio.timeout(max_wait_s):
                await turn
        except TimeoutError as error:
            self.expired += 1
            raise QueueExpired("waited as long as the deadline allows") from error
        finally:
            self.line.remove(waiting)

    def wake(self, fits: Callable[[int], bool], most: int = 1) -> int:
        """Let waiting calls go, first turn first, while there is room.

        :param fits: tells whether a call of a priority has room now
        :param most: calls that go at most; those that went are not in the prediction yet
        :returns: how many went
        """
        went = 0
        while went < most and (first := self.line.first()) is not None and fits(first.priority):
            self.line.pop(asyncio.get_running_loop().time())
            if not first.call.done():
                first.call.set_result(None)
                went += 1
        self.released += went
        return went

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {"waiting": len(self.line), "released": self.released, "expired": self.expired}


def _turn_s(priority: int, now_s: float, latest_s: float) -> float:
    extra_s = LEVEL_WAIT_S[min(priority, len(LEVEL_WAIT_S) - 1)]
    return min(now_s + extra_s, latest_s)
