"""What a load brought, as typed data."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_HISTOGRAM_US = 600_000_000


def new_histogram() -> Any:
    """Return a histogram of microseconds."""
    return HdrHistogram(1, MAX_HISTOGRAM_US, 3)


@dataclass(slots=True)
class CallOutcome:
    """What the caller of one request got.

    :ivar state: `completed`, `refused`, `unknown` or `lost` (accepted and not completed)
    :ivar accepted: whether any entry began to answer with success
    :ivar attempts: times that the caller came, the first included
    :ivar wrong: whether the answer was not the request's own, or not whole
    :ivar detail: the last error seen
    """

    key: str
    kind: str
    state: str = "lost"
    accepted: bool = False
    attempts: int = 0
    wrong: bool = False
    detail: str = ""


@dataclass(slots=True)
class LoadResult:
    """All outcomes of a load with its times in microseconds.

    :ivar refusals: refused attempts by reason
    :ivar errors: lost connections and other failures of attempts by name
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
        """Return how many requests of a kind ended in a state."""
        return sum(1 for item in self.outcomes if (item.kind, item.state) == (kind, state))

    @property
    def accepted(self) -> int:
        """Requests that an entry accepted."""
        return sum(1 for item in self.outcomes if item.accepted)

    @property
    def lost(self) -> list[CallOutcome]:
        """Accepted requests that were not completed."""
        unfinished = ("lost", "refused", "unknown")
        return [item for item in self.outcomes if item.accepted and item.state in unfinished]

    @property
    def wrong(self) -> list[CallOutcome]:
        """Requests that got an answer which was not their own, or not whole."""
        return [item for item in self.outcomes if item.wrong]

    def ran_twice(self, executions: dict[str, int]) -> list[str]:
        """Return the keys that ran more than once, by the plain service's own count."""
        return [key for key, count in executions.items() if count > 1]

    def completed_without_run(self, executions: dict[str, int]) -> list[str]:
        """Return the keys of calls that were answered and that the service never ran."""
        completed = (i for i in self.outcomes if (i.kind, i.state) == ("plain", "completed"))
        return [item.key for item in completed if executions.get(item.key, 0) == 0]

    def ran_though_refused(self, executions: dict[str, int]) -> list[str]:
        """Return the keys whose last answer said `not run` and that ran all the same."""
        refused = (item for item in self.outcomes if item.state == "refused")
        return [item.key for item in refused if executions.get(item.key, 0) > 0]


def milliseconds(histogram: Any, percentile: float) -> float:
    """Return a percentile of a histogram of microseconds in milliseconds."""
    return float(histogram.get_value_at_percentile(percentile)) / 1000.0
