"""Decodes what other processes wrote, with one error for whatever makes it unreadable."""

from __future__ import annotations

import re
import socket
from typing import Annotated, Protocol, TypeVar

import msgspec

from godwitpath.errors import GodwitpathError

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)

MAX_WHOLE = 2**53 - 1
"""Largest whole number that other processes may state: 53 bits, as any reader of JSON takes."""

MAX_DIGITS = 18
"""Digits of the longest number in a header field or an event: it fits 64 bits."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
"""Whole number that is not negative."""

Whole = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
"""Whole number of either sign."""

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
"""Port of a listening address, 0 for a process without one."""

_HEADER_TOKEN = re.compile(r"[!-~]+")

Identifier = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Random number that tells writers or their requests apart."""

Finite = Annotated[float, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
"""Number that calculations, log lines and messages can bear."""

Age = Annotated[float, msgspec.Meta(ge=-MAX_WHOLE)]
"""Time since something, infinite before it; a number in any case."""


class Unreadable(GodwitpathError):
    """A value that another process wrote cannot be decoded."""


class Decoder(Protocol[T_co]):
    """Decoder of JSON or MessagePack into a type."""

    def decode(self, data: bytes, /) -> T_co:
        """Return the decoded value."""


def decode(decoder: Decoder[T], data: bytes) -> T:
    """Decode a value.

    :raises Unreadable: the value is damaged, is nested too deeply, or has a field of another type
        or out of its bounds
    """
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, ValueError, ArithmeticError, RecursionError) as error:
        raise Unreadable(str(error)) from error


def parse_whole(value: bytes) -> int | None:
    """Return a whole number of at most :data:`MAX_DIGITS` decimal digits, None for other bytes."""
    return int(value) if value.isdigit() and len(value) <= MAX_DIGITS else None


def is_ip_address(host: str) -> bool:
    """Return whether a host is an IPv4 address, which takes no name lookup."""
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return True


def is_header_token(text: str) -> bool:
    """Return whether a text is visible ASCII, so that a header field may contain it."""
    return _HEADER_TOKEN.fullmatch(text) is not None
