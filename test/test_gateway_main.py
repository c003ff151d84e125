"""Tests of a daemon's process from its settings to its exit."""

from __future__ import annotations

import gc
import json
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from godwitpath.gateway import __main__, daemon, memory
from godwitpath.gateway.loop_delay import TurnTimer
from godwitpath.gateway.settings import GatewaySettings
from godwitpath.platform.settings import SETTINGS_VARIABLE
from godwitpath_standin.gateway.documents import settings_document


@pytest.fixture
def settings_path(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    path = tmp_path / "settings.json"
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    return path


@pytest.fixture(autouse=True)
def process_state() -> Iterator[None]:
    handler = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, handler)
    gc.unfreeze()


def test_the_exit_collects_no_garbage_of_a_daemon_that_has_stopped(
    settings_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    frozen_while_running: list[int] = []

    async def run(settings: GatewaySettings, path: Path, turns: TurnTimer) -> None:
        frozen_while_running.append(gc.get_freeze_count())

    monkeypatch.setattr(daemon, "run_gateway", run)
    monkeypatch.setattr(memory, "return_large_blocks", lambda: None)
    settings_path.write_text(json.dumps(settings_document()))
    assert __main__.main() == 0
    assert frozen_while_running == [0]
    assert gc.get_freeze_count() > 10_000


def test_a_daemon_without_settings_does_not_start(
    settings_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert __main__.main() == 2
    assert str(settings_path) in capsys.readouterr().err
