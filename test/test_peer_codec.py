"""Frame decoding: malformed input raises only `FrameError`; valid frames round-trip."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.membership.messages import GossipFact, Ping
from godwitpath.peers.codec import FrameError, decode_frame, encode_frame

VALID_FRAME = encode_frame("entry", 7, 3, False, Ping(1, 2, [GossipFact("members", b"x")]))


def decode_or_reject(data: bytes) -> None:
    try:
        decode_frame(data)
    except FrameError:
        pass


@given(st.binary(max_size=200))
@settings(max_examples=200, derandomize=True)
def test_random_bytes_raise_only_frame_errors(data: bytes) -> None:
    decode_or_reject(data)


@given(st.integers(0, len(VALID_FRAME) - 1), st.integers(0, 255), st.integers(0, len(VALID_FRAME)))
@settings(max_examples=300, derandomize=True)
def test_corrupted_or_truncated_frames_raise_only_frame_errors(
    position: int, value: int, end: int
) -> None:
    changed = bytearray(VALID_FRAME)
    changed[position] = value
    decode_or_reject(bytes(changed))
    decode_or_reject(VALID_FRAME[:end])


def test_encoded_frame_decodes_to_the_same_message() -> None:
    delivery = decode_frame(VALID_FRAME)
    assert (delivery.sender, delivery.incarnation, delivery.correlation_id) == ("entry", 7, 3)
    assert delivery.message == Ping(1, 2, [GossipFact("members", b"x")])
