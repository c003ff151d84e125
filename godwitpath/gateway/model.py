"""Data model of the configuration: routes, services, client accounts and limits on callers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from godwitpath.http1.limits import CallerLimits


class RequestKind(StrEnum):
    """Kind of the requests of a route, which determines whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(slots=True, frozen=True)
class Route:
    """Route for the requests to a host with a path prefix.

    :ivar timeout_s: maximum time until the complete response
    :ivar target_latency_s: target time to the response, or to the first event of a stream
    :ivar priority: priority of the requests; requests with priority 0 are served first
    :ivar weighted_services: pairs of a service name and a weight; each request goes to one service
    :ivar max_attempts: maximum number of engines that one request may be sent to
    :ivar anonymous: whether requests need no API key
    :ivar resumable: whether a stream may resume at another engine
    :ivar max_gap_s: maximum time between two events of a stream
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    priority: int
    weighted_services: tuple[tuple[str, int], ...]
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    max_gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAMING and self.resumable
        )


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Properties of the model engines of a service.

    :ivar slots: number of requests that an engine can run at once, its batch size
    :ivar cache_tokens: size of an engine's KV cache in tokens, for running requests and cached
        prompts
    :ivar models: names of the models that the engines serve
    :ivar pin_limit_s: maximum time for which cached tokens may be pinned
    :ivar moves: whether the engines can move a run, with its KV cache, to another engine
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...] = ()
    pin_limit_s: float = 0.0
    backups: bool = False
    moves: bool = False


@dataclass(slots=True, frozen=True)
class ScalingSpec:
    """Limits on the number of engines of a service, and their prices.

    :ivar min_per_zone: minimum number of engines in an availability zone
    :ivar max_per_zone: maximum number of engines in an availability zone, both kinds together
    :ivar boot_s: time from an order until the engine is ready
    :ivar reclaimable_price: price of a reclaimable engine relative to an on-demand engine, None
        if there are no reclaimable engines
    :ivar zone_prices: price of an on-demand engine per second, by availability zone
    """

    min_per_zone: int
    max_per_zone: int
    boot_s: float
    reclaimable_price: float | None
    zone_prices: Mapping[str, float]


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """A service.

    :ivar max_connections: maximum number of connections that one engine accepts, 0 if not stated
    :ivar engine: properties of the service's model engines, None for a plain service
    :ivar scaling: limits on the service's number of engines, None if that number is fixed
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


@dataclass(slots=True, frozen=True)
class AccountSpec:
    """A client account.

    :ivar keys: API keys of the account
    :ivar priority: priority of the account's requests, None for the priority of the route
    :ivar rate_per_s: quota units per second over all daemons, 0 for no limit
    :ivar burst: quota units that may be used at once in addition to the rate
    :ivar counts_tokens: whether a quota unit is a token instead of a request
    :ivar plain_tokens: quota units that a request without stated numbers of tokens uses
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_tokens: int = 0


@dataclass(slots=True, frozen=True)
class Configuration:
    """A configuration written by the operator.

    :ivar version: version number set by the operator
    :ivar revision: store revision of the write; a higher revision is newer
    :ivar services: services by name
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    accounts: tuple[AccountSpec, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
