"""What the choice of an engine sees of each engine."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from godwitpath.ports.engine import LoadReport

PREFILL_TOKENS_PER_S = 16_000.0
"""Prompt tokens an engine computes in a second, until its own rate is learned."""

BETWEEN_TOKENS_S = 0.03
"""Time between two tokens, until the engine's own is learned."""


class UpstreamFacts(Protocol):
    """The facts of an upstream that the views are made of."""

    @property
    def upstream_id(self) -> str:
        """Name of the upstream."""

    @property
    def region(self) -> str:
        """Region of its instance."""

    @property
    def availability_zone(self) -> str:
        """Availability zone of its instance."""

    @property
    def price_per_h(self) -> float:
        """Price of an hour of its instance."""


class HeldPrefixes(Protocol):
    """Knowledge of the prefixes that an engine has in its cache."""

    def depth(self, blocks: Sequence[str]) -> int:
        """Return how many leading blocks the engine probably holds."""


@dataclass(slots=True)
class EngineView:
    """One engine as a decision sees it.

    :ivar load: latest load report, which lags; None when there was none
    :ivar own_tokens: own prompt tokens at the engine whose first token has not come
    :ivar own_running: own calls in progress
    :ivar other_tokens: prompt tokens of others that wait there, as estimated
    :ivar other_running: calls of others in progress, as estimated
    :ivar started_at_s: when the engine was first seen, on the loop's clock
    :ivar ejected: whether it is left out for its failures
    :ivar prefill_tokens_per_s: learned rate of computing prompts
    :ivar between_tokens_s: learned time between tokens with the present batch
    :ivar between_per_call_s: growth of the time between tokens with one more call
    :ivar batch_limit: calls that fit in the engine's batch, 0 until it was seen full
    :ivar call_s: time that a call spends in the batch
    :ivar excess_s: how much later than predicted the first token came lately, by priority level
    :ivar held: prefixes it probably holds, None when nothing is known
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
    started_at_s: float = 0.0
    ejected: bool = False
    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
    between_tokens_s: float = BETWEEN_TOKENS_S
    between_per_call_s: float = 0.0
    batch_limit: float = 0.0
    call_s: float = 0.0
    excess_s: Sequence[float] = (0.0, 0.0, 0.0)
    held: HeldPrefixes | None = None

    @property
    def waiting_tokens(self) -> float:
        """Prompt tokens that wait at the engine, own and others'."""
        return self.own_tokens + self.other_tokens

    @property
    def running(self) -> float:
        """Calls in progress at the engine, own and others'."""
        return self.own_running + self.other_running

    @property
    def batch_share(self) -> float:
        """Part of the batch that is taken with one more call, 0 while its limit is not known."""
        return (self.running + 1.0) / self.batch_limit if self.batch_limit else 0.0

    @property
    def batch_wait_s(self) -> float:
        """Time until the batch has room for one more call."""
        if not self.batch_limit:
            return 0.0
        over = max(0.0, self.running + 1.0 - self.batch_limit)
        return over * self.call_s / self.batch_limit
