"""A statement about an upstream as it is spread between the entries."""

from __future__ import annotations

import msgspec

from godwitpath.ports.engine import Address
from godwitpath.upstreams.merge import UpstreamState


class UpstreamFact(msgspec.Struct, array_like=True, frozen=True):
    """A statement about an upstream.

    :ivar upstream_id: name of the instance
    :ivar service: service that it serves
    :ivar incarnation: number that only a return after `gone`, or a cancelled stop, raises
    :ivar leaving_in_s: time left until it goes, 0 when not known
    """

    upstream_id: str
    service: str
    region: str
    availability_zone: str
    host: str
    port: int
    reclaimable: bool
    machine_class: str
    price_per_h: float
    incarnation: int = 0
    state: UpstreamState = "serving"
    leaving_in_s: float = 0.0

    @property
    def address(self) -> Address:
        """Where its process listens."""
        return Address(self.host, self.port)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(UpstreamFact)


def encode_fact(fact: UpstreamFact) -> bytes:
    """Return the spread form of a fact."""
    return _encoder.encode(fact)


def decode_fact(payload: bytes) -> UpstreamFact | None:
    """Return the fact of a spread form, None for garbage."""
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
