"""Callers of a soak: they go to daemons that are ready and keep connections while these live."""

from __future__ import annotations

import asyncio
import random

from godwitpath_standin.gateway.caller import Answer, ask, read_answer
from godwitpath_standin.soak.history import Sent
from godwitpath_standin.soak.promises import limit_of
from godwitpath_standin.soak.world import Daemon, World

PATIENCE_S = 2.0
"""Time past a request's own limit after which its caller gives up."""

PAUSE_S = 0.25
"""Mean pause of a caller between two requests."""

REQUESTS_ON_A_CONNECTION = (1, 1, 4, 1000)
"""How many requests a caller sends on a connection; the last keeps it while the daemon lives."""

TARGETS = {
    "read": ("GET", "/read/x"),
    "book": ("POST", "/book/x"),
    "plan": ("POST", "/stream/plan/x"),
    "digest": ("POST", "/stream/digest/x"),
}
"""Method and path of a request by its route."""


class Balancer:
    """Knows which daemons are ready, as the platform's balancer does.

    A daemon that misses two questions in a row gets no new connections until it answers again.
    """

    def __init__(self, daemons: list[Daemon]) -> None:
        self._daemons = daemons
        self._misses = {daemon.name: 2 for daemon in daemons}

    async def run(self) -> None:
        """Ask every daemon once a second until cancelled."""
        while True:
            await asyncio.gather(*(self._ask(daemon) for daemon in self._daemons))
            await asyncio.sleep(1.0)

    def ready(self) -> list[Daemon]:
        """Return the daemons in rotation."""
        return [daemon for daemon in self._daemons if self._misses[daemon.name] < 2]

    def choose(self, rng: random.Random) -> Daemon:
        """Return a daemon for a new connection, any of them when none is in rotation."""
        return rng.choice(self.ready() or self._daemons)

    async def _ask(self, daemon: Daemon) -> None:
        try:
            answer = await ask(daemon.ready_port, "/readyz", key="", timeout_s=0.8)
            ready = answer.status == 200
        except (OSError, TimeoutError):
            ready = False
        self._misses[daemon.name] = 0 if ready else self._misses[daemon.name] + 1


def _request(world: World, daemon: Daemon, request_id: str, route: str, account: str) -> Sent:
    """Return a request that is about to be sent."""
    return Sent(
        request_id=request_id,
        route=route,
        account=account,
        key=world.keys[account],
        daemon=daemon.name,
        once=route in ("book", "plan"),
        stream=route in ("plan", "digest"),
        body=b"" if route == "read" else f"body of {request_id}".encode(),
        sent_at_s=world.now_s,
    )


async def probe(world: World, daemon: Daemon) -> int:
    """Send a request that may be repeated to one daemon; returns the status, 0 for no answer."""
    sent = _request(world, daemon, f"probe-{daemon.name}", "read", sorted(world.keys)[0])
    world.history.sent[sent.request_id] = sent
    try:
        sent.answer = await ask(
            daemon.caller_port, "/read/x", key=sent.key, request_id=sent.request_id
        )
    except (OSError, TimeoutError):
        # The status tells that there was no answer.
        pass
    sent.ended_at_s = world.now_s
    return sent.answer.status


class Caller:
    """One caller."""

    def __init__(self, world: World, balancer: Balancer, rng: random.Random, name: str) -> None:
        self._world = world
        self._balancer = balancer
        self._rng = rng
        self._name = name
        self._sent = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            daemon = self._balancer.choose(self._rng)
            try:
                async with asyncio.timeout(1.0):
                    connection = await asyncio.open_connection("127.0.0.1", daemon.caller_port)
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_S)
                continue
            await self._use(daemon, *connection)

    async def _use(
        self, daemon: Daemon, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            for _ in range(self._rng.choice(REQUESTS_ON_A_CONNECTION)):
                sent = self._next(daemon)
                await self._exchange(sent, reader, writer)
                closing = sent.answer.headers.get("connection") == "close"
                await asyncio.sleep(self._rng.expovariate(1 / PAUSE_S))
                if not sent.answer.complete or closing:
                    return
        except OSError:
            return
        finally:
            writer.transport.abort()

    def _next(self, daemon: Daemon) -> Sent:
        self._sent += 1
        route = self._rng.choice(list(TARGETS))
        account = self._rng.choice(sorted(self._world.keys))
        return _request(self._world, daemon, f"{self._name}-{self._sent}", route, account)

    async def _exchange(
        self, sent: Sent, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        limit_s = limit_of(sent)
        method, target = TARGETS[sent.route]
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\nApi-Key: {sent.key}\r\n"
            f"X-Attempt-Id: {sent.request_id}\r\nX-Deadline-Ms: {int(limit_s * 1000)}\r\n"
        )
        if sent.stream:
            head += "X-Model: m\r\nX-Token-Count: 300,60\r\n"
            head += f"X-Prompt-Prefix: ab12:200,{sent.request_id.encode().hex()}:100\r\n"
        if sent.body:
            head += f"Content-Length: {len(sent.body)}\r\n"
        self._world.history.sent[sent.request_id] = sent
        answer = Answer()
        try:
            writer.write(head.encode() + b"\r\n" + sent.body)
            async with asyncio.timeout(limit_s + PATIENCE_S):
                answer = await read_answer(reader)
            sent.closed = not answer.complete
        except TimeoutError:
            sent.closed = False
        finally:
            sent.answer = answer
            sent.ended_at_s = self._world.now_s
