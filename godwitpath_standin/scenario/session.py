"""State of a running scenario: the fleet, the background loads and the calls with their results."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

from godwitpath.adapters.http_client import AnswerLost, HttpClient, NotSent
from godwitpath.adapters.kv_http import HttpKeyValueStore
from godwitpath_standin.fleet import Fleet
from godwitpath_standin.load import Load
from godwitpath_standin.load_result import LoadResult
from godwitpath_standin.process import Process
from godwitpath_standin.scenario.steps import Call, Target

CALL_TIMEOUT_S = 20.0
"""Timeout of a call of a scenario."""

STORE_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 1_048_576


class ScenarioFailed(AssertionError):
    """Raised when an expectation does not hold or a step cannot be performed."""


@dataclass(slots=True, frozen=True)
class CallResult:
    """Result of a call for one caller.

    :ivar status: HTTP status, 0 if the connection was lost
    :ivar ran: whether the call ran according to the response: `yes`, `no` or `unknown`
    :ivar retry_after_s: delay before a retry that the response asks for, 0 for none
    """

    status: int
    ran: str
    body: bytes = b""
    retry_after_s: float = 0.0


@dataclass(slots=True)
class Session:
    """State shared by the steps of a scenario.

    :ivar disabled_mechanism: mechanism that the entries disable, empty for none
    :ivar transcript: lines of the session, without times and random identifiers
    :ivar loads: background loads by name
    :ivar calls: calls by name
    :ivar results: results of the latest run of each call, by name
    :ivar out_of_rotation: names of instances that the load balancer does not use
    """

    stack: AsyncExitStack
    seed: int = 1
    disabled_mechanism: str = ""
    transcript: list[str] = field(default_factory=list)
    loads: dict[str, asyncio.Task[LoadResult]] = field(default_factory=dict)
    calls: dict[str, Call] = field(default_factory=dict)
    results: dict[str, list[CallResult]] = field(default_factory=dict)
    client: HttpClient = field(default_factory=HttpClient)
    out_of_rotation: set[str] = field(default_factory=set)
    started_fleet: Fleet | None = None

    @property
    def fleet(self) -> Fleet:
        """Running fleet.

        :raises ScenarioFailed: no fleet was started
        """
        if self.started_fleet is None:
            raise ScenarioFailed("no fleet was started")
        return self.started_fleet

    def record(self, text: str) -> None:
        """Add an observation to the transcript."""
        self.transcript.append(f"  {text}")

    def process(self, target: Target) -> Process:
        """Return the process of a target."""
        fleet = self.fleet
        if target.kind == "entry":
            return fleet.entry(target.number)
        if target.kind == "engine":
            return fleet.engine(target.service, target.number)
        if target.kind == "service":
            return fleet.plain_service_process()
        return fleet.kv if target.kind == "store" else fleet.platform

    def balanced_urls(self) -> list[str]:
        """Return the URLs of the running entries that the load balancer uses."""
        fleet = self.fleet
        numbers = range(1, len(fleet.entries) + 1)
        return [
            fleet.caller_url(number)
            for number in numbers
            if fleet.entry(number).running and fleet.entry(number).name not in self.out_of_rotation
        ]

    def start_load(self, name: str, load: Load) -> None:
        """Run a load in the background."""
        self.loads[name] = asyncio.create_task(load.run())

    async def load_result(self, name: str, within_s: float) -> LoadResult:
        """Return the result of a load.

        :param within_s: timeout, 0 to wait without a limit
        :raises ScenarioFailed: the load does not exist, or it does not end in time
        """
        task = self.loads.get(name)
        if task is None:
            raise ScenarioFailed(f"there is no load {name}")
        try:
            return await asyncio.wait_for(asyncio.shield(task), within_s or None)
        except TimeoutError as error:
            raise ScenarioFailed(f"load {name} did not end within {within_s} s") from error

    async def call(self, call: Call, entry: int) -> CallResult:
        """Send a call through one entry."""
        fleet = self.fleet
        service = fleet.deployment.plain_service
        api_key = next(iter(fleet.deployment.api_keys(service).values()))
        headers = [("content-type", "application/json"), ("authorization", f"Bearer {api_key}")]
        headers.append(("idempotency-key", call.key))
        body = json.dumps({"key": call.key}).encode() if call.method != "GET" else b""
        url = f"{fleet.caller_url(entry)}/services/{service}{call.path}"
        try:
            response, content = await self.client.call(
                call.method,
                url,
                headers,
                body,
                timeout_s=CALL_TIMEOUT_S,
                max_bytes=MAX_RESPONSE_BYTES,
            )
        except (NotSent, AnswerLost):
            return CallResult(0, "unknown")
        return CallResult(
            response.status, _ran(response.status, content), content, response.retry_after_s
        )

    async def instances_of_zone(self, zone: str) -> list[str]:
        """Return the names of the entries and upstreams in an availability zone."""
        fleet = self.fleet
        names = [process.name for process in [*fleet.entries, *fleet.engines]]
        return [name for name in names if fleet.zone_of(name) == zone]

    def store(self) -> HttpKeyValueStore:
        """Create a client of the key-value store."""
        return HttpKeyValueStore(self.fleet.url("kv"), STORE_TIMEOUT_S)


def _ran(status: int, content: bytes) -> str:
    if status < 400:
        return "yes"
    try:
        error: Any = json.loads(content).get("error", {})
    except ValueError:
        return "unknown"
    return str(error.get("ran", "unknown")) if isinstance(error, dict) else "unknown"
