"""Envelope in which an accepted configuration is stored and sent between daemons."""

from __future__ import annotations

import hashlib

import msgspec

from godwitpath.errors import GodwitpathError

CURRENT_KEY = "config/current"
"""Key of the configuration in force."""

HISTORY_PREFIX = "config/history/"
"""Prefix of the keys of all accepted configurations; the revision follows in ten digits."""


class ConfigEnvelope(msgspec.Struct, frozen=True):
    """An accepted configuration and its origin.

    :ivar revision: number of the configuration, one more than that of the previous configuration
    :ivar text: configuration text as submitted
    :ivar digest: SHA-256 of the text, hexadecimal
    :ivar author: operator who submitted the text
    :ivar submitted_at: time of the submission in RFC 3339 format
    :ivar reason: reason given by the operator
    :ivar submission_id: random identifier of the submission; it shows whether a write with a lost
        response took effect
    """

    revision: int
    text: str
    digest: str
    author: str
    submitted_at: str
    reason: str
    submission_id: str


class DamagedEnvelope(GodwitpathError, msgspec.MsgspecError):
    """A stored or received value is not a valid envelope."""


def text_digest(text: str) -> str:
    """Return the hexadecimal SHA-256 of a configuration text."""
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


def history_key(revision: int) -> str:
    """Return the store key of an accepted configuration."""
    return f"{HISTORY_PREFIX}{revision:010d}"


def encode_envelope(envelope: ConfigEnvelope) -> bytes:
    """Return the JSON encoding of an envelope."""
    return msgspec.json.encode(envelope)


def decode_envelope(value: bytes) -> ConfigEnvelope:
    """Decode an envelope and verify its digest.

    :param value: JSON encoding of the envelope
    :raises DamagedEnvelope: the value is not an envelope, or the digest does not match the text
    """
    try:
        envelope = msgspec.json.decode(value, type=ConfigEnvelope)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DamagedEnvelope(f"the stored configuration is damaged: {error}") from error
    if envelope.digest != text_digest(envelope.text):
        raise DamagedEnvelope("the stored configuration is damaged: its digest does not match")
    return envelope
