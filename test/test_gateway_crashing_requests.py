"""Tests of requests that crash every engine that runs them, with daemons as processes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from godwitpath_standin.gateway.caller import ClientResponse, ask
from godwitpath_standin.gateway.crash_rule import TOLERATED_SENDS, crash_times_s, late_sends
from godwitpath_standin.gateway.engine import EngineStandin, RequestCopy
from godwitpath_standin.soak.environment import SoakEnvironment
from godwitpath_standin.soak.faults import CrashEngine, CutStore, KillDaemons
from godwitpath_standin.soak.injection import inject
from godwitpath_standin.soak.proxy import Way
from test.crash_fleet import crash_environment, until_all_ready

ORDINARY_PER_S = 20.0
"""Rate of the requests that crash no engine."""

METHODS = {"read": "GET", "book": "POST", "stream": "POST"}


@dataclass(slots=True)
class SentCopy:
    """A request of the test's callers.

    :ivar ordinary: whether it crashes no engine
    """

    copy: RequestCopy
    ordinary: bool
    sent_at_s: float
    response: ClientResponse | None = None


@dataclass(slots=True)
class CopyFleet:
    """Daemons and engines under a steady load, in which copies of one request crash engines.

    :ivar kind: `read`, `book` or `stream`
    """

    environment: SoakEnvironment
    kind: str
    sent: list[SentCopy] = field(default_factory=list)
    rng: random.Random = field(default_factory=lambda: random.Random(7))

    @property
    def crashing(self) -> RequestCopy:
        """The request that crashes engines."""
        return RequestCopy(f"/{self.kind}/item-0".encode(), b"hule", self._body(0))

    def engines(self) -> list[EngineStandin]:
        """Return all engines of the request's service that were ever started."""
        service = "lm" if self.kind == "stream" else "desk"
        return [engine for name, engine in self.environment.history.engines if name == service]

    async def load(
        self, for_s: float, copies_per_s: float, ordinary_per_s: float = ORDINARY_PER_S
    ) -> None:
        """Send copies and ordinary requests to random daemons, and await the responses."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_steadily(group, for_s, ordinary_per_s, ordinary=True))
            group.create_task(self._send_steadily(group, for_s, copies_per_s, ordinary=False))

    async def _send_steadily(
        self, group: asyncio.TaskGroup, for_s: float, per_s: float, *, ordinary: bool
    ) -> None:
        for _ in range(int(for_s * per_s)):
            copy = self._ordinary_request() if ordinary else self.crashing
            sent = SentCopy(copy, ordinary, asyncio.get_running_loop().time())
            self.sent.append(sent)
            group.create_task(self._ask(sent, f"r{len(self.sent)}"))
            await asyncio.sleep(1 / per_s)

    def _ordinary_request(self) -> RequestCopy:
        """Return a request, a third of which share all but one field with the crashing one."""
        crashing = self.crashing
        item = self.rng.randrange(1, 12)
        other = RequestCopy(f"/{self.kind}/item-{item}".encode(), b"fida", self._body(item))
        return self.rng.choice(
            [
                other,
                other,
                RequestCopy(crashing.target, crashing.account, other.body),
                RequestCopy(crashing.target, other.account, crashing.body),
                RequestCopy(other.target, crashing.account, crashing.body),
                RequestCopy(other.target, other.account, crashing.body),
            ]
        )

    def _body(self, item: int) -> bytes:
        return b'{"item": %d}' % item

    async def _ask(self, sent: SentCopy, request_id: str) -> None:
        headers = {}
        if self.kind == "stream":
            headers = {
                "X-Model": "m",
                "X-Token-Count": "300,60",
                "X-Prompt-Prefix": f"{request_id.encode().hex()}:300",
            }
        try:
            sent.response = await ask(
                self.rng.choice(self.environment.daemons).caller_port,
                sent.copy.target.decode(),
                method=METHODS[self.kind],
                key=self.environment.keys[sent.copy.account.decode()],
                body=sent.copy.body,
                request_id=request_id,
                headers=headers,
            )
        except (OSError, TimeoutError):
            # The response stays None.
            return

    def served_share(self, since_s: float) -> float:
        """Return the share of the ordinary requests since a time that were served."""
        ordinary = [each for each in self.sent if each.ordinary and each.sent_at_s >= since_s]
        return sum(
            each.response is not None and each.response.status == 200 for each in ordinary
        ) / len(ordinary)


@asynccontextmanager
async def copy_fleet(folder: Path, kind: str, daemons: int = 4) -> AsyncIterator[CopyFleet]:
    """Run daemons as processes before five engines of each service."""
    async with crash_environment(folder, daemons, 5) as environment:
        fleet = CopyFleet(environment, kind)
        environment.crashing_requests.add(fleet.crashing)
        yield fleet


def copies_since(fleet: CopyFleet, since_s: float) -> int:
    """Return the number of copies that reached engines after a time."""
    return sum(
        arrival.copy == fleet.crashing and arrival.at_s > since_s
        for engine in fleet.engines()
        for arrival in engine.arrivals
    )


class TestCrashingRequest:
    @pytest.mark.parametrize("kind", sorted(METHODS))
    async def test_copies_of_a_request_that_crashes_engines_stop_reaching_them(
        self, tmp_path: Path, kind: str
    ) -> None:
        async with copy_fleet(tmp_path, kind) as fleet:
            await fleet.load(for_s=16.0, copies_per_s=1.5)
            crashes_s = crash_times_s(fleet.engines(), fleet.crashing)
            assert crashes_s
            late = late_sends(fleet.engines(), fleet.crashing)
            assert len(late) <= TOLERATED_SENDS, f"{len(late)} sent late, {len(crashes_s)} crashed"
            assert fleet.served_share(since_s=crashes_s[:3][-1] + 8.0) >= 0.95

    async def test_a_daemon_that_starts_and_one_without_the_store_refuse_copies(
        self, tmp_path: Path
    ) -> None:
        async with copy_fleet(tmp_path, "read") as fleet:
            environment = fleet.environment
            first, cut, *_ = environment.daemons
            cut_store = CutStore(cut.name, tuple(Way), 12.0)
            cutting = asyncio.create_task(inject(cut_store, environment))
            await fleet.load(for_s=7.0, copies_per_s=1.5)
            now_s = asyncio.get_running_loop().time()
            await inject(KillDaemons((first.name,)), environment)
            await until_all_ready(environment)
            await fleet.load(for_s=3.0, copies_per_s=10)
            assert copies_since(fleet, now_s) == 0
            await cutting

    async def test_a_fleet_that_was_replaced_as_a_whole_refuses_copies(
        self, tmp_path: Path
    ) -> None:
        async with copy_fleet(tmp_path, "book") as fleet:
            await fleet.load(for_s=9.0, copies_per_s=1.5)
            now_s = asyncio.get_running_loop().time()
            names = tuple(daemon.name for daemon in fleet.environment.daemons)
            await inject(KillDaemons(names), fleet.environment)
            await until_all_ready(fleet.environment)
            ready_at_s = asyncio.get_running_loop().time()
            await fleet.load(for_s=3.0, copies_per_s=10)
            assert copies_since(fleet, now_s) == 0
            assert fleet.served_share(since_s=ready_at_s) >= 0.95

    async def test_the_caller_is_told_at_once_that_a_copy_has_not_run(self, tmp_path: Path) -> None:
        async with copy_fleet(tmp_path, "read") as fleet:
            await fleet.load(for_s=7.0, copies_per_s=1.5)
            started_at_s = asyncio.get_running_loop().time()
            await fleet.load(for_s=1.0, copies_per_s=10, ordinary_per_s=1)
            refused = [
                each.response
                for each in fleet.sent
                if not each.ordinary and each.sent_at_s >= started_at_s
            ]
            assert len(refused) == 10
            for response in refused:
                assert response is not None
                assert response.status == 503
                assert response.body == b'{"error":"request_quarantined","ran":"no"}'
            assert asyncio.get_running_loop().time() - started_at_s < 1.5


class TestOtherCrashes:
    async def test_popular_requests_beside_engines_that_end_for_another_reason_are_served(
        self, tmp_path: Path
    ) -> None:
        async with crash_environment(tmp_path, daemons=4, engines=5) as environment:
            fleet = CopyFleet(environment, "read")
            load = asyncio.create_task(fleet.load(for_s=12.0, copies_per_s=10))
            positions = [
                number
                for number, each in enumerate(environment.positions)
                if each.service == "desk"
            ]
            async with asyncio.TaskGroup() as group:
                for wave in range(6):
                    for position in (positions[wave % 5], positions[(wave + 2) % 5]):
                        group.create_task(inject(CrashEngine(position, 0.0), environment))
                    await asyncio.sleep(1.5)
            await load
            reasons = {
                each.response.body
                for each in fleet.sent
                if each.response is not None and each.response.status == 503
            }
            assert not any(b"quarantined" in reason for reason in reasons)
