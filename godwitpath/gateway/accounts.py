"""Recognises API keys and holds client accounts to their quota over all daemons.

Each daemon keeps the whole bucket of each account. It takes its own requests from it at once and
the other daemons' as they tell of them, so the sum passes the quota only by what was in flight.
A daemon that hears of no other keeps to a share of the rate.
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

NEWS_S = 0.6
"""Time until the other daemons have heard of a use: one and a half reports."""

OFFER_S = 2.0
"""Time over which it is measured what an account asks of this daemon."""

TELL_SHARE = 0.1
"""Part of an account's burst whose use is told to the other daemons at once."""

_SALT = secrets.token_bytes(16)


def _digest(key: bytes) -> bytes:
    # Looking up a salted digest takes no time that depends on the secret keys.
    return hashlib.blake2b(key, key=_SALT, digest_size=16).digest()


class KeyIndex:
    """The accounts by their API keys."""

    def __init__(self, accounts: Iterable[AccountSpec]) -> None:
        self._accounts = {
            _digest(key.encode()): account for account in accounts for key in account.keys
        }

    def find(self, key: bytes) -> AccountSpec | None:
        """Return the account that holds a key."""
        return self._accounts.get(_digest(key)) if key else None

    def __bool__(self) -> bool:
        return bool(self._accounts)


@dataclass(slots=True)
class _Bucket:
    """What is left of an account's quota.

    :ivar offered: units asked of this daemon lately, those it refused included
    :ivar passed: units that it let through lately
    :ivar told: units that the other daemons let through lately
    """

    level: float
    filled_at_s: float
    spec: AccountSpec
    offered: float = 0.0
    passed: float = 0.0
    told: float = 0.0

    def unheard(self, units: float) -> float:
        """Return the units that the others let pass before this daemon hears of it, at most.

        They are asked for what they let pass and, as far as can be seen here, for as many times
        that as this daemon is.
        """
        refused = (self.offered + units) / (self.passed + units)
        return self.told / OFFER_S * refused * NEWS_S


class QuotaBook:
    """Buckets of the accounts as this daemon sees them.

    :param window_s: time in which use is counted together, and for which an account pays back what
        passed before daemons heard of it
    :ivar used: units that this daemon has let through, by account, since its start
    :ivar urgent: set when a use is large enough to be told at once
    """

    def __init__(self, rng: Random, window_s: float) -> None:
        self._rng = rng
        self._window_s = window_s
        self.used: dict[str, float] = {}
        self.urgent = asyncio.Event()
        self._untold: dict[str, float] = {}
        self._buckets: dict[str, _Bucket] = {}

    def take(self, spec: AccountSpec, units: float, share: float, now_s: float) -> float:
        """Take a request from its account's quota.

        A request passes while the bucket is not empty and may take it below zero, since one that
        is larger than the burst would otherwise never pass. Where all daemons together would let
        more pass than is left before they hear of one another, each lets its part pass at random.

        :param share: part of the rate that this daemon may use by itself, 1 while it hears of
            what the others use
        :returns: 0 when the request passes, else the time until one would, in seconds
        """
        if spec.rate_per_s <= 0:
            return 0.0
        bucket = self._fill(spec, share, now_s)
        bucket.offered += units
        if bucket.level <= 0.0:
            return max(0.001, -bucket.level / (spec.rate_per_s * share))
        unheard = bucket.unheard(units)
        if unheard > bucket.level and self._rng.random() * unheard > bucket.level:
            return NEWS_S
        bucket.passed += units
        bucket.level -= units
        self.used[spec.name] = self.used.get(spec.name, 0.0) + units
        untold = self._untold[spec.name] = self._untold.get(spec.name, 0.0) + units
        if untold >= TELL_SHARE * spec.burst and bucket.level < spec.burst / 2:
            self.urgent.set()
        return 0.0

    def levels(self) -> dict[str, int]:
        """Return the units left in the bucket of each account, as of its last request."""
        return {name: int(bucket.level) for name, bucket in self._buckets.items()}

    def told(self) -> None:
        """Note that the other daemons were told of all use."""
        self._untold.clear()
        self.urgent.clear()

    def give_back(self, spec: AccountSpec, units: float) -> None:
        """Return the units of a request that did not run."""
        bucket = self._buckets.get(spec.name)
        if bucket is None or spec.rate_per_s <= 0:
            return
        bucket.level = min(spec.burst, bucket.level + units)
        self.used[spec.name] = self.used.get(spec.name, 0.0) - units

    def note_peer_use(self, account: str, units: float) -> None:
        """Take what another daemon let through."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            level = max(bucket.level - units, -bucket.spec.rate_per_s * self._window_s)
            bucket.level = min(level, bucket.spec.burst)
            bucket.told += max(0.0, units)

    def _fill(self, spec: AccountSpec, share: float, now_s: float) -> _Bucket:
        bucket = self._buckets.get(spec.name)
        if bucket is None:
            bucket = self._buckets[spec.name] = _Bucket(spec.burst * share, now_s, spec)
        elapsed_s = max(0.0, now_s - bucket.filled_at_s)
        bucket.filled_at_s = now_s
        kept = math.exp(-elapsed_s / OFFER_S)
        bucket.offered *= kept
        bucket.passed *= kept
        bucket.told *= kept
        bucket.spec = spec
        level = bucket.level + elapsed_s * spec.rate_per_s * share
        bucket.level = min(level, max(spec.burst * share, 1.0))
        return bucket


def request_units(spec: AccountSpec, states_tokens: bool, tokens: int) -> float:
    """Return what a request counts as.

    :param tokens: prompt tokens and most output tokens, as the request states them
    """
    if not spec.counts_tokens:
        return 1.0
    return float(tokens if states_tokens else spec.plain_tokens)
