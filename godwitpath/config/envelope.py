"""A submitted configuration text with its revision and origin, as it is stored and spread."""

from __future__ import annotations

import hashlib

import msgspec

from godwitpath.errors import GodwitpathError

CURRENT_KEY = "config/current"
"""Key of the configuration in force."""

HISTORY_PREFIX = "config/history/"
"""Prefix of the keys of every accepted configuration, followed by the revision in ten digits."""


class ConfigEnvelope(msgspec.Struct, frozen=True):
    """An accepted configuration.

    :ivar revision: number of the configuration, one more than the previous
    :ivar text: the operators' text as submitted
    :ivar digest: SHA-256 of the text, hexadecimal
    :ivar author: who submitted it
    :ivar submitted_at: when, in RFC 3339 form
    :ivar reason: why, in the operator's words
    :ivar submission_id: random identifier of the submission, settles a lost answer
    """

    revision: int
    text: str
    digest: str
    author: str
    submitted_at: str
    reason: str
    submission_id: str


class DamagedEnvelope(GodwitpathError, msgspec.MsgspecError):
    """A stored or received value is not an accepted configuration."""


def text_digest(text: str) -> str:
    """Return the hexadecimal SHA-256 of a configuration text."""
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


def history_key(revision: int) -> str:
    """Return the key under which an accepted configuration is kept."""
    return f"{HISTORY_PREFIX}{revision:010d}"


def encode_envelope(envelope: ConfigEnvelope) -> bytes:
    """Return the stored form of an envelope."""
    return msgspec.json.encode(envelope)


def decode_envelope(value: bytes) -> ConfigEnvelope:
    """Return the envelope of a stored form.

    :raises DamagedEnvelope: the value is not an envelope
    """
    try:
        envelope = msgspec.json.decode(value, type=ConfigEnvelope)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DamagedEnvelope(f"the stored configuration is damaged: {error}") from error
    if envelope.digest != text_digest(envelope.text):
        raise DamagedEnvelope("the stored configuration is damaged: its digest is another")
    return envelope
