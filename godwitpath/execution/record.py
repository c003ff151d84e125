"""The execution record: the one attempt at an operation that must not run twice."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Literal

import msgspec

from godwitpath.errors import GodwitpathError
from godwitpath.records.messages import pack, unpack
from godwitpath.records.record import Outcome

PREFIX = "exec/"
MAX_VALUE_BYTES = 1_000_000

ExecutionState = Literal["sent", "finished", "released"]


class ExecutionRecord(msgspec.Struct, array_like=True, frozen=True):
    """What the key-value service holds for an account's idempotency key.

    :ivar state: `sent` from before the call leaves, `finished` with the outcome, or `released`
        when the call was provably not sent
    :ivar attempt_id: random 128 bits of the attempt that the record belongs to
    :ivar entry_id: entry that made the attempt
    :ivar incarnation: start of that entry
    :ivar changed_at_s: wall-clock time of the last change, in seconds since 1970
    :ivar outcome_dropped: whether the outcome's body was too large to be kept
    """

    state: ExecutionState
    account: str
    body_digest: str
    attempt_id: str
    entry_id: str
    incarnation: str
    request_id: str
    changed_at_s: float
    outcome: Outcome | None = None
    outcome_dropped: bool = False


@dataclass(slots=True)
class Claim:
    """The right to send a call, held by exactly one attempt.

    :ivar revision: revision of the record that this attempt wrote
    :ivar sent: whether a byte of the call may have left
    """

    store_key: str
    record: ExecutionRecord
    revision: int
    sent: bool = False

    @property
    def attempt_id(self) -> str:
        """The attempt that holds the claim."""
        return self.record.attempt_id


class ExecutionExists(GodwitpathError):
    """The operation was sent already, or may have been.

    :ivar record: the record that stands
    """

    def __init__(self, record: ExecutionRecord) -> None:
        super().__init__(f"the key belongs to request {record.request_id}, state {record.state}")
        self.record = record


class BodyMismatch(GodwitpathError):
    """The key was used with another body."""

    def __init__(self, record: ExecutionRecord) -> None:
        super().__init__("the idempotency key was used with another body")
        self.record = record


class ClaimRefused(GodwitpathError):
    """The store did not confirm the claim; the operation did not run.

    :ivar retry_after_s: when asking again makes sense
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


def store_key(account: str, idempotency_key: str) -> str:
    """Return the key-value key of an account's idempotency key."""
    digest = hashlib.sha256(f"{account}\x00{idempotency_key}".encode()).hexdigest()
    return f"{PREFIX}{digest}"


def encode(record: ExecutionRecord) -> bytes:
    """Encode a record; an outcome too large for one value loses its body."""
    value = pack(record)
    if len(value) <= MAX_VALUE_BYTES or record.outcome is None:
        return value
    outcome = msgspec.structs.replace(record.outcome, body=b"")
    return pack(msgspec.structs.replace(record, outcome=outcome, outcome_dropped=True))


def decode(value: bytes) -> ExecutionRecord:
    """Decode what :func:`encode` made."""
    return unpack(value, ExecutionRecord)
