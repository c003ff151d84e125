"""Faults of a stand-in, set at run time, and the ASGI middleware that injects them."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import uvicorn
from starlette.types import ASGIApp, Message, Receive, Scope, Send


class Faults(msgspec.Struct):
    """Faults to inject; `POST /faults` can set every field.

    :ivar outage: refuse every call with status 503 before it has an effect
    :ivar drop: close the connection of every call before the call has an effect
    :ivar slow_s: delay before each call has an effect
    :ivar drop_next: number of further calls whose connection is closed before they have an effect
    :ivar lose_next_answer: number of further calls that take effect and get no response
    :ivar cut_after: number of body bytes after which a response is cut off, -1 for never
    :ivar cut_next: number of further responses that `cut_after` applies to
    :ivar garbage: number of further responses replaced by bytes that are not HTTP
    :ivar half_chunk: number of further streamed responses cut off within a chunk
    :ivar silence_connections: set to stop responding, permanently, on every connection open now
    :ivar lag_s: age of the data in lists and load reports, -1 for the stand-in's default
    :ivar refuse_instances: whether the cloud refuses every request for an instance
    :ivar reclaim: availability zone, or names of the instances, that the cloud reclaims
    :ivar notice_s: time between the reclaim notice and the reclaim
    :ivar lose_effect_s: when above 0, store writes fail with status 500 and take effect after this
        delay
    :ivar only_path: path prefix of the calls that the faults with a count apply to, empty for all
    :ivar fail_version: model version that fails to load
    """

    outage: bool = False
    drop: bool = False
    slow_s: float = 0.0
    drop_next: int = 0
    lose_next_answer: int = 0
    cut_after: int = -1
    cut_next: int = 1
    garbage: int = 0
    half_chunk: int = 0
    silence_connections: bool = False
    lag_s: float = -1.0
    refuse_instances: bool = False
    reclaim: str | list[str] = ""
    notice_s: float = 30.0
    lose_effect_s: float = 0.0
    only_path: str = ""
    fail_version: str = ""


class _ConnectionCut(Exception):
    """An injected fault closes the connection."""


class FaultInjector:
    """ASGI middleware that injects faults into the calls of an application.

    Calls to `/faults` and `/stats` are exempt.

    :ivar faults: current faults
    :ivar server: server that owns the connections
    """

    def __init__(self, app: ASGIApp, faults: Faults) -> None:
        self.app = app
        self.faults = faults
        self.server: uvicorn.Server | None = None
        self._silenced_clients: set[tuple[str, int]] = set()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http" or scope["path"].startswith(("/faults", "/stats")):
            await self.app(scope, receive, send)
            return
        client = tuple(scope["client"])
        try:
            await self._handle(scope, receive, send, client)
        except _ConnectionCut:
            self._close_connection(client)

    async def _handle(
        self, scope: Scope, receive: Receive, send: Send, client: tuple[str, int]
    ) -> None:
        faults = self.faults
        if client in self._silenced_clients:
            await self._hold_until_disconnect(receive)
        if faults.slow_s > 0:
            await asyncio.sleep(faults.slow_s)
        path_matches = scope["path"].startswith(faults.only_path)
        if faults.drop or (path_matches and _consume_fault(faults, "drop_next")):
            raise _ConnectionCut
        if faults.outage:
            await _send_outage(send)
            return
        if path_matches and _consume_fault(faults, "garbage"):
            transport = self._transport(client)
            if transport is not None:
                transport.write(b"\x16\x03 garbage \x00\xff\r\n\r\n")
            raise _ConnectionCut
        drop_response = path_matches and _consume_fault(faults, "lose_next_answer")
        cut_response = path_matches and faults.cut_after >= 0 and _consume_fault(faults, "cut_next")
        limit_bytes = faults.cut_after if cut_response else -1
        half_chunk = path_matches and _consume_fault(faults, "half_chunk")
        sent_bytes = 0

        async def send_faulty(message: Message) -> None:
            nonlocal sent_bytes
            if self._silenced_clients and client in self._silenced_clients:
                await self._hold_until_disconnect(receive)
            if drop_response:
                raise _ConnectionCut
            if message["type"] == "http.response.body":
                body = message.get("body", b"")
                if half_chunk and sent_bytes and body:
                    await send({**message, "body": body[: len(body) // 2], "more_body": True})
                    raise _ConnectionCut
                if 0 <= limit_bytes <= sent_bytes + len(body):
                    part = body[: limit_bytes - sent_bytes]
                    await send({**message, "body": part, "more_body": True})
                    raise _ConnectionCut
                sent_bytes += len(body)
            await send(message)

        await self.app(scope, receive, send_faulty)

    def silence_open_connections(self) -> None:
        """Stop responding, permanently, on every connection that is open now."""
        for protocol in self._connections():
            peer = protocol.transport.get_extra_info("peername")
            if peer:
                self._silenced_clients.add((peer[0], peer[1]))

    async def _hold_until_disconnect(self, receive: Receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        raise _ConnectionCut

    def _connections(self) -> list[Any]:
        state = self.server.server_state if self.server else None
        return [item for item in state.connections if item.transport] if state else []

    def _transport(self, client: tuple[str, int]) -> Any:
        for protocol in self._connections():
            peer = protocol.transport.get_extra_info("peername")
            if peer and (peer[0], peer[1]) == client:
                return protocol.transport
        return None

    def _close_connection(self, client: tuple[str, int]) -> None:
        self._silenced_clients.discard(client)
        transport = self._transport(client)
        if transport is not None:
            # close() sends the bytes already written, and the connection takes no further call.
            transport.close()


def _consume_fault(faults: Faults, name: str) -> bool:
    """Return whether a fault with a count applies to this call, and decrement the count."""
    remaining: int = getattr(faults, name)
    if remaining > 0:
        setattr(faults, name, remaining - 1)
    return remaining > 0


async def _send_outage(send: Send) -> None:
    headers = [(b"content-type", b"application/json"), (b"retry-after", b"1")]
    body = b'{"error": "outage"}'
    headers.append((b"content-length", str(len(body)).encode()))
    headers.append((b"x-not-run", b"1"))
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": body})
