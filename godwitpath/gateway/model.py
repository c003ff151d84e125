"""The configuration in force: routes, services, client accounts and bounds on callers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from godwitpath.http1.limits import CallerLimits


class RequestKind(StrEnum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(slots=True, frozen=True)
class Route:
    """Requests of a host whose path begins with a prefix.

    :ivar timeout_s: longest time that a caller is kept waiting for the whole response
    :ivar target_latency_s: time to the response, or to the first event of a stream
    :ivar priority: rank among the routes, 0 is served first
    :ivar services: services with their weights, one of which takes a request
    :ivar max_attempts: most engines that one request may be sent to
    :ivar anonymous: whether requests need no API key
    :ivar resumable: whether a stream may go on at another engine
    :ivar max_gap_s: longest pause between events for a stream to be in time
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    priority: int
    services: tuple[tuple[str, int], ...]
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
    """What the model engines of a service are like.

    :ivar slots: requests in a batch
    :ivar cache_tokens: tokens that running requests and cached prompts share
    :ivar pin_limit_s: longest time for which cached tokens may be pinned
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...] = ()
    pin_limit_s: float = 0.0
    backups: bool = False
    moves: bool = False


@dataclass(slots=True, frozen=True)
class ScalingSpec:
    """How many engines a service may have, and what they cost.

    :ivar min_per_zone: fewest engines in an availability zone
    :ivar max_per_zone: most engines in an availability zone, both kinds together
    :ivar boot_s: time from an order until the engine serves
    :ivar reclaimable_price: price of a reclaimable engine as a part of another's, None without such
    :ivar zone_prices: price of an engine's second by availability zone
    """

    min_per_zone: int
    max_per_zone: int
    boot_s: float
    reclaimable_price: float | None
    zone_prices: Mapping[str, float]


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """A service.

    :ivar max_connections: connections that one of its engines accepts from all callers
    :ivar engine: its model engines, None for a plain service
    :ivar scaling: bounds on its number of engines, None when that is fixed
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


@dataclass(slots=True, frozen=True)
class AccountSpec:
    """A client account.

    :ivar priority: rank of its requests, None for that of the route
    :ivar rate_per_s: units a second over all daemons, 0 for no limit
    :ivar burst: units that may be used at once beside the rate
    :ivar counts_tokens: whether a unit is a token, not a request
    :ivar plain_tokens: tokens that a request counts as when it states none
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
    """A configuration as the operator wrote it.

    :ivar version: number that the operator gave it
    :ivar revision: store revision of the write, which orders configurations
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    accounts: tuple[AccountSpec, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
