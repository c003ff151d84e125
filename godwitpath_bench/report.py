"""Figures over several seeds: median, range and ratio to a baseline, printed as a table."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import TypeVar

SEEDS = 5
"""Seeds that an experiment runs over."""

WORKERS = 6
"""Runs that go on at once."""

T = TypeVar("T")
J = TypeVar("J")


def percentile(values: Iterable[float], part: float) -> float:
    """Return the value below which a part of the values lies, 0 for none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def in_parallel(run: Callable[[J], T], jobs: Sequence[J]) -> list[T]:
    """Run an experiment's jobs, several at once, and return their results in order."""
    with ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(run, jobs))


@dataclass
class Table:
    """Figures of several policies, with the first one compared to the others."""

    title: str
    figures: dict[str, dict[str, list[float]]] = field(default_factory=dict)

    def add(self, policy: str, **figures: float) -> None:
        """Add one run's figures of a policy."""
        for name, value in figures.items():
            by_policy = self.figures.setdefault(name, {})
            by_policy.setdefault(policy, []).append(value)

    def median(self, figure: str, policy: str) -> float:
        """Return the median over the runs."""
        return statistics.median(self.figures[figure][policy])

    def lines(self) -> Iterable[str]:
        """Yield the table as text."""
        yield self.title
        for figure, by_policy in self.figures.items():
            for number, (policy, values) in enumerate(by_policy.items()):
                name = figure.replace("_", " ") if number == 0 else ""
                spread = f"{min(values):.4g} to {max(values):.4g}"
                ratio = "" if number == 0 else self._ratio(values, next(iter(by_policy.values())))
                median = statistics.median(values)
                yield f"  {name:38} {policy:26} {median:>10.4g}  ({spread}){ratio}"

    def _ratio(self, values: Sequence[float], own: Sequence[float]) -> str:
        base = statistics.median(own)
        return f"  ratio {statistics.median(values) / base:.2f}" if base else ""

    def show(self) -> None:
        """Print the table."""
        print("\n".join(self.lines()))
        print()
