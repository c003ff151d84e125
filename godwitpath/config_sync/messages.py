"""Messages that carry configurations between the entries."""

from __future__ import annotations

import zlib

import msgspec

from godwitpath.config.envelope import ConfigEnvelope, decode_envelope, encode_envelope
from godwitpath.peers.codec import peer_message
from godwitpath.ports.peers import PeerMessage

MAX_ENVELOPE_BYTES = 2 * 1024 * 1024
"""Longest envelope that is unpacked."""


@peer_message
class ConfigPush(PeerMessage):
    """Brings a configuration that the sender has in force.

    :ivar packed: compressed envelope
    """

    packed: bytes


@peer_message
class ConfigPull(PeerMessage):
    """Asks for a configuration of a greater revision than the sender's."""

    revision: int


@peer_message
class ConfigReply(PeerMessage):
    """Answers a pull.

    :ivar packed: compressed envelope, empty where there is no greater revision
    """

    packed: bytes


def pack(envelope: ConfigEnvelope) -> bytes:
    """Return the compressed form of an envelope."""
    return zlib.compress(encode_envelope(envelope))


def unpack(packed: bytes) -> ConfigEnvelope | None:
    """Return the envelope of a compressed form, None for garbage."""
    unpacker = zlib.decompressobj()
    try:
        value = unpacker.decompress(packed, MAX_ENVELOPE_BYTES)
        return decode_envelope(value)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError):
        return None
