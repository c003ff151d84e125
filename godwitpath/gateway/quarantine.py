"""Decides which prompts are refused because a part of them crashes the engines that answer it.

The evidence is a list of crashed engines, each with the prompts that it could have begun to answer
at that moment, and the responses that went well. A part is quarantined once enough engines have
crashed under it and no response to it went well in between. The decision uses neither network nor
clock; :mod:`godwitpath.gateway.crash_watch` provides the evidence of this daemon.

What other requests share with those that crash engines, such as the account, the route or the first
part, is not judged, or is cleared by the responses to the others.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from godwitpath.gateway.crash_evidence import REPORT_S, Crash, CrashEvidence
from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.quarantine_report import Parts, QuarantineReport, ReportedVerdict

CRASHES_TO_QUARANTINE = 4
"""Crashes under a part after which it is quarantined: two may coincide with a part by chance."""

CRASHES_IN_DOUBT = 6
"""Crashes that it takes if there is a better explanation: if a response to the part went well
before, or if most engines crashed without it."""

EXPLAINED_SHARE = 1 / 3
"""Share of the crashes since the first one under a part that the part has to explain. In a large
fleet whose engines keep failing, some rare part is in several crashes by chance."""

SAME_CAUSE_S = 0.25
"""Time within which several crashes count as one: engines that fail together, such as those of a
reclaimed zone, share a cause that is none of their prompts."""

MIN_SUSPICION_S = 2.0
"""Time from the first crash under a part to its quarantine: by then every daemon knows of a
response to the part that went well in between."""

QUARANTINE_S = 900.0
"""Time after the last request for a quarantined part at which the part is forgotten."""

SAME_SUCCESS_S = 0.2
"""Difference up to which two times of a response that went well are the same, since they are
reported as ages."""

MAX_REPORTED_SUCCESSES = 512
"""Number of parts with a success in a report, which has to fit into a datagram."""

MAX_VERDICTS = 64
"""Number of verdicts in force: callers choose the ids of their parts."""


@dataclass(slots=True)
class Verdict:
    """Parts whose requests are refused.

    :ivar parts: a request is refused if it has all of them
    :ivar crashes: number of crashes that spoke for it
    :ivar since_s: time of the first of these crashes
    :ivar asked_at_s: time of the last request that was refused, at first that of the verdict
    """

    parts: frozenset[str]
    crashes: int
    since_s: float
    asked_at_s: float


class PromptQuarantine:
    """Evidence about the parts of prompts, and the verdicts that follow from it.

    All times are in seconds of one clock, whose current time is passed to each method.

    :param started_at_s: time since which evidence is collected
    """

    __slots__ = ("_evidence", "_received_at_s", "_reporting_since_s", "_suspects", "_verdicts")

    def __init__(self, started_at_s: float) -> None:
        self._evidence = CrashEvidence(started_at_s)
        self._verdicts: dict[frozenset[str], Verdict] = {}
        # Parts under which enough engines crashed, and which are judged a little later.
        self._suspects: set[str] = set()
        # Parts with a success to report to the other daemons, with the time of the first report.
        self._reporting_since_s: dict[str, float] = {}
        # Parts with a success that was new in a report of another daemon, with its time of receipt.
        self._received_at_s: dict[str, float] = {}

    # Evidence.

    def note_crash(
        self,
        incarnation: Incarnation,
        at_s: float,
        prompts: Iterable[Parts],
        now_s: float,
        *,
        own: bool = True,
    ) -> Verdict | None:
        """Learn that an engine crashed; several daemons may report the same crash.

        :param prompts: shared parts of the prompts that it could have begun to answer
        :param own: whether this daemon had sent them
        :returns: the new verdict that follows, None if there is none
        """
        new_parts = self._evidence.add_crash(incarnation, at_s, prompts, now_s, own=own)
        for part in new_parts:
            self._report_if_needed(part, now_s)
        self._suspects |= new_parts
        return self.review(now_s)

    def note_success(self, parts: Iterable[str], at_s: float, now_s: float) -> list[Verdict]:
        """Learn that a response to a prompt went well.

        :param at_s: time until which the engine had answered without a crash
        :returns: the verdicts that it refutes
        """
        for part in parts:
            self._evidence.add_success(part, at_s)
            self._report_if_needed(part, now_s)
        return self._drop_refuted()

    # Decisions.

    def verdict(self, parts: Iterable[str], now_s: float) -> Verdict | None:
        """Return the verdict under which a request is refused, None if it may be sent.

        :param parts: shared parts of the request's prompt
        """
        if not self._verdicts:
            return None
        requested = set(parts)
        for verdict in self._verdicts.values():
            if verdict.parts <= requested:
                verdict.asked_at_s = now_s
                return verdict
        return None

    def is_suspect(self, parts: Iterable[str]) -> bool:
        """Return whether a request whose engine may just have crashed is not repeated.

        That crash, which is not confirmed yet, and one more would quarantine a part of its prompt.
        """
        return any(len(self._counted(part)) + 2 >= self._required(part) for part in parts)

    @property
    def verdicts(self) -> list[Verdict]:
        """The verdicts in force."""
        return list(self._verdicts.values())

    def refutes(self, parts: Iterable[str], since_s: float) -> bool:
        """Return whether responses to all parts of a verdict went well since its first crash."""
        return all(self._evidence.succeeded_since(part, since_s) for part in parts)

    def crashes(self, verdict: Verdict) -> Iterator[tuple[Incarnation, float]]:
        """Yield the engines whose known crashes speak for a verdict, with the time of each."""
        for incarnation, crash in self._evidence.crashes.items():
            if any(verdict.parts.issubset(prompt) for prompt in crash.prompts):
                yield incarnation, crash.at_s

    def review(self, now_s: float) -> Verdict | None:
        """Judge the parts under which engines crashed; to be called at short intervals.

        :returns: the new verdict, None if there is none
        """
        crashes = {part: self._counted(part) for part in self._suspects}
        self._suspects = {
            part
            for part, times_s in crashes.items()
            if len(times_s) >= CRASHES_TO_QUARANTINE and len(times_s) >= self._required(part)
        }
        due = [part for part in self._suspects if now_s - crashes[part][0] >= MIN_SUSPICION_S]
        for part in sorted(due, key=self._ranking_key):
            self._suspects.discard(part)
            times_s = crashes[part]
            verdict = Verdict(self._inseparable(part), len(times_s), times_s[0], now_s)
            if self._add_verdict(verdict) is not None:
                return verdict
        return None

    def drop_expired(self, now_s: float) -> list[Verdict]:
        """Drop old evidence, and verdicts for which nobody asks any more; returns the latter."""
        self._evidence.drop_expired(now_s)
        expired = [each for each in self.verdicts if now_s - each.asked_at_s >= QUARANTINE_S]
        for verdict in expired:
            del self._verdicts[verdict.parts]
        return expired

    # Exchange with other daemons.

    def report(self, now_s: float, *, relayed: bool = False) -> QuarantineReport:
        """Return what to report to the other daemons.

        :param relayed: whether to report also what other daemons reported lately
        """
        successes = self._evidence.successes
        for part, since_s in list(self._reporting_since_s.items()):
            if now_s - since_s >= REPORT_S:
                del self._reporting_since_s[part]
                success = successes.get(part)
                if success is not None:
                    success.reported_at_s = success.succeeded_at_s
        for part, received_at_s in list(self._received_at_s.items()):
            if now_s - received_at_s >= REPORT_S:
                del self._received_at_s[part]
        reported_parts = set(self._reporting_since_s)
        if relayed:
            reported_parts |= self._received_at_s.keys()
        succeeded = {
            part: round(now_s - successes[part].succeeded_at_s, 3)
            for part in islice(reported_parts, MAX_REPORTED_SUCCESSES)
            if part in successes
        }
        crashes = self._evidence.reported_crashes(now_s, relayed=relayed)
        return QuarantineReport(crashes, self.reported_verdicts(now_s), succeeded)

    def reported_verdicts(self, now_s: float) -> list[ReportedVerdict]:
        """Return the verdicts in force as they are reported."""
        return [
            ReportedVerdict(
                tuple(sorted(verdict.parts)),
                verdict.crashes,
                round(now_s - verdict.since_s, 3),
                round(now_s - verdict.asked_at_s, 3),
            )
            for verdict in self._verdicts.values()
        ]

    def apply_report(self, report: QuarantineReport, now_s: float) -> list[Verdict]:
        """Learn what another daemon reports.

        :returns: the verdicts that are new
        """
        for part, age_s in report.successes.items():
            self.note_success((part,), now_s - age_s, now_s)
            success = self._evidence.successes[part]
            if now_s - age_s > success.reported_at_s + SAME_SUCCESS_S:
                self._received_at_s[part] = now_s
            success.reported_at_s = max(success.reported_at_s, now_s - age_s)
            if not self._is_unreported(part):
                self._reporting_since_s.pop(part, None)
        new = [self._apply_verdict(verdict, now_s) for verdict in report.verdicts]
        for crash in report.crashes:
            incarnation = (crash.engine_id, crash.started_at_ms)
            at_s = now_s - crash.age_s
            new.append(self.note_crash(incarnation, at_s, crash.prompts, now_s, own=False))
        return [verdict for verdict in new if verdict is not None]

    def _apply_verdict(self, reported: ReportedVerdict, now_s: float) -> Verdict | None:
        if reported.asked_age_s >= QUARANTINE_S or not reported.parts:
            return None
        # A daemon that has just started may not know that responses to a part went well before.
        known_to_succeed = self._evidence.successes.keys() >= set(reported.parts)
        if known_to_succeed and reported.crashes < CRASHES_IN_DOUBT:
            return None
        return self._add_verdict(
            Verdict(
                frozenset(reported.parts),
                reported.crashes,
                now_s - reported.since_age_s,
                now_s - reported.asked_age_s,
            )
        )

    def _is_unreported(self, part: str) -> bool:
        """Return whether a success changes what the other daemons count against a part."""
        success = self._evidence.successes.get(part)
        if success is None:
            return False
        times_s = self._evidence.times_s(part)
        times_s += [each.since_s for each in self._verdicts.values() if part in each.parts]
        return any(success.reported_at_s < at_s < success.succeeded_at_s for at_s in times_s)

    def _report_if_needed(self, part: str, now_s: float) -> None:
        if part not in self._reporting_since_s and self._is_unreported(part):
            self._reporting_since_s[part] = now_s

    # Judgement.

    def _required(self, part: str) -> int:
        """Return the number of crashes after which a part is quarantined."""
        if part in self._evidence.successes:
            return CRASHES_IN_DOUBT
        times_s = [crash.at_s for crash in self._counting_crashes(part)]
        all_crashes = self._evidence.count_since(min(times_s)) if times_s else 0
        explains = len(times_s) >= EXPLAINED_SHARE * all_crashes
        return CRASHES_TO_QUARANTINE if explains else CRASHES_IN_DOUBT

    def _counting_crashes(self, part: str) -> Iterator[Crash]:
        """Yield the crashes that count against a part.

        Those that a verdict on other parts explains do not.
        """
        for crash in self._evidence.crashes_since_success(part):
            explained = any(
                part not in verdict.parts
                and any(verdict.parts.issubset(prompt) for prompt in crash.prompts)
                for verdict in self._verdicts.values()
            )
            if not explained:
                yield crash

    def _counted(self, part: str) -> list[float]:
        """Return the times of the crashes that count against a part, one for each cause."""
        counted: list[float] = []
        for at_s in sorted(crash.at_s for crash in self._counting_crashes(part)):
            if not counted or at_s - counted[-1] >= SAME_CAUSE_S:
                counted.append(at_s)
        return counted

    def _ranking_key(self, part: str) -> tuple[bool, int, int, str]:
        """Return by what the part to quarantine is chosen, the least doubtful first.

        A part that many requests share is found in many prompts of each crash.
        """
        prompts = sum(
            part in prompt for crash in self._counting_crashes(part) for prompt in crash.prompts
        )
        return part in self._evidence.successes, prompts, -len(self._counted(part)), part

    def _inseparable(self, part: str) -> frozenset[str]:
        """Return a part with those that the evidence does not distinguish from it.

        These are in each prompt with the part under which an engine crashed.
        """
        return frozenset.intersection(
            *(
                frozenset(prompt)
                for crash in self._counting_crashes(part)
                for prompt in crash.prompts
                if part in prompt
            )
        )

    def _add_verdict(self, verdict: Verdict) -> Verdict | None:
        """Add a verdict without the parts to which a response went well since.

        :returns: the verdict, None if nothing is left of it or a known one covers it
        """
        succeeded = {
            part for part in verdict.parts if self._evidence.succeeded_since(part, verdict.since_s)
        }
        verdict.parts -= succeeded
        if not verdict.parts:
            return None
        for known in self.verdicts:
            if known.parts <= verdict.parts:
                known.asked_at_s = max(known.asked_at_s, verdict.asked_at_s)
                return None
            if verdict.parts < known.parts:
                del self._verdicts[known.parts]
        if len(self._verdicts) >= MAX_VERDICTS:
            oldest = min(self._verdicts.values(), key=lambda each: each.asked_at_s)
            del self._verdicts[oldest.parts]
        self._verdicts[verdict.parts] = verdict
        return verdict

    def _drop_refuted(self) -> list[Verdict]:
        """Drop refuted parts of all verdicts; returns the verdicts of which nothing is left."""
        refuted = []
        for verdict in self.verdicts:
            if not any(
                self._evidence.succeeded_since(part, verdict.since_s) for part in verdict.parts
            ):
                continue
            parts = verdict.parts
            del self._verdicts[parts]
            self._add_verdict(verdict)
            if not verdict.parts:
                verdict.parts = parts
                refuted.append(verdict)
        return refuted
