"""Key-value service over HTTP with JSON bodies; a watch is a stream of JSON lines."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import msgspec

from godwitpath.adapters.http_client import AnswerLost, HttpClient, NotSent
from godwitpath.ports.kv import (
    KeyValue,
    KeyValueStore,
    Lease,
    LeaseLapsed,
    RevisionConflict,
    StoreRefused,
    StoreUncertain,
    WatchEvent,
)

MAX_RESPONSE_BYTES = 67_108_864
WATCH_IDLE_TIMEOUT_S = 10.0


class GetCall(msgspec.Struct):
    """Request body: read of a key."""

    key: str


class ScanCall(msgspec.Struct):
    """Request body: read of the keys with a prefix."""

    prefix: str
    limit: int
    after: str


class PutCall(msgspec.Struct):
    """Request body: compare-and-swap write of a key."""

    key: str
    value: bytes
    expected_revision: int
    lease_id: int = 0


class DeleteCall(msgspec.Struct):
    """Request body: compare-and-swap deletion of a key."""

    key: str
    expected_revision: int


class GrantCall(msgspec.Struct):
    """Request body: grant of a lease."""

    ttl_s: float


class LeaseCall(msgspec.Struct):
    """Request body: renewal or revocation of a lease."""

    lease_id: int


class WatchCall(msgspec.Struct):
    """Request body: start of a watch."""

    prefix: str
    after_revision: int


class HttpKeyValueStore(KeyValueStore):
    """Client of the key-value service.

    :param base_url: URL of the service, such as `http://127.0.0.1:2400`
    :param timeout_s: longest time of a call
    :param watch_idle_timeout_s: time without data after which a watch ends; its user can reopen it
    """

    def __init__(
        self,
        base_url: str,
        timeout_s: float = 1.0,
        watch_idle_timeout_s: float = WATCH_IDLE_TIMEOUT_S,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._watch_idle_timeout_s = watch_idle_timeout_s
        self._client = HttpClient(connect_timeout_s=timeout_s)

    async def get(self, key: str) -> KeyValue | None:
        return await self._read("get", GetCall(key), KeyValue | None)

    async def scan(self, prefix: str, limit: int = 1000, after: str = "") -> list[KeyValue]:
        return await self._read("scan", ScanCall(prefix, limit, after), list[KeyValue])

    async def put(self, key: str, value: bytes, expected_revision: int, lease_id: int = 0) -> int:
        call = PutCall(key, value, expected_revision, lease_id)
        return await self._write("put", call, int, key)

    async def delete(self, key: str, expected_revision: int) -> None:
        await self._write("delete", DeleteCall(key, expected_revision), None, key)

    async def grant_lease(self, ttl_s: float) -> Lease:
        return await self._write("lease/grant", GrantCall(ttl_s), Lease)

    async def renew_lease(self, lease_id: int) -> None:
        await self._write("lease/renew", LeaseCall(lease_id), None)

    async def revoke_lease(self, lease_id: int) -> None:
        await self._write("lease/revoke", LeaseCall(lease_id), None)

    async def watch(self, prefix: str, after_revision: int) -> AsyncIterator[WatchEvent]:
        decoder = msgspec.json.Decoder(WatchEvent)
        try:
            response = await self._client.open(
                "POST",
                f"{self._base_url}/kv/watch",
                body=msgspec.json.encode(WatchCall(prefix, after_revision)),
                timeout_s=self._timeout_s,
                idle_timeout_s=self._watch_idle_timeout_s,
            )
            try:
                if response.status != 200:
                    raise StoreRefused(f"watch refused with status {response.status}")
                buffer = b""
                while data := await response.read():
                    *lines, buffer = (buffer + data).split(b"\n")
                    for line in lines:
                        if line:
                            yield decoder.decode(line)
            finally:
                response.close()
        except (NotSent, AnswerLost, msgspec.MsgspecError) as error:
            raise StoreRefused(f"watch ended: {error}") from error
        raise StoreRefused("the store ended the watch")

    async def close(self) -> None:
        """Close every connection."""
        await self._client.close()

    async def _read(self, path: str, call: msgspec.Struct, result_type: Any) -> Any:
        try:
            return await self._write(path, call, result_type)
        except StoreUncertain as error:
            raise StoreRefused(str(error)) from error

    async def _write(self, path: str, call: msgspec.Struct, result_type: Any, key: str = "") -> Any:
        try:
            response, body = await self._client.call(
                "POST",
                f"{self._base_url}/kv/{path}",
                body=msgspec.json.encode(call),
                timeout_s=self._timeout_s,
                max_bytes=MAX_RESPONSE_BYTES,
            )
            if response.status == 200:
                return msgspec.json.decode(body, type=result_type)
            if response.status == 409:
                raise RevisionConflict(key, msgspec.json.decode(body, type=KeyValue | None))
        except NotSent as error:
            raise StoreRefused(str(error)) from error
        except (AnswerLost, msgspec.MsgspecError) as error:
            raise StoreUncertain(str(error)) from error
        if response.status == 410:
            raise LeaseLapsed("the lease is not known")
        if response.status in (400, 413, 429, 503):
            raise StoreRefused(f"the store refused with status {response.status}")
        raise StoreUncertain(f"the store answered with status {response.status}")
