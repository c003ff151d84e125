"""Messages of the failure detector and of the dissemination of facts.

A fact is the latest state of one member or upstream; facts of the same kind form a topic. For
comparison, the facts of a topic are divided into buckets, and each bucket has a hash.
"""

from __future__ import annotations

import msgspec

from godwitpath.membership.member import Member, MemberState
from godwitpath.peers.codec import peer_message, urgent
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import PeerMessage


class GossipFact(msgspec.Struct, array_like=True):
    """An encoded fact with its topic, as sent in a message.

    :ivar topic: name of the topic, such as `members`
    :ivar payload: the fact in the encoding of its topic
    """

    topic: str
    payload: bytes


class TopicDigest(msgspec.Struct, array_like=True):
    """Hashes of the facts of a topic, one for each bucket of fact names."""

    topic: str
    buckets: list[int]


class TopicFacts(msgspec.Struct, array_like=True):
    """The facts of a topic from the buckets whose hashes differ between two entries."""

    topic: str
    payloads: list[bytes]


@urgent
@peer_message
class Ping(PeerMessage):
    """Asks whether the receiver is alive.

    :ivar member_incarnation: the sender's incarnation as a member
    :ivar config_revision: configuration revision in force at the sender
    :ivar items: facts piggybacked on the ping
    """

    member_incarnation: int
    config_revision: int
    items: list[GossipFact] = []


@urgent
@peer_message
class Ack(PeerMessage):
    """Replies to a ping.

    :ivar member_incarnation: incarnation of the replying entry as a member
    :ivar config_revision: configuration revision in force at the replying entry
    :ivar items: facts piggybacked on the ack
    :ivar sender_unknown: whether the replying entry does not know the sender of the ping
    """

    member_incarnation: int
    config_revision: int
    items: list[GossipFact] = []
    sender_unknown: bool = False


@urgent
@peer_message
class PingRequest(PeerMessage):
    """Asks the receiver to ping a third entry.

    :ivar probe_number: sequence number of the probe at the sender
    :ivar target: name of the entry to ping
    """

    probe_number: int
    target: str


@urgent
@peer_message
class IndirectAck(PeerMessage):
    """Reports the result of a ping request.

    :ivar probe_number: sequence number of the probe, from the ping request
    :ivar answered: whether the target replied
    """

    probe_number: int
    answered: bool


@peer_message
class Sync(PeerMessage):
    """Starts an anti-entropy exchange; the reply contains the facts that differ."""

    digests: list[TopicDigest]


@peer_message
class SyncReply(PeerMessage):
    """The replying entry's facts in the buckets that differ, and its hashes of every topic."""

    facts: list[TopicFacts]
    digests: list[TopicDigest]


@peer_message
class SyncPush(PeerMessage):
    """The facts of the entry that sent the `Sync`, from the buckets whose hashes differ."""

    facts: list[TopicFacts]


@urgent
@peer_message
class SpreadNow(PeerMessage):
    """Pushes facts to the receiver without waiting for the next ping."""

    items: list[GossipFact]


class MemberFact(msgspec.Struct, array_like=True, frozen=True):
    """The disseminated form of a member.

    :ivar self_reported: whether the fact originates from the member itself
    """

    entry_id: str
    region: str
    availability_zone: str
    host: str
    port: int
    public_key: str
    incarnation: int
    state: MemberState
    self_reported: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MemberFact)


def encode_member(member: Member, self_reported: bool = False) -> bytes:
    """Return the encoded fact of a member."""
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
            self_reported=self_reported,
        )
    )


def decode_member(payload: bytes) -> MemberFact | None:
    """Return the decoded fact, None if the payload is malformed."""
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def member_from_fact(fact: MemberFact) -> Member:
    """Return a member with the state given by a fact."""
    return Member(
        entry_id=fact.entry_id,
        region=fact.region,
        availability_zone=fact.availability_zone,
        address=Address(fact.host, fact.port),
        public_key=fact.public_key,
        incarnation=fact.incarnation,
        state=fact.state,
    )
