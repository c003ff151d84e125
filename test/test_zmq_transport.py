"""The ZeroMQ links on loopback, in real time."""

from __future__ import annotations

import asyncio
import socket

import pytest
import zmq
import zmq.asyncio

from godwitpath.peers import zmq_transport
from godwitpath.peers.codec import encode_frame, peer_message
from godwitpath.peers.zmq_transport import ZmqPeerTransport
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import Peer, PeerMessage, PeerUnreachable
from godwitpath.settings import PeerSettings

ANSWER_S = 2.0
"""Generous time for an answer on loopback."""


@peer_message
class Question(PeerMessage):
    text: str


@peer_message
class Answer(PeerMessage):
    text: str


async def answer(sender: str, question: Question) -> Answer:
    if question.text == "fail":
        raise RuntimeError("a faulty handler")
    return Answer(f"{sender} {question.text}")


async def pair(
    one: PeerSettings | None = None, two: PeerSettings | None = None
) -> tuple[ZmqPeerTransport, ZmqPeerTransport]:
    """Return two transports; the first knows the second."""
    a = ZmqPeerTransport("a", one or PeerSettings(), 1)
    b = ZmqPeerTransport("b", two or PeerSettings(), 1)
    b.handle(Question, answer)
    await a.start()
    address = await b.start()
    a.connect(Peer("b", address, two.public_key if two else ""))
    return a, b


async def close(*transports: ZmqPeerTransport) -> None:
    for transport in transports:
        await transport.close()


def keys(accepted: list[str] | None = None) -> PeerSettings:
    public, secret = (key.decode() for key in zmq.curve_keypair())
    return PeerSettings(public_key=public, secret_key=secret, accepted_public_keys=accepted or [])


async def test_a_request_is_answered_to_an_entry_that_the_other_does_not_know() -> None:
    a, b = await pair()
    reply = await a.request("b", Question("x"), ANSWER_S)
    assert reply == Answer("a x")
    await close(a, b)


async def test_a_handler_that_fails_is_counted_and_the_link_goes_on() -> None:
    a, b = await pair()
    with pytest.raises(PeerUnreachable):
        await a.request("b", Question("fail"), 0.3)
    assert b.counts["handler_errors"] == 1
    assert await a.request("b", Question("y"), ANSWER_S) == Answer("a y")
    await close(a, b)


async def test_an_unknown_peer_and_a_dead_one_are_unreachable() -> None:
    a, b = await pair()
    with pytest.raises(PeerUnreachable):
        await a.request("nobody", Question("x"), 0.1)
    await b.close()
    with pytest.raises(PeerUnreachable):
        await a.request("b", Question("x"), 0.1)
    await a.send("nobody", Question("x"))
    await a.close()


async def test_garbage_and_frames_of_other_versions_are_counted_and_dropped() -> None:
    a, b = await pair()
    context = zmq.asyncio.Context()
    raw = context.socket(zmq.DEALER)
    raw.linger = 0
    raw.connect(f"tcp://{b.address}")
    good = encode_frame("z", 1, 0, False, Question("x"))
    for frame in (b"", b"\xc1garbage", good[:-3]):
        await raw.send(frame)
    await raw.send(good.replace(b"Question", b"Unheard!"))
    await raw.send(bytes([good[0], 99]) + good[2:])
    await raw.send_multipart([b"two", b"parts"])
    # The last frame of the same connection is a request, so its answer comes after all.
    await raw.send(encode_frame("z", 1, 1, False, Question("x")))
    await asyncio.wait_for(raw.recv(), ANSWER_S)
    assert b.counts["dropped_garbage"] == 4
    assert b.counts["dropped_newer_version"] == 1
    assert b.counts["dropped_unknown_kind"] == 1
    assert await a.request("b", Question("y"), ANSWER_S) == Answer("a y")
    raw.close()
    context.term()
    await close(a, b)


async def test_only_accepted_keys_connect_old_and_new_side_by_side() -> None:
    old, new, stranger = keys(), keys(), keys()
    server = keys([old.public_key, new.public_key])
    b = ZmqPeerTransport("b", server, 1)
    b.handle(Question, answer)
    address = await b.start()
    for settings, accepted in ((old, True), (new, True), (stranger, False)):
        a = ZmqPeerTransport("a", settings, 1)
        await a.start()
        a.connect(Peer("b", address, server.public_key))
        if accepted:
            assert await a.request("b", Question("x"), ANSWER_S) == Answer("a x")
        else:
            with pytest.raises(PeerUnreachable):
                await a.request("b", Question("x"), 0.5)
        await a.close()
    plain = ZmqPeerTransport("a", PeerSettings(), 1)
    await plain.start()
    plain.connect(Peer("b", address))
    with pytest.raises(PeerUnreachable):
        await plain.request("b", Question("x"), 0.5)
    await close(plain, b)


class SilencingProxy:
    """A relay on loopback whose open connections can go silent for good."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._silent: set[asyncio.Event] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return Address(host, port)

    def silence(self) -> None:
        for event in self._silent:
            event.set()

    async def close(self) -> None:
        self._server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        silent = asyncio.Event()
        self._silent.add(silent)
        up_reader, up_writer = await asyncio.open_connection(self._target.host, self._target.port)
        for source, sink in ((reader, up_writer), (up_reader, writer)):
            self.tasks.add(asyncio.create_task(self._pump(source, sink, silent)))

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, silent: asyncio.Event
    ) -> None:
        while data := await source.read(65536):
            if not silent.is_set():
                sink.write(data)


async def test_a_connection_that_goes_silent_is_replaced() -> None:
    a, b = await pair()
    proxy = SilencingProxy(b.address)
    a.connect(Peer("b", await proxy.start()))
    assert await a.request("b", Question("x"), ANSWER_S) == Answer("a x")
    proxy.silence()
    for _ in range(zmq_transport.SILENT_REQUESTS):
        with pytest.raises(PeerUnreachable):
            await a.request("b", Question("x"), 0.1)
    assert await a.request("b", Question("again"), ANSWER_S) == Answer("a again")
    assert a.counts["replaced_links"] == 1
    await close(a, b)
    await proxy.close()


async def test_sends_to_a_peer_that_takes_nothing_do_not_wait_and_stay_bounded() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    a = ZmqPeerTransport("a", PeerSettings(), 1)
    await a.start()
    a.connect(Peer("b", Address(*listener.getsockname())))
    async with asyncio.timeout(ANSWER_S):
        for _ in range(4 * zmq_transport.HIGH_WATER_MARK_MESSAGES):
            await a.send("b", Question("x" * 100))
    assert a.counts["dropped_queue_full"] > 0
    listener.close()
    await a.close()
