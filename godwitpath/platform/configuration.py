"""Decodes the operator's configuration from its stored form."""

from __future__ import annotations

import msgspec

from godwitpath.decoding import Count, Finite, Unreadable, Whole, decode
from godwitpath.gateway.model import (
    AccountSpec,
    Configuration,
    EngineSpec,
    RequestKind,
    Route,
    ScalingSpec,
    ServiceSpec,
)
from godwitpath.http1.limits import CallerLimits

CONFIGURATION_KEY = "op/config"
CONFIGURATION_PREFIX = "op/"

DEFAULT_ROUTE_TIMEOUT_S = 30.0
"""Request timeout of a route whose configuration states no timeout."""


class ConfigurationUnreadable(Unreadable):
    """The value of the configuration's key is not a valid configuration."""


class _WeightedService(msgspec.Struct):
    service: str
    weight: Whole = 1


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Finite | None = None
    target_latency_ms: Finite | None = None
    priority: Whole | None = None
    service: str | None = None
    # Services among which requests are divided by weight; overrides `service`.
    weighted_services: list[_WeightedService] | None = None
    max_attempts: Whole | None = None
    # True if requests need no API key.
    allow_anonymous: bool | None = None
    stream_resume: bool | None = None
    # Maximum pause between two events of a stream that counts as on time.
    gap_aim_ms: Finite | None = None


class _Engine(msgspec.Struct, rename="camel"):
    slots: Whole = 1
    # KV cache capacity of an engine in tokens.
    kv_capacity: Whole = 0
    pin_ms: Finite = 0
    backups: bool = False
    moves: bool = False
    models: list[dict[str, object]] = []


class _Scaling(msgspec.Struct, rename="camel"):
    # Both limits apply per availability zone to reclaimable and on-demand engines together.
    min_replicas: Whole = 0
    max_replicas: Whole = 0
    boot_s: Finite = 0
    # Price of a reclaimable engine as a fraction of the zone's price.
    spot_price: Finite | None = None
    zone_prices: dict[str, Finite] = {}


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_check_path: str | None = None
    max_connections: Whole | None = None
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: Whole | None = None
    max_body_bytes: Whole | None = None
    header_timeout_ms: Finite | None = None
    idle_timeout_ms: Finite | None = None


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: Whole | None = None
    # `tokens` if the rate and the burst count tokens; otherwise they count requests.
    unit: str | None = None
    plain_tokens: Whole | None = None
    rate_per_s: Finite | None = None
    burst: Finite | None = None


class _Configuration(msgspec.Struct):
    version: Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_decoder = msgspec.json.Decoder(_Configuration, strict=False)

MAX_PARTS = 250_000
"""Maximum number of a configuration's objects and commas, which is that of some 40,000 routes. They
are decoded while nothing else runs, by all daemons at the same time."""


def decode_configuration(value: bytes, revision: int) -> Configuration:
    """Decode a configuration.

    :param value: stored configuration as JSON
    :param revision: store revision of the value
    :raises ConfigurationUnreadable: the value is not a valid configuration
    """
    parts = value.count(b"{") + value.count(b",")
    if parts > MAX_PARTS:
        raise ConfigurationUnreadable(
            f"configuration of revision {revision}: more than {MAX_PARTS} parts: {parts}"
        )
    try:
        raw = decode(_decoder, value)
    except Unreadable as error:
        raise ConfigurationUnreadable(f"configuration of revision {revision}: {error}") from error
    return Configuration(
        version=raw.version,
        revision=revision,
        routes=tuple(_to_route(route) for route in raw.routes),
        services={service.name: _to_service(service) for service in raw.services},
        accounts=tuple(_to_account(tenant) for tenant in raw.tenants),
        limits=_to_limits(raw.limits),
    )


def _to_route(raw: _Route) -> Route:
    if raw.weighted_services:
        weighted_services = tuple(
            (weighted.service, max(0, weighted.weight)) for weighted in raw.weighted_services
        )
    else:
        weighted_services = ((raw.service or "", 1),)
    try:
        kind = RequestKind(raw.kind)
    except ValueError:
        # Requests of an unknown kind must not be repeated.
        kind = RequestKind.NON_IDEMPOTENT
    timeout_s = raw.timeout_ms / 1000 if raw.timeout_ms else DEFAULT_ROUTE_TIMEOUT_S
    return Route(
        name=raw.name,
        host=raw.host.lower(),
        prefix=raw.prefix,
        kind=kind,
        timeout_s=timeout_s,
        target_latency_s=raw.target_latency_ms / 1000 if raw.target_latency_ms else timeout_s,
        priority=raw.priority or 0,
        weighted_services=weighted_services,
        max_attempts=max(1, raw.max_attempts or 1),
        anonymous=bool(raw.allow_anonymous),
        resumable=bool(raw.stream_resume),
        max_gap_s=(raw.gap_aim_ms or 0) / 1000,
    )


def _to_service(raw: _Service) -> ServiceSpec:
    engine = raw.engine
    scaling = raw.scaling
    return ServiceSpec(
        name=raw.name,
        health_path=raw.health_check_path or "",
        max_connections=raw.max_connections or 0,
        engine=(
            EngineSpec(
                slots=engine.slots,
                cache_tokens=engine.kv_capacity,
                models=tuple(_model_name(model) for model in engine.models),
                pin_limit_s=engine.pin_ms / 1000,
                backups=engine.backups,
                moves=engine.moves,
            )
            if engine
            else None
        ),
        scaling=(
            ScalingSpec(
                min_per_zone=scaling.min_replicas,
                max_per_zone=scaling.max_replicas,
                boot_s=scaling.boot_s,
                reclaimable_price=scaling.spot_price,
                zone_prices=dict(scaling.zone_prices),
            )
            if scaling
            else None
        ),
    )


def _model_name(model: dict[str, object]) -> str:
    name = model.get("name")
    return name if isinstance(name, str) else ""


def _to_account(raw: _Tenant) -> AccountSpec:
    return AccountSpec(
        name=raw.name,
        keys=tuple(raw.api_keys),
        priority=raw.priority,
        rate_per_s=raw.rate_per_s or 0.0,
        burst=raw.burst or 0.0,
        counts_tokens=raw.unit == "tokens",
        plain_tokens=raw.plain_tokens or 0,
    )


def _to_limits(raw: _Limits) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=raw.max_header_bytes or defaults.max_header_bytes,
        max_body_bytes=raw.max_body_bytes or defaults.max_body_bytes,
        header_timeout_s=(raw.header_timeout_ms or defaults.header_timeout_s * 1000) / 1000,
        idle_timeout_s=(raw.idle_timeout_ms or defaults.idle_timeout_s * 1000) / 1000,
    )
