"""Whatever a caller sends, the answer is typed, carries a request id, and the entry lives on."""

from __future__ import annotations

import json

import psutil
import pytest

from godwitpath.adapters.http_client import HttpClient
from godwitpath_standin.fleet import Fleet

IDLE_MEMORY_BYTES = 128 * 1024 * 1024
"""Resident memory that an entry without open streams may have."""

CHAT = "/v1/chat/completions"
BOOKINGS = "/services/depot-orders/bookings"
GOOD = json.dumps(
    {"model": "depot-desk", "messages": [{"role": "user", "content": "x"}], "max_tokens": 4}
).encode()
KEY = ("authorization", "Bearer demo-hauliers")

BAD = [
    ("POST", CHAT, [KEY], b"{not json", 400, "malformed_request"),
    ("POST", CHAT, [KEY], b"[" * 20_000, 400, "malformed_request"),
    ("POST", CHAT, [KEY], b'{"model": "depot-desk"}', 400, "malformed_request"),
    ("POST", CHAT, [KEY], GOOD.replace(b"depot-desk", b"nobody"), 404, "unknown_service"),
    ("POST", CHAT, [KEY], b"x" * 1_500_000, 413, "body_too_large"),
    ("POST", CHAT, [], GOOD, 401, "unauthenticated"),
    ("POST", CHAT, [("authorization", "Bearer wrong")], GOOD, 401, "unauthenticated"),
    ("POST", CHAT, [KEY, ("idempotency-key", "a b")], GOOD, 400, "malformed_request"),
    ("POST", CHAT, [KEY, ("idempotency-key", "k" * 257)], GOOD, 400, "malformed_request"),
    ("POST", CHAT, [KEY, ("x-timeout-s", "soon")], GOOD, 400, "malformed_request"),
    ("POST", CHAT, [KEY, ("x-timeout-s", "-1")], GOOD, 400, "malformed_request"),
    ("POST", CHAT, [KEY, ("last-event-id", "req:x")], GOOD, 400, "malformed_request"),
    ("POST", BOOKINGS, [KEY], b"{}", 400, "idempotency_key_required"),
    ("GET", "/services/nobody/x", [KEY], b"", 404, "unknown_service"),
    ("GET", "/v1/requests/req-unknown", [KEY], b"", 404, "unknown_request"),
    ("GET", "/v1/nowhere", [KEY], b"", 404, "unknown_path"),
    ("GET", CHAT, [KEY], b"", 404, "unknown_path"),
]


@pytest.mark.xdist_group("fleet-0")
async def test_every_bad_request_gets_a_typed_answer() -> None:
    async with Fleet("ramdin", entries=2, engines={"planner-lm": 1, "depot-desk": 1}) as fleet:
        client = HttpClient()
        url = fleet.caller_url(1)
        seen = []
        for method, path, headers, body, _, _ in BAD:
            answer, content = await client.call(
                method, url + path, headers, body, timeout_s=10, max_bytes=100_000
            )
            error = json.loads(content)["error"]
            assert error["ran"] == "no"
            assert error["request_id"] == answer.header("x-request-id") != ""
            seen.append((answer.status, error["code"]))
        assert seen == [(status, code) for *_, status, code in BAD]

        answer, content = await client.call(
            "POST", url + CHAT, [KEY], GOOD, timeout_s=10, max_bytes=100_000
        )
        assert answer.status == 200
        # Another account is not told that the request exists.
        found, _ = await client.call(
            "GET",
            f"{url}/v1/requests/{answer.header('x-request-id')}",
            [("authorization", "Bearer demo-oceanic-line")],
            timeout_s=10,
            max_bytes=100_000,
        )
        assert found.status == 404
        assert psutil.Process(fleet.entry(1).pid).memory_info().rss < IDLE_MEMORY_BYTES
        await client.close()
