"""A soak notices a daemon that holds its event loop by its own work."""

from __future__ import annotations

import json
from pathlib import Path

from godwitpath_standin.soak.history import LoopHold
from godwitpath_standin.soak.invariants import MAX_LOOP_HOLD_S, violations
from godwitpath_standin.soak.loop_holds import read_loop_holds
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


def test_only_holds_by_own_work_are_read_from_the_logs(tmp_path: Path) -> None:
    entries = [
        {"message_type": "loop_held", "cause": "waiting", "held_s": 2.0},
        {"message_type": "loop_held", "cause": "work", "held_s": 0.07},
        {"message_type": "request_ended", "request": '"loop_held"'},
    ]
    lines = [json.dumps(entry, separators=(",", ":")) for entry in entries]
    lines.append('{"message_type":"loop_held","cause":')
    (tmp_path / "edge-1.log").write_text("\n".join(lines))
    assert list(read_loop_holds(tmp_path)) == [LoopHold("edge-1", 0.07)]
