"""Token buckets of one account at one entry, refilled at a share of the configured limit.

The share is the fraction of the account's limit that the entry may use.
"""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.config.model import Account


@dataclass(slots=True)
class Bucket:
    """A token bucket, which counts either calls or language-model tokens.

    :ivar available: calls or tokens that may be used now; negative after a call with more tokens
        than were available
    """

    available: float = 0.0

    def fill(self, amount: float, capacity: float) -> None:
        """Add an amount, up to a capacity."""
        self.available = min(self.available + amount, capacity)


@dataclass(slots=True)
class AccountBuckets:
    """The bucket of calls and the bucket of tokens of an account.

    A call passes while the bucket of language-model tokens is not empty, even if the call has more
    tokens than are available, because a call with more tokens than the bucket's capacity would
    otherwise never pass. The next call passes only after a refill.
    """

    calls: Bucket
    tokens: Bucket

    @classmethod
    def full(cls, spec: Account, share: float) -> AccountBuckets:
        """Return buckets filled to their capacity."""
        calls = Bucket(call_capacity(spec, share))
        return cls(calls, Bucket(token_capacity(spec, share)))

    def fill(self, spec: Account, share_s: float, share: float) -> None:
        """Refill both buckets.

        :param share_s: integral of the share of the limit since the last refill, in seconds
        :param share: current share of the limit
        """
        self.calls.fill(spec.requests_per_s * share_s, call_capacity(spec, share))
        self.tokens.fill(spec.tokens_per_s * share_s, token_capacity(spec, share))

    def wait_s(self, spec: Account, share: float) -> float:
        """Return the time until a call would pass, 0 when a call would pass now."""
        if self.calls.available >= 1.0 and self.tokens.available > 0.0:
            return 0.0
        share = max(share, 1e-6)
        calls_s = (1.0 - self.calls.available) / (spec.requests_per_s * share)
        tokens_s = (1.0 - self.tokens.available) / (spec.tokens_per_s * share)
        return max(calls_s, tokens_s, 0.0)

    def take(self, tokens: int) -> None:
        """Take a call and its tokens from the buckets."""
        self.calls.available -= 1.0
        self.tokens.available -= tokens


def call_capacity(spec: Account, share: float) -> float:
    """Return the capacity of the bucket of calls, at least one call."""
    return max(1.0, spec.requests_per_s * spec.burst_s * share)


def token_capacity(spec: Account, share: float) -> float:
    """Return the capacity of the bucket of tokens, at least one token."""
    return max(1.0, spec.tokens_per_s * spec.burst_s * share)
