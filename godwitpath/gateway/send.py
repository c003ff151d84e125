"""One send of a request to one engine, with the engine's books kept."""

from __future__ import annotations

import asyncio

from godwitpath.gateway.call import Call
from godwitpath.gateway.calls import EngineVerdict, MemorySource, SendFields
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.engines import Engine
from godwitpath.http1.client import ClientConnection
from godwitpath.http1.messages import NotSent, ResponseHead, ResponseLost, write_request
from godwitpath.http1.pool import MAX_IDLE_PER_SERVER, keep_alive_limit_s
from godwitpath.telemetry.decisions import decision

CONNECT_TIMEOUT_S = 0.4
"""Longest time to open a connection to an engine: ten round trips between regions."""

IDLE_SHARE = 0.5
"""Part of the connections that an engine accepts which all daemons together may keep idle there;
the rest is for requests that run."""


def idle_connections(accepted: int, daemons: int) -> int:
    """Return how many idle connections one daemon keeps to an engine.

    :param accepted: connections that the engine accepts from all daemons, 0 when not stated
    :param daemons: daemons that share them
    """
    if not accepted:
        return MAX_IDLE_PER_SERVER
    return min(MAX_IDLE_PER_SERVER, max(1, int(accepted * IDLE_SHARE / max(1, daemons))))


class Send:
    """Sends a request to an engine and reads its response.

    :ivar engine: where it goes
    :ivar sent_at_s: loop time of the send, 0 before
    :ivar doubt_before: whether an earlier send of the request may have run
    """

    def __init__(
        self, ctx: GatewayContext, call: Call, engine: Engine, read_tokens: int = 0
    ) -> None:
        self.engine = engine
        self.sent_at_s = 0.0
        self.doubt_before = call.may_have_run
        self.read_tokens = read_tokens
        self._ctx = ctx
        self._call = call
        self._connection: ClientConnection | None = None
        self._waiting_tokens = 0
        self._context_tokens = 0
        self._booked = False

    async def open(
        self, last_event_id: int | None = None, memory: MemorySource | None = None
    ) -> tuple[ResponseHead, EngineVerdict]:
        """Send the request and return the head of its response.

        :param last_event_id: event after which a stream goes on
        :param memory: of the same run; the send goes on with that and is no further attempt
        :raises NotSent: no byte left; the engine has not run the request
        :raises ResponseLost: the engine may have run it
        """
        call, ctx = self._call, self._ctx
        self._book()
        address = self.engine.entry.address
        timeout_s = min(CONNECT_TIMEOUT_S, max(0.01, call.time_left_s()))
        # A request that may not be repeated never risks a connection that may have gone.
        fresh = not call.route.repeatable
        loop = asyncio.get_running_loop()
        asked_at_s = loop.time()
        self._connection = await ctx.pool.take(address.host, address.port, timeout_s, fresh)
        ctx.instruments.connect_s.record(loop.time() - asked_at_s, service=call.service.name)
        left_s = call.time_left_s()
        if left_s <= 0.005:
            raise NotSent("no time left")
        send = SendFields(
            engine_id=self.engine.entry.engine_id,
            time_left_s=left_s,
            account=call.account_name,
            priority=call.priority,
            last_event_id=last_event_id,
            memory=memory,
        )
        request = call.request
        headers = ctx.wire.engine_headers(request.headers, send)
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        self._connection.send(
            request.method,
            write_request(request.method, request.target, headers) + request.body,
            accept=lambda head: ctx.wire.read_verdict(head, call.fields.request_id).belongs,
        )
        self.sent_at_s = loop.time()
        call.attempts += memory is None
        call.may_have_run = True
        if call.prompt is not None:
            spec = call.service.engine
            cache_tokens = spec.cache_tokens if spec else 0
            ctx.placer.note_sent(call.prompt, self.engine, self.read_tokens, cache_tokens)
        self._note_placed(left_s)
        head = await self._connection.head()
        verdict = ctx.wire.read_verdict(head, call.fields.request_id)
        if head.status < 300 and not verdict.genuine:
            raise ResponseLost("success without the engine's mark")
        return head, verdict

    def _note_placed(self, left_s: float) -> None:
        """Say where the request went, and what was known of that engine."""
        call, engine = self._call, self.engine
        decision(
            "request_sent",
            request=call.request_id,
            route=call.route.name,
            account=call.account_name,
            engine=engine.entry.engine_id,
            zone=engine.entry.zone,
            attempt=call.attempts,
            left_s=round(left_s, 3),
            running=engine.all_running,
            waiting_tokens=engine.all_prompt_tokens,
            read_tokens=self.read_tokens,
            pace=round(engine.pace, 2),
            configuration=self._ctx.in_force.revision,
        )

    async def read(self) -> bytes:
        """Return body bytes; nothing at the end.

        :raises ResponseLost: the body was cut
        """
        return await self._opened().read()

    async def read_whole(self) -> bytes:
        """Return the whole body; raises as :meth:`read`."""
        return await self._opened().read_whole()

    def first_token(self) -> None:
        """Note that the engine has read the prompt."""
        if self._waiting_tokens:
            self.engine.prompt_tokens -= self._waiting_tokens
            self._waiting_tokens = 0

    def close(self, head: ResponseHead | None = None) -> None:
        """End the send; a connection whose response was read whole is kept.

        :param head: of a response that was read whole
        """
        self._unbook()
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if head is None:
            connection.close()
            return
        connection.idle_limit_s = keep_alive_limit_s(head.header(b"keep-alive"))
        address = self.engine.entry.address
        most_idle = idle_connections(self._call.service.max_connections, self._ctx.repeats.daemons)
        self._ctx.pool.give_back(address.host, address.port, connection, most_idle)

    def _opened(self) -> ClientConnection:
        if self._connection is None:
            raise ResponseLost("the send was closed")
        return self._connection

    def _book(self) -> None:
        prompt = self._call.prompt
        self._booked = True
        self.engine.running += 1
        if prompt is not None:
            self._waiting_tokens = self.read_tokens
            self._context_tokens = prompt.tokens
            self.engine.prompt_tokens += self.read_tokens
            self.engine.context_tokens += prompt.tokens

    def _unbook(self) -> None:
        if not self._booked:
            return
        self._booked = False
        self.engine.running -= 1
        self.first_token()
        self.engine.context_tokens -= self._context_tokens
