"""Guards against stale reference pages and broken links.

A page goes stale when a setting, error reason, metric, command or exit code changes and the page
does not. A link breaks when its target file moves.
"""

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
REFERENCE_DIR = ROOT / "docs/reference"


def load_generator() -> ModuleType:
    spec = importlib.util.spec_from_file_location("generate", REFERENCE_DIR / "generate.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_generated_pages_are_current() -> None:
    for name, text in load_generator().render_pages().items():
        assert (REFERENCE_DIR / name).read_text() == text


def test_errors_page_lists_each_reason_with_its_status() -> None:
    page = (REFERENCE_DIR / "errors.md").read_text()
    rows = dict(re.findall(r"\| `(\w+)` \| (\d{3}) \|", page))
    assert rows == {reason: str(status) for reason, status in STATUS_BY_REASON.items()}


def test_metrics_page_lists_each_metric() -> None:
    metrics = Metrics()
    EntryMetrics(metrics)
    page = (REFERENCE_DIR / "metrics.md").read_text()
    assert set(re.findall(r"\| `(godwitpath\.[\w.]+)`", page)) == set(metrics.names())


def test_command_line_page_lists_each_command_and_exit_code() -> None:
    page = (REFERENCE_DIR / "command-line.md").read_text()
    for name, command in typer.main.get_command(app).commands.items():  # type: ignore[attr-defined]
        for subcommand in getattr(command, "commands", {"": command}):
            assert f"| `{name} {subcommand}".rstrip() in page
    exit_code_values = {value for value in vars(exit_codes).values() if isinstance(value, int)}
    assert {int(code) for code in re.findall(r"^\| (\d) \|", page, re.M)} == {0, *exit_code_values}


def test_links_point_to_existing_files() -> None:
    broken = set()
    for page in [ROOT / "README.md", *ROOT.glob("docs/**/*.md"), *ROOT.glob("examples/*.md")]:
        for target in re.findall(r"\]\(([^)#]+)(?:#[^)]*)?\)", page.read_text()):
            if "://" not in target and not (page.parent / target).exists():
                broken.add((page.parent / target).resolve().relative_to(ROOT))
    assert broken == set()
