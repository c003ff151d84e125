"""Builds of a soak: daemons of an earlier build run beside those of this one."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random

import pytest
from typer.testing import CliRunner

from godwitpath_standin import __main__ as standin
from godwitpath_standin.gateway.process import start_gateway
from godwitpath_standin.process import ROOT
from godwitpath_standin.soak import environment as soak_environment
from godwitpath_standin.soak import run as soak_run
from godwitpath_standin.soak.environment import RESTART_DELAY_S, SoakEnvironment
from godwitpath_standin.soak.run import SoakOutcome, SoakPlan


class EndingProcess:
    """A process of a daemon that ends as soon as it is awaited."""

    returncode = 0

    async def wait(self) -> int:
        """Return the exit status."""
        return 0


async def checkouts_of_starts(
    folder: Path, monkeypatch: pytest.MonkeyPatch, old_build: Path | None
) -> dict[str, list[Path]]:
    """Return the checkouts that the first three starts of each of four daemons run."""
    started: dict[str, list[Path]] = {}

    async def start(settings: Path, *_: object, checkout: Path) -> EndingProcess:
        started.setdefault(settings.stem, []).append(checkout)
        return EndingProcess()

    monkeypatch.setattr(soak_environment, "start_gateway", start)
    async with AsyncExitStack() as stack:
        environment = SoakEnvironment(Random(1), folder, stack, old_build)
        await environment.start(daemons=4, engines=1)
        await asyncio.sleep(2.5 * RESTART_DELAY_S)
    return started


@pytest.mark.looptime
async def test_half_of_the_daemons_begin_with_the_earlier_build_and_each_restart_changes_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old = tmp_path / "old"
    assert await checkouts_of_starts(tmp_path, monkeypatch, old) == {
        "edge-0": [old, ROOT, old],
        "edge-1": [ROOT, old, ROOT],
        "edge-2": [old, ROOT, old],
        "edge-3": [ROOT, old, ROOT],
    }


@pytest.mark.looptime
async def test_without_an_earlier_build_each_start_runs_this_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started = await checkouts_of_starts(tmp_path, monkeypatch, None)
    assert started == {f"edge-{number}": [ROOT] * 3 for number in range(4)}


async def test_a_daemon_runs_the_code_of_its_checkout(tmp_path: Path) -> None:
    package = tmp_path / "old" / "godwitpath" / "gateway"
    package.mkdir(parents=True)
    (package.parent / "__init__.py").touch()
    (package / "__init__.py").touch()
    (package / "__main__.py").write_text("import os\nprint(__file__, os.getcwd(), end='')\n")
    process = await start_gateway(
        tmp_path / "edge-0.json", 1, asyncio.subprocess.PIPE, checkout=tmp_path / "old"
    )
    output, _ = await process.communicate()
    assert output.decode() == f"{package / '__main__.py'} {tmp_path / 'old'}"


class TestCommand:
    def test_an_earlier_build_is_part_of_the_plan(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        plans: list[SoakPlan] = []

        async def run_soak(plan: SoakPlan, _folder: Path | None) -> SoakOutcome:
            plans.append(plan)
            return SoakOutcome(plan)

        monkeypatch.setattr(soak_run, "run_soak", run_soak)
        for arguments in ([], ["--old-build", str(tmp_path)]):
            assert CliRunner().invoke(standin.app, ["soak", *arguments]).exit_code == 0
        assert [plan.old_build for plan in plans] == [None, tmp_path.resolve()]

    def test_an_absent_folder_is_refused(self, tmp_path: Path) -> None:
        result = CliRunner().invoke(standin.app, ["soak", "--old-build", str(tmp_path / "absent")])
        assert result.exit_code == 2
        assert "Invalid value for '--old-build'" in result.output
