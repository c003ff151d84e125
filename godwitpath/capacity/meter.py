"""Load that one entry measures by service and region, for its demand reports."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from godwitpath.capacity.reports import DemandReport

WINDOW_S = 10.0
"""Length of the sliding window over which rates are averaged."""


@dataclass(slots=True, frozen=True)
class _RequestSample:
    recorded_at_s: float
    computed_tokens: int
    generated_tokens: int


@dataclass(slots=True)
class DemandMeter:
    """Measures request and token rates over a sliding window.

    :ivar recent: samples of the requests within the window, by service and region
    """

    recent: dict[tuple[str, str], deque[_RequestSample]] = field(default_factory=dict)

    def record(
        self, service: str, region: str, computed_tokens: int, generated_tokens: int
    ) -> None:
        """Record a request that ended or was refused for lack of capacity.

        :param region: region of the engines that served the request or would have served it
        :param computed_tokens: prompt tokens that were not in a KV cache
        :param generated_tokens: output tokens
        """
        sample = _RequestSample(_now_s(), computed_tokens, generated_tokens)
        self.recent.setdefault((service, region), deque()).append(sample)

    def report(self, service: str, region: str) -> DemandReport:
        """Return the demand report of a service in a region, with zero rates without requests."""
        samples = self.recent.get((service, region), deque())
        while samples and samples[0].recorded_at_s < _now_s() - WINDOW_S:
            samples.popleft()
        return DemandReport(
            service,
            region,
            len(samples) / WINDOW_S,
            sum(sample.computed_tokens for sample in samples) / WINDOW_S,
            sum(sample.generated_tokens for sample in samples) / WINDOW_S,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
