"""The verdicts in force: which requests are refused, within bounds, and for how long."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from godwitpath.gateway.fingerprint import account_digest, is_fingerprint

PROMPT_QUARANTINE_S = 900.0
"""Time after the last request for a quarantined part at which the part is forgotten."""

REQUEST_QUARANTINE_S = 6 * 3600.0
"""The same for a quarantined request, which may be repeated at long intervals."""

MAX_VERDICTS = 64
"""Number of verdicts in force: callers choose what the subjects of their requests are."""


def quarantine_s(subjects: Iterable[str]) -> float:
    """Return the time in seconds without such a request after which a verdict ends."""
    return REQUEST_QUARANTINE_S if any(map(is_fingerprint, subjects)) else PROMPT_QUARANTINE_S


@dataclass(slots=True)
class Verdict:
    """Subjects whose requests are refused.

    :ivar subjects: a request is refused if it has all of them
    :ivar crashes: number of crashes that spoke for it
    :ivar since_s: time of the first of these crashes
    :ivar asked_at_s: time of the last request that was refused, at first that of the verdict
    """

    subjects: frozenset[str]
    crashes: int
    since_s: float
    asked_at_s: float

    @property
    def kind(self) -> str:
        """What is refused: copies of a `request`, or each `prompt` with a part."""
        return "request" if any(map(is_fingerprint, self.subjects)) else "prompt"

    @property
    def account(self) -> str:
        """Digest of the client account whose request is refused, empty for a part of prompts."""
        return max(map(account_digest, self.subjects))

    def has_expired(self, now_s: float) -> bool:
        """Return whether no such request has arrived for so long that it ends."""
        return now_s - self.asked_at_s >= quarantine_s(self.subjects)


class Verdicts:
    """The verdicts in force, none of which covers another.

    :ivar revision: changes with each verdict that is added or removed
    """

    __slots__ = ("_by_subjects", "revision")

    def __init__(self) -> None:
        self._by_subjects: dict[frozenset[str], Verdict] = {}
        self.revision = 0

    def __iter__(self) -> Iterator[Verdict]:
        return iter(list(self._by_subjects.values()))

    def __len__(self) -> int:
        return len(self._by_subjects)

    def __contains__(self, verdict: Verdict) -> bool:
        return self._by_subjects.get(verdict.subjects) is verdict

    def find(self, subjects: Iterable[str]) -> Verdict | None:
        """Return the verdict under which a request with these subjects is refused, None if none."""
        if not self._by_subjects:
            return None
        requested = set(subjects)
        return next((each for each in self if each.subjects <= requested), None)

    def add(self, verdict: Verdict) -> Verdict | None:
        """Add a verdict, in place of those that it covers.

        :returns: the verdict, None if a known one covers it
        """
        for known in self:
            if known.subjects <= verdict.subjects:
                known.asked_at_s = max(known.asked_at_s, verdict.asked_at_s)
                return None
            if verdict.subjects < known.subjects:
                self.remove(known)
        if len(self) >= MAX_VERDICTS:
            self.remove(self._least_needed())
        self._by_subjects[verdict.subjects] = verdict
        self.revision += 1
        return verdict

    def remove(self, verdict: Verdict) -> None:
        """Remove a verdict."""
        del self._by_subjects[verdict.subjects]
        self.revision += 1

    def drop_expired(self, now_s: float) -> list[Verdict]:
        """Drop the verdicts that have expired, and return them."""
        expired = [each for each in self if each.has_expired(now_s)]
        for verdict in expired:
            self.remove(verdict)
        return expired

    def _least_needed(self) -> Verdict:
        """Return the verdict to drop when there are too many.

        It is one of the account with most of them, so that no caller can displace the verdicts on
        the requests of others.
        """
        counts = Counter(verdict.account for verdict in self)
        return min(self, key=lambda each: (-counts[each.account], each.asked_at_s))
