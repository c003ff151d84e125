"""Splits JSON arrays and objects into their parts, whatever the parts contain.

A decoder of a whole document fails on any part that it cannot read. Here only the brackets and the
ends of strings are looked at, without recursion, and each part is left to its own decoder.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

import msgspec

from godwitpath.decoding import Unreadable, decode

MAX_TOKENS = 262_144
"""Maximum number of strings, brackets and commas of a text. Each takes about half a microsecond, in
which nothing else runs."""

_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'

# Runs of brackets are matched together, so that deep nesting is as fast as a long text.
_TOKEN = re.compile(_STRING + rb'|[\[{]+|[\]}]+|,|"', re.DOTALL)

_MEMBER = re.compile(rb"(" + _STRING + rb")\s*:\s*(.*)", re.DOTALL)

_CLOSING = bytes.maketrans(b"[{", b"]}")

_name_decoder = msgspec.json.Decoder(str)


def split_array(text: bytes) -> list[bytes]:
    """Return the elements of a JSON array.

    :raises Unreadable: the text is no array, or its brackets do not match
    """
    return list(_split(text, b"["))


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the values of a JSON object by name.

    :raises Unreadable: the text is no object, or its brackets do not match
    """
    members = {}
    for part in _split(text, b"{"):
        match = _MEMBER.fullmatch(part)
        if match is None:
            raise Unreadable("a part of an object is no name with a value")
        members[decode(_name_decoder, match[1])] = match[2]
    return members


def _split(text: bytes, opening: bytes) -> Iterator[bytes]:
    text = text.strip()
    if not text.startswith(opening):
        raise Unreadable("another type of value")
    open_brackets = bytearray()
    start = 1
    for count_before, token in enumerate(_TOKEN.finditer(text)):
        if count_before == MAX_TOKENS:
            raise Unreadable(f"more than {MAX_TOKENS} tokens")
        first = token[0][:1]
        if token[0] == b'"':
            raise Unreadable("a string does not end")
        if first in (b"[", b"{"):
            open_brackets += token[0]
        elif first in (b"]", b"}"):
            count = len(token[0])
            closed = bytes(open_brackets[-count:][::-1]).translate(_CLOSING)
            if closed != token[0]:
                raise Unreadable("brackets do not match")
            del open_brackets[-count:]
            if not open_brackets and token.end() != len(text):
                raise Unreadable("more text follows")
        elif first == b"," and len(open_brackets) == 1:
            yield _part(text[start : token.start()])
            start = token.end()
    if open_brackets:
        raise Unreadable("a bracket is not closed")
    if start > 1 or text[1:-1].strip():
        yield _part(text[start:-1])


def _part(text: bytes) -> bytes:
    part = text.strip()
    if not part:
        raise Unreadable("an empty part")
    return part
