"""Settings of one process: its addresses, its place, its keys and the platform's addresses.

A settings file is JSON over the committed defaults in ``defaults.json``. Decoding reports every
finding at once.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from importlib.resources import files
from typing import Any

from pydantic import ConfigDict, TypeAdapter, ValidationError

from godwitpath.errors import Finding, FindingsError

_STRICT = ConfigDict(extra="forbid")


@dataclass(slots=True)
class ListenSettings:
    """Where a process listens; port 0 takes any free one."""

    __pydantic_config__ = _STRICT

    host: str = "127.0.0.1"
    port: int = 0


@dataclass(slots=True)
class TlsSettings:
    """TLS towards callers; empty files mean plain HTTP."""

    __pydantic_config__ = _STRICT

    certificate_file: str = ""
    key_file: str = ""


@dataclass(slots=True)
class CallerSettings(ListenSettings):
    """The address for callers, with its bounds.

    :ivar header_timeout_s: longest time to receive the headers and the body of a request
    :ivar max_connections: most open connections
    """

    tls: TlsSettings = field(default_factory=TlsSettings)
    header_timeout_s: float = 10.0
    max_connections: int = 2000


@dataclass(slots=True)
class OperatorSettings(ListenSettings):
    """The address for operators and the key they present."""

    key: str = ""


@dataclass(slots=True)
class PeerSettings(ListenSettings):
    """The address for peers and the CURVE keys.

    :ivar public_key: own public key in Z85 form, empty for links without encryption
    :ivar secret_key: own secret key in Z85 form
    :ivar accepted_public_keys: public keys of peers that may connect, old and new side by side
    """

    public_key: str = ""
    secret_key: str = ""
    accepted_public_keys: list[str] = field(default_factory=list)


@dataclass(slots=True)
class PlatformSettings:
    """Base URLs of the platform's services; empty where there is none."""

    __pydantic_config__ = _STRICT

    key_value_url: str = ""
    cloud_url: str = ""
    instance_list_url: str = ""
    weight_store_url: str = ""
    timeout_s: float = 1.0


@dataclass(slots=True)
class SeedSettings:
    """A peer known from the start."""

    __pydantic_config__ = _STRICT

    entry_id: str
    host: str
    port: int
    public_key: str = ""


@dataclass(slots=True)
class MembershipSettings:
    """Times of the failure detector.

    :ivar probe_interval_s: time between two probes
    :ivar probe_timeout_s: time that a direct answer may take
    :ivar suspicion_s: time between suspicion and the verdict that a peer is gone
    """

    __pydantic_config__ = _STRICT

    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.2
    suspicion_s: float = 1.5


@dataclass(slots=True)
class ProcessSettings:
    """Everything that one entry daemon must be told."""

    __pydantic_config__ = _STRICT

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
    try:
        given = json.loads(text)
    except json.JSONDecodeError as error:
        finding = Finding("", f"not JSON: {error.msg}", line=error.lineno, column=error.colno)
        raise FindingsError(source, [finding]) from error
    if not isinstance(given, dict):
        raise FindingsError(source, [Finding("", "the settings must be an object")])
    merged = _merge(_defaults(), given)
    try:
        return TypeAdapter(ProcessSettings).validate_python(merged)
    except ValidationError as error:
        findings = [_finding(detail) for detail in error.errors(include_input=False)]
        raise FindingsError(source, findings) from error


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


def _finding(detail: Any) -> Finding:
    pointer = "".join(f"/{part}" for part in detail["loc"])
    return Finding(pointer, detail["msg"])
