"""The known engines and the load of each."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from godwitpath.gateway.engine_notices import EngineNotices, Incarnation
from godwitpath.gateway.limit_lines import LimitLines
from godwitpath.ports.engine import Address
from godwitpath.routing.outliers import OutlierState, ejected

SLOWDOWN_WEIGHT = 0.1
"""Weight of a new measurement in the moving average of an engine's slowdown, which thereby covers
about ten requests."""


class EngineState(StrEnum):
    """State that an engine reports for itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """An engine's entry in the store.

    :ivar slots: number of requests that the engine processes concurrently
    :ivar started_at_ms: start time of the engine in Unix milliseconds; distinguishes incarnations
        with the same id
    :ivar reclaimable: whether the platform may reclaim the engine at short notice
    :ivar warmup_left_s: remaining time for which the engine is slow after its start
    :ivar leaves_in_s: time until the engine is removed, None if not stated
    """

    engine_id: str
    service: str
    address: Address
    zone: str
    state: EngineState
    slots: int = 0
    started_at_ms: int = 0
    reclaimable: bool = False
    warmup_left_s: float = 0.0
    leaves_in_s: float | None = None

    @property
    def incarnation(self) -> Incarnation:
        """Identifies this start of the engine."""
        return self.engine_id, self.started_at_ms


@dataclass(slots=True)
class PeerLoad:
    """Load that another daemon reported for its own requests at an engine.

    :ivar running: requests of that daemon that were sent and have not ended
    :ivar prompt_tokens: prompt tokens of these requests that wait for prefill or are in prefill
    """

    running: int = 0
    prompt_tokens: int = 0


@dataclass(slots=True)
class Engine:
    """An engine with its load, health and speed as known to this daemon.

    :ivar running_requests: this daemon's requests that were sent and have not ended
    :ivar prompt_tokens: prompt tokens of this daemon's requests that wait for their prefill to end
    :ivar context_tokens: prompt tokens of this daemon's requests that have not ended
    :ivar peer_loads: load that other daemons have at this engine, by name of the daemon
    :ivar slowdown: average ratio of the measured to the expected time of requests, 1 for nominal
        speed
    :ivar full_until_s: loop time until which other engines are preferred because this engine has
        refused a request
    :ivar limit_lines: log lines about responses that exceed a limit
    """

    entry: EngineEntry
    running_requests: int = 0
    prompt_tokens: int = 0
    context_tokens: int = 0
    peer_loads: dict[str, PeerLoad] = field(default_factory=dict)
    health: OutlierState = field(default_factory=OutlierState)
    slowdown: float = 1.0
    full_until_s: float = 0.0
    limit_lines: LimitLines = field(default_factory=LimitLines)

    @property
    def all_running(self) -> int:
        """Number of running requests of all daemons at this engine, as last reported."""
        return self.running_requests + sum(load.running for load in self.peer_loads.values())

    @property
    def all_prompt_tokens(self) -> int:
        """Reported prompt tokens of all daemons that wait for prefill or are in prefill."""
        return self.prompt_tokens + sum(load.prompt_tokens for load in self.peer_loads.values())

    def record_duration(self, took_s: float, expected_s: float) -> None:
        """Update the average slowdown with the measured and the expected time of one request."""
        if expected_s > 0.0:
            ratio = min(8.0, max(0.1, took_s / expected_s))
            self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)


class EngineRegistry:
    """Holds all engines that have an entry in the store, by id.

    :ivar notices: what engines stated in their responses; an engine that said that it leaves is
        draining, whatever its entry says
    """

    def __init__(self, notices: EngineNotices | None = None) -> None:
        self.notices = EngineNotices() if notices is None else notices
        self._engines: dict[str, Engine] = {}

    def put(self, entry: EngineEntry) -> bool:
        """Add an engine or update its entry.

        An entry of a new incarnation replaces the engine, including its load and health.

        :returns: whether the entry has changed
        """
        if self.notices.is_leaving(entry.incarnation):
            entry = replace(entry, state=EngineState.DRAINING)
        known = self._engines.get(entry.engine_id)
        if known is not None and known.entry == entry:
            return False
        same_incarnation = (
            known is not None
            and known.entry.started_at_ms == entry.started_at_ms
            and known.entry.address == entry.address
        )
        if known is not None and same_incarnation:
            known.entry = entry
        else:
            self._engines[entry.engine_id] = Engine(entry)
        return True

    def remove(self, engine_id: str) -> Engine | None:
        """Remove an engine and return it, or None if it was unknown."""
        return self._engines.pop(engine_id, None)

    def get(self, engine_id: str) -> Engine | None:
        """Return an engine, or None if it is unknown."""
        return self._engines.get(engine_id)

    def is_ready(self, engine: Engine) -> bool:
        """Return whether an engine is known in this incarnation and not leaving."""
        return (
            self._engines.get(engine.entry.engine_id) is engine
            and engine.entry.state is EngineState.READY
            and not self.notices.is_leaving(engine.entry.incarnation)
        )

    def knows(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation of an engine has an entry."""
        engine = self._engines.get(incarnation[0])
        return engine is not None and engine.entry.incarnation == incarnation

    def all(self) -> Iterable[Engine]:
        """Return all engines."""
        return self._engines.values()

    def usable(self, service: str, now_s: float) -> list[Engine]:
        """Return the ready engines of a service that are not ejected as outliers."""
        ready = [
            engine
            for engine in self._engines.values()
            if engine.entry.service == service and self.is_ready(engine)
        ]
        ejected_ids = ejected({engine.entry.engine_id: engine.health for engine in ready}, now_s)
        return [engine for engine in ready if engine.entry.engine_id not in ejected_ids]

    def paused(self, service: str, now_s: float) -> list[Engine]:
        """Return the engines among the usable ones of a service that want no requests now."""
        return [
            engine
            for engine in self.usable(service, now_s)
            if self.notices.is_paused(engine.entry.incarnation, now_s)
        ]

    def drop_peer(self, peer: str) -> None:
        """Remove the load that another daemon reported from all engines."""
        for engine in self._engines.values():
            engine.peer_loads.pop(peer, None)
