"""Frame format of peer messages: sender, incarnation, correlation identifier and payload.

Decoding a malformed frame raises only :class:`FrameError`; the transport counts the frames that it
drops by reason.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, TypeVar

import msgspec

from godwitpath.errors import GodwitpathError
from godwitpath.ports.peers import PeerMessage

WIRE_VERSION = 1
"""Version of the frame format; a daemon drops frames of a newer version."""

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Maximum size of a frame, sent or received."""

DropReason = Literal["garbage", "newer_version", "unknown_kind", "too_long"]
MessageClass = TypeVar("MessageClass", bound=type[PeerMessage])


class FrameError(GodwitpathError):
    """A frame cannot be encoded or decoded and is dropped.

    :ivar reason: why the frame is dropped
    """

    def __init__(self, reason: DropReason) -> None:
        super().__init__(f"peer frame dropped: {reason}")
        self.reason: DropReason = reason


class Frame(msgspec.Struct, array_like=True):
    """Wire form of a peer message.

    :ivar version: version of the frame format
    :ivar sender: entry name of the sender
    :ivar incarnation: incarnation number of the sender's process
    :ivar correlation_id: number of the request, 0 for a message that expects no reply
    :ivar reply: whether the message is the reply to the request numbered `correlation_id`
    :ivar kind: class name of the message
    :ivar payload: MessagePack encoding of the message
    """

    version: int
    sender: str
    incarnation: int
    correlation_id: int
    reply: bool
    kind: str
    payload: msgspec.Raw


class Delivery(msgspec.Struct):
    """A decoded frame with its message."""

    sender: str
    incarnation: int
    correlation_id: int
    reply: bool
    message: PeerMessage


class _Version(msgspec.Struct, array_like=True):
    version: int


_message_classes: dict[str, type[PeerMessage]] = {}
_decoders: dict[str, msgspec.msgpack.Decoder[PeerMessage]] = {}
_urgent_classes: set[type[PeerMessage]] = set()
_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)
_version_decoder = msgspec.msgpack.Decoder(_Version)


def peer_message(message_class: MessageClass) -> MessageClass:
    """Register a message class under its name; used as a class decorator.

    :raises TypeError: another class is registered under the same name
    """
    registered = _message_classes.setdefault(message_class.__name__, message_class)
    if registered is not message_class:
        raise TypeError(f"duplicate peer message class name: {message_class.__name__}")
    _decoders[message_class.__name__] = msgspec.msgpack.Decoder(message_class)
    return message_class


def urgent(message_class: MessageClass) -> MessageClass:
    """Mark a message class as urgent; used as a class decorator.

    Urgent messages are handled on receipt, so their handler must not block. The other messages of
    a peer are queued and handled in order.
    """
    _urgent_classes.add(message_class)
    return message_class


def is_urgent(message: PeerMessage) -> bool:
    """Return whether the message is handled on receipt instead of being queued."""
    return type(message) in _urgent_classes


def encode_frame(
    sender: str, incarnation: int, correlation_id: int, reply: bool, message: PeerMessage
) -> bytes:
    """Encode a message as a frame.

    :raises FrameError: the frame would exceed :data:`MAX_FRAME_BYTES`
    """
    frame = _encoder.encode(
        Frame(
            version=WIRE_VERSION,
            sender=sender,
            incarnation=incarnation,
            correlation_id=correlation_id,
            reply=reply,
            kind=type(message).__name__,
            payload=msgspec.Raw(_encoder.encode(message)),
        )
    )
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError("too_long")
    return frame


def decode_frame(data: bytes) -> Delivery:
    """Decode a frame and its message.

    :raises FrameError: the frame is too long, malformed, of a newer version or of an unknown kind
    """
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError("too_long")
    frame = _decode_or_drop(lambda: _parse_frame(data))
    decoder = _decoders.get(frame.kind)
    if decoder is None:
        raise FrameError("unknown_kind")
    message = _decode_or_drop(lambda: decoder.decode(frame.payload))
    return Delivery(frame.sender, frame.incarnation, frame.correlation_id, frame.reply, message)


def _parse_frame(data: bytes) -> Frame:
    # Only the version field is common to all versions; a newer frame may differ after it.
    if _version_decoder.decode(data).version > WIRE_VERSION:
        raise FrameError("newer_version")
    return _frame_decoder.decode(data)


Decoded = TypeVar("Decoded")


def _decode_or_drop(decode: Callable[[], Decoded]) -> Decoded:
    try:
        return decode()
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise FrameError("garbage") from error
