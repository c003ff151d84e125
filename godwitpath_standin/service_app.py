"""HTTP server of a simulated plain service that counts executions by idempotency key."""

from __future__ import annotations

import asyncio
import hashlib

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from godwitpath.adapters.service_http import ATTEMPT_ID_HEADER, IDEMPOTENCY_KEY_HEADER
from godwitpath_standin.server import JsonResponse, Standin

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class PlainServiceStandin:
    """HTTP interface of the service: counts each call, delays, and returns a digest of the call.

    The service does not deduplicate by key, so a call that is sent twice shows in the counts.

    :param run_s: duration of a call
    """

    def __init__(self, run_s: float) -> None:
        self._run_s = run_s
        self._executions: dict[str, int] = {}
        self._digests: dict[str, str] = {}
        self._calls = 0
        routes = [
            Route("/by-key/{key}", self._by_key, methods=["GET"]),
            Route("/executions", self._all_executions, methods=["GET"]),
            Route("/stats", self._stats, methods=["GET"]),
            Route("/{path:path}", self._run, methods=METHODS),
        ]
        self.standin = Standin(routes)

    async def _run(self, request: Request) -> Response:
        body = await request.body()
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        query = f"?{request.url.query}" if request.url.query else ""
        digest = request_digest(request.method, request.url.path + query, body)
        # The call counts as executed from here on, even if the connection breaks.
        self._calls += 1
        if key:
            self._executions[key] = self._executions.get(key, 0) + 1
            self._digests[key] = digest
        await asyncio.sleep(self._run_s)
        content = {
            "key": key,
            "digest": digest,
            "execution": self._executions.get(key, 1),
            "method": request.method,
            "path": request.url.path,
        }
        attempt_id = request.headers.get(ATTEMPT_ID_HEADER, "")
        return JsonResponse(
            content, headers={ATTEMPT_ID_HEADER: attempt_id} if attempt_id else None
        )

    async def _by_key(self, request: Request) -> Response:
        key = request.path_params["key"]
        count = self._executions.get(key, 0)
        if count == 0:
            return JsonResponse({"key": key, "ran": False}, status_code=404)
        content = {"key": key, "ran": True, "executions": count, "digest": self._digests[key]}
        return JsonResponse(content)

    async def _all_executions(self, _: Request) -> Response:
        return JsonResponse(self._executions)

    async def _stats(self, _: Request) -> Response:
        ran_twice = sum(1 for count in self._executions.values() if count > 1)
        return JsonResponse(
            {"calls": self._calls, "keys": len(self._executions), "ran_twice": ran_twice}
        )


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that the service returns for a call.

    A response delivered to the wrong caller is detected by its digest.
    """
    return hashlib.sha256(f"{method} {path}\n".encode() + body).hexdigest()
