"""Tests that every way to an engine looks at the quarantine at the moment of the send."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath.gateway.model import RequestKind
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedVerdict
from godwitpath.gateway.send import RequestQuarantined
from godwitpath.gateway.wire_fields import KvCacheSource
from godwitpath.ports.engine import Address
from test.notice_model import ModelDaemon, ModelResponse

pytestmark = pytest.mark.looptime

PART = "p"
"""The part that the prompts of the model share."""


def quarantine(daemon: ModelDaemon) -> None:
    verdict = ReportedVerdict((PART,), 4, 5.0, 0.0)
    daemon.ctx.crashes.apply_report("d2", QuarantineReport(verdicts=[verdict]))


def arrivals(daemon: ModelDaemon) -> int:
    return sum(len(engine.arrivals) for engine in daemon.engines.values())


class TestLastLook:
    async def test_a_request_that_waited_for_its_connection_is_not_sent(self) -> None:
        daemon = ModelDaemon(2)
        for engine in daemon.engines.values():
            engine.script = [ModelResponse(connect_s=0.3)]
        asked = asyncio.create_task(daemon.ask(RequestKind.STREAMING))
        await asyncio.sleep(0.1)
        quarantine(daemon)
        response = await asked
        assert (response.status, arrivals(daemon)) == (503, 0)
        assert response.body == b'{"error":"prompt_quarantined","ran":"no"}'

    async def test_a_stream_that_broke_is_not_resumed(self) -> None:
        daemon = ModelDaemon(2)
        for engine in daemon.engines.values():
            engine.script = [ModelResponse(breaks=True)]
        asked = asyncio.create_task(daemon.ask(RequestKind.STREAMING))
        await asyncio.sleep(0.03)
        quarantine(daemon)
        await asked
        assert arrivals(daemon) == 1

    async def test_a_moved_stream_is_not_continued(self) -> None:
        daemon = ModelDaemon(1)
        engine = daemon.ctx.engines.get("e0")
        assert engine is not None
        quarantine(daemon)
        with pytest.raises(RequestQuarantined):
            await daemon.send(engine).open(3, KvCacheSource(Address("h", 0), "k"))
        assert arrivals(daemon) == 0

    async def test_a_plain_request_is_not_looked_at(self) -> None:
        daemon = ModelDaemon(1)
        quarantine(daemon)
        assert (await daemon.ask()).status == 200


class TestBeforeTheVerdict:
    @pytest.mark.parametrize(("crashes", "sends"), [(1, 2), (2, 1)])
    async def test_a_suspect_that_broke_before_its_first_event_is_not_repeated(
        self, crashes: int, sends: int
    ) -> None:
        daemon = ModelDaemon(3)
        now_s = asyncio.get_running_loop().time()
        for number in range(crashes):
            at_s = now_s + number
            daemon.ctx.crashes.quarantine.note_crash((f"c{number}", 1), at_s, [(PART,)], at_s)
        await asyncio.sleep(crashes)
        for engine in daemon.engines.values():
            engine.script = [ModelResponse(lost=True)]
        await daemon.ask(RequestKind.STREAMING)
        assert arrivals(daemon) == sends

    @pytest.mark.parametrize("kind", [RequestKind.STREAMING, RequestKind.IDEMPOTENT])
    async def test_a_request_that_broke_two_engines_is_not_sent_to_a_third(
        self, kind: RequestKind
    ) -> None:
        daemon = ModelDaemon(5)
        for engine in daemon.engines.values():
            engine.script = [ModelResponse(lost=True)]
        response = await daemon.ask(kind)
        assert (response.status, arrivals(daemon)) == (502, 2)
