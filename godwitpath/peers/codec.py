"""Frames between entries: a message with its sender, its incarnation and a correlation number.

A frame that is not understood never raises out of here as anything but :class:`FrameError`, whose
kind the transport counts.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, TypeVar

import msgspec

from godwitpath.errors import GodwitpathError
from godwitpath.ports.peers import PeerMessage

WIRE_VERSION = 1
"""Version of the frame; a daemon drops the frames of a newer one."""

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Longest frame that is sent or taken."""

FrameFault = Literal["garbage", "newer_version", "unknown_kind", "too_long"]
C = TypeVar("C", bound=type[PeerMessage])


class FrameError(GodwitpathError):
    """A frame that is dropped.

    :ivar fault: why
    """

    def __init__(self, fault: FrameFault) -> None:
        super().__init__(f"peer frame dropped: {fault}")
        self.fault: FrameFault = fault


class Frame(msgspec.Struct, array_like=True):
    """What goes over a peer link.

    :ivar version: version of the frame
    :ivar sender: entry name of the sender
    :ivar incarnation: sender's incarnation at its start
    :ivar correlation: number of the request, 0 for a message without reply
    :ivar reply: whether this is the reply to the request of that number
    :ivar kind: class name of the message
    :ivar payload: the message
    """

    version: int
    sender: str
    incarnation: int
    correlation: int
    reply: bool
    kind: str
    payload: msgspec.Raw


class Delivery(msgspec.Struct):
    """A decoded frame."""

    sender: str
    incarnation: int
    correlation: int
    reply: bool
    message: PeerMessage


class _Version(msgspec.Struct, array_like=True):
    version: int


_kinds: dict[str, type[PeerMessage]] = {}
_decoders: dict[str, msgspec.msgpack.Decoder[PeerMessage]] = {}
_urgent: set[type[PeerMessage]] = set()
_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(Frame)
_version_decoder = msgspec.msgpack.Decoder(_Version)


def peer_message(kind: C) -> C:
    """Register a class of messages, as a decorator."""
    known = _kinds.setdefault(kind.__name__, kind)
    if known is not kind:
        raise TypeError(f"two peer messages are named {kind.__name__}")
    _decoders[kind.__name__] = msgspec.msgpack.Decoder(kind)
    return kind


def urgent(kind: C) -> C:
    """Mark a class of messages whose handler never waits, as a decorator.

    Urgent messages are handled on receipt; the others of a peer are handled one after another.
    """
    _urgent.add(kind)
    return kind


def is_urgent(message: PeerMessage) -> bool:
    """Return whether a message is handled on receipt."""
    return type(message) in _urgent


def encode_frame(
    sender: str, incarnation: int, correlation: int, reply: bool, message: PeerMessage
) -> bytes:
    """Return the frame of a message.

    :raises FrameError: the frame would be too long
    """
    frame = _encoder.encode(
        Frame(
            version=WIRE_VERSION,
            sender=sender,
            incarnation=incarnation,
            correlation=correlation,
            reply=reply,
            kind=type(message).__name__,
            payload=msgspec.Raw(_encoder.encode(message)),
        )
    )
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError("too_long")
    return frame


def decode_frame(data: bytes) -> Delivery:
    """Return the message of a frame.

    :raises FrameError: the frame is of no use
    """
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError("too_long")
    frame = _guarded(lambda: _frame_of(data))
    decoder = _decoders.get(frame.kind)
    if decoder is None:
        raise FrameError("unknown_kind")
    message = _guarded(lambda: decoder.decode(frame.payload))
    return Delivery(frame.sender, frame.incarnation, frame.correlation, frame.reply, message)


def _frame_of(data: bytes) -> Frame:
    # A newer version may have any other form behind its number.
    if _version_decoder.decode(data).version > WIRE_VERSION:
        raise FrameError("newer_version")
    return _frame_decoder.decode(data)


T = TypeVar("T")


def _guarded(decode: Callable[[], T]) -> T:
    try:
        return decode()
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise FrameError("garbage") from error
