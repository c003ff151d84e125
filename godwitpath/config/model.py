"""Typed view of the operators' configuration text.

The classes say what a checked text holds. :mod:`godwitpath.config.check` decodes a text into them
and reports every finding.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from godwitpath.config.strict import StrictFields

Priority = Literal["interactive", "plan", "batch"]

PRIORITY_LEVELS: dict[str, int] = {"interactive": 0, "plan": 1, "batch": 2}
"""Level of each priority as the engines take it; lower goes first."""


@dataclass(slots=True)
class LatencyTarget(StrictFields):
    """Latency that 95 in 100 requests must meet.

    :ivar first_token_s: time to the first token
    :ivar between_tokens_s: time between two tokens
    """

    first_token_s: float = 0.36
    between_tokens_s: float = 0.072


@dataclass(slots=True)
class ModelSpec(StrictFields):
    """The model that the engines of a service run.

    :ivar adapters: adapters to keep loaded
    :ivar role: `unified`, `prefill` or `decode`
    """

    name: str
    version: str
    adapters: list[str] = field(default_factory=list)
    role: Literal["unified", "prefill", "decode"] = "unified"


@dataclass(slots=True)
class FleetSpec(StrictFields):
    """Bounds for the capacity of a service.

    :ivar minimum: fewest engines kept
    :ivar maximum: most engines taken
    :ivar price_limit_per_h: most paid for one engine's hour
    :ivar machine_classes: classes that can run the model, empty for any
    :ivar checks_fencing: whether the engines refuse orders with an old fencing number
    """

    minimum: int = 1
    maximum: int = 16
    price_limit_per_h: float = 10.0
    machine_classes: list[str] = field(default_factory=list)
    checks_fencing: bool = True


@dataclass(slots=True)
class Operation(StrictFields):
    """A kind of call of a plain service.

    :ivar method: HTTP method
    :ivar path: path prefix at the service, from the leading slash
    :ivar idempotent: whether the call may be repeated
    :ivar status_path: path that tells what became of a key, with `{key}` in it; empty for none
    """

    method: str
    path: str
    idempotent: bool = False
    status_path: str = ""


@dataclass(slots=True)
class Service(StrictFields):
    """A service with what it depends on.

    :ivar kind: `generation` for model engines, `plain` for forwarded services
    :ivar depends_on: names of the services it needs
    :ivar regions: regions it runs in, empty for all
    :ivar model: what the engines run; generation only
    :ivar fleet: bounds of its capacity; generation only
    :ivar operations: calls that have a rule of their own; plain only
    :ivar request_timeout_s: longest time a request may take
    :ivar stream_idle_timeout_s: longest silence of an upstream before the work moves
    :ivar keep_outcome_s: how long the outcome of an accepted request can be asked for
    :ivar retry_ratio: retries allowed as a fraction of fresh calls
    :ivar max_body_bytes: largest body taken from a caller
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
    """A caller's key as a salted hash.

    :ivar salt: hexadecimal salt
    :ivar sha256: hexadecimal SHA-256 of salt and key
    """

    salt: str
    sha256: str


@dataclass(slots=True)
class Account(StrictFields):
    """A client account.

    :ivar keys: API keys that are accepted, old and new side by side
    :ivar requests_per_s: sustained rate over all entries
    :ivar tokens_per_s: sustained rate of prompt and generated tokens over all entries
    :ivar burst_s: seconds of the sustained rate that may come at once
    :ivar priority: priority of its requests unless a request asks for a lower one
    :ivar services: services it may call, empty for all
    """

    keys: list[ApiKey]
    requests_per_s: float = 10.0
    tokens_per_s: float = 20_000.0
    burst_s: float = 2.0
    priority: Priority = "interactive"
    services: list[str] = field(default_factory=list)


@dataclass(slots=True)
class TrafficPrices(StrictFields):
    """Prices that decisions weigh.

    :ivar cross_region_per_gb: price of a gigabyte sent to another region
    :ivar recomputed_per_million_tokens: price of computing a million prompt tokens again
    """

    cross_region_per_gb: float = 0.08
    recomputed_per_million_tokens: float = 0.4


@dataclass(slots=True)
class Configuration(StrictFields):
    """The whole text.

    :ivar services: every service by name
    :ivar accounts: every client account by name
    :ivar explanation_keep_s: how long decision records are kept
    """

    services: dict[str, Service]
    accounts: dict[str, Account] = field(default_factory=dict)
    prices: TrafficPrices = field(default_factory=TrafficPrices)
    explanation_keep_s: float = 604_800.0
