"""The work that one entry sees, by service and region, for its reports."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from godwitpath.capacity.reports import DemandReport

WINDOW_S = 10.0
"""Time over which the rates are taken."""


@dataclass(slots=True, frozen=True)
class _Request:
    at_s: float
    computed_tokens: int
    generated_tokens: int


@dataclass(slots=True)
class DemandMeter:
    """Rates over the last seconds.

    :ivar last: requests of the window by service and region
    """

    last: dict[tuple[str, str], deque[_Request]] = field(default_factory=dict)

    def note(self, service: str, region: str, computed_tokens: int, generated_tokens: int) -> None:
        """Note a request that ended or was refused for want of capacity.

        :param region: region whose engines did the work, or should have
        """
        request = _Request(_now_s(), computed_tokens, generated_tokens)
        self.last.setdefault((service, region), deque()).append(request)

    def report(self, service: str, region: str) -> DemandReport:
        """Return the rates of a service in a region, zero without requests."""
        requests = self.last.get((service, region), deque())
        while requests and requests[0].at_s < _now_s() - WINDOW_S:
            requests.popleft()
        return DemandReport(
            service,
            region,
            len(requests) / WINDOW_S,
            sum(each.computed_tokens for each in requests) / WINDOW_S,
            sum(each.generated_tokens for each in requests) / WINDOW_S,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
