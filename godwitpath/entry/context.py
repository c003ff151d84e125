"""Shared components of an entry daemon that request handling uses."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from godwitpath.capacity.meter import DemandMeter
from godwitpath.config.model import Configuration
from godwitpath.config_sync.in_force import ConfigInForce
from godwitpath.entry.counters import EntryMetrics
from godwitpath.entry.decision_recorder import DecisionRecorder
from godwitpath.entry.refusals import CallerError
from godwitpath.execution.guard import ExecutionGuard
from godwitpath.explain.journal import Journal
from godwitpath.limits.limiter import AccountLimiter
from godwitpath.membership.swim import Membership
from godwitpath.ports.engine import Engine
from godwitpath.ports.service import PlainService
from godwitpath.records.store import RecordStore
from godwitpath.recovery.mover import CacheMover
from godwitpath.retries.budget import RetryBudget
from godwitpath.routing.load_tracker import LoadTracker
from godwitpath.security.keys import AccountIndex
from godwitpath.settings import ProcessSettings
from godwitpath.upstreams.table import UpstreamTable

NOT_READY_RETRY_S = 2.0
"""Retry-after of requests refused while the entry is starting or stopping."""


@dataclass(slots=True)
class EntryContext:
    """Components and state shared by all request handlers of an entry.

    :ivar plain: client of the plain services
    :ivar load_tracker: load and cache estimates of the engines
    :ivar accounts: index of API keys, None until a configuration is in force
    :ivar budgets: retry budget by service
    :ivar tasks: running background tasks, referenced so that they are not garbage collected
    :ivar upstreams_received: returns whether this entry has received the upstreams since it started
    :ivar held_duties: returns the names of the duties that this entry holds
    :ivar dumps: functions that each return the state dump of a component, by component name
    :ivar leaving: whether the entry has announced to peers and balancer that it is leaving
    :ivar stopping: whether the entry refuses new requests
    """

    settings: ProcessSettings
    config: ConfigInForce
    membership: Membership
    upstreams: UpstreamTable
    records: RecordStore
    guard: ExecutionGuard
    engine: Engine
    plain: PlainService
    load_tracker: LoadTracker
    limiter: AccountLimiter
    mover: CacheMover
    meter: DemandMeter
    journal: Journal
    metrics: EntryMetrics
    decisions: DecisionRecorder
    rng: random.Random
    accounts: AccountIndex | None = None
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    upstreams_received: Callable[[], bool] = bool
    held_duties: Callable[[], list[str]] = list
    dumps: dict[str, Callable[[], object]] = field(default_factory=dict)
    leaving: bool = False
    stopping: bool = False

    def configuration(self) -> Configuration:
        """Return the configuration in force.

        :raises CallerError: no configuration has been received yet
        """
        current = self.config.current
        if current is None:
            raise CallerError("not_ready", "no configuration yet", retry_after_s=NOT_READY_RETRY_S)
        return current

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            configured = self.configuration().services.get(service)
            budget = RetryBudget(configured.retry_ratio) if configured else RetryBudget()
            self.budgets[service] = budget
        return budget

    def new_id(self) -> str:
        """Return a random identifier of 128 bits in hexadecimal form."""
        return f"{self.rng.getrandbits(128):032x}"

    def spawn(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a background task until it ends."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def now_s() -> float:
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()
