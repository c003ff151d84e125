"""HTTP server of the store in the wire format of the platform."""

from __future__ import annotations

import asyncio
import base64
from collections import deque
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from godwitpath.gateway.store import Change, HistoryLost, Item, Precondition, Put, TxnConflict
from godwitpath.http1.messages import Request
from godwitpath.http1.responder import Responder
from godwitpath.ports.kv import LeaseLapsed
from godwitpath_standin.gateway.server import StandinServer
from godwitpath_standin.gateway.store_core import StoreCore

PAGE_ITEMS = 50
"""Entries of a page of a range read."""


class StoreServer(StandinServer):
    """Serves a :class:`StoreCore` over HTTP.

    :ivar refuse_with: HTTP status with which every call is refused, 0 to serve calls
    :ivar no_response: whether calls get no response
    :ivar away: whether the store is away
    :ivar resets_when_away: whether connections of calls are reset while the store is away;
        otherwise calls get no response
    :ivar responses_to_lose: number of next writes that take effect and get no response
    :ivar write_delays_s: for each of the next writes, which get no response, the time after which
        it takes effect if its conditions hold then
    :ivar raw_items: JSON texts by key, each sent wherever the item of the key would be
    """

    def __init__(self, core: StoreCore) -> None:
        super().__init__(self._handle)
        self.core = core
        self.refuse_with = 0
        self.no_response = False
        self.away = False
        self.resets_when_away = True
        self.responses_to_lose = 0
        self.write_delays_s: deque[float] = deque()
        self.raw_items: dict[str, bytes] = {}

    @property
    def reachable(self) -> bool:
        """Whether the store serves calls."""
        return not (self.refuse_with or self.no_response or self.away)

    async def _handle(self, request: Request, responder: Responder) -> None:
        if self.away and self.resets_when_away:
            responder.abort()
            return
        if self.no_response or self.away:
            await asyncio.sleep(3600)
        if self.refuse_with:
            responder.respond(self.refuse_with, [self._era_field()], b"{}")
            return
        if self.write_delays_s and request.target == b"/kv-txn":
            write = msgspec.json.decode(request.body)
            loop = asyncio.get_running_loop()
            loop.call_later(self.write_delays_s.popleft(), self._txn, write)
            responder.abort()
            return
        status, body = await self._call(request)
        if self.responses_to_lose and request.target == b"/kv-txn":
            self.responses_to_lose -= 1
            responder.abort()
            return
        headers = [(b"content-type", b"application/json"), self._era_field()]
        responder.respond(status, headers, msgspec.json.encode(body))

    def _era_field(self) -> tuple[bytes, bytes]:
        return b"store-era", str(self.core.era).encode()

    async def _call(self, request: Request) -> tuple[int, Any]:
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        core = self.core
        core.expire()
        if url.path == "/kv-key":
            item = core.items.get(query["key"])
            if item is None:
                return 404, {}
            encoded = self._item(item)
            if isinstance(encoded, dict):
                encoded["currentRev"] = core.revision
            return 200, encoded
        if url.path == "/kv-range":
            return 200, self._page(query["prefix"], query.get("after", ""))
        if url.path == "/kv-watch":
            return await self._watch(query)
        if url.path == "/kv-txn":
            return self._txn(msgspec.json.decode(request.body))
        if url.path == "/kv-lease":
            ttl_ms = msgspec.json.decode(request.body)["ttlMs"]
            return 200, {"lease": core.grant(ttl_ms / 1000), "ttlMs": ttl_ms}
        lease_id = int(url.path.rpartition("/")[2])
        if url.path.startswith("/kv-keep/"):
            try:
                core.renew(lease_id)
            except LeaseLapsed:
                return 404, {}
            return 200, {"ttlMs": 0}
        core.end_lease(lease_id)
        return 200, {}

    def _page(self, prefix: str, after: str) -> dict[str, Any]:
        items = [
            item
            for key, item in sorted(self.core.items.items())
            if key.startswith(prefix) and key > after
        ]
        return {
            "entries": [self._item(item) for item in items[:PAGE_ITEMS]],
            "hasMore": len(items) > PAGE_ITEMS,
            "currentRev": self.core.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query["waitMs"]) / 1000
        while True:
            try:
                changes = self.core.changes_since(query["prefix"], int(query["after"]))
            except HistoryLost:
                return 410, {}
            remaining_s = end_s - loop.time()
            if changes or remaining_s <= 0:
                events = [self._event(change) for change in changes]
                return 200, {"events": events, "currentRev": self.core.revision}
            await self.core.wait_for_change(min(remaining_s, 0.1))
            self.core.expire()

    def _txn(self, body: dict[str, Any]) -> tuple[int, Any]:
        conditions = [Precondition(row["key"], row["revision"]) for row in body["expectedRevision"]]
        puts = [
            Put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in body["puts"]
        ]
        try:
            revision = self.core.write(conditions, puts, body.get("remove", ()))
        except TxnConflict as conflict:
            return 412, {"entries": [self._item(item) for item in conflict.current]}
        except LeaseLapsed:
            return 404, {}
        return 200, {"revision": revision}

    def _item(self, item: Item) -> dict[str, Any] | msgspec.Raw:
        if item.key in self.raw_items:
            return msgspec.Raw(self.raw_items[item.key])
        return {
            "key": item.key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "createRevision": item.created_revision,
            "lease": item.lease_id,
        }

    def _event(self, change: Change) -> dict[str, Any] | msgspec.Raw:
        if change.item is None:
            return {"key": change.key, "revision": change.revision, "removed": True}
        return self._item(change.item)
