"""Log lines of sends to an engine whose responses exceed a limit again and again."""

from __future__ import annotations

import asyncio

from godwitpath.gateway.limit_lines import REPEAT_INTERVAL_S, LimitLines
from godwitpath.http1.messages import ResponseLost
from godwitpath.http1.response_limits import ResponseLimitExceeded
from godwitpath_standin.gateway.caller import ask
from test.endless_senders import CHUNKED, OK, in_chunks
from test.raw_engine import event, raw_engines
from test.raw_server import Exchange
from test.test_gateway_endless_outcomes import _with_id

FIELDS = ResponseLimitExceeded("fields", 201)
PIECES = ResponseLimitExceeded("pieces", 2_000)


class TestLimitLines:
    def test_the_first_line_of_each_limit_is_written_then_one_in_an_interval(self) -> None:
        lines = LimitLines()
        assert lines.next_fields(FIELDS, 100.0) == {"limit": "fields", "amount": 201}
        assert lines.next_fields(FIELDS, 100.5) is None
        assert lines.next_fields(PIECES, 100.5) == {"limit": "pieces", "amount": 2_000}
        assert lines.next_fields(FIELDS, 100.9) is None
        after = lines.next_fields(FIELDS, 100.0 + REPEAT_INTERVAL_S)
        assert after == {"limit": "fields", "amount": 201, "limit_left_out": 2}
        assert lines.next_fields(FIELDS, 101.5) is None

    def test_a_required_line_is_written_and_states_how_many_were_left_out(self) -> None:
        lines = LimitLines()
        lines.next_fields(FIELDS, 100.0)
        lines.next_fields(FIELDS, 100.1)
        required = lines.next_fields(FIELDS, 100.2, required=True)
        assert required == {"limit": "fields", "amount": 201, "limit_left_out": 1}

    def test_another_failure_is_never_left_out(self) -> None:
        lines = LimitLines()
        for _ in range(3):
            assert lines.next_fields(ResponseLost("connection closed"), 100.0) == {}


async def test_each_failed_send_is_explained_by_a_line_of_its_engine_and_limit() -> None:
    async def junk(exchange: Exchange) -> None:
        exchange.writer.write(_with_id(exchange, OK + b"A: b\r\n" * 1_000))

    async with raw_engines("desk", [junk], bounds={"retrySlack": 400}) as (environment, servers):
        async with asyncio.timeout(30.0):
            for number in range(40):
                response = await ask(environment.port, f"/read/{number}", request_id=f"r{number}")
                assert response.status == 502
        sent = sum(len(server.requests) for server in servers)
        lines = await environment.log()
    failed = [line for line in lines if line["message_type"] == "engine_failed"]
    took_s = lines[-1]["timestamp"] - failed[0]["timestamp"]
    written_at_most = 2 + sum(line["ejected"] for line in failed) + took_s / REPEAT_INTERVAL_S
    assert len(failed) <= written_at_most
    assert sum(line.get("limit_left_out", 0) for line in failed) <= sent - len(failed)
    for line in lines:
        if line["message_type"] == "request_sent":
            own = [each for each in failed if each["request"] == line["request"]]
            before = [
                each
                for each in failed
                if 0.0 <= line["timestamp"] - each["timestamp"] <= REPEAT_INTERVAL_S
            ]
            assert own or before, line
            assert {each["limit"] for each in own or before} == {"fields"}


async def test_every_stream_that_breaks_off_after_it_had_begun_has_a_line() -> None:
    """Guards against an answer that broke off of which no line says that its engine did it."""

    async def stream(exchange: Exchange) -> None:
        start = _with_id(exchange, CHUNKED) + in_chunks(event(1))
        exchange.writer.write(start + in_chunks(b": c\n\n" * 2_000))

    begun = []
    async with raw_engines("lm", [stream]) as (environment, _):
        for number in range(6):
            target, request_id = f"/stream/{number}", f"r{number}"
            response = await ask(
                environment.port, target, method="POST", body=b"b", request_id=request_id
            )
            if response.status == 200:
                assert not response.complete
                begun.append(request_id)
        lines = await environment.log()
    assert len(begun) > 1
    failed = [line["request"] for line in lines if line["message_type"] == "engine_failed"]
    assert set(begun) <= set(failed)
