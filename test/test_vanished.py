"""Generations that keep using an engine after their last caller has disconnected.

A generation with an idempotency key continues, because its caller may request it again.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from godwitpath.entry.counters import EntryMetrics
from godwitpath.entry.vanished import VanishedCallers
from godwitpath.records.messages import local_ref
from godwitpath.records.record import Outcome, RecordRef, RequestRecord
from godwitpath.telemetry.metrics import Metrics

CANCELLED_WITHIN_S = 1.0


class _Runner:
    def __init__(self) -> None:
        self.cancelled: list[str] = []

    def cancel(self, request_id: str) -> None:
        self.cancelled.append(request_id)


def _ref(key: str = "") -> RecordRef:
    return local_ref(RequestRecord("req-1", "a", "lm", "chat", idempotency_key=key))


@pytest.fixture
def runner() -> _Runner:
    return _Runner()


@pytest.fixture
def vanished(runner: _Runner) -> VanishedCallers:
    context: Any = SimpleNamespace(metrics=EntryMetrics(Metrics("e1")))
    any_runner: Any = runner
    return VanishedCallers(context, any_runner)


@pytest.mark.looptime
async def test_a_generation_nobody_hears_is_stopped_within_a_second(
    vanished: VanishedCallers, runner: _Runner
) -> None:
    ref = _ref()
    vanished.attached(ref)
    vanished.detached(ref)
    await asyncio.sleep(CANCELLED_WITHIN_S)
    assert runner.cancelled == ["req-1"]


@pytest.mark.looptime
async def test_one_that_may_be_asked_for_again_goes_on(
    vanished: VanishedCallers, runner: _Runner
) -> None:
    ref = _ref(key="k")
    vanished.attached(ref)
    vanished.detached(ref)
    await asyncio.sleep(60)
    assert runner.cancelled == []


@pytest.mark.looptime
async def test_another_listener_keeps_it_going(vanished: VanishedCallers, runner: _Runner) -> None:
    ref = _ref()
    vanished.attached(ref)
    vanished.attached(ref)
    vanished.detached(ref)
    await asyncio.sleep(60)
    assert runner.cancelled == []


@pytest.mark.looptime
async def test_a_caller_that_comes_back_in_time_finds_it_running(
    vanished: VanishedCallers, runner: _Runner
) -> None:
    ref = _ref()
    vanished.attached(ref)
    vanished.detached(ref)
    vanished.attached(ref)
    await asyncio.sleep(60)
    assert runner.cancelled == []


@pytest.mark.looptime
async def test_a_finished_one_is_left_alone(vanished: VanishedCallers, runner: _Runner) -> None:
    ref = _ref()
    vanished.attached(ref)
    assert ref.record is not None
    ref.record.outcome = Outcome(200)
    vanished.detached(ref)
    await asyncio.sleep(60)
    assert runner.cancelled == []
