"""Outcomes and latencies of a load."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_HISTOGRAM_US = 600_000_000


def new_histogram() -> Any:
    """Return an empty histogram of durations in microseconds."""
    return HdrHistogram(1, MAX_HISTOGRAM_US, 3)


@dataclass(slots=True)
class CallOutcome:
    """Outcome of one request as its caller saw it.

    :ivar key: idempotency key
    :ivar kind: `generation` or `plain`
    :ivar state: `completed`, `refused` (not executed), `unknown` (refused, may have been executed)
        or `lost` (every other request without a complete response)
    :ivar accepted: whether an entry responded with status 200
    :ivar attempts: number of attempts, including the first
    :ivar wrong: whether the response belonged to another request or was incomplete
    :ivar detail: last error, or the difference between a wrong response and the expected one
    :ivar failed_attempts: URL of each failed attempt, its duration and its error
    """

    key: str
    kind: str
    state: str = "lost"
    accepted: bool = False
    attempts: int = 0
    wrong: bool = False
    detail: str = ""
    failed_attempts: list[str] = field(default_factory=list)


@dataclass(slots=True)
class LoadResult:
    """Outcomes of all requests of a load, and latency histograms in microseconds.

    :ivar first_token_us: time from the start of a request to its first text
    :ivar between_tokens_us: time between events with text
    :ivar plain_us: time of completed plain calls, retries included
    :ivar refusals: number of refused attempts by error code
    :ivar errors: number of attempts that failed with an exception, by exception name
    :ivar tokens: tokens received by all generations
    """

    outcomes: list[CallOutcome] = field(default_factory=list)
    first_token_us: Any = field(default_factory=new_histogram)
    between_tokens_us: Any = field(default_factory=new_histogram)
    plain_us: Any = field(default_factory=new_histogram)
    refusals: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    tokens: int = 0
    duration_s: float = 0.0

    def count(self, kind: str, state: str) -> int:
        """Return the number of requests of a kind that ended in a state."""
        return sum(1 for item in self.outcomes if (item.kind, item.state) == (kind, state))

    @property
    def failed_attempts(self) -> list[str]:
        """URL of each failed attempt of all requests, its duration and its error."""
        return [attempt for item in self.outcomes for attempt in item.failed_attempts]

    @property
    def accepted(self) -> int:
        """Number of requests that an entry accepted."""
        return sum(1 for item in self.outcomes if item.accepted)

    @property
    def lost(self) -> list[CallOutcome]:
        """Accepted requests that were not completed."""
        unfinished = ("lost", "refused", "unknown")
        return [item for item in self.outcomes if item.accepted and item.state in unfinished]

    @property
    def wrong(self) -> list[CallOutcome]:
        """Requests with a response that belonged to another request or was incomplete."""
        return [item for item in self.outcomes if item.wrong]

    def ran_twice(self, executions: dict[str, int]) -> list[str]:
        """Return the keys that were executed more than once.

        :param executions: number of executions by key, counted by the plain service
        """
        return [key for key, count in executions.items() if count > 1]

    def completed_without_run(self, executions: dict[str, int]) -> list[str]:
        """Return the keys of completed plain calls that the service never executed."""
        completed = (i for i in self.outcomes if (i.kind, i.state) == ("plain", "completed"))
        return [item.key for item in completed if executions.get(item.key, 0) == 0]

    def ran_though_refused(self, executions: dict[str, int]) -> list[str]:
        """Return the keys that were executed although the last response said that they were not."""
        refused = (item for item in self.outcomes if item.state == "refused")
        return [item.key for item in refused if executions.get(item.key, 0) > 0]


def milliseconds(histogram: Any, percentile: float) -> float:
    """Return a percentile, in milliseconds, of a histogram in microseconds."""
    return float(histogram.get_value_at_percentile(percentile)) / 1000.0
