"""Frames: whatever comes in, only a frame error comes out."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.membership.messages import Item, Ping
from godwitpath.peers.codec import FrameError, decode_frame, encode_frame

GOOD = encode_frame("entry", 7, 3, False, Ping(1, 2, [Item("members", b"x")]))


def take(data: bytes) -> None:
    try:
        decode_frame(data)
    except FrameError:
        pass


@given(st.binary(max_size=200))
@settings(max_examples=200, derandomize=True)
def test_no_bytes_raise_anything_else(data: bytes) -> None:
    take(data)


@given(st.integers(0, len(GOOD) - 1), st.integers(0, 255), st.integers(0, len(GOOD)))
@settings(max_examples=300, derandomize=True)
def test_no_changed_frame_raises_anything_else(place: int, value: int, end: int) -> None:
    changed = bytearray(GOOD)
    changed[place] = value
    take(bytes(changed))
    take(GOOD[:end])


def test_a_frame_comes_back_as_it_was() -> None:
    delivery = decode_frame(GOOD)
    assert (delivery.sender, delivery.incarnation, delivery.correlation) == ("entry", 7, 3)
    assert delivery.message == Ping(1, 2, [Item("members", b"x")])
