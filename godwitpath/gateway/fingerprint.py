"""Recognises copies of a request: the same method, host, target, client account and body."""

from __future__ import annotations

import hashlib

from godwitpath.http1.messages import Request

FINGERPRINT_BYTES = 20
"""Length of a fingerprint: two requests with the same one cannot be made on purpose."""

FINGERPRINT_PREFIX = "request:"
"""Start of each fingerprint, which no id of a prompt's part has: parts are separated from their
sizes by a colon."""


def fingerprint(request: Request, account: str) -> str:
    """Return what all copies of a request have in common, as a digest.

    Ids, deadlines and other headers differ between copies. An account's API key may be replaced, so
    that the account stands for it.

    :param account: name of the client account, empty for an anonymous request
    """
    fields = (
        request.method.encode("latin-1"),
        request.header(b"host").lower(),
        request.target,
        account.encode(),
        request.body,
    )
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for each in fields:
        digest.update(len(each).to_bytes(8, "big"))
        digest.update(each)
    return FINGERPRINT_PREFIX + digest.hexdigest()
