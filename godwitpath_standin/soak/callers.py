"""Callers of a soak: send random requests to ready daemons over reused connections."""

from __future__ import annotations

import asyncio
import random

from godwitpath_standin.gateway.caller import ClientResponse, ask, read_response
from godwitpath_standin.soak.environment import Daemon, SoakEnvironment
from godwitpath_standin.soak.history import SentRequest
from godwitpath_standin.soak.invariants import route_timeout_s
from godwitpath_standin.soak.long_prompts import LongPrompts, tokens

GIVE_UP_MARGIN_S = 2.0
"""Time past the timeout of a request after which its caller gives up."""

MEAN_PAUSE_S = 0.25
"""Mean pause of a caller between two requests on a connection."""

REQUESTS_PER_CONNECTION = (1, 1, 4, 1000)
"""Numbers of requests that a caller may send on a connection; the largest number keeps the
connection until the daemon closes it."""

CRASHING_SHARE = 0.03
"""Share of the prompts that have a part on which engines crash, and of the requests that are copies
of one that crashes them."""

TARGETS = {
    "read": ("GET", "/read/x"),
    "book": ("POST", "/book/x"),
    "plan": ("POST", "/stream/plan/x"),
    "digest": ("POST", "/stream/digest/x"),
}
"""Method and path of the requests of each route."""


class Balancer:
    """Polls the readiness of the daemons, as the platform's load balancer does.

    A daemon that fails two probes in a row gets no new connections until a probe succeeds.
    """

    def __init__(self, daemons: list[Daemon]) -> None:
        self._daemons = daemons
        self._failed_probes = {daemon.name: 2 for daemon in daemons}

    async def run(self) -> None:
        """Probe every daemon once a second until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(daemon) for daemon in self._daemons))
            await asyncio.sleep(1.0)

    def ready(self) -> list[Daemon]:
        """Return the daemons in rotation."""
        return [daemon for daemon in self._daemons if self._failed_probes[daemon.name] < 2]

    def choose(self, rng: random.Random) -> Daemon:
        """Return a random daemon in rotation for a new connection, or any if none is."""
        return rng.choice(self.ready() or self._daemons)

    async def _probe(self, daemon: Daemon) -> None:
        try:
            response = await ask(daemon.ready_port, "/readyz", key="", timeout_s=0.8)
            ready = response.status == 200
        except (OSError, TimeoutError):
            ready = False
        self._failed_probes[daemon.name] = 0 if ready else self._failed_probes[daemon.name] + 1


def _new_request(
    environment: SoakEnvironment, daemon: Daemon, request_id: str, route: str, account: str
) -> SentRequest:
    """Return the record of a request that is sent now."""
    return SentRequest(
        request_id=request_id,
        route=route,
        account=account,
        key=environment.keys[account],
        daemon=daemon.name,
        non_idempotent=route in ("book", "plan"),
        stream=route in ("plan", "digest"),
        body=b"" if route == "read" else f"body of {request_id}".encode(),
        sent_at_s=environment.now_s,
    )


async def probe(environment: SoakEnvironment, daemon: Daemon) -> int:
    """Send an idempotent request to one daemon.

    :returns: HTTP status of the response, 0 without a response
    """
    sent = _new_request(
        environment, daemon, f"probe-{daemon.name}", "read", sorted(environment.keys)[0]
    )
    environment.history.sent[sent.request_id] = sent
    try:
        sent.response = await ask(
            daemon.caller_port, "/read/x", key=sent.key, request_id=sent.request_id
        )
    except (OSError, TimeoutError):
        # The response keeps status 0, which means that there was no response.
        pass
    sent.ended_at_s = environment.now_s
    return sent.response.status


class Caller:
    """Sends one request after another with random routes, accounts and pauses.

    :param long_prompts: draws long prompts, None for short ones only
    """

    def __init__(
        self,
        environment: SoakEnvironment,
        balancer: Balancer,
        rng: random.Random,
        name: str,
        long_prompts: LongPrompts | None = None,
    ) -> None:
        self._environment = environment
        self._balancer = balancer
        self._rng = rng
        self._name = name
        self._long_prompts = long_prompts
        self._sent_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            daemon = self._balancer.choose(self._rng)
            try:
                async with asyncio.timeout(1.0):
                    connection = await asyncio.open_connection("127.0.0.1", daemon.caller_port)
            except (OSError, TimeoutError):
                await asyncio.sleep(MEAN_PAUSE_S)
                continue
            await self._send_requests(daemon, *connection)

    async def _send_requests(
        self, daemon: Daemon, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            for _ in range(self._rng.choice(REQUESTS_PER_CONNECTION)):
                sent = self._next_request(daemon)
                await self._send(sent, reader, writer)
                closing = sent.response.headers.get("connection") == "close"
                await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))
                if not sent.response.complete or closing:
                    return
        except OSError:
            return
        finally:
            writer.transport.abort()

    def _next_request(self, daemon: Daemon) -> SentRequest:
        self._sent_count += 1
        route = self._rng.choice(list(TARGETS))
        account = self._rng.choice(sorted(self._environment.keys))
        request_id = f"{self._name}-{self._sent_count}"
        for copy in self._environment.crashing_requests:
            if self._rng.random() < CRASHING_SHARE:
                [route] = (
                    name for name, (_, each) in TARGETS.items() if each.encode() == copy.target
                )
                account = copy.account.decode()
                sent = _new_request(self._environment, daemon, request_id, route, account)
                sent.body = copy.body
                return sent
        return _new_request(self._environment, daemon, request_id, route, account)

    async def _send(
        self, sent: SentRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        timeout_s = route_timeout_s(sent)
        method, target = TARGETS[sent.route]
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\nApi-Key: {sent.key}\r\n"
            f"X-Attempt-Id: {sent.request_id}\r\nX-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
        )
        if sent.stream:
            document = self._long_prompts.draw() if self._long_prompts is not None else []
            head += f"X-Model: m\r\nX-Token-Count: {300 + tokens(document)},60\r\n"
            parts = ["ab12:200", f"{sent.request_id.encode().hex()}:100"]
            for part in sorted(self._environment.crashing_parts):
                if self._rng.random() < CRASHING_SHARE:
                    parts.insert(self._rng.randrange(2), f"{part}:50")
            head += f"X-Prompt-Prefix: {','.join([*document, *parts])}\r\n"
        if sent.body:
            head += f"Content-Length: {len(sent.body)}\r\n"
        self._environment.history.sent[sent.request_id] = sent
        response = ClientResponse()
        try:
            writer.write(head.encode() + b"\r\n" + sent.body)
            async with asyncio.timeout(timeout_s + GIVE_UP_MARGIN_S):
                response = await read_response(reader)
            sent.closed_early = not response.complete
        except TimeoutError:
            sent.closed_early = False
        finally:
            sent.response = response
            sent.ended_at_s = self._environment.now_s
