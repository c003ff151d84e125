"""Parts of the daemons' reports: crashes of engines, and what is quarantined."""

from __future__ import annotations

import msgspec

from godwitpath.decoding import Age, Count

Subjects = tuple[str, ...]
"""What a crash of an engine under a request may be due to: the shared parts of its prompt, and the
request itself, by its fingerprint."""


class ReportedCrash(msgspec.Struct, array_like=True, frozen=True):
    """A crash of one incarnation of an engine.

    :ivar started_at_ms: start time of the engine in Unix milliseconds
    :ivar age_s: time since the crash
    :ivar requests: subjects of each request that the engine could have begun to answer, or some of
        them: those with one fingerprint are one request
    :ivar needed: for each request, the number of parts from which on it counts, 0 if all parts that
        matter are there
    """

    engine_id: str
    started_at_ms: Count
    age_s: Age
    requests: list[Subjects]
    needed: list[Count] = []


class ReportedVerdict(msgspec.Struct, array_like=True, frozen=True):
    """A verdict on subjects.

    :ivar subjects: the quarantined subject, with further ones if the evidence does not distinguish
        them
    :ivar crashes: number of crashes that spoke for it
    :ivar since_age_s: time since the first of these crashes
    :ivar asked_age_s: time since the last request that was refused, or since the verdict
    """

    subjects: Subjects
    crashes: Count
    since_age_s: Age
    asked_age_s: Age


class VerdictPiece(msgspec.Struct, array_like=True, frozen=True):
    """Some of the subjects of a verdict that has too many for one report.

    :ivar digest: digest of all its subjects
    :ivar total: number of all its subjects
    :ivar verdict: the verdict with some of its subjects
    """

    digest: str
    total: Count
    verdict: ReportedVerdict


class QuarantineReport(msgspec.Struct, array_like=True, frozen=True):
    """What a daemon reports about crashes and requests.

    :ivar successes: time in seconds since a response to the subject last went well, by subject
    :ivar pieces: verdicts that count once all their subjects are known
    """

    crashes: list[ReportedCrash] = []
    verdicts: list[ReportedVerdict] = []
    successes: dict[str, Age] = {}
    pieces: list[VerdictPiece] = []
