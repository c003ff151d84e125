"""Peer messages about request records, and their encoding.

The holder of a record is the entry that works on the request. The epoch of a record rises whenever
its holder or backup changes.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec
import zstandard

from godwitpath.peers.codec import peer_message, urgent
from godwitpath.ports.peers import PeerMessage
from godwitpath.records.record import Outcome, Piece, RecordRef, RequestRecord, TextSeen

COMPRESS_FROM_BYTES = 1024
"""Smallest encoded value that is compressed."""

COMPRESSION_LEVEL = 1
"""Zstandard compression level of packed values."""

MAX_OUTCOME_BYTES = 2 * 1024 * 1024
"""Longest body of an outcome that is sent to a peer."""

MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Largest value accepted from a peer after decompression."""

_UNCOMPRESSED = b"\x00"
_ZSTANDARD = b"\x01"

# Shared by all callers: the process has one thread, and none of the calls awaits.
_compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
_decompressor = zstandard.ZstdDecompressor()

T = TypeVar("T")


class RecordImage(msgspec.Struct, array_like=True):
    """The full state of a record for its backup; the fields are those of :class:`RequestRecord`."""

    request_id: str
    account: str
    service: str
    kind: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    idempotency_key: str
    body: bytes
    body_digest: str
    priority: int
    streamed: bool
    timeout_s: float
    keep_outcome_s: float
    holder: str
    backup: str
    epoch: int
    attempt_id: str
    upstream_id: str
    stream_id: str
    pieces: list[Piece]
    outcome: Outcome | None
    version: int = 0


class RecordUpdate(msgspec.Struct, array_like=True):
    """Changes of a record since the backup's last acknowledgement.

    :ivar handle: the record's handle, a third as long as the request identifier
    :ivar epoch: epoch in which the sender holds the record
    :ivar first_piece: index in the record of the first of ``pieces``
    :ivar attempt: attempt, upstream and stream identifiers; None if the backup has them
    :ivar version: version of the attempt and stream
    """

    handle: int
    epoch: int
    first_piece: int
    pieces: list[Piece]
    outcome: Outcome | None = None
    attempt: tuple[str, str, str] | None = None
    version: int = 0


class UpdateResult(msgspec.Struct, array_like=True):
    """The backup's result for a copy or an update.

    :ivar handle: the record's handle
    :ivar pieces: number of pieces that the backup has, -1 if the backup needs a full copy
    :ivar holder: entry that holds the record in a newer epoch, empty if the message was not refused
    :ivar epoch: epoch of that holder
    :ivar version: version of the attempt and stream that the backup has
    :ivar finished: whether the backup has the outcome
    """

    handle: int
    pieces: int
    holder: str = ""
    epoch: int = 0
    version: int = 0
    finished: bool = False


@urgent
@peer_message
class RecordCopy(PeerMessage):
    """A full copy of a record for its backup: a packed :class:`RecordImage`."""

    image: bytes


@urgent
@peer_message
class RecordUpdates(PeerMessage):
    """A batch of updates: a packed list of :class:`RecordUpdate`."""

    updates: bytes


@peer_message
class UpdateResults(PeerMessage):
    """The backup's reply to a copy or to a batch of updates."""

    results: list[UpdateResult]


@urgent
@peer_message
class DropCopy(PeerMessage):
    """Asks the receiver to drop its copy of a record up to an epoch."""

    request_id: str
    epoch: int


@peer_message
class HolderChanged(PeerMessage):
    """Announces that the sender now holds the record."""

    request_id: str
    epoch: int


@peer_message
class OfferOutcome(PeerMessage):
    """The sender's outcome of a plain call, for the entry that took the record over."""

    account: str
    request_id: str
    outcome: Outcome


@peer_message
class HandOver(PeerMessage):
    """Asks the receiver to adopt these records, because the sender is stopping."""

    request_ids: list[str]


@peer_message
class HandedOver(PeerMessage):
    """The records of a :class:`HandOver` that the receiver adopts."""

    request_ids: list[str]


@urgent
@peer_message
class HeldQuery(PeerMessage):
    """Asks a holder which of these records it still has and still copies to the sender."""

    request_ids: list[str]


@peer_message
class HeldReply(PeerMessage):
    """The reply to a :class:`HeldQuery`; the sender still holds and copies records in neither list.

    :ivar unknown: records that the sender does not have
    :ivar elsewhere: records that the sender no longer holds or that have another backup
    """

    unknown: list[str]
    elsewhere: list[str]


@urgent
@peer_message
class FindRecord(PeerMessage):
    """Asks for a record of an account by identifier or by idempotency key."""

    account: str
    request_id: str = ""
    idempotency_key: str = ""


@peer_message
class FoundRecord(PeerMessage):
    """The reply to a :class:`FindRecord`; the request identifier is empty if nothing was found."""

    request_id: str = ""
    holder: str = ""
    epoch: int = 0
    idempotency_key: str = ""
    body_digest: str = ""
    service: str = ""
    kind: str = "chat"
    streamed: bool = False
    state: str = "accepted"
    tokens: int = 0


@urgent
@peer_message
class ClaimKey(PeerMessage):
    """Asks the arbiter of an idempotency key for the right to run the request.

    :ivar replaces: request that loses the claim, since it has no record and no live holder
    """

    account: str
    idempotency_key: str
    body_digest: str
    request_id: str
    holder: str
    replaces: str = ""


@peer_message
class KeyClaimed(PeerMessage):
    """The valid claim on an idempotency key."""

    body_digest: str
    request_id: str
    holder: str


@urgent
@peer_message
class ReleaseKey(PeerMessage):
    """Releases the claim on an idempotency key after the request was refused."""

    account: str
    idempotency_key: str
    request_id: str


@urgent
@peer_message
class FollowRecord(PeerMessage):
    """Long poll for the pieces of a generated text after an offset.

    :ivar poll_id: number that correlates the reply with the poll
    :ivar after_tokens: offset in tokens
    :ivar wait_s: time that the holder waits for new pieces
    """

    poll_id: int
    account: str
    request_id: str
    after_tokens: int
    seen: TextSeen | None
    wait_s: float


@urgent
@peer_message
class AwaitOutcome(PeerMessage):
    """Long poll for the outcome of a request; the fields are those of :class:`FollowRecord`."""

    poll_id: int
    account: str
    request_id: str
    wait_s: float


@urgent
@peer_message
class RecordPieces(PeerMessage):
    """The reply to a long poll, sent as a separate message so that no handler blocks.

    :ivar held: whether the sender could serve the poll; False if the record is held elsewhere
    :ivar holder: entry that holds the record as far as the sender knows
    :ivar offset_unknown: whether the text cannot be continued from the offset
    """

    poll_id: int
    held: bool
    holder: str = ""
    pieces: list[Piece] = []
    outcome: Outcome | None = None
    offset_unknown: bool = False


def pack(value: object) -> bytes:
    """Encode a value; compress an encoding of at least ``COMPRESS_FROM_BYTES``."""
    data = msgspec.msgpack.encode(value)
    if len(data) < COMPRESS_FROM_BYTES:
        return _UNCOMPRESSED + data
    return _ZSTANDARD + _compressor.compress(data)


def unpack(data: bytes, kind: type[T]) -> T:
    """Decode the output of :func:`pack`."""
    content = data[1:]
    if data[:1] == _ZSTANDARD:
        content = _decompressor.decompress(content, max_output_size=MAX_UNPACKED_BYTES)
    return msgspec.msgpack.decode(content, type=kind)


def outcome_for_copy(record: RequestRecord) -> Outcome | None:
    """Return the outcome to send to the backup, without a body too long for a peer message."""
    return without_oversized_body(record.outcome)


def without_oversized_body(outcome: Outcome | None) -> Outcome | None:
    """Return the outcome, with its body removed if that is too long for a peer message."""
    if outcome is None or len(outcome.body) <= MAX_OUTCOME_BYTES:
        return outcome
    return msgspec.structs.replace(outcome, body=b"", reason="the body was too long to be kept")


_IMAGE_FIELDS = RecordImage.__struct_fields__


def image_of(record: RequestRecord, backup: str, now_s: float) -> RecordImage:
    """Return the image of a record for its backup, with the time left until the deadline."""
    values = {name: getattr(record, name) for name in _IMAGE_FIELDS}
    values["backup"] = backup
    values["outcome"] = outcome_for_copy(record)
    values["timeout_s"] = max(0.0, record.time_left_s(now_s))
    return RecordImage(**values)


def record_of(image: RecordImage, now_s: float) -> RequestRecord:
    """Return the record in an image as a copy that this process does not hold."""
    values = {name: getattr(image, name) for name in _IMAGE_FIELDS}
    record = RequestRecord(**values, held=False, created_at_s=now_s, last_update_at_s=now_s)
    if record.outcome is not None:
        record.state = "finished"
        record.finished_at_s = now_s
    elif record.attempt_id:
        record.state = "running"
    return record


def found_record_of(record: RequestRecord) -> FoundRecord:
    """Return the reply to a peer that looks for a record."""
    return FoundRecord(
        request_id=record.request_id,
        holder=record.holder,
        epoch=record.epoch,
        idempotency_key=record.idempotency_key,
        body_digest=record.body_digest,
        service=record.service,
        kind=record.kind,
        streamed=record.streamed,
        state=record.state,
        tokens=record.tokens,
    )


def ref_of(account: str, found: FoundRecord) -> RecordRef:
    """Return a reference to the record in a peer's reply."""
    return RecordRef(
        account=account,
        request_id=found.request_id,
        holder=found.holder,
        epoch=found.epoch,
        idempotency_key=found.idempotency_key,
        body_digest=found.body_digest,
        service=found.service,
        kind=found.kind,  # type: ignore[arg-type]
        streamed=found.streamed,
        state=found.state,  # type: ignore[arg-type]
        tokens=found.tokens,
    )


def local_ref(record: RequestRecord) -> RecordRef:
    """Return a reference to a record that this process has."""
    ref = ref_of(record.account, found_record_of(record))
    ref.record = record
    return ref
