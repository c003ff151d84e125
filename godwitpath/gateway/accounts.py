"""Authenticates API keys and enforces the quotas of client accounts over all daemons.

Each daemon keeps a full token bucket for each account. It subtracts its own requests at once and
the requests of other daemons when they report them, so the total exceeds the quota only by the
use that was not yet reported. A daemon that receives no reports limits itself to a share of the
rate.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from godwitpath.gateway.model import AccountSpec

REPORT_DELAY_S = 0.6
"""Time until the other daemons have received a report of a use: 1.5 report intervals."""

AVERAGING_TIME_S = 2.0
"""Time constant of the averages of an account's requests."""

URGENT_BURST_SHARE = 0.1
"""Share of an account's burst that is reported to the other daemons at once when used."""

_SALT = secrets.token_bytes(16)


def _digest(key: bytes) -> bytes:
    # A lookup by salted digest leaks nothing about the secret keys through its timing.
    return hashlib.blake2b(key, key=_SALT, digest_size=16).digest()


class KeyIndex:
    """Index of the accounts by API key."""

    def __init__(self, accounts: Iterable[AccountSpec]) -> None:
        self._accounts = {
            _digest(key.encode()): account for account in accounts for key in account.keys
        }

    def find(self, key: bytes) -> AccountSpec | None:
        """Return the account of an API key, or None for an unknown key."""
        return self._accounts.get(_digest(key)) if key else None

    def __bool__(self) -> bool:
        return bool(self._accounts)


@dataclass(slots=True)
class _Bucket:
    """Token bucket of an account.

    The three counts decay exponentially with the time constant `AVERAGING_TIME_S`.

    :ivar level: units left; negative when more was used than the bucket held
    :ivar refilled_at_s: time of the last refill
    :ivar requested: units requested from this daemon, including refused ones
    :ivar admitted: units admitted by this daemon
    :ivar peer_admitted: units admitted by the other daemons, as they reported them
    """

    level: float
    refilled_at_s: float
    spec: AccountSpec
    requested: float = 0.0
    admitted: float = 0.0
    peer_admitted: float = 0.0

    def unreported_units(self, units: float) -> float:
        """Return an upper bound of the units that other daemons admit before they report them.

        The other daemons are assumed to receive the same ratio of requested to admitted units as
        this daemon.
        """
        request_ratio = (self.requested + units) / (self.admitted + units)
        return self.peer_admitted / AVERAGING_TIME_S * request_ratio * REPORT_DELAY_S


class QuotaTracker:
    """This daemon's token bucket of each account.

    :param window_s: quota window; an account's debt from late reports is limited to the rate times
        this window
    :ivar used: units that this daemon has admitted since its start, by account
    :ivar urgent: set when unreported use is large enough to be reported at once
    """

    def __init__(self, rng: Random, window_s: float) -> None:
        self._rng = rng
        self._window_s = window_s
        self.used: dict[str, float] = {}
        self.urgent = asyncio.Event()
        self._unreported: dict[str, float] = {}
        self._buckets: dict[str, _Bucket] = {}

    def take(self, spec: AccountSpec, units: float, share: float, now_s: float) -> float:
        """Take a request's units from the quota of its account.

        A request is admitted while the bucket is not empty, and may make it negative, because a
        request larger than the burst would otherwise never be admitted. If all daemons together
        could admit more than is left before they receive each other's reports, each daemon admits
        requests at random in proportion to what is left.

        :param share: share of the rate that this daemon may use, 1 while it receives the reports
            of the other daemons
        :returns: 0 if the request is admitted, else the time until a request would be, in seconds
        """
        if spec.rate_per_s <= 0:
            return 0.0
        bucket = self._refill(spec, share, now_s)
        bucket.requested += units
        if bucket.level <= 0.0:
            return max(0.001, -bucket.level / (spec.rate_per_s * share))
        peer_unreported = bucket.unreported_units(units)
        if peer_unreported > bucket.level and self._rng.random() * peer_unreported > bucket.level:
            return REPORT_DELAY_S
        bucket.admitted += units
        bucket.level -= units
        self.used[spec.name] = self.used.get(spec.name, 0.0) + units
        unreported = self._unreported[spec.name] = self._unreported.get(spec.name, 0.0) + units
        if unreported >= URGENT_BURST_SHARE * spec.burst and bucket.level < spec.burst / 2:
            self.urgent.set()
        return 0.0

    def levels(self) -> dict[str, int]:
        """Return the units left in the bucket of each account at the time of its last request."""
        return {name: int(bucket.level) for name, bucket in self._buckets.items()}

    def mark_reported(self) -> None:
        """Record that all use was reported to the other daemons."""
        self._unreported.clear()
        self.urgent.clear()

    def refund(self, spec: AccountSpec, units: float) -> None:
        """Put back the units of a request that did not run."""
        bucket = self._buckets.get(spec.name)
        if bucket is None or spec.rate_per_s <= 0:
            return
        bucket.level = min(spec.burst, bucket.level + units)
        self.used[spec.name] = self.used.get(spec.name, 0.0) - units

    def note_peer_use(self, account: str, units: float) -> None:
        """Subtract the units that another daemon admitted."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            level = max(bucket.level - units, -bucket.spec.rate_per_s * self._window_s)
            bucket.level = min(level, bucket.spec.burst)
            bucket.peer_admitted += max(0.0, units)

    def _refill(self, spec: AccountSpec, share: float, now_s: float) -> _Bucket:
        bucket = self._buckets.get(spec.name)
        if bucket is None:
            bucket = self._buckets[spec.name] = _Bucket(spec.burst * share, now_s, spec)
        elapsed_s = max(0.0, now_s - bucket.refilled_at_s)
        bucket.refilled_at_s = now_s
        decay = math.exp(-elapsed_s / AVERAGING_TIME_S)
        bucket.requested *= decay
        bucket.admitted *= decay
        bucket.peer_admitted *= decay
        bucket.spec = spec
        level = bucket.level + elapsed_s * spec.rate_per_s * share
        bucket.level = min(level, max(spec.burst * share, 1.0))
        return bucket


def request_units(spec: AccountSpec, states_tokens: bool, tokens: int) -> float:
    """Return the quota units of a request.

    :param states_tokens: whether the request states its numbers of tokens
    :param tokens: sum of the stated prompt tokens and maximum output tokens
    """
    if not spec.counts_tokens:
        return 1.0
    return float(tokens if states_tokens else spec.plain_tokens)
