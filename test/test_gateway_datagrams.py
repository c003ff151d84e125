"""Datagrams to other daemons: sizes, and those that cannot be sent."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from godwitpath.gateway import datagrams
from godwitpath.gateway.datagrams import LINE_INTERVAL_S, MAX_DATAGRAM_BYTES, DatagramSender
from godwitpath.gateway.instruments import Instruments

PEER = ("127.0.0.1", 9)


class FakeTransport:
    """Records the sizes of what it is given to send."""

    def __init__(self) -> None:
        self.sent_bytes: list[int] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Record a datagram."""
        assert address == PEER
        self.sent_bytes.append(len(data))


@pytest.mark.looptime
async def test_a_datagram_that_is_too_large_is_counted_and_logged_once_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[dict[str, Any]] = []
    monkeypatch.setattr(datagrams, "decision", lambda kind, **fields: logged.append(fields))
    transport, instruments = FakeTransport(), Instruments()
    loop = asyncio.get_running_loop()
    sender = DatagramSender(cast(asyncio.DatagramTransport, transport), instruments, loop.time)
    for _ in range(3):
        sender.sendto(bytes(MAX_DATAGRAM_BYTES), PEER)
        sender.sendto(bytes(MAX_DATAGRAM_BYTES + 1), PEER)
        await asyncio.sleep(LINE_INTERVAL_S / 2)
    assert transport.sent_bytes == [MAX_DATAGRAM_BYTES] * 3
    assert instruments.unsent_datagrams == 3
    assert instruments.datagram_bytes.bind().largest == MAX_DATAGRAM_BYTES + 1
    assert logged == [{"size_bytes": MAX_DATAGRAM_BYTES + 1, "address": "127.0.0.1:9"}] * 2


async def test_the_largest_datagram_is_the_largest_that_the_system_sends() -> None:
    loop = asyncio.get_running_loop()
    errors: list[Exception] = []

    class Protocol(asyncio.DatagramProtocol):
        def error_received(self, exc: Exception) -> None:
            errors.append(exc)

    receiver, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
    )
    transport, _ = await loop.create_datagram_endpoint(Protocol, local_addr=("127.0.0.1", 0))
    address = receiver.get_extra_info("sockname")
    transport.sendto(bytes(MAX_DATAGRAM_BYTES), address)
    assert not errors
    transport.sendto(bytes(MAX_DATAGRAM_BYTES + 1), address)
    assert len(errors) == 1
    transport.close()
    receiver.close()
