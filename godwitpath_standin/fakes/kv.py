"""In-process fake of the key-value store with switchable faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import TypeVar

from godwitpath.ports.kv import (
    KeyValue,
    KeyValueStore,
    Lease,
    StoreError,
    StoreRefused,
    StoreUncertain,
    WatchEvent,
)
from godwitpath_standin.kv_core import KeyValueCore

T = TypeVar("T")


@dataclass(slots=True)
class CallCounts:
    """Number of calls and bytes that reached the store through one :class:`FakeKeyValueStore`."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    bytes_read: int = 0
    bytes_written: int = 0


@dataclass(slots=True, eq=False)
class _Watch:
    queue: asyncio.Queue[WatchEvent | None]
    suppressed: bool = False


def loop_core() -> KeyValueCore:
    """Return a core whose leases expire by the clock of the running loop."""
    return KeyValueCore(lambda: asyncio.get_running_loop().time())


class FakeKeyValueStore(KeyValueStore):
    """A client of the store; several fakes may share a core.

    :ivar latency_s: duration of each call
    :ivar timeout_s: time after which a call fails
    :ivar slow_s: time added to the duration of each call; a write that exceeds the timeout fails as
        uncertain and still takes effect
    :ivar delay_effect_s: if above 0, writes fail as uncertain and take effect after this time
    :ivar counts: number of calls and bytes that reached the store
    """

    def __init__(
        self, core: KeyValueCore | None = None, latency_s: float = 0.0, timeout_s: float = 1.0
    ) -> None:
        self.core = core or loop_core()
        self.latency_s = latency_s
        self.timeout_s = timeout_s
        self.slow_s = 0.0
        self.delay_effect_s = 0.0
        self.counts = CallCounts()
        self._outage = False
        self._responses_to_lose = 0
        self._watches: set[_Watch] = set()

    @property
    def outage(self) -> bool:
        """Whether calls are refused; the start of an outage also ends the open watches."""
        return self._outage

    @outage.setter
    def outage(self, value: bool) -> None:
        self._outage = value
        if value:
            for watch in self._watches:
                watch.queue.put_nowait(None)

    def lose_next_responses(self, count: int = 1) -> None:
        """Let the next writes take effect and lose their responses."""
        self._responses_to_lose = count

    def suppress_watch_events(self) -> None:
        """Suppress all further events of the open watches; new watches work."""
        for watch in self._watches:
            watch.suppressed = True

    async def get(self, key: str) -> KeyValue | None:
        item = await self._read(lambda: self.core.get(key))
        self.counts.bytes_read += len(item.value) if item else 0
        return item

    async def scan(self, prefix: str, limit: int = 1000, after: str = "") -> list[KeyValue]:
        items = await self._read(lambda: self.core.scan(prefix, limit, after))
        self.counts.bytes_read += sum(len(item.value) for item in items)
        return items

    async def put(self, key: str, value: bytes, expected_revision: int, lease_id: int = 0) -> int:
        self.counts.bytes_written += len(value)
        return await self._write(lambda: self.core.put(key, value, expected_revision, lease_id))

    async def delete(self, key: str, expected_revision: int) -> None:
        await self._write(lambda: self.core.delete(key, expected_revision))

    async def grant_lease(self, ttl_s: float) -> Lease:
        return await self._write(lambda: self.core.grant_lease(ttl_s))

    async def renew_lease(self, lease_id: int) -> None:
        await self._write(lambda: self.core.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: int) -> None:
        await self._write(lambda: self.core.revoke_lease(lease_id))

    async def watch(self, prefix: str, after_revision: int) -> AsyncIterator[WatchEvent]:
        self._refuse_in_outage()
        self.counts.watches += 1
        watch = _Watch(asyncio.Queue())
        listener_id = self.core.listen(prefix, after_revision, watch.queue.put_nowait)
        self._watches.add(watch)
        try:
            while True:
                event = await self._next_event(watch)
                if event is None:
                    raise StoreRefused("the store ended the watch")
                if not watch.suppressed:
                    self.counts.bytes_read += len(event.value or b"")
                    yield event
        finally:
            self._watches.discard(watch)
            self.core.unlisten(listener_id)

    async def _next_event(self, watch: _Watch) -> WatchEvent | None:
        # Leases expire without a call to the store, so the wait ends at the next expiry.
        while True:
            expiry_s = self.core.next_expiry_s()
            try:
                async with asyncio.timeout_at(expiry_s):
                    return await watch.queue.get()
            except TimeoutError:
                self.core.expire()

    async def _read(self, operation: Callable[[], T]) -> T:
        self._refuse_in_outage()
        self.counts.reads += 1
        delay_s = self.latency_s + self.slow_s
        await asyncio.sleep(min(delay_s, self.timeout_s))
        if delay_s > self.timeout_s:
            raise StoreRefused("the store did not answer in time")
        self._refuse_in_outage()
        return operation()

    async def _write(self, operation: Callable[[], T]) -> T:
        self._refuse_in_outage()
        self.counts.writes += 1
        if self.delay_effect_s > 0:
            self._apply_later(self.delay_effect_s, operation)
            await asyncio.sleep(self.latency_s)
            raise StoreUncertain("the answer was lost")
        delay_s = self.latency_s + self.slow_s
        if delay_s > self.timeout_s:
            self._apply_later(delay_s, operation)
            await asyncio.sleep(self.timeout_s)
            raise StoreUncertain("the store did not answer in time")
        # The write takes effect after half of the delay.
        await asyncio.sleep(delay_s / 2)
        self._refuse_in_outage()
        loses_response = self._responses_to_lose > 0
        self._responses_to_lose -= loses_response
        try:
            result = operation()
        except StoreError:
            await asyncio.sleep(delay_s / 2)
            if loses_response:
                raise StoreUncertain("the answer was lost") from None
            raise
        await asyncio.sleep(delay_s / 2)
        if loses_response or self._outage:
            raise StoreUncertain("the answer was lost")
        return result

    def _apply_later(self, delay_s: float, operation: Callable[[], object]) -> None:
        def apply() -> None:
            try:
                operation()
            except StoreError:
                return

        asyncio.get_running_loop().call_later(delay_s, apply)

    def _refuse_in_outage(self) -> None:
        if self._outage:
            raise StoreRefused("the store is down")
