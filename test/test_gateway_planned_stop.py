"""Tests of a planned stop: whatever an engine got is answered before the daemon is gone."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from godwitpath_standin.gateway.caller import ClientResponse, read_response
from godwitpath_standin.gateway.documents import KEY, route
from test.gateway_parts import GatewayEnvironment, gateway_environment

CALLERS = 60

MAX_REQUESTS = 100
"""Number of requests on one connection."""

ROUTES = [
    route("read", "/read/", "idempotent", maxAttempts=2, timeoutMs=15000),
    route("book", "/book/", "non_idempotent", timeoutMs=15000),
    route("plan", "/stream/", "streaming", service="lm", timeoutMs=15000),
]


@dataclass(slots=True)
class SentRequest:
    """A request that a caller has written completely.

    :ivar sent_at_s: loop time at which its last byte was written
    """

    request_id: str
    sent_at_s: float
    response: ClientResponse = field(default_factory=ClientResponse)


@dataclass(slots=True)
class SteadyCallers:
    """Callers that send one request after the other, on kept and on new connections.

    :ivar method: method of their requests
    :ivar target: path of their requests
    """

    environment: GatewayEnvironment
    method: str
    target: str
    sent: list[SentRequest] = field(default_factory=list)
    rng: random.Random = field(default_factory=lambda: random.Random(5))

    async def run(self) -> None:
        """Send requests until the daemon no longer listens."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self._run_caller())

    async def _run_caller(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.environment.port)
            except ConnectionError:
                return
            try:
                for _ in range(MAX_REQUESTS):
                    if not await self._send(reader, writer):
                        break
                    await asyncio.sleep(self.rng.uniform(0.0, 0.1))
            except ConnectionError:
                # The next connection shows whether the daemon still listens.
                continue
            finally:
                writer.transport.abort()
            await asyncio.sleep(0.05)

    async def _send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request; returns whether the connection may be used again."""
        sent = SentRequest(f"r{len(self.sent)}", asyncio.get_running_loop().time())
        self.sent.append(sent)
        head = (
            f"{self.method} {self.target} HTTP/1.1\r\nHost: shop.example\r\nApi-Key: {KEY}\r\n"
            f"X-Attempt-Id: {sent.request_id}\r\nX-Deadline-Ms: 15000\r\n"
        )
        if "stream" in self.target:
            head += "X-Model: m\r\nX-Token-Count: 300,60\r\n"
            head += f"X-Prompt-Prefix: {sent.request_id.encode().hex()}:300\r\n"
        writer.write(head.encode() + b"\r\n")
        await read_response(reader, sent.response)
        closing = sent.response.headers.get("connection") == "close"
        return sent.response.complete and not closing


def sent_to_engines(callers: SteadyCallers) -> list[SentRequest]:
    """Return the requests that an engine began to run."""
    run_ids = {
        run.request_id.decode()
        for engine in callers.environment.engines.values()
        for run in engine.runs
    }
    return [sent for sent in callers.sent if sent.request_id in run_ids]


def runs_without_response(callers: SteadyCallers) -> list[str]:
    """Return the requests that an engine ran and whose callers got no whole response."""
    return [each.request_id for each in sent_to_engines(callers) if not each.response.complete]


def false_refusals(callers: SteadyCallers) -> list[str]:
    """Return the requests that were refused as not run and that an engine ran."""
    return [each.request_id for each in sent_to_engines(callers) if each.response.status == 503]


async def stop_under_load(
    callers: SteadyCallers, grace_s: float, before_s: float
) -> tuple[float, float]:
    """Stop the daemon as planned while callers send.

    :param before_s: time for which they send before
    :returns: loop time of the stop signal, and time in seconds that the daemon took to exit
    """
    loop = asyncio.get_running_loop()
    sending = asyncio.create_task(callers.run())
    # The log is read all the time, since a full pipe would hold up the daemon's exit.
    logging = asyncio.create_task(callers.environment.process.communicate())
    await asyncio.sleep(before_s)
    stopped_at_s = loop.time()
    callers.environment.process.terminate()
    async with asyncio.timeout(grace_s + 2.0):
        await logging
    took_s = loop.time() - stopped_at_s
    await sending
    return stopped_at_s, took_s


@pytest.mark.parametrize(
    ("grace_s", "run_s", "target"),
    [
        (4.0, 3.0, "/book/x"),
        (8.0, 5.6, "/book/x"),
        (8.0, 6.5, "/read/x"),
        (4.0, 6.0, "/book/x"),
        (12.0, 0.6, "/book/x"),
    ],
)
async def test_a_planned_stop_cuts_no_request_without_a_response(
    grace_s: float, run_s: float, target: str
) -> None:
    bounds = {"graceS": grace_s, "leaseMs": 3000, "enforceFencing": True, "usageWindowS": 5}
    async with gateway_environment({"e1": "desk"}, configure=False, bounds=bounds) as environment:
        environment.configure(routes=ROUTES)
        await environment.until_ready()
        environment.engines["e1"].event_s = run_s
        callers = SteadyCallers(environment, "GET" if "read" in target else "POST", target)
        _, took_s = await stop_under_load(callers, grace_s, before_s=run_s + 1.0)
        assert runs_without_response(callers) == []
        assert false_refusals(callers) == []
        assert took_s < grace_s


@pytest.mark.parametrize(("grace_s", "event_s"), [(8.0, 0.3), (12.0, 0.55)])
async def test_a_stream_that_is_taken_during_a_planned_stop_ends_before_it(
    grace_s: float, event_s: float
) -> None:
    bounds = {"graceS": grace_s, "leaseMs": 3000, "enforceFencing": True, "usageWindowS": 5}
    async with gateway_environment({"e1": "lm"}, configure=False, bounds=bounds) as environment:
        environment.configure(routes=ROUTES)
        await environment.until_ready()
        environment.engines["e1"].events = 20
        environment.engines["e1"].event_s = event_s
        callers = SteadyCallers(environment, "POST", "/stream/x")
        stopped_at_s, took_s = await stop_under_load(callers, grace_s, before_s=20 * event_s + 1.0)
        taken_late = {each.request_id for each in callers.sent if each.sent_at_s > stopped_at_s}
        assert taken_late.isdisjoint(runs_without_response(callers))
        assert false_refusals(callers) == []
        assert took_s < grace_s
