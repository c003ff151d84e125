"""Guards against generations refused for a full local region while remote engines have capacity."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from godwitpath.config.model import Configuration, ModelSpec, Service
from godwitpath.entry.admission_control import AdmissionController
from godwitpath.entry.generate import GenerationRunner
from godwitpath.entry.refusals import CallerError
from godwitpath.ports.engine import Address, LoadReport
from godwitpath.records.record import RequestRecord
from godwitpath.routing.load_tracker import LoadTracker
from godwitpath.upstreams.facts import UpstreamFact
from godwitpath.upstreams.table import UpstreamTable

BODY = b'{"model":"lm","messages":[{"role":"user","content":"x"}],"max_tokens":8}'
WAITING_TOKENS = 100_000
"""Prompt tokens queued at a full engine: several seconds of work."""


def _controller(
    regions: list[str], full_regions: list[str]
) -> tuple[AdmissionController, GenerationRunner, Service]:
    service = Service("generation", model=ModelSpec("m", "1"))
    configuration = Configuration({"lm": service})
    table, load_tracker = UpstreamTable(), LoadTracker()
    for region in regions:
        address = Address("127.0.0.1", 1)
        table.apply(
            UpstreamFact(
                f"engine-{region}", "lm", region, "z", address.host, address.port, True, "g", 1.0
            )
        )
    load_tracker.views(table.all(), 0.0)
    for region in full_regions:
        for at_s in range(20):
            load_tracker.report(f"engine-{region}", LoadReport(8, 8, WAITING_TOKENS, 0, at_s), at_s)
    context: Any = SimpleNamespace(
        settings=SimpleNamespace(region="home"),
        configuration=lambda: configuration,
        upstreams=table,
        load_tracker=load_tracker,
        rng=random.Random(1),
    )
    runner = GenerationRunner(context)
    return AdmissionController(context, runner), runner, service


async def _admit(regions: list[str], full_regions: list[str]) -> str:
    controller, runner, service = _controller(regions, full_regions)
    record = RequestRecord("req-1", "a", "lm", "chat", body=BODY)
    choice = await controller.admit(
        runner.prepare(record, msgspec.json.decode(BODY), service), "digest"
    )
    return choice.upstream_id


@pytest.mark.looptime
async def test_local_engine_is_chosen_while_it_has_capacity() -> None:
    assert await _admit(["home", "away"], full_regions=[]) == "engine-home"


@pytest.mark.looptime
async def test_remote_engine_is_chosen_when_local_is_full() -> None:
    assert await _admit(["home", "away"], full_regions=["home"]) == "engine-away"


@pytest.mark.looptime
async def test_generation_is_refused_when_all_regions_are_full() -> None:
    with pytest.raises(CallerError) as caught:
        await _admit(["home", "away"], full_regions=["home", "away"])
    assert caught.value.reason == "overloaded"
    assert caught.value.retry_after_s >= 1
