"""Guards against bad input that gets an untyped error or brings down the entry.

Every error response must be typed and carry a request id.
"""

from __future__ import annotations

import asyncio
import json

import psutil
import pytest

from godwitpath.adapters.http_client import HttpClient
from godwitpath_standin.fleet import Fleet

IDLE_MEMORY_BYTES = 128 * 1024 * 1024
"""Maximum resident memory of an entry without open streams."""

CHAT = "/v1/chat/completions"
BOOKINGS = "/services/depot-orders/bookings"
VALID_BODY = json.dumps(
    {"model": "depot-desk", "messages": [{"role": "user", "content": "x"}], "max_tokens": 4}
).encode()
AUTH = ("authorization", "Bearer demo-hauliers")

BAD_REQUESTS = [
    ("POST", CHAT, [AUTH], b"{not json", 400, "malformed_request"),
    ("POST", CHAT, [AUTH], b"[" * 20_000, 400, "malformed_request"),
    ("POST", CHAT, [AUTH], b'{"model": "depot-desk"}', 400, "malformed_request"),
    ("POST", CHAT, [AUTH], VALID_BODY.replace(b"depot-desk", b"nobody"), 404, "unknown_service"),
    ("POST", CHAT, [AUTH], b"x" * 1_500_000, 413, "body_too_large"),
    ("POST", CHAT, [], VALID_BODY, 401, "unauthenticated"),
    ("POST", CHAT, [("authorization", "Bearer wrong")], VALID_BODY, 401, "unauthenticated"),
    ("POST", CHAT, [AUTH, ("idempotency-key", "a b")], VALID_BODY, 400, "malformed_request"),
    ("POST", CHAT, [AUTH, ("idempotency-key", "k" * 257)], VALID_BODY, 400, "malformed_request"),
    ("POST", CHAT, [AUTH, ("x-timeout-s", "soon")], VALID_BODY, 400, "malformed_request"),
    ("POST", CHAT, [AUTH, ("x-timeout-s", "-1")], VALID_BODY, 400, "malformed_request"),
    ("POST", CHAT, [AUTH, ("last-event-id", "req:x")], VALID_BODY, 400, "malformed_request"),
    ("POST", BOOKINGS, [AUTH], b"{}", 400, "idempotency_key_required"),
    ("POST", "/services/depot-desk/x", [AUTH], b"{}", 404, "unknown_service"),
    ("GET", "/services/nobody/x", [AUTH], b"", 404, "unknown_service"),
    ("GET", "/v1/requests/req-unknown", [AUTH], b"", 404, "unknown_request"),
    ("GET", "/v1/nowhere", [AUTH], b"", 404, "unknown_path"),
    ("GET", CHAT, [AUTH], b"", 404, "unknown_path"),
]
"""Method, path, headers and body of each request, and the expected status and error reason."""


@pytest.mark.xdist_group("fleet-0")
async def test_every_bad_request_gets_a_typed_error() -> None:
    async with Fleet("ramdin", entries=2, engines={"planner-lm": 1, "depot-desk": 1}) as fleet:
        client = HttpClient()
        url = fleet.caller_url(1)
        received = []
        for method, path, headers, body, _, _ in BAD_REQUESTS:
            response, content = await client.call(
                method, url + path, headers, body, timeout_s=10, max_bytes=100_000
            )
            error = json.loads(content)["error"]
            assert error["ran"] == "no"
            assert error["request_id"] == response.header("x-request-id") != ""
            received.append((response.status, error["code"]))
        assert received == [(status, code) for *_, status, code in BAD_REQUESTS]

        response, content = await client.call(
            "POST", url + CHAT, [AUTH], VALID_BODY, timeout_s=10, max_bytes=100_000
        )
        assert response.status == 200
        reader, writer = await asyncio.open_connection(*url.removeprefix("http://").split(":"))
        get = f"GET {BOOKINGS} HTTP/1.1\r\nhost: x\r\nauthorization: {AUTH[1]}\r\n"
        writer.write(f"{get}connection: close\r\ncontent-length: 2\r\n\r\n{{}}".encode())
        assert b"a body of GET is not forwarded" in await asyncio.wait_for(reader.read(), 10)
        writer.close()
        # A different account must not learn that the request exists.
        other_account_response, _ = await client.call(
            "GET",
            f"{url}/v1/requests/{response.header('x-request-id')}",
            [("authorization", "Bearer demo-oceanic-line")],
            timeout_s=10,
            max_bytes=100_000,
        )
        assert other_account_response.status == 404
        assert psutil.Process(fleet.entry(1).pid).memory_info().rss < IDLE_MEMORY_BYTES
        await client.close()


@pytest.mark.xdist_group("fleet-1")
async def test_call_completes_after_its_caller_disconnects() -> None:
    async with Fleet("ramdin", entries=2, engines={"planner-lm": 1, "depot-desk": 1}) as fleet:
        await fleet.set_faults("depot-orders", {"slow_s": 1.0})
        host, _, port = fleet.entry(1).addresses["caller"].rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = f"POST {BOOKINGS} HTTP/1.1\r\nhost: x\r\nauthorization: {AUTH[1]}\r\n"
        writer.write(f"{head}idempotency-key: gone\r\ncontent-length: 2\r\n\r\n{{}}".encode())
        await writer.drain()
        await asyncio.sleep(0.5)
        writer.close()

        client = HttpClient()
        headers = [AUTH, ("idempotency-key", "gone")]
        response, _ = await client.call(
            "POST", fleet.caller_url(2) + BOOKINGS, headers, b"{}", timeout_s=20, max_bytes=100_000
        )
        assert response.status == 200
        assert await fleet.executions() == {"gone": 1}
        await client.close()
