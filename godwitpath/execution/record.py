"""Execution record: names the only attempt at an operation that must run at most once."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Literal

import msgspec

from godwitpath.errors import GodwitpathError
from godwitpath.records.messages import pack, unpack
from godwitpath.records.record import Outcome

PREFIX = "exec/"
"""Prefix of the store keys of execution records."""

MAX_VALUE_BYTES = 1_000_000
"""Largest encoded record; from a larger record, the outcome's body is dropped."""

ExecutionState = Literal["sent", "finished", "released"]


class ExecutionRecord(msgspec.Struct, array_like=True, frozen=True):
    """The value in the store for an account's idempotency key.

    :ivar state: `sent` from before the call is sent, `finished` with the outcome, or `released`
        if the call was provably not sent
    :ivar attempt_id: random 128-bit identifier of the attempt that owns the record, hexadecimal
    :ivar entry_id: identifier of the entry that made the attempt
    :ivar incarnation: incarnation of the process of that entry
    :ivar changed_at_s: wall-clock time of the last change, in seconds since 1970
    :ivar outcome_dropped: whether the outcome's body was too large to be stored
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
    """Exclusive right of one attempt to send a call.

    :ivar revision: store revision of the record that this attempt wrote
    :ivar sent: whether any byte of the call may have been sent
    """

    store_key: str
    record: ExecutionRecord
    revision: int
    sent: bool = False

    @property
    def attempt_id(self) -> str:
        """Identifier of the attempt that holds the claim."""
        return self.record.attempt_id


class ExecutionExists(GodwitpathError):
    """Another attempt has sent the operation or may have sent it.

    :ivar record: the existing record
    """

    def __init__(self, record: ExecutionRecord) -> None:
        super().__init__(f"the key belongs to request {record.request_id}, state {record.state}")
        self.record = record


class BodyMismatch(GodwitpathError):
    """The idempotency key was used with a different body.

    :ivar record: the existing record
    """

    def __init__(self, record: ExecutionRecord) -> None:
        super().__init__("the idempotency key was used with another body")
        self.record = record


class ClaimRefused(GodwitpathError):
    """The store did not confirm the claim; the operation did not run.

    :ivar retry_after_s: recommended delay before a retry
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


def store_key(account: str, idempotency_key: str) -> str:
    """Return the key under which the record of an account's idempotency key is stored."""
    digest = hashlib.sha256(f"{account}\x00{idempotency_key}".encode()).hexdigest()
    return f"{PREFIX}{digest}"


def encode(record: ExecutionRecord) -> bytes:
    """Encode a record; drops the outcome's body if the value exceeds :data:`MAX_VALUE_BYTES`."""
    value = pack(record)
    if len(value) <= MAX_VALUE_BYTES or record.outcome is None:
        return value
    outcome = msgspec.structs.replace(record.outcome, body=b"")
    return pack(msgspec.structs.replace(record, outcome=outcome, outcome_dropped=True))


def decode(value: bytes) -> ExecutionRecord:
    """Decode a record encoded by :func:`encode`."""
    return unpack(value, ExecutionRecord)
