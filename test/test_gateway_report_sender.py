"""Tests of datagrams that are not sent: each is counted under its reason, the first is logged."""

from __future__ import annotations

import errno
from collections import Counter
from random import Random

import pytest

from godwitpath.gateway.members import MemberEntry, Members
from godwitpath.gateway.report_sender import MAX_UDP_BYTES, ReportSender
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore


def sender(counts: Counter[str]) -> ReportSender:
    entry = MemberEntry("127.0.0.1", 1, "a", 1)
    return ReportSender(Members(FakeStore(StoreCore()), "d00", entry, Random(1)), counts)


async def test_datagrams_that_are_not_sent_are_counted_by_reason() -> None:
    counts: Counter[str] = Counter()
    unsent = sender(counts)
    unsent.send(b"1", ["d07"])
    unsent.send_to(b"1", ("127.0.0.1", 1))
    unsent.send_to(bytes(MAX_UDP_BYTES + 1), ("127.0.0.1", 1))
    assert counts == {
        "datagrams_unsent_unknown_address": 1,
        "datagrams_unsent_not_listening": 1,
        "datagrams_unsent_too_large": 1,
    }


@pytest.mark.parametrize(
    ("error", "kind"),
    [
        (OSError(errno.EMSGSIZE, "Message too long"), "too_large"),
        (ConnectionRefusedError(errno.ECONNREFUSED, "refused"), "refused"),
        (OSError(errno.ENETUNREACH, "no route"), "error"),
    ],
)
async def test_an_error_of_the_system_is_counted_by_reason(error: OSError, kind: str) -> None:
    counts: Counter[str] = Counter()
    sender(counts).note_error(error)
    assert counts == {"datagram_errors": 1, f"datagrams_unsent_{kind}": 1}
