"""Promises made to refused callers: when to come back, booked against predicted capacity."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

BOOKED_SHARES = (0.5, 0.2, 0.1)
"""Part of the calls finished in a second that is promised to each priority level."""

GRACE_S = 2.0
"""How long after its time room is held for a promise."""

EARLY_S = 0.25
"""How long before its time a caller who comes back is taken as the promised one."""

SLOT_S = 0.5
"""Length of the slots in which the promises that fall due are counted."""

EXPIRY_INTERVAL_S = 1.0
"""Time between two looks for promises whose callers did not come."""

MAX_PROMISES = 8192
"""Most promises remembered."""

MIN_PER_S = 0.05
"""Least rate that is booked against."""


@dataclass(slots=True, frozen=True)
class Promise:
    """A time at which a refused call will be admitted.

    :ivar digest: digest of account and call, the same when the caller comes back
    :ivar due_s: when, on the loop's clock
    """

    digest: str
    due_s: float


@dataclass(slots=True)
class PromiseNews:
    """What peers have not been told yet.

    :ivar made: new promises
    :ivar redeemed: digests of promises whose callers came
    """

    made: list[Promise] = field(default_factory=list)
    redeemed: list[str] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.made or self.redeemed)


class PromiseBook:
    """Promises of this entry and, as far as heard, of its peers."""

    def __init__(self) -> None:
        self.made = 0
        self.redeemed = 0
        self.expired = 0
        self._due: dict[str, float] = {}
        self._next_expiry_s = 0.0
        self._slots: Counter[int] = Counter()
        self._next_free_s = [0.0] * len(BOOKED_SHARES)
        self._news = PromiseNews()

    def __len__(self) -> int:
        return len(self._due)

    def book(self, digest: str, priority: int, per_s: float, now_s: float) -> int:
        """Book the next free time of a priority level and return the whole seconds until then.

        :param per_s: calls that this entry finishes in a second, as predicted
        """
        known = self._due.get(digest)
        if known is not None and known > now_s:
            return math.ceil(known - now_s)
        level = min(priority, len(BOOKED_SHARES) - 1)
        interval_s = 1.0 / max(per_s * BOOKED_SHARES[level], MIN_PER_S)
        free_s = max(self._next_free_s[level], now_s + interval_s)
        self._next_free_s[level] = free_s + interval_s
        retry_after_s = max(1, math.ceil(free_s - now_s))
        promise = Promise(digest, now_s + retry_after_s)
        self.made += 1
        self.learn([promise])
        self._news.made.append(promise)
        return retry_after_s

    def learn(self, promises: Iterable[Promise]) -> None:
        """Take in promises, of this entry or of peers; beyond the bound they are dropped."""
        for promise in promises:
            if len(self._due) >= MAX_PROMISES:
                return
            self._drop(promise.digest)
            self._due[promise.digest] = promise.due_s
            self._slots[_slot(promise.due_s)] += 1

    def redeem(self, digest: str, now_s: float) -> bool:
        """Return whether a call is a promised one whose time has come, and use the promise up."""
        due_s = self._due.get(digest)
        if due_s is None or now_s < due_s - EARLY_S:
            return False
        self._drop(digest)
        self._news.redeemed.append(digest)
        self.redeemed += 1
        return True

    def hear(self, news: PromiseNews) -> None:
        """Take in what a peer tells."""
        self.learn(news.made)
        for digest in news.redeemed:
            self._drop(digest)

    def falling_due(self, now_s: float) -> int:
        """Return how many promises fall due now; their callers may come at any moment."""
        slots = range(_slot(now_s - GRACE_S), _slot(now_s) + 2)
        return sum(self._slots.get(slot, 0) for slot in slots)

    def expire(self, now_s: float) -> None:
        """Drop the promises whose callers did not come, looked for once a second."""
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
        old = [digest for digest, due_s in self._due.items() if due_s < now_s - 2 * GRACE_S]
        for digest in old:
            self._drop(digest)
        self.expired += len(old)

    def take_news(self) -> PromiseNews:
        """Return what the peers have not been told, once."""
        news, self._news = self._news, PromiseNews()
        return news

    def _drop(self, digest: str) -> None:
        due_s = self._due.pop(digest, None)
        if due_s is None:
            return
        slot = _slot(due_s)
        self._slots[slot] -= 1
        if self._slots[slot] <= 0:
            del self._slots[slot]


def _slot(at_s: float) -> int:
    return math.floor(at_s / SLOT_S)
