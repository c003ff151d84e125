"""Authenticates API keys and enforces the quotas of client accounts over all daemons.

A quota counts units: requests or tokens, as configured for the account. Each daemon keeps a full
token bucket for each account, which starts at the level that the other daemons report. It subtracts
the units of its own requests at once and those of other daemons when they report them, so all
daemons together exceed the quota only by the use that was not yet reported. A daemon that receives
no reports limits itself to a share of the account's rate.
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
"""Time from the use of quota at one daemon until all other daemons have received its report: 1.5
report intervals."""

AVERAGING_TIME_S = 2.0
"""Time constant of the decaying counts of an account's requested and admitted units."""

URGENT_BURST_SHARE = 0.1
"""Unreported use, as a share of an account's burst, that is reported to the other daemons at
once."""

START_EXCESS_SHARE = 0.5
"""Share of the allowed excess over a quota that the burst may take which daemons grant after a
restart of them all; the rest is for use that is not yet reported."""

_SALT = secrets.token_bytes(16)


def _key_hash(key: bytes) -> bytes:
    # The duration of a lookup by salted hash discloses nothing about the secret keys.
    return hashlib.blake2b(key, key=_SALT, digest_size=16).digest()


class KeyIndex:
    """Index of the accounts by API key."""

    def __init__(self, accounts: Iterable[AccountSpec]) -> None:
        self._accounts = {
            _key_hash(key.encode()): account for account in accounts for key in account.keys
        }

    def find(self, key: bytes) -> AccountSpec | None:
        """Return the account of an API key, or None for an unknown key."""
        return self._accounts.get(_key_hash(key)) if key else None

    def __bool__(self) -> bool:
        return bool(self._accounts)


@dataclass(slots=True)
class _Bucket:
    """Token bucket of an account.

    The counts of requested, admitted and peer-admitted units decay exponentially with the time
    constant `AVERAGING_TIME_S`.

    :ivar level: units left; negative when more was used than the bucket held
    :ivar refilled_at_s: loop time of the last refill
    :ivar requested: units requested from this daemon, including units of refused requests
    :ivar admitted: units admitted by this daemon
    :ivar peer_admitted: units admitted by the other daemons, as they reported them
    :ivar level_known: whether the level is a full bucket's, or follows from what another daemon
        reported
    """

    level: float
    refilled_at_s: float
    spec: AccountSpec
    level_known: bool
    requested: float = 0.0
    admitted: float = 0.0
    peer_admitted: float = 0.0

    def unreported_units(self, units: float) -> float:
        """Estimate the most units that other daemons admit before their reports arrive here.

        The other daemons are assumed to have the same ratio of requested to admitted units as this
        daemon, and might admit all units that are requested from them.

        :param units: units of the request that this daemon is about to decide on
        """
        request_ratio = (self.requested + units) / (self.admitted + units)
        return self.peer_admitted / AVERAGING_TIME_S * request_ratio * REPORT_DELAY_S


class QuotaTracker:
    """Holds this daemon's token bucket of each account.

    :param window_s: quota window; an account's debt from late reports is limited to the rate times
        this window
    :param overage: fraction by which the daemons together may exceed a quota in a window
    :param slack: units by which they may exceed it in addition
    :param started_at_s: loop time at which the daemon started
    :ivar used: units that this daemon has admitted since its start, by account
    :ivar urgent: set when unreported use is large enough to be reported at once
    """

    def __init__(
        self,
        rng: Random,
        window_s: float,
        overage: float = 0.0,
        slack: float = math.inf,
        started_at_s: float = 0.0,
    ) -> None:
        self._rng = rng
        self._window_s = window_s
        self._overage = overage
        self._slack = slack
        self._started_at_s = started_at_s
        self.used: dict[str, float] = {}
        self.urgent = asyncio.Event()
        self._unreported: dict[str, float] = {}
        self._buckets: dict[str, _Bucket] = {}

    def take(self, spec: AccountSpec, units: float, rate_share: float, now_s: float) -> float:
        """Take a request's units from the quota of its account.

        A request is admitted while the bucket is not empty, and may make its level negative,
        because a request larger than the burst would otherwise never be admitted. If the daemons
        together could admit more units than are left before they receive each other's reports,
        each daemon admits requests at random, with a probability in proportion to the units left.

        :param rate_share: share of the account's rate for this daemon and the daemons whose reports
            it receives; 1 while it receives the reports of all daemons
        :returns: 0 if the request is admitted, else the time until a request would be, in seconds
        """
        if spec.rate_per_s <= 0:
            return 0.0
        bucket = self._refill(spec, rate_share, now_s)
        bucket.requested += units
        if bucket.level <= 0.0:
            return max(0.001, -bucket.level / (spec.rate_per_s * rate_share))
        peer_unreported_units = bucket.unreported_units(units)
        if (
            peer_unreported_units > bucket.level
            and self._rng.random() * peer_unreported_units > bucket.level
        ):
            return REPORT_DELAY_S
        bucket.admitted += units
        bucket.level -= units
        self.used[spec.name] = self.used.get(spec.name, 0.0) + units
        unreported = self._unreported[spec.name] = self._unreported.get(spec.name, 0.0) + units
        if unreported >= URGENT_BURST_SHARE * spec.burst and bucket.level < spec.burst / 2:
            self.urgent.set()
        return 0.0

    def __contains__(self, account: str) -> bool:
        """Return whether the level of an account's bucket is known."""
        bucket = self._buckets.get(account)
        return bucket is not None and bucket.level_known

    def levels(self) -> dict[str, int]:
        """Return the units left in the bucket of each account at the time of its last request."""
        return {name: int(bucket.level) for name, bucket in self._buckets.items()}

    def mark_reported(self) -> None:
        """Record that this daemon has reported all its use to the other daemons."""
        self._unreported.clear()
        self.urgent.clear()

    def refund(self, spec: AccountSpec, units: float) -> None:
        """Put the units of a request that did not run back into the bucket of its account."""
        bucket = self._buckets.get(spec.name)
        if bucket is None or spec.rate_per_s <= 0:
            return
        bucket.level = min(spec.burst, bucket.level + units)
        self.used[spec.name] = self.used.get(spec.name, 0.0) - units

    def note_peer_use(self, account: str, units: float, rate_share: float, now_s: float) -> None:
        """Subtract units that another daemon has admitted from the bucket of an account."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            # Refilled first: the debt is limited, and would else be too small after a long time.
            self._refill(bucket.spec, rate_share, now_s)
            level = max(bucket.level - units, -bucket.spec.rate_per_s * self._window_s)
            bucket.level = min(level, bucket.spec.burst)
            bucket.peer_admitted += max(0.0, units)

    def note_peer_level(
        self, spec: AccountSpec, level: float, rate_share: float, now_s: float
    ) -> None:
        """Set the bucket of an account to the level that another daemon reported.

        A daemon that has just started, or has had no request of the account, would else admit the
        whole burst again. A bucket whose level is known is not changed: it counts the use of all
        daemons.
        """
        if spec.rate_per_s <= 0 or spec.name in self:
            return
        begun = spec.name in self._buckets
        bucket = self._refill(spec, rate_share, now_s)
        reported_level = min(level - self.used.get(spec.name, 0.0), spec.burst * rate_share)
        if begun:
            bucket.level = max(bucket.level, reported_level)
        else:
            bucket.level = reported_level
        bucket.level_known = True

    def _start_level(self, spec: AccountSpec, now_s: float) -> float:
        """Return the units of an account that all daemons together grant after their start.

        Without other daemons' reports nothing says how much was used before. The burst that is
        granted once more keeps to the allowed excess, and the rest of it comes at the rate.
        """
        excess = self._overage * (spec.rate_per_s * self._window_s + spec.burst) + self._slack
        refilled = spec.rate_per_s * (now_s - self._started_at_s)
        return min(spec.burst, max(1.0, START_EXCESS_SHARE * excess) + refilled)

    def _refill(self, spec: AccountSpec, rate_share: float, now_s: float) -> _Bucket:
        bucket = self._buckets.get(spec.name)
        if bucket is None:
            level = self._start_level(spec, now_s)
            known = level >= spec.burst
            bucket = _Bucket(level * rate_share, now_s, spec, known)
            self._buckets[spec.name] = bucket
        elapsed_s = max(0.0, now_s - bucket.refilled_at_s)
        bucket.refilled_at_s = now_s
        decay = math.exp(-elapsed_s / AVERAGING_TIME_S)
        bucket.requested *= decay
        bucket.admitted *= decay
        bucket.peer_admitted *= decay
        bucket.spec = spec
        level = bucket.level + elapsed_s * spec.rate_per_s * rate_share
        bucket.level = min(level, max(spec.burst * rate_share, 1.0))
        return bucket


def request_units(spec: AccountSpec, has_token_counts: bool, tokens: int) -> float:
    """Return the quota units of a request.

    :param has_token_counts: whether the request states its numbers of tokens
    :param tokens: sum of the stated prompt tokens and maximum output tokens
    """
    if not spec.counts_tokens:
        return 1.0
    return float(tokens if has_token_counts else spec.plain_tokens)
