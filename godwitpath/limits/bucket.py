"""Token buckets of one account at one entry, filled at a share of the written limit."""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.config.model import Account


@dataclass(slots=True)
class Bucket:
    """What may be used at once.

    :ivar level: what is left; below zero after a call larger than it
    """

    level: float = 0.0

    def fill(self, amount: float, capacity: float) -> None:
        """Add an amount, up to a capacity."""
        self.level = min(self.level + amount, capacity)


@dataclass(slots=True)
class AccountBuckets:
    """The buckets of calls and of tokens.

    A call may take more tokens than are left, as long as some are; it is paid back before the
    next call. Calls larger than an entry's bucket would otherwise never pass.
    """

    calls: Bucket
    tokens: Bucket

    @classmethod
    def full(cls, spec: Account, share: float) -> AccountBuckets:
        """Return buckets filled to a share's capacity."""
        calls = Bucket(call_capacity(spec, share))
        return cls(calls, Bucket(token_capacity(spec, share)))

    def fill(self, spec: Account, share_s: float, share: float) -> None:
        """Fill both.

        :param share_s: share of the limit summed over the time since they were filled last
        :param share: share of the limit now
        """
        self.calls.fill(spec.requests_per_s * share_s, call_capacity(spec, share))
        self.tokens.fill(spec.tokens_per_s * share_s, token_capacity(spec, share))

    def wait_s(self, spec: Account, share: float) -> float:
        """Return the time until a call would pass, 0 when it passes now."""
        if self.calls.level >= 1.0 and self.tokens.level > 0.0:
            return 0.0
        share = max(share, 1e-6)
        calls_s = (1.0 - self.calls.level) / (spec.requests_per_s * share)
        tokens_s = (1.0 - self.tokens.level) / (spec.tokens_per_s * share)
        return max(calls_s, tokens_s, 0.0)

    def take(self, tokens: int) -> None:
        """Take a call with its tokens."""
        self.calls.level -= 1.0
        self.tokens.level -= tokens


def call_capacity(spec: Account, share: float) -> float:
    """Return how many calls may come at once; one call may always come."""
    return max(1.0, spec.requests_per_s * spec.burst_s * share)


def token_capacity(spec: Account, share: float) -> float:
    """Return how many tokens may come at once."""
    return max(1.0, spec.tokens_per_s * spec.burst_s * share)
