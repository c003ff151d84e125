"""Tests of what engines state in their responses: that they leave, or want a pause."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from itertools import pairwise

import looptime
import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.gateway.engine_notices import LEAVING_REPORT_S, EngineNotices
from godwitpath.gateway.engines import EngineState
from godwitpath.gateway.model import RequestKind
from godwitpath.gateway.retry_schedule import MAX_RETRY_AFTER_S, Opening, RetrySchedule
from godwitpath.gateway.send import EnginePaused
from godwitpath.gateway.wire_fields import EngineResponseFields, KvCacheSource
from godwitpath.ports.engine import Address
from godwitpath.routing.outliers import FAILURES_TO_EJECT
from test.notice_model import ModelDaemon, ModelResponse

KINDS = [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT, RequestKind.STREAMING]


def stated(**fields: object) -> EngineResponseFields:
    """Return what an engine's response states."""
    return EngineResponseFields(
        **{  # type: ignore[arg-type]
            "matches_request": True,
            "not_run": False,
            "wrong_engine": False,
            "from_engine": True,
            "retry_after_s": None,
        }
        | fields
    )


@pytest.mark.looptime
class TestLeaveNotices:
    async def test_an_engine_that_says_that_it_leaves_gets_no_more_requests(self) -> None:
        for kind in KINDS:
            daemon = ModelDaemon(2)
            for engine in daemon.engines.values():
                engine.script = [ModelResponse(leaving="1")]
            assert [(await daemon.ask(kind)).status for _ in range(2)] == [200, 200]
            refused = await daemon.ask(kind)
            assert (refused.status, refused.body) == (503, b'{"error":"no_engine","ran":"no"}')
            assert [len(engine.arrivals) for engine in daemon.engines.values()] == [1, 1]

    @pytest.mark.parametrize("status", [500, 503])
    async def test_a_failure_or_refusal_says_it_too(self, status: int) -> None:
        daemon = ModelDaemon(1)
        daemon.engines[0].script = [ModelResponse(status, leaving="1")]
        await daemon.ask(RequestKind.NON_IDEMPOTENT)
        await daemon.ask()
        assert len(daemon.engines[0].arrivals) == 1

    async def test_a_request_whose_connection_opens_meanwhile_is_not_sent(self) -> None:
        daemon = ModelDaemon(1)
        daemon.engines[0].script = [
            ModelResponse(leaving="1"),
            ModelResponse(connect_s=0.2),
        ]
        first, second = await asyncio.gather(daemon.ask(), daemon.ask())
        assert (first.status, second.status) == (200, 503)
        assert len(daemon.engines[0].arrivals) == 1

    async def test_a_later_entry_of_the_same_start_does_not_undo_it(self) -> None:
        daemon = ModelDaemon(1)
        daemon.engines[0].script = [ModelResponse(leaving="1")]
        await daemon.ask()
        daemon.ctx.engines.remove("e0")
        daemon.put(0)
        assert (await daemon.ask()).status == 503

    async def test_another_start_of_the_engine_is_another_engine(self) -> None:
        daemon = ModelDaemon(1)
        daemon.engines[0].script = [ModelResponse(leaving="1")]
        await daemon.ask()
        daemon.put(0, started_at_ms=2)
        assert (await daemon.ask()).status == 200

    async def test_a_response_of_another_engine_at_the_address_says_nothing(self) -> None:
        notices = EngineNotices()
        notices.note_response(("e", 1), stated(wrong_engine=True, leaving=True), 421)
        assert not notices.is_leaving(("e", 1))

    async def test_notices_pass_between_daemons_with_their_age_and_not_for_ever(self) -> None:
        first, second = EngineNotices(), EngineNotices()
        heard: list[str] = []
        second.on_leaving = lambda incarnation, source: heard.append(f"{incarnation[0]} {source}")
        first.note_response(("e", 1), stated(leaving=True), 200)
        await asyncio.sleep(2.0)
        second.apply_report("first", first.reported())
        second.apply_report("first", first.reported())
        assert heard == ["e first"]
        assert second.reported() == {"e": (1, 2.0)}
        for _ in range(int(LEAVING_REPORT_S)):
            await asyncio.sleep(1.0)
            second.apply_report("first", first.reported())
            first.apply_report("second", second.reported())
        assert first.reported() == second.reported() == {}
        assert second.is_leaving(("e", 1))

    async def test_notices_are_kept_while_the_engine_has_an_entry(self) -> None:
        notices = EngineNotices()
        notices.note_response(("e", 1), stated(leaving=True), 200)
        for known in (True, True, False, False):
            await asyncio.sleep(40.0)
            notices.drop_expired(lambda _, known=known: known)
            still_known = notices.is_leaving(("e", 1))
        assert not still_known

    async def test_an_engine_that_leaves_counts_as_draining(self) -> None:
        daemon = ModelDaemon(1)
        daemon.ctx.engines.notices.apply_report("peer", {"e0": (1, 0.5), "e9": (1, 0.5)})
        daemon.put(0)
        engine = daemon.ctx.engines.get("e0")
        assert engine is not None
        assert engine.entry.state is EngineState.DRAINING


@pytest.mark.looptime
class TestPauses:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_a_pause_is_kept_and_the_caller_is_told_when_to_return(
        self, kind: RequestKind
    ) -> None:
        daemon = ModelDaemon(1)
        daemon.engines[0].script = [ModelResponse(503, "2.5")]
        await daemon.ask(kind)
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        asked_at_s = loop.time()
        refused = await daemon.ask(kind)
        assert refused.at_s == asked_at_s
        assert (refused.status, refused.body) == (503, b'{"error":"engines_paused","ran":"no"}')
        retry_after_s = float(refused.headers[b"retry-after"])
        assert 1.4 < retry_after_s < 2.0
        await asyncio.sleep(retry_after_s)
        assert (await daemon.ask(kind)).status == 200
        assert list(daemon.engines[0].arrivals_in_pauses()) == [0]

    async def test_a_refusal_without_a_pause_is_only_a_preference(self) -> None:
        daemon = ModelDaemon(1)
        daemon.engines[0].script = [ModelResponse(503)]
        assert (await daemon.ask()).status == 503
        assert (await daemon.ask()).status == 200

    async def test_requests_go_to_the_other_engines_during_a_pause(self) -> None:
        daemon = ModelDaemon(2)
        daemon.engines[0].script = [ModelResponse(503, "9")]
        responses = [await daemon.ask() for _ in range(20)]
        assert {response.status for response in responses} == {200}
        assert len(daemon.engines[0].arrivals) <= 1

    async def test_a_longer_pause_is_not_shortened_by_a_later_one(self) -> None:
        notices = EngineNotices()
        now_s = asyncio.get_running_loop().time()
        for retry_after_s in (5.0, 1.0):
            notices.note_response(("e", 1), stated(retry_after_s=retry_after_s), 503)
        assert notices.paused_until_s(("e", 1)) == now_s + 5.0

    async def test_one_moved_stream_may_continue_at_a_paused_engine(self) -> None:
        notices = EngineNotices()
        notices.note_response(("e", 1), stated(retry_after_s=5.0), 503)
        now_s = asyncio.get_running_loop().time()
        assert [notices.take_moved_send(("e", 1), now_s) for _ in range(3)] == [True, False, False]

    @pytest.mark.parametrize("daemons", [30, 100, 195])
    async def test_daemons_of_a_fleet_keep_the_pauses_of_one_engine(self, daemons: int) -> None:
        fleet = [ModelDaemon(3, daemons) for _ in range(daemons)]
        for daemon in fleet:
            daemon.engines[0].script = [ModelResponse(503, "1.5"), ModelResponse(503, "1")]
        for _ in range(8):
            await asyncio.gather(*(daemon.ask() for daemon in fleet for _ in range(3)))
            await asyncio.sleep(0.5)
        engines = [daemon.engines[0] for daemon in fleet]
        assert any(engine.pauses for engine in engines)
        assert all(count == 0 for engine in engines for count in engine.arrivals_in_pauses())

    async def test_the_engine_gets_one_moved_stream_in_a_pause(self) -> None:
        daemon = ModelDaemon(1)
        engine = daemon.ctx.engines.get("e0")
        assert engine is not None
        daemon.engines[0].script = [ModelResponse(503, "5")]
        await daemon.ask(RequestKind.STREAMING)
        await asyncio.sleep(1.0)
        for _ in range(3):
            with suppress(EnginePaused):
                await daemon.send(engine).open(1, KvCacheSource(Address("h", 9), "handle"))
        assert list(daemon.engines[0].arrivals_in_pauses()) == [1]

    async def test_an_ejected_engine_is_not_probed_in_a_pause(self) -> None:
        daemon = ModelDaemon(3)
        for model in daemon.engines.values():
            model.script = [ModelResponse(503, "30")]
        await daemon.ask()
        engine = daemon.ctx.engines.get("e0")
        assert engine is not None
        now_s = asyncio.get_running_loop().time()
        assert [engine.health.failed(now_s) for _ in range(FAILURES_TO_EJECT)][-1]
        for _ in range(28):
            await asyncio.sleep(1.0)
            assert (await daemon.ask()).status == 503
        assert now_s < engine.health.ejected_until_s < asyncio.get_running_loop().time()
        assert [list(model.arrivals_in_pauses()) for model in daemon.engines.values()] == [[0]] * 3

    async def test_a_request_whose_connection_opens_meanwhile_is_not_sent(self) -> None:
        for kind in KINDS:
            daemon = ModelDaemon(1)
            daemon.engines[0].script = [ModelResponse(503, "5"), ModelResponse(connect_s=0.8)]
            _, waiting = await asyncio.gather(daemon.ask(kind), daemon.ask(kind))
            assert waiting.status == 503
            assert list(daemon.engines[0].arrivals_in_pauses()) == [0]
            assert len(daemon.engines[0].arrivals) == 1


class TestRetryScheduleOfPauses:
    def test_no_caller_returns_before_an_engine_opens_and_none_beside_another(self) -> None:
        schedule = RetrySchedule()
        openings = {f"e{number}": Opening(40.0 + number, 4.0) for number in range(3)}
        returns_s = [10.0 + schedule.retry_after_pause_s(openings, 10.0) for _ in range(30)]
        assert min(returns_s) == 40.0
        for number in range(3):
            from_s = 40.0 + number
            opened = sum(1 + (from_s + 1 - (40.0 + each)) * 4.0 for each in range(number + 1))
            assert sum(at_s < from_s + 1 for at_s in returns_s) <= opened

    @given(
        ends_s=st.lists(st.floats(10.0, 14.0), min_size=1, max_size=6),
        rate_per_s=st.floats(1.0, 50.0),
        callers=st.integers(1, 60),
    )
    def test_callers_return_one_after_the_other_as_engines_open(
        self, ends_s: list[float], rate_per_s: float, callers: int
    ) -> None:
        schedule = RetrySchedule()
        openings = {f"e{n}": Opening(end_s, rate_per_s) for n, end_s in enumerate(ends_s)}
        returns_s = [10.0 + schedule.retry_after_pause_s(openings, 10.0) for _ in range(callers)]
        assert returns_s[0] == min(ends_s)
        assert max(returns_s) <= 10.0 + MAX_RETRY_AFTER_S
        # No more callers return in any span than the engines that have opened take in it.
        returns_s = [at_s for at_s in returns_s if at_s < 10.0 + MAX_RETRY_AFTER_S]
        for first, second in pairwise(sorted(returns_s)):
            assert second >= first
        for at_s in returns_s:
            until_s = [each for each in returns_s if each <= at_s]
            taken = sum(1 + (at_s - end_s) * rate_per_s + 1e-6 for end_s in ends_s if end_s <= at_s)
            assert len(until_s) <= taken


RESPONSES = st.builds(
    ModelResponse,
    status=st.sampled_from([200, 200, 500, 503, 503]),
    retry_after=st.sampled_from(["", "0", "0.3", "0.8", "2", "3.5"]),
    leaving=st.sampled_from(["", "", "", "", "0"]),
    connect_s=st.sampled_from([0.0, 0.05, 0.3, 0.8]),
    breaks=st.booleans(),
)


@given(
    scripts=st.lists(st.lists(RESPONSES, max_size=8), min_size=1, max_size=3),
    steps=st.lists(
        st.tuples(st.sampled_from(KINDS), st.integers(1, 3), st.sampled_from([0.0, 0.1, 0.6, 2.0])),
        min_size=1,
        max_size=10,
    ),
)
def test_no_request_reaches_an_engine_in_a_pause(
    scripts: list[list[ModelResponse]], steps: list[tuple[RequestKind, int, float]]
) -> None:
    async def play() -> None:
        daemon = ModelDaemon(len(scripts))
        for number, script in enumerate(scripts):
            daemon.engines[number].script = list(script)
        async with asyncio.TaskGroup() as group:
            for kind, count, pause_s in steps:
                for _ in range(count):
                    group.create_task(daemon.ask(kind))
                await asyncio.sleep(pause_s)
        for engine in daemon.engines.values():
            assert all(count == 0 for count in engine.arrivals_in_pauses())
            assert len({request_id for _, request_id in engine.arrivals}) == len(engine.arrivals)

    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(play())
    finally:
        loop.close()
