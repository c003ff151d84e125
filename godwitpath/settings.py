"""Settings of one process: listen addresses, location, keys and the platform's URLs.

A settings file is JSON that overrides the committed defaults in ``defaults.json``. Decoding reports
all findings together.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from importlib.resources import files
from typing import Any

from godwitpath.config.check_settings import CHECKS
from godwitpath.config.decode import decode
from godwitpath.config.document import read_document
from godwitpath.config.strict import StrictFields
from godwitpath.errors import FindingsError


@dataclass(slots=True)
class ListenSettings(StrictFields):
    """Listen address of a server; port 0 selects a free port.

    :ivar host: IP address to listen on
    :ivar port: port to listen on
    """

    host: str = "127.0.0.1"
    port: int = 0


@dataclass(slots=True)
class TlsSettings(StrictFields):
    """TLS on the caller address; plain HTTP when both files are empty.

    :ivar certificate_file: PEM file of the certificate and its chain
    :ivar key_file: PEM file of the private key
    """

    certificate_file: str = ""
    key_file: str = ""


@dataclass(slots=True)
class CallerSettings(ListenSettings):
    """Listen address for callers, with its limits.

    :ivar host: IP address to listen on
    :ivar port: port to listen on
    :ivar tls: certificate and private key
    :ivar header_timeout_s: longest time to receive the headers and the body of a request
    :ivar max_connections: maximum number of open connections
    """

    tls: TlsSettings = field(default_factory=TlsSettings)
    header_timeout_s: float = 10.0
    max_connections: int = 2000


@dataclass(slots=True)
class OperatorSettings(ListenSettings):
    """Listen address for operators, with the operator key.

    :ivar host: IP address to listen on
    :ivar port: port to listen on
    :ivar key: operator key; every request is rejected while it is empty
    """

    key: str = ""


@dataclass(slots=True)
class PeerSettings(ListenSettings):
    """Listen address for peers, with the CURVE keys.

    :ivar host: IP address to listen on
    :ivar port: port to listen on
    :ivar public_key: own public key in Z85 encoding, empty for unencrypted connections
    :ivar secret_key: own secret key in Z85 encoding
    :ivar accepted_public_keys: public keys of peers that may connect; during a key rotation both
        the old and the new keys
    """

    public_key: str = ""
    secret_key: str = ""
    accepted_public_keys: list[str] = field(default_factory=list)


@dataclass(slots=True)
class PlatformSettings(StrictFields):
    """Base URLs of the platform's services; empty for a service that is not available.

    :ivar key_value_url: key-value service
    :ivar cloud_url: cloud API
    :ivar instance_list_url: list of running and leaving instances
    :ivar weight_store_url: weight store
    :ivar timeout_s: timeout of one call
    """

    key_value_url: str = ""
    cloud_url: str = ""
    instance_list_url: str = ""
    weight_store_url: str = ""
    timeout_s: float = 1.0


@dataclass(slots=True)
class SeedSettings(StrictFields):
    """A configured peer through which an entry daemon joins the fleet.

    :ivar entry_id: name of the entry daemon
    :ivar host: IP address of its peer listener
    :ivar port: port of its peer listener
    :ivar public_key: its CURVE public key, empty for unencrypted connections
    """

    entry_id: str
    host: str
    port: int
    public_key: str = ""


@dataclass(slots=True)
class MembershipSettings(StrictFields):
    """Timing of the failure detector.

    :ivar probe_interval_s: time between probes
    :ivar probe_timeout_s: timeout of the response to a direct probe
    :ivar suspicion_s: time from suspecting a peer to declaring it failed
    """

    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.2
    suspicion_s: float = 1.5


@dataclass(slots=True)
class ProcessSettings(StrictFields):
    """Settings of one entry daemon.

    :ivar entry_id: name of the entry daemon, unique in the fleet
    :ivar region: region in which it runs
    :ivar availability_zone: availability zone in which it runs
    :ivar caller: listen address for callers
    :ivar operator: listen address for operators
    :ivar peer: listen address for the other entry daemons
    :ivar platform: URLs of the platform's services
    :ivar membership: timing of the failure detector
    :ivar seeds: entry daemons through which to join the fleet
    :ivar drain_timeout_s: longest time that a planned stop waits for requests in progress
    :ivar seed: seed of the random number generator, 0 for a random seed
    """

    entry_id: str
    region: str
    availability_zone: str
    caller: CallerSettings = field(default_factory=CallerSettings)
    operator: OperatorSettings = field(default_factory=OperatorSettings)
    peer: PeerSettings = field(default_factory=PeerSettings)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    seeds: list[SeedSettings] = field(default_factory=list)
    drain_timeout_s: float = 120.0
    seed: int = 0


def load_settings(source: str, text: str) -> ProcessSettings:
    """Decode a settings text merged over the committed defaults, and check the values.

    :param source: name of the text in findings, such as a file name
    :param text: JSON text
    :raises FindingsError: the text has findings; the error holds all of them
    """
    document = read_document(source, text)
    if not isinstance(document.value, dict):
        raise FindingsError(source, [document.finding((), "the settings must be an object")])
    decoded = decode(document, _merge(_defaults(), document.value), ProcessSettings)
    findings = document.findings + decoded.findings
    if decoded.value is not None:
        for check in CHECKS:
            findings += check(document, decoded.value)
    if findings or decoded.value is None:
        raise FindingsError(
            source, sorted(findings, key=lambda finding: (finding.line, finding.column))
        )
    return decoded.value


def _defaults() -> dict[str, Any]:
    text = files("godwitpath").joinpath("defaults.json").read_text(encoding="utf-8")
    defaults: dict[str, Any] = json.loads(text)
    return defaults


def _merge(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Return `base` with the values of `overrides`; nested objects are merged recursively."""
    merged = dict(base)
    for name, value in overrides.items():
        default = merged.get(name)
        nested = isinstance(default, dict) and isinstance(value, dict)
        merged[name] = _merge(default, value) if nested else value  # type: ignore[arg-type]
    return merged
