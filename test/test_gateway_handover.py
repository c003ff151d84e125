"""Tests of calls to the cloud API that are under way when their sender loses the duties."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest

from godwitpath.gateway.cloud import CloudRefused
from godwitpath.gateway.holder import DutyHolder
from godwitpath.gateway.members import MemberEntry, Members
from godwitpath.gateway.settings import Bounds
from godwitpath.http1.client import ClientConnection
from godwitpath.http1.messages import Request
from godwitpath.http1.responder import Responder
from godwitpath.platform.cloud import PlatformCloud
from godwitpath_standin.gateway.server import StandinServer
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore


class Orders(StandinServer):
    """A cloud API that records the holder of each order."""

    def __init__(self) -> None:
        super().__init__(self._handle)
        self.holders: list[bytes] = []

    async def _handle(self, request: Request, responder: Responder) -> None:
        self.holders.append(request.header(b"x-duty-holder"))
        responder.respond(200, [], b"{}")


class Daemon:
    """The parts of a daemon that hold the duties."""

    def __init__(self, core: StoreCore, name: str) -> None:
        store = FakeStore(core)
        members = Members(store, name, MemberEntry("127.0.0.1", 1, "a", 1), Random(name))
        self.holder = DutyHolder(store, members, name, Bounds(), Random(name), lambda *_: 0.0)
        self.tasks = [asyncio.create_task(job) for job in (members.run(), self.holder.run())]

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def connect_slowly(cloud: PlatformCloud, meanwhile: Callable[[], object]) -> None:
    """Make something happen while a connection to the cloud API opens."""
    acquire = cloud._api._pool.acquire

    async def acquire_slowly(host: str, port: int, timeout_s: float) -> ClientConnection:
        connection = await acquire(host, port, timeout_s)
        result = meanwhile()
        if asyncio.iscoroutine(result):
            await result
        return connection

    cloud._api._pool.acquire = acquire_slowly  # type: ignore[method-assign, assignment]


async def test_an_order_under_way_at_a_hand_over_is_sent_by_the_successor_only() -> None:
    core, server = StoreCore(), Orders()
    address = await server.start()
    clouds = [PlatformCloud(address) for _ in range(2)]
    first = Daemon(core, "d1")
    await asyncio.sleep(1.5)
    token = first.holder.fencing_token()
    assert token is not None
    second = Daemon(core, "d2")
    await asyncio.sleep(1.0)

    async def hand_over() -> None:
        await first.holder.release()
        await asyncio.sleep(1.5)
        successor = second.holder.fencing_token()
        assert successor is not None
        assert successor.number > token.number
        await clouds[1].order_engines(successor, "lm", "a", 3, False)

    connect_slowly(clouds[0], hand_over)
    with pytest.raises(CloudRefused):
        await clouds[0].order_engines(token, "lm", "a", 3, False)
    assert server.holders == [b"d2"]
    for daemon in (first, second):
        await daemon.stop()
    for cloud in clouds:
        cloud.close()
    await server.stop()


async def test_a_holder_that_was_paused_past_its_lease_does_not_send_what_it_had_begun(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = Orders()
    cloud = PlatformCloud(await server.start())
    daemon = Daemon(StoreCore(), "d1")
    await asyncio.sleep(1.5)
    token = daemon.holder.fencing_token()
    assert token is not None

    def pause() -> None:
        # The holder may have renewed its lease since the call began.
        resumed_at_s = daemon.holder._valid_until_s + 0.1
        monkeypatch.setattr("godwitpath.gateway.holder.boot_time_s", lambda: resumed_at_s)

    connect_slowly(cloud, pause)
    with pytest.raises(CloudRefused):
        await cloud.report_usage(token, 1, {"hule": 3})
    assert server.holders == []
    await daemon.stop()
    cloud.close()
    await server.stop()
