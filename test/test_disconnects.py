"""Guards against generations that keep using an engine after their last caller disconnected.

A generation with an idempotency key continues, because its caller may request it again.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from godwitpath.entry.counters import EntryMetrics
from godwitpath.entry.disconnects import DisconnectTracker
from godwitpath.records.messages import local_ref
from godwitpath.records.record import Outcome, RecordRef, RequestRecord
from godwitpath.telemetry.metrics import Metrics

CANCELLATION_TIMEOUT_S = 1.0
"""Time within which a generation without listeners must be cancelled."""


class _FakeRunner:
    def __init__(self) -> None:
        self.cancelled: list[str] = []

    def cancel(self, request_id: str) -> None:
        self.cancelled.append(request_id)


def _ref(key: str = "") -> RecordRef:
    return local_ref(RequestRecord("req-1", "a", "lm", "chat", idempotency_key=key))


@pytest.fixture
def runner() -> _FakeRunner:
    return _FakeRunner()


@pytest.fixture
def disconnects(runner: _FakeRunner) -> DisconnectTracker:
    context: Any = SimpleNamespace(metrics=EntryMetrics(Metrics("e1")))
    untyped_runner: Any = runner
    return DisconnectTracker(context, untyped_runner)


@pytest.mark.looptime
async def test_generation_without_listeners_is_cancelled_within_a_second(
    disconnects: DisconnectTracker, runner: _FakeRunner
) -> None:
    ref = _ref()
    disconnects.attached(ref)
    disconnects.detached(ref)
    await asyncio.sleep(CANCELLATION_TIMEOUT_S)
    assert runner.cancelled == ["req-1"]


@pytest.mark.looptime
async def test_generation_with_idempotency_key_continues(
    disconnects: DisconnectTracker, runner: _FakeRunner
) -> None:
    ref = _ref(key="k")
    disconnects.attached(ref)
    disconnects.detached(ref)
    await asyncio.sleep(60)
    assert runner.cancelled == []


@pytest.mark.looptime
async def test_generation_with_another_listener_continues(
    disconnects: DisconnectTracker, runner: _FakeRunner
) -> None:
    ref = _ref()
    disconnects.attached(ref)
    disconnects.attached(ref)
    disconnects.detached(ref)
    await asyncio.sleep(60)
    assert runner.cancelled == []


@pytest.mark.looptime
async def test_generation_continues_if_its_caller_reconnects_in_time(
    disconnects: DisconnectTracker, runner: _FakeRunner
) -> None:
    ref = _ref()
    disconnects.attached(ref)
    disconnects.detached(ref)
    disconnects.attached(ref)
    await asyncio.sleep(60)
    assert runner.cancelled == []


@pytest.mark.looptime
async def test_finished_generation_is_not_cancelled(
    disconnects: DisconnectTracker, runner: _FakeRunner
) -> None:
    ref = _ref()
    disconnects.attached(ref)
    assert ref.record is not None
    ref.record.outcome = Outcome(200)
    disconnects.detached(ref)
    await asyncio.sleep(60)
    assert runner.cancelled == []
