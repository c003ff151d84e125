"""Tests of what a daemon makes of the limits that engines state."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.gateway.engine_limits import REMOVED_RETENTION_S, EngineLimit, EngineLimits
from godwitpath.gateway.engines import EngineEntry, EngineRegistry, EngineState
from godwitpath.gateway.wire_fields import EngineResponseFields
from godwitpath.ports.engine import Address

ENTRY = EngineEntry("e1", "lm", Address("h", 1), "a", EngineState.READY, 8, 1)
RATES = st.sampled_from([None, 0.0, 0.5, 1.0, 8.0])


def response(rate_per_s: float | None, **changes: object) -> EngineResponseFields:
    """Return the fields of a response that an engine sent after it ran the request."""
    fields = EngineResponseFields(True, False, False, True, None, rate_per_s)
    return replace(fields, **changes)  # type: ignore[arg-type]


def new_limits() -> EngineLimits:
    return EngineLimits(asyncio.Event())


def rate(limits: EngineLimits, entry: EngineEntry = ENTRY) -> float | None:
    limit = limits.limit(entry)
    return limit.rate_per_s if limit is not None else None


def exchange_reports(daemons: Sequence[EngineLimits]) -> None:
    """Let daemons exchange their reports until nothing changes."""
    for _ in daemons:
        for receiver in daemons:
            for sender in daemons:
                receiver.apply_report("peer", sender.reported())


@pytest.mark.looptime
class TestLimitBelief:
    async def test_a_slow_response_does_not_end_a_limit_that_was_stated_after_its_request(
        self,
    ) -> None:
        limits = new_limits()
        await asyncio.sleep(1.0)
        limits.note_response(ENTRY, response(2.0), 200, sent_at_s=0.9)
        limits.note_response(ENTRY, response(None), 200, sent_at_s=0.5)
        limits.note_response(ENTRY, response(9.0), 200, sent_at_s=0.5)
        assert rate(limits) == 2.0
        await asyncio.sleep(1.0)
        limits.note_response(ENTRY, response(None), 200, sent_at_s=1.5)
        assert rate(limits) is None

    async def test_a_lower_limit_applies_at_once(self) -> None:
        limits = new_limits()
        await asyncio.sleep(1.0)
        limits.note_response(ENTRY, response(5.0), 200, sent_at_s=0.9)
        limits.note_response(ENTRY, response(0.0), 503, sent_at_s=0.5)
        assert rate(limits) == 0.0

    @pytest.mark.parametrize(
        ("fields", "status"),
        [
            (response(None, from_engine=False), 200),
            (response(None, from_engine=False, not_run=True), 503),
            (response(None), 500),
            (response(None, wrong_engine=True), 421),
            (response(None, unreadable_limit="few"), 200),
        ],
    )
    async def test_only_a_success_of_the_engine_without_a_limit_ends_it(
        self, fields: EngineResponseFields, status: int
    ) -> None:
        limits = new_limits()
        limits.note_response(ENTRY, response(2.0), 200, 0.0)
        await asyncio.sleep(1.0)
        limits.note_response(ENTRY, fields, status, sent_at_s=0.9)
        assert rate(limits) == 2.0

    async def test_a_huge_limit_is_none(self) -> None:
        limits = new_limits()
        limits.note_response(ENTRY, response(1e11), 200, 0.0)
        assert rate(limits) is None

    async def test_an_engine_that_starts_again_under_its_id_has_no_limit(self) -> None:
        limits = new_limits()
        limits.note_response(ENTRY, response(2.0), 200, 0.0)
        assert rate(limits, replace(ENTRY, started_at_ms=2)) is None

    async def test_a_report_of_an_older_limit_changes_nothing(self) -> None:
        limits, other = new_limits(), new_limits()
        limits.note_response(ENTRY, response(2.0), 200, 0.0)
        older = limits.reported()
        await asyncio.sleep(1.0)
        limits.note_response(ENTRY, response(None), 200, sent_at_s=0.9)
        other.apply_report("peer", limits.reported())
        other.apply_report("peer", older)
        assert rate(other) is None

    async def test_a_limit_is_kept_while_an_entry_is_missing_for_a_moment(self) -> None:
        limits, engines = new_limits(), EngineRegistry()
        engines.put(ENTRY)
        limits.note_response(ENTRY, response(2.0), 200, 0.0)
        engines.remove("e1")
        limits.drop_removed(engines)
        await asyncio.sleep(3.0)
        engines.put(ENTRY)
        limits.drop_removed(engines)
        assert rate(limits) == 2.0
        engines.remove("e1")
        limits.drop_removed(engines)
        await asyncio.sleep(REMOVED_RETENTION_S)
        limits.drop_removed(engines)
        assert rate(limits) is None

    async def test_limits_of_removed_engines_do_not_circulate_between_daemons(self) -> None:
        daemons, engines = [new_limits(), new_limits()], EngineRegistry()
        daemons[0].note_response(ENTRY, response(2.0), 200, 0.0)
        exchange_reports(daemons)
        for _ in range(100):
            await asyncio.sleep(0.5)
            for daemon in daemons:
                daemon.drop_removed(engines)
                exchange_reports(daemons)
        assert [rate(daemon) for daemon in daemons] == [None, None]

    async def test_a_lower_limit_is_reported_soon(self) -> None:
        event = asyncio.Event()
        limits = EngineLimits(event)
        limits.note_response(ENTRY, response(2.0), 200, 0.0)
        assert event.is_set()
        event.clear()
        await asyncio.sleep(1.0)
        limits.note_response(ENTRY, response(3.0), 200, 0.9)
        assert not event.is_set()


@given(
    st.lists(st.tuples(st.integers(0, 2), RATES, st.booleans(), st.booleans()), max_size=12), RATES
)
def test_daemons_that_hear_each_other_agree_on_the_last_statement(
    steps: list[tuple[int, float | None, bool, bool]], last: float | None
) -> None:
    """Responses come late or early, reports reach some daemons or none; then all is exchanged."""

    async def play() -> None:
        loop = asyncio.get_running_loop()
        daemons = [new_limits() for _ in range(3)]
        for index, rate_per_s, late, exchanged in steps:
            sent_at_s = loop.time() - (100.0 if late else 0.0)
            await asyncio.sleep(0.001)
            daemons[index].note_response(ENTRY, response(rate_per_s), 200, sent_at_s)
            if exchanged:
                daemons[(index + 1) % 3].apply_report("peer", daemons[index].reported())
        exchange_reports(daemons)
        assert len({rate(each) for each in daemons}) == 1
        await asyncio.sleep(0.001)
        daemons[0].note_response(ENTRY, response(last), 200, loop.time())
        exchange_reports(daemons)
        assert {rate(each) for each in daemons} == {last}

    asyncio.run(play())


def test_of_two_changes_of_the_same_limit_the_lower_one_applies() -> None:
    assert EngineLimit(1.0, 2).supersedes(EngineLimit(5.0, 2))
    assert EngineLimit(5.0, 2).supersedes(EngineLimit(None, 2))
    assert not EngineLimit(None, 2).supersedes(EngineLimit(0.0, 2))
    assert EngineLimit(None, 3).supersedes(EngineLimit(0.0, 2))
