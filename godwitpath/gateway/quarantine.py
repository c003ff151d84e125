"""Decides which requests are refused because one of their subjects crashes the engines.

The evidence is a list of crashed engines, each with the requests that it could have begun to answer
at that moment, and the responses that went well. A subject is quarantined once enough engines have
crashed under it and no response to it went well in between. The decision uses neither network nor
clock; :mod:`godwitpath.gateway.crash_watch` provides the evidence of this daemon.

What other requests share with those that crash engines, such as the account, the route or the first
part, is not judged, or is cleared by the responses to the others.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Set
from itertools import islice

from godwitpath.gateway.crash_evidence import REPORT_S, CrashEvidence
from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.fingerprint import is_fingerprint
from godwitpath.gateway.judgement import CRASHES_IN_DOUBT, Judge
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedVerdict, Subjects
from godwitpath.gateway.verdicts import Verdict, Verdicts

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

    __slots__ = (
        "_evidence",
        "_judge",
        "_received_at_s",
        "_reporting_since_s",
        "_suspects",
        "_verdicts",
    )

    def __init__(self, started_at_s: float) -> None:
        self._evidence = CrashEvidence(started_at_s)
        self._verdicts = Verdicts()
        self._judge = Judge(self._evidence, self._verdicts)
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
        self._add_crash(incarnation, at_s, requests, now_s, own=own)
        return self.review(now_s)

    def note_success(self, subjects: Iterable[str], at_s: float, now_s: float) -> list[Verdict]:
        """Learn that a response to a request went well.

        :param at_s: time until which the engine had answered without a crash
        :returns: the verdicts that it refutes
        """
        succeeded = set(subjects)
        for subject in succeeded:
            self._evidence.successes.add(subject, at_s)
            self._report_if_needed(subject, now_s)
        return self._drop_refuted(succeeded)

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
        return any(case.convicts(further_crashes=2) for case in self._judge.cases(subjects))

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
            if crash.has_request_with(verdict.subjects):
                yield incarnation, crash.at_s

    def review(self, now_s: float) -> Verdict | None:
        """Judge the subjects under which engines crashed; to be called at short intervals.

        :returns: the new verdict, None if there is none
        """
        if not self._suspects:
            return None
        cases = [case for case in self._judge.cases(self._suspects) if case.convicts()]
        self._suspects = {subject for case in cases for subject in case.subjects}
        due = [case for case in cases if now_s >= case.due_at_s]
        if not due:
            return None
        subject, case = self._judge.best(due)
        self._suspects.discard(subject)
        subjects = self._judge.inseparable(subject, case)
        return self._add_verdict(Verdict(subjects, case.crash_count, case.causes_s[0], now_s))

    def _add_crash(
        self,
        incarnation: Incarnation,
        at_s: float,
        requests: Iterable[Subjects],
        now_s: float,
        *,
        own: bool,
    ) -> None:
        new_subjects = self._evidence.add_crash(incarnation, at_s, requests, now_s, own=own)
        for subject in new_subjects:
            self._report_if_needed(subject, now_s)
        self._suspects |= new_subjects

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
            self._add_crash(incarnation, at_s, crash.requests, now_s, own=False)
        new.append(self.review(now_s))
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
        times_s = self._evidence.newest_times_s(subject)
        times_s += [each.since_s for each in self._verdicts if subject in each.subjects]
        return any(success.reported_at_s < at_s < success.succeeded_at_s for at_s in times_s)

    def _report_if_needed(self, subject: str, now_s: float) -> None:
        if subject not in self._reporting_since_s and self._is_unreported(subject):
            self._reporting_since_s[subject] = now_s

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

    def _drop_refuted(self, succeeded: Set[str]) -> list[Verdict]:
        """Drop refuted subjects of all verdicts; returns the verdicts of which nothing is left.

        :param succeeded: the subjects with a new success
        """
        refuted = []
        for verdict in self._verdicts:
            if not any(
                self._evidence.succeeded_since(subject, verdict.since_s)
                for subject in verdict.subjects & succeeded
            ):
                continue
            subjects = verdict.subjects
            self._verdicts.remove(verdict)
            self._add_verdict(verdict)
            if not verdict.subjects:
                verdict.subjects = subjects
                refuted.append(verdict)
        return refuted
