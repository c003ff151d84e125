"""Judges subjects by the crashes that count against them.

Subjects under the same crashes are judged together, and each of them once: the cost is linear in
the subjects and in the crashes under them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from godwitpath.gateway.crash_evidence import CrashEvidence
from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.fingerprint import is_fingerprint
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
response to the subject that went well in between, and of the other requests of that crash."""


@dataclass(slots=True)
class Case:
    """Subjects that are judged together.

    :ivar subjects: the subjects, either all of them parts or all of them requests
    :ivar crashes: the crashes that count against them, sorted by time
    :ivar causes_s: times of these crashes, one for each cause
    :ivar due_at_s: time from which they may be quarantined
    :ivar required_crashes: number of crashes that it takes
    :ivar required_causes: number of causes that it takes
    """

    subjects: list[str]
    crashes: list[Incarnation]
    causes_s: list[float]
    due_at_s: float
    required_crashes: int
    required_causes: int

    @property
    def crash_count(self) -> int:
        """Number of crashes that speak against a subject; parts count those with one cause once."""
        return len(self.crashes if is_fingerprint(self.subjects[0]) else self.causes_s)

    def convicts(self, further_crashes: int = 0) -> bool:
        """Return whether the crashes suffice for the quarantine of a subject.

        :param further_crashes: number of crashes, each with a cause of its own, to add to the known
        """
        return (
            self.crash_count + further_crashes >= self.required_crashes
            and len(self.causes_s) + further_crashes >= self.required_causes
        )


class Judge:
    """Judges subjects; what a verdict explains does not count towards another.

    :param evidence: crashes and successes
    :param verdicts: verdicts in force
    """

    __slots__ = ("_evidence", "_explanations", "_revision", "_verdicts")

    def __init__(self, evidence: CrashEvidence, verdicts: Verdicts) -> None:
        self._evidence = evidence
        self._verdicts = verdicts
        # What is known of a crash's requests, and the verdicts that explain it, by crash.
        self._explanations: dict[Incarnation, tuple[tuple[int, int], tuple[Verdict, ...]]] = {}
        self._revision = -1

    def cases(self, subjects: Iterable[str]) -> list[Case]:
        """Return the cases of those subjects under which an engine crashed since a success."""
        by_crashes: dict[tuple[tuple[Incarnation, ...], bool, bool], list[str]] = {}
        for subject in subjects:
            crashes = self._evidence.crashes_since_success(subject)
            if crashes:
                known = subject in self._evidence.successes
                key = (crashes, is_fingerprint(subject), known)
                by_crashes.setdefault(key, []).append(subject)
        cases = []
        for (crashes, _, known), together in by_crashes.items():
            explained = {each: self._explained_by(each) for each in crashes}
            accused = {id(verdict): verdict for found in explained.values() for verdict in found}
            for members, part in _split(together, list(accused.values())):
                case = self._case(part, members, explained, known)
                if case is not None:
                    cases.append(case)
        return cases

    def best(self, cases: Iterable[Case]) -> tuple[str, Case]:
        """Return the subject to quarantine, the least doubtful one, with its case.

        A subject that many requests share is found in many requests of each crash.

        :param cases: at least one case
        """
        keys = (
            (
                subject in self._evidence.successes,
                self._request_count(subject, case),
                -len(case.causes_s),
                subject,
                case,
            )
            for case in cases
            for subject in case.subjects
        )
        *_, subject, case = min(keys, key=lambda key: key[:4])
        return subject, case

    def inseparable(self, subject: str, case: Case) -> frozenset[str]:
        """Return a subject with those that the evidence does not distinguish from it.

        These are in each request with the subject under which an engine crashed.
        """
        first, *others = (self._evidence.crashes[each].masks for each in case.crashes)
        mask = first[subject]
        members = [each for each, its_mask in first.items() if its_mask & mask == mask]
        for masks in others:
            mask = masks[subject]
            members = [each for each in members if masks.get(each, 0) & mask == mask]
        return frozenset(members)

    def _request_count(self, subject: str, case: Case) -> int:
        crashes = self._evidence.crashes
        return sum(crashes[each].masks[subject].bit_count() for each in case.crashes)

    def _case(
        self,
        subjects: list[str],
        members: tuple[Verdict, ...],
        explained: dict[Incarnation, tuple[Verdict, ...]],
        known_to_succeed: bool,
    ) -> Case | None:
        """Return the case of subjects under the same crashes, None if none of these counts.

        A crash that a verdict explains counts against a member of that verdict only beside a crash
        under the member that it does not explain, which tells the member from the others.

        :param members: the verdicts on the subjects among those that explain a crash
        :param explained: by crash, the verdicts that explain it
        """
        unexplained = [each for each, verdicts in explained.items() if not verdicts]
        if not unexplained:
            return None
        counting = unexplained + [
            each
            for each, verdicts in explained.items()
            if verdicts and all(verdict in members for verdict in verdicts)
        ]
        crashes = self._evidence.crashes
        counting.sort(key=lambda each: (crashes[each].at_s, each))
        causes_s: list[float] = []
        for each in counting:
            if not causes_s or crashes[each].at_s - causes_s[-1] >= SAME_CAUSE_S:
                causes_s.append(crashes[each].at_s)
        due_at_s = min(crashes[each].at_s for each in unexplained) + MIN_SUSPICION_S
        if is_fingerprint(subjects[0]):
            required = CRASHES_OF_A_REQUEST, CAUSES_OF_A_REQUEST
        else:
            count = self._required(counting, causes_s[0], known_to_succeed)
            required = count, count
        return Case(subjects, counting, causes_s, due_at_s, *required)

    def _required(self, counting: list[Incarnation], since_s: float, known_to_succeed: bool) -> int:
        """Return the number of crashes after which a part is quarantined."""
        if known_to_succeed:
            return CRASHES_IN_DOUBT
        all_crashes = self._evidence.count_with_parts_since(since_s)
        explains = len(counting) >= EXPLAINED_SHARE * all_crashes
        return CRASHES_TO_QUARANTINE if explains else CRASHES_IN_DOUBT

    def _explained_by(self, incarnation: Incarnation) -> tuple[Verdict, ...]:
        """Return the verdicts that explain a crash: a request that they refuse was part of it."""
        if self._revision != self._verdicts.revision:
            self._explanations.clear()
            self._revision = self._verdicts.revision
        crash = self._evidence.crashes[incarnation]
        extent, verdicts = self._explanations.get(incarnation, ((-1, -1), ()))
        if extent != crash.extent:
            verdicts = tuple(
                each for each in self._verdicts if crash.has_request_with(each.subjects)
            )
            self._explanations[incarnation] = (crash.extent, verdicts)
        return verdicts


def _split(
    subjects: list[str], verdicts: list[Verdict]
) -> Iterable[tuple[tuple[Verdict, ...], list[str]]]:
    """Split subjects by the verdicts that they are members of."""
    if not verdicts:
        return [((), subjects)]
    split: dict[tuple[int, ...], list[str]] = {}
    for subject in subjects:
        key = tuple(n for n, verdict in enumerate(verdicts) if subject in verdict.subjects)
        split.setdefault(key, []).append(subject)
    return [(tuple(verdicts[n] for n in key), part) for key, part in split.items()]
