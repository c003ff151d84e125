"""Facts about upstreams and their encoding between the entries."""

from __future__ import annotations

import msgspec

from godwitpath.ports.engine import Address
from godwitpath.upstreams.merge import UpstreamState


class UpstreamFact(msgspec.Struct, array_like=True, frozen=True):
    """The state of an upstream, as it is disseminated.

    :ivar upstream_id: name of the instance
    :ivar service: name of the service that the upstream provides
    :ivar incarnation: number that increases only when the upstream serves again after it was `gone`
        or its stop was cancelled
    :ivar leaving_in_s: time left until the upstream terminates, 0 if unknown
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
        """Address on which the process listens."""
        return Address(self.host, self.port)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(UpstreamFact)


def encode_fact(fact: UpstreamFact) -> bytes:
    """Return the encoded form of a fact."""
    return _encoder.encode(fact)


def decode_fact(payload: bytes) -> UpstreamFact | None:
    """Return the decoded fact, None if the payload is malformed."""
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
