"""Sends a request to one engine, and adds it to the engine's load while it runs there.

A send is one transmission of a caller's request to one engine; a retry is a further send.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from godwitpath.gateway.call import Call
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.engines import Engine
from godwitpath.gateway.permits import Permit
from godwitpath.gateway.response_proof import belongs_to_request, needs_new_connection
from godwitpath.gateway.wire_fields import EngineResponseFields, KvCacheSource, SendFields
from godwitpath.http1.client import ClientConnection
from godwitpath.http1.messages import NotSent, ResponseHead, ResponseLost, encode_request_head
from godwitpath.http1.pool import MAX_IDLE_PER_SERVER, keep_alive_limit_s
from godwitpath.http1.turns import FIRST_READ_BYTES, READ_BYTES
from godwitpath.ranking import score
from godwitpath.telemetry.decisions import decision

CONNECT_TIMEOUT_S = 0.4
"""Timeout for opening a connection to an engine, in seconds: ten round trips between regions."""

MAX_IDLE_SHARE = 0.5
"""Share of the connections accepted by an engine that all daemons together may keep idle; the other
connections are for running requests."""


class SendRevoked(NotSent):
    """The choice of the engine ceased to hold before the request was sent; choose again."""


class PermitExpired(SendRevoked):
    """The permit for the send had expired, or a limit was learned, before the request was sent."""


class EngineLeft(SendRevoked):
    """The engine said that it leaves, or was removed, before the request was sent."""


def max_idle_connections(accepted: int, engine_id: str, name: str, daemons: Collection[str]) -> int:
    """Return the maximum number of idle connections that one daemon keeps to an engine.

    What does not divide evenly goes to the daemons that rendezvous hashing ranks first for the
    engine, so that the sum over all daemons is exact.

    :param accepted: connections that the engine accepts from all daemons, 0 if not stated
    :param name: name of the daemon
    :param daemons: names of all known daemons
    """
    if not accepted:
        return MAX_IDLE_PER_SERVER
    total = int(accepted * MAX_IDLE_SHARE)
    each, left = divmod(total, max(1, len(daemons)))
    own_score = score(engine_id, name)
    rank = sum(score(engine_id, other) > own_score for other in daemons)
    return min(MAX_IDLE_PER_SERVER, each + (rank < left))


class EnginePaused(SendRevoked):
    """The engine asked for a pause before the request was sent."""


class RequestQuarantined(SendRevoked):
    """The request, or a part of its prompt, was quarantined before it was sent."""


class Send:
    """Sends a request to an engine and reads its response.

    :ivar engine: engine that the request is sent to
    :ivar sent_at_s: loop time at which the request was sent, 0 before that
    :ivar first_event_at_s: loop time at which the first whole event of a stream arrived, 0 before
    :ivar may_have_run_before: whether an earlier send of the request may have run
    :ivar prefill_alone: whether no other prompt was known to wait at the engine when the request
        was sent, and a batch slot was free
    :ivar prefill_tokens: prompt tokens that the engine is expected to prefill
    """

    def __init__(
        self,
        ctx: GatewayContext,
        call: Call,
        engine: Engine,
        permit: Permit,
        prefill_tokens: int = 0,
    ) -> None:
        self.engine = engine
        self._permit = permit
        self.sent_at_s = 0.0
        self.first_event_at_s = 0.0
        self.may_have_run_before = call.may_have_run
        self.prefill_tokens = prefill_tokens
        self.prefill_alone = False
        self._ctx = ctx
        self._call = call
        self._connection: ClientConnection | None = None
        self._waiting_tokens = 0
        self._context_tokens = 0
        self._load_added = False

    async def open(
        self, last_event_id: int | None = None, kv_cache: KvCacheSource | None = None
    ) -> tuple[ResponseHead, EngineResponseFields]:
        """Send the request and return the head of its response.

        :param last_event_id: event after which a stream resumes
        :param kv_cache: KV cache of a moved run that continues at this engine; such a send does not
            count as a new attempt
        :raises SendRevoked: no byte was sent, and the engine is not at fault
        :raises NotSent: no byte was sent, so the engine has not run the request
        :raises ResponseLost: the engine may have run the request
        """
        call, ctx = self._call, self._ctx
        self._add_load()
        address = self.engine.entry.address
        timeout_s = min(CONNECT_TIMEOUT_S, max(0.01, call.time_left_s()))
        has_id = bool(call.fields.request_id)
        new_connection = needs_new_connection(call.route.repeatable, has_id, kv_cache is not None)
        loop = asyncio.get_running_loop()
        connect_started_at_s = loop.time()
        self._connection = await ctx.pool.acquire(
            address.host, address.port, timeout_s, new_connection
        )
        ctx.instruments.connect_s.record(
            loop.time() - connect_started_at_s, service=call.service.name
        )
        left_s = call.time_left_s()
        if left_s <= 0.005:
            raise NotSent("no time left")
        if not ctx.permits.covers(self._permit, self.engine.entry):
            raise PermitExpired("the permit for the send has expired")
        # A moved run goes on where its KV cache is.
        if kv_cache is None and not ctx.engines.is_ready(self.engine):
            raise EngineLeft("the engine is leaving")
        if not self._is_wanted(kv_cache is not None):
            raise EnginePaused("the engine wants no requests now")
        if ctx.crashes.verdict(call.subjects) is not None:
            raise RequestQuarantined("the request is quarantined")
        send_fields = SendFields(
            engine_id=self.engine.entry.engine_id,
            time_left_s=left_s,
            account=call.account_name,
            priority=call.priority,
            last_event_id=last_event_id,
            kv_cache=kv_cache,
        )
        request = call.request
        headers = ctx.header_codec.engine_headers(request.headers, send_fields)
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        self._connection.send(
            request.method,
            encode_request_head(request.method, request.target, headers) + request.body,
            accept=lambda head: ctx.header_codec.decode_engine_response(
                head, call.fields.request_id
            ).matches_request,
            max_read_bytes=READ_BYTES if call.prompt is None else FIRST_READ_BYTES,
        )
        self.sent_at_s = loop.time()
        self.prefill_alone = (
            kv_cache is None
            and last_event_id is None
            and self.engine.all_prompt_tokens == self._waiting_tokens
            and self.engine.all_running <= self.engine.entry.slots
        )
        call.attempts += kv_cache is None
        call.may_have_run = True
        if call.prompt is not None:
            spec = call.service.engine
            cache_tokens = spec.cache_tokens if spec else 0
            ctx.placer.note_sent(call.prompt, self.engine, self.prefill_tokens, cache_tokens)
        self._log_sent(left_s)
        head = await self._connection.head()
        response_fields = ctx.header_codec.decode_engine_response(head, call.fields.request_id)
        if not belongs_to_request(response_fields, has_id, self._connection.exchanges):
            raise ResponseLost("a response that does not name the request")
        ctx.limits.note_response(
            self.engine.entry, response_fields, head.status, self.sent_at_s, call.request_id
        )
        ctx.engines.notices.note_response(
            self.engine.entry.incarnation, response_fields, head.status, call.request_id
        )
        if head.status < 300 and not response_fields.from_engine:
            raise ResponseLost("success without the engine's mark")
        return head, response_fields

    def _is_wanted(self, moved: bool) -> bool:
        """Return whether the engine takes requests now.

        :param moved: whether the send continues a moved run
        """
        notices, incarnation = self._ctx.engines.notices, self.engine.entry.incarnation
        now_s = asyncio.get_running_loop().time()
        if moved:
            return notices.take_moved_send(incarnation, now_s)
        return not notices.is_paused(incarnation, now_s)

    def _log_sent(self, left_s: float) -> None:
        """Log the engine that the request is sent to, with the load known of that engine."""
        call, engine = self._call, self.engine
        ages = self._ctx.ages()
        decision(
            "request_sent",
            request=call.request_id,
            route=call.route.name,
            account=call.account_name,
            engine=engine.entry.engine_id,
            zone=engine.entry.zone,
            started_at_ms=engine.entry.started_at_ms,
            parts=call.shared_parts,
            fingerprint=call.fingerprint,
            attempt=call.attempts,
            left_s=round(left_s, 3),
            running=engine.all_running,
            waiting_tokens=engine.all_prompt_tokens,
            read_tokens=self.prefill_tokens,
            pace=round(engine.slowdown, 2),
            limit_per_s=self._ctx.permits.limit_per_s(engine),
            configuration=self._ctx.in_force.revision,
            configuration_age_s=round(ages.configuration_s, 3),
            engines_age_s=round(ages.engines_s, 3),
        )

    async def look_for_data(self) -> bool:
        """Return whether bytes of the body have arrived, after a timeout."""
        return await self._open_connection().look_for_data()

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        :raises ResponseLost: the body was truncated
        """
        return await self._open_connection().read()

    async def read_whole(self) -> bytes:
        """Return the whole body; raises the same as :meth:`read`."""
        return await self._open_connection().read_whole(self._ctx.body_budget)

    def prefill_done(self) -> None:
        """Record that the engine has finished the prefill, so no prompt tokens wait any more."""
        if self._waiting_tokens:
            self.engine.prompt_tokens -= self._waiting_tokens
            self._waiting_tokens = 0

    def close(self, head: ResponseHead | None = None) -> None:
        """End the send, and keep the connection only if the response was read completely.

        :param head: head of the response if it was read completely, else None
        """
        self._remove_load()
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if head is None:
            connection.close()
            return
        connection.idle_limit_s = keep_alive_limit_s(head.header(b"keep-alive"))
        address = self.engine.entry.address
        max_idle = max_idle_connections(
            self._call.service.max_connections,
            self.engine.entry.engine_id,
            self._ctx.settings.name,
            self._ctx.known_daemons(),
        )
        self._ctx.pool.release(address.host, address.port, connection, max_idle)

    def _open_connection(self) -> ClientConnection:
        if self._connection is None:
            raise ResponseLost("the send was closed")
        return self._connection

    def _add_load(self) -> None:
        prompt = self._call.prompt
        self._load_added = True
        self.engine.running_requests += 1
        if prompt is not None:
            self._waiting_tokens = self.prefill_tokens
            self._context_tokens = prompt.tokens
            self.engine.prompt_tokens += self.prefill_tokens
            self.engine.context_tokens += prompt.tokens

    def _remove_load(self) -> None:
        if not self._load_added:
            return
        self._load_added = False
        self.engine.running_requests -= 1
        self.prefill_done()
        self.engine.context_tokens -= self._context_tokens
