"""Check of a soak that daemons can read what other daemons wrote."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from godwitpath_standin.gateway.cloud import FakeCloud
from godwitpath_standin.process import ROOT
from godwitpath_standin.soak.history import History
from godwitpath_standin.soak.readability import UNREADABLE_KINDS, unreadable_messages
from godwitpath_standin.soak.run import log_violations


def write_log(folder: Path, daemon: str, *kinds: str) -> None:
    """Write a log of a daemon with a line of each kind, after one that cannot be decoded."""
    lines = [json.dumps({"message_type": kind, "reason": "unknown tag"}) for kind in kinds]
    (folder / f"{daemon}.log").write_text("\n".join(["Traceback", *lines]))


@pytest.mark.parametrize("kind", sorted(UNREADABLE_KINDS))
def test_a_daemon_that_cannot_read_a_message_is_a_violation(tmp_path: Path, kind: str) -> None:
    write_log(tmp_path, "edge-0", "started")
    assert not list(unreadable_messages(tmp_path))
    write_log(tmp_path, "edge-1", "started", kind, kind)
    [violation] = unreadable_messages(tmp_path)
    assert violation.invariant == "readable"
    assert violation.detail.startswith("edge-1: ")
    assert "unknown tag" in violation.detail


def test_values_that_the_soak_itself_makes_unreadable_are_none(tmp_path: Path) -> None:
    write_log(tmp_path, "edge-0", "engine_limit_unreadable", "engine_notice_unreadable")
    assert not list(unreadable_messages(tmp_path))


def test_a_soak_checks_the_logs_for_it(tmp_path: Path) -> None:
    (tmp_path / "edge-0.log").write_text('{"message_type":"datagram_unreadable"}\n')
    violations = list(log_violations(History(FakeCloud()), tmp_path))
    assert [violation.invariant for violation in violations] == ["readable"]


def test_the_gateway_logs_each_kind() -> None:
    code = "".join(path.read_text() for path in (ROOT / "godwitpath" / "gateway").glob("*.py"))
    assert [kind for kind in sorted(UNREADABLE_KINDS) if f'"{kind}"' not in code] == []
