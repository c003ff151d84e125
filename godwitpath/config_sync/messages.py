"""Peer messages that transfer configurations between entries."""

from __future__ import annotations

import zlib

import msgspec

from godwitpath.config.envelope import ConfigEnvelope, decode_envelope, encode_envelope
from godwitpath.peers.codec import peer_message
from godwitpath.ports.peers import PeerMessage

MAX_ENVELOPE_BYTES = 2 * 1024 * 1024
"""Maximum size of a decompressed envelope."""


@peer_message
class ConfigPush(PeerMessage):
    """Push of the configuration that is in force at the sender.

    :ivar packed: compressed envelope
    """

    packed: bytes


@peer_message
class ConfigPull(PeerMessage):
    """Request for a configuration with a greater revision than the sender's.

    :ivar revision: revision in force at the sender, 0 for none
    """

    revision: int


@peer_message
class ConfigReply(PeerMessage):
    """Reply to a pull.

    :ivar packed: compressed envelope, empty if the replying entry has no greater revision
    """

    packed: bytes


def pack(envelope: ConfigEnvelope) -> bytes:
    """Encode and compress an envelope."""
    return zlib.compress(encode_envelope(envelope))


def unpack(packed: bytes) -> ConfigEnvelope | None:
    """Decompress and decode an envelope; returns None for invalid data."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(packed, MAX_ENVELOPE_BYTES)
        return decode_envelope(value)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError):
        return None
