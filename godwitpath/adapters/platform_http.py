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

MAX_ANSWER_BYTES = 16_777_216
NOTICES_IDLE_S = 10.0

R = TypeVar("R")


class AcquireCall(msgspec.Struct):
    """Request of an instance."""

    offer: Offer
    purpose: str
    request_token: str


class ReleaseCall(msgspec.Struct):
    """Return of an instance."""

    instance_id: str


class _JsonClient:
    """Calls with JSON bodies to one of the platform's services."""

    def __init__(self, base_url: str, timeout_s: float = 1.0) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._client = HttpClient(connect_timeout_s=timeout_s)

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()

    async def _ask(self, method: str, path: str, kind: type[R], body: bytes = b"") -> R:
        url = f"{self._base_url}{path}"
        try:
            answer, content = await self._client.call(
                method, url, body=body, timeout_s=self._timeout_s, max_bytes=MAX_ANSWER_BYTES
            )
            if answer.status == 200:
                return msgspec.json.decode(content, type=kind)
        except (NotSent, AnswerLost, msgspec.MsgspecError) as error:
            raise PlatformUnavailable(str(error)) from error
        if answer.status in (409, 429):
            raise CloudRefused(f"refused with status {answer.status}", answer.retry_after_s)
        raise PlatformUnavailable(f"the platform answered with status {answer.status}")


class HttpCloud(_JsonClient, Cloud):
    """Client of the cloud API."""

    async def offers(self) -> list[Offer]:
        return await self._ask("GET", "/offers", list[Offer])

    async def acquire(self, offer: Offer, purpose: str, request_token: str) -> Instance:
        body = msgspec.json.encode(AcquireCall(offer, purpose, request_token))
        return await self._ask("POST", "/acquire", Instance, body)

    async def release(self, instance_id: str) -> None:
        body = msgspec.json.encode(ReleaseCall(instance_id))
        await self._ask("POST", "/release", int, body)

    async def notices(self) -> AsyncIterator[ReclaimNotice]:
        decoder = msgspec.json.Decoder(ReclaimNotice)
        try:
            answer = await self._client.open(
                "GET",
                f"{self._base_url}/notices",
                timeout_s=self._timeout_s,
                idle_timeout_s=NOTICES_IDLE_S,
            )
            try:
                rest = b""
                while answer.status == 200 and (piece := await answer.read()):
                    *lines, rest = (rest + piece).split(b"\n")
                    for line in lines:
                        if line:
                            yield decoder.decode(line)
            finally:
                answer.close()
        except (NotSent, AnswerLost, msgspec.MsgspecError) as error:
            raise PlatformUnavailable(str(error)) from error
        raise PlatformUnavailable("the cloud ended the stream of notices")


class HttpInstanceList(_JsonClient, InstanceList):
    """Client of the instance list."""

    async def instances(self) -> list[Instance]:
        return await self._ask("GET", "/instances", list[Instance])


class HttpWeightStore(_JsonClient, WeightStore):
    """Client of the weight store."""

    async def versions(self, model: str) -> list[WeightVersion]:
        return await self._ask("GET", f"/weights/{model}", list[WeightVersion])
