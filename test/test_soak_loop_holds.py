"""A soak notices a daemon that holds its event loop by its own work."""

from __future__ import annotations

import json
from pathlib import Path

from godwitpath_standin.soak.history import LoopHold, Violation
from godwitpath_standin.soak.invariants import MAX_LOOP_HOLD_S, violations
from godwitpath_standin.soak.loop_holds import (
    DESCRIBED_WAIT_S,
    describe_waits,
    read_loop_holds,
)
from godwitpath_standin.soak.run import SoakOutcome, SoakPlan
from test.test_soak import history, run_of, sent


def test_a_long_hold_is_one_violation_for_each_daemon() -> None:
    request = sent()
    recorded = history(request, run_of(request))
    recorded.loop_holds.append(LoopHold("edge-0", MAX_LOOP_HOLD_S))
    assert not list(violations(recorded))
    recorded.loop_holds += [
        LoopHold("edge-1", 0.051),
        LoopHold("edge-1", 8.2),
        LoopHold("edge-2", 0.06),
    ]
    assert [str(each) for each in violations(recorded)] == [
        "loop: edge-1 held its loop for 8200.0 ms",
        "loop: edge-2 held its loop for 60.0 ms",
    ]


def test_a_daemon_without_a_processor_violates_nothing() -> None:
    request = sent()
    recorded = history(request, run_of(request))
    recorded.loop_holds.append(LoopHold("edge-0", 8.2, own_work=False))
    assert not list(violations(recorded))


def test_holds_are_read_from_the_logs_with_their_causes(tmp_path: Path) -> None:
    entries = [
        {"message_type": "loop_held", "cause": "waiting", "held_s": 2.0, "timestamp": 1_012.5},
        {"message_type": "loop_held", "cause": "work", "held_s": 0.07, "timestamp": 1_014.0},
        {"message_type": "request_ended", "request": '"loop_held"', "timestamp": 1_015.0},
    ]
    lines = [json.dumps(entry, separators=(",", ":")) for entry in entries]
    lines.append('{"message_type":"loop_held","cause":')
    (tmp_path / "edge-1.log").write_text("\n".join(lines))
    assert list(read_loop_holds(tmp_path)) == [
        LoopHold("edge-1", 2.0, False, 1_012.5),
        LoopHold("edge-1", 0.07, True, 1_014.0),
    ]


def test_a_broken_run_names_the_times_at_which_daemons_had_no_processor() -> None:
    holds = [
        LoopHold("edge-1", 2.0, False, 1_012.5),
        LoopHold("edge-0", 0.3, False, 1_004.0),
        LoopHold("edge-1", DESCRIBED_WAIT_S / 2, False, 1_013.0),
        LoopHold("edge-1", 0.07, True, 1_014.0),
    ]
    waits = list(describe_waits(holds, 1_000.0))
    assert waits == [
        "   3.70 s  edge-0 had no processor for 0.30 s",
        "  10.50 s  edge-1 had no processor for 2.00 s",
    ]
    outcome = SoakOutcome(SoakPlan(5, 30.0), waits=waits)
    assert len(list(outcome.lines())) == 1
    outcome.violations.append(Violation("in time", "r1 at edge-1 took 6.90 s"))
    assert list(outcome.lines())[1:] == [*waits, "in time: r1 at edge-1 took 6.90 s"]
