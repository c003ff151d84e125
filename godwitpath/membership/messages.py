"""Messages of the failure detector and of the spreading of facts."""

from __future__ import annotations

import msgspec

from godwitpath.membership.member import Member, MemberState
from godwitpath.peers.codec import peer_message, urgent
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import PeerMessage


class Item(msgspec.Struct, array_like=True):
    """A fact that rides on a message.

    :ivar topic: what it is about, such as `members`
    :ivar payload: the fact as its topic encodes it
    """

    topic: str
    payload: bytes


class TopicDigest(msgspec.Struct, array_like=True):
    """Digests of everything known of a topic, one for each bucket of names."""

    topic: str
    buckets: list[int]


class TopicFacts(msgspec.Struct, array_like=True):
    """Everything known of a topic in the buckets that differ."""

    topic: str
    payloads: list[bytes]


@urgent
@peer_message
class Ping(PeerMessage):
    """Asks whether the receiver is alive.

    :ivar member_incarnation: the sender's incarnation as a member
    :ivar config_revision: configuration revision in force at the sender
    """

    member_incarnation: int
    config_revision: int
    items: list[Item] = []


@urgent
@peer_message
class Ack(PeerMessage):
    """Answers a ping.

    :ivar stranger: whether the answering entry does not know the sender
    """

    member_incarnation: int
    config_revision: int
    items: list[Item] = []
    stranger: bool = False


@urgent
@peer_message
class PingRequest(PeerMessage):
    """Asks the receiver to ping a third entry.

    :ivar number: number of the probe at the sender
    """

    number: int
    target: str


@urgent
@peer_message
class IndirectAck(PeerMessage):
    """Tells what came of a ping request.

    :ivar answered: whether the target answered
    """

    number: int
    answered: bool


@peer_message
class Sync(PeerMessage):
    """Compares what two entries know; the reply brings what differs."""

    digests: list[TopicDigest]


@peer_message
class SyncReply(PeerMessage):
    """What the answering entry knows in the buckets that differ, with its own digests."""

    facts: list[TopicFacts]
    digests: list[TopicDigest]


@peer_message
class SyncPush(PeerMessage):
    """What the entry that began the comparison knows in the buckets that differ."""

    facts: list[TopicFacts]


@urgent
@peer_message
class SpreadNow(PeerMessage):
    """Facts that are sent at once instead of waiting for a ping."""

    items: list[Item]


class MemberFact(msgspec.Struct, array_like=True, frozen=True):
    """A member as it is spread.

    :ivar from_itself: whether the member says so of itself
    """

    entry_id: str
    region: str
    availability_zone: str
    host: str
    port: int
    public_key: str
    incarnation: int
    state: MemberState
    from_itself: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MemberFact)


def encode_member(member: Member, from_itself: bool = False) -> bytes:
    """Return the spread form of a member."""
    return _encoder.encode(
        MemberFact(
            entry_id=member.entry_id,
            region=member.region,
            availability_zone=member.availability_zone,
            host=member.address.host,
            port=member.address.port,
            public_key=member.public_key,
            incarnation=member.incarnation,
            state=member.state,
            from_itself=from_itself,
        )
    )


def decode_member(payload: bytes) -> MemberFact | None:
    """Return the fact of a spread form, None for garbage."""
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def member_of(fact: MemberFact) -> Member:
    """Return the member that a fact tells of."""
    return Member(
        entry_id=fact.entry_id,
        region=fact.region,
        availability_zone=fact.availability_zone,
        address=Address(fact.host, fact.port),
        public_key=fact.public_key,
        incarnation=fact.incarnation,
        state=fact.state,
    )
