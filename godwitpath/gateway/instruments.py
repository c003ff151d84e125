"""Counters and histograms of a daemon, in plain objects with little overhead per request."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from godwitpath.telemetry.instruments import Histogram

DURATION_BOUNDS_S = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 10.0, 15.0,
)  # fmt: skip
"""Bucket bounds of the histograms in seconds: from the duration of a call within a zone to the
longest request deadline that callers require."""

LOOP_DELAY_BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""Bucket bounds of the turns of the event loop in seconds; 0.05 is the longest that own work may
take."""

DATAGRAM_BOUNDS_BYTES = (500, 1_000, 1_400, 3_000, 6_000, 12_000, 25_000, 50_000, 65_507)
"""Bucket bounds of the sizes of datagrams; the last one is the largest that can be sent."""


def _histogram(name: str, description: str) -> Histogram:
    return Histogram(name, "s", description, DURATION_BOUNDS_S)


@dataclass(slots=True)
class Instruments:
    """Counters and histograms of one daemon.

    :ivar responses: number of responses to callers by route, origin (`engine`, or `own` for the
        gateway), and status or reason
    :ivar sends: number of sends of requests to engines by service and outcome
    :ivar request_s: time from the first byte of a request to the end of its response
    :ivar first_event_s: time from a send to the first event of a stream
    :ivar connect_s: time until a connection to an engine was opened or taken from the pool
    :ivar datagram_bytes: sizes of the datagrams to other daemons, sent or not
    :ivar loop_delay_s: time for which a turn of the event loop held it, by cause
    """

    responses: Counter[tuple[str, str, str]] = field(default_factory=Counter)
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
    datagram_bytes: Histogram = field(
        default_factory=lambda: Histogram(
            "godwitpath.gateway.peers.datagram.size",
            "By",
            "Sizes of datagrams to other daemons: do they fit?",
            DATAGRAM_BOUNDS_BYTES,
        )
    )
    loop_delay_s: Histogram = field(
        default_factory=lambda: Histogram(
            "godwitpath.gateway.loop.delay",
            "s",
            "Time for which a turn of the event loop held it, by cause: does own work delay all?",
            LOOP_DELAY_BOUNDS_S,
        )
    )
