"""Tests of the decision which prompts are refused because they crash engines."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from godwitpath.gateway.crash_evidence import (
    EVIDENCE_RETENTION_S,
    MAX_CRASHES,
    MAX_REQUESTS_PER_CRASH,
)
from godwitpath.gateway.judgement import CRASHES_IN_DOUBT
from godwitpath.gateway.quarantine import Quarantine
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedVerdict
from godwitpath.gateway.quarantine_reporter import MAX_REPORT_BYTES
from godwitpath.gateway.verdicts import MAX_VERDICTS, PROMPT_QUARANTINE_S
from test.quarantine_model import ModelOutcome, QuarantineModel

FLEETS = [(7, 5), (30, 12), (100, 30), (195, 45)]
"""Numbers of daemons and engines."""

CRASHING_PARTS = ("first", "crashing")


def crashed(quarantine: Quarantine, *crashes: tuple[float, list[tuple[str, ...]]]) -> None:
    """Note crashes of different engines, at a time and with the prompts of each."""
    for at_s, prompts in crashes:
        quarantine.note_crash((f"e{at_s}", 1), at_s, prompts, at_s)


class TestVerdict:
    def test_a_part_is_refused_after_four_crashes(self) -> None:
        quarantine = Quarantine(0.0)
        crash_times_s = [1.0, 3.0, 5.0, 7.0]
        crashed(quarantine, *((at_s, [CRASHING_PARTS]) for at_s in crash_times_s[:3]))
        assert quarantine.verdict(CRASHING_PARTS, 6.0) is None
        crashed(quarantine, (7.0, [CRASHING_PARTS]))
        verdict = quarantine.verdict(CRASHING_PARTS, 8.0)
        assert verdict is not None
        assert (verdict.crashes, verdict.since_s, verdict.asked_at_s) == (4, 1.0, 8.0)
        assert [at_s for _, at_s in quarantine.crashes(verdict)] == crash_times_s

    def test_crashes_in_quick_succession_are_judged_a_little_later(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, *((1.0 + 0.3 * n, [CRASHING_PARTS]) for n in range(5)))
        assert quarantine.review(2.9) is None
        assert quarantine.review(3.0) is not None
        assert quarantine.verdict(CRASHING_PARTS, 3.0) is not None

    def test_crashes_from_before_the_start_do_not_count(self) -> None:
        quarantine = Quarantine(2.0)
        crashed(quarantine, *((at_s, [CRASHING_PARTS]) for at_s in (1.0, 3.0, 5.0, 7.0)))
        assert quarantine.verdicts == []

    def test_what_sound_requests_share_with_it_is_not_refused(self) -> None:
        quarantine = Quarantine(0.0)
        for at_s in (1.0, 2.0, 3.0, 5.0):
            crashed(quarantine, (at_s, [CRASHING_PARTS, ("first", f"doc{at_s}")]))
            quarantine.note_success(("first", "other"), at_s + 0.5, at_s + 0.5)
        assert quarantine.verdict(("first", "crashing"), 6.0) is not None
        assert quarantine.verdict(("crashing",), 6.0) is not None
        assert quarantine.verdict(("first", "doc5.0"), 6.0) is None

    def test_a_crash_counts_once_whoever_tells_of_it(self) -> None:
        quarantine = Quarantine(0.0)
        for at_s in (1.0, 3.0, 5.0, 7.0):
            quarantine.note_crash(("e1", 1), at_s, [CRASHING_PARTS], at_s, own=at_s == 1.0)
        assert quarantine.verdicts == []
        # The same engine, started again, is another one.
        for started in (2, 3, 4):
            at_s = 5.0 + started
            quarantine.note_crash(("e1", started), at_s, [CRASHING_PARTS], at_s)
        assert quarantine.verdict(CRASHING_PARTS, 9.0) is not None

    def test_engines_that_crash_together_count_once(self) -> None:
        quarantine = Quarantine(0.0)
        for wave_at_s in (1.0, 4.0, 7.0):
            crashed(quarantine, *((wave_at_s + n * 0.01, [CRASHING_PARTS]) for n in range(20)))
        assert quarantine.verdicts == []

    def test_a_response_that_went_well_acquits_a_part(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, (1.0, [CRASHING_PARTS]), (3.0, [CRASHING_PARTS]))
        quarantine.note_success(CRASHING_PARTS, 4.0, 4.0)
        crashed(quarantine, *((at_s, [CRASHING_PARTS]) for at_s in (5.0, 7.0, 9.0)))
        assert quarantine.verdicts == []

    def test_a_part_that_was_sound_before_takes_more_crashes(self) -> None:
        quarantine = Quarantine(0.0)
        quarantine.note_success(CRASHING_PARTS, 0.5, 0.5)
        crashed(quarantine, *((2.0 * n, [CRASHING_PARTS]) for n in range(1, CRASHES_IN_DOUBT)))
        assert quarantine.verdicts == []
        crashed(quarantine, (2.0 * CRASHES_IN_DOUBT, [CRASHING_PARTS]))
        assert quarantine.verdict(CRASHING_PARTS, 20.0) is not None

    def test_a_part_takes_more_crashes_when_most_engines_crash_without_it(self) -> None:
        quarantine = Quarantine(0.0)
        for wave in range(1, CRASHES_IN_DOUBT + 1):
            assert quarantine.verdict(CRASHING_PARTS, 2.0 * wave) is None
            others = [(2.0 * wave + n * 0.01, [(f"doc{wave}{n}",)]) for n in range(1, 7)]
            crashed(quarantine, *others, (2.0 * wave, [CRASHING_PARTS]))
        assert quarantine.verdict(CRASHING_PARTS, 20.0) is not None

    def test_a_response_after_the_first_crash_lifts_the_verdict(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, *((at_s, [CRASHING_PARTS]) for at_s in (1.0, 2.0, 3.0, 5.0)))
        assert quarantine.note_success(("first",), 5.5, 5.5) == []
        [lifted] = quarantine.note_success(("crashing",), 5.6, 5.6)
        assert lifted.subjects == {"crashing"}
        assert quarantine.verdict(CRASHING_PARTS, 6.0) is None

    def test_parts_that_were_always_together_are_refused_together(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, *((at_s, [("crashing", "doc")]) for at_s in (1.0, 2.0, 3.0, 5.0)))
        assert quarantine.verdict(("doc",), 5.0) is None
        assert quarantine.verdict(("crashing", "doc"), 5.0) is not None
        quarantine.note_success(("doc",), 5.5, 5.5)
        assert quarantine.verdict(("crashing", "other"), 6.0) is not None

    def test_a_response_that_makes_one_verdict_cover_another_raises_no_error(self) -> None:
        quarantine = Quarantine(0.0)
        verdicts = [ReportedVerdict((part, "doc"), 9, 1.0, 0.5) for part in ("first", "second")]
        quarantine.apply_report(QuarantineReport(verdicts=verdicts), 2.0)
        assert quarantine.note_success(("first", "second"), 3.0, 3.0) == []
        assert [verdict.subjects for verdict in quarantine.verdicts] == [frozenset({"doc"})]

    def test_one_more_crash_tells_them_apart(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, *((at_s, [("crashing", "doc")]) for at_s in (1.0, 2.0, 3.0, 5.0)))
        assert quarantine.verdict(("crashing", "other"), 6.0) is None
        crashed(quarantine, (7.0, [("crashing", "other")]))
        # Other daemons may still tell of a request that explains this crash.
        assert quarantine.review(8.9) is None
        assert quarantine.review(9.0) is not None
        assert quarantine.verdict(("crashing", "third"), 9.0) is not None
        assert len(quarantine.verdicts) == 1

    def test_a_common_part_is_not_refused_when_all_engines_crash_in_turn(self) -> None:
        quarantine = Quarantine(0.0)
        for at_s in (1.0, 3.0, 5.0, 7.0):
            waiting = [("first", f"doc{at_s}{n}") for n in range(6)]
            crashed(quarantine, (at_s, [*waiting, ("first", f"doc{at_s}", "crashing")]))
        assert quarantine.verdict(("first", "doc"), 8.0) is None
        assert quarantine.verdict(("first", "crashing"), 8.0) is not None

    def test_a_request_beside_a_quarantined_one_is_not_suspect(self) -> None:
        quarantine = Quarantine(0.0)
        for at_s in (1.0, 2.0, 3.0, 5.0):
            crashed(quarantine, (at_s, [("crashing",), (f"doc{at_s}",)]))
            assert not quarantine.is_suspect((f"doc{at_s}",))
        assert quarantine.verdict(("crashing",), 6.0) is not None
        crashed(quarantine, (7.0, [("crashing",), ("doc",)]), (9.0, [("crashing",), ("doc",)]))
        assert not quarantine.is_suspect(("doc",))

    def test_a_request_is_suspect_before_its_part_is_quarantined(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, (1.0, [CRASHING_PARTS]))
        assert not quarantine.is_suspect(CRASHING_PARTS)
        crashed(quarantine, (3.0, [CRASHING_PARTS]))
        assert quarantine.is_suspect(CRASHING_PARTS)
        quarantine.note_success(CRASHING_PARTS, 4.0, 4.0)
        assert not quarantine.is_suspect(CRASHING_PARTS)

    def test_a_verdict_ends_when_nobody_asks_any_more(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, *((at_s, [CRASHING_PARTS]) for at_s in (1.0, 2.0, 3.0, 5.0)))
        assert quarantine.verdict(CRASHING_PARTS, 500.0) is not None
        assert quarantine.drop_expired(500.0 + PROMPT_QUARANTINE_S - 1.0) == []
        assert len(quarantine.drop_expired(500.0 + PROMPT_QUARANTINE_S)) == 1
        crashed(quarantine, *((2000.0 + at_s, [CRASHING_PARTS]) for at_s in (0.0, 2.0, 4.0)))
        assert quarantine.verdicts == []

    def test_old_crashes_do_not_count(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, *((at_s, [CRASHING_PARTS]) for at_s in (1.0, 2.0, 3.0)))
        quarantine.drop_expired(3.0 + EVIDENCE_RETENTION_S)
        crashed(quarantine, (4.0 + EVIDENCE_RETENTION_S, [CRASHING_PARTS]))
        assert quarantine.verdicts == []

    def test_made_up_parts_do_not_fill_the_memory(self) -> None:
        quarantine = Quarantine(0.0)
        for number in range(3 * MAX_CRASHES):
            prompts = [(f"p{number}-{n}",) for n in range(100)]
            quarantine.note_crash((f"e{number}", 1), 2.0 * number, prompts, 2.0 * number)
        verdicts = [ReportedVerdict((f"v{n}",), 4, 1.0, 1.0) for n in range(3 * MAX_VERDICTS)]
        quarantine.apply_report(QuarantineReport(verdicts=verdicts), 2000.0)
        assert len(quarantine.verdicts) == MAX_VERDICTS
        assert (
            len(quarantine._evidence._incarnations_by_subject)
            <= MAX_CRASHES * MAX_REQUESTS_PER_CRASH
        )

    def test_a_report_fits_into_a_packet_beside_others(self) -> None:
        quarantine = Quarantine(0.0)
        long = "x" * 32
        for number in range(50):
            prompts = [(f"first{long}", f"{number}-{n}{long}") for n in range(100)]
            quarantine.note_crash((f"e{number}", 1), 1.0 + 0.01 * number, prompts, 2.0)
        quarantine.note_success((f"first{long}",), 2.1, 2.1)
        verdicts = [ReportedVerdict((f"v{n}{long}",), 4, 1.0, 1.0) for n in range(MAX_VERDICTS)]
        quarantine.apply_report(QuarantineReport(verdicts=verdicts), 2.2)
        report = quarantine.report(2.3, relayed=True)
        assert report.crashes[0].engine_id == "e49"
        assert report.verdicts
        assert report.successes
        assert len(msgspec.msgpack.encode(report)) <= MAX_REPORT_BYTES


class TestExchange:
    def test_daemons_that_saw_one_crash_each_agree(self) -> None:
        daemons = [Quarantine(0.0) for _ in range(4)]
        for number, daemon in enumerate(daemons):
            at_s = 1.0 + 1.5 * number
            daemon.note_crash((f"e{number}", 1), at_s, [CRASHING_PARTS], at_s)
            for other in daemons:
                other.apply_report(daemon.report(at_s + 0.1), at_s + 0.12)
        assert all(daemon.verdict(CRASHING_PARTS, 6.0) for daemon in daemons)

    def test_a_daemon_that_starts_learns_the_verdicts(self) -> None:
        known, started = Quarantine(0.0), Quarantine(60.0)
        crashed(known, *((at_s, [CRASHING_PARTS]) for at_s in (1.0, 2.0, 3.0, 5.0)))
        [verdict] = started.apply_report(known.report(60.0), 60.0)
        assert verdict.subjects == {"crashing", "first"}
        assert started.verdict(CRASHING_PARTS, 61.0) is not None

    def test_a_refuted_verdict_does_not_return_from_a_late_report(self) -> None:
        first, second = Quarantine(0.0), Quarantine(0.0)
        crashed(first, *((at_s, [CRASHING_PARTS]) for at_s in (1.0, 2.0, 3.0, 5.0)))
        second.apply_report(first.report(5.1), 5.1)
        late = second.report(5.2)
        first.note_success(CRASHING_PARTS, 5.5, 5.5)
        second.apply_report(first.report(5.6), 5.6)
        assert second.verdicts == []
        first.apply_report(late, 5.7)
        assert first.verdicts == []

    def test_a_part_known_to_be_sound_is_not_refused_on_the_word_of_a_starting_daemon(
        self,
    ) -> None:
        started, known = Quarantine(0.0), Quarantine(0.0)
        known.note_success(("first",), 0.5, 0.5)
        crashed(started, *((at_s, [("first",)]) for at_s in (1.0, 2.0, 3.0, 5.0)))
        assert started.verdicts
        known.apply_report(started.report(5.1), 5.1)
        assert known.verdicts == []

    def test_an_acquittal_is_told_only_while_it_is_news(self) -> None:
        first, second = Quarantine(0.0), Quarantine(0.0)
        first.note_success(("first",), 0.5, 0.5)
        assert first.report(0.6).successes == {}
        crashed(first, (1.0, [CRASHING_PARTS]))
        assert first.report(1.1).successes == {}
        first.note_success(("first",), 1.5, 1.5)
        assert first.report(1.6).successes == {"first": 0.1}
        second.apply_report(first.report(1.6), 1.6)
        assert second.report(1.7).successes == {}
        first.note_success(("first",), 3.0, 3.0)
        assert first.report(3.3).successes == {}


def crashing_day(daemons: int, engines: int, seed: int, for_s: float = 30.0) -> ModelOutcome:
    """Play a day on which one part crashes engines."""
    model = QuarantineModel(daemons, engines, seed)
    model.every(1 / (3.0 * daemons), model.send_ordinary)
    model.run(5.0)
    model.every(0.5, model.send_crashing)
    outcome = model.run(for_s)
    assert {verdict for verdict in model.verdicts() if "crashing" in verdict}
    return outcome


class TestFleet:
    @pytest.mark.parametrize(("daemons", "engines"), FLEETS)
    @pytest.mark.parametrize("seed", [1, 2])
    def test_a_fleet_stops_sending_what_crashes_engines(
        self, daemons: int, engines: int, seed: int
    ) -> None:
        outcome = crashing_day(daemons, engines, seed)
        assert outcome.late_sends() <= 3
        assert len(outcome.crashes_s) <= 10
        assert outcome.wrong_verdicts == set()
        assert outcome.started_share() >= 0.8

    @pytest.mark.parametrize(("daemons", "engines"), FLEETS)
    def test_nothing_is_refused_when_engines_crash_for_other_reasons(
        self, daemons: int, engines: int
    ) -> None:
        model = QuarantineModel(daemons, engines, seed=3)
        model.every(1 / (3.0 * daemons), model.send_ordinary)
        model.every(2.0, lambda: model.crash_share(0.15))
        model.every(7.0, lambda: model.crash_share(0.4))
        model.every(4.0, model.restart_daemon)
        outcome = model.run(60.0)
        assert outcome.wrong_verdicts == set()

    def test_daemons_that_restart_meanwhile_stop_sending_too(self) -> None:
        model = QuarantineModel(8, 5, seed=4)
        model.every(0.04, model.send_ordinary)
        model.every(0.5, model.send_crashing)
        model.every(3.0, model.restart_daemon)
        outcome = model.run(60.0)
        assert outcome.late_sends() <= 3
        assert outcome.wrong_verdicts == set()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["crash", "sound", "report", "restart"]),
        st.integers(0, 2),
        st.integers(0, 2),
        st.sampled_from(["a", "b", "c"]),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(STEPS)
def test_in_any_order_only_parts_without_a_later_response_are_refused(
    steps: list[tuple[str, int, int, str]],
) -> None:
    daemons = [Quarantine(0.0) for _ in range(3)]
    crashes: list[float] = []
    for number, (step, index, other, document) in enumerate(steps):
        now_s = 1.5 * number
        daemon = daemons[index]
        if step == "crash":
            if daemon.verdict(("crashing", document), now_s) is None:
                daemon.note_crash((f"e{number}", 1), now_s, [("crashing", document)], now_s)
                crashes.append(now_s)
        elif step == "sound":
            daemon.note_success((document,), now_s, now_s)
            assert daemon.verdict((document,), now_s) is None
        elif step == "report":
            daemons[other].apply_report(daemon.report(now_s), now_s)
        else:
            daemons[index] = Quarantine(now_s)
        for each in daemons:
            assert all("crashing" in verdict.subjects for verdict in each.verdicts)
    # A daemon that hears of all crashes refuses the part, with whatever document.
    witness = Quarantine(0.0)
    for number, at_s in enumerate(crashes):
        witness.note_crash((f"w{number}", 1), at_s, [("crashing", f"d{number}")], at_s)
    assert bool(witness.verdict(("crashing", "new"), 1000.0)) == (len(crashes) >= 4)
