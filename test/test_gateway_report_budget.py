"""Tests of the datagrams of a report: any state fits, and whatever is vital is sent in turns."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpath.gateway.peer_messages import (
    DIGEST_BYTES,
    PeerReport,
    ZoneSummary,
    without_eras,
)
from godwitpath.gateway.quarantine_report import (
    QuarantineReport,
    ReportedCrash,
    ReportedVerdict,
)
from godwitpath.gateway.report_budget import (
    MAX_BYTES_PER_S,
    MAX_DATAGRAM_BYTES,
    MAX_PIECES,
    MAX_WHOLE_BYTES,
    ReportPacker,
    pieces_allowed,
    quarantine_bytes,
)
from godwitpath.gateway.report_sections import (
    LOAD_SECTIONS,
    STATE_SECTIONS,
    state_items,
)

HEAD_BYTES = 400
"""Room for the fields of a report that each of its datagrams has."""

NAMES = st.integers(0, 2**32).map(lambda number: f"n{number:08x}")
COUNTS = st.integers(0, 2**53 - 1)
WHOLE = st.integers(-(2**53), 2**53)
AGES = st.floats(0, 1e4)


def names(count: int) -> list[str]:
    return [f"name-{number:06d}" for number in range(count)]


def prompts(count: int, parts: int) -> list[tuple[str, list[tuple[str, int]]]]:
    return [
        (f"i-{index}", [(f"{index:04x}{part:012x}", 99) for part in range(parts)])
        for index in range(count)
    ]


@st.composite
def evidence(draw: st.DrawFn) -> QuarantineReport:
    crashes = []
    for number in range(draw(st.sampled_from((0, 1, 4, 12)))):
        requests = draw(st.sampled_from((1, 3, 9)))
        parts = draw(st.sampled_from((1, 3, 300)))
        subjects = [
            tuple(f"{number}.{each}.{part}" for part in range(parts)) for each in range(requests)
        ]
        crashes.append(ReportedCrash(f"i-{number}", 1_700_000_000_000, 0.25, subjects))
    verdicts = [
        ReportedVerdict((f"bad{number}",), 4, 2.0, 1.0)
        for number in range(draw(st.sampled_from((0, 1, 20))))
    ]
    successes = dict.fromkeys(names(draw(st.sampled_from((0, 10, 512)))), 1.5)
    return QuarantineReport(crashes, verdicts, successes)


@st.composite
def state(draw: st.DrawFn) -> dict[str, Any]:
    """Draw the sections that reports and summaries have in common."""
    sizes = st.sampled_from((0, 1, 7, 40, 195))
    accounts, engines, services = names(draw(sizes)), names(draw(sizes)), names(draw(sizes))
    number = draw(WHOLE)
    return {
        "quota_used": dict.fromkeys(accounts, number),
        "loads": dict.fromkeys(engines, (number, draw(WHOLE))),
        "prefill_tokens": dict.fromkeys(services, number),
        "prompts": prompts(
            draw(st.sampled_from((0, 3, 64, 900))), draw(st.sampled_from((1, 8, 1_000)))
        ),
        "limits": dict.fromkeys(engines[: draw(sizes)], (1_700_000_000_000, draw(COUNTS), 2.5)),
        "leaving": dict.fromkeys(engines[: draw(sizes)], (1_700_000_000_000, draw(AGES))),
        "quarantine": draw(evidence()),
        "hears": dict.fromkeys(names(draw(sizes)), draw(COUNTS)),
    }


@st.composite
def reports(draw: st.DrawFn) -> PeerReport:
    sections = draw(state())
    return PeerReport(
        name=draw(NAMES),
        incarnation=2**63 - 1,
        sequence=draw(COUNTS),
        configuration_revision=(5 << 40) + 7,
        clock_s=1.7e9,
        holder=(draw(NAMES), 2**53 - 1),
        usage={
            window: dict.fromkeys(sections["quota_used"], draw(COUNTS))
            for window in range(353_445_120, 353_445_120 + draw(st.sampled_from((0, 1, 3, 12))))
        },
        quota_levels=dict(sections["quota_used"]),
        read_speeds=dict.fromkeys(sections["prefill_tokens"], 38_700.0),
        **sections,
    )


@st.composite
def summaries(draw: st.DrawFn) -> ZoneSummary:
    members = [(name, 2**63 - 1) for name in names(draw(st.sampled_from((1, 7, 65, 195))))]
    return ZoneSummary(
        zone="az-1",
        aggregator=draw(NAMES),
        incarnation=5,
        sequence=draw(COUNTS),
        members=members,
        configuration_revision=7,
        **draw(state()),
    )


def size_bytes(message: PeerReport | ZoneSummary) -> int:
    return DIGEST_BYTES + len(msgspec.msgpack.encode(message))


@settings(max_examples=40, deadline=None)
@given(message=reports() | summaries(), max_pieces=st.integers(1, MAX_PIECES))
def test_no_datagram_exceeds_the_bound_and_every_vital_item_is_sent_in_its_turn(
    message: PeerReport | ZoneSummary, max_pieces: int
) -> None:
    message = without_eras(message)
    packer: ReportPacker[Any] = ReportPacker()
    vital = {(each.section, each.key): each.size_bytes() + 12 for each in state_items(message)}
    # Half of the room, as other sections come first; as much as one item may stay empty.
    room_bytes = (MAX_DATAGRAM_BYTES - HEAD_BYTES) * max_pieces / 2 - 100 * max_pieces
    due_in = math.ceil(sum(vital.values()) / room_bytes)
    seen = set()
    for _ in range(due_in):
        pieces = packer.pieces(message, max_pieces)
        assert 1 <= len(pieces) <= max_pieces
        assert max(map(size_bytes, pieces)) <= MAX_DATAGRAM_BYTES
        assert [each.piece for each in pieces] == list(range(len(pieces)))
        seen |= {(each.section, each.key) for piece in pieces for each in state_items(piece)}
    assert seen == vital.keys()


@settings(max_examples=30, deadline=None)
@given(message=reports() | summaries(), max_pieces=st.integers(2, MAX_PIECES))
def test_what_is_reported_of_crashes_is_whole_in_one_datagram_of_each_report(
    message: PeerReport | ZoneSummary, max_pieces: int
) -> None:
    quarantine = message.quarantine
    if len(msgspec.msgpack.encode(quarantine)) > quarantine_bytes(max_pieces):
        quarantine = QuarantineReport([ReportedCrash("i-1", 5, 0.25, [("a" * 800,)])])
    message = msgspec.structs.replace(message, quarantine=quarantine)
    packer: ReportPacker[Any] = ReportPacker()
    for _ in range(3):
        pieces = packer.pieces(message, max_pieces)
        found = [each.quarantine for each in pieces if each.quarantine != QuarantineReport()]
        assert found == ([quarantine] if quarantine != QuarantineReport() else [])


@settings(max_examples=30, deadline=None)
@given(message=reports() | summaries())
def test_a_whole_message_is_always_sent_and_has_complete_sections(
    message: PeerReport | ZoneSummary,
) -> None:
    whole = ReportPacker[Any]().whole(message)
    assert size_bytes(whole) <= MAX_WHOLE_BYTES
    assert (whole.piece, whole.spread_over) == (0, 0)
    for section in (*STATE_SECTIONS, *LOAD_SECTIONS):
        value = getattr(whole, section, None)
        assert not value or value == getattr(message, section)


def report(**changes: Any) -> PeerReport:
    empty = PeerReport("d00", 1, 1, 0, 1.7e9, {}, {}, {}, {}, [], hears={})
    return msgspec.structs.replace(empty, **changes)


def test_a_small_report_is_sent_unchanged_in_one_datagram() -> None:
    small = report(
        usage={3: {"hule": 2}},
        loads={"e0": (1, 20)},
        prompts=[("e0", [("5c", 8)])],
        quarantine=QuarantineReport([ReportedCrash("e0", 1, 0.5, [("doc", "page")])]),
    )
    assert ReportPacker[PeerReport]().pieces(small, MAX_PIECES) == [small]


def test_prompts_do_not_open_further_datagrams_and_are_counted_when_left_out() -> None:
    packer: ReportPacker[PeerReport] = ReportPacker()
    [piece] = packer.pieces(report(prompts=prompts(64, 8)), MAX_PIECES)
    assert 0 < len(piece.prompts) < 64
    assert packer.left_out == {"prompts": 64 - len(piece.prompts)}
    assert piece.spread_over == 0


def test_a_new_notice_is_in_the_next_report_however_much_is_known() -> None:
    packer: ReportPacker[PeerReport] = ReportPacker()
    many = report(quota_used=dict.fromkeys(names(2_000), 5))
    for _ in range(10):
        packer.pieces(many, 1)
    noticed = msgspec.structs.replace(many, leaving={"e7": (1, 0.1)}, limits={"e8": (1, 1, 4.0)})
    [piece] = packer.pieces(noticed, 1)
    assert piece.leaving == {"e7": (1, 0.1)}
    assert piece.limits == {"e8": (1, 1, 4.0)}
    lowered = msgspec.structs.replace(noticed, limits={"e8": (1, 2, 3.0)})
    [piece] = packer.pieces(lowered, 1)
    assert piece.limits == {"e8": (1, 2, 3.0)}


@pytest.mark.parametrize("max_pieces", [1, 2])
def test_crashes_of_many_requests_do_not_keep_usage_from_being_told(max_pieces: int) -> None:
    packer: ReportPacker[PeerReport] = ReportPacker()
    usage = {3: dict.fromkeys(names(60), 5)}
    hears = {f"edge-mtl-a-{number:02d}": 60_000 for number in range(32)}
    heard: dict[str, int] = {}
    for number in range(14):
        # Each report has new crashes, which fill their room.
        subject = f"{number:02d}" * (quarantine_bytes(max_pieces) // 2 - 20)
        quarantine = QuarantineReport([ReportedCrash("e0", 1, 0.5, [(subject,)])])
        told = report(usage=usage, quarantine=quarantine, hears=hears)
        pieces = packer.pieces(told, max_pieces)
        assert sum(each.quarantine == quarantine for each in pieces) == 1
        assert pieces[0].hears == hears
        for piece in pieces:
            heard.update(piece.usage.get(3, {}))
    assert heard == usage[3]


@pytest.mark.parametrize("daemons", [7, 12, 30, 65])
@pytest.mark.parametrize("elapsed_s", [0.1, 0.4])
def test_bytes_per_second_stay_below_the_bound(daemons: int, elapsed_s: float) -> None:
    pieces = pieces_allowed(daemons - 1, elapsed_s)
    sent_bytes = pieces * (daemons - 1) * MAX_DATAGRAM_BYTES
    assert pieces == 1 or sent_bytes <= MAX_BYTES_PER_S * elapsed_s


@pytest.mark.parametrize("daemons", [1, 7, 58])
def test_a_statement_of_whom_a_daemon_hears_is_whole_in_the_first_datagram_of_each_report(
    daemons: int,
) -> None:
    hears = {f"edge-mtl-a-{number:02d}": 60_000 for number in range(daemons)}
    accounts = {f"account-{number:04d}": 5 for number in range(400)}
    message = PeerReport("edge-mtl-b-99", 2**62, 60_000, 7, 1.7e9, accounts, {}, {}, {}, [])
    message = msgspec.structs.replace(without_eras(message), hears=hears)
    packer: ReportPacker[PeerReport] = ReportPacker()
    for _ in range(5):
        first, *others = packer.pieces(message, 2)
        assert first.hears == hears
        assert [each.hears for each in others] == [{}] * len(others)
