"""Reads the settings file that the platform writes for each process.

The platform writes YAML by default. With the template `deploy/settings.json` it writes the same
fields as a JSON object, because loading the YAML library delays each start, and so the restart of a
killed daemon, by 40 ms. Both formats are accepted. Unknown fields are ignored.
"""

from __future__ import annotations

import math
import os
from pathlib import Path
from typing import Any

import msgspec

from godwitpath.decoding import Finite, Port, Unreadable, decode
from godwitpath.errors import Finding, FindingsError
from godwitpath.gateway.settings import Bounds, GatewaySettings, StoreRates
from godwitpath.platform.addresses import parse_address
from godwitpath.ports.engine import Address

METRICS_VARIABLE = "GODWITPATH_METRICS_PORT"
"""Environment variable that overrides the metrics port if several daemons share an address."""

DEFAULT_METRICS_PORT = 9464
"""Metrics port named in the deploy file; the usual port for this metrics format."""

RESERVED_FILES = 200
"""Number of open files that the platform reserves, which are none for sockets."""

SETTINGS_VARIABLE = "GODWITPATH_SETTINGS"
"""Environment variable that holds the path of the settings file."""


class _Listen(msgspec.Struct):
    frontend: str
    readiness: str


class _Bounds(msgspec.Struct, rename="camel"):
    # Time without disruption after which every bound below must hold.
    contact_ms: Finite = 4000
    drain_ms: Finite = 2500
    grace_s: Finite = 8
    config_apply_ms: Finite = 2500
    retry_budget_ratio: Finite = 0.2
    retry_window_s: Finite = 10
    retry_slack: Finite = 0
    quota_window_s: Finite = 8
    quota_overage: Finite = 0
    quota_slack: Finite = 0
    enforce_fencing: bool = False
    lease_ms: Finite = 3000
    usage_window_s: Finite = 5
    usage_late_s: Finite = 10


class _Platform(msgspec.Struct, rename="camel"):
    address: str
    writes_per_s: Finite = 100
    reads_per_s: Finite = 500
    ttl_min_ms: Finite = 1000


class _Cloud(msgspec.Struct, rename="camel"):
    address: str | None = None
    duties: list[str] | None = None
    # Calls per second that the cloud API accepts from all daemons together.
    duty_per_s: Finite = 1


class _Limits(msgspec.Struct, rename="camel"):
    max_fds: Finite | None = None


class _Settings(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Platform
    region: str = ""
    zones: dict[str, str] = {}
    # First and last port for traffic between daemons.
    port_range: list[Port] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloud: _Cloud | None = None
    limits: _Limits | None = None


_json_decoder = msgspec.json.Decoder()


class _YamlDecoder:
    def decode(self, data: bytes, /) -> Any:
        return msgspec.yaml.decode(data)


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, "/etc/godwitpath/settings.yaml"))


def decode_settings(text: bytes, source: str = "settings") -> GatewaySettings:
    """Decode the settings of this process.

    :param text: settings file as YAML or JSON
    :param source: name of the settings file, used in findings
    :raises FindingsError: with all findings and their locations
    """
    is_json = text.lstrip().startswith(b"{")
    try:
        raw: Any = decode(_json_decoder, text) if is_json else decode(_YamlDecoder(), text)
    except Unreadable as error:
        format_name = "JSON" if is_json else "YAML"
        raise FindingsError(source, [Finding("", f"not {format_name}: {error}")]) from error
    if not isinstance(raw, dict):
        raise FindingsError(source, [Finding("", "not a mapping of fields")])
    findings = list(_validate(raw))
    if findings:
        raise FindingsError(source, findings)
    return _to_gateway_settings(msgspec.convert(raw, _Settings))


def _validate(raw: dict[str, Any]) -> list[Finding]:
    """Validate each field on its own, so that all findings are reported together."""
    findings: list[Finding] = []
    for field in msgspec.structs.fields(_Settings):
        name = field.encode_name
        if name not in raw:
            if field.required:
                findings.append(Finding(f"/{name}", "missing"))
            continue
        try:
            msgspec.convert(raw[name], field.type)
        except msgspec.ValidationError as error:
            findings.append(Finding(f"/{name}", str(error)))
    addresses = [
        ("platform", "address"),
        ("listen", "frontend"),
        ("listen", "readiness"),
        ("cloud", "address"),
    ]
    for section, name in addresses:
        value = raw.get(section)
        text = value.get(name) if isinstance(value, dict) else None
        is_absent = section == "cloud" and not text
        if isinstance(text, str) and not is_absent and parse_address(text) is None:
            findings.append(Finding(f"/{section}/{name}", "not HOST:PORT"))
    return findings


def _parse_valid_address(text: str) -> Address:
    address = parse_address(text)
    assert address is not None, "checked by _validate"
    return address


def _to_gateway_settings(raw: _Settings) -> GatewaySettings:
    bounds = raw.bounds
    cloud = raw.cloud
    first_port, last_port = (raw.port_range[0], raw.port_range[-1]) if raw.port_range else (0, 0)
    return GatewaySettings(
        name=raw.node_name,
        host=raw.ip,
        zone=raw.zone,
        region=raw.region or raw.zones.get(raw.zone, ""),
        zone_regions=dict(raw.zones),
        caller_address=_parse_valid_address(raw.listen.frontend),
        readiness_address=_parse_valid_address(raw.listen.readiness),
        metrics_address=Address(
            raw.ip, int(os.environ.get(METRICS_VARIABLE, DEFAULT_METRICS_PORT))
        ),
        peer_ports=(first_port, last_port),
        store_address=_parse_valid_address(raw.platform.address),
        store=StoreRates(
            raw.platform.writes_per_s, raw.platform.reads_per_s, raw.platform.ttl_min_ms / 1000
        ),
        cloud_address=parse_address(cloud.address) if cloud and cloud.address else None,
        duties=tuple(cloud.duties or ()) if cloud else (),
        duty_calls_per_s=cloud.duty_per_s if cloud else 0.0,
        bounds=Bounds(
            contact_s=bounds.contact_ms / 1000,
            drain_s=bounds.drain_ms / 1000,
            grace_s=bounds.grace_s,
            config_apply_s=bounds.config_apply_ms / 1000,
            retry_ratio=bounds.retry_budget_ratio,
            retry_window_s=bounds.retry_window_s,
            retry_slack=bounds.retry_slack,
            quota_window_s=bounds.quota_window_s,
            quota_overage=bounds.quota_overage,
            quota_slack=bounds.quota_slack,
            lease_s=max(bounds.lease_ms, raw.platform.ttl_min_ms) / 1000,
            fencing_checked=bounds.enforce_fencing,
            usage_window_s=bounds.usage_window_s,
            usage_late_s=bounds.usage_late_s,
        ),
        max_sockets=_max_sockets(raw.limits),
    )


def _max_sockets(limits: _Limits | None) -> float:
    if limits is None or limits.max_fds is None:
        return math.inf
    return max(0.0, limits.max_fds - RESERVED_FILES)
