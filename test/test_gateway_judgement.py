"""Tests of the cost of judging requests that crash engines, and of what their crashes speak for."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

from godwitpath.gateway.crash_evidence import CrashEvidence
from godwitpath.gateway.judgement import Judge
from godwitpath.gateway.quarantine import Quarantine
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedCrash
from godwitpath.gateway.verdicts import Verdict, Verdicts

MAX_HOLD_S = 0.05
"""Longest time for which one step may hold the event loop."""

PARTS = 1_000
BAD_PER_CRASH = 24
SOUND_PER_CRASH = 4
CRASHES_PER_S = 2
"""Crashes under 36 bad requests a second at three daemons."""

T = TypeVar("T")


class HoldMeter:
    """Measures the processor time of the longest call."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    def __call__(self, function: Callable[..., T], *arguments: object) -> T:
        """Call a function, and return its result."""
        began_s = time.thread_time()
        result = function(*arguments)
        self.longest_s = max(self.longest_s, time.thread_time() - began_s)
        return result


def crashing_requests(document: tuple[str, ...], crash: int) -> list[tuple[str, ...]]:
    """Return the requests of a crash: most have a part that crashes engines, some have not."""
    bad = [
        (*document[:500], "crashing", *document[500:], f"request:b{crash}-{number}")
        for number in range(BAD_PER_CRASH)
    ]
    sound = [(*document, f"request:s{crash}-{number}") for number in range(SOUND_PER_CRASH)]
    return bad + sound


class TestCost:
    def test_a_document_of_many_parts_does_not_hold_the_loop(self) -> None:
        quarantine, other, meter = Quarantine(0.0), Quarantine(0.0), HoldMeter()
        document = tuple(f"{number:08x}" for number in range(PARTS - 1))
        sound = (*document, "request:sound")
        for crash in range(12):
            now_s = 1.0 + crash / CRASHES_PER_S
            requests = crashing_requests(document, crash)
            meter(quarantine.note_crash, (f"e{crash}", 1), now_s, requests, now_s)
            meter(quarantine.review, now_s + 0.1)
            meter(other.apply_report, meter(quarantine.report, now_s + 0.1), now_s + 0.12)
            whole = ReportedCrash(f"e{crash}", 1, 0.1, requests)
            meter(other.apply_report, QuarantineReport([whole]), now_s + 0.2)
            meter(quarantine.is_suspect, requests[0])
            meter(quarantine.verdict, requests[0], now_s + 0.1)
            if crash >= 8:
                meter(quarantine.note_success, sound, now_s + 0.2, now_s + 0.2)
                meter(quarantine.report, now_s + 0.3)
        assert quarantine.verdict(requests[0], 20.0) is not None
        assert quarantine.verdict(sound, 20.0) is None
        assert meter.longest_s < MAX_HOLD_S

    def test_a_prompt_whose_parts_are_all_in_verdicts_does_not_hold_the_loop(self) -> None:
        quarantine, meter = Quarantine(0.0), HoldMeter()
        document = tuple(f"{number:08x}" for number in range(PARTS))
        for crash in range(8):
            now_s = 1.0 + crash
            requests = [(*document, f"request:{crash}-{n}") for n in range(BAD_PER_CRASH)]
            meter(quarantine.note_crash, (f"e{crash}", 1), now_s, requests, now_s)
            meter(quarantine.report, now_s + 0.1)
            meter(quarantine.review, now_s + 0.2)
        assert len(quarantine.verdicts[0].subjects) == PARTS
        meter(quarantine.note_crash, ("e8", 1), 20.0, [(document[0], "request:8")], 20.0)
        meter(quarantine.review, 22.0)
        assert quarantine.verdict((document[0], "request:9"), 22.0) is not None
        meter(quarantine.note_success, document, 23.0, 23.0)
        assert quarantine.verdict(document, 23.0) is None
        assert meter.longest_s < MAX_HOLD_S


BAD = ("first", "document", "crashing")
SOUND = ("first", "document")


def crash_under(quarantine: Quarantine, at_s: float, *requests: tuple[str, ...]) -> None:
    """Note the crash of an engine, one for each time, under requests of their own."""
    named = [(*parts, f"request:{at_s}-{n}") for n, parts in enumerate(requests)]
    quarantine.note_crash((f"e{at_s}", 1), at_s, named, at_s)


class TestExplained:
    def test_crashes_that_one_verdict_explains_do_not_count_against_the_document(self) -> None:
        quarantine = Quarantine(0.0)
        for number in range(20):
            now_s = 1.0 + 0.5 * number
            crash_under(quarantine, now_s, BAD, BAD, SOUND)
            quarantine.review(now_s + 0.1)
            assert quarantine.verdict(SOUND, now_s) is None
        assert quarantine.verdict(BAD, 12.0) is not None

    def test_a_crash_is_explained_by_a_request_that_another_daemon_tells_of_a_little_later(
        self,
    ) -> None:
        quarantine = Quarantine(0.0)
        for at_s in (1.0, 2.0, 3.0, 4.0):
            crash_under(quarantine, at_s, BAD, SOUND)
        assert quarantine.verdict(BAD, 4.0) is not None
        crash_under(quarantine, 6.0, SOUND)
        assert quarantine.review(7.9) is None
        quarantine.note_crash(("e6.0", 1), 6.0, [(*BAD, "request:other")], 7.9, own=False)
        assert quarantine.review(8.0) is None
        assert quarantine.verdict(SOUND, 8.0) is None

    def test_the_document_is_refused_if_engines_crash_under_it_without_the_part(self) -> None:
        quarantine = Quarantine(0.0)
        for at_s in (1.0, 2.0, 3.0, 4.0):
            crash_under(quarantine, at_s, BAD, SOUND)
        crash_under(quarantine, 6.0, SOUND)
        assert quarantine.review(8.0) is not None
        assert quarantine.verdict(SOUND, 8.0) is not None


def test_a_crash_whose_request_is_learned_in_parts_is_explained_once_it_has_all_of_them() -> None:
    evidence, verdicts = CrashEvidence(0.0), Verdicts()
    verdicts.add(Verdict(frozenset(("a", "b")), 4, 0.0, 0.0))
    judge = Judge(evidence, verdicts)
    fingerprint = "request:f1"
    evidence.add_crash(("e", 1), 10.0, [("a", "sound", fingerprint)], 10.0, own=False)
    assert judge.cases(["sound"])
    evidence.add_crash(("e", 1), 10.0, [("b", fingerprint)], 10.1, own=False)
    assert not judge.cases(["sound"])
