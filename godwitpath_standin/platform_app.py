"""HTTP server of the simulated cloud API, delayed instance list and weight store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from godwitpath.adapters.platform_http import AcquireCall, ReleaseCall
from godwitpath.ports.platform import CloudRefused, Instance, Offer, ReclaimNotice, WeightVersion
from godwitpath_standin.engine_orders import WeightLoadResponse
from godwitpath_standin.faults import Faults
from godwitpath_standin.platform_core import PlatformCore, Spare
from godwitpath_standin.server import JsonResponse, Standin

HEARTBEAT_INTERVAL_S = 3.0


class PlatformState(msgspec.Struct):
    """State to add to the platform; an empty `offers` or `versions` keeps the current ones."""

    instances: list[Instance] = []
    spares: list[Spare] = []
    offers: list[Offer] = []
    versions: list[WeightVersion] = []


class PlatformStandin:
    """HTTP interface of a platform core.

    :param state: initial state
    :param list_lag_s: age of the instance list that callers see, unless a fault sets it
    """

    def __init__(self, state: PlatformState, list_lag_s: float) -> None:
        self._core = PlatformCore(asyncio.get_running_loop().time, list_lag_s)
        self._list_lag_s = list_lag_s
        self._notice_queues: set[asyncio.Queue[ReclaimNotice | None]] = set()
        self._apply_state(state)
        routes = [
            Route("/offers", self._offers, methods=["GET"]),
            Route("/acquire", self._acquire, methods=["POST"]),
            Route("/release", self._release, methods=["POST"]),
            Route("/notices", self._notices, methods=["GET"]),
            Route("/instances", self._instances, methods=["GET"]),
            Route("/instances", self._register, methods=["POST"]),
            Route("/instances/remove", self._remove, methods=["POST"]),
            Route("/weights/{model}", self._versions, methods=["GET"]),
            Route("/weights/{model}/{version}/load", self._load, methods=["POST"]),
        ]
        self.standin = Standin(routes, self._on_faults_changed)

    def _apply_state(self, state: PlatformState) -> None:
        self._core.register(state.instances, state.spares)
        if state.offers:
            self._core.set_offers(state.offers)
        if state.versions:
            self._core.set_versions(state.versions)

    async def _offers(self, _: Request) -> Response:
        return JsonResponse(self._core.offers())

    async def _acquire(self, request: Request) -> Response:
        call = msgspec.json.decode(await request.body(), type=AcquireCall)
        try:
            return JsonResponse(self._core.acquire(call.offer, call.purpose, call.request_token))
        except CloudRefused as error:
            headers = {"retry-after": f"{error.retry_after_s:g}"}
            return JsonResponse({"error": str(error)}, 409, headers)

    async def _release(self, request: Request) -> Response:
        call = msgspec.json.decode(await request.body(), type=ReleaseCall)
        self._core.release(call.instance_id)
        return JsonResponse(0)

    async def _notices(self, _: Request) -> Response:
        return StreamingResponse(self._notice_lines(), media_type="application/x-ndjson")

    async def _notice_lines(self) -> AsyncIterator[bytes]:
        queue: asyncio.Queue[ReclaimNotice | None] = asyncio.Queue()
        for notice in self._core.pending_notices():
            queue.put_nowait(notice)
        self._core.listen(queue.put_nowait)
        self._notice_queues.add(queue)
        try:
            yield b"\n"
            while True:
                try:
                    notice_or_end = await asyncio.wait_for(queue.get(), HEARTBEAT_INTERVAL_S)
                except TimeoutError:
                    yield b"\n"
                    continue
                if notice_or_end is None:
                    return
                yield msgspec.json.encode(notice_or_end) + b"\n"
        finally:
            self._notice_queues.discard(queue)
            self._core.unlisten(queue.put_nowait)

    async def _instances(self, _: Request) -> Response:
        return JsonResponse(self._core.instances())

    async def _register(self, request: Request) -> Response:
        try:
            self._apply_state(msgspec.json.decode(await request.body(), type=PlatformState))
        except msgspec.MsgspecError as error:
            return JsonResponse({"error": str(error)}, 400)
        return JsonResponse(0)

    async def _remove(self, request: Request) -> Response:
        self._core.remove(msgspec.json.decode(await request.body(), type=list[str]))
        return JsonResponse(0)

    async def _versions(self, request: Request) -> Response:
        return JsonResponse(self._core.versions(request.path_params["model"]))

    async def _load(self, request: Request) -> Response:
        model, version = request.path_params["model"], request.path_params["version"]
        wait_s = self._core.queue_transfer(model, version)
        if wait_s is None:
            return JsonResponse({"error": "no such weights"}, 404)
        return JsonResponse(WeightLoadResponse(wait_s))

    def _on_faults_changed(self, faults: Faults) -> None:
        self._core.refuse_instances = faults.refuse_instances
        self._core.list_lag_s = self._list_lag_s if faults.lag_s < 0 else faults.lag_s
        if faults.reclaim:
            self._core.reclaim(faults.reclaim, faults.notice_s)
            faults.reclaim = ""
        if faults.outage or faults.drop:
            for queue in self._notice_queues:
                queue.put_nowait(None)
