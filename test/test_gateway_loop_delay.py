"""How long turns of the event loop hold it, by own work or without a processor."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from godwitpath.gateway import loop_delay
from godwitpath.gateway.instruments import Instruments
from godwitpath.gateway.loop_delay import (
    LINE_INTERVAL_S,
    MAX_HOLD_S,
    SHORT_TURN_S,
    HoldCause,
    HoldLines,
    LoopHolds,
    Turn,
    TurnTimer,
)
from godwitpath_standin.gateway.caller import ask
from test.gateway_parts import gateway_environment

WORK, WAITING = HoldCause.WORK, HoldCause.WAITING


class FakeTime:
    """Clocks that only advance when a test says so."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.processor_s = 5.0

    def pass_time(self, elapsed_s: float, processor_s: float) -> None:
        """Advance both clocks."""
        self.now_s += elapsed_s
        self.processor_s += processor_s


@contextmanager
def timer_of(clocks: FakeTime) -> Iterator[tuple[TurnTimer, list[Turn]]]:
    """Return a timer on fake clocks, and the turns that it reports from now on."""
    turns: list[Turn] = []
    timer = TurnTimer(lambda: clocks.now_s, lambda: clocks.processor_s)
    timer.on_turn = turns.append
    yield timer, turns
    timer.close()


def work(for_s: float) -> None:
    """Use the processor for some time."""
    end_s = time.process_time() + for_s
    while time.process_time() < end_s:
        pass


def run_in_timed_loop(step: Any) -> list[Turn]:
    """Return the turns of a loop that carries out a step in one of them."""
    turns: list[Turn] = []
    timer = TurnTimer()

    async def main() -> None:
        await asyncio.sleep(0.01)
        timer.on_turn = turns.append
        await asyncio.sleep(0.01)
        step()
        await asyncio.sleep(0.01)

    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(timer)) as runner:
        runner.run(main())
    return turns


class TestTurns:
    def test_own_work_and_a_missing_processor_are_told_apart(self) -> None:
        assert Turn(1.0, 0.2, 0.05).durations_s() == {WORK: 0.05, WAITING: pytest.approx(0.15)}

    def test_the_work_of_other_threads_counts_up_to_the_duration_of_the_turn(self) -> None:
        assert Turn(1.0, 0.2, 0.3).durations_s() == {WORK: 0.2, WAITING: 0.0}

    def test_a_short_turn_counts_as_work(self) -> None:
        assert Turn(1.0, SHORT_TURN_S, 0.0).durations_s() == {WORK: SHORT_TURN_S}


class TestTimer:
    def test_a_turn_lasts_from_the_end_of_a_wait_to_the_next_wait(self) -> None:
        clocks = FakeTime()
        with timer_of(clocks) as (timer, turns):
            timer.select(0)
            clocks.pass_time(0.3, 0.2)
            timer.select(0)
        assert turns == [Turn(100.3, pytest.approx(0.3), pytest.approx(0.2))]

    @pytest.mark.parametrize(("timeout_s", "late"), [(0.5, [0.25]), (None, []), (1.0, [])])
    def test_a_wait_that_ends_late_delays_its_turn(
        self, timeout_s: float | None, late: list[float], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        clocks = FakeTime()
        with timer_of(clocks) as (timer, turns):
            monkeypatch.setattr(
                loop_delay.selectors.DefaultSelector,
                "select",
                lambda self, timeout: clocks.pass_time(0.75, 0.0) or [],
            )
            timer.select(timeout_s)
            timer.select(timeout_s)
        assert [turn.durations_s()[WAITING] for turn in turns] == late


class TestLines:
    def test_a_hold_up_to_the_bound_has_no_line(self) -> None:
        assert HoldLines().next_fields(WORK, MAX_HOLD_S, 100.0) is None

    def test_the_longest_hold_of_an_interval_always_has_a_line(self) -> None:
        lines = HoldLines()
        written = [
            lines.next_fields(WORK, held_s, 100.0 + number / 10)
            for number, held_s in enumerate([0.1, 0.09, 0.1, 0.3, 0.2])
        ]
        assert [fields and fields["held_s"] for fields in written] == [0.1, None, None, 0.3, None]
        assert written[3] == {"cause": "work", "held_s": 0.3, "shorter_left_out": 2}
        after = lines.next_fields(WORK, 0.06, 100.3 + LINE_INTERVAL_S)
        assert after == {"cause": "work", "held_s": 0.06, "shorter_left_out": 1}

    def test_waiting_for_a_processor_suppresses_no_line_about_own_work(self) -> None:
        lines = HoldLines()
        assert lines.next_fields(WAITING, 5.0, 100.0)
        assert lines.next_fields(WORK, 0.06, 100.1)


@pytest.mark.looptime
async def test_turns_are_counted_by_cause_and_a_long_one_is_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[dict[str, Any]] = []
    monkeypatch.setattr(loop_delay, "decision", lambda _kind, **fields: logged.append(fields))
    loop = asyncio.get_running_loop()
    instruments = Instruments()
    holds = LoopHolds(instruments)
    for _ in range(3):
        await asyncio.sleep(LINE_INTERVAL_S / 2)
        holds.record(Turn(loop.time(), 0.25, 0.125))
    assert [(line["cause"], line["shorter_left_out"]) for line in logged] == [
        ("work", 0),
        ("waiting", 0),
        ("work", 1),
        ("waiting", 1),
    ]
    totals = {key: series.total for key, series in instruments.loop_delay_s.read()}
    assert totals == {(("cause", "work"),): 0.375, (("cause", "waiting"),): 0.375}


def test_a_step_that_works_is_a_hold_by_own_work() -> None:
    longest = max(turn.durations_s()[WORK] for turn in run_in_timed_loop(lambda: work(0.2)))
    assert longest >= 0.2


def test_a_step_that_gets_no_processor_is_no_hold_by_own_work() -> None:
    turns = run_in_timed_loop(lambda: time.sleep(0.2))
    assert max(turn.durations_s()[WAITING] for turn in turns) >= 0.19
    assert max(turn.durations_s()[WORK] for turn in turns) < MAX_HOLD_S


def test_short_turns_are_counted_without_a_line() -> None:
    timer, instruments = TurnTimer(), Instruments()
    LoopHolds(instruments).listen(timer)
    timer.select(0)
    timer.select(0)
    timer.close()
    counts = {key: sum(series.counts) for key, series in instruments.loop_delay_s.read()}
    assert counts == {(("cause", "work"),): 2, (("cause", "waiting"),): 0}


async def test_a_suspended_daemon_logs_and_counts_a_hold_that_is_not_its_own() -> None:
    async with gateway_environment({"d1": "desk"}) as environment:
        await environment.until_ready()
        # Pending input and timers make the daemon's next turn due while it is suspended.
        environment.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        environment.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.3)
        page = (await ask(environment.metrics_port, "/metrics", key="")).body.decode()
        lines = [line for line in await environment.log() if line["message_type"] == "loop_held"]
    [longest] = [line["held_s"] for line in lines if line["held_s"] > 0.5]
    assert 0.5 < longest < 2.0
    assert {line["cause"] for line in lines if line["held_s"] > 0.5} == {"waiting"}
    assert 'godwitpath_gateway_loop_delay_seconds_bucket{cause="work",le="0.05"}' in page
