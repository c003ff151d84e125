"""Load and learned speed of an engine, as one entry sees them when it routes a call.

Own calls are those that this entry sent to the engine.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from godwitpath.ports.engine import LoadReport

DEFAULT_PREFILL_TOKENS_PER_S = 16_000.0
"""Prefill rate assumed for an engine until its rate is learned."""

DEFAULT_BETWEEN_TOKENS_S = 0.03
"""Time between two tokens of a response assumed for an engine until it is learned."""


class UpstreamFacts(Protocol):
    """Properties of an upstream that are copied into its view."""

    @property
    def upstream_id(self) -> str:
        """Name of the upstream."""

    @property
    def region(self) -> str:
        """Region of the upstream's instance."""

    @property
    def availability_zone(self) -> str:
        """Availability zone of the upstream's instance."""

    @property
    def price_per_h(self) -> float:
        """Hourly price of the upstream's instance."""


class CachedPrefixes(Protocol):
    """Estimate of the prefixes in an engine's KV cache."""

    def count_cached(self, blocks: Sequence[str]) -> int:
        """Return the number of leading blocks that the engine probably has cached."""


@dataclass(slots=True)
class EngineView:
    """One engine, as an entry sees it when it routes a call.

    :ivar load: latest load report, which may be outdated; None before the first report
    :ivar own_tokens: uncached prompt tokens of this entry's calls that wait for their first token
    :ivar own_running: calls of this entry in progress
    :ivar other_tokens: estimated waiting prompt tokens of other entries' calls
    :ivar other_running: estimated calls of other entries in progress
    :ivar first_seen_at_s: when the entry first saw the engine, on the event loop's clock
    :ivar ejected: whether the engine is ejected for its failures
    :ivar prefill_tokens_per_s: learned prefill rate of the engine
    :ivar between_tokens_s: learned time between tokens at the current batch size
    :ivar between_per_call_s: growth of the time between tokens with one more call
    :ivar batch_limit: calls that fit in the engine's batch, 0 while unknown
    :ivar batch_time_s: average time that a call spends in the batch
    :ivar lateness_s: recent delay of the first token beyond its prediction, by priority level
    :ivar cached_prefixes: prefixes that the engine probably has cached, None when unknown
    """

    upstream_id: str
    region: str = ""
    availability_zone: str = ""
    price_per_h: float = 0.0
    load: LoadReport | None = None
    own_tokens: int = 0
    own_running: int = 0
    other_tokens: float = 0.0
    other_running: float = 0.0
    first_seen_at_s: float = 0.0
    ejected: bool = False
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    between_tokens_s: float = DEFAULT_BETWEEN_TOKENS_S
    between_per_call_s: float = 0.0
    batch_limit: float = 0.0
    batch_time_s: float = 0.0
    lateness_s: Sequence[float] = (0.0, 0.0, 0.0)
    cached_prefixes: CachedPrefixes | None = None

    @property
    def waiting_tokens(self) -> float:
        """Prompt tokens that wait at the engine, of the calls of this and of other entries."""
        return self.own_tokens + self.other_tokens

    @property
    def running(self) -> float:
        """Calls in progress at the engine, of this entry and of other entries."""
        return self.own_running + self.other_running

    @property
    def batch_share(self) -> float:
        """Fraction of the batch in use with one more call, 0 while the batch limit is unknown."""
        return (self.running + 1.0) / self.batch_limit if self.batch_limit else 0.0

    @property
    def batch_wait_s(self) -> float:
        """Estimated time until one more call fits in the batch."""
        if not self.batch_limit:
            return 0.0
        excess_calls = max(0.0, self.running + 1.0 - self.batch_limit)
        return excess_calls * self.batch_time_s / self.batch_limit
