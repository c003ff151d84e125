"""Tests of the decision which requests are refused because their copies crash engines."""

from __future__ import annotations

from functools import partial

import pytest

from godwitpath.gateway.crash_evidence import EVIDENCE_RETENTION_S, MAX_SUCCESSES
from godwitpath.gateway.fingerprint import fingerprint
from godwitpath.gateway.judgement import CRASHES_OF_A_REQUEST
from godwitpath.gateway.quarantine import Quarantine
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedVerdict
from godwitpath.gateway.verdicts import MAX_VERDICTS, REQUEST_QUARANTINE_S
from godwitpath.http1.messages import Request
from godwitpath_standin.gateway.crash_rule import TOLERATED_SENDS
from test.request_quarantine_model import RequestModel


def copy_of(item: int, account: str = "hauliers") -> str:
    """Return the fingerprint of a request."""
    request = Request("GET", b"/stock/%d" % item, [(b"host", b"depots")], b"", 0.0, 0.0)
    return fingerprint(request, account)


CRASHING = (copy_of(0),)


def crashed(quarantine: Quarantine, *crashes: tuple[float, list[tuple[str, ...]]]) -> None:
    """Note crashes of different engines, at a time and with the requests of each."""
    for at_s, requests in crashes:
        quarantine.note_crash((f"e{at_s}", 1), at_s, requests, at_s)


class TestVerdict:
    def test_copies_are_refused_after_three_crashes(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, (1.0, [CRASHING]), (2.0, [CRASHING]))
        assert quarantine.verdict(CRASHING, 3.0) is None
        crashed(quarantine, (4.0, [CRASHING]))
        verdict = quarantine.verdict(CRASHING, 4.0)
        assert verdict is not None
        assert (verdict.kind, verdict.crashes) == ("request", CRASHES_OF_A_REQUEST)
        assert quarantine.verdict((copy_of(1),), 4.0) is None
        assert quarantine.verdict((copy_of(0, "depots"),), 4.0) is None

    def test_engines_that_end_together_do_not_suffice(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, *((1.0 + n * 0.05, [CRASHING]) for n in range(4)))
        assert quarantine.review(10.0) is None
        crashed(quarantine, (10.0, [CRASHING]))
        verdict = quarantine.verdict(CRASHING, 10.0)
        assert verdict is not None
        assert verdict.crashes == 5

    def test_crashes_in_quick_succession_wait_for_the_responses_in_between(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, *((at_s, [CRASHING]) for at_s in (1.0, 1.4, 1.8)))
        assert quarantine.review(2.9) is None
        assert quarantine.review(3.0) is not None

    def test_a_response_in_between_clears_a_popular_request(self) -> None:
        quarantine = Quarantine(0.0)
        for at_s in (1.0, 3.0, 5.0, 7.0, 9.0):
            crashed(quarantine, (at_s, [CRASHING, (copy_of(1),)]))
            quarantine.note_success((copy_of(1),), at_s + 1.0, at_s + 1.0)
        assert [verdict.subjects for verdict in quarantine.verdicts] == [frozenset(CRASHING)]

    def test_a_request_that_was_sound_before_takes_no_more_crashes(self) -> None:
        quarantine = Quarantine(0.0)
        quarantine.note_success(CRASHING, 0.5, 0.5)
        crashed(quarantine, *((at_s, [CRASHING]) for at_s in (1.0, 3.0, 5.0)))
        assert quarantine.verdict(CRASHING, 5.0) is not None

    def test_the_request_is_refused_and_not_the_parts_that_it_shares(self) -> None:
        quarantine = Quarantine(0.0)
        request = ("first", "document", copy_of(0))
        crashed(quarantine, *((at_s, [request]) for at_s in (1.0, 3.0, 5.0)))
        assert quarantine.verdict(request, 6.0) is not None
        assert quarantine.verdict(("first", "document", copy_of(1)), 6.0) is None
        # Responses to other requests with these parts show that the parts are not the cause.
        assert quarantine.note_success(("first", "document", copy_of(1)), 7.0, 7.0) == []
        assert quarantine.verdict((copy_of(0),), 8.0) is not None

    def test_a_part_in_different_requests_is_refused_and_not_these(self) -> None:
        quarantine = Quarantine(0.0)
        for number, at_s in enumerate((1.0, 3.0, 5.0, 7.0)):
            crashed(quarantine, (at_s, [("crashing", copy_of(number))]))
        assert quarantine.verdict(("crashing", copy_of(9)), 8.0) is not None
        assert quarantine.verdict((copy_of(0),), 8.0) is None

    @pytest.mark.parametrize("interval_s", [0.5, 60.0, 3600.0])
    def test_copies_that_come_often_and_seldom_are_refused(self, interval_s: float) -> None:
        quarantine = Quarantine(0.0)
        sent = 0
        now_s = 0.0
        while now_s < 24 * interval_s:
            now_s += interval_s
            quarantine.drop_expired(now_s)
            quarantine.review(now_s)
            if quarantine.verdict(CRASHING, now_s) is None:
                sent += 1
                crashed(quarantine, (now_s, [CRASHING]))
        in_suspicion = int(2.0 / interval_s)
        assert sent <= CRASHES_OF_A_REQUEST + in_suspicion

    def test_a_verdict_ends_when_nobody_asks_any_more(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, *((at_s, [CRASHING]) for at_s in (1.0, 3.0, 5.0)))
        assert quarantine.drop_expired(5.0 + REQUEST_QUARANTINE_S - 1.0) == []
        assert len(quarantine.drop_expired(5.0 + REQUEST_QUARANTINE_S)) == 1

    def test_a_broken_copy_is_not_repeated_once_another_has_crashed_an_engine(self) -> None:
        quarantine = Quarantine(0.0)
        assert not quarantine.is_suspect(CRASHING)
        crashed(quarantine, (1.0, [CRASHING]))
        assert quarantine.is_suspect(CRASHING)
        quarantine.note_success(CRASHING, 2.0, 2.0)
        assert not quarantine.is_suspect(CRASHING)


class TestBounds:
    def test_no_account_displaces_the_verdicts_of_others(self) -> None:
        quarantine = Quarantine(0.0)
        crashed(quarantine, *((at_s, [CRASHING]) for at_s in (1.0, 3.0, 5.0)))
        verdicts = [
            ReportedVerdict((copy_of(number, "attacker"),), 3, 1.0, 0.0)
            for number in range(3 * MAX_VERDICTS)
        ]
        quarantine.apply_report(QuarantineReport(verdicts=verdicts), 100.0)
        assert len(quarantine.verdicts) == MAX_VERDICTS
        assert quarantine.verdict(CRASHING, 101.0) is not None

    def test_requests_do_not_displace_the_successes_of_parts(self) -> None:
        quarantine = Quarantine(0.0)
        quarantine.note_success(("document",), 1.0, 1.0)
        for number in range(2 * MAX_SUCCESSES):
            quarantine.note_success((f"request:{number}",), 2.0, 2.0)
        assert "document" in quarantine._evidence.successes
        assert len(quarantine._evidence.successes) == MAX_SUCCESSES + 1

    def test_old_crashes_are_forgotten_for_parts_before_requests(self) -> None:
        quarantine = Quarantine(0.0)
        request = ("document", copy_of(0))
        crashed(quarantine, (1.0, [request]), (3.0, [request]))
        now_s = 4.0 + EVIDENCE_RETENTION_S
        quarantine.drop_expired(now_s)
        crashed(quarantine, (now_s, [("document", copy_of(1))]), (now_s + 1.0, [request]))
        [verdict] = quarantine.verdicts
        assert copy_of(0) in verdict.subjects
        assert quarantine.verdict(("document", copy_of(1)), now_s + 1.0) is None


FLEETS = [(7, 3), (30, 12), (100, 30), (195, 45)]
"""Numbers of daemons and engines."""


def copies_day(daemons: int, engines: int, interval_s: float, for_s: float) -> RequestModel:
    """Play a day on which copies of one request come at random intervals, beside others."""
    model = RequestModel(daemons, engines, seed=1)
    model.every(0.1, model.send_ordinary)
    model.every(interval_s, model.send_crashing)
    model.run(for_s)
    return model


class TestFleet:
    @pytest.mark.parametrize(("interval_s", "for_s"), [(0.1, 12.0), (0.5, 16.0), (3.0, 30.0)])
    @pytest.mark.parametrize(("daemons", "engines"), FLEETS)
    def test_few_copies_reach_engines_late(
        self, daemons: int, engines: int, interval_s: float, for_s: float
    ) -> None:
        outcome = copies_day(daemons, engines, interval_s, for_s).outcome
        assert len(outcome.crashes_s) >= CRASHES_OF_A_REQUEST
        assert outcome.late_sends() <= TOLERATED_SENDS
        assert not outcome.wrong_verdicts

    def test_few_copies_that_come_every_minute_reach_engines_late(self) -> None:
        outcome = copies_day(7, 5, 60.0, 600.0).outcome
        assert outcome.late_sends() <= TOLERATED_SENDS
        assert not outcome.wrong_verdicts

    @pytest.mark.parametrize("skew", [0.4, 0.8, 1.5])
    @pytest.mark.parametrize(("daemons", "engines"), FLEETS)
    def test_engines_that_end_for_other_reasons_quarantine_nothing(
        self, daemons: int, engines: int, skew: float
    ) -> None:
        model = RequestModel(daemons, engines, seed=3, crashing=False, skew=skew)
        model.every(0.05, model.send_ordinary)
        model.every(4.0, partial(model.crash_share, 0.3))
        model.every(12.0, model.end_zones_in_a_row)
        model.every(10.0, model.restart_daemon)
        assert not model.run(25.0).wrong_verdicts
