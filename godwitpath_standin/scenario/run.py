"""Runs scenario files and returns their transcripts, which tests compare with golden files."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

from godwitpath.errors import GodwitpathError
from godwitpath_standin.scenario.parse import parse_scenario
from godwitpath_standin.scenario.perform import perform
from godwitpath_standin.scenario.session import ScenarioFailed, Session


@dataclass(slots=True)
class ScenarioOutcome:
    """Result of a scenario.

    :ivar path: scenario file
    :ivar transcript: performed steps with their observations
    :ivar failure: line and message of the first failed step, empty if every step passed
    :ivar duration_s: run time
    """

    path: Path
    transcript: str
    failure: str
    duration_s: float


async def run_scenario(path: Path, seed: int = 1, disabled_mechanism: str = "") -> ScenarioOutcome:
    """Run one scenario file until its end or the first failure.

    :param disabled_mechanism: mechanism that the entries disable, empty for none
    """
    steps = parse_scenario(path)
    started_at_s = time.monotonic()
    failure = ""
    async with AsyncExitStack() as stack:
        session = Session(stack, seed, disabled_mechanism)
        stack.push_async_callback(session.client.close)
        for step in steps:
            session.transcript.append(step.text)
            try:
                await perform(step, session)
            except (ScenarioFailed, GodwitpathError) as error:
                failure = f"line {step.line}: {error}"
                session.record(f"FAILED: {failure}")
                break
        for load in session.loads.values():
            load.cancel()
        await asyncio.gather(*session.loads.values(), return_exceptions=True)
        transcript = "\n".join(session.transcript) + "\n"
    return ScenarioOutcome(path, transcript, failure, time.monotonic() - started_at_s)


def golden_path(path: Path) -> Path:
    """Return the path of the file with the expected transcript of a scenario."""
    return path.with_suffix(".golden")
