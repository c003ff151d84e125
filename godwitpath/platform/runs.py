"""Calls to engines about the runs that they hold."""

from __future__ import annotations

import msgspec

from godwitpath.gateway.evacuate import MovedRun, MoveFailed
from godwitpath.http1.messages import NotSent, ResponseLost
from godwitpath.platform.http_api import HttpApi
from godwitpath.ports.engine import Address


class _Moved(msgspec.Struct):
    # Names the run's memory at the engine that ran it.
    handle: str | int | None = None


class PlatformRuns:
    """Moves runs from one engine to another."""

    async def move_run(self, source: Address, request_id: str, target: Address) -> MovedRun:
        """Stop a run and copy its memory to another engine.

        :raises MoveFailed: there is no such run, or no answer
        """
        api = HttpApi(source)
        body = {"id": request_id, "to": str(target), "last": True}
        try:
            status, answer = await api.exchange("POST", "/kv-move", body)
        except (NotSent, ResponseLost) as error:
            raise MoveFailed(str(error)) from error
        finally:
            api.close()
        try:
            handle = msgspec.json.decode(answer, type=_Moved).handle if answer else None
        except msgspec.DecodeError as error:
            raise MoveFailed(f"answer cannot be read: {error}") from error
        # With 503 the other engine has no room or is not reached; the run is stopped all the same.
        if status not in (200, 503) or handle is None:
            raise MoveFailed(f"refused with {status}")
        return MovedRun(str(handle), copied=status == 200)
