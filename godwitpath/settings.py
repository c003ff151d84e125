"""Settings of one process: its addresses, its place, its keys and the platform's addresses.

A settings file is JSON over the committed defaults in ``defaults.json``. Decoding reports every
finding at once.
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
    """Where a process listens; port 0 takes any free one.

    :ivar host: IP number to listen on
    :ivar port: port to listen on
    """

    host: str = "127.0.0.1"
    port: int = 0


@dataclass(slots=True)
class TlsSettings(StrictFields):
    """TLS towards callers; empty files mean plain HTTP.

    :ivar certificate_file: PEM file of the certificate and its chain
    :ivar key_file: PEM file of the private key
    """

    certificate_file: str = ""
    key_file: str = ""


@dataclass(slots=True)
class CallerSettings(ListenSettings):
    """The address for callers, with its bounds.

    :ivar host: IP number to listen on
    :ivar port: port to listen on
    :ivar tls: certificate and key
    :ivar header_timeout_s: longest time to receive the headers and the body of a request
    :ivar max_connections: most open connections
    """

    tls: TlsSettings = field(default_factory=TlsSettings)
    header_timeout_s: float = 10.0
    max_connections: int = 2000


@dataclass(slots=True)
class OperatorSettings(ListenSettings):
    """The address for operators and the key they present.

    :ivar host: IP number to listen on
    :ivar port: port to listen on
    :ivar key: operator key; nobody is let in while it is empty
    """

    key: str = ""


@dataclass(slots=True)
class PeerSettings(ListenSettings):
    """The address for peers and the CURVE keys.

    :ivar host: IP number to listen on
    :ivar port: port to listen on
    :ivar public_key: own public key in Z85 form, empty for links without encryption
    :ivar secret_key: own secret key in Z85 form
    :ivar accepted_public_keys: public keys of peers that may connect, old and new side by side
    """

    public_key: str = ""
    secret_key: str = ""
    accepted_public_keys: list[str] = field(default_factory=list)


@dataclass(slots=True)
class PlatformSettings(StrictFields):
    """Base URLs of the platform's services; empty where there is none.

    :ivar key_value_url: the key-value service
    :ivar cloud_url: the cloud API
    :ivar instance_list_url: the list of live and leaving instances
    :ivar weight_store_url: the weight store
    :ivar timeout_s: longest time of one call
    """

    key_value_url: str = ""
    cloud_url: str = ""
    instance_list_url: str = ""
    weight_store_url: str = ""
    timeout_s: float = 1.0


@dataclass(slots=True)
class SeedSettings(StrictFields):
    """A peer known from the start.

    :ivar entry_id: name of the entry
    :ivar host: IP number of its peer address
    :ivar port: port of its peer address
    :ivar public_key: its CURVE public key, empty for links without encryption
    """

    entry_id: str
    host: str
    port: int
    public_key: str = ""


@dataclass(slots=True)
class MembershipSettings(StrictFields):
    """Times of the failure detector.

    :ivar probe_interval_s: time between two probes
    :ivar probe_timeout_s: time that a direct answer may take
    :ivar suspicion_s: time between suspicion and the verdict that a peer is gone
    """

    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.2
    suspicion_s: float = 1.5


@dataclass(slots=True)
class ProcessSettings(StrictFields):
    """Everything that one entry daemon must be told.

    :ivar entry_id: name of the entry, unique in the fleet
    :ivar region: region that it runs in
    :ivar availability_zone: availability zone that it runs in
    :ivar caller: address for callers
    :ivar operator: address for operators
    :ivar peer: address for the other entries
    :ivar platform: the platform's services
    :ivar membership: times of the failure detector
    :ivar seeds: entries to join
    :ivar drain_timeout_s: longest time that a planned stop waits for what is in progress
    :ivar seed: seed of the random numbers, 0 for a random one
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
    """Decode a settings text over the committed defaults.

    :param source: name of the text for findings
    :raises FindingsError: the text is wrong, with every finding
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
        raise FindingsError(source, sorted(findings, key=lambda item: (item.line, item.column)))
    return decoded.value


def _defaults() -> dict[str, Any]:
    text = files("godwitpath").joinpath("defaults.json").read_text(encoding="utf-8")
    defaults: dict[str, Any] = json.loads(text)
    return defaults


def _merge(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for name, value in over.items():
        below = merged.get(name)
        nested = isinstance(below, dict) and isinstance(value, dict)
        merged[name] = _merge(below, value) if nested else value  # type: ignore[arg-type]
    return merged
