"""Tests of datagrams that are not sent: each is counted under its reason, the first is logged."""

from __future__ import annotations

import asyncio
import errno
from collections import Counter
from random import Random
from typing import Any, cast

import pytest

from godwitpath.gateway import report_sender
from godwitpath.gateway.instruments import Instruments
from godwitpath.gateway.members import MemberEntry, Members
from godwitpath.gateway.report_sender import LINE_INTERVAL_S, MAX_UDP_BYTES, ReportSender
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore

PEER = ("127.0.0.1", 9)


class FakeTransport:
    """Records the sizes of what it is given to send."""

    def __init__(self) -> None:
        self.sent_bytes: list[int] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Record a datagram."""
        assert address == PEER
        self.sent_bytes.append(len(data))


def sender(counts: Counter[str], instruments: Instruments | None = None) -> ReportSender:
    entry = MemberEntry("127.0.0.1", 1, "a", 1)
    members = Members(FakeStore(StoreCore()), "d00", entry, Random(1))
    return ReportSender(members, counts, instruments or Instruments())


@pytest.mark.looptime
async def test_a_datagram_that_is_too_large_is_counted_and_logged_once_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[dict[str, Any]] = []
    monkeypatch.setattr(report_sender, "decision", lambda kind, **fields: logged.append(fields))
    counts: Counter[str] = Counter()
    transport, instruments = FakeTransport(), Instruments()
    sending = sender(counts, instruments)
    sending.transport = cast(asyncio.DatagramTransport, transport)
    for _ in range(3):
        sending.send_to(bytes(MAX_UDP_BYTES), PEER)
        sending.send_to(bytes(MAX_UDP_BYTES + 1), PEER)
        await asyncio.sleep(LINE_INTERVAL_S / 2)
    assert transport.sent_bytes == [MAX_UDP_BYTES] * 3
    assert counts == {"datagrams_unsent_too_large": 3}
    assert instruments.datagram_bytes.bind().largest == MAX_UDP_BYTES + 1
    reason = f"{MAX_UDP_BYTES + 1} bytes to 127.0.0.1:9"
    assert logged == [{"why": "too_large", "reason": reason, "count": count} for count in (1, 3)]


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
    transport.sendto(bytes(MAX_UDP_BYTES), address)
    assert not errors
    transport.sendto(bytes(MAX_UDP_BYTES + 1), address)
    assert len(errors) == 1
    transport.close()
    receiver.close()


async def test_datagrams_that_are_not_sent_are_counted_by_reason() -> None:
    counts: Counter[str] = Counter()
    unsent = sender(counts)
    unsent.send(b"1", ["d07"])
    unsent.send_to(b"1", ("127.0.0.1", 1))
    unsent.send_to(bytes(MAX_UDP_BYTES + 1), ("127.0.0.1", 1))
    assert counts == {
        "datagrams_unsent_unknown_address": 1,
        "datagrams_unsent_not_listening": 1,
        "datagrams_unsent_too_large": 1,
    }


@pytest.mark.parametrize(
    ("error", "kind"),
    [
        (OSError(errno.EMSGSIZE, "Message too long"), "too_large"),
        (ConnectionRefusedError(errno.ECONNREFUSED, "refused"), "refused"),
        (OSError(errno.ENETUNREACH, "no route"), "error"),
    ],
)
async def test_an_error_of_the_system_is_counted_by_reason(error: OSError, kind: str) -> None:
    counts: Counter[str] = Counter()
    sender(counts).note_error(error)
    assert counts == {"datagram_errors": 1, f"datagrams_unsent_{kind}": 1}
