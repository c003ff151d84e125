"""The settings file that the platform writes for each process.

The platform writes YAML. `deploy/settings.json` is a template by which it writes the same fields
as one JSON object instead: the library for YAML takes 40 ms of each start, and a daemon that was
killed serves that much later. Both forms are read. Unknown fields are ignored.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec

from godwitpath.errors import Finding, FindingsError
from godwitpath.gateway.settings import Bounds, GatewaySettings, StoreRates
from godwitpath.ports.engine import Address

METRICS_VARIABLE = "GODWITPATH_METRICS_PORT"
"""Environment variable with another port for metrics, where several daemons share an address."""

METRICS_PORT = 9464
"""Port for metrics that the deploy file names; the usual one for this form."""

SETTINGS_VARIABLE = "GODWITPATH_SETTINGS"
"""Environment variable that holds the path of the settings file."""


class _Listen(msgspec.Struct):
    frontend: str
    readiness: str


class _Bounds(msgspec.Struct, rename="camel"):
    # Time without disruption after which a machine must keep every bound.
    contact_ms: float = 4000
    drain_ms: float = 2500
    grace_s: float = 8
    config_apply_ms: float = 2500
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    quota_window_s: float = 8
    quota_overage: float = 0
    quota_slack: float = 0
    enforce_fencing: bool = False
    lease_ms: float = 3000
    usage_window_s: float = 5
    usage_late_s: float = 10


class _Platform(msgspec.Struct, rename="camel"):
    address: str
    writes_per_s: float = 100
    reads_per_s: float = 500
    ttl_min_ms: float = 1000


class _Cloud(msgspec.Struct, rename="camel"):
    address: str | None = None
    duties: list[str] | None = None
    # Calls a second that the cloud API accepts from all daemons together.
    duty_per_s: float = 1


class _Settings(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Platform
    region: str = ""
    zones: dict[str, str] = {}
    # First and last port that daemons may use among themselves.
    port_range: list[int] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloud: _Cloud | None = None


def settings_path() -> Path:
    """Return where the platform put the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, "/etc/godwitpath/settings.yaml"))


def decode_settings(text: bytes, source: str = "settings") -> GatewaySettings:
    """Return the settings of this process.

    :raises FindingsError: with every finding and its place
    """
    is_json = text.lstrip().startswith(b"{")
    try:
        raw = msgspec.json.decode(text) if is_json else msgspec.yaml.decode(text)
    except msgspec.DecodeError as error:
        form = "JSON" if is_json else "YAML"
        raise FindingsError(source, [Finding("", f"not {form}: {error}")]) from error
    if not isinstance(raw, dict):
        raise FindingsError(source, [Finding("", "no table of fields")])
    findings = list(_findings(raw))
    if findings:
        raise FindingsError(source, findings)
    return _translate(msgspec.convert(raw, _Settings))


def _findings(raw: dict[str, Any]) -> list[Finding]:
    """Check field by field, so that all findings are reported together."""
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
    addresses = [("platform", "address"), ("listen", "frontend"), ("listen", "readiness")]
    for section, name in addresses:
        value = raw.get(section)
        text = value.get(name) if isinstance(value, dict) else None
        if isinstance(text, str) and _address(text) is None:
            findings.append(Finding(f"/{section}/{name}", "not HOST:PORT"))
    return findings


def _address(text: str) -> Address | None:
    host, _, port = text.rpartition(":")
    return Address(host, int(port)) if host and port.isdigit() else None


def _required(text: str) -> Address:
    address = _address(text)
    assert address is not None, "checked by _findings"
    return address


def _translate(raw: _Settings) -> GatewaySettings:
    bounds = raw.bounds
    cloud = raw.cloud
    first, last = (raw.port_range[0], raw.port_range[-1]) if raw.port_range else (0, 0)
    return GatewaySettings(
        name=raw.node_name,
        host=raw.ip,
        zone=raw.zone,
        region=raw.region or raw.zones.get(raw.zone, ""),
        zone_regions=dict(raw.zones),
        caller_address=_required(raw.listen.frontend),
        readiness_address=_required(raw.listen.readiness),
        metrics_address=Address(raw.ip, int(os.environ.get(METRICS_VARIABLE, METRICS_PORT))),
        peer_ports=(first, last),
        store_address=_required(raw.platform.address),
        store=StoreRates(
            raw.platform.writes_per_s, raw.platform.reads_per_s, raw.platform.ttl_min_ms / 1000
        ),
        cloud_address=_address(cloud.address) if cloud and cloud.address else None,
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
    )
