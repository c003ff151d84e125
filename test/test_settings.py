"""Settings of a process: defaults and findings."""

from __future__ import annotations

import pytest

from godwitpath.errors import FindingsError
from godwitpath.settings import load_settings

MINIMAL = '{"entry_id": "e1", "region": "r", "availability_zone": "z"'


def test_defaults_fill_what_is_not_given() -> None:
    settings = load_settings("s.json", MINIMAL + ', "caller": {"port": 9}}')
    assert settings.caller.port == 9
    assert settings.caller.header_timeout_s == 10.0


def test_every_finding_is_reported_at_once() -> None:
    text = '{"entry_id": 3, "region": "r", "caller": {"port": "x"}, "colour": 1}'
    with pytest.raises(FindingsError) as caught:
        load_settings("s.json", text)
    pointers = {finding.pointer for finding in caught.value.findings}
    assert pointers == {"/entry_id", "/availability_zone", "/caller/port", "/colour"}
