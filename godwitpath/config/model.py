"""Typed model of the operators' configuration.

:mod:`godwitpath.config.check` decodes a configuration text into these classes and reports every
finding.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from godwitpath.config.strict import StrictFields

Priority = Literal["interactive", "plan", "batch"]

PRIORITY_LEVELS: dict[str, int] = {"interactive": 0, "plan": 1, "batch": 2}
"""Numeric priority sent to the engines; an engine schedules lower numbers first."""


@dataclass(slots=True)
class LatencyTarget(StrictFields):
    """Latency targets that 95% of the requests must meet.

    :ivar first_token_s: time to first token
    :ivar between_tokens_s: time between consecutive tokens
    """

    first_token_s: float = 0.36
    between_tokens_s: float = 0.072


@dataclass(slots=True)
class ModelSpec(StrictFields):
    """Model that the engines of a service run.

    :ivar name: name of the model
    :ivar version: version of the model
    :ivar adapters: names of the adapters to keep loaded
    :ivar role: phase that the engines run: `prefill`, `decode`, or `unified` for both
    """

    name: str
    version: str
    adapters: list[str] = field(default_factory=list)
    role: Literal["unified", "prefill", "decode"] = "unified"


@dataclass(slots=True)
class FleetSpec(StrictFields):
    """Capacity limits of a service.

    :ivar minimum: minimum number of engines
    :ivar maximum: maximum number of engines
    :ivar price_limit_per_h: highest price of one engine per hour
    :ivar machine_classes: machine classes that can run the model, empty for any
    :ivar checks_fencing: whether the engines reject orders with an outdated fencing token
    """

    minimum: int = 1
    maximum: int = 16
    price_limit_per_h: float = 10.0
    machine_classes: list[str] = field(default_factory=list)
    checks_fencing: bool = True


@dataclass(slots=True)
class Operation(StrictFields):
    """An operation of a plain service, matched by method and path prefix.

    :ivar method: HTTP method
    :ivar path: path prefix within the service, with a leading slash
    :ivar idempotent: whether a call may be retried
    :ivar status_path: path for querying the outcome of a call, with `{key}` for the idempotency
        key; empty for none
    """

    method: str
    path: str
    idempotent: bool = False
    status_path: str = ""


@dataclass(slots=True)
class Service(StrictFields):
    """A service and its dependencies.

    :ivar kind: `generation` for model engines, `plain` for forwarded services
    :ivar depends_on: names of the services on which it depends
    :ivar regions: regions in which it runs, empty for all
    :ivar latency: latency targets; generation only
    :ivar model: model that the engines run; generation only
    :ivar fleet: capacity limits; generation only
    :ivar operations: operations with rules of their own; plain only
    :ivar request_timeout_s: timeout of a request
    :ivar stream_idle_timeout_s: longest time without data from an upstream before the request
        moves to another one
    :ivar keep_outcome_s: time for which the outcome of an accepted request can be queried
    :ivar retry_ratio: retry budget as a fraction of first attempts
    :ivar max_body_bytes: maximum size of a request body
    """

    kind: Literal["generation", "plain"]
    depends_on: list[str] = field(default_factory=list)
    regions: list[str] = field(default_factory=list)
    latency: LatencyTarget = field(default_factory=LatencyTarget)
    model: ModelSpec | None = None
    fleet: FleetSpec = field(default_factory=FleetSpec)
    operations: list[Operation] = field(default_factory=list)
    request_timeout_s: float = 60.0
    stream_idle_timeout_s: float = 3.0
    keep_outcome_s: float = 300.0
    retry_ratio: float = 0.1
    max_body_bytes: int = 1_048_576


@dataclass(slots=True)
class ApiKey(StrictFields):
    """Salted hash of an API key.

    :ivar salt: salt, hexadecimal
    :ivar sha256: SHA-256 of salt and key, hexadecimal
    """

    salt: str
    sha256: str


@dataclass(slots=True)
class Account(StrictFields):
    """A client account.

    :ivar keys: accepted API keys; during a key rotation both the old and the new keys
    :ivar requests_per_s: sustained request rate over all entry daemons
    :ivar tokens_per_s: sustained rate of prompt and generated tokens over all entry daemons
    :ivar burst_s: burst size, in seconds of the sustained rate
    :ivar priority: priority of its requests unless a request asks for a lower priority
    :ivar services: services that it may call, empty for all
    """

    keys: list[ApiKey]
    requests_per_s: float = 10.0
    tokens_per_s: float = 20_000.0
    burst_s: float = 2.0
    priority: Priority = "interactive"
    services: list[str] = field(default_factory=list)


@dataclass(slots=True)
class TrafficPrices(StrictFields):
    """Prices for comparing the costs of routing and of moving requests.

    :ivar cross_region_per_gb: price per gigabyte sent to another region
    :ivar recomputed_per_million_tokens: price per million recomputed prompt tokens
    """

    cross_region_per_gb: float = 0.08
    recomputed_per_million_tokens: float = 0.4


@dataclass(slots=True)
class Configuration(StrictFields):
    """Configuration of the whole fleet.

    :ivar services: services by name
    :ivar accounts: client accounts by name
    :ivar prices: prices for cost comparisons
    :ivar explanation_keep_s: retention time of decision records
    """

    services: dict[str, Service]
    accounts: dict[str, Account] = field(default_factory=dict)
    prices: TrafficPrices = field(default_factory=TrafficPrices)
    explanation_keep_s: float = 604_800.0
