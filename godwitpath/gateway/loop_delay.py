"""Measures how long each turn of the event loop holds up everything that waits for the loop.

A turn is all that the loop does between two waits for input, and the time by which a wait ended too
late. It is split into the part in which the process worked and the part in which it was given no
processor, or a call blocked.
"""

from __future__ import annotations

import math
import selectors
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from godwitpath.gateway.instruments import Instruments
from godwitpath.telemetry.decisions import decision

MAX_HOLD_S = 0.05
"""Longest time for which the daemon's own work may hold the loop, as the users specify."""

LINE_INTERVAL_S = 1.0
"""Time after a log line of a cause in which only a longer hold gets another line."""


SHORT_TURN_S = 0.001
"""Duration up to which a turn counts as work as a whole, since most turns are far shorter."""


class HoldCause(StrEnum):
    """What the time of a turn was spent on."""

    WORK = "work"
    """The process worked; the processor time of its other threads is included, since they share
    the interpreter's lock."""
    WAITING = "waiting"
    """The process was suspended or had no processor, or a call blocked."""


@dataclass(slots=True, frozen=True)
class Turn:
    """One turn of the event loop.

    :ivar ended_at_s: loop time at the end of the turn
    :ivar elapsed_s: time from the moment at which the turn was due until its end
    :ivar processor_s: processor time that the process used since it woke
    """

    ended_at_s: float
    elapsed_s: float
    processor_s: float

    def durations_s(self) -> Mapping[HoldCause, float]:
        """Return for how long each cause held the loop; the sum is the duration of the turn."""
        if self.elapsed_s <= SHORT_TURN_S:
            return {HoldCause.WORK: self.elapsed_s}
        work_s = min(self.elapsed_s, self.processor_s)
        return {HoldCause.WORK: work_s, HoldCause.WAITING: self.elapsed_s - work_s}


class TurnTimer(selectors.DefaultSelector):
    """Selector of an event loop that measures the turns between its waits.

    A turn is due when there is input, or when the time limit of the wait has passed.

    :ivar on_turn: called with each turn that is longer than `SHORT_TURN_S`
    :ivar on_short_turn: called with the duration of each other turn, in seconds
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        processor_clock: Callable[[], float] = time.process_time,
    ) -> None:
        super().__init__()
        self.on_turn: Callable[[Turn], None] = lambda turn: None
        self.on_short_turn: Callable[[float], None] = lambda elapsed_s: None
        self._clock = clock
        self._processor_clock = processor_clock
        self._due_at_s = clock()
        self._processor_at_s = processor_clock()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """End a turn, wait for input as the base class does, and begin the next turn."""
        began_at_s = self._clock()
        elapsed_s = began_at_s - self._due_at_s
        if elapsed_s <= SHORT_TURN_S:
            self.on_short_turn(elapsed_s)
        else:
            used_s = self._processor_clock() - self._processor_at_s
            self.on_turn(Turn(began_at_s, elapsed_s, used_s))
        events = super().select(timeout)
        self._due_at_s = self._clock()
        self._processor_at_s = self._processor_clock()
        if timeout is not None:
            self._due_at_s = min(self._due_at_s, began_at_s + max(0.0, timeout))
        return events


@dataclass(slots=True)
class _LastLine:
    """The last log line of a cause.

    :ivar at_s: loop time of the line
    :ivar held_s: the hold that it stated
    :ivar left_out: number of holds since then that got no line
    """

    at_s: float = -math.inf
    held_s: float = 0.0
    left_out: int = 0


class HoldLines:
    """Decides which holds of the loop get a log line.

    Of the holds of a cause within `LINE_INTERVAL_S` the longest one always gets one.
    """

    def __init__(self) -> None:
        self._last_lines = {cause: _LastLine() for cause in HoldCause}

    def next_fields(self, cause: HoldCause, held_s: float, now_s: float) -> dict[str, Any] | None:
        """Return the fields of the line about a hold, None if it gets no line.

        :param held_s: for how long the cause held the loop
        :param now_s: loop time
        """
        if held_s <= MAX_HOLD_S:
            return None
        last = self._last_lines[cause]
        if now_s < last.at_s + LINE_INTERVAL_S and held_s <= last.held_s:
            last.left_out += 1
            return None
        self._last_lines[cause] = _LastLine(now_s, held_s)
        return {
            "cause": cause.value,
            "held_s": round(held_s, 4),
            "shorter_left_out": last.left_out,
        }


class LoopHolds:
    """Records the turns of a loop, and logs those that are too long."""

    def __init__(self, instruments: Instruments) -> None:
        self._series = {
            cause: instruments.loop_delay_s.bind(cause=cause.value) for cause in HoldCause
        }
        self._lines = HoldLines()

    def listen(self, timer: TurnTimer) -> None:
        """Record all further turns of a loop."""
        timer.on_turn = self.record
        timer.on_short_turn = self._series[HoldCause.WORK].record

    def record(self, turn: Turn) -> None:
        """Add a turn to the histogram, and write a line for each cause that held it too long."""
        for cause, held_s in turn.durations_s().items():
            self._series[cause].record(held_s)
            fields = self._lines.next_fields(cause, held_s, turn.ended_at_s)
            if fields is not None:
                decision("loop_held", **fields)
