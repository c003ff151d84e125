"""Runs the scenario files that test the guaranteed properties, each with several seeds."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from godwitpath_standin.process import ROOT
from godwitpath_standin.scenario.run import ScenarioOutcome, run_scenario

SCENARIO_FOLDER = ROOT / "test" / "scenarios"


@dataclass(slots=True, frozen=True)
class Property:
    """A guaranteed property and the scenario files that test it.

    :ivar number: number that selects the property on the command line
    :ivar mechanism: key of :data:`godwitpath_standin.disabled_mechanisms.MECHANISMS`; the first
        file must fail when this mechanism is disabled
    """

    number: int
    name: str
    files: tuple[str, ...]
    mechanism: str


PROPERTIES = (
    Property(1, "accepted completes", ("zone-dies-in-reclaim", "accepted-completes"), "copies"),
    Property(2, "own answer, whole", ("own-answer",), "continuation"),
    Property(3, "not run is true", ("not-run-is-true", "cut-calls"), "guard"),
    Property(4, "at most once", ("at-most-once", "frozen-holder"), "guard"),
    Property(5, "leaving upstreams get no new work", ("leaving-upstream",), "upstream-states"),
    Property(6, "planned stops are graceful", ("planned-stop", "stop-of-a-zone"), "drain"),
    Property(7, "configuration in force, never back", ("configuration",), "spreading"),
    Property(8, "silent connections", ("silent-connections",), "liveness"),
)
"""All guaranteed properties; number 8 covers connections that stay open but never respond again."""


@dataclass(slots=True)
class ProofRow:
    """Results of one scenario file over all trials.

    :ivar longest_s: duration of the longest trial
    """

    property: Property
    file: str
    trials: int = 0
    violations: list[str] = field(default_factory=list)
    longest_s: float = 0.0

    def add(self, outcome: ScenarioOutcome, seed: int) -> None:
        """Add the outcome of a trial."""
        self.trials += 1
        self.longest_s = max(self.longest_s, outcome.duration_s)
        if outcome.failure:
            self.violations.append(f"seed {seed}: {outcome.failure}")

    def __str__(self) -> str:
        head = f"{self.property.number}  {self.property.name:36s} {self.file:24s}"
        return f"{head} {self.trials:6d} {len(self.violations):10d} {self.longest_s:9.1f} s"


HEADER = f"{'':2s} {'property':36s} {'fault scenario':24s} {'trials':>6s} {'violations':>10s} worst"


def selected_properties(which: str) -> Iterator[Property]:
    """Yield the selected properties.

    :param which: number of a property, or `all`
    """
    for prop in PROPERTIES:
        if which in ("all", str(prop.number)):
            yield prop


def prove(
    properties: Iterator[Property], seed: int, trials: int, without_mechanism: bool = False
) -> Iterator[ProofRow]:
    """Run the scenario files of the properties and yield a row after each file.

    :param seed: seed of the first trial; each further trial adds 1
    :param trials: runs of each file
    :param without_mechanism: run only the first file of each property, with the mechanism disabled
    """
    for prop in properties:
        disabled_mechanism = prop.mechanism if without_mechanism else ""
        for name in prop.files[:1] if without_mechanism else prop.files:
            row = ProofRow(prop, name)
            path: Path = SCENARIO_FOLDER / f"{name}.scenario"
            for trial in range(trials):
                row.add(
                    asyncio.run(run_scenario(path, seed + trial, disabled_mechanism)), seed + trial
                )
            yield row
