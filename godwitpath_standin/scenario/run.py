"""Runs scenario files and compares their transcripts with the golden files beside them."""

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
    """What came of a scenario.

    :ivar failure: the first expectation that did not hold, empty when all held
    """

    path: Path
    transcript: str
    failure: str
    duration_s: float


async def run_scenario(path: Path, seed: int = 1, without: str = "") -> ScenarioOutcome:
    """Run one scenario file to its end or its first failure.

    :param without: mechanism that the entries leave out, empty for none
    """
    steps = parse_scenario(path)
    began_s = time.monotonic()
    failure = ""
    async with AsyncExitStack() as stack:
        session = Session(stack, seed, without)
        stack.push_async_callback(session.client.close)
        for step in steps:
            session.transcript.append(step.text)
            try:
                await perform(step, session)
            except (ScenarioFailed, GodwitpathError) as error:
                failure = f"line {step.line}: {error}"
                session.say(f"FAILED: {failure}")
                break
        for load in session.loads.values():
            load.cancel()
        await asyncio.gather(*session.loads.values(), return_exceptions=True)
        transcript = "\n".join(session.transcript) + "\n"
    return ScenarioOutcome(path, transcript, failure, time.monotonic() - began_s)


def golden_path(path: Path) -> Path:
    """Return the file that holds the expected transcript of a scenario."""
    return path.with_suffix(".golden")
