"""Peer transport over ZeroMQ: one ROUTER that is bound, one DEALER for each peer in use.

Requests and messages leave by the peer's DEALER and replies come back over the same connection.
No send ever waits: a full queue drops the message. A DEALER is opened on first use and closed
when idle, so that a large fleet holds few connections; one whose requests stay unanswered is
replaced by a new connection, since something between the two ends may have lost track of it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass
from functools import partial
from typing import Any

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from godwitpath.peers.codec import MAX_FRAME_BYTES
from godwitpath.peers.dispatch import DispatchingTransport
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import Peer
from godwitpath.settings import PeerSettings

HIGH_WATER_MARK_MESSAGES = 256
"""Most messages that wait on a connection in each direction."""

HEARTBEAT_INTERVAL_MS = 2000
HEARTBEAT_TIMEOUT_MS = 3000
LINK_IDLE_S = 10.0
"""A connection on which nothing was sent for so long is closed."""

SWEEP_INTERVAL_S = 2.0
"""Time between two looks for idle connections."""

RECEIVE_RETRY_S = 0.1
"""Pause after the bound socket failed to receive."""

SILENT_REQUESTS = 2
"""Unanswered requests in a row, nothing heard between them, that replace a connection."""


@dataclass(slots=True)
class _Link:
    """The connection to a peer."""

    socket: zmq.asyncio.Socket
    used_at_s: float
    unanswered: int = 0


class _AcceptedKeys:
    """Credentials provider of the authenticator: the accepted public keys."""

    def __init__(self, keys: list[str]) -> None:
        self._keys = frozenset(key.encode() for key in keys)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a Z85 public key is accepted."""
        return key in self._keys


class ZmqPeerTransport(DispatchingTransport):
    """The transport of an entry daemon.

    :ivar address: where it listens once it was started
    """

    def __init__(self, entry_id: str, settings: PeerSettings, incarnation: int = 0) -> None:
        super().__init__(entry_id, incarnation)
        self.address = Address(settings.host, settings.port)
        self._settings = settings
        self._context = zmq.asyncio.Context()
        self._router: zmq.asyncio.Socket | None = None
        self._authenticator: AsyncioAuthenticator | None = None
        self._peers: dict[str, Peer] = {}
        self._links: dict[str, _Link] = {}
        self._own_tasks: list[asyncio.Task[None]] = []

    async def start(self) -> Address:
        """Bind the socket and receive; returns where it listens."""
        if self._settings.public_key:
            self._authenticate()
        router = self._socket(zmq.ROUTER)
        if self._settings.public_key:
            router.curve_server = True
        port = self._settings.port
        host = self._settings.host
        if port:
            router.bind(f"tcp://{host}:{port}")
        else:
            port = router.bind_to_random_port(f"tcp://{host}")
        self._router = router
        self.address = Address(host, port)
        self._own_tasks = [
            asyncio.create_task(self._receive_all(router)),
            asyncio.create_task(self._sweep()),
        ]
        return self.address

    async def close(self) -> None:
        """Close every connection and end every task."""
        for task in self._own_tasks:
            task.cancel()
        await asyncio.gather(*self._own_tasks, return_exceptions=True)
        await super().close()
        for entry_id in list(self._links):
            self._disconnect(entry_id)
        if self._router is not None:
            self._router.close(linger=0)
            self._router = None
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()

    def connect(self, peer: Peer) -> None:
        """Make a peer known, or change its address."""
        if self._peers.get(peer.entry_id) == peer:
            return
        self._peers[peer.entry_id] = peer
        self._disconnect(peer.entry_id)

    def forget(self, entry_id: str) -> None:
        """Drop a peer and its connection."""
        self._peers.pop(entry_id, None)
        self._disconnect(entry_id)

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            **super().dump(),
            "peers": {name: str(peer.address) for name, peer in self._peers.items()},
            "open_links": sorted(self._links),
        }

    async def _transmit(self, entry_id: str, frame: bytes) -> bool:
        link = self._link(entry_id)
        if link is None:
            self.counts["dropped_unknown_peer"] += 1
            return False
        return await self._put(link.socket.send(frame, zmq.NOBLOCK))

    async def _put(self, sending: Awaitable[Any]) -> bool:
        try:
            await sending
        except zmq.Again:
            self.counts["dropped_queue_full"] += 1
            return False
        except zmq.ZMQError:
            # The connection by which a request came has gone, or the socket was closed.
            self.counts["dropped_link_closed"] += 1
            return False
        return True

    def _link(self, entry_id: str) -> _Link | None:
        now_s = asyncio.get_running_loop().time()
        link = self._links.get(entry_id)
        if link is None:
            peer = self._peers.get(entry_id)
            if peer is None:
                return None
            link = _Link(self._open(peer), now_s)
            self._links[entry_id] = link
            self._await_reply(entry_id, link)
        link.used_at_s = now_s
        return link

    def _open(self, peer: Peer) -> zmq.asyncio.Socket:
        socket = self._socket(zmq.DEALER)
        if peer.public_key and self._settings.public_key:
            socket.curve_serverkey = peer.public_key.encode()
        socket.connect(f"tcp://{peer.address}")
        self.counts["opened_links"] += 1
        return socket

    def _socket(self, kind: int) -> zmq.asyncio.Socket:
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = HIGH_WATER_MARK_MESSAGES
        socket.rcvhwm = HIGH_WATER_MARK_MESSAGES
        socket.maxmsgsize = MAX_FRAME_BYTES
        socket.heartbeat_ivl = HEARTBEAT_INTERVAL_MS
        socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        if self._settings.public_key:
            socket.curve_publickey = self._settings.public_key.encode()
            socket.curve_secretkey = self._settings.secret_key.encode()
        return socket

    def _authenticate(self) -> None:
        self._authenticator = AsyncioAuthenticator(self._context)
        self._authenticator.start()
        accepted = _AcceptedKeys(self._settings.accepted_public_keys)
        self._authenticator.configure_curve_callback(domain="*", credentials_provider=accepted)

    def _disconnect(self, entry_id: str) -> None:
        link = self._links.pop(entry_id, None)
        if link is not None:
            link.socket.close(linger=0)

    def _unanswered(self, entry_id: str) -> None:
        link = self._links.get(entry_id)
        if link is None:
            return
        link.unanswered += 1
        if link.unanswered >= SILENT_REQUESTS:
            self.counts["replaced_links"] += 1
            self._disconnect(entry_id)

    async def _receive_all(self, router: zmq.asyncio.Socket) -> None:
        while True:
            try:
                parts = await router.recv_multipart()
            except zmq.ZMQError:
                self.counts["receive_errors"] += 1
                await asyncio.sleep(RECEIVE_RETRY_S)
                continue
            if len(parts) != 2:
                self.counts["dropped_garbage"] += 1
                continue
            identity, data = parts
            await self._receive(data, partial(self._answer, identity))

    async def _answer(self, identity: bytes, frame: bytes) -> None:
        if self._router is not None:
            await self._put(self._router.send_multipart([identity, frame], zmq.NOBLOCK))

    def _await_reply(self, entry_id: str, link: _Link) -> None:
        # Replies need no task: each receipt resolves a request and waits for the next.
        future = link.socket.recv_multipart()
        asyncio.ensure_future(future).add_done_callback(partial(self._on_reply, entry_id, link))

    def _on_reply(self, entry_id: str, link: _Link, done: asyncio.Future[list[bytes]]) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        link.unanswered = 0
        self._receive_reply(done.result()[0])
        if self._links.get(entry_id) is link:
            self._await_reply(entry_id, link)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            idle_since_s = asyncio.get_running_loop().time() - LINK_IDLE_S
            for entry_id, link in list(self._links.items()):
                if link.used_at_s < idle_since_s:
                    self._disconnect(entry_id)
