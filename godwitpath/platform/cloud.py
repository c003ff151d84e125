"""The platform's API for usage reports and orders of engines."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from godwitpath.gateway.cloud import CloudRefused, CloudUncertain, DutyProof, FencedOff
from godwitpath.http1.messages import NotSent, ResponseLost
from godwitpath.platform.http_api import HttpApi
from godwitpath.ports.engine import Address

CALL_TIMEOUT_S = 2.0
"""Longest wait for an answer; a call that got none may still be carried out."""


class PlatformCloud:
    """Client of the cloud API.

    :ivar calls: calls by kind and outcome
    """

    def __init__(self, address: Address) -> None:
        self._api = HttpApi(address)
        self.calls = self._api.calls

    async def report_usage(
        self, proof: DutyProof, window: int, requests: Mapping[str, int]
    ) -> None:
        """Report the requests of each account that began to run in a window.

        :raises FencedOff: a later holder has called
        :raises CloudRefused: nothing was done
        :raises CloudUncertain: it may have been done, or may be done yet
        """
        body = {"windowNumber": window, "counts": dict(requests)}
        await self._call("usage", "/usage", proof, body)

    async def order_engines(
        self, proof: DutyProof, service: str, zone: str, count: int, reclaimable: bool
    ) -> bool:
        """Order a number of engines of one kind in an availability zone.

        :returns: False where none are to be had there now, or a later holder has called
        :raises CloudRefused: nothing was done
        :raises CloudUncertain: it may have been done, or may be done yet
        """
        body: dict[str, Any] = {"service": service, "zone": zone, "desiredCount": count}
        if reclaimable:
            body["spot"] = True
        status = await self._post("scale", "/scale", proof, body)
        return status == 200

    async def _call(self, kind: str, target: str, proof: DutyProof, body: Any) -> None:
        status = await self._post(kind, target, proof, body)
        if status == 409:
            raise FencedOff(f"{kind}: a holder with a later token than {proof.token} has called")

    async def _post(self, kind: str, target: str, proof: DutyProof, body: Any) -> int:
        headers = (
            (b"X-Duty-Holder", proof.holder.encode()),
            # Grows with each holder: the store revision that made the duty's key.
            (b"X-Fencing-Token", b"%d" % proof.token),
        )
        try:
            status, _ = await self._api.call(
                kind, "POST", target, body, timeout_s=CALL_TIMEOUT_S, headers=headers
            )
        except NotSent as error:
            raise CloudRefused(str(error)) from error
        except ResponseLost as error:
            raise CloudUncertain(str(error)) from error
        return status

    def close(self) -> None:
        """Close every connection."""
        self._api.close()
