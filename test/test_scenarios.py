"""Every scenario file passes on real processes, and its transcript equals the golden file."""

from __future__ import annotations

from pathlib import Path

import pytest

from godwitpath.errors import FindingsError
from godwitpath_standin.scenario.parse import parse_scenario
from godwitpath_standin.scenario.run import golden_path, run_scenario

FOLDER = Path(__file__).parent / "scenarios"
FILES = sorted(FOLDER.glob("*.scenario"))
GROUPS = 2
"""Number of fleets that run in parallel; more fleets need more cores than the machine has."""


@pytest.mark.parametrize(
    "path",
    [
        pytest.param(path, id=path.stem, marks=pytest.mark.xdist_group(f"fleet-{n % GROUPS}"))
        for n, path in enumerate(FILES)
    ],
)
async def test_scenario_passes_with_the_golden_transcript(path: Path) -> None:
    outcome = await run_scenario(path)
    assert outcome.failure == ""
    assert outcome.transcript == golden_path(path).read_text(encoding="utf-8")


def test_parser_reports_every_invalid_line(tmp_path: Path) -> None:
    path = tmp_path / "wrong.scenario"
    path.write_text("start ramdin entries 3\nstrat ramdin\nwait 1 s\nkill everything\n")
    with pytest.raises(FindingsError) as raised:
        parse_scenario(path)
    assert [finding.line for finding in raised.value.findings] == [2, 4]
