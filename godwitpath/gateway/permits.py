"""Permits to send requests to limited engines, so that all daemons together keep the limits.

A daemon sends to a limited engine only with a permit for that one send, whatever the send is for: a
first send, a retry, a resumed or a moved stream. The engine's grantor, one daemon, grants permits
from a token bucket with the rate of the limit. A permit that is not answered for, lost or unused is
lost: the engine gets fewer requests, never more. Unlimited engines need no permits.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from godwitpath.gateway.engine_limits import EngineLimits
from godwitpath.gateway.engines import Engine, EngineEntry, EngineRegistry, EngineState
from godwitpath.gateway.grantors import Grantors
from godwitpath.gateway.peer_messages import PermitReply, PermitRequest
from godwitpath.gateway.permit_bucket import PermitBucket
from godwitpath.telemetry.decisions import decision

PERMIT_LIFETIME_S = 1.0
"""Time from the request for a permit until it expires: choosing the engine and connecting to it
take less."""

ASK_TIMEOUT_S = 0.15
"""Longest wait for a permit: three round trips between regions."""

MIN_PAUSE_S = 0.1
"""Shortest time after a refusal before a permit of the same engine is requested again."""

MAX_PAUSE_S = 2.0
"""Longest time after a refusal before a permit of the same engine is requested again, so that
permits are not lost for lack of requests."""

PAUSE_PER_DAEMON_S = 0.005
"""Time by which that pause is longer for each daemon, so that a grantor handles at most some
hundred requests for permits per second for each engine."""

MIN_SHARE_OF_LOAD = 0.5
"""Share of an engine's usual load below which a limited engine is replaced by another one."""


@dataclass(slots=True, frozen=True)
class Permit:
    """Permission for one send to an engine.

    :ivar valid_until_s: end of the permission, on the clock of :class:`SendPermits`
    :ivar limited: whether the engine has a limit
    """

    valid_until_s: float
    limited: bool


UNLIMITED = Permit(math.inf, limited=False)
"""Permission to send to an engine without a limit."""


class SendPermits:
    """Requests permits, and grants those for engines that have this daemon as grantor.

    :param clock_s: returns the time on a clock that continues while the machine is suspended
    :param random: returns a random number from 0 to 1
    :ivar send: sends a request for a permit to a daemon
    :ivar outcomes: number of requests for permits by service and outcome
    """

    def __init__(
        self,
        name: str,
        engines: EngineRegistry,
        limits: EngineLimits,
        grantors: Grantors,
        clock_s: Callable[[], float],
        random: Callable[[], float],
    ) -> None:
        self.send: Callable[[PermitRequest, str], None] = lambda request, grantor: None
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self._name = name
        self._engines = engines
        self._limits = limits
        self._grantors = grantors
        self._clock_s = clock_s
        self._random = random
        self._number = 0
        self._resumed_at_s = -math.inf
        self._buckets: dict[tuple[str, int], PermitBucket] = {}
        self._replies: dict[int, asyncio.Future[PermitReply]] = {}
        # Loop time until which no permit is requested, by engine id and priority.
        self._paused_until_s: dict[str, dict[int, float]] = {}

    async def acquire(self, engine: Engine, priority: int, request_id: str) -> Permit | None:
        """Return the permission to send a request to an engine, None if there is none now.

        :param priority: priority of the request, 0 for the most urgent
        """
        entry = engine.entry
        limit = self._limits.limit(entry)
        if limit is None:
            return UNLIMITED
        loop = asyncio.get_running_loop()
        if self._is_paused(entry.engine_id, priority, loop.time()):
            self.outcomes[(entry.service, "paused")] += 1
            return None
        requested_at_s = self._clock_s()
        grantor = self._grantors.grantor(entry)
        if grantor is None:
            wait_s, outcome = MIN_PAUSE_S, "no_grantor"
        elif grantor == self._name:
            wait_s, outcome = self._grant(entry, priority)
        else:
            wait_s, outcome = await self._ask(grantor, entry, priority)
        self.outcomes[(entry.service, outcome)] += 1
        if outcome == "granted":
            return Permit(requested_at_s + PERMIT_LIFETIME_S, limited=True)
        pause_s = self._pause_s(wait_s)
        paused = self._paused_until_s.setdefault(entry.engine_id, {})
        paused[priority] = loop.time() + pause_s
        decision(
            "send_held_back",
            request=request_id,
            engine=entry.engine_id,
            limit_per_s=limit.rate_per_s,
            reason=outcome,
            grantor=grantor,
            pause_s=round(pause_s, 3),
        )
        return None

    def covers(self, permit: Permit, entry: EngineEntry) -> bool:
        """Return whether a permit allows a send to an engine at this moment."""
        if not permit.limited:
            return self._limits.limit(entry) is None
        return self._clock_s() < permit.valid_until_s

    def limit_per_s(self, engine: Engine) -> float | None:
        """Return the limit of an engine in requests per second, None if it has none."""
        limit = self._limits.limit(engine.entry)
        return limit.rate_per_s if limit is not None else None

    def missing_engines(self, service: str, requests_per_s: float) -> int:
        """Return the number of ready engines that take too little of the load to count as engines.

        :param requests_per_s: requests of all daemons to the service
        """
        ready = [
            engine
            for engine in self._engines.all()
            if engine.entry.service == service and engine.entry.state is EngineState.READY
        ]
        usual_per_s = requests_per_s / max(1, len(ready))
        limits_per_s = map(self.limit_per_s, ready)
        return sum(
            limit_per_s is not None and limit_per_s < MIN_SHARE_OF_LOAD * usual_per_s
            for limit_per_s in limits_per_s
        )

    def handle_request(self, request: PermitRequest) -> PermitReply:
        """Return the reply to another daemon's request for a permit."""
        engine = self._engines.get(request.engine_id)
        if engine is None or engine.entry.started_at_ms != request.started_at_ms:
            return PermitReply(request.number, "unknown_engine", MIN_PAUSE_S, {})
        entry = engine.entry
        stated = (request.started_at_ms, request.version, request.rate_per_s)
        self._limits.apply_report(request.name, {request.engine_id: stated})
        wait_s, outcome = self._grant(entry, request.priority)
        known = self._limits.last_known(entry)
        limits = {entry.engine_id: (entry.started_at_ms, known.version, known.rate_per_s)}
        return PermitReply(request.number, outcome, wait_s, limits)

    def handle_reply(self, sender: str, reply: PermitReply) -> None:
        """Apply the reply to a request for a permit; a late reply grants nothing.

        :param sender: name or address of the grantor, for the log
        """
        self._limits.apply_report(sender, reply.limits)
        waiter = self._replies.get(reply.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(reply)

    def refresh(self) -> None:
        """Drop the buckets of engines that have another grantor now.

        To be called at least once a second: see :meth:`Grantors.refresh`.
        """
        self._refresh_grantors()
        for key in list(self._buckets):
            engine = self._engines.get(key[0])
            if (
                engine is None
                or engine.entry.started_at_ms != key[1]
                or self._limits.limit(engine.entry) is None
                or self._grantors.grantor(engine.entry) != self._name
            ):
                del self._buckets[key]
        for engine_id in [each for each in self._paused_until_s if not self._engines.get(each)]:
            del self._paused_until_s[engine_id]

    def _refresh_grantors(self) -> None:
        """Update the reporting daemons, and drop all buckets if this daemon was paused."""
        self._grantors.refresh()
        if self._grantors.resumed_at_s != self._resumed_at_s:
            self._resumed_at_s = self._grantors.resumed_at_s
            self._buckets.clear()

    def _grant(self, entry: EngineEntry, priority: int) -> tuple[float, str]:
        """Grant a permit if one is left.

        :returns: time until one is likely to be left in seconds, and the outcome
        """
        self._refresh_grantors()
        limit = self._limits.limit(entry)
        if limit is None or limit.rate_per_s is None:
            return 0.0, "granted"
        key = (entry.engine_id, entry.started_at_ms)
        if self._grantors.grantor(entry) != self._name:
            self._buckets.pop(key, None)
            return MIN_PAUSE_S, "not_grantor"
        now_s = asyncio.get_running_loop().time()
        if not self._grantors.may_grant(entry):
            self._buckets.pop(key, None)
            return MIN_PAUSE_S, "taking_over"
        if key not in self._buckets:
            self._buckets[key] = PermitBucket(now_s)
        wait_s = self._buckets[key].take(limit.rate_per_s, priority, now_s)
        return (wait_s, "refused") if wait_s else (0.0, "granted")

    async def _ask(self, grantor: str, entry: EngineEntry, priority: int) -> tuple[float, str]:
        known = self._limits.last_known(entry)
        # The first number is random, so that no reply to an earlier incarnation matches.
        self._number = self._number + 1 if self._number else int(self._random() * 2**62) + 1
        number = self._number
        request = PermitRequest(
            name=self._name,
            number=number,
            engine_id=entry.engine_id,
            started_at_ms=entry.started_at_ms,
            priority=priority,
            version=known.version,
            rate_per_s=known.rate_per_s,
        )
        waiter = self._replies[number] = asyncio.get_running_loop().create_future()
        try:
            self.send(request, grantor)
            async with asyncio.timeout(ASK_TIMEOUT_S):
                reply = await waiter
        except TimeoutError:
            return MIN_PAUSE_S, "unanswered"
        finally:
            del self._replies[number]
        return reply.wait_s, reply.outcome

    def _pause_s(self, wait_s: float) -> float:
        shortest_s = MIN_PAUSE_S + PAUSE_PER_DAEMON_S * self._grantors.daemons
        jitter = 0.75 + 0.5 * self._random()
        return min(MAX_PAUSE_S, max(shortest_s, wait_s)) * jitter

    def _is_paused(self, engine_id: str, priority: int, now_s: float) -> bool:
        """Return whether permits were lately refused to requests that are at least as urgent."""
        paused = self._paused_until_s.get(engine_id, {})
        return any(
            until_s > now_s and refused_priority <= priority
            for refused_priority, until_s in paused.items()
        )
