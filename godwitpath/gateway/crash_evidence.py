"""Evidence about requests that crash engines: the crashes, and the responses that went well."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.fingerprint import is_fingerprint
from godwitpath.gateway.quarantine_report import ReportedCrash, Subjects

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

MAX_REPORTED_REQUESTS = 256
"""Number of requests in a report, which has to fit into a datagram."""

MAX_SUCCESSES = 8192
"""Number of parts of prompts, and of requests, of which it is remembered that a response went well:
callers choose both."""


@dataclass(slots=True)
class Crash:
    """A crash of one incarnation of an engine.

    :ivar at_s: time of the crash
    :ivar learned_at_s: time at which its last request was learned
    :ivar requests: subjects of each request that the engine could have begun to answer
    :ivar own_requests: those of the requests that this daemon had sent
    """

    at_s: float
    learned_at_s: float
    requests: set[Subjects] = field(default_factory=set)
    own_requests: set[Subjects] = field(default_factory=set)

    @property
    def has_parts(self) -> bool:
        """Whether one of the requests has a prompt with shared parts."""
        return any(not is_fingerprint(subjects[0]) for subjects in self.requests)

    @property
    def subjects(self) -> set[str]:
        """Subjects of all requests."""
        return {subject for request in self.requests for subject in request}


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
        record = records.setdefault(subject, SuccessRecord(at_s))
        record.succeeded_at_s = max(record.succeeded_at_s, at_s)
        records.move_to_end(subject)
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

    __slots__ = ("_incarnations_by_subject", "_started_at_s", "crashes", "successes")

    def __init__(self, started_at_s: float) -> None:
        self.crashes: OrderedDict[Incarnation, Crash] = OrderedDict()
        self.successes = SuccessRecords()
        self._incarnations_by_subject: defaultdict[str, set[Incarnation]] = defaultdict(set)
        self._started_at_s = started_at_s

    def add_crash(
        self,
        incarnation: Incarnation,
        at_s: float,
        requests: Iterable[Subjects],
        now_s: float,
        *,
        own: bool,
    ) -> set[str]:
        """Add a crash, or further requests of a known one.

        :returns: the subjects of the requests that are new
        """
        if at_s < self._started_at_s or now_s - at_s >= EVIDENCE_RETENTION_S:
            return set()
        crash = self.crashes.get(incarnation)
        if crash is None:
            crash = self.crashes[incarnation] = Crash(at_s, now_s)
            if len(self.crashes) > MAX_CRASHES:
                self._drop_crash(next(iter(self.crashes)))
        crash.at_s = min(crash.at_s, at_s)
        unknown = sorted({request for request in requests if request} - crash.requests)
        new_requests = unknown[: MAX_REQUESTS_PER_CRASH - len(crash.requests)]
        if own:
            crash.own_requests.update(new_requests)
        if new_requests:
            crash.requests.update(new_requests)
            crash.learned_at_s = now_s
        new_subjects = {subject for request in new_requests for subject in request}
        for subject in new_subjects:
            self._incarnations_by_subject[subject].add(incarnation)
        return new_subjects

    def succeeded_since(self, subject: str, since_s: float) -> bool:
        """Return whether a response to a subject went well after a time."""
        success = self.successes.get(subject)
        return success is not None and success.succeeded_at_s > since_s

    def times_s(self, subject: str) -> list[float]:
        """Return the times of all crashes under a subject."""
        return [self.crashes[each].at_s for each in self._incarnations_by_subject.get(subject, ())]

    def crashes_since_success(self, subject: str) -> Iterator[Crash]:
        """Yield the crashes under a subject since the last response to it that went well."""
        success = self.successes.get(subject)
        for incarnation in self._incarnations_by_subject.get(subject, ()):
            crash = self.crashes[incarnation]
            if success is None or crash.at_s > success.succeeded_at_s:
                yield crash

    def count_with_parts_since(self, at_s: float) -> int:
        """Return the number of crashes under prompts with shared parts since a time."""
        return sum(crash.at_s >= at_s and crash.has_parts for crash in self.crashes.values())

    def reported_crashes(self, now_s: float, *, relayed: bool) -> list[ReportedCrash]:
        """Return the crashes to report to the other daemons, the newest first.

        :param relayed: whether to report also the requests that other daemons reported
        """
        reported: list[ReportedCrash] = []
        requests_left = MAX_REPORTED_REQUESTS
        for (engine_id, started_at_ms), crash in reversed(self.crashes.items()):
            if now_s - crash.learned_at_s >= REPORT_S:
                continue
            requests = sorted(crash.requests if relayed else crash.own_requests)[:requests_left]
            if requests:
                age_s = round(now_s - crash.at_s, 3)
                reported.append(ReportedCrash(engine_id, started_at_ms, age_s, requests))
                requests_left -= len(requests)
        return reported

    def drop_expired(self, now_s: float) -> None:
        """Drop the crashes that no longer count, and earlier what they say of parts."""
        for incarnation, crash in list(self.crashes.items()):
            if now_s - crash.at_s >= REQUEST_EVIDENCE_RETENTION_S:
                self._drop_crash(incarnation)
            elif now_s - crash.at_s >= EVIDENCE_RETENTION_S and crash.has_parts:
                self._forget(
                    incarnation, {each for each in crash.subjects if not is_fingerprint(each)}
                )
                crash.requests = {tuple(filter(is_fingerprint, each)) for each in crash.requests}
                crash.requests.discard(())

    def _drop_crash(self, incarnation: Incarnation) -> None:
        self._forget(incarnation, self.crashes.pop(incarnation).subjects)

    def _forget(self, incarnation: Incarnation, subjects: Iterable[str]) -> None:
        for subject in subjects:
            self._incarnations_by_subject[subject].discard(incarnation)
            if not self._incarnations_by_subject[subject]:
                del self._incarnations_by_subject[subject]
