"""HTTP server of the simulated key-value service."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from godwitpath.adapters.kv_http import (
    DeleteCall,
    GetCall,
    GrantCall,
    LeaseCall,
    PutCall,
    ScanCall,
    WatchCall,
)
from godwitpath.ports.kv import LeaseLapsed, RevisionConflict, StoreRefused, WatchEvent
from godwitpath_standin.kv_core import KeyValueCore
from godwitpath_standin.server import JsonResponse, Standin

HEARTBEAT_INTERVAL_S = 3.0
EXPIRY_CHECK_INTERVAL_S = 0.05


class RateLimit:
    """Token bucket that holds the tokens of at most one second.

    :param per_s: sustained rate in calls per second
    """

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_at_s = 0.0

    def try_acquire(self, now_s: float) -> bool:
        """Consume one token.

        :returns: whether a token was available
        """
        self._tokens = min(self._per_s, self._tokens + (now_s - self._refilled_at_s) * self._per_s)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class KeyValueStandin:
    """HTTP interface of a key-value core, with rate limits and latency.

    :param latency_s: delay before a call takes effect
    :param reads_per_s: limit of read calls
    :param writes_per_s: limit of write calls
    """

    def __init__(self, latency_s: float, reads_per_s: float, writes_per_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._core = KeyValueCore(self._loop.time)
        self._latency_s = latency_s
        self._limits = {"reads": RateLimit(reads_per_s), "writes": RateLimit(writes_per_s)}
        self._counts = {
            "reads": 0, "writes": 0, "watches": 0, "refused": 0, "read_bytes": 0, "write_bytes": 0
        }  # fmt: skip
        self._watch_queues: set[asyncio.Queue[WatchEvent | None]] = set()
        core = self._core
        routes = [
            self._route("get", "reads", GetCall, lambda call: core.get(call.key)),
            self._route(
                "scan",
                "reads",
                ScanCall,
                lambda call: core.scan(call.prefix, call.limit, call.after),
            ),
            self._route(
                "put",
                "writes",
                PutCall,
                lambda call: core.put(call.key, call.value, call.expected_revision, call.lease_id),
            ),
            self._route(
                "delete",
                "writes",
                DeleteCall,
                lambda call: core.delete(call.key, call.expected_revision),
            ),
            self._route(
                "lease/grant", "writes", GrantCall, lambda call: core.grant_lease(call.ttl_s)
            ),
            self._route(
                "lease/renew", "writes", LeaseCall, lambda call: core.renew_lease(call.lease_id)
            ),
            self._route(
                "lease/revoke", "writes", LeaseCall, lambda call: core.revoke_lease(call.lease_id)
            ),
            Route("/kv/watch", self._watch, methods=["POST"]),
            Route("/stats", self._stats, methods=["GET"]),
        ]
        self.standin = Standin(routes, self._on_faults_changed)
        self._expiry_task = asyncio.create_task(self._expire_leases())

    def _route(
        self, name: str, limit_name: str, call_type: type[Any], operation: Callable[[Any], Any]
    ) -> Route:
        decoder = msgspec.json.Decoder(call_type)

        async def handle(request: Request) -> Response:
            body = await request.body()
            self._counts[limit_name] += 1
            self._counts["write_bytes"] += len(body)
            if not self._limits[limit_name].try_acquire(self._loop.time()):
                self._counts["refused"] += 1
                return JsonResponse({"error": "rate exceeded"}, 429, {"retry-after": "1"})
            if self._latency_s:
                await asyncio.sleep(self._latency_s)
            delay_s = self.standin.faults.lose_effect_s
            if delay_s > 0 and limit_name == "writes":
                self._loop.call_later(
                    delay_s, _run_operation, lambda: operation(decoder.decode(body))
                )
                return JsonResponse({"error": "the answer was lost"}, 500)
            response = _run_operation(lambda: operation(decoder.decode(body)))
            self._counts["read_bytes"] += len(response.body)
            return response

        endpoint: Callable[[Request], Awaitable[Response]] = handle
        return Route(f"/kv/{name}", endpoint, methods=["POST"])

    async def _watch(self, request: Request) -> Response:
        call = msgspec.json.decode(await request.body(), type=WatchCall)
        self._counts["watches"] += 1
        return StreamingResponse(self._events(call), media_type="application/x-ndjson")

    async def _events(self, call: WatchCall) -> AsyncIterator[bytes]:
        queue: asyncio.Queue[WatchEvent | None] = asyncio.Queue()
        listener_id = self._core.listen(call.prefix, call.after_revision, queue.put_nowait)
        self._watch_queues.add(queue)
        try:
            yield b"\n"
            while True:
                try:
                    event = await asyncio.wait_for(queue.get(), HEARTBEAT_INTERVAL_S)
                except TimeoutError:
                    yield b"\n"
                    continue
                if event is None:
                    return
                line = msgspec.json.encode(event) + b"\n"
                self._counts["read_bytes"] += len(line)
                yield line
        finally:
            self._watch_queues.discard(queue)
            self._core.unlisten(listener_id)

    async def _stats(self, _: Request) -> Response:
        return JsonResponse({**self._counts, "open_watches": len(self._watch_queues)})

    async def _expire_leases(self) -> None:
        # Watches must report the keys of expired leases even when no call triggers the expiry.
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self._core.expire()

    def _on_faults_changed(self, faults: Any) -> None:
        if faults.outage or faults.drop:
            for queue in self._watch_queues:
                queue.put_nowait(None)


def _run_operation(operation: Callable[[], object]) -> Response:
    try:
        return JsonResponse(operation())
    except RevisionConflict as error:
        return JsonResponse(error.current, 409)
    except LeaseLapsed as error:
        return JsonResponse({"error": str(error)}, 410)
    except StoreRefused as error:
        return JsonResponse({"error": str(error)}, 413)
    except msgspec.MsgspecError as error:
        return JsonResponse({"error": str(error)}, 400)
