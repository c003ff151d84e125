"""Simulation of daemons that share the limits of engines, with the real code of permits.

Messages between daemons are delayed and sometimes lost; daemons are restarted, paused and cut off
from the others. Time is the event loop's, which `looptime` advances.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any

from godwitpath.gateway.engine_limits import EngineLimits
from godwitpath.gateway.engines import EngineEntry, EngineRegistry, EngineState
from godwitpath.gateway.grantors import Grantors
from godwitpath.gateway.mutual_hearing import HearingStatements
from godwitpath.gateway.peer_messages import PermitReply, PermitRequest
from godwitpath.gateway.peer_state import STATEMENT_S
from godwitpath.gateway.peer_view import REPORT_TIMEOUT_S
from godwitpath.gateway.peers import REPORT_S, URGENT_REPORT_S
from godwitpath.gateway.permits import SendPermits
from godwitpath.gateway.wire_fields import EngineResponseFields
from godwitpath.ports.engine import Address
from godwitpath_standin.gateway.limit_rule import LimitedArrival

ZONES = "abc"
SAME_ZONE_DELAY_S = 0.001
REGION_DELAY_S = 0.02
LOSS = 0.01
RUN_S = 0.2
"""Time from the arrival of a request at an engine until its response."""

EXCUSED_S = 4.0
"""Time after a disruption of a daemon in which its requests do not count."""


@dataclass(slots=True)
class ModelEngine:
    """An engine that states a limit.

    :ivar limit_per_s: the limit that it states, None for none
    :ivar arrivals: requests that reached it, with the number of the daemon's incarnation
    """

    entry: EngineEntry
    limit_per_s: float | None = None
    arrivals: list[LimitedArrival] = field(default_factory=list)


class ModelDaemon:
    """A daemon with the real code of limits, grantors and permits.

    :ivar cut: whether its messages to and from other daemons are lost
    :ivar unheard: whether its reports to other daemons are lost; permits are not
    :ivar deaf: whether messages of other daemons to it are lost; its requests still count
    :ivar paused_until_s: loop time until which it does nothing
    :ivar excused_until_s: loop time until which its requests do not count
    """

    def __init__(self, fleet: ModelFleet, number: int) -> None:
        self.name = f"d{number:03d}"
        self.zone = ZONES[number % len(ZONES)]
        self.cut = False
        self.deaf = False
        self.unheard = False
        self.paused_until_s = 0.0
        self.excused_until_s = 0.0
        self.incarnation = 0
        self._fleet = fleet
        self.start()

    def start(self) -> None:
        """Start a new incarnation, which knows nothing of the one before."""
        fleet = self._fleet
        loop = asyncio.get_running_loop()
        self.incarnation += 1
        self.heard_at_s: dict[str, float] = {}
        self.report_soon = asyncio.Event()
        self.engines = EngineRegistry()
        for engine in fleet.engines:
            self.engines.put(engine.entry)
        self.limits = EngineLimits(self.report_soon)
        self.statements = HearingStatements(STATEMENT_S)
        self.stated: frozenset[str] = frozenset()
        view: Any = SimpleNamespace(
            reporting=self._reporting,
            known_daemons=lambda: set(fleet.names),
            statements=self.statements,
        )
        members: Any = SimpleNamespace(
            secret=b"s",
            watcher=SimpleNamespace(last_response_at_s=loop.time()),
            entries={name: None for name in fleet.names if name != self.name},
            zone_of=lambda name: ZONES[int(name[1:]) % len(ZONES)],
        )
        grantors = Grantors(self.name, self.zone, members, view, loop.time)
        self.permits = SendPermits(
            self.name, self.engines, self.limits, grantors, loop.time, fleet.rng.random
        )
        self.permits.send = self._send_request

    async def request(self, engine: ModelEngine) -> bool:
        """Send a request to an engine if there is a permit."""
        loop = asyncio.get_running_loop()
        incarnation = self.incarnation
        view = self.engines.get(engine.entry.engine_id)
        assert view is not None
        if self.paused or (permit := await self.permits.acquire(view, 1, "r")) is None:
            return False
        if self.paused or not self.permits.covers(permit, engine.entry):
            return False
        sent_at_s = loop.time()
        await asyncio.sleep(self._fleet.delay_s(self.zone, engine.entry.zone))
        limit_per_s = engine.limit_per_s
        excused = sent_at_s < self.excused_until_s or self.cut
        engine.arrivals.append(
            LimitedArrival(
                "excused" if excused else f"{self.name}/{incarnation}", loop.time(), loop.time()
            )
        )
        await asyncio.sleep(RUN_S + self._fleet.delay_s(self.zone, engine.entry.zone))
        if self.incarnation == incarnation and not self.paused:
            response = EngineResponseFields(True, False, False, True, None, limit_per_s)
            self.limits.note_response(engine.entry, response, 200, sent_at_s)
        return True

    @property
    def paused(self) -> bool:
        """Whether the daemon does nothing at the moment."""
        return asyncio.get_running_loop().time() < self.paused_until_s

    async def report(self) -> None:
        """Report to all daemons until cancelled."""
        rng = self._fleet.rng
        while True:
            await asyncio.sleep(URGENT_REPORT_S)
            try:
                async with asyncio.timeout(REPORT_S * (0.9 + 0.2 * rng.random()) - URGENT_REPORT_S):
                    await self.report_soon.wait()
            except TimeoutError:
                pass
            if self.paused:
                continue
            self.report_soon.clear()
            self.permits.refresh()
            reported = self.limits.reported()
            heard = frozenset(self._reporting())
            self.stated = self.stated if heard == self.stated else heard
            for other in self._fleet.daemons:
                lost = self.cut or self.unheard or other.cut or other.deaf or other.paused
                lost = lost or rng.random() < LOSS
                if other is not self and not lost:
                    other.hear(self.name, reported, self.stated)

    def hear(self, sender: str, reported: Any, heard: frozenset[str]) -> None:
        """Apply the report of another daemon."""
        self.heard_at_s[sender] = now_s = asyncio.get_running_loop().time()
        self.statements.note(sender, heard, now_s)
        if reported:
            self.limits.apply_report(sender, reported)

    def _reporting(self) -> set[str]:
        since_s = asyncio.get_running_loop().time() - REPORT_TIMEOUT_S
        return {name for name, at_s in self.heard_at_s.items() if at_s >= since_s}

    def _send_request(self, request: PermitRequest, grantor: str) -> None:
        other = self._fleet.daemons[int(grantor[1:])]
        self._fleet.deliver(self, other, other.handle_permit_request, request, self)

    def handle_permit_request(self, request: PermitRequest, sender: ModelDaemon) -> None:
        """Reply to a request for a permit."""
        reply = self.permits.handle_request(request)
        self._fleet.deliver(self, sender, sender.handle_reply, reply)

    def handle_reply(self, reply: PermitReply) -> None:
        """Apply the reply to this daemon's request for a permit."""
        self.permits.handle_reply("grantor", reply)


class ModelFleet:
    """Daemons before limited engines, under an uneven load.

    :param demand_per_s: requests per second of all daemons together, for each engine
    """

    def __init__(self, daemons: int, engines: int, demand_per_s: float, seed: int) -> None:
        self.rng = Random(seed)
        self.names = [f"d{number:03d}" for number in range(daemons)]
        self.engines = [
            ModelEngine(
                EngineEntry(f"e{n}", "lm", Address("h", n), ZONES[n % 3], EngineState.READY, 64, 1)
            )
            for n in range(engines)
        ]
        self.daemons = [ModelDaemon(self, number) for number in range(daemons)]
        self._weights = [self.rng.lognormvariate(0.0, 1.0) for _ in self.daemons]
        self._demand_per_s = demand_per_s
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(self, for_s: float) -> None:
        """Send requests for a time."""
        loop = asyncio.get_running_loop()
        if not self._tasks:
            for daemon in self.daemons:
                self._start(daemon.report())
            await asyncio.sleep(3.0)
        end_s = loop.time() + for_s
        while loop.time() < end_s:
            await asyncio.sleep(self.rng.expovariate(self._demand_per_s * len(self.engines)))
            [daemon] = self.rng.choices(self.daemons, self._weights)
            self._start(daemon.request(self.rng.choice(self.engines)))

    def restart(self, daemon: ModelDaemon) -> None:
        """Restart a daemon."""
        daemon.start()
        daemon.excused_until_s = asyncio.get_running_loop().time() + EXCUSED_S

    def pause(self, daemon: ModelDaemon, for_s: float) -> None:
        """Pause a daemon."""
        now_s = asyncio.get_running_loop().time()
        daemon.paused_until_s = now_s + for_s
        daemon.excused_until_s = now_s + for_s + EXCUSED_S

    def delay_s(self, zone: str, other: str) -> float:
        """Return the time of a message from one zone to another."""
        return SAME_ZONE_DELAY_S if zone == other else REGION_DELAY_S

    def deliver(
        self, sender: ModelDaemon, receiver: ModelDaemon, handler: Any, *arguments: Any
    ) -> None:
        """Deliver a message after its delay, unless it is lost.

        A paused daemon handles the messages of its pause afterwards.
        """
        if sender.cut or receiver.cut or receiver.deaf or self.rng.random() < LOSS:
            return
        loop = asyncio.get_running_loop()
        at_s = max(loop.time() + self.delay_s(sender.zone, receiver.zone), receiver.paused_until_s)
        loop.call_at(at_s, handler, *arguments)

    def _start(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)

    async def stop(self) -> None:
        """Cancel all tasks, after those that failed have raised their errors."""
        for task in self._tasks:
            if task.done():
                task.result()
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
