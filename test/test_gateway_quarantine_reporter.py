"""Tests of what daemons report about requests that crash engines, within a number of bytes."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from godwitpath.gateway.quarantine import Quarantine
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedVerdict
from godwitpath.gateway.quarantine_reporter import MAX_REPORT_BYTES, MIN_REPORT_BYTES, text_bytes

REPORT_S = 0.4
DOCUMENT = tuple(f"{number:08x}" for number in range(1_000))


def size_bytes(report: QuarantineReport) -> int:
    return len(msgspec.msgpack.encode(report))


def over_the_wire(report: QuarantineReport) -> QuarantineReport:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(report), type=QuarantineReport)


TEXTS = st.one_of(
    st.sampled_from(["first", "document", "crashing", "x" * 40, "request:a", "request:b"]),
    st.text(max_size=12),
)
REQUESTS = st.lists(TEXTS, min_size=1, max_size=40, unique=True).map(
    lambda texts: tuple(sorted(texts, key=lambda text: text.startswith("request:")))
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("crash"), st.lists(REQUESTS, max_size=12), st.booleans()),
        st.tuples(st.just("success"), REQUESTS, st.booleans()),
        st.tuples(st.just("verdict"), st.lists(REQUESTS, max_size=30), st.booleans()),
    ),
    max_size=12,
)


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(STEPS, st.integers(16, MAX_REPORT_BYTES), st.booleans())
def test_no_report_of_any_evidence_is_larger_than_its_bound(
    steps: list[tuple[str, object, bool]], max_bytes: int, relayed: bool
) -> None:
    quarantine = Quarantine(0.0)
    for number, (kind, value, own) in enumerate(steps):
        now_s = 1.0 + 0.7 * number
        if kind == "crash":
            quarantine.note_crash((f"e{number}", 2**40), now_s, value, now_s, own=own)  # type: ignore[arg-type]
        elif kind == "success":
            quarantine.note_success(value, now_s, now_s)  # type: ignore[arg-type]
        else:
            verdicts = [ReportedVerdict(each, 9, 1.0, 0.5) for each in value]  # type: ignore[attr-defined]
            quarantine.apply_report(QuarantineReport(verdicts=verdicts), now_s)
        report = quarantine.report(now_s + 0.1, relayed=relayed, max_bytes=max_bytes)
        assert size_bytes(report) <= max_bytes


@settings(max_examples=100, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.lists(st.tuples(st.integers(1, 200), st.integers(0, 200)), min_size=1, max_size=8),
    st.integers(0, 20),
    st.integers(MIN_REPORT_BYTES, MAX_REPORT_BYTES),
)
def test_whatever_is_vital_is_out_within_the_stated_number_of_reports(
    crashes: list[tuple[int, int]], verdicts: int, max_bytes: int
) -> None:
    sender, receiver = Quarantine(0.0), Quarantine(0.0)
    told = [ReportedVerdict((f"v{n}", f"w{n}"), 9, 1.0, 0.5) for n in range(verdicts)]
    sender.apply_report(QuarantineReport(verdicts=told), 1.0)
    known = tuple(f"known{n}" for n in range(200))
    sender.note_success(known, 1.0, 1.0)
    total_bytes = 120 * verdicts
    new_parts = []
    for number, (parts, known_parts) in enumerate(crashes):
        new = tuple(f"{number}-{n}" for n in range(parts))
        request = (*known[:known_parts], *new, f"request:{number:026}")
        sender.note_crash((f"e{number}", 2**40), 1.1 + number * 0.01, [request], 1.2)
        total_bytes += 80 + sum(map(text_bytes, request))
        new_parts.append(new)
    reports = 2 + 4 * total_bytes // (max_bytes - 16)
    for number in range(reports):
        now_s = 1.3 + REPORT_S * number
        receiver.apply_report(over_the_wire(sender.report(now_s, max_bytes=max_bytes)), now_s)
    assert {each.subjects for each in receiver.verdicts} == {frozenset(t.subjects) for t in told}
    for number, new in enumerate(new_parts):
        crash = receiver._evidence.crashes[(f"e{number}", 2**40)]
        [request] = crash.requests
        assert set(new) <= set(request)


class TestVital:
    def test_a_part_without_any_success_is_in_the_first_report(self) -> None:
        sender, receiver = Quarantine(0.0), Quarantine(0.0)
        sender.note_success(DOCUMENT, 0.5, 0.5)
        for number, at_s in enumerate((1.0, 3.0, 5.0, 7.0)):
            request = (*DOCUMENT, "crashing", f"request:{number}")
            sender.note_crash((f"e{number}", 1), at_s, [request], at_s)
            report = over_the_wire(sender.report(at_s + 0.1, max_bytes=MIN_REPORT_BYTES))
            receiver.apply_report(msgspec.structs.replace(report, verdicts=[], pieces=[]), at_s)
        [verdict] = receiver.verdicts
        assert "crashing" in verdict.subjects

    @pytest.mark.parametrize("max_bytes", [600, MAX_REPORT_BYTES])
    def test_daemons_agree_on_a_part_of_a_document_that_none_of_them_knows(
        self, max_bytes: int
    ) -> None:
        daemons = [Quarantine(0.0) for _ in range(4)]
        for number, daemon in enumerate(daemons):
            request = (*DOCUMENT, "crashing", f"request:{number}")
            daemon.note_crash((f"e{number}", 1), 1.0 + number, [request], 4.0)
        reports = 2 + 4 * 9_200 // max_bytes
        for number in range(reports):
            now_s = 4.1 + REPORT_S * number
            for daemon in daemons:
                report = over_the_wire(daemon.report(now_s, max_bytes=max_bytes))
                for other in daemons:
                    other.apply_report(report, now_s)
        for daemon in daemons:
            assert daemon.verdict((*DOCUMENT, "crashing"), 60.0) is not None
            assert daemon.verdict(DOCUMENT, 60.0) is None

    def test_a_piece_of_a_request_does_not_convict_its_parts(self) -> None:
        daemons = [Quarantine(0.0) for _ in range(2)]
        for number in range(4):
            request = (*DOCUMENT, "crashing", f"request:{number}")
            daemons[0].note_crash((f"e{number}", 1), 1.0 + number, [request], 5.0)
        report = daemons[0].report(5.1, max_bytes=600)
        daemons[1].apply_report(msgspec.structs.replace(report, pieces=[]), 5.1)
        assert daemons[1].review(20.0) is None

    def test_a_daemon_that_starts_learns_a_verdict_of_many_subjects(self) -> None:
        known, started = Quarantine(0.0), Quarantine(60.0)
        for number in range(4):
            request = (*DOCUMENT, "crashing", f"request:{number}")
            known.note_crash((f"e{number}", 1), 1.0 + number, [request], 5.0)
        assert len(known.verdicts[0].subjects) == 1_001
        for number in range(2 + 4 * 9_200 // MAX_REPORT_BYTES):
            now_s = 60.0 + REPORT_S * number
            started.apply_report(over_the_wire(known.report(now_s)), now_s)
        assert started.verdict((*DOCUMENT, "crashing"), 80.0) is not None
        assert started.verdict(DOCUMENT, 80.0) is None
