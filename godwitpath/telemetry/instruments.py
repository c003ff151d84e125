"""Instruments that add up in plain objects, read only when metrics are collected."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field

Attributes = tuple[tuple[str, str], ...]

MAX_SERIES = 1000
"""Most attribute sets of one instrument; what comes after is counted under `OVERFLOW`."""

OVERFLOW: Attributes = (("otel.metric.overflow", "true"),)


@dataclass(slots=True)
class CounterSeries:
    """One attribute set of a counter."""

    value: float = 0

    def add(self, amount: float = 1) -> None:
        """Count."""
        self.value += amount


@dataclass(slots=True)
class Counter:
    """A number that only grows."""

    _series: dict[Attributes, CounterSeries] = field(default_factory=dict)

    def add(self, amount: float = 1, **attributes: str) -> None:
        """Count under attributes."""
        self.bind(**attributes).value += amount

    def bind(self, **attributes: str) -> CounterSeries:
        """Return the series of an attribute set, to be counted on a hot path."""
        key = tuple(attributes.items())
        series = self._series.get(key)
        if series is None:
            key = key if len(self._series) < MAX_SERIES else OVERFLOW
            series = self._series.setdefault(key, CounterSeries())
        return series

    def value(self, **attributes: str) -> float:
        """Return what was counted under attributes."""
        series = self._series.get(tuple(attributes.items()))
        return series.value if series else 0

    def total(self) -> float:
        """Return what was counted under all attributes."""
        return sum(series.value for series in self._series.values())

    def read(self) -> list[tuple[Attributes, float]]:
        """Return every attribute set with its value."""
        return [(key, series.value) for key, series in self._series.items()]


@dataclass(slots=True)
class HistogramSeries:
    """One attribute set of a histogram.

    :ivar bounds: upper bounds of the buckets but the last, ascending
    :ivar counts: values in each bucket
    :ivar total: sum of the values
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
    """A distribution of values."""

    name: str
    unit: str
    description: str
    bounds: tuple[float, ...]
    _series: dict[Attributes, HistogramSeries] = field(default_factory=dict)

    def record(self, value: float, **attributes: str) -> None:
        """Add a value under attributes."""
        self.bind(**attributes).record(value)

    def bind(self, **attributes: str) -> HistogramSeries:
        """Return the series of an attribute set, to be recorded on a hot path."""
        key = tuple(attributes.items())
        series = self._series.get(key)
        if series is None:
            key = key if len(self._series) < MAX_SERIES else OVERFLOW
            fresh = HistogramSeries(self.bounds, [0] * (len(self.bounds) + 1))
            series = self._series.setdefault(key, fresh)
        return series

    def read(self) -> Iterable[tuple[Attributes, HistogramSeries]]:
        """Return every attribute set with its series."""
        return list(self._series.items())
