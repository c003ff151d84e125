"""Aggregates results over seeds and prints them as a table: median, range and ratio."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import TypeVar

SEEDS = 5
"""Default number of seeds of an experiment."""

MAX_PROCESSES = 6
"""Maximum number of processes that run jobs concurrently."""

ResultT = TypeVar("ResultT")
JobT = TypeVar("JobT")


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return a percentile of the values, 0 when there are none.

    :param fraction: the percentile as a fraction, 0.95 for the 95th
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def in_parallel(run: Callable[[JobT], ResultT], jobs: Sequence[JobT]) -> list[ResultT]:
    """Run an experiment's jobs in a process pool.

    :returns: one result per job, in the order of the jobs
    """
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        return list(pool.map(run, jobs))


@dataclass
class Table:
    """Figures of several policies; each is compared with the policy added first.

    :ivar figures: values of the runs, by figure and policy
    """

    title: str
    figures: dict[str, dict[str, list[float]]] = field(default_factory=dict)

    def add(self, policy: str, **figures: float) -> None:
        """Add the figures of one run under a policy."""
        for name, value in figures.items():
            by_policy = self.figures.setdefault(name, {})
            by_policy.setdefault(policy, []).append(value)

    def median(self, figure: str, policy: str) -> float:
        """Return the median of a figure over the runs of a policy."""
        return statistics.median(self.figures[figure][policy])

    def lines(self) -> Iterable[str]:
        """Yield the table line by line."""
        yield self.title
        for figure, by_policy in self.figures.items():
            for index, (policy, values) in enumerate(by_policy.items()):
                name = figure.replace("_", " ") if index == 0 else ""
                value_range = f"{min(values):.4g} to {max(values):.4g}"
                ratio = "" if index == 0 else self._ratio(values, next(iter(by_policy.values())))
                median = statistics.median(values)
                yield f"  {name:38} {policy:26} {median:>10.4g}  ({value_range}){ratio}"

    def _ratio(self, values: Sequence[float], baseline: Sequence[float]) -> str:
        baseline_median = statistics.median(baseline)
        return (
            f"  ratio {statistics.median(values) / baseline_median:.2f}" if baseline_median else ""
        )

    def show(self) -> None:
        """Print the table."""
        print("\n".join(self.lines()))
        print()
