"""Tests of the digest that recognises copies of a request."""

from __future__ import annotations

import pytest

from godwitpath.gateway.fingerprint import FINGERPRINT_PREFIX, fingerprint
from godwitpath.http1.messages import Headers, Request

HOST = (b"host", b"depots.example")


def request(
    method: str = "POST",
    target: bytes = b"/stock/7?unit=teu",
    headers: Headers | None = None,
    body: bytes = b"{}",
) -> Request:
    """Return a request as it was received at some time."""
    return Request(method, target, [HOST] if headers is None else headers, body, 1.0, 2.0)


def test_copies_have_the_same_fingerprint() -> None:
    headers = [(b"host", b"Depots.Example"), (b"X-Attempt-Id", b"r2"), (b"X-Deadline-Ms", b"900")]
    copy = Request("POST", b"/stock/7?unit=teu", headers, b"{}", 5.0, 6.0, keep_alive=False)
    assert fingerprint(request(), "hauliers") == fingerprint(copy, "hauliers")
    assert fingerprint(request(), "hauliers").startswith(FINGERPRINT_PREFIX)


@pytest.mark.parametrize(
    ("other", "account"),
    [
        (request(method="PUT"), "hauliers"),
        (request(target=b"/stock/8?unit=teu"), "hauliers"),
        (request(target=b"/stock/7?unit=feu"), "hauliers"),
        (request(headers=[(b"host", b"lines.example")]), "hauliers"),
        (request(body=b"{} "), "hauliers"),
        (request(), "depots"),
        (request(), ""),
    ],
)
def test_requests_that_differ_have_different_fingerprints(other: Request, account: str) -> None:
    assert fingerprint(other, account) != fingerprint(request(), "hauliers")


def test_bytes_do_not_move_from_one_field_to_the_next() -> None:
    first = request(target=b"/a", body=b"bc")
    second = request(target=b"/ab", body=b"c")
    assert fingerprint(first, "x") != fingerprint(second, "x")
