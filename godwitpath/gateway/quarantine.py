"""Decides which requests are refused because one of their subjects crashes the engines.

The evidence is a list of crashed engines, each with the requests that it could have begun to answer
at that moment, and the responses that went well. A subject is quarantined once enough engines have
crashed under it and no response to it went well in between. The decision uses neither network nor
clock; :mod:`godwitpath.gateway.crash_watch` provides the evidence of this daemon.

What other requests share with those that crash engines, such as the account, the route or the first
part, is not judged, or is cleared by the responses to the others.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence, Set

from godwitpath.gateway.crash_evidence import CrashEvidence
from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.fingerprint import is_fingerprint
from godwitpath.gateway.judgement import CRASHES_IN_DOUBT, Judge
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedVerdict, Subjects
from godwitpath.gateway.quarantine_reporter import MAX_REPORT_BYTES, Reporter, reported_verdict
from godwitpath.gateway.verdict_pieces import VerdictPieces
from godwitpath.gateway.verdicts import Verdict, Verdicts


class Quarantine:
    """Evidence about the subjects of requests, and the verdicts that follow from it.

    All times are in seconds of one clock, whose current time is passed to each method.

    :param started_at_s: time since which evidence is collected
    """

    __slots__ = ("_evidence", "_judge", "_pieces", "_reporter", "_suspects", "_verdicts")

    def __init__(self, started_at_s: float) -> None:
        self._evidence = CrashEvidence(started_at_s)
        self._verdicts = Verdicts()
        self._judge = Judge(self._evidence, self._verdicts)
        self._reporter = Reporter(self._evidence, self._verdicts)
        self._pieces = VerdictPieces()
        # Subjects under which enough engines crashed, and which are judged a little later.
        self._suspects: set[str] = set()

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
            if len(self._verdicts) or self._evidence.has_crash_under(subject):
                self._reporter.consider(subject, now_s)
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
        needed: Sequence[int] = (),
    ) -> None:
        new_subjects = self._evidence.add_crash(
            incarnation, at_s, requests, now_s, own=own, needed=needed
        )
        for subject in new_subjects:
            self._reporter.consider(subject, now_s)
        self._suspects |= new_subjects

    def drop_expired(self, now_s: float) -> list[Verdict]:
        """Drop old evidence, and verdicts for which nobody asks any more; returns the latter."""
        self._evidence.drop_expired(now_s)
        return self._verdicts.drop_expired(now_s)

    # Exchange with other daemons.

    def report(
        self, now_s: float, *, relayed: bool = False, max_bytes: int = MAX_REPORT_BYTES
    ) -> QuarantineReport:
        """Return what to report to the other daemons.

        :param relayed: whether to report also what other daemons reported lately
        :param max_bytes: bound of the size of the report in MessagePack
        """
        return self._reporter.report(now_s, relayed=relayed, max_bytes=max_bytes)

    def reported_verdicts(self, now_s: float) -> list[ReportedVerdict]:
        """Return the verdicts in force as they are reported."""
        return [
            reported_verdict(verdict, tuple(sorted(verdict.subjects)), now_s)
            for verdict in self._verdicts
        ]

    def apply_report(self, report: QuarantineReport, now_s: float) -> list[Verdict]:
        """Learn what another daemon reports.

        :returns: the verdicts that are new
        """
        for subject, age_s in report.successes.items():
            self.note_success((subject,), now_s - age_s, now_s)
            self._reporter.note_heard(subject, now_s - age_s, now_s)
        whole = [*report.verdicts, *self._pieces.join(report.pieces, now_s)]
        new = [self._apply_verdict(verdict, now_s) for verdict in whole]
        for crash in report.crashes:
            incarnation = (crash.engine_id, crash.started_at_ms)
            at_s = now_s - crash.age_s
            self._add_crash(
                incarnation, at_s, crash.requests, now_s, own=False, needed=crash.needed
            )
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
            # A verdict that has become narrower may have replaced it.
            if verdict not in self._verdicts or not any(
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
