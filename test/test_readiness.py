"""Guards against entries that report ready without configuration or upstreams, or when leaving."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from godwitpath.entry.state_dump import daemon_ready


@pytest.mark.parametrize(
    ("configured", "informed", "leaving", "why_not"),
    [
        (True, True, False, []),
        (False, True, False, ["no configuration in force"]),
        (True, False, False, ["no news of the upstreams yet"]),
        (True, True, True, ["stopping"]),
    ],
)
def test_reasons_for_not_being_ready(
    configured: bool, informed: bool, leaving: bool, why_not: list[str]
) -> None:
    context: Any = SimpleNamespace(
        config=SimpleNamespace(ready=configured, revision=1),
        settings=SimpleNamespace(entry_id="e1"),
        upstreams_received=lambda: informed,
        leaving=leaving,
    )
    readiness = daemon_ready(context)
    assert readiness.why_not == why_not
    assert readiness.ready == (not why_not)
