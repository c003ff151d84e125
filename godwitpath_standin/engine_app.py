"""HTTP server of the simulated model engine: the OpenAI API and the engine's own paths."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from godwitpath.adapters.engine_wire import (
    CacheEvents,
    CacheImportResult,
    CallExtension,
    Choice,
    Delta,
    EventExtension,
    StreamEvent,
)
from godwitpath.ports.engine import EngineOrder
from godwitpath_standin.engine_core import EngineCore, EngineParameters, EngineQueueFull, Sequence
from godwitpath_standin.engine_orders import EngineOrders, LoadedModel, StaleFencingToken
from godwitpath_standin.prefix_cache import BLOCK_TOKENS, block_digests
from godwitpath_standin.server import JsonResponse, Standin
from godwitpath_standin.text import completion_tokens, text_between

HEARTBEAT_INTERVAL_S = 0.5
DRAIN_TIMEOUT_S = 60
KV_BYTES_PER_TOKEN = 64


class ExportedCache(msgspec.Struct):
    """Body of a KV cache transfer between engines.

    :ivar blocks: digests of the cached blocks
    :ivar padding: zero bytes that give the transfer a realistic size
    """

    blocks: list[str]
    padding: bytes


class EngineStandin:
    """HTTP interface of an engine core.

    :param initial_model: model that is loaded at the start
    :param checks_fencing: whether orders with a stale fencing token are refused
    :param weights_url: base URL of the weight store; empty for a fixed load time
    """

    def __init__(
        self,
        initial_model: LoadedModel,
        parameters: EngineParameters,
        rng: random.Random,
        checks_fencing: bool,
        weights_url: str = "",
    ) -> None:
        self.core = EngineCore(parameters, rng)
        self.orders = EngineOrders(initial_model, rng, checks_fencing, weights_url)
        self._encoder = msgspec.json.Encoder()
        self._loop = asyncio.get_running_loop()
        routes = [
            Route("/v1/chat/completions", self._chat, methods=["POST"]),
            Route("/v1/completions", self._completion, methods=["POST"]),
            Route("/streams/{stream_id}", self._resume, methods=["GET"]),
            Route("/streams/{stream_id}/cancel", self._cancel, methods=["POST"]),
            Route("/streams/{stream_id}/cache", self._export_cache, methods=["GET"]),
            Route("/cache", self._import_cache, methods=["POST"]),
            Route("/cache-events", self._cache_events, methods=["GET"]),
            Route("/load", self._load, methods=["GET"]),
            Route("/status", self._status, methods=["GET"]),
            Route("/order", self._apply_order, methods=["POST"]),
            Route("/stop", self._stop, methods=["POST"]),
            Route("/stats", self._stats, methods=["GET"]),
        ]
        self.standin = Standin(routes, shutdown_grace_s=DRAIN_TIMEOUT_S)

    async def _chat(self, request: Request) -> Response:
        return await self._generate(request, chat=True)

    async def _completion(self, request: Request) -> Response:
        return await self._generate(request, chat=False)

    async def _generate(self, request: Request, chat: bool) -> Response:
        try:
            body = msgspec.json.decode(await request.body(), type=dict[str, Any])
            extension = msgspec.convert(body.pop("engine", {"attempt_id": ""}), CallExtension)
        except msgspec.MsgspecError as error:
            return JsonResponse({"error": str(error)}, 400)
        refusal_reason = self.orders.refusal_reason(str(body.get("model", "")))
        if refusal_reason:
            return JsonResponse({"error": refusal_reason}, 503, {"retry-after": "1"})
        try:
            sequence = self.core.start(body, chat, extension)
        except EngineQueueFull:
            return JsonResponse({"error": "too many requests wait"}, 429, {"retry-after": "1"})
        if not body.get("stream"):
            return await self._complete_response(sequence, body)
        events = self._events(sequence, extension.attempt_id, sequence.produced_tokens)
        return StreamingResponse(events, media_type="text/event-stream")

    async def _complete_response(self, sequence: Sequence, body: dict[str, Any]) -> Response:
        while not sequence.finish_reason:
            await sequence.changed.wait()
        text = text_between(sequence.digest, 0, completion_tokens(body))
        message = {"message": {"role": "assistant", "content": text}}
        choice = {"index": 0, "finish_reason": "stop"}
        choice |= message if sequence.chat else {"text": text}
        usage = {
            "prompt_tokens": sequence.prompt_tokens,
            "completion_tokens": sequence.total_tokens,
        }
        usage["total_tokens"] = sequence.prompt_tokens + sequence.total_tokens
        return JsonResponse({"id": sequence.stream_id, "choices": [choice], "usage": usage})

    async def _resume(self, request: Request) -> Response:
        sequence = self.core.find(request.path_params["stream_id"])
        after_tokens = int(request.query_params.get("after", "0"))
        if (
            sequence is None
            or sequence.finish_reason == "cancelled"
            or after_tokens > sequence.produced_tokens
        ):
            return JsonResponse({"error": "stream not known"}, 404)
        self.core.counts.resumed += 1
        events = self._events(sequence, request.query_params.get("attempt", ""), after_tokens)
        return StreamingResponse(events, media_type="text/event-stream")

    async def _events(
        self, sequence: Sequence, attempt_id: str, after_tokens: int
    ) -> AsyncIterator[bytes]:
        sent_tokens = after_tokens
        # The first event carries the stream identifier before any text exists.
        yield self._encode_event(sequence, attempt_id, sent_tokens, sent_tokens, "")
        while True:
            changed = sequence.changed
            produced_tokens = sequence.produced_tokens
            finish_reason = sequence.finish_reason if sequence.finish_reason else ""
            if produced_tokens > sent_tokens or finish_reason:
                event = self._encode_event(
                    sequence, attempt_id, sent_tokens, produced_tokens, finish_reason
                )
                sent_tokens = produced_tokens
                if finish_reason:
                    yield event + b"data: [DONE]\n\n"
                    return
                yield event
                if sequence.changed is not changed:
                    continue
            await self._wait_for_change(changed)
            if not changed.is_set():
                yield b": alive\n\n"

    async def _wait_for_change(self, changed: asyncio.Event) -> None:
        if changed.is_set():
            return
        timer = self._loop.call_later(HEARTBEAT_INTERVAL_S, _notify_waiters, changed)
        try:
            await changed.wait()
        finally:
            timer.cancel()

    def _encode_event(
        self, sequence: Sequence, attempt_id: str, first: int, end: int, finish_reason: str
    ) -> bytes:
        text = text_between(sequence.digest, first, end)
        choice = Choice(
            delta=Delta(text) if sequence.chat else None,
            text="" if sequence.chat else text,
            finish_reason=finish_reason or None,
        )
        extension = EventExtension(
            attempt_id=attempt_id,
            offset=first,
            tokens=end - first,
            prompt_tokens=sequence.prompt_tokens if finish_reason else 0,
            cached_tokens=sequence.cached_tokens if first == end else 0,
        )
        event = StreamEvent(sequence.stream_id, [choice], extension)
        return b"data: " + self._encoder.encode(event) + b"\n\n"

    async def _cancel(self, request: Request) -> Response:
        self.core.cancel(request.path_params["stream_id"])
        return JsonResponse({})

    async def _export_cache(self, request: Request) -> Response:
        sequence = self.core.find(request.path_params["stream_id"])
        if sequence is None or sequence.uncached_tokens:
            return JsonResponse({"error": "stream not known"}, 404)
        blocks = block_digests(sequence.text + sequence.text_after(0))
        padding = bytes(len(blocks) * BLOCK_TOKENS * KV_BYTES_PER_TOKEN)
        return Response(msgspec.msgpack.encode(ExportedCache(blocks, padding)))

    async def _import_cache(self, request: Request) -> Response:
        try:
            exported = msgspec.msgpack.decode(await request.body(), type=ExportedCache)
        except msgspec.MsgspecError as error:
            return JsonResponse({"error": str(error)}, 400)
        added = self.core.cache.add(exported.blocks, self._loop.time())
        return JsonResponse(CacheImportResult(added * BLOCK_TOKENS))

    async def _cache_events(self, request: Request) -> Response:
        after_sequence = int(request.query_params.get("after", "0"))
        return JsonResponse(
            CacheEvents(self.core.cache.published(after_sequence, self._loop.time()))
        )

    async def _load(self, _: Request) -> Response:
        return JsonResponse(self.core.load_report(self.standin.faults.lag_s))

    async def _status(self, _: Request) -> Response:
        return JsonResponse(self.orders.status())

    async def _apply_order(self, request: Request) -> Response:
        try:
            order = msgspec.json.decode(await request.body(), type=EngineOrder)
            self.orders.apply(order, self.standin.faults.fail_version)
        except msgspec.MsgspecError as error:
            return JsonResponse({"error": str(error)}, 400)
        except StaleFencingToken as error:
            return JsonResponse({"error": str(error)}, 412)
        return JsonResponse(self.orders.status())

    async def _stop(self, _: Request) -> Response:
        self.orders.mark_leaving()
        return JsonResponse(self.orders.status())

    async def _stats(self, _: Request) -> Response:
        counts = {name: getattr(self.core.counts, name) for name in self.core.counts.__slots__}
        return JsonResponse(
            {**counts, "running": self.core.running(), "orders": self.orders.counts}
        )


def _notify_waiters(changed: asyncio.Event) -> None:
    # The waiters wake up, and find the event unset because nothing has changed.
    changed.set()
    changed.clear()
