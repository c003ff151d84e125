"""Recognises copies of a request: the same method, host, target, client account and body."""

from __future__ import annotations

import hashlib
from base64 import urlsafe_b64encode
from collections.abc import Iterable

from godwitpath.http1.messages import Request

FINGERPRINT_BYTES = 16
"""Length of the digest of a request: two requests with the same one cannot be made on purpose."""

ACCOUNT_BYTES = 3
"""Length of the digest of the client account, which only distinguishes its fingerprints from those
of other accounts."""

FINGERPRINT_PREFIX = "request:"
"""Start of each fingerprint, which no id of a prompt's part has: parts are separated from their
sizes by a colon."""

MAX_PART_CHARS = 40
"""Length of the longest part id that is a subject itself; of longer ones it is their digest."""

PART_PREFIX = "part:"
"""Start of the digest of a part, which no part id has either."""

_ACCOUNT_END = len(FINGERPRINT_PREFIX) + 4 * ACCOUNT_BYTES // 3


def fingerprint(request: Request, account: str) -> str:
    """Return what all copies of a request have in common, as a digest.

    Ids, deadlines and other headers differ between copies. An account's API key may be replaced, so
    that the account is used instead.

    :param account: name of the client account, empty for an anonymous request
    """
    request_digest = _digest(
        FINGERPRINT_BYTES,
        request.method.encode("latin-1"),
        request.header(b"host").lower(),
        request.target,
        account.encode(),
        request.body,
    )
    return FINGERPRINT_PREFIX + _digest(ACCOUNT_BYTES, account.encode()) + request_digest


def subjects_of_parts(part_ids: tuple[str, ...]) -> tuple[str, ...]:
    """Return the parts of a prompt as subjects of bounded length."""
    if all(len(each) <= MAX_PART_CHARS for each in part_ids):
        return part_ids
    return tuple(each if len(each) <= MAX_PART_CHARS else part_digest(each) for each in part_ids)


def part_digest(part_id: str) -> str:
    """Return the subject that stands for a long part id."""
    return PART_PREFIX + _digest(FINGERPRINT_BYTES, part_id.encode())


def subjects_digest(subjects: Iterable[str]) -> str:
    """Return what stands for a set of subjects."""
    return _digest(FINGERPRINT_BYTES, *(each.encode() for each in sorted(subjects)))


def is_fingerprint(subject: str) -> bool:
    """Return whether a subject is a request with its copies, not a part of prompts."""
    return subject.startswith(FINGERPRINT_PREFIX)


def account_digest(subject: str) -> str:
    """Return what the fingerprints of one account have in common, empty for a part of prompts."""
    return subject[:_ACCOUNT_END] if is_fingerprint(subject) else ""


def _digest(size_bytes: int, *fields: bytes) -> str:
    digest = hashlib.blake2b(digest_size=size_bytes)
    for each in fields:
        digest.update(len(each).to_bytes(8, "big"))
        digest.update(each)
    return urlsafe_b64encode(digest.digest()).rstrip(b"=").decode()
