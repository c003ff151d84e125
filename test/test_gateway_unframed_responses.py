"""Tests of responses of engines that state neither a length nor chunks."""

from __future__ import annotations

from collections import deque

import pytest

from godwitpath_standin.gateway.caller import ask
from godwitpath_standin.gateway.engine import Fault
from test.gateway_parts import GatewayEnvironment, gateway_environment, runs, stream_body

BROKEN_STREAMS = [
    Fault.UNFRAMED_CUT,
    Fault.UNFRAMED_UNCLOSED,
    Fault.UNFRAMED_EMPTY,
    Fault.UNFRAMED_RESET,
]


def script(environment: GatewayEnvironment, *faults: Fault) -> None:
    """Have each engine play the same faults."""
    for engine in environment.engines.values():
        engine.script = deque(faults)


class TestPlainResponses:
    @pytest.mark.parametrize("target", ["/read/x", "/book/x"])
    async def test_a_body_that_ends_with_its_connection_is_whole(self, target: str) -> None:
        async with gateway_environment({"d1": "desk"}) as environment:
            script(environment, Fault.UNFRAMED, Fault.UNFRAMED, Fault.NONE)
            for number in range(3):
                answer = await ask(environment.port, target, request_id=f"r{number}")
                assert (answer.status, answer.complete) == (200, True)
                assert answer.body == f"answer to r{number}".encode()
                assert len(runs(environment, f"r{number}")) == 1

    async def test_a_body_that_is_reset_is_not_passed_on_as_whole(self) -> None:
        async with gateway_environment({"d1": "desk"}) as environment:
            script(environment, Fault.UNFRAMED_RESET)
            answer = await ask(environment.port, "/book/x", method="POST", body=b"1")
            assert answer.status == 502

    async def test_a_read_that_is_reset_is_repeated_elsewhere(self) -> None:
        services = {"d1": "desk", "d2": "desk"}
        async with gateway_environment(services, bounds={"retrySlack": 50}) as environment:
            environment.engines["d1"].script = deque([Fault.UNFRAMED_RESET])
            answer = await ask(environment.port, "/read/x")
            assert (answer.status, len(runs(environment))) == (200, 2)


class TestStreams:
    @pytest.mark.parametrize("target", ["/stream/x", "/stream/digest/x"])
    async def test_a_stream_that_ends_with_its_connection_is_whole(self, target: str) -> None:
        async with gateway_environment({"m1": "lm"}) as environment:
            script(environment, Fault.UNFRAMED, Fault.UNFRAMED)
            for number in range(2):
                answer = await ask(environment.port, target, request_id=f"r{number}")
                assert (answer.status, answer.complete) == (200, True)
                assert answer.body == stream_body(1, 5)

    @pytest.mark.parametrize("fault", BROKEN_STREAMS)
    async def test_a_stream_that_was_broken_off_does_not_look_whole(self, fault: Fault) -> None:
        async with gateway_environment({"m1": "lm"}) as environment:
            script(environment, fault)
            answer = await ask(environment.port, "/stream/x")
            assert answer.status == 502 or not answer.complete
            assert answer.body.count(b"\n\n") * b"\n\n" == b"\n\n" * answer.body.count(b"id:")
            assert len(runs(environment)) == 1

    @pytest.mark.parametrize("fault", BROKEN_STREAMS)
    async def test_a_stream_that_was_broken_off_is_resumed(self, fault: Fault) -> None:
        services = {"m1": "lm", "m2": "lm"}
        async with gateway_environment(services, bounds={"retrySlack": 50}) as environment:
            environment.engines["m1"].script = deque([fault])
            for number in range(40):
                answer = await ask(environment.port, "/stream/digest/x", request_id=f"r{number}")
                assert (answer.status, answer.complete) == (200, True)
                assert answer.body == stream_body(1, 5)
                if environment.engines["m1"].runs:
                    return
            pytest.fail("no request reached the engine that breaks off")
