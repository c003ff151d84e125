"""Client of the platform's cloud API for usage reports and engine orders."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from godwitpath.gateway.cloud import CloudRefused, CloudUncertain, FencedOff, FencingToken
from godwitpath.http1.messages import NotSent, ResponseLost
from godwitpath.platform.http_api import HttpApiClient
from godwitpath.ports.engine import Address

CALL_TIMEOUT_S = 2.0
"""Maximum wait for a response; a call that timed out may still be carried out."""


class PlatformCloud:
    """Client of the cloud API.

    :ivar calls: number of calls to the cloud API by kind and outcome
    """

    def __init__(self, address: Address) -> None:
        self._api = HttpApiClient(address)
        self.calls = self._api.calls

    async def report_usage(
        self, fencing_token: FencingToken, window: int, requests: Mapping[str, int]
    ) -> None:
        """Report how many requests of each account started to run in a usage window.

        :param fencing_token: fencing token of the duty holder
        :param window: number of the usage window
        :param requests: number of requests by client account
        :raises FencedOff: a later duty holder has already called
        :raises CloudRefused: the call was not carried out
        :raises CloudUncertain: the call may have been carried out, or may be carried out later
        """
        body = {"windowNumber": window, "counts": dict(requests)}
        await self._call("usage", "/usage", fencing_token, body)

    async def order_engines(
        self, fencing_token: FencingToken, service: str, zone: str, count: int, reclaimable: bool
    ) -> bool:
        """Set the desired number of engines of one kind in an availability zone.

        :param fencing_token: fencing token of the duty holder
        :param count: desired number of engines
        :param reclaimable: whether to order reclaimable engines instead of on-demand engines
        :returns: False if no engines are available there now, or if a later duty holder has called
        :raises CloudRefused: the call was not carried out
        :raises CloudUncertain: the call may have been carried out, or may be carried out later
        """
        body: dict[str, Any] = {"service": service, "zone": zone, "desiredCount": count}
        if reclaimable:
            body["spot"] = True
        status = await self._post("scale", "/scale", fencing_token, body)
        return status == 200

    async def _call(self, kind: str, target: str, fencing_token: FencingToken, body: Any) -> None:
        status = await self._post(kind, target, fencing_token, body)
        if status == 409:
            raise FencedOff(
                f"{kind}: a holder with a later fencing token than {fencing_token.number}"
                " has called"
            )

    async def _post(self, kind: str, target: str, fencing_token: FencingToken, body: Any) -> int:
        headers = (
            (b"X-Duty-Holder", fencing_token.holder.encode()),
            # The store revision, with its era, of the write that acquired the duties.
            (b"X-Fencing-Token", b"%d" % fencing_token.number),
        )
        try:
            response = await self._api.call(
                kind,
                "POST",
                target,
                body,
                timeout_s=CALL_TIMEOUT_S,
                headers=headers,
                may_send=fencing_token.is_valid,
            )
        except NotSent as error:
            raise CloudRefused(str(error)) from error
        except ResponseLost as error:
            raise CloudUncertain(str(error)) from error
        return response.status

    def close(self) -> None:
        """Close every connection."""
        self._api.close()
