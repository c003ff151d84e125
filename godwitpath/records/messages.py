"""Messages between entries about request records."""

from __future__ import annotations

from typing import TypeVar

import msgspec
import zstandard

from godwitpath.peers.codec import peer_message, urgent
from godwitpath.ports.peers import PeerMessage
from godwitpath.records.record import Outcome, Piece, RecordRef, RequestRecord, TextSeen

COMPRESS_FROM_BYTES = 1024
COMPRESSION_LEVEL = 1
MAX_OUTCOME_BYTES = 2 * 1024 * 1024
MAX_UNPACKED_BYTES = 64 * 1024 * 1024

_PLAIN = b"\x00"
_ZSTANDARD = b"\x01"

# The process has one thread, and none of the calls awaits.
_compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
_decompressor = zstandard.ZstdDecompressor()

T = TypeVar("T")


class RecordImage(msgspec.Struct, array_like=True):
    """A whole record as it travels; the fields are those of the record."""

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
    """What is new in a record since the backup's last acknowledgement.

    :ivar handle: the record's handle, a third of its identifier's length
    :ivar first_piece: index of the first of the pieces in the record
    :ivar attempt: attempt, upstream and stream, None when the backup knows them
    :ivar version: number of the change of attempt or stream
    """

    handle: int
    epoch: int
    first_piece: int
    pieces: list[Piece]
    outcome: Outcome | None = None
    attempt: tuple[str, str, str] | None = None
    version: int = 0


class UpdateResult(msgspec.Struct, array_like=True):
    """What the backup did with a copy or an update.

    :ivar handle: the record's handle
    :ivar pieces: number of pieces it has now, -1 when it needs the whole record
    :ivar holder: entry that holds a newer epoch, empty when the update was taken
    :ivar epoch: that epoch
    :ivar version: number of the last change of attempt or stream that the backup knows
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
    """A whole record for its backup; a packed :class:`RecordImage`."""

    image: bytes


@urgent
@peer_message
class RecordUpdates(PeerMessage):
    """A batch of updates; a packed list of :class:`RecordUpdate`."""

    updates: bytes


@peer_message
class UpdateResults(PeerMessage):
    """The backup's answer to a copy or to a batch of updates."""

    results: list[UpdateResult]


@urgent
@peer_message
class DropCopy(PeerMessage):
    """The copy of an epoch is not needed any more."""

    request_id: str
    epoch: int


@peer_message
class HolderChanged(PeerMessage):
    """The record is held by the sender now."""

    request_id: str
    epoch: int


@peer_message
class OfferOutcome(PeerMessage):
    """The outcome of a plain call that the sender learned after another entry took it over."""

    account: str
    request_id: str
    outcome: Outcome


@peer_message
class HandOver(PeerMessage):
    """The sender stops; the receiver must adopt these records."""

    request_ids: list[str]


@peer_message
class HandedOver(PeerMessage):
    """Records that were adopted."""

    request_ids: list[str]


@urgent
@peer_message
class HeldQuery(PeerMessage):
    """Asks a holder which of these records it still has."""

    request_ids: list[str]


@peer_message
class HeldReply(PeerMessage):
    """What the holder says of the copies.

    :ivar unknown: records that it does not know
    :ivar elsewhere: records whose copy is at another entry by now
    """

    unknown: list[str]
    elsewhere: list[str]


@urgent
@peer_message
class FindRecord(PeerMessage):
    """Asks for a record by identifier or by key; only the account's own is told."""

    account: str
    request_id: str = ""
    idempotency_key: str = ""


@peer_message
class FoundRecord(PeerMessage):
    """What a peer knows of a record; an empty identifier means nothing."""

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
    """Asks the arbiter of an idempotency key for the right to run it.

    :ivar replaces: request whose claim the sender found to be void
    """

    account: str
    idempotency_key: str
    body_digest: str
    request_id: str
    holder: str
    replaces: str = ""


@peer_message
class KeyClaimed(PeerMessage):
    """The claim that stands."""

    body_digest: str
    request_id: str
    holder: str


@urgent
@peer_message
class ReleaseKey(PeerMessage):
    """Gives a claim back, because the request was refused."""

    account: str
    idempotency_key: str
    request_id: str


@urgent
@peer_message
class FollowRecord(PeerMessage):
    """Asks the holder for the pieces behind an offset, waiting for the next.

    :ivar poll_id: number that the answer carries
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
    """Asks the holder for the outcome, waiting for it."""

    poll_id: int
    account: str
    request_id: str
    wait_s: float


@urgent
@peer_message
class RecordPieces(PeerMessage):
    """Answers a poll; sent as a message of its own, so that no handler waits.

    :ivar held: whether the sender holds the record
    :ivar holder: entry that holds it as far as the sender knows
    :ivar offset_unknown: the answer cannot be continued from the offset
    """

    poll_id: int
    held: bool
    holder: str = ""
    pieces: list[Piece] = []
    outcome: Outcome | None = None
    offset_unknown: bool = False


def pack(value: object) -> bytes:
    """Encode a value, compressed where that pays."""
    data = msgspec.msgpack.encode(value)
    if len(data) < COMPRESS_FROM_BYTES:
        return _PLAIN + data
    return _ZSTANDARD + _compressor.compress(data)


def unpack(data: bytes, kind: type[T]) -> T:
    """Decode what :func:`pack` made."""
    content = data[1:]
    if data[:1] == _ZSTANDARD:
        content = _decompressor.decompress(content, max_output_size=MAX_UNPACKED_BYTES)
    return msgspec.msgpack.decode(content, type=kind)


def copied_outcome(record: RequestRecord) -> Outcome | None:
    """Return the outcome as it is copied; a body too long for a peer message is left out."""
    return shortened(record.outcome)


def shortened(outcome: Outcome | None) -> Outcome | None:
    """Return an outcome that fits into a peer message."""
    if outcome is None or len(outcome.body) <= MAX_OUTCOME_BYTES:
        return outcome
    return msgspec.structs.replace(outcome, body=b"", reason="the body was too long to be kept")


_FIELDS = RecordImage.__struct_fields__


def image_of(record: RequestRecord, backup: str, now_s: float) -> RecordImage:
    """Return the image of a record for its backup, with the time that is left now."""
    values = {name: getattr(record, name) for name in _FIELDS}
    values["backup"] = backup
    values["outcome"] = copied_outcome(record)
    values["timeout_s"] = max(0.0, record.time_left_s(now_s))
    return RecordImage(**values)


def record_of(image: RecordImage, now_s: float) -> RequestRecord:
    """Return the record of an image, as a copy that this process does not hold."""
    values = {name: getattr(image, name) for name in _FIELDS}
    record = RequestRecord(**values, held=False, since_s=now_s, heard_at_s=now_s)
    if record.outcome is not None:
        record.state = "finished"
        record.finished_at_s = now_s
    elif record.attempt_id:
        record.state = "running"
    return record


def found_of(record: RequestRecord) -> FoundRecord:
    """Return what is told of a record to the peer that looks for it."""
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
    """Return the reference to a record that a peer told of."""
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
    """Return the reference to a record that this process has."""
    ref = ref_of(record.account, found_of(record))
    ref.record = record
    return ref
