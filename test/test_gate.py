"""Generations refused because the local region is full while remote engines have capacity."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from godwitpath.config.model import Configuration, ModelSpec, Service
from godwitpath.entry.gate import AdmissionGate
from godwitpath.entry.generate import GenerationRunner
from godwitpath.entry.refusals import CallerError
from godwitpath.ports.engine import Address, LoadReport
from godwitpath.records.record import RequestRecord
from godwitpath.routing.book import LoadBook
from godwitpath.upstreams.facts import UpstreamFact
from godwitpath.upstreams.table import UpstreamTable

BODY = b'{"model":"lm","messages":[{"role":"user","content":"x"}],"max_tokens":8}'
WAITING_TOKENS = 100_000
"""Prompt tokens queued at a full engine; equal to seconds of work."""


def _gate(regions: list[str], full: list[str]) -> tuple[AdmissionGate, GenerationRunner, Service]:
    service = Service("generation", model=ModelSpec("m", "1"))
    configuration = Configuration({"lm": service})
    table, book = UpstreamTable(), LoadBook()
    for region in regions:
        address = Address("127.0.0.1", 1)
        table.apply(
            UpstreamFact(
                f"engine-{region}", "lm", region, "z", address.host, address.port, True, "g", 1.0
            )
        )
    book.views(table.all(), 0.0)
    for region in full:
        for at_s in range(20):
            book.report(f"engine-{region}", LoadReport(8, 8, WAITING_TOKENS, 0, at_s), at_s)
    context: Any = SimpleNamespace(
        settings=SimpleNamespace(region="home"),
        configuration=lambda: configuration,
        upstreams=table,
        book=book,
        rng=random.Random(1),
    )
    runner = GenerationRunner(context)
    return AdmissionGate(context, runner), runner, service


async def _enter(regions: list[str], full: list[str]) -> str:
    gate, runner, service = _gate(regions, full)
    record = RequestRecord("req-1", "a", "lm", "chat", body=BODY)
    choice = await gate.enter(runner.prepare(record, msgspec.json.decode(BODY), service), "digest")
    return choice.upstream_id


@pytest.mark.looptime
async def test_home_is_taken_while_it_has_room() -> None:
    assert await _enter(["home", "away"], full=[]) == "engine-home"


@pytest.mark.looptime
async def test_away_is_taken_when_home_is_full() -> None:
    assert await _enter(["home", "away"], full=["home"]) == "engine-away"


@pytest.mark.looptime
async def test_a_call_is_refused_when_all_are_full() -> None:
    with pytest.raises(CallerError) as caught:
        await _enter(["home", "away"], full=["home", "away"])
    assert caught.value.reason == "overloaded"
    assert caught.value.retry_after_s >= 1
