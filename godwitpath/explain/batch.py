"""Encoding of batches of decision records, for the store and for the copies at a peer.

The subject is the request or configuration change that a decision is about. A time bucket is a
period of fixed length, by which the store keys order the batches.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import msgspec
import xxhash
import zstandard

from godwitpath.explain.record import DecisionRecord

T = TypeVar("T")

BATCH_PREFIX = "explain/batch/"
"""Prefix of the store keys of batches."""

INDEX_PREFIX = "explain/index/"
"""Prefix of the store keys of the batches' index values."""

MAX_BATCH_BYTES = 8 * 1_048_576
"""Largest batch after decompression; a larger one is treated as damaged."""

DIGEST_BYTES = 4
"""Size of the xxHash32 digest of a subject identifier."""


class BatchName(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a batch among those of all processes.

    :ivar bucket: number of the time bucket in which the batch was opened
    :ivar entry_id: identifier of the entry that made the decisions
    :ivar incarnation: incarnation of the entry's process
    :ivar sequence: number of the batch in this incarnation
    """

    bucket: int
    entry_id: str
    incarnation: str
    sequence: int

    def suffix(self) -> str:
        """Return the part of the batch's store keys that follows the prefix."""
        return f"{self.bucket:010d}/{self.entry_id}/{self.incarnation}/{self.sequence}"


class BatchPart(msgspec.Struct, array_like=True):
    """New records of a batch that is not in the store yet, as copied to a peer.

    :ivar name: batch that the records belong to
    :ivar records: records added since the previous part
    :ivar first_pending_sequence: sequence of the oldest batch of the incarnation that is not in the
        store; every batch with a lower sequence was stored or dropped
    """

    name: BatchName
    records: list[DecisionRecord]
    first_pending_sequence: int = 0


class DamagedBatch(ValueError):
    """The bytes are not a batch of this or an adjacent version of the program."""


def bucket_of_suffix(suffix: str) -> int:
    """Return the time bucket in a key suffix, 0 if the suffix is malformed."""
    digits = suffix.partition("/")[0]
    return int(digits) if digits.isdigit() else 0


def encode_records(records: list[DecisionRecord]) -> bytes:
    """Return the stored form of a batch: compressed MessagePack."""
    return zstandard.compress(msgspec.msgpack.encode(records), 9)


def decode_records(value: bytes) -> list[DecisionRecord]:
    """Return the records of a stored batch.

    :raises DamagedBatch: the value is not an encoded batch
    """
    return _decode(value, list[DecisionRecord])


def encode_part(part: BatchPart) -> bytes:
    """Return the form in which a part is sent to a peer: compressed MessagePack."""
    return zstandard.compress(msgspec.msgpack.encode(part), 3)


def decode_part(value: bytes) -> BatchPart:
    """Return a part that a peer sent.

    :raises DamagedBatch: the value is not an encoded part
    """
    return _decode(value, BatchPart)


def _decode(value: bytes, result_type: type[T]) -> T:
    try:
        # The size is checked first, since the library allocates the size in the frame header.
        if not 0 <= zstandard.frame_content_size(value) <= MAX_BATCH_BYTES:
            raise DamagedBatch("larger than a batch can be, or of unknown size")
        return msgspec.msgpack.decode(zstandard.decompress(value), type=result_type)
    except (zstandard.ZstdError, msgspec.MsgspecError) as error:
        raise DamagedBatch(str(error)) from error


def subject_digest(subject_id: str) -> bytes:
    """Return the digest of a subject identifier that index values contain."""
    return xxhash.xxh32_digest(subject_id.encode("utf-8", "backslashreplace"))


def encode_index(records: Iterable[DecisionRecord]) -> bytes:
    """Return the index value of a batch: the sorted digests of its subjects, concatenated."""
    return b"".join(sorted({subject_digest(record.subject_id) for record in records}))


def index_contains(index: bytes, digest: bytes) -> bool:
    """Return whether an index value contains a digest.

    Two subjects may share a digest: the false positive costs one read of a batch.
    """
    position = index.find(digest)
    while position >= 0:
        if position % DIGEST_BYTES == 0:
            return True
        position = index.find(digest, position + 1)
    return False
