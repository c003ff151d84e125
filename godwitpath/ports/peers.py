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

    The class name is the message's name on the wire. Fields are only ever added at the end, with
    a default, so that daemons of neighbouring versions understand each other.
    """


@dataclass(slots=True, frozen=True)
class Peer:
    """An entry as its peers reach it.

    :ivar entry_id: name of the entry
    :ivar address: where its peer socket listens
    :ivar public_key: Z85 form of its CURVE public key, empty where links are not encrypted
    """

    entry_id: str
    address: Address
    public_key: str = ""


class PeerUnreachable(GodwitpathError):
    """The peer is not known or did not answer in time; it may have acted on the message."""


M = TypeVar("M", bound=PeerMessage)
Handler = Callable[[str, M], Awaitable[PeerMessage | None]]
"""Takes the sender's entry name and the message; returns the reply to a request, or None."""


class PeerTransport(ABC):
    """Messages between entries: unordered, maybe lost, maybe doubled; each whole or not at all."""

    @abstractmethod
    def handle(self, kind: type[M], handler: Handler[M]) -> None:
        """Register the handler of a kind of message."""

    @abstractmethod
    def connect(self, peer: Peer) -> None:
        """Make a peer known, or change its address."""

    @abstractmethod
    def forget(self, entry_id: str) -> None:
        """Drop a peer and its connection."""

    @abstractmethod
    async def send(self, entry_id: str, message: PeerMessage) -> None:
        """Send without waiting for an answer; unknown peers are no error."""

    @abstractmethod
    async def request(self, entry_id: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send and return the peer's reply.

        :raises PeerUnreachable: no reply in time
        """
