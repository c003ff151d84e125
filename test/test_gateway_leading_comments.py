"""Tests of comments that an engine sends before the first event of a run."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from godwitpath.gateway.events import MAX_EVENT_BYTES, EventSplitter, LeadingComments
from godwitpath.http1.response_limits import ResponseLimitExceeded
from godwitpath_standin.gateway.caller import ClientResponse, ask
from test.gateway_parts import stream_body, until_begun
from test.raw_engine import EVENT_STREAM, STAMP, attempt_id, field, id_line, raw_engines
from test.raw_server import Exchange, Handler

COMMENTS = b": c\n\n" * 3
EVENTS = 6
SLACK = {"retrySlack": 400}

Body = Callable[[Exchange], Awaitable[None]]


def _engine(*bodies: Body) -> Handler:
    """Return an engine, or engines, that answer each request in turn with the next body."""
    remaining = iter(bodies)

    async def serve(exchange: Exchange) -> None:
        lines = EVENT_STREAM + STAMP + id_line(attempt_id(exchange))
        exchange.writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + lines + b"\r\n"
        )
        await next(remaining)(exchange)

    return serve


async def _break(exchange: Exchange) -> None:
    await asyncio.sleep(0.05)
    exchange.writer.transport.abort()


async def _comments_only(exchange: Exchange) -> None:
    exchange.chunk(COMMENTS)
    await _break(exchange)


async def _first_events(exchange: Exchange) -> None:
    exchange.chunk(stream_body(1, 2))
    await _break(exchange)


async def _whole(exchange: Exchange) -> None:
    last = int(field(exchange, b"last-event-id") or b"0")
    exchange.chunk(stream_body(last + 1, EVENTS))
    exchange.chunk(b"")


async def _ask(handler: Handler, target: str = "/stream/digest/x") -> ClientResponse:
    async with raw_engines("lm", [handler] * 3, bounds=SLACK) as (environment, _):
        return await ask(environment.port, target, method="POST", body=b"p")


async def test_a_run_that_is_lost_before_its_first_event_leaves_no_comments() -> None:
    response = await _ask(_engine(_comments_only, _whole))
    assert (response.status, response.complete) == (200, True)
    assert response.body == stream_body(1, EVENTS)


async def test_a_resumed_run_that_is_lost_before_its_first_event_leaves_no_comments() -> None:
    response = await _ask(_engine(_first_events, _comments_only))
    assert (response.status, response.complete) == (200, False)
    assert response.body == stream_body(1, 2)


@pytest.mark.parametrize(
    ("target", "runs"), [("/stream/x", 1), ("/stream/digest/x", 2)], ids=["once", "repeatable"]
)
async def test_a_stream_whose_runs_have_no_event_gets_a_whole_error(target: str, runs: int) -> None:
    response = await _ask(_engine(*[_comments_only] * runs), target)
    assert (response.status, response.complete) == (502, True)
    assert b'"ran":"unknown"' in response.body


async def test_comments_arrive_with_the_first_event_and_later_ones_at_once() -> None:
    received = ClientResponse()

    async def serve(exchange: Exchange) -> None:
        exchange.chunk(COMMENTS)
        await asyncio.sleep(0.2)
        assert not received.body
        exchange.chunk(stream_body(1, 1))
        await until_begun(received)
        exchange.chunk(COMMENTS)
        async with asyncio.timeout(5):
            while not received.body.endswith(COMMENTS):  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        exchange.chunk(stream_body(2, EVENTS))
        exchange.chunk(b"")

    async with raw_engines("lm", [_engine(serve)]) as (environment, _):
        response = await ask(
            environment.port, "/stream/x", method="POST", body=b"p", response=received
        )
    assert (response.status, response.complete) == (200, True)
    assert response.body == COMMENTS + stream_body(1, 1) + COMMENTS + stream_body(2, EVENTS)


async def test_the_time_to_the_first_event_does_not_end_with_a_comment() -> None:
    async def serve(exchange: Exchange) -> None:
        exchange.chunk(COMMENTS)
        await asyncio.sleep(0.5)
        await _whole(exchange)

    async with raw_engines("lm", [_engine(serve)]) as (environment, _):
        await ask(environment.port, "/stream/x", method="POST", body=b"p")
        page = (await ask(environment.metrics_port, "/metrics")).body.decode()
    sums = [line for line in page.splitlines() if "first_event" in line and "_sum" in line]
    assert [float(line.split()[-1]) >= 0.5 for line in sums] == [True], sums


async def test_a_whole_response_of_comments_is_passed_on() -> None:
    async def serve(exchange: Exchange) -> None:
        exchange.chunk(COMMENTS)
        exchange.chunk(b"")

    response = await _ask(_engine(serve), "/stream/x")
    assert (response.status, response.complete, response.body) == (200, True, COMMENTS)


def test_comments_that_are_held_back_have_a_size_limit() -> None:
    splitter, leading = EventSplitter(), LeadingComments()
    comment = b":" + b"c" * 400_000 + b"\n\n"
    assert leading.pass_on(splitter.feed(comment * 2)) == b""
    assert leading.size_bytes == 2 * len(comment) <= MAX_EVENT_BYTES
    with pytest.raises(ResponseLimitExceeded):
        leading.pass_on(splitter.feed(comment))
