"""Settings files with odd values: settings within bounds, or findings."""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given

from godwitpath.errors import FindingsError
from godwitpath.platform.settings import decode_settings
from godwitpath_standin.gateway.documents import settings_document
from test.mutations import DEEP, values_of_others

DOCUMENT = settings_document(cloud={"address": "10.0.0.9:80", "duties": ["usage"], "dutyPerS": 1})

MAX_NUMBER = 2**53


@given(values_of_others(DOCUMENT))
def test_any_settings_are_within_bounds_or_have_findings(text: bytes) -> None:
    try:
        settings = decode_settings(text)
    except FindingsError as error:
        found = error.findings
    else:
        addresses = [settings.caller_address, settings.readiness_address, settings.store_address]
        addresses += [settings.cloud_address] if settings.cloud_address else []
        ports = [address.port for address in addresses]
        assert all(1 <= port <= 65535 for port in ports)
        assert all(0 <= port <= 65535 for port in settings.peer_ports)
        bounds = msgspec.to_builtins(settings.bounds) | msgspec.to_builtins(settings.store)
        assert all(-MAX_NUMBER <= number <= MAX_NUMBER for number in bounds.values())
        return
    assert found


@pytest.mark.parametrize(
    ("changes", "pointer"),
    [
        (
            {"listen": {"frontend": "127.0.0.1:99999", "readiness": "127.0.0.1:1"}},
            "/listen/frontend",
        ),
        ({"platform": {"address": "127.0.0.1:0"}}, "/platform/address"),
        ({"platform": {"address": "127.0.0.1:²"}}, "/platform/address"),
        ({"cloud": {"address": "127.0.0.1:65536"}}, "/cloud/address"),
        ({"portRange": [7600, 99999]}, "/portRange"),
        ({"bounds": {"graceS": 1e300}}, "/bounds"),
    ],
)
def test_a_value_out_of_bounds_is_a_finding_with_its_location(
    changes: dict[str, object], pointer: str
) -> None:
    with pytest.raises(FindingsError) as raised:
        decode_settings(json.dumps(settings_document(**changes)).encode())
    assert [finding.pointer for finding in raised.value.findings] == [pointer]


@pytest.mark.parametrize(
    "text", [b"\xff: 1", b"a: " + b"[" * DEEP, b"a: .nan\nbounds: {graceS: .nan}"]
)
def test_yaml_that_cannot_be_read_is_a_finding(text: bytes) -> None:
    with pytest.raises(FindingsError):
        decode_settings(text)


@pytest.mark.parametrize(
    ("changes", "max_sockets"),
    [
        ({}, 3_900),
        ({"limits": {"maxFds": 1_024}}, 824),
        ({"limits": {"maxFds": 100}}, 0),
        ({"limits": {"memoryMb": 300}}, float("inf")),
    ],
)
def test_sockets_are_the_files_that_the_platform_does_not_reserve(
    changes: dict[str, object], max_sockets: float
) -> None:
    settings = decode_settings(json.dumps(settings_document(**changes)).encode())
    assert settings.max_sockets == max_sockets
