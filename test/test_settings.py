"""Guards against settings that lose their defaults and invalid settings that are accepted."""

from __future__ import annotations

import json
from typing import Any

import pytest

from godwitpath.errors import FindingsError
from godwitpath.security.curve import generate_key_pair
from godwitpath.settings import load_settings

MINIMAL = '{"entry_id": "e1", "region": "r", "availability_zone": "z"'


def test_defaults_apply_to_missing_fields() -> None:
    settings = load_settings("s.json", MINIMAL + ', "caller": {"port": 9}}')
    assert settings.caller.port == 9
    assert settings.caller.header_timeout_s == 10.0


def test_all_findings_are_reported_together() -> None:
    text = '{"entry_id": 3, "region": "r", "caller": {"port": "x"}, "colour": 1}'
    with pytest.raises(FindingsError) as caught:
        load_settings("s.json", text)
    pointers = {finding.pointer for finding in caught.value.findings}
    assert pointers == {"/entry_id", "/availability_zone", "/caller/port", "/colour"}


def pointers_of(given: dict[str, Any]) -> set[str]:
    """Return the pointers of the findings on settings."""
    with pytest.raises(FindingsError) as caught:
        load_settings("s.json", MINIMAL + ", " + json.dumps(given)[1:])
    return {finding.pointer for finding in caught.value.findings}


@pytest.mark.parametrize(
    ("given", "pointer"),
    [
        ({"caller": {"port": 70_000}}, "/caller/port"),
        ({"caller": {"max_connections": 0}}, "/caller/max_connections"),
        ({"caller": {"tls": {"certificate_file": __file__}}}, "/caller/tls"),
        ({"platform": {"key_value_url": "10.0.0.9:2400"}}, "/platform/key_value_url"),
        ({"platform": {"timeout_s": 0}}, "/platform/timeout_s"),
        ({"membership": {"probe_timeout_s": 2}}, "/membership/probe_timeout_s"),
        ({"peer": {"accepted_public_keys": ["x" * 39]}}, "/peer/accepted_public_keys/0"),
        ({"peer": {"accepted_public_keys": ['"' * 40]}}, "/peer/accepted_public_keys/0"),
        ({"seeds": [{"entry_id": "e", "host": "h", "port": 0}]}, "/seeds/0/port"),
    ],
)
def test_invalid_values_are_findings(given: dict[str, Any], pointer: str) -> None:
    assert pointers_of(given) == {pointer}


def test_missing_files_and_mismatched_key_pairs_are_findings() -> None:
    first_pair, second_pair = generate_key_pair(), generate_key_pair()
    tls = {"certificate_file": "/nowhere/c.pem", "key_file": "/nowhere/k.pem"}
    given = {
        "caller": {"tls": tls},
        "peer": {"public_key": first_pair.public_key, "secret_key": second_pair.secret_key},
    }
    expected = {"/caller/tls/certificate_file", "/caller/tls/key_file", "/peer/public_key"}
    assert pointers_of(given) == expected


def test_complete_key_pair_with_old_and_new_accepted_keys_is_valid() -> None:
    pair = generate_key_pair()
    peer = {
        "public_key": pair.public_key,
        "secret_key": pair.secret_key,
        "accepted_public_keys": [pair.public_key, generate_key_pair().public_key],
    }
    loaded = load_settings("s.json", MINIMAL + ", " + json.dumps({"peer": peer})[1:])
    assert loaded.peer.secret_key == pair.secret_key
