"""State that all requests of a daemon share."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from godwitpath.gateway.accounts import QuotaTracker
from godwitpath.gateway.crash_watch import CrashWatch
from godwitpath.gateway.engine_limits import EngineLimits
from godwitpath.gateway.engines import EngineRegistry
from godwitpath.gateway.evacuate import Evacuator
from godwitpath.gateway.in_force import ConfigurationInForce
from godwitpath.gateway.instruments import Instruments
from godwitpath.gateway.permits import SendPermits
from godwitpath.gateway.placement import Placer
from godwitpath.gateway.port_limits import PortConnections, max_open_files
from godwitpath.gateway.read_speed import ReadSpeedEstimator
from godwitpath.gateway.retry_budget import RetryBudget
from godwitpath.gateway.retry_schedule import RetrySchedule
from godwitpath.gateway.settings import GatewaySettings
from godwitpath.gateway.state_ages import StateAges
from godwitpath.gateway.usage import UsageCounter
from godwitpath.gateway.wire_fields import CallerFields, EngineResponseFields, SendFields
from godwitpath.http1.messages import Headers, ResponseHead
from godwitpath.http1.pool import ConnectionPool
from godwitpath.http1.response_limits import BodyBudget


class HeaderCodec(Protocol):
    """Decodes and encodes header fields; see `godwitpath.platform.headers`."""

    def decode_caller(self, headers: Headers) -> CallerFields:
        """Decode the header fields of a caller's request."""

    def engine_headers(self, headers: Headers, send: SendFields) -> Headers:
        """Return the header fields of a request to an engine."""

    def decode_engine_response(self, head: ResponseHead, request_id: bytes) -> EngineResponseFields:
        """Return what an engine's response head reports about the run."""

    def own_response_headers(self, request_id: bytes, retry_after_s: float | None) -> Headers:
        """Return the header fields of a response that the gateway generates itself."""


@dataclass(slots=True)
class GatewayContext:
    """State that all requests of one daemon share.

    :ivar in_force: the configuration in force
    :ivar placer: ranks engines for requests
    :ivar quota: token buckets of the accounts
    :ivar limits: limits on their requests that engines have stated
    :ivar crashes: engines that crashed, and the requests that are refused for it
    :ivar permits: permits for sends to limited engines
    :ivar body_budget: bounds the responses that are read as a whole
    :ivar retry_schedule: times at which callers of limited engines may return
    :ivar usage: counts requests for the usage reports
    :ivar pool: idle connections to engines
    :ivar quota_share: returns the share of each account's rate that this daemon and the daemons
        whose reports it receives may use together
    :ivar known_daemons: returns the names of all known daemons, including this one
    :ivar ages: returns the age of this daemon's configuration and of its engines' entries
    :ivar evacuator: moves streams away from engines that are leaving
    :ivar read_speeds: measured speed of prefill by service
    :ivar ports: bounds the open connections of each port
    :ivar instruments: counters and histograms for the metrics
    """

    settings: GatewaySettings
    header_codec: HeaderCodec
    in_force: ConfigurationInForce
    engines: EngineRegistry
    placer: Placer
    quota: QuotaTracker
    retry_budget: RetryBudget
    usage: UsageCounter
    pool: ConnectionPool
    rng: Random
    limits: EngineLimits
    crashes: CrashWatch
    permits: SendPermits = field(init=False)
    body_budget: BodyBudget = field(default_factory=BodyBudget)
    retry_schedule: RetrySchedule = field(default_factory=RetrySchedule)
    quota_share: Callable[[], float] = lambda: 1.0
    known_daemons: Callable[[], Collection[str]] = lambda: ()
    ages: Callable[[], StateAges] = lambda: StateAges(0.0, 0.0)
    evacuator: Evacuator | None = None
    read_speeds: defaultdict[str, ReadSpeedEstimator] = field(
        default_factory=lambda: defaultdict(ReadSpeedEstimator)
    )
    ports: PortConnections = field(init=False)
    instruments: Instruments = field(default_factory=Instruments)

    def __post_init__(self) -> None:
        self.ports = PortConnections(min(max_open_files(), self.settings.max_sockets))
