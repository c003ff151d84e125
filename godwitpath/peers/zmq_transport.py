"""Peer transport over ZeroMQ: one bound ROUTER socket and one DEALER socket for each peer in use.

Messages and requests are sent on the peer's DEALER socket, and replies arrive on the same
connection. A send never blocks: a full queue drops the message. A DEALER socket is opened on first
use and closed when idle, so that an entry of a large fleet keeps few connections. A connection with
consecutive unanswered requests is replaced, since the network path may have lost its state.
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
"""Maximum number of messages queued on a connection in each direction."""

HEARTBEAT_INTERVAL_MS = 2000
HEARTBEAT_TIMEOUT_MS = 3000
LINK_IDLE_TIMEOUT_S = 10.0
"""Time without a send after which a connection is closed."""

IDLE_CHECK_INTERVAL_S = 2.0
"""Interval between checks for idle connections."""

RECEIVE_RETRY_S = 0.1
"""Delay before the next receive after the ROUTER socket failed to receive."""

MAX_UNANSWERED_REQUESTS = 2
"""Number of unanswered requests since the last frame after which a connection is replaced."""


@dataclass(slots=True)
class _Link:
    """Connection to a peer.

    :ivar unanswered_requests: requests without reply since the last received frame
    """

    socket: zmq.asyncio.Socket
    last_used_at_s: float
    unanswered_requests: int = 0


class _AcceptedKeys:
    """Credentials provider of the authenticator, with the accepted public keys."""

    def __init__(self, keys: list[str]) -> None:
        self._keys = frozenset(key.encode() for key in keys)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a Z85 public key is accepted; called by the authenticator."""
        return key in self._keys


class ZmqPeerTransport(DispatchingTransport):
    """ZeroMQ transport of an entry daemon.

    :ivar address: address of the ROUTER socket; the port is known once it is bound
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
        self._socket_tasks: list[asyncio.Task[None]] = []

    async def start(self) -> Address:
        """Bind the ROUTER socket, start receiving and return the bound address."""
        if self._settings.public_key:
            self._start_authenticator()
        router = self._new_socket(zmq.ROUTER)
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
        self._socket_tasks = [
            asyncio.create_task(self._receive_forever(router)),
            asyncio.create_task(self._close_idle_links()),
        ]
        return self.address

    async def close(self) -> None:
        """Close all connections and cancel all tasks."""
        for task in self._socket_tasks:
            task.cancel()
        await asyncio.gather(*self._socket_tasks, return_exceptions=True)
        await super().close()
        for entry_id in list(self._links):
            self._disconnect(entry_id)
        if self._router is not None:
            self._router.close(linger=0)
            self._router = None
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()

    def add_peer(self, peer: Peer) -> None:
        """Add a peer, or replace a known peer that changed and close the connection to it."""
        if self._peers.get(peer.entry_id) == peer:
            return
        self._peers[peer.entry_id] = peer
        self._disconnect(peer.entry_id)

    def remove_peer(self, entry_id: str) -> None:
        """Remove a peer and close the connection to it."""
        self._peers.pop(entry_id, None)
        self._disconnect(entry_id)

    def dump(self) -> dict[str, Any]:
        """Return the state for operators as plain data."""
        return {
            **super().dump(),
            "peers": {name: str(peer.address) for name, peer in self._peers.items()},
            "open_links": sorted(self._links),
        }

    async def _transmit(self, entry_id: str, frame: bytes) -> bool:
        link = self._get_or_open_link(entry_id)
        if link is None:
            self.counts["dropped_unknown_peer"] += 1
            return False
        return await self._complete_send(link.socket.send(frame, zmq.NOBLOCK))

    async def _complete_send(self, sending: Awaitable[Any]) -> bool:
        try:
            await sending
        except zmq.Again:
            self.counts["dropped_queue_full"] += 1
            return False
        except zmq.ZMQError:
            # The requester's connection is closed (replies only), or the socket is closed.
            self.counts["dropped_link_closed"] += 1
            return False
        return True

    def _get_or_open_link(self, entry_id: str) -> _Link | None:
        now_s = asyncio.get_running_loop().time()
        link = self._links.get(entry_id)
        if link is None:
            peer = self._peers.get(entry_id)
            if peer is None:
                return None
            link = _Link(self._open_socket(peer), now_s)
            self._links[entry_id] = link
            self._receive_next_reply(entry_id, link)
        link.last_used_at_s = now_s
        return link

    def _open_socket(self, peer: Peer) -> zmq.asyncio.Socket:
        socket = self._new_socket(zmq.DEALER)
        if peer.public_key and self._settings.public_key:
            socket.curve_serverkey = peer.public_key.encode()
        socket.connect(f"tcp://{peer.address}")
        self.counts["opened_links"] += 1
        return socket

    def _new_socket(self, socket_type: int) -> zmq.asyncio.Socket:
        socket = self._context.socket(socket_type)
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

    def _start_authenticator(self) -> None:
        self._authenticator = AsyncioAuthenticator(self._context)
        self._authenticator.start()
        key_check = _AcceptedKeys(self._settings.accepted_public_keys)
        self._authenticator.configure_curve_callback(domain="*", credentials_provider=key_check)

    def _disconnect(self, entry_id: str) -> None:
        link = self._links.pop(entry_id, None)
        if link is not None:
            link.socket.close(linger=0)

    def _on_unanswered_request(self, entry_id: str) -> None:
        link = self._links.get(entry_id)
        if link is None:
            return
        link.unanswered_requests += 1
        if link.unanswered_requests >= MAX_UNANSWERED_REQUESTS:
            self.counts["replaced_links"] += 1
            self._disconnect(entry_id)

    async def _receive_forever(self, router: zmq.asyncio.Socket) -> None:
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
            await self._receive(data, partial(self._send_reply, identity))

    async def _send_reply(self, identity: bytes, frame: bytes) -> None:
        if self._router is not None:
            await self._complete_send(self._router.send_multipart([identity, frame], zmq.NOBLOCK))

    def _receive_next_reply(self, entry_id: str, link: _Link) -> None:
        # Replies need no task: the callback of each receive starts the next receive.
        future = link.socket.recv_multipart()
        asyncio.ensure_future(future).add_done_callback(partial(self._on_reply, entry_id, link))

    def _on_reply(self, entry_id: str, link: _Link, done: asyncio.Future[list[bytes]]) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        link.unanswered_requests = 0
        self._receive_reply(done.result()[0])
        if self._links.get(entry_id) is link:
            self._receive_next_reply(entry_id, link)

    async def _close_idle_links(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            idle_before_s = asyncio.get_running_loop().time() - LINK_IDLE_TIMEOUT_S
            for entry_id, link in list(self._links.items()):
                if link.last_used_at_s < idle_before_s:
                    self._disconnect(entry_id)
