"""Cloud API, instance list and weight store over HTTP with JSON bodies."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec

from godwitpath.adapters.http_client import AnswerLost, HttpClient, NotSent
from godwitpath.ports.platform import (
    Cloud,
    CloudRefused,
    Instance,
    InstanceList,
    Offer,
    PlatformUnavailable,
    ReclaimNotice,
    WeightStore,
    WeightVersion,
)

MAX_RESPONSE_BYTES = 16_777_216
NOTICES_IDLE_TIMEOUT_S = 10.0

R = TypeVar("R")


class AcquireCall(msgspec.Struct):
    """Request body: acquisition of an instance."""

    offer: Offer
    purpose: str
    request_token: str


class ReleaseCall(msgspec.Struct):
    """Request body: release of an instance."""

    instance_id: str


class _JsonClient:
    """Base of the clients of the platform's services, which take and return JSON bodies."""

    def __init__(self, base_url: str, timeout_s: float = 1.0) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._client = HttpClient(connect_timeout_s=timeout_s)

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()

    async def _request_json(
        self, method: str, path: str, result_type: type[R], body: bytes = b""
    ) -> R:
        url = f"{self._base_url}{path}"
        try:
            response, response_body = await self._client.call(
                method, url, body=body, timeout_s=self._timeout_s, max_bytes=MAX_RESPONSE_BYTES
            )
            if response.status == 200:
                return msgspec.json.decode(response_body, type=result_type)
        except (NotSent, AnswerLost, msgspec.MsgspecError) as error:
            raise PlatformUnavailable(str(error)) from error
        if response.status in (409, 429):
            raise CloudRefused(f"refused with status {response.status}", response.retry_after_s)
        raise PlatformUnavailable(f"the platform answered with status {response.status}")


class HttpCloud(_JsonClient, Cloud):
    """Client of the cloud API."""

    async def offers(self) -> list[Offer]:
        return await self._request_json("GET", "/offers", list[Offer])

    async def acquire(self, offer: Offer, purpose: str, request_token: str) -> Instance:
        body = msgspec.json.encode(AcquireCall(offer, purpose, request_token))
        return await self._request_json("POST", "/acquire", Instance, body)

    async def release(self, instance_id: str) -> None:
        body = msgspec.json.encode(ReleaseCall(instance_id))
        await self._request_json("POST", "/release", int, body)

    async def notices(self) -> AsyncIterator[ReclaimNotice]:
        decoder = msgspec.json.Decoder(ReclaimNotice)
        try:
            response = await self._client.open(
                "GET",
                f"{self._base_url}/notices",
                timeout_s=self._timeout_s,
                idle_timeout_s=NOTICES_IDLE_TIMEOUT_S,
            )
            try:
                buffer = b""
                while response.status == 200 and (data := await response.read()):
                    *lines, buffer = (buffer + data).split(b"\n")
                    for line in lines:
                        if line:
                            yield decoder.decode(line)
            finally:
                response.close()
        except (NotSent, AnswerLost, msgspec.MsgspecError) as error:
            raise PlatformUnavailable(str(error)) from error
        raise PlatformUnavailable("the cloud ended the stream of notices")


class HttpInstanceList(_JsonClient, InstanceList):
    """Client of the instance list."""

    async def instances(self) -> list[Instance]:
        return await self._request_json("GET", "/instances", list[Instance])


class HttpWeightStore(_JsonClient, WeightStore):
    """Client of the weight store."""

    async def versions(self, model: str) -> list[WeightVersion]:
        return await self._request_json("GET", f"/weights/{model}", list[WeightVersion])
