"""Long prompts of a soak, and what its daemons state about their datagrams and event loops."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

import godwitpath_standin.__main__ as standin
from godwitpath_standin.soak import run as soak_run
from godwitpath_standin.soak.history import SelfReport
from godwitpath_standin.soak.long_prompts import (
    DOCUMENTS,
    LONG_ID_BYTES,
    MAX_PARTS,
    MAX_PROMPT_BYTES,
    LongPrompts,
    tokens,
)
from godwitpath_standin.soak.run import SoakOutcome, SoakPlan, run_soak
from godwitpath_standin.soak.self_reports import decode_self_report, summarize_self_reports

SOAK_S = 12.0
"""Time during which the soak of the test suite injects faults."""


class TestPrompts:
    def test_callers_send_short_prompts_and_the_beginnings_of_shared_documents(self) -> None:
        drawn = [LongPrompts(7, f"c{number}") for number in range(4)]
        prompts = [caller.draw() for caller in drawn for _ in range(200)]
        long = [parts for parts in prompts if parts]
        assert 300 < len(long) < 500
        assert len({parts[0] for parts in long}) == DOCUMENTS
        assert max(map(len, long)) == MAX_PARTS
        assert any(len(part) >= LONG_ID_BYTES for parts in long for part in parts)
        assert all(len(",".join(parts)) <= MAX_PROMPT_BYTES for parts in long)
        assert max(len(",".join(parts)) for parts in long) > 0.9 * MAX_PROMPT_BYTES

    def test_a_seed_decides_the_prompts_of_a_caller(self) -> None:
        first, again, other = (LongPrompts(7, name) for name in ("c1", "c1", "c2"))
        prompts = [[caller.draw() for _ in range(20)] for caller in (first, again, other)]
        assert prompts[0] == prompts[1] != prompts[2]

    def test_tokens_of_a_document_are_those_that_its_parts_state(self) -> None:
        assert tokens(["ab:3", "cd:9"]) == 12


class TestSelfReports:
    def test_the_line_states_the_largest_figures_and_the_sum_of_what_was_not_sent(self) -> None:
        reports = [SelfReport(1_400, 0, 0.012), SelfReport(66_600, 4, 0.3), SelfReport(900, 2, 0.0)]
        outcome = SoakOutcome(SoakPlan(1, 12.0), self_reports=summarize_self_reports(reports))
        [line] = outcome.lines()
        assert "datagrams up to 66.6 kB, 6 not sent; loops held up to 300 ms by own work" in line

    def test_a_daemon_of_an_earlier_build_states_nothing(self) -> None:
        assert decode_self_report(json.dumps({"daemon": "edge-0"}).encode()) is None


def test_the_option_is_part_of_the_plan(monkeypatch: pytest.MonkeyPatch) -> None:
    plans: list[SoakPlan] = []

    async def record(plan: SoakPlan, _folder: Path | None) -> SoakOutcome:
        plans.append(plan)
        return SoakOutcome(plan)

    monkeypatch.setattr(soak_run, "run_soak", record)
    for arguments in ([], ["--long-prompts"]):
        assert CliRunner().invoke(standin.app, ["soak", *arguments]).exit_code == 0
    assert [plan.long_prompts for plan in plans] == [False, True]


@pytest.mark.xdist_group("soak")
async def test_short_soak_with_long_prompts_has_no_violation(tmp_path: Path) -> None:
    plan = SoakPlan(1, SOAK_S, daemons=3, long_prompts=True)
    outcome = await run_soak(plan, tmp_path)
    assert not outcome.violations, "\n".join(outcome.lines())
    assert outcome.self_reports.unsent_datagrams == 0
    assert outcome.self_reports.largest_datagram_bytes > 0


@pytest.mark.xdist_group("soak")
@pytest.mark.parametrize("seed", [6001, 6023])
async def test_seed_with_long_prompts_that_failed_before_has_no_violation(
    tmp_path: Path, seed: int
) -> None:
    """Guards against a review of crashes that holds the loop, and reports too large to send."""
    outcome = await run_soak(SoakPlan(seed, SOAK_S, long_prompts=True), tmp_path)
    assert not outcome.violations, "\n".join(outcome.lines())
    assert outcome.self_reports.unsent_datagrams == 0
