"""Port of the transport between the entry daemons."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from godwitpath.errors import GodwitpathError
from godwitpath.ports.engine import Address


class PeerMessage(msgspec.Struct, tag=True, array_like=True, omit_defaults=True):
    """Base of the messages between entries.

    The class name is the message's tag on the wire. New fields go at the end and have a default,
    so that daemons of adjacent versions can decode each other's messages.
    """


@dataclass(slots=True, frozen=True)
class Peer:
    """Name, address and key of an entry, for connections from its peers.

    :ivar entry_id: name of the entry
    :ivar address: listening address of the entry's peer socket
    :ivar public_key: Z85 form of the entry's CURVE public key, empty where links are not encrypted
    """

    entry_id: str
    address: Address
    public_key: str = ""


class PeerUnreachable(GodwitpathError):
    """The peer is unknown or did not reply in time; it may have processed the message."""


M = TypeVar("M", bound=PeerMessage)
Handler = Callable[[str, M], Awaitable[PeerMessage | None]]
"""Called with the sender's entry name and the message; returns the reply to a request, or None."""


class PeerTransport(ABC):
    """Messages between entries, which may be lost, duplicated or reordered, but never truncated."""

    @abstractmethod
    def register_handler(self, kind: type[M], handler: Handler[M]) -> None:
        """Register the handler of a message class."""

    @abstractmethod
    def add_peer(self, peer: Peer) -> None:
        """Add a peer, or update its address and key."""

    @abstractmethod
    def remove_peer(self, entry_id: str) -> None:
        """Remove a peer and close its connection."""

    @abstractmethod
    async def send(self, entry_id: str, message: PeerMessage) -> None:
        """Send a message without waiting for a reply; does nothing for an unknown peer."""

    @abstractmethod
    async def request(self, entry_id: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a message and return the peer's reply.

        :raises PeerUnreachable: the peer is unknown, or no reply arrived within `timeout_s`
        """
