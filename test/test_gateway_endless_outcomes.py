"""Tests of what callers are told when an engine's response exceeds a limit, and of its log line."""

from __future__ import annotations

import pytest

from godwitpath_standin.gateway.caller import ask
from test.endless_senders import CHUNKED, OK, in_chunks
from test.raw_engine import attempt_id, event, id_line, raw_engines
from test.raw_server import Exchange, Handler

FIELDS = b"A: b\r\n" * 1_000
JUNK = {
    "fields": OK + FIELDS,
    "interim responses": b"HTTP/1.1 100 Continue\r\n\r\n" * 100,
    "pieces": CHUNKED + b"1\r\nx\r\n" * 4_000,
}
KIND = "engine_failed"
STAMP = b"X-Response-Stamp: s\r\n"


def _with_id(exchange: Exchange, data: bytes) -> bytes:
    return data.replace(STAMP, STAMP + id_line(attempt_id(exchange)))


def _junk(kind: str) -> Handler:
    async def serve(exchange: Exchange) -> None:
        exchange.writer.write(_with_id(exchange, JUNK[kind]))

    return serve


async def _sound(exchange: Exchange) -> None:
    exchange.respond(b"sound", extra=STAMP + id_line(attempt_id(exchange)))


@pytest.mark.parametrize("kind", JUNK)
async def test_a_booking_is_not_repeated_and_its_caller_is_told_so(kind: str) -> None:
    async with raw_engines("desk", [_junk(kind), _junk(kind)]) as (environment, servers):
        response = await ask(environment.port, "/book/x", method="POST", body=b"b")
        assert response.status == 502
        assert sum(len(server.requests) for server in servers) == 1
        failed = [line for line in await environment.log() if line["message_type"] == KIND]
        assert [(line["failure"], line["limit"]) for line in failed] == [("limit_exceeded", kind)]
        assert failed[0]["amount"] > 0


@pytest.mark.parametrize("kind", JUNK)
@pytest.mark.parametrize("path", ["/read/{}", "/read/same"], ids=["different", "copies"])
async def test_a_read_is_answered_by_another_engine(path: str, kind: str) -> None:
    slack = {"retrySlack": 400}
    async with raw_engines("desk", [_junk(kind), _sound], bounds=slack) as (environment, _):
        for number in range(6):
            target, request_id = path.format(number), f"r{number}"
            response = await ask(environment.port, target, request_id=request_id)
            assert (response.status, response.body) == (200, b"sound"), request_id


async def test_a_stream_that_had_begun_ends_visibly_broken() -> None:
    async def serve(exchange: Exchange) -> None:
        start = CHUNKED + in_chunks(event(1))
        exchange.writer.write(_with_id(exchange, start) + in_chunks(b": c\n\n" * 2_000))

    async with raw_engines("lm", [serve]) as (environment, _):
        response = await ask(environment.port, "/stream/x", method="POST", body=b"b")
        assert response.status == 200
        assert not response.complete
        assert response.body.startswith(event(1))
        failed = [line for line in await environment.log() if line["message_type"] == KIND]
        assert [line["limit"] for line in failed] == ["comments in a row"]
