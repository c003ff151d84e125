"""CURVE key pairs of the links between entries."""

from __future__ import annotations

import struct
from dataclasses import dataclass

import zmq
from zmq.utils import z85

CURVE_KEY_CHARS = 40
"""Length of a CURVE key in Z85 encoding, in characters."""


@dataclass(slots=True, frozen=True)
class CurvePair:
    """A CURVE key pair in Z85 encoding."""

    public_key: str
    secret_key: str


def generate_key_pair() -> CurvePair:
    """Return a new key pair."""
    public_key, secret_key = zmq.curve_keypair()
    return CurvePair(public_key.decode(), secret_key.decode())


def public_key_of(secret_key: str) -> str:
    """Return the public key that belongs to a secret key."""
    return zmq.curve_public(secret_key.encode()).decode()


def is_curve_key(text: str) -> bool:
    """Return whether a text is a CURVE key in Z85 encoding."""
    if len(text) != CURVE_KEY_CHARS or not text.isascii():
        return False
    try:
        return z85.encode(z85.decode(text)) == text.encode()
    except (KeyError, ValueError, struct.error):
        return False
