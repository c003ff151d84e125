"""Evidence about requests that crash engines: the crashes, and the responses that went well."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import chain, repeat

from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.fingerprint import is_fingerprint
from godwitpath.gateway.quarantine_report import Subjects

EVIDENCE_RETENTION_S = 600.0
"""Time for which a crash counts against parts of prompts."""

REQUEST_EVIDENCE_RETENTION_S = 6 * 3600.0
"""Time for which a crash counts against requests, which may be repeated at long intervals."""

REPORT_S = 1.6
"""Time for which a change is repeated in reports to the other daemons: four reports, of which
some may be lost."""

MAX_CRASHES = 256
"""Number of crashes that are remembered."""

MAX_REQUESTS_PER_CRASH = 128
"""Number of requests that are remembered of a crash."""

MAX_SUBJECTS_PER_CRASH = 6144
"""Number of subjects that are remembered of a crash: the longest prompts have some 4,000."""

MAX_ENTRIES_PER_CRASH = 32_768
"""The same, with each subject counted once for each request with it."""

MAX_FORGOTTEN = 8192
"""Number of subjects of expired crashes from which on the others are dropped at the next call."""

MAX_SUBJECTS = 131_072
"""Number of subjects, counted in each crash under them, that are remembered."""

NEWEST_CRASHES = 8
"""Number of the newest crashes under a subject that decide whether a success is reported."""

MAX_SUCCESSES = 8192
"""Number of parts of prompts, and of requests, of which it is remembered that a response went well:
callers choose both."""


@dataclass(slots=True)
class _Pieces:
    """The known parts of a request that counts once there are enough of them."""

    needed: int = 0
    subjects: dict[str, None] = field(default_factory=dict)


@dataclass(slots=True)
class Crash:
    """A crash of one incarnation of an engine.

    :ivar at_s: time of the crash
    :ivar learned_at_s: time at which its last request was learned
    :ivar requests: subjects of each request that the engine could have begun to answer, in the
        order in which they were learned; subjects that are learned later follow the known ones
    :ivar own_requests: numbers of the requests that this daemon had sent
    :ivar masks: which requests have a subject, bit n for the n-th request
    :ivar has_parts: whether one of the requests has a prompt with shared parts
    """

    at_s: float
    learned_at_s: float
    requests: list[Subjects] = field(default_factory=list)
    own_requests: set[int] = field(default_factory=set)
    masks: dict[str, int] = field(default_factory=dict)
    has_parts: bool = False
    _size: int = 0
    _numbers: dict[Subjects, int] = field(default_factory=dict)
    # Subjects of requests that are not known whole, by fingerprint.
    _pieces: dict[Subjects, _Pieces] = field(default_factory=dict)

    @property
    def extent(self) -> tuple[int, int]:
        """Number of requests, and of all their subjects: differs once more of them is known."""
        return len(self.requests), self._size

    def add(self, request: Subjects, own: bool, now_s: float, needed: int = 0) -> list[str]:
        """Add a request if there is room for it, or further subjects of a known one.

        :param needed: number of parts from which on the request counts, 0 if it is whole
        :returns: the subjects that no known request has
        """
        key = request[-1:] if is_fingerprint(request[-1]) else request
        number = self._numbers.get(key)
        if number is None:
            if needed:
                request = self._collect(key, request, needed)
            else:
                self._size -= len(self._pieces.pop(key, _Pieces()).subjects)
            has_room = bool(request) and self._has_room(request)
            return self._put(key, request, own, now_s) if has_room else []
        bit = 1 << number
        unknown = tuple(each for each in request if not self.masks.get(each, 0) & bit)
        if not unknown or not self._has_room(unknown):
            return []
        known = self.requests[number]
        self.requests[number] = (*known[:-1], *unknown, *known[-1:])
        self._size += len(unknown)
        return self._mark(unknown, bit, now_s)

    def _collect(self, key: Subjects, request: Subjects, needed: int) -> Subjects:
        """Add a piece of a request; returns the request once it is whole, nothing before."""
        pieces = self._pieces.setdefault(key, _Pieces())
        pieces.needed = max(pieces.needed, needed)
        known = len(pieces.subjects)
        if self._size + len(request) <= MAX_ENTRIES_PER_CRASH:
            pieces.subjects.update(dict.fromkeys(request[:-1]))
        self._size += len(pieces.subjects) - known
        if len(pieces.subjects) < pieces.needed:
            return ()
        del self._pieces[key]
        self._size -= len(pieces.subjects)
        return (*pieces.subjects, *key)

    def _put(self, key: Subjects, request: Subjects, own: bool, now_s: float) -> list[str]:
        number = self._numbers[key] = len(self.requests)
        self.requests.append(request)
        if own:
            self.own_requests.add(number)
        self._size += len(request)
        return self._mark(request, 1 << number, now_s)

    def _mark(self, subjects: Subjects, bit: int, now_s: float) -> list[str]:
        self.learned_at_s = now_s
        self.has_parts = self.has_parts or not is_fingerprint(subjects[0])
        new_subjects = [subject for subject in subjects if subject not in self.masks]
        for subject in subjects:
            self.masks[subject] = self.masks.get(subject, 0) | bit
        return new_subjects

    def _has_room(self, subjects: Subjects) -> bool:
        new_subjects = sum(subject not in self.masks for subject in subjects)
        return (
            len(self.requests) < MAX_REQUESTS_PER_CRASH
            and self._size + len(subjects) <= MAX_ENTRIES_PER_CRASH
            and len(self.masks) + new_subjects <= MAX_SUBJECTS_PER_CRASH
        )

    def has_request_with(self, subjects: Iterable[str]) -> bool:
        """Return whether one of the requests has all of some subjects."""
        mask = -1
        for subject in subjects:
            mask &= self.masks.get(subject, 0)
            if not mask:
                return False
        return True

    def forget_parts(self) -> list[str]:
        """Reduce the requests to their fingerprints; returns the parts that they had."""
        parts = [subject for subject in self.masks if not is_fingerprint(subject)]
        known, own = self.requests, self.own_requests
        self.requests, self.own_requests, self.masks = [], set(), {}
        self._numbers, self._pieces, self._size, self.has_parts = {}, {}, 0, False
        for number, request in enumerate(known):
            if fingerprints := tuple(filter(is_fingerprint, request)):
                self.add(fingerprints, number in own, self.learned_at_s)
        return parts


@dataclass(slots=True)
class SuccessRecord:
    """When a response to a subject went well.

    :ivar succeeded_at_s: time of the last such response
    :ivar reported_at_s: time of the last one that the other daemons know of
    """

    succeeded_at_s: float
    reported_at_s: float = float("-inf")


class SuccessRecords:
    """The latest successes by subject, those of parts apart from those of requests.

    Nearly every request has a fingerprint of its own, which must not displace the parts.
    """

    __slots__ = ("_of_parts", "_of_requests")

    def __init__(self) -> None:
        self._of_parts: OrderedDict[str, SuccessRecord] = OrderedDict()
        self._of_requests: OrderedDict[str, SuccessRecord] = OrderedDict()

    def __contains__(self, subject: str) -> bool:
        return subject in self._records(subject)

    def __getitem__(self, subject: str) -> SuccessRecord:
        return self._records(subject)[subject]

    def __len__(self) -> int:
        return len(self._of_parts) + len(self._of_requests)

    def get(self, subject: str) -> SuccessRecord | None:
        """Return the record of a subject, None if there is none."""
        return self._records(subject).get(subject)

    def add(self, subject: str, at_s: float) -> SuccessRecord:
        """Record a success, and return the record."""
        records = self._records(subject)
        record = records.get(subject)
        if record is None:
            record = records[subject] = SuccessRecord(at_s)
        else:
            records.move_to_end(subject)
            record.succeeded_at_s = max(record.succeeded_at_s, at_s)
        while len(records) > MAX_SUCCESSES:
            records.popitem(last=False)
        return record

    def _records(self, subject: str) -> OrderedDict[str, SuccessRecord]:
        return self._of_requests if is_fingerprint(subject) else self._of_parts


class CrashEvidence:
    """Crashes by engine and by subject, and successes by subject, within bounds.

    :param started_at_s: time since which evidence is collected; earlier crashes do not count, since
        the responses that went well after them are not known
    :ivar crashes: the crashes by incarnation of the engine, in the order in which they were learned
    :ivar successes: the successes by subject
    """

    __slots__ = ("_incarnations_by_subject", "_size", "_started_at_s", "crashes", "successes")

    def __init__(self, started_at_s: float) -> None:
        self.crashes: OrderedDict[Incarnation, Crash] = OrderedDict()
        self.successes = SuccessRecords()
        self._incarnations_by_subject: dict[str, list[Incarnation]] = {}
        self._started_at_s = started_at_s
        self._size = 0

    def add_crash(
        self,
        incarnation: Incarnation,
        at_s: float,
        requests: Iterable[Subjects],
        now_s: float,
        *,
        own: bool,
        needed: Sequence[int] = (),
    ) -> set[str]:
        """Add a crash, or further requests of a known one.

        :param needed: for each request, the number of parts from which on it counts, 0 if it is
            whole
        :returns: the subjects of the requests that are new
        """
        if at_s < self._started_at_s or now_s - at_s >= EVIDENCE_RETENTION_S:
            return set()
        crash = self.crashes.get(incarnation)
        if crash is None:
            crash = self.crashes[incarnation] = Crash(at_s, now_s)
        crash.at_s = min(crash.at_s, at_s)
        new_subjects: set[str] = set()
        pairs = list(zip(requests, chain(needed, repeat(0)), strict=False))
        for request, its_needed in sorted(pairs, key=lambda pair: pair[0][::-1]):
            known = len(crash.requests)
            for subject in crash.add(request, own, now_s, its_needed) if request else ():
                self._incarnations_by_subject.setdefault(subject, []).append(incarnation)
                self._size += 1
                new_subjects.add(subject)
            for added in crash.requests[known:]:
                new_subjects.update(added)
        while len(self.crashes) > 1 and (
            len(self.crashes) > MAX_CRASHES or self._size > MAX_SUBJECTS
        ):
            self._drop_crash(next(iter(self.crashes)))
        return new_subjects

    def has_crash_under(self, subject: str) -> bool:
        """Return whether an engine crashed under a subject."""
        return subject in self._incarnations_by_subject

    def succeeded_since(self, subject: str, since_s: float) -> bool:
        """Return whether a response to a subject went well after a time."""
        success = self.successes.get(subject)
        return success is not None and success.succeeded_at_s > since_s

    def newest_times_s(self, subject: str) -> list[float]:
        """Return the times of the newest crashes under a subject."""
        newest = self._incarnations_by_subject.get(subject, ())[-NEWEST_CRASHES:]
        return [self.crashes[each].at_s for each in newest]

    def crashes_since_success(self, subject: str) -> tuple[Incarnation, ...]:
        """Return the crashes under a subject since the last response to it that went well."""
        incarnations = self._incarnations_by_subject.get(subject, ())
        success = self.successes.get(subject)
        if success is None:
            return tuple(incarnations)
        since_s, crashes = success.succeeded_at_s, self.crashes
        return tuple([each for each in incarnations if crashes[each].at_s > since_s])

    def count_with_parts_since(self, at_s: float) -> int:
        """Return the number of crashes under prompts with shared parts since a time."""
        return sum(crash.at_s >= at_s and crash.has_parts for crash in self.crashes.values())

    def drop_expired(self, now_s: float) -> None:
        """Drop the crashes that no longer count, and earlier what they say of parts."""
        before = self._size
        for incarnation, crash in list(self.crashes.items()):
            if before - self._size >= MAX_FORGOTTEN:
                return
            if now_s - crash.at_s >= REQUEST_EVIDENCE_RETENTION_S:
                self._drop_crash(incarnation)
            elif now_s - crash.at_s >= EVIDENCE_RETENTION_S and crash.has_parts:
                self._forget(incarnation, crash.forget_parts())

    def _drop_crash(self, incarnation: Incarnation) -> None:
        self._forget(incarnation, self.crashes.pop(incarnation).masks)

    def _forget(self, incarnation: Incarnation, subjects: Iterable[str]) -> None:
        for subject in subjects:
            incarnations = self._incarnations_by_subject[subject]
            incarnations.remove(incarnation)
            self._size -= 1
            if not incarnations:
                del self._incarnations_by_subject[subject]
