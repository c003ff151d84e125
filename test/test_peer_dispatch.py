"""Message dispatch of the peer transports: handlers, queues and replies, on simulated time."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from godwitpath.peers import dispatch
from godwitpath.peers.codec import peer_message, urgent
from godwitpath.ports.peers import Peer, PeerMessage, PeerUnreachable
from godwitpath_standin.fakes.peer_fleet import FAKE_ADDRESS
from godwitpath_standin.fakes.peers import FakePeerNetwork, FakePeerTransport

pytestmark = pytest.mark.looptime


@peer_message
class SlowWork(PeerMessage):
    number: int


@urgent
@peer_message
class QuickWork(PeerMessage):
    number: int


class Receiver:
    """Entry `b`, which records the messages that it handles, and a factory of its senders."""

    def __init__(self) -> None:
        self.network = FakePeerNetwork(Random(1))
        self.transport = self.network.transport("b")
        self.handled: list[tuple[str, int]] = []
        self.transport.register_handler(SlowWork, self._slow)
        self.transport.register_handler(QuickWork, self._quick)

    def sender(self, entry_id: str, incarnation: int = 0) -> FakePeerTransport:
        transport = self.network.transport(entry_id, incarnation)
        transport.add_peer(Peer("b", FAKE_ADDRESS))
        return transport

    async def _slow(self, sender: str, work: SlowWork) -> SlowWork:
        await asyncio.sleep(1.0)
        self.handled.append((sender, work.number))
        return work

    async def _quick(self, sender: str, work: QuickWork) -> QuickWork:
        self.handled.append((sender, work.number))
        return work


async def test_slow_handler_delays_only_non_urgent_messages_of_its_sender() -> None:
    receiver = Receiver()
    a, c = receiver.sender("a"), receiver.sender("c")
    for number in (1, 2):
        await a.send("b", SlowWork(number))
    await c.send("b", SlowWork(3))
    assert await a.request("b", QuickWork(4), 0.1) == QuickWork(4)
    await asyncio.sleep(1.5)
    assert set(receiver.handled) == {("a", 4), ("a", 1), ("c", 3)}
    await asyncio.sleep(1.0)
    assert receiver.handled[-1] == ("a", 2)
    await receiver.transport.close()


async def test_full_queue_drops_messages_and_idle_queue_is_removed() -> None:
    receiver = Receiver()
    a = receiver.sender("a")
    for number in range(dispatch.MAX_QUEUED_MESSAGES + 50):
        await a.send("b", SlowWork(number))
    await asyncio.sleep(0.5)
    assert receiver.transport.counts["dropped_lane_full"] >= 49
    await asyncio.sleep(dispatch.MAX_QUEUED_MESSAGES + 2 * dispatch.QUEUE_IDLE_TIMEOUT_S)
    assert receiver.transport.dump()["lanes"] == {}
    assert await a.request("b", SlowWork(9), 2.0) == SlowWork(9)
    await receiver.transport.close()


async def test_frames_of_an_older_incarnation_are_rejected_for_a_limited_time() -> None:
    receiver = Receiver()
    old, new = receiver.sender("a", 1), receiver.sender("a", 2)
    await new.send("b", QuickWork(1))
    await asyncio.sleep(0.1)
    await old.send("b", QuickWork(2))
    await asyncio.sleep(0.1)
    assert receiver.handled == [("a", 1)]
    # An entry that restarts after its clock was set back has a lower incarnation. Its frames must
    # not be rejected forever.
    await asyncio.sleep(dispatch.OLD_INCARNATION_REJECT_S)
    await old.send("b", QuickWork(3))
    await asyncio.sleep(0.1)
    assert receiver.handled == [("a", 1), ("a", 3)]


async def test_late_reply_is_counted_and_dropped() -> None:
    receiver = Receiver()
    a = receiver.sender("a")
    with pytest.raises(PeerUnreachable):
        await a.request("b", SlowWork(1), 0.5)
    await asyncio.sleep(1.0)
    assert a.counts["dropped_late_replies"] == 1
    await receiver.transport.close()
