"""The reference pages name everything that the program has."""

from __future__ import annotations

import importlib.util
import re
from pathlib import Path
from types import ModuleType

import typer.main

from godwitpath.commands import app, exit_codes
from godwitpath.entry.counters import EntryMetrics
from godwitpath.entry.refusals import STATUS_BY_REASON
from godwitpath.telemetry.metrics import Metrics

ROOT = Path(__file__).parent.parent
REFERENCE = ROOT / "docs/reference"


def generator() -> ModuleType:
    spec = importlib.util.spec_from_file_location("generate", REFERENCE / "generate.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_generated_pages_are_current() -> None:
    for name, text in generator().pages().items():
        assert (REFERENCE / name).read_text() == text


def test_every_reason_is_on_the_page_of_errors() -> None:
    page = (REFERENCE / "errors.md").read_text()
    rows = dict(re.findall(r"\| `(\w+)` \| (\d{3}) \|", page))
    assert rows == {reason: str(status) for reason, status in STATUS_BY_REASON.items()}


def test_every_metric_is_on_the_page_of_metrics() -> None:
    metrics = Metrics()
    EntryMetrics(metrics)
    page = (REFERENCE / "metrics.md").read_text()
    assert set(re.findall(r"\| `(godwitpath\.[\w.]+)`", page)) == set(metrics.names())


def test_every_command_and_exit_code_is_on_the_page_of_the_command_line() -> None:
    page = (REFERENCE / "command-line.md").read_text()
    for name, command in typer.main.get_command(app).commands.items():  # type: ignore[attr-defined]
        for part in getattr(command, "commands", {"": command}):
            assert f"| `{name} {part}".rstrip() in page
    codes = {value for value in vars(exit_codes).values() if isinstance(value, int)}
    assert {int(code) for code in re.findall(r"^\| (\d) \|", page, re.M)} == {0, *codes}


def test_links_lead_to_files() -> None:
    broken = set()
    for page in [ROOT / "README.md", *ROOT.glob("docs/**/*.md"), *ROOT.glob("examples/*.md")]:
        for target in re.findall(r"\]\(([^)#]+)(?:#[^)]*)?\)", page.read_text()):
            if "://" not in target and not (page.parent / target).exists():
                broken.add((page.parent / target).resolve().relative_to(ROOT))
    assert broken == set()
