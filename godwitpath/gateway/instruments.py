"""What a daemon counts and measures, in plain objects that cost a request next to nothing."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from godwitpath.telemetry.instruments import Histogram

DURATION_BOUNDS_S = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 10.0, 15.0,
)  # fmt: skip
"""Bounds of the histograms: from a call within a zone to the longest deadline of the sheets."""


def _histogram(name: str, description: str) -> Histogram:
    return Histogram(name, "s", description, DURATION_BOUNDS_S)


@dataclass(slots=True)
class Instruments:
    """Counts and histograms of one daemon.

    :ivar answers: answers by route, by whom they are (`engine` or `own`), and by status or reason
    :ivar sends: sends to engines by service and outcome
    """

    answers: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    sends: Counter[tuple[str, str]] = field(default_factory=Counter)
    request_s: Histogram = field(
        default_factory=lambda: _histogram(
            "godwitpath.gateway.request.duration",
            "Time from a request's first byte to its answer's end: are callers served in time?",
        )
    )
    first_event_s: Histogram = field(
        default_factory=lambda: _histogram(
            "godwitpath.gateway.first_event.duration",
            "Time from a send to the first event of a stream: do engines read prompts in time?",
        )
    )
    connect_s: Histogram = field(
        default_factory=lambda: _histogram(
            "godwitpath.gateway.connect.duration",
            "Time to get a connection to an engine: are engines reachable?",
        )
    )
