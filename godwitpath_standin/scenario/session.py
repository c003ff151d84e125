"""The state of a running scenario: the fleet, loads in the background and calls made."""

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
"""Longest time that a call of a scenario may take."""

STORE_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 1_048_576


class ScenarioFailed(AssertionError):
    """An expectation did not hold, or a step could not be done."""


@dataclass(slots=True, frozen=True)
class CallResult:
    """What one caller got for one call.

    :ivar status: HTTP status, 0 when the connection was lost
    :ivar ran: what the answer says about the call having run
    """

    status: int
    ran: str
    body: bytes = b""
    retry_after_s: float = 0.0


@dataclass(slots=True)
class Session:
    """What steps share.

    :ivar without: mechanism that the entries leave out, empty for none
    :ivar transcript: lines of the session, free of times and random identifiers
    """

    stack: AsyncExitStack
    seed: int = 1
    without: str = ""
    transcript: list[str] = field(default_factory=list)
    loads: dict[str, asyncio.Task[LoadResult]] = field(default_factory=dict)
    calls: dict[str, Call] = field(default_factory=dict)
    results: dict[str, list[CallResult]] = field(default_factory=dict)
    client: HttpClient = field(default_factory=HttpClient)
    stopped: set[str] = field(default_factory=set)
    started: Fleet | None = None

    @property
    def fleet(self) -> Fleet:
        """The running deployment.

        :raises ScenarioFailed: none was started
        """
        if self.started is None:
            raise ScenarioFailed("no fleet was started")
        return self.started

    def say(self, text: str) -> None:
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
            return fleet.service()
        return fleet.kv if target.kind == "store" else fleet.platform

    def balanced_urls(self) -> list[str]:
        """Return the entries that a balancer would send callers to."""
        fleet = self.fleet
        numbers = range(1, len(fleet.entries) + 1)
        return [
            fleet.caller_url(number)
            for number in numbers
            if fleet.entry(number).running and fleet.entry(number).name not in self.stopped
        ]

    def start_load(self, name: str, load: Load) -> None:
        """Run a load in the background."""
        self.loads[name] = asyncio.create_task(load.run())

    async def load_result(self, name: str, within_s: float) -> LoadResult:
        """Return the result of a load.

        :raises ScenarioFailed: there is no such load, or it does not end in time
        """
        task = self.loads.get(name)
        if task is None:
            raise ScenarioFailed(f"there is no load {name}")
        try:
            return await asyncio.wait_for(asyncio.shield(task), within_s or None)
        except TimeoutError as error:
            raise ScenarioFailed(f"load {name} did not end within {within_s} s") from error

    async def call(self, call: Call, entry: int) -> CallResult:
        """Make a call through one entry."""
        fleet = self.fleet
        service = fleet.deployment.plain_service
        api_key = next(iter(fleet.deployment.api_keys(service).values()))
        headers = [("content-type", "application/json"), ("authorization", f"Bearer {api_key}")]
        headers.append(("idempotency-key", call.key))
        body = json.dumps({"key": call.key}).encode() if call.method != "GET" else b""
        url = f"{fleet.caller_url(entry)}/services/{service}{call.path}"
        try:
            answer, content = await self.client.call(
                call.method,
                url,
                headers,
                body,
                timeout_s=CALL_TIMEOUT_S,
                max_bytes=MAX_ANSWER_BYTES,
            )
        except (NotSent, AnswerLost):
            return CallResult(0, "unknown")
        return CallResult(
            answer.status, _ran(answer.status, content), content, answer.retry_after_s
        )

    async def instances_of_zone(self, zone: str) -> list[str]:
        """Return the entries and upstreams of an availability zone."""
        fleet = self.fleet
        names = [process.name for process in [*fleet.entries, *fleet.engines]]
        return [name for name in names if fleet.zone_of(name) == zone]

    def store(self) -> HttpKeyValueStore:
        """Return a client of the key-value service."""
        return HttpKeyValueStore(self.fleet.url("kv"), STORE_TIMEOUT_S)


def _ran(status: int, content: bytes) -> str:
    if status < 400:
        return "yes"
    try:
        error: Any = json.loads(content).get("error", {})
    except ValueError:
        return "unknown"
    return str(error.get("ran", "unknown")) if isinstance(error, dict) else "unknown"
