"""Decides which requests are refused because one of their subjects crashes the engines.

The evidence is a list of crashed engines, each with the requests that it could have begun to answer
at that moment, and the responses that went well. A subject is quarantined once enough engines have
crashed under it and no response to it went well in between. The decision uses neither network nor
clock; :mod:`godwitpath.gateway.crash_watch` provides the evidence of this daemon.

What other requests share with those that crash engines, such as the account, the route or the first
part, is not judged, or is cleared by the responses to the others.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import islice

from godwitpath.gateway.crash_evidence import REPORT_S, Crash, CrashEvidence
from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.fingerprint import is_fingerprint
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedVerdict, Subjects
from godwitpath.gateway.verdicts import Verdict, Verdicts

CRASHES_TO_QUARANTINE = 4
"""Crashes under a part after which it is quarantined: two may coincide with a part by chance."""

CRASHES_OF_A_REQUEST = 3
"""Crashes under a request after which its copies are refused."""

CAUSES_OF_A_REQUEST = 2
"""Number of causes among these crashes: a zone that is lost may end several engines that run copies
of one request."""

CRASHES_IN_DOUBT = 6
"""Crashes under a part that it takes if there is a better explanation: if a response to the part
went well before, or if most engines crashed without it."""

EXPLAINED_SHARE = 1 / 3
"""Share of the crashes since the first one under a part that the part has to explain. In a large
fleet whose engines keep failing, some rare part is in several crashes by chance."""

SAME_CAUSE_S = 0.25
"""Time within which several crashes count as one: engines that fail together, such as those of a
reclaimed zone, share a cause that is none of their requests."""

MIN_SUSPICION_S = 2.0
"""Time from the first crash under a subject to its quarantine: by then every daemon knows of a
response to the subject that went well in between."""

SAME_SUCCESS_S = 0.2
"""Difference up to which two times of a response that went well are the same, since they are
reported as ages."""

MAX_REPORTED_SUCCESSES = 512
"""Number of subjects with a success in a report, which has to fit into a datagram."""


class Quarantine:
    """Evidence about the subjects of requests, and the verdicts that follow from it.

    All times are in seconds of one clock, whose current time is passed to each method.

    :param started_at_s: time since which evidence is collected
    """

    __slots__ = ("_evidence", "_received_at_s", "_reporting_since_s", "_suspects", "_verdicts")

    def __init__(self, started_at_s: float) -> None:
        self._evidence = CrashEvidence(started_at_s)
        self._verdicts = Verdicts()
        # Subjects under which enough engines crashed, and which are judged a little later.
        self._suspects: set[str] = set()
        # Subjects with a success to report to the other daemons, by time of the first report.
        self._reporting_since_s: dict[str, float] = {}
        # Subjects with a success that was new in a report of another daemon, by time of receipt.
        self._received_at_s: dict[str, float] = {}

    # Evidence.

    def note_crash(
        self,
        incarnation: Incarnation,
        at_s: float,
        requests: Iterable[Subjects],
        now_s: float,
        *,
        own: bool = True,
    ) -> Verdict | None:
        """Learn that an engine crashed; several daemons may report the same crash.

        :param requests: subjects of the requests that it could have begun to answer
        :param own: whether this daemon had sent them
        :returns: the new verdict that follows, None if there is none
        """
        new_subjects = self._evidence.add_crash(incarnation, at_s, requests, now_s, own=own)
        for subject in new_subjects:
            self._report_if_needed(subject, now_s)
        self._suspects |= new_subjects
        return self.review(now_s)

    def note_success(self, subjects: Iterable[str], at_s: float, now_s: float) -> list[Verdict]:
        """Learn that a response to a request went well.

        :param at_s: time until which the engine had answered without a crash
        :returns: the verdicts that it refutes
        """
        for subject in subjects:
            self._evidence.successes.add(subject, at_s)
            self._report_if_needed(subject, now_s)
        return self._drop_refuted()

    # Decisions.

    def verdict(self, subjects: Iterable[str], now_s: float) -> Verdict | None:
        """Return the verdict under which a request is refused, None if it may be sent.

        :param subjects: subjects of the request
        """
        verdict = self._verdicts.find(subjects)
        if verdict is not None:
            verdict.asked_at_s = now_s
        return verdict

    def is_suspect(self, subjects: Iterable[str]) -> bool:
        """Return whether a request whose engine may just have crashed is not repeated.

        That crash, which is not confirmed yet, and one more would quarantine one of its subjects.
        """
        return any(self._convicts(subject, further_crashes=2) for subject in subjects)

    @property
    def verdicts(self) -> list[Verdict]:
        """The verdicts in force."""
        return list(self._verdicts)

    def refutes(self, subjects: Iterable[str], since_s: float) -> bool:
        """Return whether responses to all subjects of a verdict went well since its first crash."""
        return all(self._evidence.succeeded_since(subject, since_s) for subject in subjects)

    def crashes(self, verdict: Verdict) -> Iterator[tuple[Incarnation, float]]:
        """Yield the engines whose known crashes speak for a verdict, with the time of each."""
        for incarnation, crash in self._evidence.crashes.items():
            if any(verdict.subjects.issubset(request) for request in crash.requests):
                yield incarnation, crash.at_s

    def review(self, now_s: float) -> Verdict | None:
        """Judge the subjects under which engines crashed; to be called at short intervals.

        :returns: the new verdict, None if there is none
        """
        self._suspects = {subject for subject in self._suspects if self._convicts(subject)}
        crashes = {subject: self._counted(subject) for subject in self._suspects}
        due = [
            subject for subject in self._suspects if now_s - crashes[subject][0] >= MIN_SUSPICION_S
        ]
        for subject in sorted(due, key=self._ranking_key):
            self._suspects.discard(subject)
            times_s = crashes[subject]
            count = self._crash_count(subject)
            verdict = Verdict(self._inseparable(subject), count, times_s[0], now_s)
            if self._add_verdict(verdict) is not None:
                return verdict
        return None

    def drop_expired(self, now_s: float) -> list[Verdict]:
        """Drop old evidence, and verdicts for which nobody asks any more; returns the latter."""
        self._evidence.drop_expired(now_s)
        return self._verdicts.drop_expired(now_s)

    # Exchange with other daemons.

    def report(self, now_s: float, *, relayed: bool = False) -> QuarantineReport:
        """Return what to report to the other daemons.

        :param relayed: whether to report also what other daemons reported lately
        """
        successes = self._evidence.successes
        for subject, since_s in list(self._reporting_since_s.items()):
            if now_s - since_s >= REPORT_S:
                del self._reporting_since_s[subject]
                success = successes.get(subject)
                if success is not None:
                    success.reported_at_s = success.succeeded_at_s
        for subject, received_at_s in list(self._received_at_s.items()):
            if now_s - received_at_s >= REPORT_S:
                del self._received_at_s[subject]
        reported_subjects = set(self._reporting_since_s)
        if relayed:
            reported_subjects |= self._received_at_s.keys()
        succeeded = {
            subject: round(now_s - successes[subject].succeeded_at_s, 3)
            for subject in islice(reported_subjects, MAX_REPORTED_SUCCESSES)
            if subject in successes
        }
        crashes = self._evidence.reported_crashes(now_s, relayed=relayed)
        return QuarantineReport(crashes, self.reported_verdicts(now_s), succeeded)

    def reported_verdicts(self, now_s: float) -> list[ReportedVerdict]:
        """Return the verdicts in force as they are reported."""
        return [
            ReportedVerdict(
                tuple(sorted(verdict.subjects)),
                verdict.crashes,
                round(now_s - verdict.since_s, 3),
                round(now_s - verdict.asked_at_s, 3),
            )
            for verdict in self._verdicts
        ]

    def apply_report(self, report: QuarantineReport, now_s: float) -> list[Verdict]:
        """Learn what another daemon reports.

        :returns: the verdicts that are new
        """
        for subject, age_s in report.successes.items():
            self.note_success((subject,), now_s - age_s, now_s)
            success = self._evidence.successes[subject]
            if now_s - age_s > success.reported_at_s + SAME_SUCCESS_S:
                self._received_at_s[subject] = now_s
            success.reported_at_s = max(success.reported_at_s, now_s - age_s)
            if not self._is_unreported(subject):
                self._reporting_since_s.pop(subject, None)
        new = [self._apply_verdict(verdict, now_s) for verdict in report.verdicts]
        for crash in report.crashes:
            incarnation = (crash.engine_id, crash.started_at_ms)
            at_s = now_s - crash.age_s
            new.append(self.note_crash(incarnation, at_s, crash.requests, now_s, own=False))
        return [verdict for verdict in new if verdict is not None]

    def _apply_verdict(self, reported: ReportedVerdict, now_s: float) -> Verdict | None:
        if not reported.subjects:
            return None
        # A daemon that has just started may not know that responses to a subject went well before.
        known_to_succeed = all(
            each in self._evidence.successes and not is_fingerprint(each)
            for each in reported.subjects
        )
        if known_to_succeed and reported.crashes < CRASHES_IN_DOUBT:
            return None
        verdict = Verdict(
            frozenset(reported.subjects),
            reported.crashes,
            now_s - reported.since_age_s,
            now_s - reported.asked_age_s,
        )
        return None if verdict.has_expired(now_s) else self._add_verdict(verdict)

    def _is_unreported(self, subject: str) -> bool:
        """Return whether a success changes what the other daemons count against a subject."""
        success = self._evidence.successes.get(subject)
        if success is None:
            return False
        times_s = self._evidence.times_s(subject)
        times_s += [each.since_s for each in self._verdicts if subject in each.subjects]
        return any(success.reported_at_s < at_s < success.succeeded_at_s for at_s in times_s)

    def _report_if_needed(self, subject: str, now_s: float) -> None:
        if subject not in self._reporting_since_s and self._is_unreported(subject):
            self._reporting_since_s[subject] = now_s

    # Judgement.

    def _convicts(self, subject: str, further_crashes: int = 0) -> bool:
        """Return whether the crashes under a subject suffice for its quarantine.

        :param further_crashes: number of crashes, each with a cause of its own, to add to the known
        """
        causes = len(self._counted(subject)) + further_crashes
        if not is_fingerprint(subject):
            return causes >= self._required(subject)
        crashes = self._crash_count(subject) + further_crashes
        return crashes >= CRASHES_OF_A_REQUEST and causes >= CAUSES_OF_A_REQUEST

    def _crash_count(self, subject: str) -> int:
        """Return the number of crashes that speak against a subject.

        For a part, those with one cause are one.
        """
        if is_fingerprint(subject):
            return sum(1 for _ in self._counting_crashes(subject))
        return len(self._counted(subject))

    def _required(self, subject: str) -> int:
        """Return the number of crashes after which a part is quarantined."""
        if subject in self._evidence.successes:
            return CRASHES_IN_DOUBT
        times_s = [crash.at_s for crash in self._counting_crashes(subject)]
        all_crashes = self._evidence.count_with_parts_since(min(times_s)) if times_s else 0
        explains = len(times_s) >= EXPLAINED_SHARE * all_crashes
        return CRASHES_TO_QUARANTINE if explains else CRASHES_IN_DOUBT

    def _counting_crashes(self, subject: str) -> Iterator[Crash]:
        """Yield the crashes that count against a subject.

        Those that a verdict on other subjects explains do not.
        """
        for crash in self._evidence.crashes_since_success(subject):
            explained = any(
                subject not in verdict.subjects
                and any(verdict.subjects.issubset(request) for request in crash.requests)
                for verdict in self._verdicts
            )
            if not explained:
                yield crash

    def _counted(self, subject: str) -> list[float]:
        """Return the times of the crashes that count against a subject, one for each cause."""
        counted: list[float] = []
        for at_s in sorted(crash.at_s for crash in self._counting_crashes(subject)):
            if not counted or at_s - counted[-1] >= SAME_CAUSE_S:
                counted.append(at_s)
        return counted

    def _ranking_key(self, subject: str) -> tuple[bool, int, int, str]:
        """Return by what the subject to quarantine is chosen, the least doubtful first.

        A subject that many requests share is found in many requests of each crash.
        """
        requests = sum(
            subject in request
            for crash in self._counting_crashes(subject)
            for request in crash.requests
        )
        return subject in self._evidence.successes, requests, -len(self._counted(subject)), subject

    def _inseparable(self, subject: str) -> frozenset[str]:
        """Return a subject with those that the evidence does not distinguish from it.

        These are in each request with the subject under which an engine crashed.
        """
        return frozenset.intersection(
            *(
                frozenset(request)
                for crash in self._counting_crashes(subject)
                for request in crash.requests
                if subject in request
            )
        )

    def _add_verdict(self, verdict: Verdict) -> Verdict | None:
        """Add a verdict without the subjects to which a response went well since.

        :returns: the verdict, None if nothing is left of it or a known one covers it
        """
        succeeded = {
            subject
            for subject in verdict.subjects
            if self._evidence.succeeded_since(subject, verdict.since_s)
        }
        verdict.subjects -= succeeded
        if not verdict.subjects:
            return None
        return self._verdicts.add(verdict)

    def _drop_refuted(self) -> list[Verdict]:
        """Drop refuted subjects of all verdicts; returns the verdicts of which nothing is left."""
        refuted = []
        for verdict in self.verdicts:
            if not any(
                self._evidence.succeeded_since(subject, verdict.since_s)
                for subject in verdict.subjects
            ):
                continue
            subjects = verdict.subjects
            self._verdicts.remove(verdict)
            self._add_verdict(verdict)
            if not verdict.subjects:
                verdict.subjects = subjects
                refuted.append(verdict)
        return refuted
