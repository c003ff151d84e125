"""Messages between daemons: frequent reports of their load and usage, views on request, permits.

The duty holder is the daemon that does the tasks of the whole deployment under a lease.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Annotated, TypeVar

import msgspec

from godwitpath.decoding import Age, Count, Finite, Identifier, Whole
from godwitpath.gateway.quarantine_report import QuarantineReport
from godwitpath.gateway.store import ERA_BITS, MAX_ERA, era_of, with_era, without_era

Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << ERA_BITS) - 1)]
"""Revision of the store without its era."""

Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]

DIGEST_BYTES = 16
"""Length of the keyed digest (a hash) at the start of each message."""


class PeerReport(msgspec.Struct, array_like=True, tag="report"):
    """A daemon's state, sent a few times a second, in one datagram or in several pieces.

    :ivar name: name of the sender
    :ivar incarnation: random number of the sender's incarnation
    :ivar sequence: sequence number of the report within the incarnation
    :ivar configuration_revision: store revision of the configuration in force
    :ivar clock_s: the sender's estimate of the true time, seconds since 1970
    :ivar quota_used: quota units admitted by this incarnation, by account
    :ivar usage: number of requests that started to run, by usage window and account
    :ivar loads: running requests and waiting prompt tokens, by engine
    :ivar prompts: recently sent prompts: engine id, and the id and number of tokens of each part
        that other requests may share
    :ivar prefill_tokens: prompt tokens sent for prefill by this incarnation, by service
    :ivar fresh: whether the sender watches the store, and the store responds
    :ivar engines_revision: store revision up to which the sender has applied every change of an
        engine
    :ivar holder: name and fencing token of the duty holder that the sender knows of
    :ivar limits: limits of engines: start time of the engine in Unix milliseconds, version, and
        requests per second or None for a limit that has ended, by engine
    :ivar quota_levels: quota units left in the sender's buckets, by account
    :ivar configuration_age_s: time since the sender's configuration was known to be the newest one,
        None from builds that do not state it
    :ivar engines_age_s: the same for the sender's entries of the engines
    :ivar configuration_version: the operator's version of the configuration, 0 if not stated
    :ivar configuration_era: era of its revision, which is sent without it; None if not stated
    :ivar engines_era: era of the engines' revision, likewise
    :ivar leaving: engines that said in a response that they leave: start time in Unix milliseconds,
        and seconds since a daemon first heard it, by engine
    :ivar read_speeds: prompt tokens per second that the sender measured an engine to prefill, by
        service
    :ivar quarantine: crashes of engines that the sender found, and what is quarantined
    :ivar hears: sequence number of the last report of each daemon that the sender hears, by name:
        in a large fleet of its zone's daemons, and of the other zones' aggregators; None from
        builds that do not state it, which also take no report in pieces
    :ivar piece: number of this datagram among those with the same sequence number
    :ivar spread_over: number of reports over which the sections are spread that are incomplete
        here, 0 if all but `prompts` and `quarantine` are complete
    """

    name: str
    incarnation: Identifier
    sequence: Count
    configuration_revision: Number
    clock_s: Finite
    quota_used: dict[str, Whole]
    usage: dict[Whole, dict[str, Count]]
    loads: dict[str, tuple[Whole, Whole]]
    prefill_tokens: dict[str, Whole]
    prompts: list[tuple[str, list[tuple[str, Count]]]]
    fresh: bool = True
    engines_revision: Number = 0
    holder: tuple[str, Count] = ("", 0)
    limits: dict[str, tuple[Count, Count, Finite | None]] = {}
    quota_levels: dict[str, Whole] = {}
    configuration_age_s: Age | None = None
    engines_age_s: Age | None = None
    configuration_version: Count = 0
    configuration_era: Era | None = None
    engines_era: Era | None = None
    leaving: dict[str, tuple[Count, Age]] = {}
    read_speeds: dict[str, Finite] = {}
    quarantine: QuarantineReport = msgspec.field(default_factory=QuarantineReport)
    hears: dict[str, Count] | None = None
    piece: Count = 0
    spread_over: Count = 0


class ZoneSummary(msgspec.Struct, array_like=True, tag="zone"):
    """Summary of an availability zone's daemons, sent to other zones in a large fleet.

    :ivar zone: the summarised zone
    :ivar aggregator: name of the daemon that sends the summary
    :ivar incarnation: random number of the aggregator's incarnation
    :ivar sequence: sequence number of the aggregator's report that the summary is built from
    :ivar members: name and incarnation of each daemon of the zone that has recently reported
    :ivar configuration_revision: greatest store revision of a configuration in force at these
        daemons
    :ivar quota_used: quota units admitted in the zone since the aggregator began to count, by
        account
    :ivar loads: running requests and waiting prompt tokens by engine, summed over the zone
    :ivar prefill_tokens: prompt tokens sent for prefill by the zone's daemons since the aggregator
        began to count, by service
    :ivar prompts: as in :class:`PeerReport`
    :ivar limits: as in :class:`PeerReport`
    :ivar engines_revision: as in :class:`PeerReport`, of the aggregator
    :ivar engines_age_s: as in :class:`PeerReport`, of the aggregator
    :ivar configuration_version: as in :class:`PeerReport`, of the greatest revision
    :ivar configuration_era: as in :class:`PeerReport`
    :ivar engines_era: as in :class:`PeerReport`
    :ivar leaving: as in :class:`PeerReport`
    :ivar quarantine: as in :class:`PeerReport`, with what the aggregator heard of others
    :ivar hears: as in :class:`PeerReport`, of the other zones' aggregators; `members` are those
        that the aggregator hears in its zone
    :ivar piece: as in :class:`PeerReport`
    :ivar spread_over: as in :class:`PeerReport`
    :ivar takes_pieces: whether all daemons of the zone that the aggregator hears take summaries in
        pieces
    """

    zone: str
    aggregator: str
    incarnation: Identifier
    sequence: Count
    members: list[tuple[str, Identifier]]
    configuration_revision: Number
    quota_used: dict[str, Whole]
    loads: dict[str, tuple[Whole, Whole]]
    prefill_tokens: dict[str, Whole]
    prompts: list[tuple[str, list[tuple[str, Count]]]]
    limits: dict[str, tuple[Count, Count, Finite | None]] = {}
    engines_revision: Number = 0
    engines_age_s: Age | None = None
    configuration_version: Count = 0
    configuration_era: Era | None = None
    engines_era: Era | None = None
    leaving: dict[str, tuple[Count, Age]] = {}
    quarantine: QuarantineReport = msgspec.field(default_factory=QuarantineReport)
    hears: dict[str, Count] | None = None
    piece: Count = 0
    spread_over: Count = 0
    takes_pieces: bool = False


class PermitRequest(msgspec.Struct, array_like=True, tag="permit"):
    """A request to an engine's grantor for the permit to send one request to the engine.

    :ivar name: name of the sender
    :ivar number: identifies the request to its sender
    :ivar started_at_ms: start time of the engine in Unix milliseconds
    :ivar priority: priority of the request to be sent, 0 for the most urgent
    :ivar version: version of the engine's limit that the sender knows
    :ivar rate_per_s: that limit in requests per second, None for none
    """

    name: str
    number: Identifier
    engine_id: str
    started_at_ms: Count
    priority: Whole
    version: Count
    rate_per_s: Finite | None


class PermitReply(msgspec.Struct, array_like=True, tag="permit_reply"):
    """The reply to a :class:`PermitRequest`.

    :ivar number: number of the request
    :ivar outcome: `granted`, or why not
    :ivar wait_s: time until a permit is likely to be left
    :ivar limits: the engine's limit as in :class:`PeerReport`
    """

    number: Identifier
    outcome: str
    wait_s: Age
    limits: dict[str, tuple[Count, Count, Finite | None]]


PeerMessage = PeerReport | ZoneSummary | PermitRequest | PermitReply

message_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)
"""Decodes a datagram without its digest."""

StatedRevisions = TypeVar("StatedRevisions", PeerReport, ZoneSummary, "CatalogueView")

MAX_ENTRIES = 20_000
"""Maximum number of entries of a view, many times the engines of the largest fleets."""


class CatalogueView(msgspec.Struct, array_like=True):
    """A daemon's view of the configuration and the engines, for a peer without access to the store.

    :ivar fresh: whether the sender watches the store, and the store responds
    :ivar configuration_revision: store revision of the configuration, 0 for none
    :ivar value: bytes of the configuration, empty if the requesting daemon already has it
    :ivar entries: stored values of the engines' keys, by key
    :ivar engines_revision: store revision up to which the entries contain every change
    :ivar configuration_age_s: as in :class:`PeerReport`
    :ivar engines_age_s: as in :class:`PeerReport`
    :ivar configuration_version: as in :class:`PeerReport`
    :ivar configuration_era: as in :class:`PeerReport`
    :ivar engines_era: as in :class:`PeerReport`
    """

    fresh: bool
    configuration_revision: Number
    value: bytes
    entries: Annotated[dict[str, bytes], msgspec.Meta(max_length=MAX_ENTRIES)]
    engines_revision: Number
    configuration_age_s: Age | None = None
    engines_age_s: Age | None = None
    configuration_version: Count = 0
    configuration_era: Era | None = None
    engines_era: Era | None = None


view_decoder = msgspec.msgpack.Decoder(CatalogueView)
"""Decodes the response to a pull without its digest."""

known_revision_decoder = msgspec.msgpack.Decoder(Identifier)
"""Decodes a pull without its digest."""


def with_eras(message: StatedRevisions, default_era: int) -> StatedRevisions:
    """Return a received message with its eras in its revisions.

    :param default_era: era of messages from builds that state none
    """
    configuration_era, engines_era = message.configuration_era, message.engines_era
    return msgspec.structs.replace(
        message,
        configuration_revision=with_era(
            default_era if configuration_era is None else configuration_era,
            message.configuration_revision,
        ),
        engines_revision=with_era(
            default_era if engines_era is None else engines_era, message.engines_revision
        ),
    )


def without_eras(message: StatedRevisions) -> StatedRevisions:
    """Return a message to be sent, with its eras beside its revisions."""
    return msgspec.structs.replace(
        message,
        configuration_revision=without_era(message.configuration_revision),
        configuration_era=era_of(message.configuration_revision),
        engines_revision=without_era(message.engines_revision),
        engines_era=era_of(message.engines_revision),
    )


def seal(secret: bytes, payload: bytes) -> bytes:
    """Return the payload after its keyed digest, which authenticates the sender as a daemon."""
    return hashlib.blake2b(payload, key=secret, digest_size=DIGEST_BYTES).digest() + payload


def unseal(secret: bytes, sealed: bytes) -> bytes | None:
    """Return the payload, or None if its digest does not match."""
    digest, payload = sealed[:DIGEST_BYTES], sealed[DIGEST_BYTES:]
    expected = hashlib.blake2b(payload, key=secret, digest_size=DIGEST_BYTES).digest()
    return payload if hmac.compare_digest(digest, expected) else None
