"""Tests of the limits on their requests that engines state, with daemons as processes."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from godwitpath_standin.gateway.caller import ClientResponse, ask
from godwitpath_standin.gateway.engine import EngineStandin, Fault
from godwitpath_standin.gateway.limit_rule import LimitedArrival, exceeded_windows
from godwitpath_standin.soak.callers import Balancer
from godwitpath_standin.soak.environment import SoakEnvironment
from godwitpath_standin.soak.run import wait_until

READY_S = 30.0


@dataclass(slots=True)
class LimitedFleet:
    """Daemons and engines under a steady load.

    :ivar daemon_by_request: daemon that received each request
    :ivar responses: responses by request id
    """

    environment: SoakEnvironment
    daemon_by_request: dict[bytes, str] = field(default_factory=dict)
    responses: dict[str, ClientResponse] = field(default_factory=dict)

    def engines(self, service: str) -> list[EngineStandin]:
        """Return the engines of a service."""
        positions = self.environment.positions
        return [position.engine for position in positions if position.service == service]

    def limited_arrivals(self, engine: EngineStandin) -> list[LimitedArrival]:
        """Return the requests that an engine got while it stated its present limit."""
        return [
            LimitedArrival(
                self.daemon_by_request[arrival.request_id], arrival.at_s, arrival.answered_at_s
            )
            for arrival in engine.arrivals
            if arrival.limit == engine.limit
        ]

    async def load(self, target: str, per_s: float, for_s: float, key: str = "key-of-hule") -> None:
        """Send requests at a steady rate to one daemon after another, and await the responses."""
        async with asyncio.TaskGroup() as group:
            for number in range(int(per_s * for_s)):
                daemon = self.environment.daemons[number % len(self.environment.daemons)]
                request_id = f"{target.strip('/').replace('/', '-')}-{len(self.daemon_by_request)}"
                self.daemon_by_request[request_id.encode()] = daemon.name
                group.create_task(self._ask(daemon.caller_port, target, request_id, key))
                await asyncio.sleep(1 / per_s)

    async def _ask(self, port: int, target: str, request_id: str, key: str) -> None:
        self.responses[request_id] = await ask(port, target, request_id=request_id, key=key)

    def log(self) -> list[dict[str, Any]]:
        """Return the log lines of all daemons so far."""
        paths = self.environment.folder.glob("*.log")
        return [json.loads(line) for path in paths for line in path.read_text().splitlines()]


@asynccontextmanager
async def limited_fleet(folder: Path, daemons: int = 4) -> AsyncIterator[LimitedFleet]:
    """Run daemons as processes, with two engines for each service."""
    async with AsyncExitStack() as stack:
        environment = SoakEnvironment(random.Random(1), folder, stack)
        await environment.start(daemons, 2)
        balancer = Balancer(environment.daemons)
        polling = asyncio.create_task(balancer.run())
        stack.callback(polling.cancel)
        await wait_until(lambda: len(balancer.ready()) == daemons, READY_S)
        await asyncio.sleep(2.0)
        yield LimitedFleet(environment)


class TestLimitOfAnEngine:
    async def test_an_engine_gets_no_more_requests_than_its_limit_from_all_daemons(
        self, tmp_path: Path
    ) -> None:
        async with limited_fleet(tmp_path) as fleet:
            limited, other = fleet.engines("desk")
            await fleet.load("/read/x", per_s=30, for_s=1.0)
            limited.limit = "1"
            await fleet.load("/read/x", per_s=30, for_s=9.0)
            exceeded = list(exceeded_windows(fleet.limited_arrivals(limited), 1.0))
            assert [str(window) for window in exceeded] == []
            statuses = {response.status for response in fleet.responses.values()}
            assert statuses == {200}
            assert len(other.arrivals) > 200

    @pytest.mark.parametrize("limit", ["0", "0.5", "6"])
    async def test_streams_that_break_and_resume_stay_within_the_limit(
        self, tmp_path: Path, limit: str
    ) -> None:
        async with limited_fleet(tmp_path, daemons=3) as fleet:
            limited, other = fleet.engines("lm")
            for engine in (limited, other):
                engine.events, engine.event_s = 6, 0.01
                engine.script.extend([Fault.NONE, Fault.RESET_MID_STREAM, Fault.SHED] * 200)
            limited.limit = limit
            await fleet.load("/stream/digest/x", per_s=25, for_s=9.0)
            exceeded = exceeded_windows(fleet.limited_arrivals(limited), float(limit))
            assert [str(window) for window in exceeded] == []

    async def test_an_engine_gets_its_load_again_after_its_limit_ended(
        self, tmp_path: Path
    ) -> None:
        async with limited_fleet(tmp_path, daemons=3) as fleet:
            limited, _ = fleet.engines("desk")
            limited.limit = "1"
            await fleet.load("/read/x", per_s=30, for_s=3.0)
            limited.limit = ""
            await fleet.load("/read/x", per_s=30, for_s=3.0)
            before = len(limited.arrivals)
            await fleet.load("/read/x", per_s=30, for_s=3.0)
            assert len(limited.arrivals) - before >= 20

    async def test_requests_beyond_all_limits_are_refused_at_once_and_explained(
        self, tmp_path: Path
    ) -> None:
        async with limited_fleet(tmp_path, daemons=3) as fleet:
            engines = fleet.engines("desk")
            for engine in engines:
                engine.limit = "2"
            await fleet.load("/read/x", per_s=20, for_s=8.0)
            refused = {
                request_id: response
                for request_id, response in fleet.responses.items()
                if response.status == 503
            }
            served = [each for each in fleet.responses.values() if each.status == 200]
            assert len(refused) + len(served) == len(fleet.responses)
            assert len(served) >= 0.7 * 4 * 7
            ran = {run.request_id.decode() for engine in engines for run in engine.runs}
            assert not ran & refused.keys()
            assert {response.body for response in refused.values()} == {
                b'{"error":"engines_limited","ran":"no"}'
            }
            # Callers that return as they were told come at most as fast as the engines take them.
            returns_s = sorted(float(each.headers["retry-after"]) for each in refused.values())
            assert returns_s[0] >= 0.25
            assert returns_s[-1] >= 4.0
            last = list(refused)[-1]
            lines = [line for line in fleet.log() if line.get("request") == last]
            assert {"own_answer", "request_ended"} <= {line["message_type"] for line in lines}
            kinds = {line["message_type"] for line in fleet.log()}
            assert {"engine_limit", "send_held_back"} <= kinds

    async def test_the_limit_goes_on_to_the_caller_like_any_other_header(
        self, tmp_path: Path
    ) -> None:
        async with limited_fleet(tmp_path, daemons=1) as fleet:
            for engine in fleet.engines("desk"):
                engine.limit = "7"
            await fleet.load("/read/x", per_s=5, for_s=1.0)
            limits = {response.headers.get("server-limit") for response in fleet.responses.values()}
            assert limits == {"7"}
