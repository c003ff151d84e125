"""Bounded queue of admitted calls that wait for capacity at an engine."""

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

EXTRA_WAIT_S = (0.0, 4.0, 20.0)
"""Time by which a call is dispatched later than an interactive call, by priority level."""

MAX_WAITING_CALLS = 256
"""Most calls in the queue of a service."""


class QueueExpired(GodwitpathError):
    """A call was not released within its longest wait."""


@dataclass(slots=True, order=True)
class WaitingCall:
    """A call in the queue, ordered by its dispatch time.

    :ivar dispatch_at_s: time of arrival plus `EXTRA_WAIT_S` of the priority, at most
        `latest_start_s`; the call with the earliest one is dispatched first
    :ivar sequence: order of arrival, for calls with the same dispatch time
    :ivar latest_start_s: latest start with which the call meets its deadline and target
    :ivar priority: 0 interactive, 1 plan, 2 batch
    :ivar call: object that the user of the queue passed for the call
    """

    dispatch_at_s: float
    sequence: int
    latest_start_s: float = field(compare=False)
    priority: int = field(compare=False)
    call: Any = field(compare=False, default=None)


class CallQueue:
    """Priority queue of calls without starvation.

    A call of a lower priority is dispatched before a call of a higher priority that arrives later
    by more than the difference of their extra waits.
    """

    def __init__(self, capacity: int = MAX_WAITING_CALLS) -> None:
        self.capacity = capacity
        self._heap: list[WaitingCall] = []
        self._sequence = itertools.count()
        self._releases = RateMeter()

    def __len__(self) -> int:
        return len(self._heap)

    def state(self, priority: int, now_s: float) -> QueueState:
        """Return the state of the queue for a call that arrives now."""
        self._releases.advance(now_s)
        dispatch_at_s = _dispatch_at_s(priority, now_s, float("inf"))
        ahead = sum(1 for waiting in self._heap if waiting.dispatch_at_s <= dispatch_at_s)
        return QueueState(len(self._heap), ahead, self.capacity, self._releases.per_s)

    def add(self, priority: int, max_wait_s: float, now_s: float, call: Any = None) -> WaitingCall:
        """Add a call, without a check of the capacity."""
        latest_s = now_s + max_wait_s
        dispatch_at_s = _dispatch_at_s(priority, now_s, latest_s)
        waiting = WaitingCall(dispatch_at_s, next(self._sequence), latest_s, priority, call)
        heapq.heappush(self._heap, waiting)
        return waiting

    def first(self) -> WaitingCall | None:
        """Return the call to dispatch next, None when no call waits."""
        return self._heap[0] if self._heap else None

    def pop(self, now_s: float) -> WaitingCall:
        """Remove and return the next call, and count it as released."""
        self._releases.add(now_s)
        return heapq.heappop(self._heap)

    def remove(self, waiting: WaitingCall) -> None:
        """Remove a call that no longer waits."""
        if waiting in self._heap:
            self._heap.remove(waiting)
            heapq.heapify(self._heap)

    def expired(self, now_s: float) -> list[WaitingCall]:
        """Remove and return the calls that can no longer start in time."""
        expired_calls = [waiting for waiting in self._heap if waiting.latest_start_s < now_s]
        for waiting in expired_calls:
            self.remove(waiting)
        return expired_calls


class AdmissionQueue:
    """Queue of one service at one entry, in which the tasks of the callers wait.

    :ivar call_queue: the queued calls
    :ivar released: number of calls released in time
    :ivar expired: number of calls that were not released within their longest wait
    """

    def __init__(self, capacity: int = MAX_WAITING_CALLS) -> None:
        self.call_queue = CallQueue(capacity)
        self.released = 0
        self.expired = 0

    def state(self, priority: int) -> QueueState:
        """Return the state of the queue for a call that arrives now."""
        return self.call_queue.state(priority, asyncio.get_running_loop().time())

    async def wait(self, priority: int, max_wait_s: float) -> None:
        """Wait until the call is released.

        :raises QueueExpired: the call was not released within `max_wait_s`
        """
        loop = asyncio.get_running_loop()
        released: asyncio.Future[None] = loop.create_future()
        waiting = self.call_queue.add(priority, max_wait_s, loop.time(), released)
        try:
            async with asyncio.timeout(max_wait_s):
                await released
        except TimeoutError as error:
            self.expired += 1
            raise QueueExpired("the call was not released within its longest wait") from error
        finally:
            self.call_queue.remove(waiting)

    def release(self, fits: Callable[[int], bool], limit: int = 1) -> int:
        """Release waiting calls in their order while there is capacity.

        :param fits: returns whether there is capacity for a call of a priority
        :param limit: most calls to release; the prediction does not include released calls yet
        :returns: number of released calls
        """
        released_calls = 0
        while (
            released_calls < limit
            and (first := self.call_queue.first()) is not None
            and fits(first.priority)
        ):
            self.call_queue.pop(asyncio.get_running_loop().time())
            if not first.call.done():
                first.call.set_result(None)
                released_calls += 1
        self.released += released_calls
        return released_calls

    def dump(self) -> dict[str, Any]:
        """Return the content for the state dump."""
        return {"waiting": len(self.call_queue), "released": self.released, "expired": self.expired}


def _dispatch_at_s(priority: int, now_s: float, latest_s: float) -> float:
    extra_s = EXTRA_WAIT_S[min(priority, len(EXTRA_WAIT_S) - 1)]
    return min(now_s + extra_s, latest_s)
