"""Calls to engines that move running requests."""

from __future__ import annotations

import msgspec

from godwitpath.decoding import Unreadable, decode, is_header_token
from godwitpath.gateway.evacuate import MovedRun, MoveFailed
from godwitpath.http1.messages import NotSent, ResponseLost
from godwitpath.platform.headers import decode_engine_response
from godwitpath.platform.http_api import HttpApiClient
from godwitpath.ports.engine import Address


class _MoveResult(msgspec.Struct):
    # Identifies the run's KV cache at the source engine.
    handle: str | int | None = None


_decoder = msgspec.json.Decoder(_MoveResult)


class PlatformRunMover:
    """Moves runs from one engine to another, with their KV cache."""

    async def move_run(self, source: Address, request_id: str, target: Address) -> MovedRun:
        """Stop a run and copy its KV cache to another engine.

        :param request_id: id of the request at the source engine
        :raises MoveFailed: the run does not exist, or the engine sent no valid response
        """
        api = HttpApiClient(source)
        body = {"id": request_id, "to": str(target), "last": True}
        try:
            response = await api.exchange("POST", "/kv-move", body)
        except (NotSent, ResponseLost) as error:
            raise MoveFailed(str(error)) from error
        finally:
            api.close()
        fields = decode_engine_response(response.head, b"")
        if response.status in (404, 409):
            raise MoveFailed(f"refused with {response.status}", fields, not_stopped=True)
        handle = _decode_handle(response.body)
        # 503: the target has no free KV cache or is unreachable, but the run was stopped anyway.
        if response.status not in (200, 503) or handle is None:
            raise MoveFailed(f"refused with {response.status}", fields)
        return MovedRun(handle, response.status == 200, fields)


def _decode_handle(body: bytes) -> str | None:
    """Return the handle in the response to a move, None if there is none.

    :raises MoveFailed: the response cannot be decoded
    """
    if not body:
        return None
    try:
        handle = decode(_decoder, body).handle
    except Unreadable as error:
        raise MoveFailed(f"response cannot be decoded: {error}") from error
    if handle is not None and not is_header_token(str(handle)):
        raise MoveFailed(f"no handle: {str(handle)[:80]!r}")
    return None if handle is None else str(handle)
