"""Chooses what a daemon reports about requests that crash engines, within a number of bytes.

A report holds the most important things that were not in a report yet; what has no room follows in
the next ones. Each of verdicts, successes and crashes has a third of the room, and what the others
leave of theirs.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from godwitpath.gateway.crash_evidence import REPORT_S, Crash, CrashEvidence
from godwitpath.gateway.engine_notices import Incarnation
from godwitpath.gateway.fingerprint import is_fingerprint, subjects_digest
from godwitpath.gateway.quarantine_report import (
    QuarantineReport,
    ReportedCrash,
    ReportedVerdict,
    Subjects,
    VerdictPiece,
)
from godwitpath.gateway.quarantine_rows import ReportedRow, text_bytes, that_fit
from godwitpath.gateway.verdicts import Verdict, Verdicts

MAX_REPORT_BYTES = 1200
"""Default bound of a report: it shares a packet with others."""

MIN_REPORT_BYTES = 400
"""Bound from which on everything that is reported gets its turn."""

MAX_WHOLE_VERDICT_BYTES = 200
"""Size up to which a verdict is not divided."""

SAME_SUCCESS_S = 0.2
"""Difference up to which two times of a response that went well are the same, since they are
reported as ages."""

MAX_WAIT_S = 20.0
"""Time for which a success waits for its turn."""

_REPORT_BYTES = 16
"""Size of an empty report with the longest lengths of its lists."""

_CRASH_BYTES = 26
"""Size of a crash besides its engine and its requests: its own length, two numbers, two lists."""

_REQUEST_BYTES = 6
"""Size of a request besides its subjects: its length, and the number of parts that it needs."""

_VERDICT_BYTES = 34
"""Size of a verdict besides its subjects."""

_PIECE_BYTES = 32
"""Size of a piece besides that of the verdict with its subjects."""

_SUCCESS_BYTES = 9


@dataclass(slots=True)
class _PendingSuccess:
    """A success that the other daemons may not know of.

    :ivar since_s: time from which on it is reported
    :ivar reported: whether it was in a report
    """

    since_s: float
    reported: bool = False

    def is_old(self, now_s: float) -> bool:
        """Return whether it was reported for long enough, or has waited for too long."""
        age_s = now_s - self.since_s
        return age_s >= (REPORT_S if self.reported else MAX_WAIT_S)


@dataclass(slots=True)
class _Turns:
    """What was in the reports of one kind, those of this daemon or those that relay others.

    :ivar number: number of the last report
    :ivar seen: by crash and number of the request, how many of its subjects were considered
    :ivar documents: by crash, the lists of parts that were considered, by their hash
    :ivar rows: the requests to report
    :ivar verdicts: by subjects, the last report with a verdict, and the subjects of it that the
        reports had in this round
    """

    number: int = 0
    seen: dict[Incarnation, dict[int, int]] = field(default_factory=dict)
    documents: dict[Incarnation, set[int]] = field(default_factory=dict)
    rows: dict[Incarnation, list[ReportedRow]] = field(default_factory=dict)
    verdicts: dict[frozenset[str], tuple[int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class _Draft:
    """A report that is being filled."""

    crashes: dict[Incarnation, ReportedCrash] = field(default_factory=dict)
    verdicts: list[ReportedVerdict] = field(default_factory=list)
    pieces: list[VerdictPiece] = field(default_factory=list)
    successes: dict[str, float] = field(default_factory=dict)


class Reporter:
    """Chooses what to report of the evidence and the verdicts."""

    __slots__ = ("_evidence", "_heard", "_own", "_relayed", "_successes", "_verdicts")

    def __init__(self, evidence: CrashEvidence, verdicts: Verdicts) -> None:
        self._evidence = evidence
        self._verdicts = verdicts
        self._own = _Turns()
        self._relayed = _Turns()
        # Successes to report to the other daemons by subject, the next first.
        self._successes: dict[str, _PendingSuccess] = {}
        # The same, of successes that were new in a report of another daemon.
        self._heard: dict[str, _PendingSuccess] = {}

    # Successes.

    def consider(self, subject: str, now_s: float) -> None:
        """Report the success of a subject if it changes what other daemons count against it."""
        if subject not in self._successes and self._is_unreported(subject):
            self._successes[subject] = _PendingSuccess(now_s)

    def note_heard(self, subject: str, at_s: float, now_s: float) -> None:
        """Note that another daemon reported a success."""
        success = self._evidence.successes[subject]
        if at_s > success.reported_at_s + SAME_SUCCESS_S:
            self._heard[subject] = _PendingSuccess(now_s)
        success.reported_at_s = max(success.reported_at_s, at_s)
        if not self._is_unreported(subject):
            self._successes.pop(subject, None)

    def _is_unreported(self, subject: str) -> bool:
        success = self._evidence.successes.get(subject)
        if success is None:
            return False
        times_s = self._evidence.newest_times_s(subject)
        times_s += [each.since_s for each in self._verdicts if subject in each.subjects]
        return any(success.reported_at_s < at_s < success.succeeded_at_s for at_s in times_s)

    # The report.

    def report(self, now_s: float, *, relayed: bool, max_bytes: int) -> QuarantineReport:
        """Return what to report to the other daemons.

        With room for :data:`MIN_REPORT_BYTES` or more, whatever is to be reported is out within
        four times as many reports as its size would fill.

        :param relayed: whether to report also what other daemons reported lately
        :param max_bytes: bound of the encoded report
        """
        turns = self._relayed if relayed else self._own
        turns.number += 1
        self._consider_crashes(turns, now_s, relayed)
        self._forget_reported(turns, now_s)
        draft, left = _Draft(), max_bytes - _REPORT_BYTES
        third = left // 3
        fillers: tuple[tuple[Callable[[int], int], int], ...] = (
            (lambda room: self._fill_verdicts(draft, turns, now_s, room), 2 * third),
            (lambda room: self._fill_successes(draft, now_s, relayed, room), third),
            (lambda room: self._fill_crashes(draft, turns, now_s, room), 0),
            (lambda room: self._fill_verdicts(draft, turns, now_s, room), 0),
            (lambda room: self._fill_successes(draft, now_s, relayed, room), 0),
        )
        for fill, reserved in fillers:
            left -= fill(max(0, left - reserved))
        return QuarantineReport(
            list(draft.crashes.values()), draft.verdicts, draft.successes, draft.pieces
        )

    def _fill_successes(self, draft: _Draft, now_s: float, relayed: bool, room: int) -> int:
        """Add successes, those of quarantined subjects first; returns the bytes that they take."""
        accused = {subject for verdict in self._verdicts for subject in verdict.subjects}
        waiting = [*self._successes, *(self._heard if relayed else ())]
        urgent = [subject for subject in waiting if subject in accused]
        used = 0
        for subject in (*urgent, *waiting):
            success = self._evidence.successes.get(subject)
            if subject in draft.successes or success is None:
                continue
            size_bytes = text_bytes(subject) + _SUCCESS_BYTES
            if used + size_bytes > room:
                break
            used += size_bytes
            draft.successes[subject] = round(now_s - success.succeeded_at_s, 3)
            for reported in (self._successes, self._heard) if relayed else (self._successes,):
                if subject in reported:
                    pending = reported[subject] = reported.pop(subject)
                    pending.reported = True
        return used

    def _fill_verdicts(self, draft: _Draft, turns: _Turns, now_s: float, room: int) -> int:
        """Add verdicts, those first whose last report is the oldest."""
        used = 0
        in_turn = sorted(
            self._verdicts, key=lambda each: turns.verdicts.get(each.subjects, (0,))[0]
        )
        for verdict in in_turn:
            reported_in, cursor = turns.verdicts.get(verdict.subjects, (0, 0))
            if reported_in == turns.number:
                continue
            subjects = tuple(sorted(verdict.subjects))
            whole_bytes = _VERDICT_BYTES + sum(map(text_bytes, subjects))
            if whole_bytes <= MAX_WHOLE_VERDICT_BYTES:
                if used + whole_bytes <= room:
                    used += whole_bytes
                    draft.verdicts.append(reported_verdict(verdict, subjects, now_s))
                    turns.verdicts[verdict.subjects] = (turns.number, 0)
                continue
            left = room - used - _PIECE_BYTES - _VERDICT_BYTES
            piece = tuple(that_fit(subjects[cursor:], left))
            if piece:
                used = room - left + sum(map(text_bytes, piece))
                reported = reported_verdict(verdict, piece, now_s)
                digest = subjects_digest(subjects)
                draft.pieces.append(VerdictPiece(digest, len(subjects), reported))
                cursor = (cursor + len(piece)) % len(subjects)
                turns.verdicts[verdict.subjects] = (turns.number, cursor)
        return used

    def _fill_crashes(self, draft: _Draft, turns: _Turns, now_s: float, room: int) -> int:
        """Add requests under which engines crashed, those first that were reported least."""
        used = 0
        in_turn = [
            (row.rounds, row.reported_in, -number, incarnation, row)
            for number, (incarnation, rows) in enumerate(turns.rows.items())
            for row in rows
            if row.reported_in < turns.number
        ]
        for *_, incarnation, row in sorted(in_turn, key=lambda each: each[:3]):
            engine_id, started_at_ms = incarnation
            reported = draft.crashes.get(incarnation)
            head_bytes = 0 if reported else _CRASH_BYTES + text_bytes(engine_id)
            head_bytes += _REQUEST_BYTES + sum(map(text_bytes, row.key))
            left = room - used - head_bytes
            if left < 0:
                continue
            slice_ = row.next_slice(left)
            if slice_ is None:
                continue
            parts, needed = slice_
            if reported is None:
                age_s = round(now_s - self._evidence.crashes[incarnation].at_s, 3)
                reported = ReportedCrash(engine_id, started_at_ms, age_s, [], [])
                draft.crashes[incarnation] = reported
            reported.requests.append((*parts, *row.key))
            reported.needed.append(needed)
            row.reported_in = turns.number
            used += head_bytes + sum(map(text_bytes, parts))
        return used

    # What is to be reported.

    def _consider_crashes(self, turns: _Turns, now_s: float, relayed: bool) -> None:
        crashes = self._evidence.crashes
        for known in (turns.seen, turns.documents, turns.rows):
            for incarnation in known.keys() - crashes.keys():
                del known[incarnation]
        for incarnation, crash in crashes.items():
            if now_s - crash.learned_at_s >= REPORT_S:
                continue
            seen = turns.seen.setdefault(incarnation, {})
            for number in range(len(crash.requests)) if relayed else sorted(crash.own_requests):
                request = crash.requests[number]
                known_parts = seen.get(number, 0)
                if known_parts < len(request):
                    seen[number] = len(request)
                    documents = turns.documents.setdefault(incarnation, set())
                    row = self._row(crash, request, known_parts, documents)
                    if row is not None:
                        turns.rows.setdefault(incarnation, []).append(row)

    def _row(
        self, crash: Crash, request: Subjects, known_parts: int, documents: set[int]
    ) -> ReportedRow | None:
        """Return what to report of a request.

        Of requests with the same parts one is reported with them, and the fingerprints of the
        others; of one that a verdict explains, what that verdict names. Parts with a later success
        are left out. Those without any success are the most suspect.

        :param known_parts: number of its subjects that were considered before
        """
        key = request[-1:] if is_fingerprint(request[-1]) else ()
        parts = request[: len(request) - len(key)]
        if known_parts:
            parts = parts[known_parts - len(key) :]
        if hash(parts) in documents:
            return ReportedRow((), key, 0) if key and not known_parts else None
        documents.add(hash(parts))
        explained = next((each for each in self._verdicts if each.subjects.issubset(request)), None)
        if explained is not None:
            parts = tuple(each for each in parts if each in explained.subjects)
        successes = self._evidence.successes
        suspect = [each for each in parts if each not in successes]
        doubtful = [
            each
            for each in parts
            if each in successes and successes[each].succeeded_at_s < crash.at_s
        ]
        if not (suspect or doubtful or key):
            return None
        return ReportedRow((*suspect, *doubtful), key, len(suspect) or len(doubtful))

    def _forget_reported(self, turns: _Turns, now_s: float) -> None:
        """Forget what the other daemons know by now."""
        for incarnation, rows in list(turns.rows.items()):
            is_recent = now_s - self._evidence.crashes[incarnation].learned_at_s < REPORT_S
            left = [row for row in rows if is_recent or not row.rounds]
            if left:
                turns.rows[incarnation] = left
            else:
                del turns.rows[incarnation]
        in_force = {verdict.subjects for verdict in self._verdicts}
        for subjects in turns.verdicts.keys() - in_force:
            del turns.verdicts[subjects]
        for subject, pending in list(self._successes.items()):
            if pending.is_old(now_s):
                del self._successes[subject]
                success = self._evidence.successes.get(subject)
                if success is not None:
                    success.reported_at_s = success.succeeded_at_s
        for subject, pending in list(self._heard.items()):
            if pending.is_old(now_s):
                del self._heard[subject]


def reported_verdict(verdict: Verdict, subjects: Subjects, now_s: float) -> ReportedVerdict:
    """Return a verdict as it is reported, with some of its subjects or all of them."""
    return ReportedVerdict(
        subjects,
        verdict.crashes,
        round(now_s - verdict.since_s, 3),
        round(now_s - verdict.asked_at_s, 3),
    )
