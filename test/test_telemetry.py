"""Metrics in the Prometheus text format, and log lines of state changes."""

from __future__ import annotations

import io
import json

import eliot
from prometheus_client.parser import text_string_to_metric_families

from godwitpath.telemetry.instruments import MAX_SERIES
from godwitpath.telemetry.logs import state_change
from godwitpath.telemetry.metrics import Metrics


def samples(metrics: Metrics) -> dict[str, float]:
    body, content_type = metrics.render()
    assert content_type.startswith("text/plain")
    families = text_string_to_metric_families(body.decode())
    values = {}
    for family in families:
        for sample in family.samples:
            labels = ",".join(f"{name}={value}" for name, value in sorted(sample.labels.items()))
            values[f"{sample.name}{{{labels}}}"] = sample.value
    return values


def test_counters_histograms_and_gauges_are_rendered() -> None:
    """Guards against a metric that is missing from the page or has a wrong name, label or value."""
    metrics = Metrics("e1", "1")
    metrics.counter("godwitpath.requests", "{request}", "Requests.").add(3, outcome="accepted")
    metrics.histogram("godwitpath.wait", "s", "Wait.", [0.1, 1.0]).record(0.5, service="a")
    metrics.gauge("godwitpath.peers", "{peer}", "Peers.", lambda: [(2, {"state": "alive"})])
    values = samples(metrics)
    assert values["godwitpath_requests_total{outcome=accepted}"] == 3
    assert values["godwitpath_wait_seconds_bucket{le=0.1,service=a}"] == 0
    assert values["godwitpath_wait_seconds_bucket{le=1.0,service=a}"] == 1
    assert values["godwitpath_wait_seconds_sum{service=a}"] == 0.5
    assert values["godwitpath_peers{state=alive}"] == 2


def test_rendering_twice_does_not_count_twice() -> None:
    """Guards against a rendering that changes the values of counters or histograms."""
    metrics = Metrics()
    metrics.histogram("godwitpath.wait", "s", "Wait.").record(0.5)
    metrics.counter("godwitpath.requests", "{request}", "Requests.").add()
    assert samples(metrics) == samples(metrics)


def test_counter_of_a_name_is_created_once() -> None:
    """Guards against a second request for a counter that returns a new one and loses its counts."""
    metrics = Metrics()
    counter = metrics.counter("godwitpath.requests", "{request}", "Requests.")
    counter.bind(service="a").add(2)
    assert metrics.counter("godwitpath.requests", "{request}", "Requests.") is counter
    assert counter.value(service="a") == counter.total() == 2


def test_attribute_sets_are_bounded() -> None:
    """Guards against unbounded growth or lost counts when outside input sets the attributes."""
    counter = Metrics().counter("godwitpath.requests", "{request}", "Requests.")
    for number in range(MAX_SERIES + 100):
        counter.add(service=str(number))
    assert len(counter.read()) <= MAX_SERIES + 1
    assert counter.total() == MAX_SERIES + 100


def test_state_change_is_one_json_line_without_secrets() -> None:
    """Guards against a secret in a log line."""
    stream = io.StringIO()
    destination = eliot.FileDestination(file=stream)
    eliot.add_destinations(destination)
    try:
        state_change("peer", "alive", "suspect", peer="e2", incarnation=4, secret_key="s3cret")
    finally:
        eliot.remove_destination(destination)
    [line] = stream.getvalue().splitlines()
    fields = json.loads(line)
    assert (fields["subject"], fields["old"], fields["new"]) == ("peer", "alive", "suspect")
    assert (fields["peer"], fields["incarnation"]) == ("e2", 4)
    assert "s3cret" not in line
