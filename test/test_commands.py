"""Guards against unintended changes of command-line output and exit codes, with golden files.

A session file holds commands after `$ `, each followed by its output, and by `[exit N]` if the exit
code is not 0. Identifiers, times and keys are replaced by fixed words. GODWITPATH_WRITE_GOLDEN=1
rewrites the files; read the difference before you commit it.
"""

from __future__ import annotations

import json
import os
import re
import shlex
import threading
import time
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from godwitpath.commands import app, platform_store
from godwitpath_standin.fakes.kv import FakeKeyValueStore
from godwitpath_standin.kv_core import KeyValueCore

GOLDEN = Path(__file__).parent / "golden"
SESSIONS = sorted(GOLDEN.glob("*.session"))
FILES = GOLDEN / "files"

REPLACEMENTS = [
    (re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?\+00:00"), "TIME"),
    (re.compile(r"\b[0-9a-f]{64}\b"), "SHA256"),
    (re.compile(r"\b[0-9a-f]{32}\b"), "ID"),
    (re.compile(r"gp_[\w-]{43}"), "API_KEY"),
    (re.compile(r'("(?:public|secret)_key": )".{40}"'), r'\1"CURVE_KEY"'),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"127\.0\.0\.1', \d+"), "127.0.0.1', PORT"),
]

TRACE = {
    "subject_id": "req-1",
    "complete": True,
    "note": "",
    "records": [
        {
            "subject_id": "req-1",
            "account": "hauliers",
            "kind": "refusal",
            "at": 1_772_373_600.0,
            "chosen": "refused, not run: the queue is full",
            "known": {"predicted_first_token_s": 4.1, "target_s": 0.36},
            "alternatives": ["queue for 4.1 s"],
            "entry_id": "e1",
        }
    ],
}
RESPONSES: dict[str, Any] = {
    "/admin/status": {
        "revision": 3,
        "entries": [
            {"entry_id": "e1", "ready": True, "revision": 3, "members": 2, "duties": ["a/r"]},
            {"entry_id": "e2", "ready": False, "revision": 2, "members": 2, "duties": []},
        ],
        "upstreams": [{"instance_id": "u1", "state": "serving", "runs": "m 2", "written": "m 2"}],
    },
    "/admin/state": {"entry_id": "e1", "records": {}},
    "/admin/explain/req-1": TRACE,
    "/admin/explain/configuration%2F3?around_s=1772373600": {**TRACE, "records": []},
}


class OperatorRequestHandler(BaseHTTPRequestHandler):
    """Stands in for the operator address of an entry, with fixed responses."""

    def do_GET(self) -> None:
        allowed = self.headers.get("Authorization") == "Bearer right"
        response = RESPONSES.get(self.path)
        status = 401 if not allowed else 200 if response is not None else 404
        body = json.dumps(response if status == 200 else {}).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: Any) -> None:
        pass


@pytest.fixture
def operator_address() -> Iterator[str]:
    server = ThreadingHTTPServer(("127.0.0.1", 0), OperatorRequestHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


@pytest.fixture
def environment(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, operator_address: str
) -> dict[str, str]:
    core = KeyValueCore(time.monotonic)

    def open_store(url: str, _: Path | None) -> FakeKeyValueStore:
        if not url:
            raise platform_store.StoreNotNamed
        store = FakeKeyValueStore(core)
        store.outage = url == "down"
        return store

    monkeypatch.setattr(platform_store, "open_store", open_store)
    for file in FILES.iterdir():
        (tmp_path / file.name).write_bytes(file.read_bytes())
    monkeypatch.chdir(tmp_path)
    return {
        "GODWITPATH_STORE": "fake",
        "GODWITPATH_ENTRY": operator_address,
        "GODWITPATH_OPERATOR_KEY": "right",
        "COLUMNS": "100",
    }


def run_line(line: str, environment: dict[str, str]) -> str:
    command, _, stdin_text = line.partition(" < ")
    arguments = shlex.split(command.removeprefix("$ godwitpath"))
    result = CliRunner().invoke(app, arguments, input=stdin_text or None, env=environment)
    if result.exception is not None and not isinstance(result.exception, SystemExit):
        raise result.exception
    output = result.output.rstrip("\n")
    for pattern, replacement in REPLACEMENTS:
        output = pattern.sub(replacement, output)
    exit_line = f"\n[exit {result.exit_code}]" if result.exit_code else ""
    return f"{line}\n{output}{exit_line}\n"


@pytest.mark.parametrize("path", SESSIONS, ids=lambda path: path.stem)
def test_session(path: Path, environment: dict[str, str]) -> None:
    """Guards against output or an exit code that differs from the golden session."""
    golden = path.read_text()
    lines = [line for line in golden.splitlines() if line.startswith("$ ")]
    session = "\n".join(run_line(line, environment) for line in lines)
    if os.environ.get("GODWITPATH_WRITE_GOLDEN"):
        path.write_text(session)
    assert session == path.read_text()


def test_session_files_exist() -> None:
    """Guards against a pass without any check when the session files are not found."""
    assert len(SESSIONS) >= 4
