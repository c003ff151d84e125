"""Tests of request traces from log lines and of the settings check, as an operator runs them."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from godwitpath.commands import app
from godwitpath.gateway.request_trace import parse_lines, trace_request
from godwitpath_standin.gateway.documents import settings_document


def line(at_s: float, kind: str, daemon: str = "edge-a-1", **fields: object) -> str:
    return json.dumps({"timestamp": at_s, "message_type": kind, "daemon": daemon} | fields)


LOG = [
    line(90.0, "engine_state", engine="i-1", state="ready"),
    line(97.0, "engine_state", engine="i-1", state="draining"),
    line(97.5, "engine_state", engine="i-2", state="draining"),
    line(98.0, "store_lost", daemon="edge-b-1"),
    "12.3 edge-a-1 " + line(99.0, "request_sent", request="r1", engine="i-1"),
    "not a line",
    "{broken",
    line(99.5, "engine_failed", request="r2", engine="i-1"),
    line(100.0, "own_answer", request="r1", status=502),
    line(101.0, "request_sent", daemon="edge-b-1", request="r3", engine="i-1"),
]


def test_a_trace_contains_the_request_and_events_that_affect_it() -> None:
    trace = trace_request("r1", parse_lines(LOG))
    assert [(entry.kind, entry.own) for entry in trace] == [
        ("engine_state", False),
        ("request_sent", True),
        ("engine_failed", False),
        ("own_answer", True),
    ]


def test_a_request_without_log_lines_has_no_trace() -> None:
    assert trace_request("r9", parse_lines(LOG)) == []


def test_explain_reads_a_file_and_standard_input(tmp_path: Path) -> None:
    path = tmp_path / "day.log"
    path.write_text("\n".join(LOG))
    runner = CliRunner()
    result = runner.invoke(app, ["explain", "r1", "--log", str(path)])
    assert result.exit_code == 0
    assert "own_answer: request=r1 status=502" in result.output
    piped = runner.invoke(app, ["explain", "r1", "--log", "-"], input="\n".join(LOG))
    assert piped.output == result.output
    assert runner.invoke(app, ["explain", "r9", "--log", str(path)]).exit_code == 6


@pytest.mark.parametrize("valid", [True, False])
def test_check_settings_prints_every_finding(tmp_path: Path, valid: bool) -> None:
    document = settings_document()
    if not valid:
        document |= {"zone": 3, "ip": None, "platform": {"address": "x"}}
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(document))
    result = CliRunner().invoke(app, ["check-settings", str(path)])
    assert result.exit_code == (0 if valid else 2)
    for pointer in () if valid else ("/zone", "/ip", "/platform/address"):
        assert pointer in result.output
