"""Batches of decision records as they are kept in the store and copied to a peer."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import msgspec
import xxhash
import zstandard

from godwitpath.explain.record import DecisionRecord

T = TypeVar("T")

BATCH_PREFIX = "explain/batch/"
INDEX_PREFIX = "explain/index/"
MAX_BATCH_BYTES = 8 * 1_048_576
"""Largest batch after decompression; larger ones are taken as damaged."""

DIGEST_BYTES = 4


class BatchName(msgspec.Struct, frozen=True, array_like=True):
    """Which batch of which process.

    :ivar bucket: number of the time bucket in which the batch was begun
    :ivar entry_id: entry that decided
    :ivar incarnation: start of the entry's process
    :ivar sequence: number of the batch in this incarnation
    """

    bucket: int
    entry_id: str
    incarnation: str
    sequence: int

    def suffix(self) -> str:
        """Return the part of the batch's keys that follows the prefix."""
        return f"{self.bucket:010d}/{self.entry_id}/{self.incarnation}/{self.sequence}"


class BatchPart(msgspec.Struct, array_like=True):
    """Records of a batch that is not yet kept, as copied to a peer.

    :ivar records: those noted since the last part
    :ivar kept_below: batches of the process with a lower number are in the store
    """

    name: BatchName
    records: list[DecisionRecord]
    kept_below: int = 0


class DamagedBatch(ValueError):
    """The bytes are not a batch of this or a neighbouring version."""


def bucket_of_suffix(suffix: str) -> int:
    """Return the time bucket of a key's part after the prefix."""
    digits = suffix.partition("/")[0]
    return int(digits) if digits.isdigit() else 0


def encode_records(records: list[DecisionRecord]) -> bytes:
    """Return the kept form of a batch."""
    return zstandard.compress(msgspec.msgpack.encode(records), 9)


def decode_records(value: bytes) -> list[DecisionRecord]:
    """Return the records of a kept batch.

    :raises DamagedBatch: the value is something else
    """
    return _decode(value, list[DecisionRecord])


def encode_part(part: BatchPart) -> bytes:
    """Return the form of a part that is copied to a peer."""
    return zstandard.compress(msgspec.msgpack.encode(part), 3)


def decode_part(value: bytes) -> BatchPart:
    """Return a part that a peer copied.

    :raises DamagedBatch: the value is something else
    """
    return _decode(value, BatchPart)


def _decode(value: bytes, kind: type[T]) -> T:
    try:
        # The size is checked first, since the library allocates what the frame's header claims.
        if not 0 <= zstandard.frame_content_size(value) <= MAX_BATCH_BYTES:
            raise DamagedBatch("larger than a batch can be, or of unknown size")
        return msgspec.msgpack.decode(zstandard.decompress(value), type=kind)
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise DamagedBatch(str(error)) from error


def subject_digest(subject_id: str) -> bytes:
    """Return the short digest by which an index value lists a subject."""
    return xxhash.xxh32_digest(subject_id.encode("utf-8", "backslashreplace"))


def encode_index(records: Iterable[DecisionRecord]) -> bytes:
    """Return the index value of a batch: the sorted digests of its subjects."""
    return b"".join(sorted({subject_digest(record.subject_id) for record in records}))


def index_lists(index: bytes, digest: bytes) -> bool:
    """Return whether an index value lists a digest; a few false hits cost a read each."""
    position = index.find(digest)
    while position >= 0:
        if position % DIGEST_BYTES == 0:
            return True
        position = index.find(digest, position + 1)
    return False
