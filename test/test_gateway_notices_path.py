"""Tests of notices that engines state in their responses, with daemons as processes."""

from __future__ import annotations

import asyncio
from collections import deque
from pathlib import Path

import pytest

from godwitpath_standin.gateway.caller import ask
from godwitpath_standin.gateway.engine import Fault
from test.gateway_parts import gateway_environment, runs
from test.test_gateway_engine_limits import limited_fleet

PLAIN = {"d1": "desk", "d2": "desk"}
STREAM = {"m1": "lm", "m2": "lm"}


class TestEnginesThatLeave:
    @pytest.mark.parametrize("target", ["/read/x", "/stream/x"])
    async def test_a_daemon_without_the_store_hears_it_from_a_response(self, target: str) -> None:
        async with gateway_environment(PLAIN | STREAM) as environment:
            await environment.store.stop()
            for engine_id in ("d1", "m1"):
                environment.engines[engine_id].leaving = "1"
            answers = [
                await ask(environment.port, target, request_id=f"r{number}") for number in range(12)
            ]
            assert {answer.status for answer in answers} == {200}
            left = ("d1", "m1")
            arrivals = sum(len(environment.engines[each].arrivals) for each in left)
            assert arrivals <= 1
            # The caller sees the response as the engine gave it.
            stated = [answer.headers.get("server-leaving") for answer in answers]
            assert stated.count("1") == arrivals

    async def test_a_started_again_engine_is_used(self) -> None:
        async with gateway_environment({"d1": "desk"}) as environment:
            engine = environment.engines["d1"]
            engine.leaving = "1"
            assert (await ask(environment.port, "/read/x", request_id="a")).status == 200
            assert (await ask(environment.port, "/read/x", request_id="b")).status == 503
            engine.leaving = ""
            environment.register("d1", "desk", born=2)
            await asyncio.sleep(0.5)
            assert (await ask(environment.port, "/read/x", request_id="c")).status == 200
            lines = await environment.log()
            [line] = [each for each in lines if each["message_type"] == "engine_leave_notice"]
            assert (line["engine"], line["source"]) == ("d1", "request a")

    async def test_a_value_that_cannot_be_read_is_logged_and_counts_as_absent(self) -> None:
        async with gateway_environment({"d1": "desk"}) as environment:
            engine = environment.engines["d1"]
            engine.leaving, engine.retry_after = "soon", "Tue"
            engine.script = deque([Fault.SHED])
            assert (await ask(environment.port, "/read/x", request_id="a")).status == 503
            assert (await ask(environment.port, "/read/x", request_id="b")).status == 200
            lines = await environment.log()
            unreadable = [
                each["value"]
                for each in lines
                if each["message_type"] == "engine_notice_unreadable"
            ]
            assert unreadable == ["retry-after: Tue", "server-leaving: soon"]

    async def test_daemons_tell_one_another(self, tmp_path: Path) -> None:
        async with limited_fleet(tmp_path, daemons=4) as fleet:
            leaving, _ = fleet.engines("desk")
            leaving.leaving = "1"
            await fleet.load("/read/x", per_s=40, for_s=1.5)
            before = len(leaving.arrivals)
            await fleet.load("/read/x", per_s=40, for_s=1.5)
            assert len(leaving.arrivals) == before
            assert {answer.status for answer in fleet.responses.values()} == {200}
            sources = {
                line["source"].split()[0]
                for line in fleet.log()
                if line["message_type"] == "engine_leave_notice"
            }
            assert len(sources) > 1


class TestEnginesThatWantAPause:
    @pytest.mark.parametrize("target", ["/read/x", "/stream/x", "/stream/digest/x"])
    async def test_nothing_reaches_them_and_callers_are_refused_at_once(self, target: str) -> None:
        services = {"d1": "desk", "m1": "lm"}
        async with gateway_environment(services, bounds={"retrySlack": 50}) as environment:
            for engine in environment.engines.values():
                engine.refuses, engine.retry_after = True, "2"
            first = await ask(environment.port, target, request_id="first")
            assert first.status == 503
            assert 1.9 < float(first.headers["retry-after"]) <= 2.0
            for engine in environment.engines.values():
                engine.refuses = False
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            refused = await asyncio.gather(
                *(ask(environment.port, target, request_id=f"r{number}") for number in range(8))
            )
            assert loop.time() - started_at_s < 0.5
            assert {answer.body for answer in refused} == {b'{"error":"engines_paused","ran":"no"}'}
            returns_s = sorted(float(answer.headers["retry-after"]) for answer in refused)
            # Four slots take 20 requests of 200 ms a second.
            assert 1.4 < returns_s[0] <= 2.0 + 1 / 20
            assert returns_s[-1] <= 2.0 + 8 / 20
            assert len(set(returns_s)) == 8
            arrivals = [len(engine.arrivals) for engine in environment.engines.values()]
            assert sorted(arrivals) == [0, 1]
            await asyncio.sleep(returns_s[0])
            assert (await ask(environment.port, target, request_id="later")).status == 200
            assert runs(environment, "r0") == []

    async def test_the_other_daemons_go_on_sending(self, tmp_path: Path) -> None:
        async with limited_fleet(tmp_path, daemons=2) as fleet:
            paused, _ = fleet.engines("desk")
            paused.script = deque([Fault.SHED])
            paused.retry_after = "30"
            await fleet.load("/read/x", per_s=40, for_s=3.0)
            [asked] = [
                line["daemon"] for line in fleet.log() if line["message_type"] == "engine_paused"
            ]
            refused_at_s = next(each.at_s for each in paused.arrivals if each.retry_after)
            daemons = {
                fleet.daemon_by_request[each.request_id]
                for each in paused.arrivals
                if each.at_s > refused_at_s + 0.5
            }
            assert daemons == {each.name for each in fleet.environment.daemons} - {asked}
