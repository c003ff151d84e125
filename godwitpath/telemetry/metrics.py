"""OpenTelemetry metrics, exported in the Prometheus text format.

Counters and histograms accumulate in plain objects, since the library's synchronous instruments
cost about 20 microseconds per value. They are passed to the library when metrics are collected:
counters as observable instruments, histograms as data points of its data model.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.export import (
    AggregationTemporality,
    HistogramDataPoint,
    Metric,
    MetricsData,
    ResourceMetrics,
    ScopeMetrics,
)
from opentelemetry.sdk.metrics.export import Histogram as HistogramData
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.util.instrumentation import InstrumentationScope
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from godwitpath.telemetry.instruments import Counter, Histogram

GaugeValues = float | Iterable[tuple[float, dict[str, str]]]
"""Value of a gauge without attributes, or values with their attributes."""

DURATION_BOUNDS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.072, 0.1, 0.2, 0.36, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
)  # fmt: skip
"""Default bucket bounds of durations in seconds; they include the latency targets."""


class Metrics:
    """The metrics of one process.

    :param entry_id: name of the entry, exported as the resource attribute `service.instance.id`
    :param version: version of the program, exported as `service.version`
    """

    def __init__(self, entry_id: str = "", version: str = "") -> None:
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}
        resource = Resource(
            {
                "service.name": "godwitpath",
                "service.instance.id": entry_id,
                "service.version": version,
            }
        )
        reader = _HistogramReader(self._registry, resource, self._histograms)
        exemplars = AlwaysOffExemplarFilter()
        self._provider = MeterProvider([reader], resource, exemplars, shutdown_on_exit=False)
        self._meter = self._provider.get_meter("godwitpath", version)

    def counter(self, name: str, unit: str, description: str) -> Counter:
        """Return the counter of a name, which is created on the first call.

        :param name: dotted name, such as `godwitpath.requests.accepted`
        :param unit: unit in UCUM, such as `{request}`, `By` or `s`
        """
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters[name] = Counter()
            callbacks = [_counter_callback(counter)]
            self._meter.create_observable_counter(name, callbacks, unit, description)
        return counter

    def histogram(
        self,
        name: str,
        unit: str,
        description: str,
        bounds: Iterable[float] = DURATION_BOUNDS_S,
    ) -> Histogram:
        """Return the histogram of a name, which is created on the first call.

        :param bounds: upper bounds of all buckets except the last, ascending
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(name, unit, description, tuple(bounds))
            self._histograms[name] = histogram
        return histogram

    def register_histogram(self, histogram: Histogram) -> None:
        """Export a histogram that was created elsewhere."""
        self._histograms[histogram.name] = histogram

    def observable_counter(
        self,
        name: str,
        unit: str,
        description: str,
        callback: Callable[[], Iterable[tuple[float, dict[str, str]]]],
    ) -> None:
        """Export a counter that is kept elsewhere.

        :param callback: returns the values with their attributes, called on every collection
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(value, attributes) for value, attributes in callback()]

        self._meter.create_observable_counter(name, [observe], unit, description)

    def gauge(
        self, name: str, unit: str, description: str, callback: Callable[[], GaugeValues]
    ) -> None:
        """Export a gauge.

        :param callback: returns the current values, called on every collection
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            values = callback()
            if isinstance(values, int | float):
                return [Observation(values)]
            return [Observation(value, attributes) for value, attributes in values]

        self._meter.create_observable_gauge(name, [observe], unit, description)

    def names(self) -> list[str]:
        """Return the names of the counters and histograms."""
        return [*self._counters, *self._histograms]

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the Prometheus text format, and its content type."""
        return generate_latest(self._registry), CONTENT_TYPE_LATEST

    def shutdown(self) -> None:
        """Shut down the meter provider and its reader."""
        self._provider.shutdown()


def _counter_callback(counter: Counter) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(_: CallbackOptions) -> Iterable[Observation]:
        return [Observation(value, dict(key)) for key, value in counter.read()]

    return observe


class _HistogramReader(PrometheusMetricReader):
    """Reader that adds the histograms to the metrics collected by the library."""

    def __init__(
        self, registry: CollectorRegistry, resource: Resource, histograms: dict[str, Histogram]
    ) -> None:
        super().__init__(registry=registry, scope_info_enabled=False)
        self._resource = resource
        self._histograms = histograms

    def _receive_metrics(
        self, metrics_data: MetricsData | None, timeout_millis: float = 10_000, **kwargs: Any
    ) -> None:
        collected = list(metrics_data.resource_metrics) if metrics_data else []
        metrics = [_histogram_metric(histogram) for histogram in self._histograms.values()]
        scope = ScopeMetrics(InstrumentationScope("godwitpath"), metrics, "")
        collected.append(ResourceMetrics(self._resource, [scope], ""))
        super()._receive_metrics(MetricsData(collected), timeout_millis, **kwargs)


def _histogram_metric(histogram: Histogram) -> Metric:
    now_ns = time.time_ns()
    data_points = [
        HistogramDataPoint(
            attributes=dict(key),
            start_time_unix_nano=now_ns,
            time_unix_nano=now_ns,
            count=sum(series.counts),
            sum=series.total,
            bucket_counts=list(series.counts),
            explicit_bounds=series.bounds,
            min=series.smallest,
            max=series.largest,
        )
        for key, series in histogram.read()
    ]
    data = HistogramData(data_points, AggregationTemporality.CUMULATIVE)
    return Metric(histogram.name, histogram.description, histogram.unit, data)
