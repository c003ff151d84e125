"""ZeroMQ peer transport over loopback connections, in real time."""

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

REPLY_TIMEOUT_S = 2.0
"""Timeout of a request over loopback, much longer than a reply takes."""


@peer_message
class Question(PeerMessage):
    text: str


@peer_message
class Answer(PeerMessage):
    text: str


async def answer_question(sender: str, question: Question) -> Answer:
    if question.text == "fail":
        raise RuntimeError("a faulty handler")
    return Answer(f"{sender} {question.text}")


async def pair(
    a_settings: PeerSettings | None = None, b_settings: PeerSettings | None = None
) -> tuple[ZmqPeerTransport, ZmqPeerTransport]:
    """Return two started transports; only the first has the second as a peer."""
    a = ZmqPeerTransport("a", a_settings or PeerSettings(), 1)
    b = ZmqPeerTransport("b", b_settings or PeerSettings(), 1)
    b.register_handler(Question, answer_question)
    await a.start()
    address = await b.start()
    a.add_peer(Peer("b", address, b_settings.public_key if b_settings else ""))
    return a, b


async def close(*transports: ZmqPeerTransport) -> None:
    for transport in transports:
        await transport.close()


def settings_with_new_keys(accepted: list[str] | None = None) -> PeerSettings:
    public, secret = (key.decode() for key in zmq.curve_keypair())
    return PeerSettings(public_key=public, secret_key=secret, accepted_public_keys=accepted or [])


async def test_request_of_an_unknown_entry_gets_a_reply() -> None:
    a, b = await pair()
    reply = await a.request("b", Question("x"), REPLY_TIMEOUT_S)
    assert reply == Answer("a x")
    await close(a, b)


async def test_handler_error_is_counted_and_the_link_stays_usable() -> None:
    a, b = await pair()
    with pytest.raises(PeerUnreachable):
        await a.request("b", Question("fail"), 0.3)
    assert b.counts["handler_errors"] == 1
    assert await a.request("b", Question("y"), REPLY_TIMEOUT_S) == Answer("a y")
    await close(a, b)


async def test_unknown_and_closed_peers_are_unreachable() -> None:
    a, b = await pair()
    with pytest.raises(PeerUnreachable):
        await a.request("nobody", Question("x"), 0.1)
    await b.close()
    with pytest.raises(PeerUnreachable):
        await a.request("b", Question("x"), 0.1)
    await a.send("nobody", Question("x"))
    await a.close()


async def test_malformed_frames_and_frames_of_newer_versions_are_counted_and_dropped() -> None:
    a, b = await pair()
    context = zmq.asyncio.Context()
    raw = context.socket(zmq.DEALER)
    raw.linger = 0
    raw.connect(f"tcp://{b.address}")
    valid = encode_frame("z", 1, 0, False, Question("x"))
    for frame in (b"", b"\xc1garbage", valid[:-3]):
        await raw.send(frame)
    await raw.send(valid.replace(b"Question", b"Unheard!"))
    await raw.send(bytes([valid[0], 99]) + valid[2:])
    await raw.send_multipart([b"two", b"parts"])
    # Frames of a connection are received in order, so the reply to this request arrives after the
    # transport has processed the frames above.
    await raw.send(encode_frame("z", 1, 1, False, Question("x")))
    await asyncio.wait_for(raw.recv(), REPLY_TIMEOUT_S)
    assert b.counts["dropped_garbage"] == 4
    assert b.counts["dropped_newer_version"] == 1
    assert b.counts["dropped_unknown_kind"] == 1
    assert await a.request("b", Question("y"), REPLY_TIMEOUT_S) == Answer("a y")
    raw.close()
    context.term()
    await close(a, b)


async def test_only_accepted_keys_connect_during_a_key_rotation() -> None:
    old, new, unknown = settings_with_new_keys(), settings_with_new_keys(), settings_with_new_keys()
    server_settings = settings_with_new_keys([old.public_key, new.public_key])
    b = ZmqPeerTransport("b", server_settings, 1)
    b.register_handler(Question, answer_question)
    address = await b.start()
    for settings, accepted in ((old, True), (new, True), (unknown, False)):
        a = ZmqPeerTransport("a", settings, 1)
        await a.start()
        a.add_peer(Peer("b", address, server_settings.public_key))
        if accepted:
            assert await a.request("b", Question("x"), REPLY_TIMEOUT_S) == Answer("a x")
        else:
            with pytest.raises(PeerUnreachable):
                await a.request("b", Question("x"), 0.5)
        await a.close()
    plain = ZmqPeerTransport("a", PeerSettings(), 1)
    await plain.start()
    plain.add_peer(Peer("b", address))
    with pytest.raises(PeerUnreachable):
        await plain.request("b", Question("x"), 0.5)
    await close(plain, b)


class StallingProxy:
    """Loopback TCP relay that can stall its open connections without closing them."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._stall_events: set[asyncio.Event] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return Address(host, port)

    def stall(self) -> None:
        for event in self._stall_events:
            event.set()

    async def close(self) -> None:
        self._server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stalled = asyncio.Event()
        self._stall_events.add(stalled)
        target_reader, target_writer = await asyncio.open_connection(
            self._target.host, self._target.port
        )
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            self.tasks.add(asyncio.create_task(self._copy(source, sink, stalled)))

    async def _copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, stalled: asyncio.Event
    ) -> None:
        while data := await source.read(65536):
            if not stalled.is_set():
                sink.write(data)


async def test_stalled_connection_is_replaced() -> None:
    a, b = await pair()
    proxy = StallingProxy(b.address)
    a.add_peer(Peer("b", await proxy.start()))
    assert await a.request("b", Question("x"), REPLY_TIMEOUT_S) == Answer("a x")
    proxy.stall()
    for _ in range(zmq_transport.MAX_UNANSWERED_REQUESTS):
        with pytest.raises(PeerUnreachable):
            await a.request("b", Question("x"), 0.1)
    assert await a.request("b", Question("again"), REPLY_TIMEOUT_S) == Answer("a again")
    assert a.counts["replaced_links"] == 1
    await close(a, b)
    await proxy.close()


async def test_sends_to_a_peer_that_reads_nothing_do_not_block_and_stay_bounded() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    a = ZmqPeerTransport("a", PeerSettings(), 1)
    await a.start()
    a.add_peer(Peer("b", Address(*listener.getsockname())))
    async with asyncio.timeout(REPLY_TIMEOUT_S):
        for _ in range(4 * zmq_transport.HIGH_WATER_MARK_MESSAGES):
            await a.send("b", Question("x" * 100))
    assert a.counts["dropped_queue_full"] > 0
    listener.close()
    await a.close()
