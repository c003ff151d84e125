"""Instruments that accumulate values in plain objects, read when metrics are collected."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field

Attributes = tuple[tuple[str, str], ...]

MAX_SERIES = 1000
"""Maximum number of attribute sets of one instrument; further sets share `OVERFLOW`."""

OVERFLOW: Attributes = (("otel.metric.overflow", "true"),)
"""Attribute set of the values of all attribute sets above the maximum number."""


@dataclass(slots=True)
class CounterSeries:
    """Value of one attribute set of a counter."""

    value: float = 0

    def add(self, amount: float = 1) -> None:
        """Add an amount to the value."""
        self.value += amount


@dataclass(slots=True)
class Counter:
    """A monotonic counter with attributes."""

    _series: dict[Attributes, CounterSeries] = field(default_factory=dict)

    def add(self, amount: float = 1, **attributes: str) -> None:
        """Add an amount to the value of an attribute set."""
        self.bind(**attributes).value += amount

    def bind(self, **attributes: str) -> CounterSeries:
        """Return the series of an attribute set, which a hot path can keep to skip the lookup."""
        key = tuple(attributes.items())
        series = self._series.get(key)
        if series is None:
            key = key if len(self._series) < MAX_SERIES else OVERFLOW
            series = self._series.setdefault(key, CounterSeries())
        return series

    def value(self, **attributes: str) -> float:
        """Return the value of an attribute set, 0 when there is none."""
        series = self._series.get(tuple(attributes.items()))
        return series.value if series else 0

    def total(self) -> float:
        """Return the sum over all attribute sets."""
        return sum(series.value for series in self._series.values())

    def read(self) -> list[tuple[Attributes, float]]:
        """Return every attribute set with its value."""
        return [(key, series.value) for key, series in self._series.items()]


@dataclass(slots=True)
class HistogramSeries:
    """Values of one attribute set of a histogram.

    :ivar bounds: upper bounds of all buckets except the last, ascending
    :ivar counts: number of values in each bucket
    :ivar total: sum of the values
    :ivar smallest: smallest value, infinite when there is none
    :ivar largest: largest value, minus infinite when there is none
    """

    bounds: tuple[float, ...]
    counts: list[int]
    total: float = 0.0
    smallest: float = float("inf")
    largest: float = float("-inf")

    def record(self, value: float) -> None:
        """Add a value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value
        if value < self.smallest:
            self.smallest = value
        if value > self.largest:
            self.largest = value


@dataclass(slots=True)
class Histogram:
    """A histogram with attributes.

    :ivar name: dotted metric name
    :ivar unit: unit in UCUM
    :ivar bounds: upper bounds of all buckets except the last, ascending
    """

    name: str
    unit: str
    description: str
    bounds: tuple[float, ...]
    _series: dict[Attributes, HistogramSeries] = field(default_factory=dict)

    def record(self, value: float, **attributes: str) -> None:
        """Add a value to an attribute set."""
        self.bind(**attributes).record(value)

    def bind(self, **attributes: str) -> HistogramSeries:
        """Return the series of an attribute set, which a hot path can keep to skip the lookup."""
        key = tuple(attributes.items())
        series = self._series.get(key)
        if series is None:
            key = key if len(self._series) < MAX_SERIES else OVERFLOW
            new_series = HistogramSeries(self.bounds, [0] * (len(self.bounds) + 1))
            series = self._series.setdefault(key, new_series)
        return series

    def read(self) -> Iterable[tuple[Attributes, HistogramSeries]]:
        """Return every attribute set with its series."""
        return list(self._series.items())
