"""HTTP application for operators: state, readiness, metrics and explanations."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from godwitpath.entry.context import EntryContext
from godwitpath.entry.state_dump import daemon_ready, dump_state, fleet_status

Handler = Callable[[Request], Awaitable[Response]]


def operator_app(context: EntryContext) -> Starlette:
    """Return the application for operators."""

    def require_key(handler: Handler) -> Handler:
        async def check_key(request: Request) -> Response:
            presented_key = (
                request.headers.get("authorization", "").removeprefix("Bearer ").encode()
            )
            expected_key = context.settings.operator.key.encode()
            # An empty key in the settings denies all access.
            if not expected_key or not hmac.compare_digest(presented_key, expected_key):
                return _json({"error": "wrong operator key"}, 401)
            return await handler(request)

        return check_key

    async def live(_request: Request) -> Response:
        return _json({"live": True})

    async def ready(_request: Request) -> Response:
        report = daemon_ready(context)
        return _json(report, 200 if report.ready else 503)

    async def state(_request: Request) -> Response:
        return _json(dump_state(context))

    async def status(_request: Request) -> Response:
        return _json(await fleet_status(context))

    async def metrics(_request: Request) -> Response:
        body, content_type = context.metrics.render()
        return Response(body, media_type=content_type)

    async def explain(request: Request) -> Response:
        around = request.query_params.get("around_s", "")
        around_s = float(around) if around.isdecimal() else None
        subject_id = request.path_params["subject_id"]
        return _json(await context.journal.find(subject_id, around_s=around_s))

    return Starlette(
        routes=[
            Route("/admin/live", live),
            Route("/admin/ready", ready),
            Route("/admin/state", require_key(state)),
            Route("/admin/status", require_key(status)),
            Route("/admin/explain/{subject_id:path}", require_key(explain)),
            Route("/metrics", require_key(metrics)),
        ]
    )


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status, media_type="application/json")
